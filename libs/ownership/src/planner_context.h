#pragma once

#include "ownership/map_planner.h"

namespace greengagechute::ownership {

/// Context of one planning of the next map. Decisions read `state.map`, which is committed, and
/// write `next`.
struct planner_context {
    planner_state& state;
    time_point now;
    placement::service_map next;
    /// `next` differs from the committed map, so that a commit is needed.
    bool changed = false;

    map_version next_version() const { return this->state.map.version.next(); }
};

/// Whether the authority of the host has certainly ended.
bool has_ended(const planner_state& state, const host_instance& host);

/// Whether the host has applied `version` or a later one for the server.
bool has_applied(const planner_state& state, const host_instance& host, const server_id& server,
                 map_version version);

/// Whether every host of the roster has applied `version` or a later one for the server.
bool all_have_applied(const planner_state& state, const server_id& server, map_version version);

/// Assigns a dispatcher and a standby to a server to which no host can send grants.
void assign_hosts(planner_context& context, placement::server_index index);

/// Plans changes of dispatchers and standbys, and executes the recovery plan for servers to which
/// no host can send grants.
void plan_roles(planner_context& context);

/// Moves a partition to its planned successor at the next epoch.
void advance_partition(planner_context& context, std::size_t number);

/// Plans changes of successors. A successor is replaced in two steps (see
/// `partition_entry::frozen`).
void plan_successors(planner_context& context);

/// Returns the move requests that are due, and records them.
std::vector<planner_action> plan_moves(planner_state& state, time_point now);

}  // namespace greengagechute::ownership
