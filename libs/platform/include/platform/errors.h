#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::platform {

enum class platform_errc {
    unavailable = 1000,
    timeout = 1001,
    not_found = 1002,
    malformed_answer = 1003,
    refused = 1004,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(platform_errc code);

}  // namespace greengagechute::platform

template <>
struct std::is_error_code_enum<greengagechute::platform::platform_errc> : std::true_type {};
