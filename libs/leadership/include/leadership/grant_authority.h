#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "leadership/members.h"

#include <map>
#include <optional>

namespace greengagechute::leadership {

/// Whether a coordinator may grant leases.
///
/// The load that these functions answer: a partition separates the coordinator from the store and
/// from most hosts, while some hosts and servers of its own side still reach it. A successor is
/// elected on the other side, and must be able to tell when the leases of this coordinator end.

struct authority_settings {
    /// Time for which a coordinator may grant after it had proof that it has not been replaced. Two
    /// reports of each host fit into it.
    milliseconds max_proof_age{1'000};
};

/// A coordinator's proofs that it has not been replaced.
struct grant_authority {
    authority_settings settings;
    /// The coordinator's own host, which always follows it.
    host_id self;
    /// Members that the store holds; empty if they are not known.
    host_set members;
    /// Members that were sent to the store with unknown outcome: the store holds either set.
    std::optional<host_set> proposed;
    /// When each host is known to have followed this coordinator last, on the coordinator's clock.
    std::map<host_id, time_point> followed_at;
    /// When the store was last asked for the term and named this coordinator.
    std::optional<time_point> confirmed_at;
    /// Start of the present outage of the store for this coordinator; empty if there is none.
    std::optional<time_point> outage_since;
};

/// Records that the host followed this coordinator at that time. Earlier times than the known one
/// have no effect.
void record_follower(grant_authority& authority, const host_id& host, time_point followed_at);
/// Records that the store has named this coordinator.
/// @param asked_at  when the call was sent; the answer may have been on its way for long
void record_confirmation(grant_authority& authority, time_point asked_at);
/// Records whether the coordinator has access to the store.
void set_store_available(grant_authority& authority, bool available, time_point now);

/// Number of members that are known to have followed this coordinator at `since` or later.
std::size_t count_followers(const grant_authority& authority, const host_set& members,
                            time_point since);
/// Whether most members follow this coordinator: they then can not follow another one.
bool is_followed_by_majority(const grant_authority& authority, time_point now);
/// Whether leases may be granted or renewed, for the usual duration.
bool may_grant(const grant_authority& authority, time_point now);
/// Whether leases may have the longer duration that bridges an outage of the store: most members
/// know of the outage, and will tell a successor.
bool may_grant_outage_leases(const grant_authority& authority, time_point now);

}  // namespace greengagechute::leadership
