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

/// A class of work whose service time is learned: service, work kind, method and first path
/// segment.
using route_id = strong_id<struct route_tag, std::uint64_t>;

/// @param target  path and query; only the first path segment counts
route_id route_of(const service_id& service, std::string_view work_kind, std::string_view method,
                  std::string_view target);

enum class queue_order {
    /// Shortest expected work first, with ageing.
    shortest_expected,
    /// Order of arrival: the baseline.
    arrival,
};

/// Chooses between each decision and its baseline; `false` is the baseline.
struct queue_policy {
    queue_order order = queue_order::shortest_expected;
    bool long_work_cap = true;
    bool fair_shares = true;
    /// Without it, only the length of the queue is bounded.
    bool admission_by_wait = true;
    bool slow_start = true;
};

struct queue_limits {
    /// Requests that the server runs at once; at least 1.
    std::size_t slots = 1;
    /// Queued requests. An offer examines each of them, in less than 1 us up to this length.
    std::size_t length = 256;
    /// Time over which a cold server is brought from one slot to all of them.
    milliseconds slow_start{10'000};
};

struct request_info {
    request_id request;
    route_id route;
    caller_id caller;
    time_point deadline;
};

/// The learned service time of a route.
struct route_estimate {
    route_id route;
    /// Mean service time and mean deviation from it in microseconds.
    double mean = 0;
    double deviation = 0;
    /// 0 while the route is not known.
    std::uint32_t samples = 0;
    bool long_work = false;
    time_point last_used;
    /// An estimate that was not observed for a long time counts as not known.
    time_point last_observed;
};

inline constexpr std::size_t route_set_count = 256;
inline constexpr std::size_t routes_per_set = 4;

struct caller_share {
    /// Work admitted recently, in microseconds, at `updated`; decays exponentially.
    double recent_work = 0;
    time_point updated;
    std::size_t queued = 0;
    std::size_t running = 0;
};

struct queued_request {
    request_id request;
    route_id route;
    std::uint64_t caller = 0;
    time_point queued_at;
};

struct running_request {
    request_id request;
    route_id route;
    std::uint64_t caller = 0;
    time_point started;
    /// Expected service time in microseconds when it was started.
    double expected = 0;
    bool counts_as_long = false;
};

/// The one queue of a server, at its dispatcher. Made by `make_server_queue`, changed only by the
/// functions below; the members are readable for state dumps.
struct server_queue {
    queue_policy policy;
    queue_limits limits;
    /// Start of the score's time scale.
    time_point origin;
    /// When the server was last known to be cold.
    std::optional<time_point> cold_since;
    /// Columns of the queue; the same index belongs to the same request. The order is arbitrary.
    /// Scores and expected times in microseconds; lower scores run first.
    std::vector<double> scores;
    std::vector<double> expected;
    /// Latest start, in microseconds after `origin`, that is likely to meet the deadline.
    std::vector<double> latest_start_times;
    /// Deadlines in microseconds after `origin`.
    std::vector<double> deadlines;
    /// 1 if the request counts against the slots of long work, also for unknown routes; 0
    /// otherwise.
    std::vector<double> long_work;
    std::vector<std::uint64_t> ids;
    std::vector<queued_request> queued;
    std::vector<running_request> running;
    std::unordered_map<std::uint64_t, caller_share> callers;
    std::vector<std::array<route_estimate, routes_per_set>> routes;
    /// Geometric mean of the service time of recent requests in microseconds. Unlike the arithmetic
    /// mean it stays near that of short work when a few requests run much longer.
    double typical_service = 0;
    std::uint64_t observed_count = 0;
    /// Callers with queued or running requests.
    std::size_t active_callers = 0;
    /// Moving average of `active_callers` over recent offers.
    double average_active_callers = 1;
    /// Work admitted recently in microseconds; decays exponentially.
    double recent_work = 0;
    time_point recent_updated;
    /// Short work offered recently in microseconds, also if it was refused; decays exponentially.
    double offered_short_work = 0;
    time_point offered_updated;
};

server_queue make_server_queue(const queue_policy& policy, const queue_limits& limits,
                               time_point now);

/// The server was started or returned from a loss: slow start begins.
void mark_cold(server_queue& queue, time_point now);

/// Slots that may be used now; less than all during a slow start.
std::size_t usable_slots(const server_queue& queue, time_point now);

/// Slots that long work may hold now: at least one, and otherwise at most one less than all and
/// what the recent load of short work leaves.
std::size_t long_work_slots(const server_queue& queue, time_point now);

/// Queues the request or refuses it; a refused request did not run.
/// Errors: `queue_full`, `wait_exceeds_deadline`, `deadline_passed`, `caller_over_share`,
/// `duplicate_request` (the id is queued or running).
/// @return  the predicted wait before it runs
result<microseconds> offer(server_queue& queue, const request_info& request, time_point now);

/// The predicted wait of a request with the expected service time of an average one that arrives
/// now.
microseconds predicted_wait(const server_queue& queue, time_point now);

/// The next request to run, which counts as running until `finish`.
/// @param free_slots  connections to the server that can take a request now
/// @return  empty if no slot is free or no queued request may run
std::optional<request_id> take_next(server_queue& queue, std::size_t free_slots, time_point now);

/// A running request ended. A request that is not running is ignored.
/// @param service_time  time that the server took
/// @param state  `answered` teaches the service time; `unknown` teaches that it is at least
///               `service_time`; `not_run` teaches nothing
/// @return  whether the request was running
bool finish(server_queue& queue, request_id request, microseconds service_time, outcome state,
            time_point now);

enum class cancel_result {
    /// It was queued, and is removed. It did not run.
    removed,
    /// It is running: cancel it at the server, then call `finish`.
    running,
    unknown,
};

cancel_result cancel(server_queue& queue, request_id request, time_point now);

/// Removes the queued requests whose deadline has passed and returns them. While all slots are in
/// use, also those that are expected to miss it. They did not run.
std::vector<request_id> expire(server_queue& queue, time_point now);

/// Removes all queued requests and returns them, for example when the authority over the server
/// ends. They did not run.
std::vector<request_id> clear(server_queue& queue);

}  // namespace greengagechute::admission
