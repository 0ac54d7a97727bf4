#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::upstream {

enum class upstream_errc {
    malformed_message = 850,
    unexpected_status = 851,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(upstream_errc code);

}  // namespace greengagechute::upstream

template <>
struct std::is_error_code_enum<greengagechute::upstream::upstream_errc> : std::true_type {};
