#pragma once

#include "base/result.h"
#include "base/time.h"
#include "placement/service_map.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

namespace greengagechute::placement {

/// Gives a key a partition of its own on the server that has the key now. The new partition gets
/// the successor of the partition that it is split from, so that until the next map both pass to
/// the same server. Does not change the version of the map.
/// Errors: `placement_errc::hot_key_exists`, `hot_key_table_full`, `no_server_available` (the
/// partition has no owner).
status split_hot_key(service_map& map, std::uint64_t key_hash);

/// Returns a key to the partition that its hash gives. The slot keeps its epoch, so that a later
/// use of the slot has a higher one.
/// Errors: `placement_errc::unknown_hot_key`, `hot_key_elsewhere` (both partitions must be on one
/// server).
status merge_hot_key(service_map& map, std::uint64_t key_hash);

/// Thresholds for splitting, merging and moving hot keys. Shares are fractions of the mean load of
/// a server.
struct hot_key_limits {
    /// A key is split off above this share and merged back below `merge_share`. The distance
    /// between the two is the hysteresis.
    double split_share = 0.2;
    double merge_share = 0.05;
    /// A key must be above or below its threshold for this long.
    milliseconds split_after{2000};
    milliseconds merge_after{60000};
    /// A key's partition moves only if its server is above this share, and only to a server that
    /// stays below the present server by at least `least_gain` after the move.
    double overload_share = 1.15;
    double least_gain = 0.1;
    /// Time between two moves of the same key.
    milliseconds move_interval{10000};
    /// Moves of partitions of this service that may be under way at once.
    std::size_t max_moves_in_flight = 4;
};

/// Measured load of a key, summed over all hosts, in the same unit as the server loads.
struct key_load {
    std::uint64_t key_hash = 0;
    double load = 0;
};

/// State that `decide` keeps per key between calls.
struct hot_key_state {
    struct history {
        /// Since when the key has been above the split share or below the merge share.
        time_point above_since;
        time_point below_since;
        bool above = false;
        bool below = false;
        time_point last_move;
        bool has_moved = false;
    };
    std::map<std::uint64_t, history> keys;
};

/// Action: give the key a partition of its own.
struct split_key {
    std::uint64_t key_hash = 0;
};
/// Action: return the key to the partition of its hash.
struct merge_key {
    std::uint64_t key_hash = 0;
};
/// Action: move the partition of a hot key to another server.
struct move_key {
    partition_id partition;
    server_index target = no_server;
};
using hot_key_action = std::variant<split_key, merge_key, move_key>;

/// Decides which keys are split off, merged back and moved. A move back to the server of the base
/// partition precedes the merge of a key that is no longer hot.
/// @param loads            measured loads of the heaviest keys; a key that is absent has no load
/// @param server_loads     load of each server by index, in the same unit
/// @param moves_in_flight  moves of partitions of this service that are under way
std::vector<hot_key_action> decide(hot_key_state& state, const service_map& map,
                                   std::span<const key_load> loads,
                                   std::span<const double> server_loads,
                                   std::size_t moves_in_flight, const hot_key_limits& limits,
                                   time_point now);

}  // namespace greengagechute::placement
