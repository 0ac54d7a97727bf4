#include "admission/request_share.h"

#include <algorithm>
#include <cmath>

namespace greengagechute::admission {

namespace {

constexpr double ms_per_second = 1'000;
/// A limit is worth its refusals only if one bucket alone takes this part of what the server can
/// run; otherwise keys can move away from it.
constexpr double min_hot_part = 0.5;
/// Requests per second below which a key is not hot: the coordinator counts over half a second, and
/// fewer than six requests in it may be chance.
constexpr double min_hot_per_s = 12;
/// Part of the sustainable rate that a new limit allows. Near the whole of it, queues grow long.
constexpr double initial_part = 0.9;
/// Bounds of the limit as parts of the sustainable rate, which is an estimate. The lower one leaves
/// something to the hot bucket beside the server's other keys, which move away from it.
constexpr double min_part = 0.25;
constexpr double max_part = 2.0;
/// Reports of all hosts arrive within this interval.
constexpr milliseconds adaptation_interval{400};
/// Reported queues per slot above which the limit is lowered, and below which it is raised.
constexpr double long_queue_per_slot = 1.0;
constexpr double short_queue_per_slot = 0.34;
constexpr double decrease = 0.85;
constexpr double increase = 1.1;
/// The limit ends when demand falls below this part of it.
constexpr double unneeded_part = 0.7;
constexpr double min_fraction = 0.001;
/// Credit up to which requests save, and that one past its target needs.
constexpr double max_credit = 2;
constexpr double past_target_credit = 1.5;
constexpr double min_relative_work = 0.5;
constexpr double max_relative_work = 2;
/// Bounds of the time after which callers come back.
constexpr milliseconds min_time_to_return{150};
constexpr milliseconds max_time_to_return{2'000};

}  // namespace

bool take_next(sent_fraction& share, const request_standing& request) {
    const double work = std::clamp(request.relative_work, min_relative_work, max_relative_work);
    const double credit = share.credit + share.fraction;
    double needed = 1;
    if (request.past_target) {
        needed = past_target_credit;
    } else if (request.urgent) {
        needed = 0;
    }
    // With the whole fraction, nothing is to be turned away.
    const bool sent = share.fraction >= 1 || credit >= needed;
    // Refused requests save little, so that a calm time is not followed by a burst.
    share.credit = std::clamp(credit - (sent ? work : 0), -max_credit, max_credit);
    return sent;
}

milliseconds time_to_return(const sent_fraction& share) {
    const double refused_for_each_sent = 1 / std::max(share.fraction, min_fraction) - 1;
    return std::clamp(milliseconds(std::llround(static_cast<double>(min_time_to_return.count()) *
                                                refused_for_each_sent)),
                      min_time_to_return, max_time_to_return);
}

double sustainable_rate(const owner_load& load) {
    return load.slots * ms_per_second / load.service_ms;
}

bool needs_limit(const owner_load& load) {
    const double sustainable = sustainable_rate(load);
    return load.hosts > max_outstanding_per_slot * load.slots && load.total_per_s > sustainable &&
           load.hottest_per_s > std::max(min_hot_per_s, min_hot_part * sustainable);
}

rate_limit make_rate_limit(const owner_load& load, time_point now) {
    const double sustainable = sustainable_rate(load);
    const double others = load.total_per_s - load.hottest_per_s;
    return {std::max(min_part * sustainable, initial_part * sustainable - others), now};
}

bool adapt(rate_limit& limit, const owner_load& load, time_point now) {
    if (now - limit.adapted_at < adaptation_interval) {
        return false;
    }
    limit.adapted_at = now;
    const double sustainable = sustainable_rate(load);
    if (load.waiting > long_queue_per_slot * load.slots) {
        limit.per_s *= decrease;
    } else if (load.waiting >= 0 && load.waiting < short_queue_per_slot * load.slots) {
        limit.per_s *= increase;
    }
    limit.per_s = std::clamp(limit.per_s, min_part * sustainable, max_part * sustainable);
    return true;
}

bool is_unneeded(const rate_limit& limit, const owner_load& load) {
    return load.hottest_per_s < unneeded_part * limit.per_s;
}

double fraction_to_send(const rate_limit& limit, const owner_load& load) {
    return load.hottest_per_s <= limit.per_s
               ? 1
               : std::max(min_fraction, limit.per_s / load.hottest_per_s);
}

}  // namespace greengagechute::admission
