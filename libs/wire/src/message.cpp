#include "wire/message.h"

#include "response_syntax.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <utility>

namespace greengagechute::wire {

namespace {

bool same_name(std::string_view first, std::string_view second) {
    return first.size() == second.size() &&
           strncasecmp(first.data(), second.data(), first.size()) == 0;
}

void append_headers(std::string& bytes, const header_list& headers) {
    for (const header& line : headers) {
        bytes.append(line.name).append(": ").append(line.value).append("\r\n");
    }
}

constexpr int first_interim_status = 100;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int no_content = 204;
constexpr int not_modified = 304;

/// Whether a name or value would change the meaning of the lines around it if it was sent on.
bool is_clean(const header& line) {
    const auto bad_name = [](unsigned char c) { return c <= ' ' || c >= 0x7F || c == ':'; };
    const auto bad_value = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    return !line.name.empty() && std::none_of(line.name.begin(), line.name.end(), bad_name) &&
           std::none_of(line.value.begin(), line.value.end(), bad_value);
}

/// Whether a line of a response's head holds a status line. An answer that breaks off within a line
/// is joined by the next one on its connection, which would get its status and headers.
bool contains_status_line(std::string_view line) {
    constexpr std::string_view protocol = "HTTP/";
    constexpr std::string_view pattern = "0.0 000";
    for (std::size_t at = line.find(protocol); at != std::string_view::npos;
         at = line.find(protocol, at + 1)) {
        const std::string_view rest = line.substr(at + protocol.size(), pattern.size());
        const bool matches =
            rest.size() == pattern.size() &&
            std::equal(rest.begin(), rest.end(), pattern.begin(), fits_digit_pattern);
        if (matches) {
            return true;
        }
    }
    return false;
}

/// Whether the head of a response consists of more than one head.
bool is_joined(const std::string& reason, const header_list& headers) {
    return contains_status_line(reason) ||
           std::any_of(headers.begin(), headers.end(), [](const header& line) {
               return contains_status_line(line.name) || contains_status_line(line.value);
           });
}

/// Size of the blocks that a body is received in. One text that grows would take up to three times
/// the received bytes while it is copied.
constexpr std::size_t body_block_size = 64U << 10U;

/// State that requests and responses share; collects the pieces that http-parser reports.
struct collector {
    http_parser parser{};
    message_limits limits;
    /// Memory that a header line takes beside its name and value.
    std::size_t line_overhead = 4;
    header_list headers;
    std::string target;
    std::string reason;
    /// Last block of the body, and the full ones before it.
    std::string body;
    std::vector<std::string> body_blocks;
    std::size_t header_size = 0;
    bool value_seen = false;
    bool begun = false;
    bool headers_done = false;
    /// An interim response has been read; the parser is at the next response.
    bool interim_done = false;
    bool complete = false;
    bool no_body = false;
    /// Header lines after the body are read and not kept.
    bool drops_trailers = false;
    bool has_body = false;
    std::error_code failure;

    void reset() {
        this->headers.clear();
        this->target.clear();
        this->reason.clear();
        this->body.clear();
        this->body_blocks.clear();
        this->header_size = 0;
        this->value_seen = false;
        this->begun = false;
        this->headers_done = false;
        this->interim_done = false;
        this->complete = false;
        this->has_body = false;
    }

    int fail(wire_errc code) {
        // After the headers, http-parser takes 1 and 2 for properties of the message.
        constexpr int callback_failed = 3;
        this->failure = code;
        return callback_failed;
    }

    bool is_dropped_trailer() const { return this->headers_done && this->drops_trailers; }

    int count_header(std::size_t size) {
        this->header_size += size;
        return this->limits.header_bytes != 0 && this->header_size > this->limits.header_bytes
                   ? this->fail(wire_errc::header_too_large)
                   : 0;
    }

    int add_body(const char* at, std::size_t size) {
        if (this->limits.body_bytes != 0 && this->body_size() + size > this->limits.body_bytes) {
            return this->fail(wire_errc::body_too_large);
        }
        std::string_view rest(at, size);
        while (!rest.empty()) {
            if (this->body.size() == body_block_size) {
                this->body_blocks.push_back(std::exchange(this->body, {}));
                this->body.reserve(body_block_size);
            }
            const std::string_view part = rest.substr(0, body_block_size - this->body.size());
            this->body.append(part);
            rest.remove_prefix(part.size());
        }
        return 0;
    }

    std::size_t body_size() const {
        return this->body_blocks.size() * body_block_size + this->body.size();
    }

    /// Returns the whole body, and leaves it empty.
    std::string take_body() {
        if (this->body_blocks.empty()) {
            return std::exchange(this->body, {});
        }
        std::string whole;
        whole.reserve(this->body_size());
        for (std::string& block : this->body_blocks) {
            whole.append(block);
            std::string().swap(block);
        }
        whole.append(this->body);
        this->body_blocks.clear();
        this->body = {};
        return whole;
    }
};

collector& of(http_parser* parser) {
    return *static_cast<collector*>(parser->data);
}

/// Reads a message that asks for an upgrade like any other.
void ignore_upgrade(http_parser& parser) {
    parser.upgrade = 0;
    parser.flags = static_cast<unsigned char>(parser.flags & ~static_cast<unsigned>(F_UPGRADE));
}

/// Whether a response may have the status. A switch of protocols is never asked for.
bool is_valid_status(unsigned int status) {
    return status >= first_interim_status && status <= last_status && status != switching_protocols;
}

/// Whether a response's body is read as it was encoded: not at all, or in chunks.
bool has_known_coding(const header_list& headers) {
    const std::vector<std::string> codings = header_values(headers, "Transfer-Encoding");
    return codings.empty() || (codings.size() == 1 && same_name(codings.front(), "chunked"));
}

http_parser_settings make_settings(bool requests) {
    http_parser_settings settings{};
    settings.on_message_begin = [](http_parser* parser) {
        of(parser).reset();
        of(parser).begun = true;
        return 0;
    };
    settings.on_url = [](http_parser* parser, const char* at, std::size_t size) {
        of(parser).target.append(at, size);
        return of(parser).count_header(size);
    };
    settings.on_status = [](http_parser* parser, const char* at, std::size_t size) {
        of(parser).reason.append(at, size);
        return of(parser).count_header(size);
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        collector& own = of(parser);
        if (own.is_dropped_trailer()) {
            return own.count_header(size);
        }
        if (own.headers.empty() || own.value_seen) {
            own.headers.emplace_back();
            own.value_seen = false;
            own.header_size += own.line_overhead;
        }
        own.headers.back().name.append(at, size);
        return own.count_header(size);
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        collector& own = of(parser);
        if (own.is_dropped_trailer()) {
            return own.count_header(size);
        }
        own.value_seen = true;
        own.headers.back().value.append(at, size);
        return own.count_header(size);
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        return of(parser).add_body(at, size);
    };
    settings.on_message_complete = [](http_parser* parser) {
        collector& own = of(parser);
        own.interim_done =
            parser->type == HTTP_RESPONSE && parser->status_code < first_final_status;
        own.complete = !own.interim_done;
        http_parser_pause(parser, 1);
        return 0;
    };
    if (requests) {
        settings.on_headers_complete = [](http_parser* parser) {
            collector& own = of(parser);
            own.headers_done = true;
            if (!std::all_of(own.headers.begin(), own.headers.end(), is_clean) ||
                parser->method == HTTP_CONNECT || parser->http_major != 1) {
                return own.fail(wire_errc::malformed_request);
            }
            const std::string* encoding = find_header(own.headers, "Transfer-Encoding");
            if (encoding != nullptr && !same_name(trimmed(*encoding), "chunked")) {
                return own.fail(wire_errc::unsupported_encoding);
            }
            const auto hosts =
                std::count_if(own.headers.begin(), own.headers.end(),
                              [](const header& line) { return same_name(line.name, "Host"); });
            if (hosts != 1) {
                return own.fail(wire_errc::malformed_request);
            }
            const std::string* length = find_header(own.headers, "Content-Length");
            own.has_body = encoding != nullptr || length != nullptr;
            if (length != nullptr && own.limits.body_bytes != 0 &&
                parser->content_length > own.limits.body_bytes) {
                return own.fail(wire_errc::body_too_large);
            }
            // An upgrade is not offered; the message is an ordinary one.
            ignore_upgrade(*parser);
            return 0;
        };
    } else {
        settings.on_headers_complete = [](http_parser* parser) {
            collector& own = of(parser);
            own.headers_done = true;
            ignore_upgrade(*parser);
            if (!is_valid_status(parser->status_code) ||
                !std::all_of(own.headers.begin(), own.headers.end(), is_clean) ||
                is_joined(own.reason, own.headers) ||
                (!own.no_body && !has_known_coding(own.headers))) {
                return own.fail(wire_errc::malformed_response);
            }
            return own.no_body ? 1 : 0;
        };
    }
    return settings;
}

/// Runs the parser over `bytes`; true if a message is complete.
bool run(collector& own, const http_parser_settings& settings, std::string_view bytes,
         std::size_t& used, wire_errc malformed) {
    used = http_parser_execute(&own.parser, &settings, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&own.parser);
    if (code == HPE_PAUSED) {
        http_parser_pause(&own.parser, 0);
        return own.complete;
    }
    if (code != HPE_OK && !own.failure) {
        own.failure = code == HPE_HEADER_OVERFLOW ? wire_errc::header_too_large : malformed;
    }
    return false;
}

/// The limits of this library apply, not http-parser's own.
void lift_parser_limit() {
    constexpr std::uint32_t unlimited = 64U << 20U;
    http_parser_set_max_header_size(unlimited);
}

}  // namespace

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

const std::string* find_header(const header_list& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const header& line) {
        return same_name(line.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

std::vector<std::string> header_values(const header_list& headers, std::string_view name) {
    std::vector<std::string> values;
    for (const header& line : headers) {
        if (same_name(line.name, name)) {
            values.emplace_back(trimmed(line.value));
        }
    }
    return values;
}

void remove_header(header_list& headers, std::string_view name) {
    std::erase_if(headers, [name](const header& line) { return same_name(line.name, name); });
}

void set_header(header_list& headers, std::string_view name, std::string value) {
    for (header& line : headers) {
        if (same_name(line.name, name)) {
            line.value = std::move(value);
            return;
        }
    }
    headers.push_back({std::string(name), std::move(value)});
}

void remove_connection_headers(header_list& headers) {
    std::vector<std::string> named;
    for (const header& line : headers) {
        if (!same_name(line.name, "Connection")) {
            continue;
        }
        std::string_view rest = line.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            named.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    static constexpr std::array<std::string_view, 10> always{
        "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
        "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect", "Proxy-Authenticate"};
    std::erase_if(headers, [&named](const header& line) {
        const auto same = [&line](std::string_view name) { return same_name(line.name, name); };
        // `Connection` cannot take away what the receiver needs to find the message's host.
        return std::any_of(always.begin(), always.end(), same) ||
               (std::any_of(named.begin(), named.end(), same) && !same_name(line.name, "Host"));
    });
}

std::string serialize(const request& message) {
    std::string bytes;
    bytes.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    append_headers(bytes, message.headers);
    if (message.has_body || !message.body.empty()) {
        bytes.append("Content-Length: ").append(std::to_string(message.body.size()));
        bytes.append("\r\n");
    }
    bytes.append("\r\n").append(message.body);
    return bytes;
}

std::string serialize(const response& message, bool to_head, bool close) {
    std::string bytes = "HTTP/1.1 " + std::to_string(message.code) + " " + message.reason + "\r\n";
    append_headers(bytes, message.headers);
    const bool bodiless = message.code == no_content || message.code == not_modified;
    // A body that ended with its connection may have been cut short: its receiver must not take it
    // as framed.
    if (!bodiless && !to_head && !message.until_close) {
        bytes.append("Content-Length: ").append(std::to_string(message.body.size()));
        bytes.append("\r\n");
    }
    if (close) {
        bytes.append("Connection: close\r\n");
    }
    bytes.append("\r\n");
    if (!bodiless && !to_head) {
        bytes.append(message.body);
    }
    return bytes;
}

struct request_parser::state : collector {};

request_parser::request_parser() : implementation(std::make_unique<state>()) {
    lift_parser_limit();
    http_parser_init(&this->implementation->parser, HTTP_REQUEST);
    this->implementation->parser.data = static_cast<collector*>(this->implementation.get());
    // As headers, they would be sent on without the checks of a head, and could repeat its lines.
    this->implementation->drops_trailers = true;
}

request_parser::~request_parser() = default;

void request_parser::set_limits(const message_limits& limits) {
    this->implementation->limits = limits;
}

bool request_parser::feed(std::string_view bytes, std::size_t& used) {
    static const http_parser_settings settings = make_settings(true);
    used = 0;
    if (this->implementation->failure) {
        return false;
    }
    return run(*this->implementation, settings, bytes, used, wire_errc::malformed_request);
}

status request_parser::error() const {
    return this->implementation->failure;
}

bool request_parser::in_message() const {
    return this->implementation->begun && !this->implementation->complete;
}

bool request_parser::wants_continue() const {
    const state& own = *this->implementation;
    if (!own.headers_done || own.complete) {
        return false;
    }
    const std::string* expectation = find_header(own.headers, "Expect");
    return expectation != nullptr && same_name(trimmed(*expectation), "100-continue") &&
           own.body.empty() && own.body_blocks.empty();
}

request request_parser::take() {
    state& own = *this->implementation;
    request message;
    message.method = http_method_str(static_cast<http_method>(own.parser.method));
    message.target = std::move(own.target);
    message.headers = std::move(own.headers);
    message.body = own.take_body();
    message.has_body = own.has_body;
    message.keep_alive = http_should_keep_alive(&own.parser) != 0;
    own.reset();
    // A message that asks to close leaves http-parser in a state that refuses further bytes.
    http_parser_init(&own.parser, HTTP_REQUEST);
    own.parser.data = static_cast<collector*>(&own);
    return message;
}

struct response_parser::state : collector {
    response_syntax syntax;
    bool until_close = false;
};

response_parser::response_parser() : implementation(std::make_unique<state>()) {
    lift_parser_limit();
    http_parser_init(&this->implementation->parser, HTTP_RESPONSE);
    this->implementation->parser.data = static_cast<collector*>(this->implementation.get());
    this->implementation->line_overhead = sizeof(header);
    // As headers, the lines of an answer that follows a broken body could lend it their id.
    this->implementation->drops_trailers = true;
}

response_parser::~response_parser() = default;

void response_parser::set_head_limit(std::size_t bytes) {
    this->implementation->limits.header_bytes = bytes;
}

std::size_t response_parser::kept_bytes() const {
    return this->implementation->header_size + this->implementation->body_size();
}

void response_parser::expect_no_body(bool enabled) {
    this->implementation->no_body = enabled;
}

bool response_parser::feed(std::string_view bytes, std::size_t& used) {
    static const http_parser_settings settings = make_settings(false);
    state& own = *this->implementation;
    used = 0;
    while (used < bytes.size() && !own.failure) {
        const std::string_view rest = bytes.substr(used);
        const std::size_t checked = own.syntax.read(rest);
        // Without anything checked, the parser would read on behind the last chunk's trailers.
        if (!own.syntax.is_valid() || checked == 0) {
            own.failure = wire_errc::malformed_response;
            return false;
        }
        std::size_t parsed = 0;
        const bool complete =
            run(own, settings, rest.substr(0, checked), parsed, wire_errc::malformed_response);
        used += parsed;
        if (complete) {
            return true;
        }
        if (own.interim_done) {
            own.interim_done = false;
            own.syntax = {};
        } else if (own.syntax.is_head_read()) {
            own.syntax.begin_body((own.parser.flags & F_CHUNKED) != 0);
        }
    }
    return false;
}

bool response_parser::feed_end() {
    state& own = *this->implementation;
    if (own.failure || !own.headers_done || own.complete) {
        return false;
    }
    // Of no bytes, http-parser completes a message whose body ends with the connection.
    static const http_parser_settings settings = make_settings(false);
    std::size_t used = 0;
    own.until_close = run(own, settings, {}, used, wire_errc::malformed_response);
    return own.until_close;
}

status response_parser::error() const {
    return this->implementation->failure;
}

bool response_parser::in_message() const {
    return this->implementation->begun && !this->implementation->complete;
}

bool response_parser::is_head_read() const {
    return this->implementation->headers_done;
}

std::string response_parser::take_body_part() {
    return this->implementation->take_body();
}

response response_parser::take_head() {
    state& own = *this->implementation;
    response message;
    if (own.headers_done && !own.complete) {
        message.code = own.parser.status_code;
        message.headers = std::move(own.headers);
    }
    return message;
}

response response_parser::take() {
    state& own = *this->implementation;
    response message;
    message.code = own.parser.status_code;
    message.reason = std::move(own.reason);
    message.headers = std::move(own.headers);
    message.body = own.take_body();
    message.until_close = own.until_close;
    message.keep_alive = !own.until_close && http_should_keep_alive(&own.parser) != 0;
    own.reset();
    own.syntax = {};
    http_parser_init(&own.parser, HTTP_RESPONSE);
    own.parser.data = static_cast<collector*>(&own);
    return message;
}

}  // namespace greengagechute::wire
