#include "shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace greengagechute::admission {

namespace {

constexpr std::chrono::duration<double> decay_time{1.0};
/// Weight of a new value in the moving average of active callers. The average bridges times in
/// which light callers have no request; with the current number, the order of a heavy caller's
/// requests would change with each such time.
constexpr double active_callers_smoothing = 1.0 / 256;
/// Number of callers from which on idle ones are evicted.
constexpr std::size_t max_callers = 4'096;

bool is_idle(const caller_share& share) {
    return share.queued == 0 && share.running == 0;
}

void evict_idle_callers(server_queue& queue) {
    std::erase_if(queue.callers, [](const auto& entry) { return is_idle(entry.second); });
}

void deactivate_if_idle(server_queue& queue, const caller_share& share) {
    if (is_idle(share)) {
        --queue.active_callers;
    }
}

}  // namespace

double decayed(double work, time_point::duration elapsed) {
    if (elapsed <= time_point::duration::zero()) {
        return work;
    }
    return work * std::exp(-(elapsed / decay_time));
}

caller_share& share_of(server_queue& queue, std::uint64_t caller) {
    if (queue.callers.size() >= max_callers && !queue.callers.contains(caller)) {
        evict_idle_callers(queue);
    }
    return queue.callers[caller];
}

void update_average_active_callers(server_queue& queue, const caller_share& share) {
    const std::size_t active = queue.active_callers + (is_idle(share) ? 1 : 0);
    queue.average_active_callers +=
        active_callers_smoothing * (static_cast<double>(active) - queue.average_active_callers);
}

double excess_work(const server_queue& queue, const caller_share& share, time_point now) {
    const double own = decayed(share.recent_work, now - share.updated);
    const double all = decayed(queue.recent_work, now - queue.recent_updated);
    const double excess = own - all / queue.average_active_callers;
    return std::max(excess, 0.0) / static_cast<double>(queue.limits.slots);
}

void charge(server_queue& queue, caller_share& share, double work, time_point now) {
    share.recent_work = decayed(share.recent_work, now - share.updated) + work;
    share.updated = now;
    queue.recent_work = decayed(queue.recent_work, now - queue.recent_updated) + work;
    queue.recent_updated = now;
}

void add_short_work(server_queue& queue, double work, time_point now) {
    queue.offered_short_work =
        decayed(queue.offered_short_work, now - queue.offered_updated) + work;
    queue.offered_updated = now;
}

void add_queued(server_queue& queue, caller_share& share) {
    if (is_idle(share)) {
        ++queue.active_callers;
    }
    ++share.queued;
}

void move_to_running(server_queue& queue, std::uint64_t caller) {
    caller_share& share = queue.callers[caller];
    --share.queued;
    ++share.running;
}

void remove_queued(server_queue& queue, std::uint64_t caller, double work) {
    caller_share& share = queue.callers[caller];
    --share.queued;
    share.recent_work = std::max(share.recent_work - work, 0.0);
    queue.recent_work = std::max(queue.recent_work - work, 0.0);
    deactivate_if_idle(queue, share);
}

void remove_running(server_queue& queue, std::uint64_t caller) {
    caller_share& share = queue.callers[caller];
    --share.running;
    deactivate_if_idle(queue, share);
}

}  // namespace greengagechute::admission
