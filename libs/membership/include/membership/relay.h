#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/roster.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace greengagechute::membership {

inline constexpr std::size_t relay_fan_out = 16;

/// The parent of `self` in the tree over the roster with the coordinator as root. Empty for the
/// root and for hosts that are not in the roster.
std::optional<host_instance> parent_of(const roster& members, const host_instance& coordinator,
                                       const host_instance& self);

/// The children of `self`, at most `relay_fan_out`. Empty for hosts that are not in the roster.
std::vector<host_instance> children_of(const roster& members, const host_instance& coordinator,
                                       const host_instance& self);

/// What a host reports about itself with a heartbeat.
struct host_report {
    host_instance host;
    roster_version members;
    revision active;
    /// 0 if no note is prepared.
    revision prepared;
};

/// Acknowledgements of one heartbeat that a relay collects before it passes them to its parent.
struct ack_collection {
    term_number term;
    std::uint64_t sequence = 0;
    time_point started;
    std::set<host_instance> awaited;
    std::vector<host_report> reports;
    /// How long to wait for the children.
    milliseconds wait{0};
    bool passed_on = false;
};

/// Time for which a relay waits for each level below it. Three levels, which hold 4,369 hosts, fit
/// into one heartbeat period.
inline constexpr milliseconds ack_wait_per_level{250};

/// Number of tree levels below `self`; 0 for a host without children.
std::size_t levels_below(const roster& members, const host_instance& coordinator,
                         const host_instance& self);

/// Begins the collection for a heartbeat, with the relay's own report. A relay waits longer than
/// its children do, so that a silent grandchild does not cost the whole branch.
/// @param levels  see `levels_below`
ack_collection start_collection(term_number term, std::uint64_t sequence, const host_report& own,
                                const std::vector<host_instance>& children, time_point now,
                                std::size_t levels = 1);

/// Adds the acknowledgement of a child. Returns false, and adds nothing, if it is for another
/// heartbeat or from a host that is not awaited (also a second time).
bool add_acknowledgement(ack_collection& collection, const host_instance& child, term_number term,
                         std::uint64_t sequence, const std::vector<host_report>& reports);

/// Whether the collection should be passed to the parent now: all children have answered or
/// its wait is over. True once; a late acknowledgement is passed on alone by the caller.
bool take_if_ready(ack_collection& collection, time_point now);

}  // namespace greengagechute::membership
