#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/roster.h"
#include "membership/tick.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagechute::membership {

/// Content of row `term`.
struct term_record {
    term_number number;
    host_instance holder;
    std::string address;
    /// Grows with each renewal within one term.
    std::uint64_t counter = 0;

    friend bool operator==(const term_record&, const term_record&) = default;
};

std::string encode(const term_record& record);
/// Error: `membership_errc::malformed_term`.
result<term_record> decode_term(std::string_view text);

struct term_timing {
    milliseconds lease{3000};
    milliseconds renew_period{1000};
    /// A renewal is put off while a coordinator write is in flight, since it changes the version
    /// that the write expects, but no longer than this after the last renewal.
    milliseconds renew_at_latest{2000};
    /// Period at which watchers read the row.
    milliseconds watch_period{1000};
    /// Claims of candidates are this far apart, by rank.
    milliseconds rank_spacing{200};
    /// The store's answer is given up after this time and counts as unknown.
    milliseconds answer_timeout{1000};
    /// Hosts of lower rank than the watchers read the row only after the coordinator was silent for
    /// this long.
    milliseconds silence{5000};
    /// Read period of those hosts, for each candidate: 1,400 hosts then cause 100 reads a second.
    milliseconds read_period_per_candidate{10};
    /// This many candidates read the row in quiet times.
    std::size_t watchers = 3;
};

/// `follower` hosts watch; `claiming` and `holder` hosts have their instance in a write.
enum class term_phase { follower, claiming, holder };

struct pending_term_write {
    std::string write_id;
    term_record record;
    std::uint64_t expected_version = 0;
    time_point first_sent;
    time_point last_sent;
    /// The answer was lost; the write id is being read back.
    bool reading_back = false;
};

struct term_state {
    host_instance self;
    std::string address;
    term_timing times;
    /// Position among the candidates; see `candidate_rank`.
    std::size_t rank = 0;
    std::size_t candidates = 1;
    term_phase phase = term_phase::follower;
    /// Last known content and version of the row. Version 0 means that the row does not exist.
    std::optional<term_record> seen;
    std::uint64_t seen_version = 0;
    /// First local time at which this version was known.
    std::optional<time_point> seen_at;
    std::optional<pending_term_write> pending;
    /// Send time of the last renewal that is known to be committed.
    time_point renewed_at;
    std::optional<time_point> last_read;
    bool read_outstanding = false;
    std::optional<time_point> coordinator_heard_at;
    std::size_t writes_in_flight = 0;
};

enum class write_outcome {
    /// No answer, or an answer that says nothing about the effect.
    unknown,
    committed,
    conflict,
    /// The table has no record of the write id (answer to `read_term_commit` only). The write may
    /// still arrive, so it is sent again with the same id.
    absent,
};

// Events.
/// The row was read; `record` is empty if it does not exist.
struct term_row_read {
    std::optional<term_record> record;
    std::uint64_t version = 0;
};
struct term_read_failed {};
/// Answer to `commit_term` or `read_term_commit`.
struct term_commit_answered {
    std::string write_id;
    write_outcome outcome = write_outcome::unknown;
    /// New version of the row, if committed.
    std::uint64_t version = 0;
};
/// A heartbeat of the coordinator of this term arrived.
struct term_heartbeat_heard {
    term_number number;
};
struct candidates_changed {
    std::size_t rank = 0;
    std::size_t candidates = 1;
};
/// A write that expects the version of `term` was sent, or its outcome is known.
struct guarded_write_started {};
struct guarded_write_finished {};
using term_event =
    std::variant<tick, term_row_read, term_read_failed, term_commit_answered, term_heartbeat_heard,
                 candidates_changed, guarded_write_started, guarded_write_finished>;

// Actions.
struct read_term_row {};
struct commit_term {
    std::string write_id;
    term_record record;
    std::uint64_t expected_version = 0;
};
struct read_term_commit {
    std::string write_id;
};
struct became_coordinator {
    term_number number;
    std::uint64_t version = 0;
};
/// The row's version changed by a renewal; writes from now on expect this one.
struct term_renewed {
    std::uint64_t version = 0;
};
/// Another host holds the term. Everything that this host did as coordinator ends.
struct coordinator_ended {
    term_number number;
};
using term_action = std::variant<read_term_row, commit_term, read_term_commit, became_coordinator,
                                 term_renewed, coordinator_ended>;

/// Advances the host's part in the choice of the coordinator.
std::vector<term_action> step(term_state& state, const term_event& event, time_point now);

/// Whether this host holds the term and its lease has not ended. Decisions need it; heartbeats need
/// only `phase == holder`.
bool holds_lease(const term_state& state, time_point now);

/// The version of row `term` that a coordinator write has to expect. Empty if this host holds no
/// lease, or while a renewal is in flight: the write waits until the renewal is answered.
std::optional<std::uint64_t> guard_version(const term_state& state, time_point now);

/// Position of `self` among the hosts that are not draining, by rendezvous weight for the term, and
/// the number of candidates. Rank 0 claims first. A host that is not a candidate gets the rank
/// after the last.
candidates_changed candidate_rank(const roster& members, const host_instance& self,
                                  term_number number);

}  // namespace greengagechute::membership
