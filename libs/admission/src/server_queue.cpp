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
/// Score that a request gains per waited microsecond: after 400 ms a request of 100 ms is level
/// with a new one of 1 ms.
constexpr double ageing = 0.25;
/// Share of the expected time that a running request is assumed to need at least. Service times
/// vary, so a request that exceeds its expected time is not about to end.
constexpr double least_remaining = 0.25;
/// Service times vary: the deadline is compared with the mean plus 3 mean deviations, which covers
/// 96 of 100 exponentially distributed times. The margin takes at most a quarter of the time that
/// is left, so that work whose time varies much is not refused at the slightest wait.
constexpr double deviation_margin = 3;
constexpr double largest_margin = 0.25;
constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

double to_microseconds(time_point::duration duration) {
    return std::chrono::duration<double, std::micro>(duration).count();
}

double position(const server_queue& queue, time_point now) {
    return to_microseconds(now - queue.origin);
}

std::size_t running_long_work(const server_queue& queue) {
    return static_cast<std::size_t>(
        std::count_if(queue.running.begin(), queue.running.end(),
                      [](const running_request& request) { return request.counts_as_long; }));
}

double base_score(const server_queue& queue, double expected, time_point now) {
    if (queue.policy.order == queue_order::arrival) {
        return position(queue, now);
    }
    return expected + ageing * position(queue, now);
}

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
            std::max(request.expected - elapsed, request.expected * least_remaining);
        remaining.short_work += request.counts_as_long ? 0.0 : work;
        remaining.long_work += request.counts_as_long ? work : 0.0;
        remaining.long_requests += request.counts_as_long ? 1 : 0;
    }
    return remaining;
}

/// Predicted wait in microseconds of a request that would be queued now.
double wait_of(const server_queue& queue, double score, bool long_work, time_point now) {
    const work_ahead ahead = sum_ahead(queue, score, position(queue, now));
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
    // Long work that runs or comes first keeps its slots; short work shares the others.
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

/// A caller may queue as many requests as places are free, so that others always find room.
bool is_over_share(const server_queue& queue, const caller_share& share) {
    const std::size_t free = queue.limits.length - queue.queued.size();
    return queue.policy.fair_shares && share.queued >= std::max<std::size_t>(free, 1);
}

/// Time in microseconds that a request is likely to need.
/// @param time_left  until its deadline
double likely_service(const expectation& expected, double time_left) {
    const double slack = std::max(time_left - expected.service, 0.0);
    return expected.service +
           std::min(deviation_margin * expected.deviation, slack * largest_margin);
}

void push(server_queue& queue, const request_info& request, std::uint64_t caller, double score,
          const expectation& expected, double latest_start, time_point now) {
    queue.scores.push_back(score);
    queue.expected.push_back(expected.service);
    queue.latest_start_times.push_back(latest_start);
    queue.deadlines.push_back(position(queue, request.deadline));
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

void discard(server_queue& queue, std::size_t index) {
    remove_queued(queue, queue.queued[index].caller, queue.expected[index]);
    remove_at(queue, index);
}

/// Applies a changed estimate to the queued requests of the route.
void refresh_queued(server_queue& queue, route_id route, const expectation& expected,
                    time_point now) {
    for (std::size_t index = 0; index < queue.queued.size(); ++index) {
        if (queue.queued[index].route != route) {
            continue;
        }
        if (queue.policy.order == queue_order::shortest_expected) {
            queue.scores[index] += expected.service - queue.expected[index];
        }
        const double at = position(queue, now);
        queue.latest_start_times[index] =
            queue.deadlines[index] - likely_service(expected, queue.deadlines[index] - at);
        queue.expected[index] = expected.service;
        queue.long_work[index] = expected.long_work ? 1.0 : 0.0;
    }
}

/// Counts single requests of short routes as long work once they have run for long.
void recognise_long_work(server_queue& queue, time_point now) {
    for (running_request& request : queue.running) {
        const double elapsed = to_microseconds(now - request.started);
        request.counts_as_long = request.counts_as_long || is_long(queue, elapsed);
    }
}

/// The queued request with the lowest score that may run.
/// @param in_time  leave out requests that are expected to miss their deadline
std::size_t find_next(const server_queue& queue, bool allow_long, bool in_time, time_point now) {
    const double at = position(queue, now);
    double lowest = std::numeric_limits<double>::infinity();
    std::size_t next = none;
    for (std::size_t index = 0; index < queue.scores.size(); ++index) {
        const bool may_run = (allow_long || queue.long_work[index] == 0) &&
                             (!in_time || at <= queue.latest_start_times[index]) &&
                             at < queue.deadlines[index];
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
        if (in_time != none) {
            return in_time;
        }
    }
    // The expected time may be too high: an idle slot is used for the attempt.
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

bool is_late(const server_queue& queue, std::size_t index, bool slots_in_use, double at) {
    const double deadline = queue.deadlines[index];
    const bool shed_early = queue.policy.admission_by_wait && slots_in_use;
    return at >= deadline || (shed_early && at > queue.latest_start_times[index]);
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
    // Assumes a full load of short work at first: long work that took all slots but one before the
    // load is known would block short work for its whole service time.
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
    // Square-root staffing: with this many slots of its own, random short work rarely waits.
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
    note_active_callers(queue, share);
    double score = base_score(queue, expected.service, now);
    if (queue.policy.fair_shares && queue.policy.order == queue_order::shortest_expected) {
        score += excess_work(queue, share, now);
    }
    if (!expected.long_work) {
        note_short_work(queue, expected.service, now);
    }
    const double wait = wait_of(queue, score, expected.long_work, now);
    const double at = position(queue, now);
    const double deadline = position(queue, request.deadline);
    const double latest_start = deadline - likely_service(expected, deadline - at);
    // A request that runs at once is never refused: the expected time may be too high, and without
    // an attempt it would stay so.
    if (queue.policy.admission_by_wait && wait > 0 && at + wait > latest_start) {
        return make_error_code(admission_errc::wait_exceeds_deadline);
    }
    charge(queue, share, expected.service, now);
    add_queued(queue, share);
    push(queue, request, caller, score, expected, latest_start, now);
    return microseconds(static_cast<microseconds::rep>(wait));
}

microseconds predicted_wait(const server_queue& queue, time_point now) {
    const double score = base_score(queue, typical_service(queue), now);
    return microseconds(static_cast<microseconds::rep>(wait_of(queue, score, false, now)));
}

std::optional<request_id> take_next(server_queue& queue, std::size_t free_slots, time_point now) {
    if (free_slots == 0 || queue.queued.empty() ||
        queue.running.size() >= usable_slots(queue, now)) {
        return std::nullopt;
    }
    recognise_long_work(queue, now);
    const std::size_t next = find_next(queue, now);
    if (next == none) {
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
        learn(queue, estimate, service, now);
    } else {
        learn_at_least(queue, estimate, service, now);
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
    const double at = position(queue, now);
    std::vector<request_id> expired;
    // From the end, since a removed request is replaced by the last one.
    for (std::size_t index = queue.queued.size(); index-- > 0;) {
        if (is_late(queue, index, slots_in_use, at)) {
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
