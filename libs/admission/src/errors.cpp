#include "admission/errors.h"

#include <array>

namespace greengagechute::admission {

namespace {

constexpr std::array entries{
    error_entry{700, "queue_full", "the queue of the server is full"},
    error_entry{701, "wait_exceeds_deadline", "the predicted wait exceeds the deadline"},
    error_entry{702, "deadline_passed", "the deadline has passed"},
    error_entry{703, "caller_over_share", "the caller has more than its share of the queue"},
    error_entry{704, "duplicate_request", "a request with this number is queued or running"},
    error_entry{705, "quarantined", "servers were lost while they ran this request"},
    error_entry{706, "id_in_future", "the time of the idempotency key lies ahead"},
    error_entry{707, "id_reused", "the idempotency key belongs to another request"},
    error_entry{708, "too_many_ids", "too many requests with an idempotency key are in progress"},
    error_entry{709, "invalid_id", "the idempotency key is not a UUID of version 7"},
    error_entry{710, "no_server", "no server of the service may be chosen"},
    error_entry{711, "retry_budget_spent", "the budget for retries is spent"},
    error_entry{712, "caller_too_slow", "the caller takes a shared answer too slowly"},
    error_entry{713, "id_not_known", "the idempotency key is older than the records of it"},
    error_entry{714, "earlier_outcome_unknown", "the outcome of the first request is unknown"},
    error_entry{715, "answer_not_kept", "the request ran earlier, and its answer was not kept"},
    error_entry{716, "unknown_request", "the request is not known"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(admission_errc code) {
    static const table_category category("admission", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::admission
