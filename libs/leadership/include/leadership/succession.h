#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "leadership/grant_authority.h"
#include "leadership/members.h"

#include <optional>

namespace greengagechute::leadership {

/// Until when the coordinators before this one may have granted leases.
///
/// The load that these functions answer: a new coordinator does not reach some servers. The former
/// coordinator, which may be alive on the same side of a partition as they are, may still renew
/// their leases.

/// Longest lease durations, from the sending of a grant to the end of its lease.
struct lease_spans {
    milliseconds regular{0};
    /// While the coordinator has no access to the store.
    milliseconds outage{0};
};

/// What a new coordinator knows of the hosts that followed the former ones.
struct succession {
    /// Members that the former coordinator stored. Empty if the store has none, which is so before
    /// the first coordinator and after one of an earlier release.
    host_set members;
    /// Whether `members` has been read from the store.
    bool members_known = false;
    /// Hosts that follow this coordinator and so no other one any more.
    host_set followers;
    /// Those of them that have not been told lately of an outage of the store by a coordinator.
    host_set unaware;
    /// When most members were among the followers, and among the unaware ones.
    std::optional<time_point> majority_at;
    std::optional<time_point> unaware_majority_at;
};

/// Sets the members that the store held when the term began.
void set_members(succession& term, const host_set& members, time_point now);
/// Records that the host follows the new coordinator.
/// @param told_of_outage  see `was_told_of_outage`
void record_follower(succession& term, const host_id& host, bool told_of_outage, time_point now);

/// From when on no earlier coordinator grants leases; empty while that is not known.
std::optional<time_point> predecessors_stopped_at(const succession& term,
                                                  const authority_settings& settings);
/// From when on no lease of an earlier coordinator is in force; empty while that is not known.
std::optional<time_point> predecessor_leases_end(const succession& term,
                                                 const authority_settings& settings,
                                                 const lease_spans& spans);

/// Whether a coordinator may have granted leases of the longer duration because this host knew of
/// an outage of the store, and they may still be in force.
/// @param told_at     when a coordinator last told this host of an outage; empty if none has since
///                    the process began
/// @param started_at  when the process began: it does not know what the one before was told
bool was_told_of_outage(std::optional<time_point> told_at, time_point started_at,
                        const authority_settings& settings, const lease_spans& spans,
                        time_point now);

}  // namespace greengagechute::leadership
