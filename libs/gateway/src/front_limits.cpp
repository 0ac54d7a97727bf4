#include "front_state.h"

#include <algorithm>

namespace greengagechute::gateway {

namespace {

/// Time for which a limit holds after the coordinator has stated it last. A lost coordinator is
/// replaced within it, and the next one learns the load.
constexpr milliseconds max_limit_age{3'000};

}  // namespace

/// The limit in force for the key of the request; nullptr if there is none.
limited_keys* front::state::find_limit(const active_request& active, service_pool& pool,
                                       time_point now) {
    if (!active.divided) {
        return nullptr;
    }
    const auto found =
        std::find_if(pool.limits.begin(), pool.limits.end(), [&](const limited_keys& limit) {
            return limit.keys.first <= active.key && active.key <= limit.keys.last &&
                   now - limit.set_at < max_limit_age;
        });
    return found == pool.limits.end() ? nullptr : &*found;
}

/// Whether the service has routes with less urgent requests.
bool front::state::is_urgent(const active_request& active) const {
    return std::any_of(active.config->routes.begin(), active.config->routes.end(),
                       [&active](const route& other) {
                           return other.priority > active.matched_route->priority &&
                                  std::any_of(other.services.begin(), other.services.end(),
                                              [&active](const weighted_service& target) {
                                                  return target.service == active.service;
                                              });
                       });
}

/// What turning the request away would cost its caller.
admission::request_standing front::state::standing_of(const active_request& active,
                                                      const service_pool& pool,
                                                      time_point now) const {
    admission::request_standing standing;
    standing.urgent = this->is_urgent(active);
    standing.past_target = active.target_by != time_point{} && now > active.target_by;
    if (active.facts->latency_ms > 0 && pool.latency_ms > 0) {
        standing.relative_work = active.facts->latency_ms / pool.latency_ms;
    }
    return standing;
}

/// Refuses the request if it is beyond what this host sends of the requests for a hot key. Returns
/// whether it was refused.
bool front::state::refuse_if_limited(const request_handle& active, service_pool& pool,
                                     time_point now) {
    limited_keys* const limit = find_limit(*active, pool, now);
    if (limit == nullptr ||
        admission::take_next(limit->share, this->standing_of(*active, pool, now))) {
        return false;
    }
    this->limited_count.add();
    this->refuse(active, gateway_errc::key_limited, now);
    return true;
}

}  // namespace greengagechute::gateway
