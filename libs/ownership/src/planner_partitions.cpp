#include "planner_context.h"

#include <algorithm>

namespace greengagechute::ownership {

namespace {

using placement::no_server;
using placement::server_index;

void record_plan_change(planner_context& context, std::size_t number) {
    context.state.plan_since[partition_id(static_cast<std::uint32_t>(number))] =
        context.next_version();
    context.changed = true;
}

// Map version of the last change of the partition's plan.
map_version plan_version(const planner_state& state, partition_id partition) {
    const auto found = state.plan_since.find(partition);
    return found == state.plan_since.end() ? state.first_version : found->second;
}

bool is_usable(const placement::service_map& map, server_index index) {
    return index != no_server && index < map.servers.size() && !map.servers[index].leaving;
}

// Returns the server to which the partition should move next: its target owner if that is another
// server, otherwise the successor that the placement chose.
server_index desired_successor(const planner_context& context, std::size_t number) {
    const planner_state& state = context.state;
    const server_index owner = context.next.partitions[number].owner;
    for (const auto* wanted : {&state.target_owners, &state.target_successors}) {
        if (number < wanted->size() && (*wanted)[number] != owner &&
            is_usable(context.next, (*wanted)[number])) {
            return (*wanted)[number];
        }
    }
    // While the placement is outdated, any other usable server.
    for (std::size_t offset = 1; offset <= context.next.servers.size(); ++offset) {
        const auto candidate =
            static_cast<server_index>((owner + number + offset) % context.next.servers.size());
        if (candidate != owner && is_usable(context.next, candidate)) {
            return candidate;
        }
    }
    return no_server;
}

// Whether the owner's dispatcher and confirmed standby have applied the present plan.
bool is_plan_known(const planner_state& state, std::size_t number) {
    const placement::partition_entry& entry = state.map.partitions[number];
    const placement::server_entry& server = state.map.servers[entry.owner];
    const partition_id partition(static_cast<std::uint32_t>(number));
    const map_version since = plan_version(state, partition);
    if (!server.standby_confirmed || has_ended(state, server.dispatcher) ||
        has_ended(state, server.standby) ||
        !has_applied(state, server.dispatcher, server.server, since)) {
        return false;
    }
    const auto split = state.split_versions.find(partition);
    if (split != state.split_versions.end() &&
        !all_have_applied(state, server.server, split->second)) {
        return false;
    }
    return server.standby == host_instance{} ||
           has_applied(state, server.standby, server.server, since);
}

// Whether the server's dispatcher has applied the map that assigned it, and so sends grants. A
// partition that is moved to a failed server would not be served before the server returns.
bool can_receive_partitions(const planner_state& state, server_index index) {
    const placement::server_entry& server = state.map.servers[index];
    const auto roles = state.roles.find(server.server);
    const bool is_known = roles != state.roles.end() && roles->second.dispatcher_known;
    const map_version named = is_known ? roles->second.dispatcher_removed : state.first_version;
    return !has_ended(state, server.dispatcher) &&
           has_applied(state, server.dispatcher, server.server, named);
}

// Whether the owner has a dispatcher, and its dispatcher and standby stay the same in the next map.
bool are_hosts_unchanged(const planner_context& context, server_index owner) {
    const placement::server_entry& before = context.state.map.servers[owner];
    const placement::server_entry& after = context.next.servers[owner];
    return before.dispatcher == after.dispatcher && before.standby == after.standby &&
           before.standby_confirmed == after.standby_confirmed &&
           after.dispatcher != host_instance{};
}

void plan_successor(planner_context& context, std::size_t number) {
    placement::partition_entry& entry = context.next.partitions[number];
    const partition_id partition(static_cast<std::uint32_t>(number));
    if (entry.owner == no_server || number >= context.state.map.partitions.size() ||
        context.state.map.partitions[number] != entry || context.state.moves.contains(partition)) {
        return;
    }
    if (!are_hosts_unchanged(context, entry.owner)) {
        // At least one of the hosts that could acknowledge the frozen plan has been replaced.
        if (entry.frozen) {
            entry.frozen = false;
            record_plan_change(context, number);
        }
        return;
    }
    const server_index wanted = desired_successor(context, number);
    if (wanted == entry.successor) {
        if (entry.frozen) {
            entry.frozen = false;
            record_plan_change(context, number);
        }
        return;
    }
    if (entry.successor == no_server) {
        entry.successor = wanted;
        record_plan_change(context, number);
        return;
    }
    if (!is_plan_known(context.state, number)) {
        // A standby that takes the server over may need the old plan. A frozen plan that is not
        // applied within the authority bound is unfrozen.
        if (!entry.frozen) {
            return;
        }
        const auto since =
            context.state.frozen_since.try_emplace(partition, context.now).first->second;
        if (context.now - since >= context.state.settings.authority_bound) {
            entry.frozen = false;
            context.state.frozen_since.erase(partition);
            record_plan_change(context, number);
        }
        return;
    }
    context.state.frozen_since.erase(partition);
    if (entry.frozen) {
        entry.successor = wanted;
        entry.frozen = false;
    } else {
        entry.frozen = true;
    }
    record_plan_change(context, number);
}

}  // namespace

void advance_partition(planner_context& context, std::size_t number) {
    placement::partition_entry& entry = context.next.partitions[number];
    if (entry != context.state.map.partitions[number]) {
        return;
    }
    if (entry.successor != no_server) {
        entry.owner = entry.successor;
    }
    entry.current = entry.current.next();
    entry.frozen = false;
    entry.successor = desired_successor(context, number);
    context.state.moves.erase(partition_id(static_cast<std::uint32_t>(number)));
    context.state.target_outdated = true;
    record_plan_change(context, number);
}

void plan_successors(planner_context& context) {
    for (std::size_t number = 0; number < context.next.partitions.size(); ++number) {
        plan_successor(context, number);
    }
}

std::vector<planner_action> plan_moves(planner_state& state, time_point now) {
    std::erase_if(state.moves, [&state](const auto& item) {
        const auto& [partition, move] = item;
        return state.map.partitions[partition.value()].current != move.current;
    });
    std::map<server_index, std::vector<partition_id>> due;
    for (std::size_t number = 0;
         number < std::min(state.map.partitions.size(), state.target_owners.size()); ++number) {
        const placement::partition_entry& entry = state.map.partitions[number];
        const partition_id partition(static_cast<std::uint32_t>(number));
        const server_index target = state.target_owners[number];
        if (entry.owner == no_server || target == entry.owner || target != entry.successor ||
            entry.frozen) {
            continue;
        }
        const auto present = state.moves.find(partition);
        const bool is_new = present == state.moves.end();
        if (is_new && state.moves.size() >= state.settings.max_moves_in_flight) {
            continue;
        }
        if (!is_new && now - present->second.requested < state.settings.move_retry) {
            continue;
        }
        if (is_plan_known(state, number) && can_receive_partitions(state, target)) {
            state.moves[partition] = planner_state::move{entry.current, now};
            due[entry.owner].push_back(partition);
        } else if (!is_new) {
            state.moves.erase(partition);
        }
    }
    std::vector<planner_action> actions;
    for (auto& [owner, partitions] : due) {
        const placement::server_entry& server = state.map.servers[owner];
        actions.emplace_back(request_moves{server.server, server.dispatcher, state.map.version,
                                           std::move(partitions)});
    }
    return actions;
}

}  // namespace greengagechute::ownership
