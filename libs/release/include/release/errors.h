#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::release {

enum class release_errc {
    note_too_large = 500,
    malformed_note = 501,
    unknown_field = 502,
    missing_field = 503,
    wrong_type = 504,
    out_of_range = 505,
    too_many_entries = 506,
    duplicate_change = 507,
    already_exists = 508,
    does_not_exist = 509,
    unknown_service = 510,
    unknown_server = 511,
    still_in_use = 512,
    fixed_property = 513,
    base_superseded = 514,
    malformed_catalogue = 515,
    digest_mismatch = 516,
    host_refused = 517,
    submission_reused = 518,
    queue_full = 519,
    not_coordinator = 520,
    malformed_head = 521,
    address_in_use = 522,
    not_divided = 523,
    unchecked_server = 524,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(release_errc code);

}  // namespace greengagechute::release

template <>
struct std::is_error_code_enum<greengagechute::release::release_errc> : std::true_type {};
