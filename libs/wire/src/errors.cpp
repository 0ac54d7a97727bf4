#include "wire/errors.h"

#include <array>

namespace greengagechute::wire {

namespace {

constexpr std::array entries{
    error_entry{1300, "invalid_endpoint", "the address is not IP:PORT"},
    error_entry{1301, "listen_failed", "the address cannot be listened on"},
    error_entry{1302, "malformed_request", "the bytes are not an HTTP/1.1 request"},
    error_entry{1303, "header_too_large", "the request line and headers exceed the limit"},
    error_entry{1304, "body_too_large", "the request body exceeds the limit"},
    error_entry{1305, "unsupported_encoding", "the transfer encoding is not supported"},
    error_entry{1306, "malformed_response", "the bytes are not an HTTP/1.1 response"},
    error_entry{1307, "refused", "the peer refused the connection"},
    error_entry{1308, "connect_timeout", "the connection was not established in time"},
    error_entry{1309, "closed_before_response", "the peer closed before it responded"},
    error_entry{1310, "reset", "the connection failed before the response was complete"},
    error_entry{1311, "timeout", "no complete response arrived in time"},
    error_entry{1312, "truncated", "the peer closed before the response was complete"},
    error_entry{1313, "response_too_large", "the peer sent more than the limit for a response"},
    error_entry{1314, "response_memory_full", "the responses being received fill their memory"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(wire_errc code) {
    static const table_category category("wire", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::wire
