#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace greengagechute::ownership {

/// A time on a server's own monotonic clock, in milliseconds since an arbitrary start.
using server_time = strong_id<struct server_time_tag, std::int64_t>;

/// One run of a server process; a restarted server holds no grant.
using boot_id = strong_id<struct boot_tag, std::uint64_t>;

/// A partition at one epoch. A higher epoch means a later owner.
struct held_partition {
    partition_id partition;
    epoch current;

    friend auto operator<=>(const held_partition&, const held_partition&) = default;
    friend bool operator==(const held_partition&, const held_partition&) = default;
};

/// The right of a server to run work for a set of partitions until a time on its own clock, as sent
/// by its dispatcher.
struct grant {
    service_id service;
    server_id server;
    /// Host that sends the grant.
    host_instance holder;
    /// Fencing token of the dispatcher.
    epoch dispatcher_epoch;
    /// The dispatcher epoch at the server on which this grant is based. Compare-and-set at the
    /// server.
    epoch expected_epoch;
    /// Version of the set; grows with each change of `partitions` within one dispatcher epoch.
    std::uint64_t set_version = 0;
    std::vector<held_partition> partitions;
    /// The run of the server that the grant is for; other runs refuse it.
    boot_id boot;
    /// End of the right on the server's clock.
    server_time end;
};

/// The state of a server that accepts grants. Also the rule of the stand-in upstream.
struct server_state {
    boot_id boot;
    epoch dispatcher_epoch;
    host_instance holder;
    std::uint64_t set_version = 0;
    /// Sorted.
    std::vector<held_partition> partitions;
    server_time end;
};

/// What a server answers to a grant or to a status request.
struct server_report {
    bool accepted = false;
    boot_id boot;
    server_time now;
    epoch dispatcher_epoch;
    host_instance holder;
    std::uint64_t set_version = 0;
    std::vector<held_partition> partitions;
    server_time end;
    /// The server reports that it drains.
    bool draining = false;
};

/// Decides about a grant at the server. The run must match and the end must be in the future;
/// besides, one of these must hold:
/// - the dispatcher epoch and the holder are those in force and the set version is not lower. The
///   end then never becomes earlier.
/// - the dispatcher epoch is higher, `expected_epoch` is the one in force, and the set version is
///   higher than the one in force. The set version thus detects a set that changed after the new
///   dispatcher read it. Set and end are replaced by those of the order.
server_report apply_grant(server_state& state, const grant& offered_grant, server_time now);

/// The report of a server that was only asked.
server_report report_state(const server_state& state, server_time now);

/// Whether the server may start work for a partition. False is a true "not run".
bool may_run(const server_state& state, const held_partition& wanted, epoch dispatcher_epoch,
             server_time now);

/// The same with the reason of a refusal. Empty if the work may start.
/// Errors: `ownership_errc::no_grant`, `grant_ended`, `wrong_dispatcher_epoch`,
/// `partition_not_held`, `wrong_partition_epoch`.
status check_run(const server_state& state, const held_partition& wanted, epoch dispatcher_epoch,
                 server_time now);

/// What every server of an undivided service holds. It is never handed over.
inline const held_partition whole_service{partition_id(0), epoch(0)};

}  // namespace greengagechute::ownership
