#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "release/catalogue.h"
#include "release/note.h"
#include "release/tick.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace greengagechute::release {

/// Content of row `head`: the release note in force.
struct head_record {
    revision number;
    std::string submission;
    /// See `note_object`; holds the encoded catalogue.
    std::string object;
    std::uint64_t digest = 0;
    /// `hash64` of the submitted text, to tell a retry from another note under the same id.
    std::uint64_t text_digest = 0;

    friend bool operator==(const head_record&, const head_record&) = default;
};

std::string encode(const head_record& record);
/// Error: `release_errc::malformed_head`.
result<head_record> decode_head(std::string_view text);

/// Row `submission/<id>`, written together with `head`, holds the same record. It lets any later
/// coordinator repeat the result of a submission.
std::string submission_row(std::string_view submission);
/// `notes/<revision>-<submission id>-<term>.<attempt>`. The name is different for each attempt, so
/// that a delayed write of an earlier coordinator cannot replace the object of a committed note.
std::string note_object(revision number, std::string_view submission, term_number term,
                        std::uint64_t attempt);

struct rollout_timing {
    /// Unanswered messages and store calls are repeated after this time.
    milliseconds retry_after{1000};
    /// Submissions that wait; further ones are refused with `queue_full`.
    std::size_t queue_limit = 64;
    /// Results that are kept for retries of refused submissions.
    std::size_t remembered_results = 256;
};

enum class rollout_phase {
    /// Reading row `head` and its catalogue after the start of the term.
    reading_head,
    idle,
    /// Reading row `submission/<id>` of the first submission in the queue.
    looking_up,
    storing,
    preparing,
    /// The write of `head` is in flight, or its outcome is being read back.
    committing,
    /// Committed; not all hosts have answered the activation.
    activating,
    /// The term has ended.
    ended,
};

struct submission_entry {
    std::string submission;
    std::string text;
};

enum class submission_state { pending, accepted, in_force, refused };

/// Maps onto `peer::submit_result`.
struct submission_answer {
    std::string submission;
    submission_state state = submission_state::pending;
    std::error_code code;
    /// Path of the offending field or change, the refusing host, or empty.
    std::string detail;
    /// The revision of the note; for `base_superseded` the revision that superseded its base.
    revision number;
};

struct member_view {
    bool prepared = false;
    revision active;
    /// The host was told that it is counted; until then it does not admit work.
    bool welcomed = false;
    /// It has answered the welcome; until then the welcome is repeated instead of an activation.
    bool in_service = false;
    time_point last_sent;
};

/// The result of a submission that was refused, for retries.
struct remembered_result {
    submission_answer answer;
    std::uint64_t text_digest = 0;
};

/// The note that is being brought into force.
struct candidate_note {
    submission_entry source;
    catalogue next;
    std::string body;
    head_record record;
};

/// The coordinator's side of release notes during one term.
///
/// An answer with state `pending` and code `not_coordinator` leaves the outcome open: the
/// operator's tool sends the submission again, with the same id, to the next coordinator.
struct rollout_state {
    term_number term;
    rollout_timing times;
    rollout_phase phase = rollout_phase::reading_head;
    /// Committed facts.
    std::optional<head_record> head;
    std::uint64_t head_version = 0;
    catalogue in_force;
    std::string in_force_body;
    /// Expected version of row `term`; empty while no write is possible.
    std::optional<std::uint64_t> guard;
    /// See `membership::may_decide`. Set by event `decisions_allowed`.
    bool may_begin = false;
    std::map<host_instance, member_view> members;
    std::deque<submission_entry> queue;
    std::optional<candidate_note> candidate;
    std::uint64_t attempts = 0;
    /// The write of `head` whose outcome is not known.
    std::string write_id;
    std::optional<std::uint64_t> write_guard;
    time_point write_began;
    /// The answer to the write was lost, and its outcome was asked for.
    bool reading_back = false;
    /// The write met a conflict; `head` is read to see why.
    bool checking_conflict = false;
    std::uint64_t writes = 0;
    /// Numbers of reads. An answer to a read from before `first_call` is out of date: what it says
    /// may have changed before the current step began.
    std::uint64_t calls = 0;
    std::uint64_t first_call = 1;
    time_point last_sent;
    std::deque<remembered_result> results;
    /// Submission for which `head` was read again, because its base was not known here.
    std::string rechecked;
};

// Events.
/// Answer to `read_head`.
struct head_row_read {
    /// The number of the call that is answered.
    std::uint64_t call = 0;
    std::optional<head_record> record;
    std::uint64_t version = 0;
};
/// Answer to `load_object` (empty if it failed) and to `store_object`.
struct object_loaded {
    std::string name;
    std::string body;
};
struct object_stored {
    std::string name;
};
/// Answer to `read_submission`.
struct submission_row_read {
    /// The number of the call that is answered.
    std::uint64_t call = 0;
    std::string submission;
    std::optional<head_record> record;
};
enum class head_write_outcome {
    /// No answer, or one that says nothing about the effect.
    unknown,
    committed,
    conflict,
    /// The table has no record of the write id (answer to `read_head_commit`).
    absent,
};
struct head_commit_answered {
    std::string write_id;
    head_write_outcome outcome = head_write_outcome::unknown;
    /// New version of row `head`, if committed.
    std::uint64_t version = 0;
};
/// See `membership::guard_version`.
struct guard_changed {
    std::optional<std::uint64_t> guard;
};
/// The coordinator's first wait is over, and every host that must prepare was added.
struct decisions_allowed {};
/// The term has ended (`membership::coordinator_ended`).
struct term_ended {};
struct note_submitted {
    std::string submission;
    std::string text;
};
/// The host must prepare release notes from now on. `in_service` is set for hosts that an earlier
/// coordinator has counted (the roster at the start of the term); others are welcomed. A host that
/// asks again to join is added again, without `in_service`.
struct member_added {
    host_instance host;
    bool in_service = false;
};
/// The host's authority has ended (`membership::authority_ended`).
struct member_removed {
    host_instance host;
};
struct prepared_received {
    host_instance host;
    revision number;
    std::uint64_t digest = 0;
    bool accepted = false;
    std::error_code code;
};
struct activated_received {
    host_instance host;
    revision number;
};
using rollout_event =
    std::variant<tick, head_row_read, object_loaded, object_stored, submission_row_read,
                 head_commit_answered, guard_changed, decisions_allowed, term_ended, note_submitted,
                 member_added, member_removed, prepared_received, activated_received>;

// Actions.
struct read_head {
    std::uint64_t call = 0;
};
struct load_object {
    std::string name;
};
struct store_object {
    std::string name;
    std::string body;
};
struct read_submission {
    std::uint64_t call = 0;
    std::string submission;
};
/// One transaction: rows `head` and `submission/<id>` get `record` if `head` has
/// `expected_version`, `submission/<id>` does not exist and `term` has version `guard`. The first
/// written row is `head`.
struct commit_head {
    std::string write_id;
    head_record record;
    std::uint64_t expected_version = 0;
    std::uint64_t guard = 0;
};
struct read_head_commit {
    std::string write_id;
};
struct send_prepare {
    host_instance host;
    term_number term;
    revision number;
    std::string submission;
    std::string body;
    std::uint64_t digest = 0;
};
/// Committed facts only.
struct send_activate {
    host_instance host;
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};
struct send_abort {
    host_instance host;
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};
/// The host is counted and may admit work once `number` is active there. At the host this is
/// `welcome_received`, and `membership::guest_accepted` if it is not in the roster.
struct send_welcome {
    host_instance host;
    term_number term;
    revision number;
    std::uint64_t digest = 0;
};
/// Row `head` was read in this term, or written: `number` is in force.
struct head_known {
    revision number;
};
using rollout_action = std::variant<read_head, load_object, store_object, read_submission,
                                    commit_head, read_head_commit, send_prepare, send_activate,
                                    send_abort, send_welcome, submission_answer, head_known>;

/// The state at the start of a term. The first `tick` begins with reading `head`.
rollout_state start_rollout(term_number term, time_point now);

std::vector<rollout_action> step(rollout_state& state, const rollout_event& event, time_point now);

/// What this coordinator knows of a submission: it waits, it is row `head`, or it was refused here.
/// Empty if none of these holds; row `submission_row` tells whether it was accepted earlier, also
/// if a text with the same id was refused here before.
std::optional<submission_answer> find_submission(const rollout_state& state,
                                                 std::string_view submission);

/// What a heartbeat says about row `head`.
struct head_report {
    revision number;
    /// Age of the write of `head` whose outcome is not known; 0 if there is none. Meanwhile the
    /// next revision may be in force without the coordinator's knowledge.
    milliseconds open_for{0};
};

/// Empty until `head` was read in this term, and after its end: then a heartbeat says nothing about
/// `head`.
std::optional<head_report> report_head(const rollout_state& state, time_point now);

}  // namespace greengagechute::release
