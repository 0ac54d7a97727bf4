#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace greengagechute::ownership {

/// A time on a server's own monotonic clock, in milliseconds since an arbitrary origin. Times of
/// different servers, or of different runs of one server, can't be compared.
using server_time = strong_id<struct server_time_tag, std::int64_t>;

/// Identifies one run of a server process. A restarted server holds no grant.
using boot_id = strong_id<struct boot_tag, std::uint64_t>;

/// A partition at one epoch. A higher epoch means a later owner.
struct held_partition {
    partition_id partition;
    epoch current;

    friend auto operator<=>(const held_partition&, const held_partition&) = default;
    friend bool operator==(const held_partition&, const held_partition&) = default;
};

/// A lease that a dispatcher sends to a server: until `end` on its own clock the server may run
/// work for `partitions`.
struct grant {
    service_id service;
    server_id server;
    /// The dispatching host that sends the grant.
    host_instance holder;
    /// Fencing token of the dispatcher. The server refuses grants of lower epochs
    /// and work of other epochs.
    epoch dispatcher_epoch;
    /// The dispatcher epoch that the sender last read from the server. A grant with a new
    /// `dispatcher_epoch` is accepted only if the server still has this one (compare-and-set).
    epoch expected_epoch;
    /// Version of `partitions`. Increases with each change and with each new dispatcher epoch.
    std::uint64_t set_version = 0;
    std::vector<held_partition> partitions;
    /// The run of the server that the grant is for. Other runs refuse it.
    boot_id boot;
    /// Expiry on the server's clock, exclusive.
    server_time end;
};

/// The grant in force at a server. Servers and the upstreams that tests use in their place follow
/// the rules of `apply_grant` and `check_run`.
struct server_state {
    boot_id boot;
    epoch dispatcher_epoch;
    host_instance holder;
    std::uint64_t set_version = 0;
    /// Sorted by partition.
    std::vector<held_partition> partitions;
    server_time end;
};

/// A server's reply to a grant or a status request: its state after the request.
struct server_report {
    /// Whether the grant was accepted; false in a reply to a status request.
    bool accepted = false;
    boot_id boot;
    server_time now;
    epoch dispatcher_epoch;
    host_instance holder;
    std::uint64_t set_version = 0;
    std::vector<held_partition> partitions;
    server_time end;
    /// The server is draining.
    bool draining = false;
};

/// Applies a grant to the server's state if it is valid; otherwise the state stays unchanged. The
/// run must match and the end must be in the future. In addition, the grant must be one of these:
/// - a renewal: the dispatcher epoch and the holder are those in force and the set version is not
///   lower. The end then never becomes earlier.
/// - a claim by a new dispatcher: the dispatcher epoch is higher, `expected_epoch` is the one in
///   force, and the set version is higher than the one in force. The set version thus detects a set
///   that changed after the new dispatcher read it. Set and end are replaced by those of the grant.
server_report apply_grant(server_state& state, const grant& offered_grant, server_time now);

/// The server's reply to a status request. Changes no state.
server_report report_state(const server_state& state, server_time now);

/// Whether the server may start work for a partition. If false, the work has certainly not run.
bool may_run(const server_state& state, const held_partition& wanted, epoch dispatcher_epoch,
             server_time now);

/// The same as `may_run`, with the reason for a refusal. The status is empty if the work may start.
/// Errors: `ownership_errc::no_grant`, `grant_ended`, `wrong_dispatcher_epoch`,
/// `partition_not_held`, `wrong_partition_epoch`.
status check_run(const server_state& state, const held_partition& wanted, epoch dispatcher_epoch,
                 server_time now);

/// The partition that every server of a service without partitions holds. It is never handed over.
inline const held_partition whole_service{partition_id(0), epoch(0)};

}  // namespace greengagechute::ownership
