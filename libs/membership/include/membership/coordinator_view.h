#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/roster.h"
#include "membership/term.h"
#include "membership/tick.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace greengagechute::membership {

struct view_timing {
    /// A host that was not heard for this long is suspected and its removal is committed.
    milliseconds suspect_after{4000};
    /// The authority of a removed host has ended this long after it was last heard...
    milliseconds authority_end{10000};
    /// ...and not before the bound of its standing has passed since the majority acknowledged the
    /// removal.
    milliseconds standing_bound{6000};
    /// A new coordinator waits this long before its first removal or release note.
    milliseconds first_decision_after{10000};
    milliseconds retry_after{1000};
    /// Ticks further apart than this show that the process was paused.
    milliseconds pause_gap{1000};
};

struct host_view {
    time_point last_heard;
    roster_version acknowledged;
    revision active;
    revision prepared;
};

/// A host that asked to join and is not in the roster yet.
struct guest {
    roster_host host;
    time_point last_heard;
    /// It has acknowledged a heartbeat after its `join`, so the `join` was not an old message.
    bool confirmed = false;
};

struct pending_roster_write {
    std::string write_id;
    roster next;
    std::uint64_t expected_version = 0;
    std::uint64_t guard = 0;
    time_point last_sent;
    bool reading_back = false;
};

/// An instance that a committed roster has taken out, until its authority has certainly ended.
struct departure {
    host_instance instance;
    /// It left by itself and has released everything.
    bool graceful = false;
    time_point last_heard;
    /// When the majority of the previous roster had acknowledged the version without it.
    std::optional<time_point> acknowledged_at;
};

/// What the coordinator knows about the hosts.
struct view_state {
    host_instance self;
    view_timing times;
    term_number term;
    time_point became_at;
    /// Version of row `term` that writes expect; empty while no write is possible.
    std::optional<std::uint64_t> guard;
    /// Content and version of row `roster`; version 0 until the row is read.
    roster members;
    std::uint64_t row_version = 0;
    bool row_known = false;
    /// The majority of the previous roster has acknowledged `members.version`. No further change is
    /// committed before that.
    bool acknowledged = false;
    std::map<host_instance, host_view> hosts;
    std::map<host_instance, guest> guests;
    std::set<host_instance> leaving;
    std::set<host_instance> suspected;
    std::map<host_instance, bool> draining;
    std::optional<pending_roster_write> pending;
    std::vector<departure> departures;
    /// Instances whose authority has ended in this term; a delayed `join` of theirs is refused.
    std::set<host_instance> former;
    std::uint64_t writes = 0;
    std::optional<time_point> last_read;
    std::optional<time_point> last_tick;
    /// Hosts are not suspected for silence before this time. Moved forward after a pause of this
    /// process, since messages that arrived during the pause are still queued.
    time_point watching_since;
};

// Events.
/// Row `roster` was read after this host became the coordinator.
struct roster_row_read {
    roster members;
    std::uint64_t version = 0;
};
struct roster_commit_answered {
    std::string write_id;
    write_outcome outcome = write_outcome::unknown;
    std::uint64_t version = 0;
};
/// See `guard_version`; sent whenever it changes.
struct guard_changed {
    std::optional<std::uint64_t> guard;
};
/// A host reported, directly or through the tree. Its authority is counted from the arrival, since
/// a later time is the safe one here.
struct host_heard {
    host_instance host;
    roster_version members;
    revision active;
    revision prepared;
};
/// A host asks to take part. Not answered until the roster is known; the host asks again.
struct join_asked {
    roster_host host;
    /// See `standing_state::was_member`. Such an instance is either still a member, or was removed
    /// without having heard of it and is refused.
    bool was_member = false;
};
/// The host has released everything and leaves.
struct leave_asked {
    host_instance host;
};
struct draining_reported {
    host_instance host;
    bool draining = false;
};
/// Instances that a map in force names. The roster lists only the instances that its last change
/// removed, so one that an earlier coordinator removed before can be known from a map alone. Give
/// the event once the coordinator may decide (`may_decide`), for each map that it finds.
struct instances_named {
    std::vector<host_instance> instances;
};
using view_event =
    std::variant<tick, roster_row_read, roster_commit_answered, guard_changed, host_heard,
                 join_asked, leave_asked, draining_reported, instances_named>;

// Actions.
struct read_roster_row {};
/// Writes row `roster` if it has `expected_version` and row `term` has version `guard`.
struct commit_roster {
    std::string write_id;
    roster next;
    std::uint64_t expected_version = 0;
    std::uint64_t guard = 0;
};
struct read_roster_commit {
    std::string write_id;
};
/// The host is counted among those that must prepare release notes, and has to be told so
/// (`release::member_added`). Repeated for each `join`, also of a member: it may have become one
/// without hearing the welcome of an earlier coordinator.
struct guest_counted {
    roster_host host;
};
/// The host was not heard for too long; hosts that depend on it may prepare for its removal.
struct host_suspected {
    host_instance host;
};
/// A committed roster: send it to all hosts.
struct roster_in_force {
    roster members;
};
/// The instance can use no authority any more: its dispatching may be given to others, and release
/// notes do not wait for it.
struct authority_ended {
    host_instance instance;
};
/// A join was refused; the sender has to try later or as a new incarnation.
struct join_refused {
    host_instance host;
    std::error_code reason;
};
using view_action = std::variant<read_roster_row, commit_roster, read_roster_commit, guest_counted,
                                 host_suspected, roster_in_force, authority_ended, join_refused>;

/// The view of a host that became the coordinator at `now`. A coordinator that is not in the roster
/// sends itself `join_asked`.
view_state start_view(const host_instance& self, term_number term, time_point now);

std::vector<view_action> step(view_state& state, const view_event& event, time_point now);

/// Whether the roster is known and the coordinator's first wait is over, so that it may remove
/// hosts and begin release notes.
bool may_decide(const view_state& state, time_point now);

/// Whether an instance can still act. An instance that is neither in the roster nor known otherwise
/// may act until the coordinator's first wait is over.
bool authority_may_last(const view_state& state, const host_instance& instance, time_point now);

/// Hosts that must prepare a release note: roster hosts, guests, and departed instances whose
/// authority may last.
std::vector<host_instance> must_prepare(const view_state& state);

}  // namespace greengagechute::membership
