#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "placement/service_map.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagechute::placement {

/// A server of the catalogue, as input of the placement.
struct placement_server {
    server_id server;
    region_id region;
    data_centre_id data_centre;
    /// Relative capacity of the server; at least 1.
    std::uint32_t slots = 1;
    /// The server takes no partitions and those it has are moved away.
    bool leaving = false;
};

/// Partition count and load bounds of the placement.
struct placement_limits {
    /// Used for a new service; a power of two. A previous map keeps its own count.
    std::uint32_t partition_count = 1024;
    /// Largest load of a server relative to its fair share. A server above it gives up partitions
    /// until it is below the bound.
    double upper_bound = 1.15;
    /// A server below this part of its fair share is filled up to its fair share. A join moves no
    /// more than that.
    double lower_bound = 0.85;
};

/// Result of the placement: the intended owner and successor of each partition. Indices refer to
/// `servers`.
struct placement_target {
    /// Entries of the previous map under their old indices, with `leaving` brought up to date,
    /// followed by the new servers. A server that the catalogue no longer names is marked as
    /// leaving. New servers have no dispatcher and no standby.
    std::vector<server_entry> servers;
    /// One entry for each entry of `service_map::partitions`. `no_server` for unused slots of the
    /// hot-key table.
    std::vector<server_index> owners;
    /// `no_server` if there is only one server that may take partitions.
    std::vector<server_index> successors;
    /// Partitions whose owner differs from the previous map.
    std::size_t moved = 0;
};

/// Computes target owners and successors.
///
/// Partitions stay where they are unless their server leaves or is outside the bounds. The
/// partitions of a server get successors that are spread over the other servers, in another data
/// centre where at least a third of the other servers are outside, so that the loss of one server
/// spreads its load.
///
/// @param previous  the map in force, or null for a new service
/// @param servers   servers of the catalogue, in any order
/// @param loads     load of each entry of `service_map::partitions` in any unit, or empty if
///                  unknown
/// Errors: `placement_errc::no_server_available`, `too_many_servers`, `invalid_servers`,
/// `invalid_partition_count`, `invalid_loads`.
result<placement_target> place(const service_map* previous,
                               std::span<const placement_server> servers,
                               const placement_limits& limits, std::span<const double> loads = {});

/// Largest load of a server that is not leaving, relative to its fair share by slots.
/// @param slots  slots of each server, by index; 0 for leaving servers
double imbalance(std::span<const server_index> owners, std::span<const std::uint32_t> slots,
                 std::span<const double> loads = {});

}  // namespace greengagechute::placement
