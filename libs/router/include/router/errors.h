#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::router {

enum class router_errc {
    invalid_path = 1100,
    unknown_service = 1101,
    missing_key = 1102,
    missing_idempotency_key = 1103,
    invalid_deadline = 1104,
    deadline_passed = 1105,
    no_standing = 1106,
    draining = 1107,
    key_withdrawn = 1108,
    not_dispatcher = 1109,
    revision_mismatch = 1110,
    partition_not_held = 1111,
    dispatcher_unreachable = 1112,
    upstream_unreachable = 1113,
    refused_by_upstream = 1114,
    upstream_failed = 1115,
    incomplete_answer = 1116,
    deadline_exceeded = 1117,
    unauthorized = 1118,
    unknown_work_kind = 1119,
    service_not_ready = 1120,
    dispatcher_lost = 1121,
    server_lost = 1122,
    malformed_order = 1123,
    body_too_large = 1124,
    overloaded = 1125,
    caller_left = 1126,
    invalid_caller = 1127,
    revision_in_doubt = 1128,
    not_found = 1129,
    no_coordinator = 1130,
    unknown_submission = 1131,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(router_errc code);

}  // namespace greengagechute::router

template <>
struct std::is_error_code_enum<greengagechute::router::router_errc> : std::true_type {};
