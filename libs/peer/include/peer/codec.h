#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "peer/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::peer {

/// Version of the message format that this library writes and reads.
inline constexpr std::uint16_t format_version = 1;

/// The authenticated fields in front of the body.
struct message_header {
    host_instance host;
    /// Address of the sender's listener.
    std::string address;
    /// Grows with each message of one incarnation.
    std::uint64_t sequence = 0;
};

/// Bounds on what is accepted from the network.
struct codec_limits {
    /// Largest frame, in bytes.
    std::size_t frame_bytes = 8UL * 1024 * 1024;
    /// Largest number of msgpack values in a frame. A report of 65,536 partitions needs about
    /// 200,000.
    std::size_t values = 512UL * 1024;
    /// Deepest nesting of arrays and maps. The messages of this version need 4.
    std::size_t depth = 16;
};

/// Type number of a frame that carries several messages.
inline constexpr std::uint16_t batch_type = 0;

/// Computes and verifies HMAC-SHA256 codes with one key. Thread-safe after construction.
class authenticator {
public:
    static constexpr std::size_t code_bytes = 32;

    /// An empty key stands for frames without a code.
    explicit authenticator(std::string_view key);
    ~authenticator();
    authenticator(const authenticator&) = delete;
    authenticator& operator=(const authenticator&) = delete;

    /// Appends the code of `data` to it.
    void sign(std::string& data) const;
    /// The part of the frame in front of the code, or empty if the code is wrong.
    std::optional<std::string_view> verify(std::string_view frame) const;

private:
    struct keyed_state;

    std::unique_ptr<keyed_state> state;
};

/// A message in its wire form, without the header.
struct packed_message {
    std::uint16_t type = 0;
    /// The body in msgpack.
    std::string body;
};

packed_message pack(const message& content);

/// The frame `[version, type, [host, address], incarnation, sequence, body]` in msgpack, followed
/// by its code. Several messages share one frame of type `batch_type`, whose body is an array of
/// `[type, body]`, since the cost of nng is per frame.
std::string make_frame(const message_header& header, std::span<const packed_message> messages,
                       const authenticator& codes);

struct decoded_frame {
    message_header header;
    /// Type number of the message, or `batch_type`.
    std::uint16_t type = 0;
    /// The messages of known types, in order.
    std::vector<message> contents;
    std::size_t unknown_types = 0;
    std::size_t unknown_fields = 0;
};

/// Verifies and reads a frame. The authentication code is checked before anything else is read.
/// Errors: `peer_errc::message_too_large`, `unauthenticated`, `unsupported_version`,
/// `limit_exceeded`, `malformed_message`.
result<decoded_frame> read_frame(std::string_view frame, const authenticator& codes,
                                 const codec_limits& limits);

/// Reads a message that `pack` made. Errors: `peer_errc::malformed_message`.
result<message> unpack(const packed_message& packed);

struct decoded_message {
    message_header header;
    /// Type number of the message.
    std::uint16_t type = 0;
    /// Empty if the type is unknown.
    std::optional<message> content;
    /// Number of tail fields that this version does not know.
    std::size_t unknown_fields = 0;
};

/// A frame with one message and a key that is used once. Daemons use `make_frame`.
std::string encode(const message_header& header, const message& content, std::string_view key);

/// Reads a frame that `encode` made. Errors: those of `read_frame`, and
/// `peer_errc::malformed_message` for a batch of more than one message.
result<decoded_message> decode(std::string_view frame, std::string_view key,
                               const codec_limits& limits = {});

/// Type number of a message. Numbers are never reused.
std::uint16_t type_number(const message& content);

}  // namespace greengagechute::peer
