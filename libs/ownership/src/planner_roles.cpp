#include "base/hash.h"
#include "planner_context.h"

#include <algorithm>
#include <tuple>

namespace greengagechute::ownership {

namespace {

const host_instance no_host{};

// Rank of a host for a server, lowest first; see `preferred_hosts`.
int placement_rank(const placement::server_entry& server, const roster_host& host) {
    if (host.region != server.region) {
        return 2;
    }
    return host.data_centre == server.data_centre ? 1 : 0;
}

const roster_host* find_host(const planner_state& state, const host_instance& host) {
    const auto found = std::ranges::find(state.hosts, host, &roster_host::host);
    return found == state.hosts.end() ? nullptr : &*found;
}

// Chooses a standby in the data centre of the dispatcher where possible, so that a failed link
// between data centres does not separate the two.
host_instance choose_standby(const planner_state& state, const placement::server_entry& server,
                             const host_instance& dispatcher) {
    const roster_host* active = find_host(state, dispatcher);
    host_instance fallback;
    for (const host_instance& candidate : preferred_hosts(server, state.hosts)) {
        if (candidate.host == dispatcher.host || has_ended(state, candidate)) {
            continue;
        }
        if (fallback == no_host) {
            fallback = candidate;
        }
        const roster_host* host = find_host(state, candidate);
        if (active != nullptr && host->data_centre == active->data_centre &&
            placement_rank(server, *host) == placement_rank(server, *active)) {
            return candidate;
        }
    }
    return fallback;
}

void assign_standby(planner_context& context, placement::server_entry& server,
                    std::optional<host_instance> old_standby) {
    server_roles& roles = context.state.roles[server.server];
    server.standby = choose_standby(context.state, server, server.dispatcher);
    server.standby_confirmed = false;
    roles.standby_named = context.next_version();
    roles.old_standby = old_standby == no_host ? std::nullopt : std::move(old_standby);
    roles.old_standby_ended.reset();
    roles.standby_known = true;
    roles.waiting_since = context.now;
    context.changed = true;
}

void remove_dispatcher(planner_context& context, placement::server_entry& server) {
    server_roles& roles = context.state.roles[server.server];
    roles.old_dispatcher = server.dispatcher;
    roles.dispatcher_removed = context.next_version();
    roles.dispatcher_known = true;
    server.dispatcher = no_host;
    context.changed = true;
}

// Assigns a standby that took over as the dispatcher. This is safe at once: only a confirmed
// standby can take over, and the server then refuses the old dispatcher.
bool adopt_announced(planner_context& context, placement::server_entry& server) {
    planner_state& state = context.state;
    const auto announced = state.announced.find(server.server);
    if (announced == state.announced.end()) {
        return false;
    }
    const auto [host, version] = announced->second;
    state.announced.erase(announced);
    const server_roles& roles = state.roles[server.server];
    const map_version named = roles.standby_known ? roles.standby_named : state.first_version;
    if (host != server.standby || version < named || has_ended(state, host)) {
        return false;
    }
    server.dispatcher = host;
    assign_standby(context, server, std::nullopt);
    return true;
}

// Whether no former dispatcher can send grants to the server any more. If the former dispatcher is
// unknown, every host of the roster must have applied the map, and the authority of all other hosts
// must have ended.
bool is_old_dispatcher_inactive(const planner_context& context,
                                const placement::server_entry& server, const server_roles& roles) {
    const planner_state& state = context.state;
    if (!roles.dispatcher_known) {
        return context.now - state.started >= state.settings.authority_bound &&
               all_have_applied(state, server.server, state.map.version);
    }
    return !roles.old_dispatcher || has_ended(state, *roles.old_dispatcher) ||
           has_applied(state, *roles.old_dispatcher, server.server, roles.dispatcher_removed);
}

// Whether the standby can't take over any more: its authority has ended, or it left the server to
// the coordinator.
bool is_standby_inactive(const planner_state& state, const placement::server_entry& server,
                         const server_roles& roles) {
    if (server.standby == no_host || has_ended(state, server.standby)) {
        return true;
    }
    const map_version needed =
        roles.dispatcher_known ? roles.dispatcher_removed : state.map.version;
    const auto found = state.acknowledged.find(server.standby);
    return found != state.acknowledged.end() && found->second.version >= needed &&
           !found->second.lagging.contains(server.server) &&
           found->second.consents.contains(server.server);
}

// Whether no former standby can take over any more.
bool is_old_standby_inactive(const planner_context& context, const placement::server_entry& server,
                             const server_roles& roles) {
    const planner_state& state = context.state;
    if (server.standby_confirmed) {
        return true;
    }
    if (!roles.standby_known) {
        return context.now - state.started >= state.settings.authority_bound &&
               all_have_applied(state, server.server, state.map.version);
    }
    return !roles.old_standby || has_ended(state, *roles.old_standby) ||
           has_applied(state, *roles.old_standby, server.server, roles.standby_named);
}

// Whether it is certain that no former standby has taken over or can still do so.
bool is_dispatcher_proven(planner_context& context, const placement::server_entry& server,
                          server_roles& roles) {
    const planner_state& state = context.state;
    if (!roles.standby_known) {
        return context.now - state.started >= state.settings.authority_bound &&
               all_have_applied(state, server.server, state.map.version);
    }
    if (!roles.old_standby ||
        has_applied(state, *roles.old_standby, server.server, roles.standby_named)) {
        return true;
    }
    if (!has_ended(state, *roles.old_standby)) {
        return false;
    }
    if (!roles.old_standby_ended) {
        // The old standby may have taken over before its authority ended. A dispatcher that applies
        // a version committed from now on has not been taken over.
        roles.old_standby_ended = context.next_version();
        context.changed = true;
    }
    return has_applied(state, server.dispatcher, server.server, *roles.old_standby_ended);
}

// Executes the recovery plan: moves the server's partitions to their successors and assigns hosts
// anew.
void recover_server(planner_context& context, placement::server_index index) {
    for (std::size_t number = 0; number < context.state.map.partitions.size(); ++number) {
        if (context.state.map.partitions[number].owner == index) {
            advance_partition(context, number);
        }
    }
    assign_hosts(context, index);
}

// Whether the server owns partitions or is the successor of some.
bool has_partitions(const placement::service_map& map, const server_id& server) {
    const auto index = placement::find_server(map, server);
    return index && std::ranges::any_of(map.partitions, [&](const auto& entry) {
               return entry.owner == *index || entry.successor == *index;
           });
}

// Whether the host has acknowledged the map but reports the server as lagging.
bool is_lagging(const planner_state& state, const host_instance& host, const server_id& server,
                map_version version) {
    const auto found = state.acknowledged.find(host);
    return found != state.acknowledged.end() && found->second.version >= version &&
           found->second.lagging.contains(server);
}

// Confirms the standby once no former one can take over, or removes a dispatcher that can't prove
// that it was not taken over.
void confirm_standby(planner_context& context, placement::server_entry& server,
                     server_roles& roles) {
    const planner_state& state = context.state;
    const map_version named = roles.standby_known ? roles.standby_named : state.map.version;
    const bool is_proven = is_dispatcher_proven(context, server, roles);
    if (is_proven && has_applied(state, server.dispatcher, server.server, named)) {
        server.standby_confirmed = true;
        roles.old_standby.reset();
        context.changed = true;
        return;
    }
    // If standby and server fail together, the dispatcher can't prove that it was not taken over,
    // and no host can give it consent.
    const time_point since = roles.standby_known ? roles.waiting_since : state.started;
    const bool is_standby_lost = roles.old_standby && has_ended(state, *roles.old_standby) &&
                                 is_lagging(state, server.dispatcher, server.server, named);
    const bool is_stuck =
        context.now - since >=
        (is_standby_lost ? state.settings.stuck_after : 2 * state.settings.authority_bound);
    if (is_stuck && has_partitions(state.map, server.server)) {
        remove_dispatcher(context, server);
    }
}

// Removes a dispatcher that has been lagging for too long. This happens if it ended because of a
// claim of the standby, but the standby neither took over nor may claim again, because it promised
// an epoch and the server has restarted since.
void remove_idle_dispatcher(planner_context& context, placement::server_entry& server,
                            server_roles& roles) {
    if (!is_lagging(context.state, server.dispatcher, server.server, map_version(0))) {
        roles.lagging_since.reset();
    } else if (!roles.lagging_since) {
        roles.lagging_since = context.now;
    } else if (context.now - *roles.lagging_since >= context.state.settings.authority_bound &&
               has_partitions(context.state.map, server.server)) {
        roles.lagging_since.reset();
        remove_dispatcher(context, server);
    }
}

void plan_server_roles(planner_context& context, placement::server_index index) {
    planner_state& state = context.state;
    placement::server_entry& server = context.next.servers[index];
    if (server.server.value().empty()) {
        return;
    }
    if (index >= state.map.servers.size() || state.map.servers[index].server != server.server) {
        assign_hosts(context, index);
        return;
    }
    if (adopt_announced(context, server)) {
        return;
    }
    server_roles& roles = state.roles[server.server];
    if (server.dispatcher == no_host) {
        if (is_old_dispatcher_inactive(context, server, roles) &&
            is_old_standby_inactive(context, server, roles) &&
            is_standby_inactive(state, server, roles)) {
            recover_server(context, index);
        }
        return;
    }
    if (has_ended(state, server.dispatcher)) {
        remove_dispatcher(context, server);
        return;
    }
    const roster_host* standby = find_host(state, server.standby);
    const bool is_unsuitable =
        server.standby != no_host &&
        (has_ended(state, server.standby) || (standby != nullptr && standby->draining));
    const bool is_missing =
        server.standby == no_host && choose_standby(state, server, server.dispatcher) != no_host;
    // A standby is replaced only once it is confirmed or has ended, so that there is at most one
    // old standby.
    if ((is_unsuitable && (server.standby_confirmed || has_ended(state, server.standby))) ||
        (is_missing && server.standby_confirmed)) {
        if (!roles.old_standby || has_ended(state, *roles.old_standby)) {
            assign_standby(context, server, server.standby);
            return;
        }
    }
    if (!server.standby_confirmed) {
        confirm_standby(context, server, roles);
    } else {
        remove_idle_dispatcher(context, server, roles);
    }
}

}  // namespace

bool has_ended(const planner_state& state, const host_instance& host) {
    return state.ended.contains(host);
}

bool has_applied(const planner_state& state, const host_instance& host, const server_id& server,
                 map_version version) {
    const auto found = state.acknowledged.find(host);
    return found != state.acknowledged.end() && found->second.version >= version &&
           !found->second.lagging.contains(server);
}

bool all_have_applied(const planner_state& state, const server_id& server, map_version version) {
    return std::ranges::all_of(state.hosts, [&](const roster_host& host) {
        return has_applied(state, host.host, server, version);
    });
}

std::vector<host_instance> preferred_hosts(const placement::server_entry& server,
                                           const std::vector<roster_host>& hosts) {
    std::vector<std::tuple<int, std::uint64_t, host_instance>> ranked;
    for (const roster_host& host : hosts) {
        if (!host.draining) {
            const std::uint64_t weight = hash64_pair(server.server.value(), host.host.host.value());
            ranked.emplace_back(placement_rank(server, host), ~weight, host.host);
        }
    }
    std::ranges::sort(ranked);
    std::vector<host_instance> preferred;
    preferred.reserve(ranked.size());
    for (const auto& [rank, weight, host] : ranked) {
        preferred.push_back(host);
    }
    return preferred;
}

void assign_hosts(planner_context& context, placement::server_index index) {
    placement::server_entry& server = context.next.servers[index];
    server.dispatcher = no_host;
    for (const host_instance& host : preferred_hosts(server, context.state.hosts)) {
        if (!has_ended(context.state, host)) {
            server.dispatcher = host;
            break;
        }
    }
    server_roles& roles = context.state.roles[server.server];
    roles.old_dispatcher.reset();
    roles.dispatcher_known = true;
    roles.dispatcher_removed = context.next_version();
    context.state.announced.erase(server.server);
    assign_standby(context, server, std::nullopt);
}

void plan_roles(planner_context& context) {
    for (std::size_t index = 0; index < context.next.servers.size(); ++index) {
        plan_server_roles(context, static_cast<placement::server_index>(index));
    }
}

}  // namespace greengagechute::ownership
