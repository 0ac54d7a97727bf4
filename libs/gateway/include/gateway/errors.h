#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::gateway {

/// Error codes of the gateway library.
enum class gateway_errc {
    store_unavailable = 1500,
    history_lost = 1501,
    no_configuration = 1502,
    no_route = 1503,
    invalid_key = 1504,
    no_owner = 1505,
    overloaded = 1506,
    not_run_in_time = 1507,
    no_answer_in_time = 1508,
    server_failed = 1509,
    attempts_spent = 1510,
    quarantined = 1511,
    invalid_deadline = 1512,
    unidentified_response = 1513,
    unproved_refusal = 1514,
    shutting_down = 1515,
    servers_paused = 1516,
    key_limited = 1517,
    server_replaced = 1518,
    region_not_allowed = 1519,
    data_centre_evacuated = 1520,
    servers_cold = 1521,
};

/// Returns all error codes of the gateway library with their names and messages.
std::span<const error_entry> error_table();
std::error_code make_error_code(gateway_errc code);

}  // namespace greengagechute::gateway

template <>
struct std::is_error_code_enum<greengagechute::gateway::gateway_errc> : std::true_type {};
