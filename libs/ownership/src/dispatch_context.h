#pragma once

#include "ownership/dispatch.h"

#include <algorithm>
#include <vector>

namespace greengagechute::ownership {

/// One call of `step` for a dispatcher.
struct dispatch_context {
    dispatch_state& state;
    bool has_standing = false;
    time_point now;
    std::vector<dispatch_action> actions;
    /// The set of partitions changed, so that a grant is due.
    bool set_changed = false;
};

inline const placement::server_entry* own_entry(const dispatch_state& state) {
    const auto index = placement::find_server(state.map, state.server);
    return index ? &state.map.servers[*index] : nullptr;
}

inline const placement::partition_entry* entry_of(const placement::service_map& map,
                                                  partition_id partition) {
    return partition.value() < map.partitions.size() ? &map.partitions[partition.value()] : nullptr;
}

inline bool is_divided(const dispatch_state& state) {
    return state.map.partition_count > 0;
}

inline outgoing_partition* find_outgoing(dispatch_state& state, partition_id partition) {
    const auto found =
        std::ranges::find_if(state.outgoing, [partition](const outgoing_partition& entry) {
            return entry.partition.partition == partition;
        });
    return found == state.outgoing.end() ? nullptr : &*found;
}

const held_partition* find_held(const dispatch_state& state, partition_id partition);

/// Adds a partition to the set, or replaces its epoch.
void add_partition(dispatch_context& context, const held_partition& partition);

void remove_partition(dispatch_context& context, partition_id partition);

/// Passes on missing partitions whose plan is usable, and keeps those for which there never was a
/// successor.
void resolve_missing(dispatch_context& context);

/// The server that the map plans as the next owner. Null if the map shows another owner or epoch,
/// or plans none.
const placement::server_entry* planned_successor(const dispatch_state& state,
                                                 const held_partition& partition);

void adopt_map(dispatch_context& context, const placement::service_map& map);
void start_moves(dispatch_context& context, const move_requested& event);
void finish_move(dispatch_context& context, partition_id partition);
void receive_partition(dispatch_context& context, const partition_received& event);
void record_acknowledgement(dispatch_context& context, const held_partition& partition);

/// Marks partitions as released that the confirmed set no longer contains.
void release_confirmed(dispatch_context& context, std::uint64_t confirmed_set_version);

/// Marks all outgoing partitions as released. Valid once every grant of the former run has ended
/// and no other host can renew it.
void release_outgoing(dispatch_context& context);

/// Passes on every partition for which the map has a plan.
void hand_over_all(dispatch_context& context);

/// Sends hand-overs that are due and repeats reports about owners.
void send_pending(dispatch_context& context);

void end_authority(dispatch_context& context);

}  // namespace greengagechute::ownership
