#include "gateway/errors.h"

#include <array>

namespace greengagechute::gateway {

namespace {

constexpr std::array entries{
    error_entry{1500, "store_unavailable", "the platform's store does not answer"},
    error_entry{1501, "history_lost", "the store no longer has the changes after that version"},
    error_entry{1502, "no_configuration", "no configuration has been read yet"},
    error_entry{1503, "no_route", "no route matches host and path"},
    error_entry{1504, "invalid_key", "the request needs a key from 0 to 65535"},
    error_entry{1505, "no_owner", "no server owns the key now"},
    error_entry{1506, "overloaded", "the request would wait longer than its deadline allows"},
    error_entry{1507, "not_run_in_time", "no server took the request before its deadline"},
    error_entry{1508, "no_answer_in_time", "the server did not answer before the deadline"},
    error_entry{1509, "server_failed", "the connection or the response of the server failed"},
    error_entry{1510, "attempts_spent", "no further server may be tried"},
    error_entry{1511, "quarantined", "servers were lost while they ran this request"},
    error_entry{1512, "invalid_deadline", "the deadline is no positive number"},
    error_entry{1513, "unidentified_response", "the response does not name its request"},
    error_entry{1514, "unproved_refusal",
                "the refusal does not state that the request has not run"},
    error_entry{1515, "shutting_down", "the process ends before the request could be answered"},
    error_entry{1516, "servers_paused", "the servers have asked for a pause that ends too late"},
    error_entry{1517, "key_limited", "the key gets more requests than its server can run"},
    error_entry{1518, "server_replaced", "the server ended while it ran the request"},
    error_entry{1519, "region_not_allowed", "no server is in a region where the request may run"},
    error_entry{1520, "data_centre_evacuated",
                "all servers that may run the request are in evacuated data centres"},
    error_entry{1521, "servers_cold",
                "all servers that may run the request are cold for too long for it"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(gateway_errc code) {
    static const table_category category("gateway", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::gateway
