#include "dispatch/eligibility.h"
#include "front_state.h"

#include <algorithm>

namespace greengagechute::gateway {

namespace {

/// Added to the cost of servers whose registration has lapsed, so that they are used only if no
/// other server is available.
constexpr double lapsed_registration_cost_ms = 60'000;
/// Factor of the weight of such servers.
constexpr double lapsed_weight = 1e-6;

}  // namespace

/// Returns the owner of the request's key if it may receive one more request.
server_choice front::state::choose_owner(const active_request& active, service_pool& pool,
                                         time_point now) {
    const ranges::server_instance* owner = owner_of(pool.owners, active.key);
    if (owner == nullptr) {
        return {nullptr, "no_owner"};
    }
    if (owner->id.value().empty() ||
        now < pool.next_probe_at[range_index(pool.owners, active.key)]) {
        return {nullptr, "range_moving"};
    }
    const auto found = pool.servers.find(owner->id);
    if (found == pool.servers.end() || found->second.entry.life != *owner) {
        return {nullptr, "owner_not_registered"};
    }
    server_state& server = found->second;
    if (server.replaced ||
        (server.entry.draining && now > server.draining_since + max_draining_owner_use)) {
        return {nullptr, "owner_left"};
    }
    switch (dispatch::check_owner(server.place, active.matched_route->allowed_regions,
                                  max_draining_owner_use, now)) {
        case dispatch::verdict::region_not_allowed:
            return {nullptr, "region_not_allowed"};
        case dispatch::verdict::evacuated:
            return {nullptr, "owner_evacuated"};
        case dispatch::verdict::cold:
            if (!this->has_loan(server, now)) {
                return {nullptr, "owner_cold"};
            }
            break;
        case dispatch::verdict::eligible:
            break;
    }
    if (is_pause_asked(server.notices, now)) {
        return {nullptr, "owner_asked_pause"};
    }
    if (!accepts_owned_work(server.notices, max_draining_owner_use, now)) {
        return {nullptr, "owner_leaving"};
    }
    if (now < server.paused_until) {
        return {nullptr, "owner_paused"};
    }
    if (server.in_flight >= concurrency_limit(server, this->hosts, this->settings.balancer, now)) {
        return {nullptr, "owner_full"};
    }
    return {&server, {}};
}

server_choice front::state::choose_server(const active_request& active, service_pool& pool,
                                          time_point now) {
    if (now < active.retry_at) {
        return {nullptr, "pause_after_failure"};
    }
    if (active.divided) {
        return this->choose_owner(active, pool, now);
    }
    balancer_settings rules = this->settings.balancer;
    const dispatch::region_list& allowed = active.matched_route->allowed_regions;
    std::vector<server_state*> usable;
    usable.reserve(pool.servers.size());
    bool withheld_cold = false;
    for (auto& [id, server] : pool.servers) {
        if (!is_available(server, now) || active.tried_servers.contains(id) ||
            server.in_flight >= concurrency_limit(server, this->hosts, rules, now)) {
            continue;
        }
        const dispatch::verdict found = dispatch::check(server.place, allowed, now);
        const bool lent = found == dispatch::verdict::cold && this->has_loan(server, now);
        if (found != dispatch::verdict::eligible && !lent) {
            withheld_cold = withheld_cold || found == dispatch::verdict::cold;
            continue;
        }
        usable.push_back(&server);
    }
    if (this->is_seldom_met(pool)) {
        // Servers that this host has not met are expected to be like those that it has.
        rules.initial_latency_ms = pool.latency_ms > 0 ? pool.latency_ms : rules.initial_latency_ms;
        this->draw_servers(usable, active.matched_route->target_latency, rules, now);
    }
    server_state* best = nullptr;
    double best_ms = 0;
    for (server_state* const server : usable) {
        const double ms = placement_cost(*server, this->distance_to(server->entry),
                                         active.matched_route->target_latency, rules, now) +
                          this->random_unit() +  // Jitter spreads requests over equal servers.
                          (server->registration_lapsed ? lapsed_registration_cost_ms : 0);
        if (best == nullptr || ms < best_ms) {
            best = server;
            best_ms = ms;
        }
    }
    if (best != nullptr) {
        return {best, {}};
    }
    return {nullptr, withheld_cold ? "servers_cold" : "no_server_free"};
}

/// Whether this host meets the servers of the service too seldom to know their load.
bool front::state::is_seldom_met(const service_pool& pool) const {
    return !pool.servers.empty() &&
           dispatch::is_seldom_met(this->hosts, pool.servers.begin()->second.entry.slots);
}

/// Reduces the servers to two drawn from this host's region, and two from the others if those of
/// the region are not expected to answer within the target latency.
void front::state::draw_servers(std::vector<server_state*>& usable, milliseconds target_latency,
                                const balancer_settings& rules, time_point now) {
    dispatch::weighted_pair near;
    dispatch::weighted_pair far;
    for (std::size_t index = 0; index < usable.size(); ++index) {
        const server_state& server = *usable[index];
        const double latency = server.latency_ms > 0 ? server.latency_ms : rules.initial_latency_ms;
        // Servers whose registration has lapsed are the last resort.
        const double weight = (server.registration_lapsed ? lapsed_weight : 1.0) *
                              std::max(1, server.entry.slots) / std::max(1.0, latency);
        dispatch::weighted_pair& group =
            this->distance_to(server.entry) == distance::other_region ? far : near;
        group.offer(index, weight, 1.0 - this->random_unit());
    }
    std::vector<server_state*> drawn;
    const auto add = [&usable, &drawn](const dispatch::weighted_pair& group) {
        for (const std::optional<std::size_t>& index : group.drawn()) {
            if (index) {
                drawn.push_back(usable[*index]);
            }
        }
    };
    add(near);
    const bool in_time = std::any_of(drawn.begin(), drawn.end(), [&](const server_state* server) {
        return target_latency <= milliseconds{0} ||
               expected_latency_ms(*server, this->distance_to(server->entry), rules, now) <=
                   static_cast<double>(target_latency.count());
    });
    if (!in_time) {
        add(far);
    }
    usable = std::move(drawn);
}

/// Whether this host holds the allowance of a cold server, and may send a request out of it now.
bool front::state::has_loan(const server_state& server, time_point now) const {
    const auto loan = this->loans.find(server.entry.life);
    return loan != this->loans.end() && dispatch::has_credit(loan->second, now);
}

/// Refuses the request if all servers that may run it are cold for too long, and this host holds
/// the allowance of none. Returns whether it was refused.
bool front::state::refuse_if_cold(const request_handle& active, const service_pool& pool,
                                  time_point now) {
    if (active->divided) {
        // Keys move from a cold owner to a warm one.
        return false;
    }
    std::optional<time_point> warm_at;
    for (const auto& [id, server] : pool.servers) {
        if (server.entry.draining || server.replaced || server.notices.leaving_since) {
            continue;
        }
        const dispatch::verdict found =
            dispatch::check(server.place, active->matched_route->allowed_regions, now);
        if (found == dispatch::verdict::eligible ||
            (found == dispatch::verdict::cold && this->loans.contains(server.entry.life))) {
            return false;
        }
        if (found == dispatch::verdict::cold) {
            warm_at = std::min(warm_at.value_or(server.place.cold_until), server.place.cold_until);
        }
    }
    if (!warm_at ||
        to_ms(active->answer_by - *warm_at) >= pool.latency_ms * min_useful_time_ratio) {
        return false;
    }
    this->refuse(active, gateway_errc::servers_cold, now);
    return true;
}

/// Why no server may run the request, whatever its load; empty if one may or if none is known. A
/// request whose key has an owner outside its regions is refused: its keys move there only if all
/// routes of the service allow it.
std::optional<gateway_errc> front::state::barred_by(const active_request& active,
                                                    const service_pool& pool,
                                                    time_point now) const {
    const dispatch::region_list& allowed = active.matched_route->allowed_regions;
    bool evacuated = false;
    bool barred = false;
    if (active.divided) {
        const ranges::server_instance* const owner = owner_of(pool.owners, active.key);
        const auto found = owner == nullptr ? pool.servers.end() : pool.servers.find(owner->id);
        if (found != pool.servers.end() &&
            !dispatch::is_allowed(allowed, found->second.place.region)) {
            return gateway_errc::region_not_allowed;
        }
    }
    for (const auto& [id, server] : pool.servers) {
        if (server.entry.draining || server.replaced || server.notices.leaving_since) {
            continue;
        }
        const dispatch::verdict found = dispatch::check(server.place, allowed, now);
        if (found == dispatch::verdict::eligible || found == dispatch::verdict::cold) {
            return std::nullopt;
        }
        evacuated = evacuated || found == dispatch::verdict::evacuated;
        barred = true;
    }
    if (!barred) {
        return std::nullopt;
    }
    return evacuated ? gateway_errc::data_centre_evacuated : gateway_errc::region_not_allowed;
}

/// Refuses the request if no server may run it, whatever its load. Returns whether it was refused.
bool front::state::refuse_if_barred(const request_handle& active, const service_pool& pool,
                                    time_point now) {
    const auto reason = this->barred_by(*active, pool, now);
    if (!reason) {
        return false;
    }
    (*reason == gateway_errc::region_not_allowed ? this->refused_by_region
                                                 : this->refused_by_evacuation)
        .add();
    this->refuse(active, *reason, now);
    return true;
}

}  // namespace greengagechute::gateway
