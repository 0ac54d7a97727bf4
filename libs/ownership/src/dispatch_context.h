#pragma once

#include "ownership/dispatch.h"

#include <algorithm>
#include <vector>

namespace greengagechute::ownership {

/// Context of one call of `step` for a dispatcher.
struct dispatch_context {
    dispatch_state& state;
    bool has_standing = false;
    time_point now;
    std::vector<dispatch_action> actions;
    /// The set of held partitions changed, so that a grant has to be sent.
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

/// Adds a partition to the held set, or replaces its epoch.
void add_partition(dispatch_context& context, const held_partition& partition);

void remove_partition(dispatch_context& context, partition_id partition);

/// Starts to hand over missing partitions that have a usable plan, and adds those without a planned
/// successor to the held set, since they can't have been handed over. The others stay missing.
void resolve_missing(dispatch_context& context);

/// Returns the server that the map plans as the next owner. Null if the map has another owner or
/// epoch, no successor or a frozen plan.
const placement::server_entry* planned_successor(const dispatch_state& state,
                                                 const held_partition& partition);

void adopt_map(dispatch_context& context, const placement::service_map& map);
void start_moves(dispatch_context& context, const move_requested& event);
void finish_move(dispatch_context& context, partition_id partition);
void receive_partition(dispatch_context& context, const partition_received& event);
void record_acknowledgement(dispatch_context& context, const held_partition& partition);

/// Marks outgoing partitions as released that the confirmed set no longer contains.
void release_confirmed(dispatch_context& context, std::uint64_t confirmed_set_version);

/// Marks all outgoing partitions as released. Call this only once every grant to the former run of
/// the server has ended and no other host can renew one.
void release_outgoing(dispatch_context& context);

/// Executes the recovery plan: hands over every partition with a planned successor.
void hand_over_all(dispatch_context& context);

/// Sends hand-overs that are due and repeats owner reports.
void send_pending(dispatch_context& context);

void end_authority(dispatch_context& context);

}  // namespace greengagechute::ownership
