#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "release/catalogue.h"
#include "release/tick.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace greengagechute::release {

struct activation_timing {
    /// A prepared note without outcome for this long makes the host read row `head`.
    milliseconds in_doubt_after{3000};
    /// Without an answer from store or coordinator for this long, work is not admitted. The
    /// difference is the time for the answer.
    milliseconds stop_after{4000};
    /// A coordinator that does not know itself whether its write of `head` took effect counts as
    /// reached only for this long, so that no host admits with a replaced note for more than 14 s.
    /// A slow store then stops no host.
    milliseconds open_limit{10'000};
    milliseconds retry_after{1000};
    /// Prepared notes without outcome that are kept; more are not accepted.
    std::size_t prepared_limit = 16;
};

/// A note that may be in force: the host has prepared it and knows no outcome.
struct prepared_note {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
    std::string body;
    time_point prepared_at;
};

/// The host's side of release notes.
struct activation_state {
    activation_timing times;
    catalogue active;
    std::string active_body;
    std::uint64_t active_digest = 0;
    /// Usually at most one. A note whose abort was lost stays until a fact rules it out, because a
    /// delayed prepare of an older note must not hide a newer one.
    std::vector<prepared_note> prepared;
    /// Messages of lower terms are not obeyed.
    term_number highest_term;
    /// Set once the host may admit: it was counted by a coordinator, or a majority of the roster
    /// answered while no coordinator could be reached.
    bool in_service = false;
    /// Revision that has to be active first, and the highest that any peer has prepared. While it
    /// is above `active.number` the host needs the store or the coordinator.
    revision required;
    revision maybe_in_force;
    time_point maybe_since;
    /// Last time at which store or coordinator told which revision is in force.
    std::optional<time_point> outcome_known_at;
    /// Last time at which a coordinator was heard that waits for the outcome itself.
    std::optional<time_point> waiting_coordinator_at;
    std::optional<time_point> last_read;
};

// Events.
struct prepare_received {
    term_number term;
    revision number;
    std::string submission;
    std::string body;
    std::uint64_t digest = 0;
};
struct activate_received {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};
struct abort_received {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};
/// The host is counted by the coordinator of the term. Until this arrives, a starting host sends
/// `join` again and again.
struct welcome_received {
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};
/// A heartbeat with a `head_report`, sent at or after `sent_after` on the local clock.
struct coordinator_reported {
    term_number term;
    revision number;
    time_point sent_after;
    /// See `head_report`.
    milliseconds open_for{0};
};
/// Row `head` was read at or after `asked_at`. Number 0 and an empty object if it does not exist.
struct head_reported {
    revision number;
    std::string object;
    std::uint64_t digest = 0;
    time_point asked_at;
};
/// Committed state from a peer or the coordinator, or an object of the store.
struct snapshot_received {
    std::string body;
};
/// A message of a peer whose active revision is `number`. The digest is empty if the message has
/// none; then only a snapshot can bring the revision.
struct peer_revision_seen {
    host_instance peer;
    revision number;
    std::optional<std::uint64_t> digest;
};
/// During an outage, more than half of the roster answered the query of a starting host; the newest
/// snapshot was delivered before. `highest_prepared` is the highest revision that any has prepared.
struct majority_answered {
    revision highest_active;
    revision highest_prepared;
};
using activation_event = std::variant<tick, prepare_received, activate_received, abort_received,
                                      welcome_received, coordinator_reported, head_reported,
                                      snapshot_received, peer_revision_seen, majority_answered>;

// Actions.
struct send_prepared {
    revision number;
    std::uint64_t digest = 0;
    bool accepted = false;
    std::error_code code;
};
struct send_activated {
    revision number;
};
/// Read row `head` of the store.
struct fetch_head {};
/// Fetch the encoded catalogue of a revision from the store.
struct fetch_object {
    std::string name;
};
/// Ask for a snapshot: the peer, or the coordinator if empty.
struct ask_snapshot {
    std::optional<host_instance> peer;
};
/// The catalogue in `activation_state::active` is in force.
struct revision_activated {
    revision number;
};
using activation_action = std::variant<send_prepared, send_activated, fetch_head, fetch_object,
                                       ask_snapshot, revision_activated>;

std::vector<activation_action> step(activation_state& state, const activation_event& event,
                                    time_point now);

/// Whether work may be admitted under `active`, apart from standing.
bool may_admit(const activation_state& state, time_point now);

/// The highest revision above the active one that may be in force, or 0. Goes into heartbeat
/// acknowledgements and snapshots: a starting host that hears of it must not admit below it.
revision highest_prepared(const activation_state& state);

}  // namespace greengagechute::release
