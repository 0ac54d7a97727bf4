#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::settings {

enum class settings_errc {
    unreadable_file = 200,
    syntax_error = 201,
    unknown_section = 202,
    unknown_key = 203,
    duplicate_key = 204,
    missing_key = 205,
    invalid_value = 206,
    out_of_range = 207,
    contradiction = 208,
    line_too_long = 209,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(settings_errc code);

}  // namespace greengagechute::settings

template <>
struct std::is_error_code_enum<greengagechute::settings::settings_errc> : std::true_type {};
