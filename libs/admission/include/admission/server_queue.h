#pragma once

#include "admission/errors.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/result.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagechute::admission {

/// Hash of service, work kind, method and first path segment. Service times are estimated per
/// route.
using route_id = strong_id<struct route_tag, std::uint64_t>;

/// @param target  path and query; only the first path segment counts
route_id route_of(const service_id& service, std::string_view work_kind, std::string_view method,
                  std::string_view target);

enum class queue_order {
    /// Shortest expected service time first, with ageing.
    shortest_expected,
    /// Order of arrival (FIFO); the baseline of benchmarks.
    arrival,
};

/// Switches for the mechanisms of the queue. A benchmark baseline has them off.
struct queue_policy {
    queue_order order = queue_order::shortest_expected;
    /// Limits the slots that long work may occupy.
    bool long_work_cap = true;
    /// Limits the queue places of a caller, and ranks callers with much recent work lower.
    bool fair_shares = true;
    /// Refuses requests that are predicted to miss their deadline, and removes queued ones early.
    /// If false, only the length of the queue is bounded.
    bool admission_by_wait = true;
    /// Opens the slots of a cold server gradually.
    bool slow_start = true;
};

struct queue_limits {
    /// Number of requests that the server runs concurrently; at least 1.
    std::size_t slots = 1;
    /// Maximum number of queued requests; at least 1. `offer` scans all of them, which takes less
    /// than 1 us at this length.
    std::size_t length = 256;
    /// Time over which a cold server goes from one usable slot to all of them.
    milliseconds slow_start{10'000};
};

/// The properties of a request that admission depends on.
struct request_info {
    request_id request;
    route_id route;
    caller_id caller;
    time_point deadline;
};

/// The estimated service time of a route.
struct route_estimate {
    route_id route;
    /// Moving averages of the service time and of its absolute deviation from `mean`, in
    /// microseconds.
    double mean = 0;
    double deviation = 0;
    /// 0 while the route was not observed.
    std::uint32_t samples = 0;
    /// Whether `mean` is many times the typical service time of the server.
    bool long_work = false;
    time_point last_used;
    /// An estimate without an observation for 30 s counts as unknown.
    time_point last_observed;
};

/// The estimates are a set-associative cache with these dimensions.
inline constexpr std::size_t route_set_count = 256;
inline constexpr std::size_t routes_per_set = 4;

/// Use of the queue by one caller.
struct caller_share {
    /// Service time admitted recently in microseconds, as of `updated`; decays exponentially.
    double recent_work = 0;
    time_point updated;
    /// Number of queued and of running requests.
    std::size_t queued = 0;
    std::size_t running = 0;
};

struct queued_request {
    request_id request;
    route_id route;
    /// Hash of the caller id.
    std::uint64_t caller = 0;
    time_point queued_at;
};

struct running_request {
    request_id request;
    route_id route;
    /// Hash of the caller id.
    std::uint64_t caller = 0;
    time_point started;
    /// Service time in microseconds expected at the start.
    double expected = 0;
    /// Whether it occupies one of the slots for long work.
    bool counts_as_long = false;
};

/// The queue of a server. It is held by the dispatcher of the server, the one host that may send
/// requests to it. Made by `make_server_queue` and changed only by the functions below; the members
/// are public for state dumps.
struct server_queue {
    queue_policy policy;
    queue_limits limits;
    /// Time from which scores and deadlines are counted.
    time_point origin;
    /// Start of the last slow start.
    std::optional<time_point> cold_since;
    /// The queued requests as a structure of arrays: the vectors up to `queued` have one element
    /// per request, at the same index and in arbitrary order. Scores and expected service times are
    /// in microseconds; the lowest score runs first.
    std::vector<double> scores;
    std::vector<double> expected;
    /// Latest start, in microseconds after `origin`, that is likely to meet the deadline.
    std::vector<double> latest_start_times;
    /// Deadlines in microseconds after `origin`.
    std::vector<double> deadlines;
    /// 1 if the request counts against the slots for long work, as those of unknown routes do; 0
    /// otherwise.
    std::vector<double> long_work;
    std::vector<std::uint64_t> ids;
    std::vector<queued_request> queued;
    std::vector<running_request> running;
    /// By hash of the caller id.
    std::unordered_map<std::uint64_t, caller_share> callers;
    std::vector<std::array<route_estimate, routes_per_set>> routes;
    /// Moving geometric mean of the service time in microseconds. Unlike the arithmetic mean it
    /// stays near that of short work when a few requests run much longer.
    double typical_service = 0;
    /// Number of observed service times.
    std::uint64_t observed_count = 0;
    /// Callers with queued or running requests.
    std::size_t active_callers = 0;
    /// Moving average of `active_callers` over recent calls of `offer`.
    double average_active_callers = 1;
    /// Service time admitted recently in microseconds; decays exponentially.
    double recent_work = 0;
    time_point recent_updated;
    /// Service time of short work offered recently in microseconds, including refused requests;
    /// decays exponentially.
    double offered_short_work = 0;
    time_point offered_updated;
};

server_queue make_server_queue(const queue_policy& policy, const queue_limits& limits,
                               time_point now);

/// Begins a slow start after the server was started or reconnected.
void mark_cold(server_queue& queue, time_point now);

/// Number of slots that may be used now; fewer than all during a slow start.
std::size_t usable_slots(const server_queue& queue, time_point now);

/// Number of slots that long work may occupy now: those that the recent load of short work leaves,
/// but at least one, and at most one fewer than are usable if more than one is.
std::size_t long_work_slots(const server_queue& queue, time_point now);

/// Queues the request or refuses it; a refused request did not run.
/// Errors: `queue_full`, `wait_exceeds_deadline`, `deadline_passed`, `caller_over_share`,
/// `duplicate_request` (the id is queued or running).
/// @return  the predicted wait until it starts
result<microseconds> offer(server_queue& queue, const request_info& request, time_point now);

/// The predicted wait of a request with the typical service time that arrives now.
microseconds predicted_wait(const server_queue& queue, time_point now);

/// Removes the next request to run from the queue. It counts as running until `finish`.
/// @param free_slots  number of connections to the server that can take a request now
/// @return  empty if no slot is free or no queued request may run
std::optional<request_id> take_next(server_queue& queue, std::size_t free_slots, time_point now);

/// Records that a running request ended. A request that is not running is ignored.
/// @param service_time  time that the server took
/// @param state  with `answered`, `service_time` updates the estimate of the route; with `unknown`
///               it is a lower bound and updates the estimate only if it exceeds it; `not_run`
///               leaves the estimate
/// @return  whether the request was running
bool finish(server_queue& queue, request_id request, microseconds service_time, outcome state,
            time_point now);

enum class cancel_result {
    /// It was queued and has been removed. It did not run.
    removed,
    /// It is running: cancel it at the server, then call `finish`.
    running,
    /// It is neither queued nor running.
    unknown,
};

/// Removes a queued request. A running one is not changed.
cancel_result cancel(server_queue& queue, request_id request, time_point now);

/// Removes the queued requests whose deadline has passed and returns them; with
/// `queue_policy::admission_by_wait`, and while all slots are in use, also those that are expected
/// to miss it. They did not run.
std::vector<request_id> expire(server_queue& queue, time_point now);

/// Removes all queued requests and returns them, for example when this host is no longer the
/// dispatcher of the server. They did not run.
std::vector<request_id> clear(server_queue& queue);

}  // namespace greengagechute::admission
