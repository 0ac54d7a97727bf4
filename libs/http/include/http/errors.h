#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::http {

enum class http_errc {
    listen_failed = 800,
    connect_failed = 801,
    connection_closed = 802,
    incomplete_response = 803,
    timeout = 804,
    malformed_response = 805,
    cancelled = 806,
    invalid_request = 807,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(http_errc code);

}  // namespace greengagechute::http

template <>
struct std::is_error_code_enum<greengagechute::http::http_errc> : std::true_type {};
