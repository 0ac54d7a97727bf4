#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::wire {

/// Codes of library wire.
enum class wire_errc {
    invalid_endpoint = 1300,
    listen_failed = 1301,
    malformed_request = 1302,
    header_too_large = 1303,
    body_too_large = 1304,
    unsupported_encoding = 1305,
    malformed_response = 1306,
    refused = 1307,
    connect_timeout = 1308,
    closed_before_response = 1309,
    reset = 1310,
    timeout = 1311,
    truncated = 1312,
    response_too_large = 1313,
    response_memory_full = 1314,
};

/// All codes of library wire.
std::span<const error_entry> error_table();
std::error_code make_error_code(wire_errc code);

}  // namespace greengagechute::wire

template <>
struct std::is_error_code_enum<greengagechute::wire::wire_errc> : std::true_type {};
