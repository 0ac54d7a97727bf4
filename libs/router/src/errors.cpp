#include "router/errors.h"

#include <array>

namespace greengagechute::router {

namespace {

constexpr std::array entries{
    error_entry{1100, "invalid_path", "the path is not /v1/<service>/<path>"},
    error_entry{1101, "unknown_service", "no release note in force names the service"},
    error_entry{1102, "missing_key", "the service is divided by key and the request has no X-Key"},
    error_entry{1103, "missing_idempotency_key",
                "a request that is neither GET nor HEAD needs an Idempotency-Key"},
    error_entry{1104, "invalid_deadline", "X-Deadline-Ms is not a number of milliseconds in range"},
    error_entry{1105, "deadline_passed", "the deadline passed before the request was run"},
    error_entry{1106, "no_standing", "the host has lost contact with the system"},
    error_entry{1107, "draining", "the host is shutting down"},
    error_entry{1108, "key_withdrawn", "a release note withdrew the key"},
    error_entry{1109, "not_dispatcher", "another host dispatches to the server"},
    error_entry{1110, "revision_mismatch", "the hosts know different release notes"},
    error_entry{1111, "partition_not_held", "the server does not own the partition at present"},
    error_entry{1112, "dispatcher_unreachable", "the dispatcher of the server cannot be reached"},
    error_entry{1113, "upstream_unreachable", "no connection to the server could be opened"},
    error_entry{1114, "refused_by_upstream", "the server refused the request before running it"},
    error_entry{1115, "upstream_failed", "the connection to the server failed during the request"},
    error_entry{1116, "incomplete_answer", "the answer of the server broke off"},
    error_entry{1117, "deadline_exceeded", "the deadline passed while the request was running"},
    error_entry{1118, "unauthorized", "the order is not signed with the operator key"},
    error_entry{1119, "unknown_work_kind", "the service has no such kind of work"},
    error_entry{1120, "service_not_ready", "no server of the service is known yet"},
    error_entry{1121, "dispatcher_lost", "the dispatcher was lost while it had the request"},
    error_entry{1122, "server_lost", "the server was lost while it had the request"},
    error_entry{1123, "malformed_order", "the order cannot be read"},
    error_entry{1124, "body_too_large", "the body exceeds the bound of the kind of work"},
    error_entry{1125, "overloaded", "a queue inside the host is full"},
    error_entry{1126, "caller_left", "the caller closed its connection"},
    error_entry{1127, "invalid_caller", "X-Caller is too long"},
    error_entry{1128, "revision_in_doubt",
                "the host cannot learn whether a release note is in force"},
    error_entry{1129, "not_found", "there is nothing at this path"},
    error_entry{1130, "no_coordinator", "no coordinator is known at present"},
    error_entry{1131, "unknown_submission", "the host knows nothing of the submission"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(router_errc code) {
    static const table_category category("router", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::router
