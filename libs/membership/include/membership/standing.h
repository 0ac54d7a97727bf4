#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/roster.h"
#include "membership/tick.h"

#include <map>
#include <optional>
#include <variant>

namespace greengagechute::membership {

struct standing_timing {
    /// Evidence older than this does not allow work.
    milliseconds bound{6000};
    /// A host without evidence for this long tells the others so. It is less than the bound, so
    /// that the statements are exchanged before anyone's standing ends.
    milliseconds statement_after{3000};
};

/// Evidence that this host may use its authority.
///
/// Every event names the earliest time, on the local clock, at which its content was true. For an
/// answer this is the time at which the question was sent. For a heartbeat it is the send time of
/// the last message of this host that the sender had received (the heartbeat echoes it), never the
/// arrival time: a message can wait in a queue for any time.
struct standing_state {
    host_instance self;
    standing_timing times;
    roster members;
    /// Version that was heard of but not read; evidence counts again once that roster is known.
    roster_version newest_heard;
    /// Set for a host that serves without being in the roster: the term of the coordinator that
    /// counts it.
    std::optional<term_number> guest_of;
    /// A roster newer than the join of this instance does not contain it. Final: the process has to
    /// start again with a new incarnation.
    bool removed = false;
    /// The instance was in a roster.
    bool was_member = false;
    std::optional<time_point> coordinator_evidence;
    /// Evidence that counts once the roster `newest_heard` is known and has this instance.
    std::optional<time_point> held_evidence;
    std::optional<time_point> store_evidence;
    /// Last statement of each roster host that it has no evidence either.
    std::map<host_instance, time_point> peers_without_evidence;
};

// Events.
/// A heartbeat arrived through the tree.
struct coordinator_heard {
    term_number term;
    roster_version members;
    /// See `standing_state`.
    time_point sent_after;
    /// Age of the coordinator's own evidence (last committed renewal of its term, or its own
    /// majority of hosts without evidence), plus the ages added by each relay.
    milliseconds age{0};
};
/// The store was read at or after `asked_at`.
struct store_read {
    roster members;
    time_point asked_at;
};
/// A roster host states that it has neither heard the coordinator nor read the store lately. At the
/// coordinator each heartbeat acknowledgement counts as this statement, since it names the roster
/// that the host knows; this keeps its evidence fresh while the store is down.
struct peer_without_evidence {
    host_instance peer;
    /// Version of the roster that the peer knows.
    roster_version members;
    time_point sent_after;
};
/// A committed roster became known from the coordinator or a peer. No evidence in itself.
struct roster_learned {
    roster members;
};
/// The coordinator of this term counts this host as a guest.
struct guest_accepted {
    term_number term;
    time_point sent_after;
};
using standing_event = std::variant<tick, coordinator_heard, store_read, peer_without_evidence,
                                    roster_learned, guest_accepted>;

// Actions.
/// A newer roster exists: ask the coordinator, a peer or the store for it.
struct fetch_roster {
    roster_version at_least;
};
/// This instance was removed: stop all work, then start again as a new incarnation.
struct instance_removed {};
using standing_action = std::variant<fetch_roster, instance_removed>;

std::vector<standing_action> step(standing_state& state, const standing_event& event,
                                  time_point now);

/// Whether the host may admit work and renew grants at `now`.
bool has_standing(const standing_state& state, time_point now);

/// Whether the host has neither heard the coordinator nor read the store for `statement_after`, and
/// knows of no newer roster. Only then may it tell others so.
bool without_evidence(const standing_state& state, time_point now);

/// Age of the newest evidence, for heartbeats to children. Valid together with the roster version
/// that this host knows. Empty without standing.
std::optional<milliseconds> evidence_age(const standing_state& state, time_point now);

}  // namespace greengagechute::membership
