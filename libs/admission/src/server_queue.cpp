#include "admission/server_queue.h"

#include "base/hash.h"
#include "routes.h"
#include "shares.h"
#include "work_ahead.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace greengagechute::admission {

namespace {

constexpr double microseconds_per_second = 1'000'000;
/// Decrease of a request's score, relative to a new one, per microsecond of waiting: after 400 ms a
/// request of 100 ms has about the same score as a new one of 1 ms.
constexpr double ageing_rate = 0.25;
/// Lower bound of the remaining time of a running request, as a share of its expected service time.
/// Service times vary, so a request that exceeds its expected time is not about to end.
constexpr double min_remaining_ratio = 0.25;
/// Deadlines are compared with the mean service time plus 3 mean deviations, which covers 96 % of
/// exponentially distributed times. The margin is at most a quarter of the slack before the
/// deadline, so that requests with highly variable service times are not refused at the slightest
/// wait.
constexpr double deviation_margin = 3;
constexpr double max_margin_ratio = 0.25;
constexpr std::size_t no_index = std::numeric_limits<std::size_t>::max();

double to_microseconds(time_point::duration duration) {
    return std::chrono::duration<double, std::micro>(duration).count();
}

/// Microseconds after the origin of the queue.
double to_queue_time(const server_queue& queue, time_point now) {
    return to_microseconds(now - queue.origin);
}

std::size_t running_long_work(const server_queue& queue) {
    return static_cast<std::size_t>(
        std::count_if(queue.running.begin(), queue.running.end(),
                      [](const running_request& request) { return request.counts_as_long; }));
}

double base_score(const server_queue& queue, double expected, time_point now) {
    if (queue.policy.order == queue_order::arrival) {
        return to_queue_time(queue, now);
    }
    return expected + ageing_rate * to_queue_time(queue, now);
}

/// Expected remaining service time of the running requests in microseconds.
struct remaining_work {
    double short_work = 0;
    double long_work = 0;
    std::size_t long_requests = 0;
};

remaining_work sum_running(const server_queue& queue, time_point now) {
    remaining_work remaining;
    for (const running_request& request : queue.running) {
        const double elapsed = to_microseconds(now - request.started);
        const double work =
            std::max(request.expected - elapsed, request.expected * min_remaining_ratio);
        remaining.short_work += request.counts_as_long ? 0.0 : work;
        remaining.long_work += request.counts_as_long ? work : 0.0;
        remaining.long_requests += request.counts_as_long ? 1 : 0;
    }
    return remaining;
}

/// Predicted wait in microseconds of a request that would be queued now.
double predict_wait(const server_queue& queue, double score, bool long_work, time_point now) {
    const work_ahead ahead = sum_ahead(queue, score, to_queue_time(queue, now));
    const remaining_work running = sum_running(queue, now);
    const std::size_t usable = usable_slots(queue, now);
    const bool slot_free = queue.running.size() < usable;
    const double all_ahead = ahead.short_work + ahead.long_work;
    const double all = all_ahead + running.short_work + running.long_work;
    const double any_slot = slot_free && all_ahead <= 0 ? 0 : all / static_cast<double>(usable);
    if (!queue.policy.long_work_cap) {
        return any_slot;
    }
    const std::size_t long_slots = long_work_slots(queue, now);
    if (long_work) {
        const bool long_free = running.long_requests < long_slots && ahead.long_work <= 0;
        const double own = ahead.long_work + running.long_work;
        return std::max(any_slot, long_free ? 0 : own / static_cast<double>(long_slots));
    }
    // Long requests that are running or ahead occupy their slots; short ones use the others.
    const std::size_t wanted = running.long_requests + ahead.long_requests;
    const std::size_t taken = std::max(running.long_requests, std::min(wanted, long_slots));
    const std::size_t short_slots = std::max<std::size_t>(usable - std::min(usable, taken), 1);
    const std::size_t short_running = queue.running.size() - running.long_requests;
    if (slot_free && ahead.short_work <= 0 && short_running < short_slots) {
        return 0;
    }
    return (ahead.short_work + running.short_work) / static_cast<double>(short_slots);
}

bool is_duplicate(const server_queue& queue, request_id request) {
    const auto same = [request](const running_request& other) { return other.request == request; };
    return std::find(queue.ids.begin(), queue.ids.end(), request.value()) != queue.ids.end() ||
           std::any_of(queue.running.begin(), queue.running.end(), same);
}

/// A caller may have at most as many queued requests as there are free places, so that there is
/// always room for others.
bool is_over_share(const server_queue& queue, const caller_share& share) {
    const std::size_t free = queue.limits.length - queue.queued.size();
    return queue.policy.fair_shares && share.queued >= std::max<std::size_t>(free, 1);
}

/// Service time in microseconds that a request is likely not to exceed.
/// @param time_left  microseconds until its deadline
double likely_service(const expectation& expected, double time_left) {
    const double slack = std::max(time_left - expected.service, 0.0);
    return expected.service +
           std::min(deviation_margin * expected.deviation, slack * max_margin_ratio);
}

void append_queued(server_queue& queue, const request_info& request, std::uint64_t caller,
                   double score, const expectation& expected, double latest_start, time_point now) {
    queue.scores.push_back(score);
    queue.expected.push_back(expected.service);
    queue.latest_start_times.push_back(latest_start);
    queue.deadlines.push_back(to_queue_time(queue, request.deadline));
    queue.long_work.push_back(expected.long_work ? 1.0 : 0.0);
    queue.ids.push_back(request.request.value());
    queue.queued.push_back({request.request, request.route, caller, now});
}

template <typename column>
void remove_from(column& values, std::size_t index) {
    values[index] = values.back();
    values.pop_back();
}

void remove_at(server_queue& queue, std::size_t index) {
    remove_from(queue.scores, index);
    remove_from(queue.expected, index);
    remove_from(queue.latest_start_times, index);
    remove_from(queue.deadlines, index);
    remove_from(queue.long_work, index);
    remove_from(queue.ids, index);
    remove_from(queue.queued, index);
}

/// Removes a queued request that will not run, and credits its expected work back to its caller.
void discard(server_queue& queue, std::size_t index) {
    remove_queued(queue, queue.queued[index].caller, queue.expected[index]);
    remove_at(queue, index);
}

/// Applies a changed estimate to the queued requests of its route.
void refresh_queued(server_queue& queue, route_id route, const expectation& expected,
                    time_point now) {
    for (std::size_t index = 0; index < queue.queued.size(); ++index) {
        if (queue.queued[index].route != route) {
            continue;
        }
        if (queue.policy.order == queue_order::shortest_expected) {
            queue.scores[index] += expected.service - queue.expected[index];
        }
        const double now_us = to_queue_time(queue, now);
        queue.latest_start_times[index] =
            queue.deadlines[index] - likely_service(expected, queue.deadlines[index] - now_us);
        queue.expected[index] = expected.service;
        queue.long_work[index] = expected.long_work ? 1.0 : 0.0;
    }
}

/// Counts running requests of short routes as long work once their elapsed time is long.
void mark_long_running(server_queue& queue, time_point now) {
    for (running_request& request : queue.running) {
        const double elapsed = to_microseconds(now - request.started);
        request.counts_as_long = request.counts_as_long || is_long(queue, elapsed);
    }
}

/// The index of the queued request with the lowest score that may run, or `no_index`.
/// @param in_time  exclude requests that are expected to miss their deadline
std::size_t find_next(const server_queue& queue, bool allow_long, bool in_time, time_point now) {
    const double now_us = to_queue_time(queue, now);
    double lowest = std::numeric_limits<double>::infinity();
    std::size_t next = no_index;
    for (std::size_t index = 0; index < queue.scores.size(); ++index) {
        const bool may_run = (allow_long || queue.long_work[index] == 0) &&
                             (!in_time || now_us <= queue.latest_start_times[index]) &&
                             now_us < queue.deadlines[index];
        if (may_run && queue.scores[index] < lowest) {
            lowest = queue.scores[index];
            next = index;
        }
    }
    return next;
}

std::size_t find_next(const server_queue& queue, time_point now) {
    const bool allow_long =
        !queue.policy.long_work_cap || running_long_work(queue) < long_work_slots(queue, now);
    if (queue.policy.order == queue_order::shortest_expected) {
        const std::size_t in_time = find_next(queue, allow_long, true, now);
        if (in_time != no_index) {
            return in_time;
        }
    }
    // The expected time may be too high, so an idle slot is used for a request that is expected to
    // be late.
    return find_next(queue, allow_long, false, now);
}

request_id start(server_queue& queue, std::size_t index, time_point now) {
    const queued_request request = queue.queued[index];
    queue.running.push_back({request.request, request.route, request.caller, now,
                             queue.expected[index], queue.long_work[index] != 0});
    move_to_running(queue, request.caller);
    remove_at(queue, index);
    return request.request;
}

/// Whether `expire` removes the request.
bool is_late(const server_queue& queue, std::size_t index, bool slots_in_use, double now_us) {
    const double deadline = queue.deadlines[index];
    const bool shed_early = queue.policy.admission_by_wait && slots_in_use;
    return now_us >= deadline || (shed_early && now_us > queue.latest_start_times[index]);
}

}  // namespace

server_queue make_server_queue(const queue_policy& policy, const queue_limits& limits,
                               time_point now) {
    server_queue queue;
    queue.policy = policy;
    queue.limits = limits;
    queue.limits.slots = std::max<std::size_t>(limits.slots, 1);
    queue.limits.length = std::max<std::size_t>(limits.length, 1);
    queue.origin = now;
    queue.recent_updated = now;
    queue.offered_updated = now;
    // Starts with a full load of short work. If long work could occupy all slots but one before the
    // load is known, it would block short work for its whole service time.
    queue.offered_short_work = static_cast<double>(queue.limits.slots) * microseconds_per_second;
    queue.routes.resize(route_set_count);
    return queue;
}

void mark_cold(server_queue& queue, time_point now) {
    queue.cold_since = now;
}

std::size_t usable_slots(const server_queue& queue, time_point now) {
    const std::size_t slots = queue.limits.slots;
    if (!queue.policy.slow_start || !queue.cold_since) {
        return slots;
    }
    const auto elapsed = now - *queue.cold_since;
    if (elapsed >= queue.limits.slow_start) {
        return slots;
    }
    const double share = std::chrono::duration<double>(elapsed) /
                         std::chrono::duration<double>(queue.limits.slow_start);
    const auto opened = static_cast<std::size_t>(share * static_cast<double>(slots));
    return std::clamp<std::size_t>(opened + 1, 1, slots);
}

std::size_t long_work_slots(const server_queue& queue, time_point now) {
    const std::size_t slots = usable_slots(queue, now);
    if (slots == 1) {
        return 1;
    }
    const double offered = decayed(queue.offered_short_work, now - queue.offered_updated);
    const double load = offered / microseconds_per_second;
    // Square-root staffing: with this many reserved slots, short work with random arrivals rarely
    // waits.
    const double reserved = std::ceil(load + std::sqrt(load));
    const double most = static_cast<double>(slots - 1);
    return slots - static_cast<std::size_t>(std::clamp(reserved, 1.0, most));
}

result<microseconds> offer(server_queue& queue, const request_info& request, time_point now) {
    if (request.deadline <= now) {
        return make_error_code(admission_errc::deadline_passed);
    }
    if (is_duplicate(queue, request.request)) {
        return make_error_code(admission_errc::duplicate_request);
    }
    if (queue.queued.size() >= queue.limits.length) {
        return make_error_code(admission_errc::queue_full);
    }
    const std::uint64_t caller = hash64(request.caller.value());
    caller_share& share = share_of(queue, caller);
    if (is_over_share(queue, share)) {
        return make_error_code(admission_errc::caller_over_share);
    }
    const expectation expected = expect(queue, estimate_of(queue, request.route, now), now);
    update_average_active_callers(queue, share);
    double score = base_score(queue, expected.service, now);
    if (queue.policy.fair_shares && queue.policy.order == queue_order::shortest_expected) {
        score += excess_work(queue, share, now);
    }
    if (!expected.long_work) {
        add_short_work(queue, expected.service, now);
    }
    const double wait = predict_wait(queue, score, expected.long_work, now);
    const double now_us = to_queue_time(queue, now);
    const double deadline = to_queue_time(queue, request.deadline);
    const double latest_start = deadline - likely_service(expected, deadline - now_us);
    // A request that can start at once is never refused: the expected time may be too high, and
    // only an execution can correct it.
    if (queue.policy.admission_by_wait && wait > 0 && now_us + wait > latest_start) {
        return make_error_code(admission_errc::wait_exceeds_deadline);
    }
    charge(queue, share, expected.service, now);
    add_queued(queue, share);
    append_queued(queue, request, caller, score, expected, latest_start, now);
    return microseconds(static_cast<microseconds::rep>(wait));
}

microseconds predicted_wait(const server_queue& queue, time_point now) {
    const double score = base_score(queue, typical_service(queue), now);
    return microseconds(static_cast<microseconds::rep>(predict_wait(queue, score, false, now)));
}

std::optional<request_id> take_next(server_queue& queue, std::size_t free_slots, time_point now) {
    if (free_slots == 0 || queue.queued.empty() ||
        queue.running.size() >= usable_slots(queue, now)) {
        return std::nullopt;
    }
    mark_long_running(queue, now);
    const std::size_t next = find_next(queue, now);
    if (next == no_index) {
        return std::nullopt;
    }
    return start(queue, next, now);
}

bool finish(server_queue& queue, request_id request, microseconds service_time, outcome state,
            time_point now) {
    const auto found = std::find_if(
        queue.running.begin(), queue.running.end(),
        [request](const running_request& running) { return running.request == request; });
    if (found == queue.running.end()) {
        return false;
    }
    const running_request ended = *found;
    queue.running.erase(found);
    remove_running(queue, ended.caller);
    if (state == outcome::not_run) {
        return true;
    }
    route_estimate& estimate = estimate_of(queue, ended.route, now);
    const bool was_long = expect(queue, estimate, now).long_work;
    const auto service = static_cast<double>(service_time.count());
    if (state == outcome::answered) {
        record_service_time(queue, estimate, service, now);
    } else {
        record_min_service_time(queue, estimate, service, now);
    }
    const expectation expected = expect(queue, estimate, now);
    if (expected.long_work != was_long) {
        refresh_queued(queue, ended.route, expected, now);
    }
    return true;
}

cancel_result cancel(server_queue& queue, request_id request, time_point now) {
    static_cast<void>(now);
    const auto queued = std::find(queue.ids.begin(), queue.ids.end(), request.value());
    if (queued != queue.ids.end()) {
        discard(queue, static_cast<std::size_t>(queued - queue.ids.begin()));
        return cancel_result::removed;
    }
    return is_duplicate(queue, request) ? cancel_result::running : cancel_result::unknown;
}

std::vector<request_id> expire(server_queue& queue, time_point now) {
    const bool slots_in_use = queue.running.size() >= usable_slots(queue, now);
    const double now_us = to_queue_time(queue, now);
    std::vector<request_id> expired;
    // Backwards, since removal moves the last request to the freed index.
    for (std::size_t index = queue.queued.size(); index-- > 0;) {
        if (is_late(queue, index, slots_in_use, now_us)) {
            expired.push_back(queue.queued[index].request);
            discard(queue, index);
        }
    }
    return expired;
}

std::vector<request_id> clear(server_queue& queue) {
    std::vector<request_id> removed;
    removed.reserve(queue.queued.size());
    while (!queue.queued.empty()) {
        removed.push_back(queue.queued.back().request);
        discard(queue, queue.queued.size() - 1);
    }
    return removed;
}

}  // namespace greengagechute::admission
