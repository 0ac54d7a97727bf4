#pragma once

#include "ownership/map_planner.h"

namespace greengagechute::ownership {

/// The next map while it is planned. Decisions read `state.map`, which is in force, and write
/// `next`.
struct planner_context {
    planner_state& state;
    time_point now;
    placement::service_map next;
    bool changed = false;

    map_version next_version() const { return this->state.map.version.next(); }
};

bool has_ended(const planner_state& state, const host_instance& host);

/// Whether the host acts on `version` or a later one for the server.
bool has_applied(const planner_state& state, const host_instance& host, const server_id& server,
                 map_version version);

/// Whether every host of the roster acts on `version` or a later one for the server.
bool all_have_applied(const planner_state& state, const server_id& server, map_version version);

/// Names a dispatcher and a standby for a server that nobody may order.
void assign_hosts(planner_context& context, placement::server_index index);

/// Changes of dispatchers and standbys, and the recovery plan for servers that nobody may order.
void plan_roles(planner_context& context);

/// Moves a partition to its planned successor at the next epoch.
void advance_partition(planner_context& context, std::size_t number);

/// Changes of successors. A successor is replaced in two steps (see `partition_entry::frozen`).
void plan_successors(planner_context& context);

/// The move requests that are due.
std::vector<planner_action> plan_moves(planner_state& state, time_point now);

}  // namespace greengagechute::ownership
