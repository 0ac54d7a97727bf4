#include "peer/codec.h"

#include "layout.h"
#include "peer/errors.h"

#include <msgpack.hpp>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <array>
#include <concepts>
#include <exception>
#include <limits>
#include <memory>
#include <stdexcept>
#include <type_traits>

namespace greengagechute::peer {

namespace {

constexpr std::size_t header_fields = 6;
constexpr std::size_t batch_fields = 2;
constexpr std::size_t sender_fields = 2;
// Longer spans are refused, since adding them to a time point could overflow.
constexpr milliseconds longest_span = std::chrono::hours(24 * 365);

// Adapts a string to the stream that msgpack::packer writes to.
struct string_sink {
    std::string& bytes;

    void write(const char* data, std::size_t size) { this->bytes.append(data, size); }
};

using writer = msgpack::packer<string_sink>;

template <typename type>
concept has_layout = requires(type& value) {
    layout<std::remove_const_t<type>>::tie(value);
};

void write_value(writer& out, const std::string& value) {
    out.pack_bin(static_cast<std::uint32_t>(value.size()));
    out.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
}

void write_value(writer& out, std::integral auto value) {
    out.pack(value);
}

void write_value(writer& out, milliseconds value) {
    out.pack(static_cast<std::int64_t>(value.count()));
}

void write_value(writer& out, outcome value) {
    out.pack(static_cast<std::uint8_t>(value));
}

template <typename tag, typename rep>
void write_value(writer& out, const strong_id<tag, rep>& value) {
    write_value(out, value.value());
}

template <has_layout type>
void write_value(writer& out, const type& value);

template <typename first, typename second>
void write_value(writer& out, const std::pair<first, second>& value) {
    out.pack_array(2);
    write_value(out, value.first);
    write_value(out, value.second);
}

template <typename type>
void write_value(writer& out, const std::vector<type>& values) {
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const type& value : values) {
        write_value(out, value);
    }
}

template <has_layout type>
void write_value(writer& out, const type& value) {
    std::apply(
        [&out](const auto&... fields) {
            out.pack_array(sizeof...(fields));
            (write_value(out, fields), ...);
        },
        layout<type>::tie(value));
}

// Reads values out of a parsed frame. Each function returns false on a wrong type or range.
struct reader {
    std::size_t unknown_fields = 0;

    bool read(const msgpack::object& in, std::string& value) {
        if (in.type == msgpack::type::BIN) {
            value.assign(in.via.bin.ptr, in.via.bin.size);
            return true;
        }
        if (in.type == msgpack::type::STR) {
            value.assign(in.via.str.ptr, in.via.str.size);
            return true;
        }
        return false;
    }

    bool read(const msgpack::object& in, bool& value) {
        if (in.type != msgpack::type::BOOLEAN) {
            return false;
        }
        value = in.via.boolean;
        return true;
    }

    template <std::unsigned_integral type>
    bool read(const msgpack::object& in, type& value) {
        if (in.type != msgpack::type::POSITIVE_INTEGER ||
            in.via.u64 > std::numeric_limits<type>::max()) {
            return false;
        }
        value = static_cast<type>(in.via.u64);
        return true;
    }

    bool read(const msgpack::object& in, milliseconds& value) {
        std::int64_t count = 0;
        if (in.type == msgpack::type::NEGATIVE_INTEGER) {
            count = in.via.i64;
        } else if (in.type == msgpack::type::POSITIVE_INTEGER &&
                   in.via.u64 <= static_cast<std::uint64_t>(longest_span.count())) {
            count = static_cast<std::int64_t>(in.via.u64);
        } else {
            return false;
        }
        value = milliseconds(count);
        return value >= -longest_span;
    }

    bool read(const msgpack::object& in, outcome& value) {
        std::uint8_t number = 0;
        if (!this->read(in, number) || number > static_cast<std::uint8_t>(outcome::unknown)) {
            return false;
        }
        value = static_cast<outcome>(number);
        return true;
    }

    template <typename tag, typename rep>
    bool read(const msgpack::object& in, strong_id<tag, rep>& value) {
        rep plain{};
        if (!this->read(in, plain)) {
            return false;
        }
        value = strong_id<tag, rep>(std::move(plain));
        return true;
    }

    template <typename first, typename second>
    bool read(const msgpack::object& in, std::pair<first, second>& value) {
        return this->read_fields(in, std::tie(value.first, value.second));
    }

    template <typename type>
    bool read(const msgpack::object& in, std::vector<type>& values) {
        if (in.type != msgpack::type::ARRAY) {
            return false;
        }
        values.clear();
        values.reserve(in.via.array.size);
        for (std::uint32_t index = 0; index < in.via.array.size; ++index) {
            if (!this->read(in.via.array.ptr[index], values.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    template <has_layout type>
    bool read(const msgpack::object& in, type& value) {
        return this->read_fields(in, layout<type>::tie(value));
    }

    template <typename... types>
    bool read_fields(const msgpack::object& in, std::tuple<types&...> fields) {
        if (in.type != msgpack::type::ARRAY || in.via.array.size < sizeof...(types)) {
            return false;
        }
        this->unknown_fields += in.via.array.size - sizeof...(types);
        const msgpack::object* next = in.via.array.ptr;
        return std::apply(
            [this, &next](auto&... field) { return (this->read(*next++, field) && ...); }, fields);
    }
};

// Counts values and nesting before a tree is built, so that a small frame cannot claim much memory.
class limit_visitor : public msgpack::null_visitor {
public:
    explicit limit_visitor(const codec_limits& bounds) : limits(bounds) {}

    bool visit_nil() { return this->count(1); }
    bool visit_boolean(bool) { return this->count(1); }
    bool visit_positive_integer(std::uint64_t) { return this->count(1); }
    bool visit_negative_integer(std::int64_t) { return this->count(1); }
    bool visit_float32(float) { return this->count(1); }
    bool visit_float64(double) { return this->count(1); }
    bool visit_str(const char*, std::uint32_t) { return this->count(1); }
    bool visit_bin(const char*, std::uint32_t) { return this->count(1); }
    bool visit_ext(const char*, std::uint32_t) { return this->count(1); }
    bool start_array(std::uint32_t size) { return this->enter(size); }
    bool end_array() { return this->leave(); }
    bool start_map(std::uint32_t size) { return this->enter(2ULL * size); }
    bool end_map() { return this->leave(); }
    void parse_error(std::size_t, std::size_t) {}
    void insufficient_bytes(std::size_t, std::size_t) {}
    bool referenced() const { return true; }
    void set_referenced(bool) {}

    bool exceeded() const { return this->over_limit; }

private:
    bool count(std::uint64_t number) {
        this->values += number;
        this->over_limit = this->over_limit || this->values > this->limits.values;
        return !this->over_limit;
    }

    // The announced size is checked at once: a container of many values needs as many bytes.
    bool enter(std::uint64_t size) {
        ++this->depth;
        this->over_limit =
            this->over_limit || this->depth > this->limits.depth || size > this->limits.values;
        return this->count(1);
    }

    bool leave() {
        --this->depth;
        return true;
    }

    const codec_limits& limits;
    std::uint64_t values = 0;
    std::size_t depth = 0;
    bool over_limit = false;
};

std::error_code check_limits(std::string_view data, const codec_limits& limits) {
    limit_visitor visitor(limits);
    std::size_t offset = 0;
    const bool complete = msgpack::parse(data.data(), data.size(), offset, visitor);
    if (visitor.exceeded()) {
        return make_error_code(peer_errc::limit_exceeded);
    }
    if (!complete || offset != data.size()) {
        return make_error_code(peer_errc::malformed_message);
    }
    return {};
}

bool keep_reference(msgpack::type::object_type, std::size_t, void*) {
    return true;
}

template <typename type>
bool read_alternative(reader& in, const msgpack::object& body, std::vector<message>& out) {
    type content;
    if (!in.read(body, content)) {
        return false;
    }
    out.emplace_back(std::move(content));
    return true;
}

// Reads the body of the alternative whose number matches. An unknown number adds no message.
template <std::size_t index = 0>
bool read_body(reader& in, std::uint16_t type, const msgpack::object& body, decoded_frame& out) {
    if constexpr (index < std::variant_size_v<message>) {
        using alternative = std::variant_alternative_t<index, message>;
        if (layout<alternative>::number == type) {
            return read_alternative<alternative>(in, body, out.contents);
        }
        return read_body<index + 1>(in, type, body, out);
    } else {
        ++out.unknown_types;
        return true;
    }
}

bool read_batch(reader& in, const msgpack::object& body, decoded_frame& out) {
    if (body.type != msgpack::type::ARRAY) {
        return false;
    }
    for (std::uint32_t index = 0; index < body.via.array.size; ++index) {
        const msgpack::object& item = body.via.array.ptr[index];
        if (item.type != msgpack::type::ARRAY || item.via.array.size < batch_fields) {
            return false;
        }
        in.unknown_fields += item.via.array.size - batch_fields;
        std::uint16_t type = 0;
        if (!in.read(item.via.array.ptr[0], type) ||
            !read_body(in, type, item.via.array.ptr[1], out)) {
            return false;
        }
    }
    return true;
}

result<decoded_frame> read_fields(const msgpack::object& frame) {
    if (frame.type != msgpack::type::ARRAY || frame.via.array.size == 0) {
        return make_error_code(peer_errc::malformed_message);
    }
    const msgpack::object* fields = frame.via.array.ptr;
    reader in;
    std::uint16_t version = 0;
    if (!in.read(fields[0], version)) {
        return make_error_code(peer_errc::malformed_message);
    }
    if (version != format_version) {
        return make_error_code(peer_errc::unsupported_version);
    }
    if (frame.via.array.size < header_fields) {
        return make_error_code(peer_errc::malformed_message);
    }
    decoded_frame out;
    in.unknown_fields = frame.via.array.size - header_fields;
    message_header& header = out.header;
    const msgpack::object& body = fields[5];
    const bool valid =
        in.read(fields[1], out.type) &&
        in.read_fields(fields[2], std::tie(header.host.host, header.address)) &&
        in.read(fields[3], header.host.instance) && in.read(fields[4], header.sequence) &&
        (out.type == batch_type ? read_batch(in, body, out) : read_body(in, out.type, body, out));
    if (!valid) {
        return make_error_code(peer_errc::malformed_message);
    }
    out.unknown_fields = in.unknown_fields;
    return out;
}

result<decoded_frame> parse_frame(std::string_view data, const codec_limits& limits) {
    if (const std::error_code refused_by = check_limits(data, limits)) {
        return refused_by;
    }
    const msgpack::object_handle handle =
        msgpack::unpack(data.data(), data.size(), keep_reference, nullptr);
    return read_fields(handle.get());
}

struct release_mac {
    void operator()(EVP_MAC* algorithm) const { EVP_MAC_free(algorithm); }
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

using mac_context = std::unique_ptr<EVP_MAC_CTX, release_mac>;

}  // namespace

// A context that has read the key. It is copied for each code, which saves the look-up of the
// algorithm and the schedule of the key.
struct authenticator::keyed_state {
    mac_context context;

    std::array<unsigned char, code_bytes> compute(std::string_view data) const {
        std::array<unsigned char, code_bytes> code{};
        std::size_t length = 0;
        const mac_context copy(EVP_MAC_CTX_dup(this->context.get()));
        if (!copy ||
            EVP_MAC_update(copy.get(), reinterpret_cast<const unsigned char*>(data.data()),
                           data.size()) != 1 ||
            EVP_MAC_final(copy.get(), code.data(), &length, code.size()) != 1) {
            throw std::runtime_error("OpenSSL could not compute an HMAC");
        }
        return code;
    }
};

authenticator::authenticator(std::string_view key) {
    if (key.empty()) {
        return;
    }
    const std::unique_ptr<EVP_MAC, release_mac> algorithm(
        EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr));
    mac_context context(EVP_MAC_CTX_new(algorithm.get()));
    std::string digest = "SHA256";
    const std::array parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
        OSSL_PARAM_construct_end()};
    if (!context || EVP_MAC_init(context.get(), reinterpret_cast<const unsigned char*>(key.data()),
                                 key.size(), parameters.data()) != 1) {
        throw std::runtime_error("OpenSSL has no HMAC-SHA256");
    }
    this->state = std::make_unique<keyed_state>(keyed_state{std::move(context)});
}

authenticator::~authenticator() = default;

void authenticator::sign(std::string& data) const {
    if (!this->state) {
        return;
    }
    const auto code = this->state->compute(data);
    data.append(reinterpret_cast<const char*>(code.data()), code.size());
}

std::optional<std::string_view> authenticator::verify(std::string_view frame) const {
    if (!this->state) {
        return frame;
    }
    if (frame.size() < code_bytes) {
        return std::nullopt;
    }
    const std::string_view data = frame.substr(0, frame.size() - code_bytes);
    const auto expected = this->state->compute(data);
    if (CRYPTO_memcmp(expected.data(), frame.data() + data.size(), code_bytes) != 0) {
        return std::nullopt;
    }
    return data;
}

std::uint16_t type_number(const message& content) {
    return std::visit(
        [](const auto& value) { return layout<std::remove_cvref_t<decltype(value)>>::number; },
        content);
}

packed_message pack(const message& content) {
    packed_message packed{type_number(content), {}};
    string_sink sink{packed.body};
    writer out(sink);
    std::visit([&out](const auto& value) { write_value(out, value); }, content);
    return packed;
}

std::string make_frame(const message_header& header, std::span<const packed_message> messages,
                       const authenticator& codes) {
    const bool single = messages.size() == 1;
    std::string frame;
    string_sink sink{frame};
    writer out(sink);
    out.pack_array(header_fields);
    write_value(out, format_version);
    write_value(out, single ? messages.front().type : batch_type);
    out.pack_array(sender_fields);
    write_value(out, header.host.host);
    write_value(out, header.address);
    write_value(out, header.host.instance);
    write_value(out, header.sequence);
    if (single) {
        frame += messages.front().body;
    } else {
        out.pack_array(static_cast<std::uint32_t>(messages.size()));
        for (const packed_message& next : messages) {
            out.pack_array(batch_fields);
            write_value(out, next.type);
            frame += next.body;
        }
    }
    codes.sign(frame);
    return frame;
}

result<decoded_frame> read_frame(std::string_view frame, const authenticator& codes,
                                 const codec_limits& limits) {
    if (frame.size() > limits.frame_bytes) {
        return make_error_code(peer_errc::message_too_large);
    }
    const std::optional<std::string_view> data = codes.verify(frame);
    if (!data) {
        return make_error_code(peer_errc::unauthenticated);
    }
    try {
        return parse_frame(*data, limits);
    } catch (const std::exception&) {
        return make_error_code(peer_errc::malformed_message);
    }
}

result<message> unpack(const packed_message& packed) {
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(packed.body.data(), packed.body.size(), keep_reference, nullptr);
        reader in;
        decoded_frame out;
        if (read_body(in, packed.type, handle.get(), out) && !out.contents.empty()) {
            return std::move(out.contents.front());
        }
    } catch (const std::exception&) {
        return make_error_code(peer_errc::malformed_message);
    }
    return make_error_code(peer_errc::malformed_message);
}

std::string encode(const message_header& header, const message& content, std::string_view key) {
    const packed_message packed = pack(content);
    return make_frame(header, std::span(&packed, 1), authenticator(key));
}

result<decoded_message> decode(std::string_view frame, std::string_view key,
                               const codec_limits& limits) {
    result<decoded_frame> read = read_frame(frame, authenticator(key), limits);
    if (!read) {
        return read.error();
    }
    if (read->contents.size() + read->unknown_types > 1) {
        return make_error_code(peer_errc::malformed_message);
    }
    decoded_message out{std::move(read->header), read->type, std::nullopt, read->unknown_fields};
    if (!read->contents.empty()) {
        out.content = std::move(read->contents.front());
    }
    return out;
}

}  // namespace greengagechute::peer
