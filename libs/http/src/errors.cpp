#include "http/errors.h"

#include <array>

namespace greengagechute::http {

namespace {

constexpr std::array entries{
    error_entry{800, "listen_failed", "the server cannot listen on the address"},
    error_entry{801, "connect_failed", "no connection to the peer could be opened"},
    error_entry{802, "connection_closed", "the peer closed the connection before it responded"},
    error_entry{803, "incomplete_response", "the response broke off before its end"},
    error_entry{804, "timeout", "the response was not complete in time"},
    error_entry{805, "malformed_response", "the response is not valid HTTP or exceeds a bound"},
    error_entry{806, "cancelled", "the exchange was cancelled"},
    error_entry{807, "invalid_request", "the request cannot be expressed in HTTP/1.1"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(http_errc code) {
    static const table_category category("http", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::http
