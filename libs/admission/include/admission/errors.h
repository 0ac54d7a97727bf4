#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::admission {

/// Reasons for which a request is refused or its response is withheld, grouped by what is known
/// about its execution.
enum class admission_errc {
    // The request did not run.
    queue_full = 700,
    wait_exceeds_deadline = 701,
    deadline_passed = 702,
    caller_over_share = 703,
    duplicate_request = 704,
    quarantined = 705,
    id_in_future = 706,
    id_reused = 707,
    too_many_ids = 708,
    invalid_id = 709,
    no_server = 710,
    retry_budget_spent = 711,
    // The caller reads a shared response too slowly and was dropped from it.
    caller_too_slow = 712,
    // The request may have run.
    id_not_known = 713,
    earlier_outcome_unknown = 714,
    // The request ran, but its response was not stored.
    answer_not_kept = 715,
    // The request is not known.
    unknown_request = 716,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(admission_errc code);

}  // namespace greengagechute::admission

template <>
struct std::is_error_code_enum<greengagechute::admission::admission_errc> : std::true_type {};
