#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::membership {

enum class membership_errc {
    malformed_roster = 600,
    duplicate_host = 601,
    unknown_host = 602,
    roster_full = 603,
    malformed_term = 604,
    former_instance = 605,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(membership_errc code);

}  // namespace greengagechute::membership

template <>
struct std::is_error_code_enum<greengagechute::membership::membership_errc> : std::true_type {};
