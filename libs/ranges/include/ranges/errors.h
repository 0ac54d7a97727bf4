#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::ranges {

/// Error codes of the ranges library.
enum class ranges_errc {
    malformed_table = 1400,
};

/// Number, name and message of each error code of the ranges library.
std::span<const error_entry> error_table();
std::error_code make_error_code(ranges_errc code);

}  // namespace greengagechute::ranges

template <>
struct std::is_error_code_enum<greengagechute::ranges::ranges_errc> : std::true_type {};
