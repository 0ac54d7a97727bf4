#include "release/rollout.h"

#include "base/hash.h"
#include "json_reader.h"
#include "release/errors.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace greengagechute::release {

namespace {

using nlohmann::json;
using rollout_actions = std::vector<rollout_action>;

constexpr std::size_t max_head_text = 4096;
constexpr std::size_t max_head_depth = 2;
constexpr std::size_t max_object_length = 256;

void begin_next(rollout_state& state, rollout_actions& actions, time_point now);

revision head_number(const rollout_state& state) {
    return state.head ? state.head->number : revision(0);
}

bool is_due(const rollout_state& state, time_point last, time_point now) {
    return now - last >= state.times.retry_after;
}

void answer(rollout_actions& actions, const std::string& submission, submission_state result,
            std::error_code code, const std::string& detail, revision number) {
    actions.emplace_back(submission_answer{submission, result, code, detail, number});
}

submission_state committed_state(const rollout_state& state, const head_record& record) {
    const bool in_force =
        record.number < head_number(state) || state.phase != rollout_phase::activating;
    return in_force ? submission_state::in_force : submission_state::accepted;
}

/// Answers with the state of a note that is committed.
void answer_committed(const rollout_state& state, rollout_actions& actions,
                      const submission_entry& entry, const head_record& record) {
    if (record.text_digest != hash64(entry.text)) {
        answer(actions, entry.submission, submission_state::refused,
               make_error_code(release_errc::submission_reused), "submission_id", record.number);
        return;
    }
    answer(actions, entry.submission, committed_state(state, record), {}, "", record.number);
}

/// Ends the first submission of the queue with a refusal that a retry gets again.
void refuse_first(rollout_state& state, rollout_actions& actions, std::error_code code,
                  const std::string& detail, revision number) {
    const submission_entry entry = std::move(state.queue.front());
    state.queue.pop_front();
    state.candidate.reset();
    const submission_answer refusal{entry.submission, submission_state::refused, code, detail,
                                    number};
    state.results.push_back({refusal, hash64(entry.text)});
    if (state.results.size() > state.times.remembered_results) {
        state.results.pop_front();
    }
    actions.emplace_back(refusal);
}

void send_activation(rollout_state& state, const host_instance& host, member_view& member,
                     rollout_actions& actions, time_point now) {
    if (!state.head) {
        return;
    }
    member.last_sent = now;
    actions.emplace_back(send_activate{host, state.term, state.head->number, state.head->digest});
}

/// A host is not welcomed while a write of `head` is in flight: the note may be in force although
/// the host has not prepared it.
bool may_welcome(const rollout_state& state) {
    return state.phase != rollout_phase::reading_head && state.phase != rollout_phase::committing &&
           state.phase != rollout_phase::ended;
}

void welcome(rollout_state& state, const host_instance& host, member_view& member,
             rollout_actions& actions, time_point now) {
    member.welcomed = true;
    member.last_sent = now;
    const std::uint64_t digest = state.head ? state.head->digest : 0;
    actions.emplace_back(send_welcome{host, state.term, head_number(state), digest});
}

/// Brings a member to the revision in force, and into service.
void update_member(rollout_state& state, const host_instance& host, member_view& member,
                   rollout_actions& actions, time_point now) {
    if (!member.in_service) {
        welcome(state, host, member, actions, now);
    } else if (member.active < head_number(state)) {
        send_activation(state, host, member, actions, now);
    }
}

void update_members(rollout_state& state, bool all, rollout_actions& actions, time_point now) {
    if (!may_welcome(state)) {
        return;
    }
    for (auto& [host, member] : state.members) {
        if (all || is_due(state, member.last_sent, now)) {
            update_member(state, host, member, actions, now);
        }
    }
}

void send_candidate(rollout_state& state, const host_instance& host, rollout_actions& actions) {
    const candidate_note& candidate = *state.candidate;
    actions.emplace_back(send_prepare{host, state.term, candidate.record.number,
                                      candidate.source.submission, candidate.body,
                                      candidate.record.digest});
}

void send_prepares(rollout_state& state, rollout_actions& actions) {
    for (const auto& [host, member] : state.members) {
        if (!member.prepared) {
            send_candidate(state, host, actions);
        }
    }
}

void try_commit(rollout_state& state, rollout_actions& actions, time_point now) {
    const auto unprepared = [](const auto& entry) { return !entry.second.prepared; };
    if (state.phase != rollout_phase::preparing || !state.may_begin || !state.guard ||
        state.members.empty() ||
        std::any_of(state.members.begin(), state.members.end(), unprepared)) {
        return;
    }
    // The last write met a conflict; the same expected versions would meet it again.
    if (state.write_guard == state.guard && !is_due(state, state.last_sent, now)) {
        return;
    }
    ++state.writes;
    state.phase = rollout_phase::committing;
    state.write_id = "head/" + std::to_string(state.term.value()) + "/" +
                     std::to_string(state.writes) + "/" + state.candidate->source.submission;
    state.write_guard = state.guard;
    state.write_began = now;
    state.reading_back = false;
    state.checking_conflict = false;
    state.last_sent = now;
    actions.emplace_back(commit_head{state.write_id, state.candidate->record, state.head_version,
                                     *state.write_guard});
}

void repeat_commit(rollout_state& state, rollout_actions& actions, time_point now) {
    state.reading_back = false;
    state.last_sent = now;
    actions.emplace_back(commit_head{state.write_id, state.candidate->record, state.head_version,
                                     *state.write_guard});
}

void read_back(rollout_state& state, rollout_actions& actions, time_point now) {
    state.reading_back = true;
    state.last_sent = now;
    actions.emplace_back(read_head_commit{state.write_id});
}

/// Answers to earlier reads do not count from now on.
void begin_reading(rollout_state& state) {
    state.first_call = state.calls + 1;
}

void request_head(rollout_state& state, rollout_actions& actions, time_point now) {
    state.last_sent = now;
    actions.emplace_back(read_head{++state.calls});
}

void finish_if_active(rollout_state& state, rollout_actions& actions, time_point now) {
    if (state.phase != rollout_phase::activating) {
        return;
    }
    for (const auto& [host, member] : state.members) {
        if (!member.in_service || member.active < head_number(state)) {
            return;
        }
    }
    state.phase = rollout_phase::idle;
    if (state.head) {
        answer(actions, state.head->submission, submission_state::in_force, {}, "",
               state.head->number);
    }
    begin_next(state, actions, now);
}

void begin_activation(rollout_state& state, rollout_actions& actions, time_point now) {
    state.phase = rollout_phase::activating;
    actions.emplace_back(head_known{head_number(state)});
    update_members(state, true, actions, now);
    finish_if_active(state, actions, now);
}

void on_committed(rollout_state& state, std::uint64_t version, rollout_actions& actions,
                  time_point now) {
    const candidate_note committed = std::move(*state.candidate);
    state.candidate.reset();
    state.queue.pop_front();
    state.head = committed.record;
    state.head_version = version;
    state.in_force = committed.next;
    state.in_force_body = committed.body;
    for (auto& [host, member] : state.members) {
        member.prepared = false;
    }
    answer(actions, committed.source.submission, submission_state::accepted, {}, "",
           committed.record.number);
    begin_activation(state, actions, now);
}

void abort_candidate(rollout_state& state, rollout_actions& actions) {
    const head_record& record = state.candidate->record;
    for (auto& [host, member] : state.members) {
        member.prepared = false;
        actions.emplace_back(send_abort{host, state.term, record.number, record.digest});
    }
}

void read_head_again(rollout_state& state, rollout_actions& actions, time_point now) {
    state.phase = rollout_phase::reading_head;
    begin_reading(state);
    request_head(state, actions, now);
}

void on_conflict(rollout_state& state, rollout_actions& actions, time_point now) {
    state.checking_conflict = true;
    begin_reading(state);
    request_head(state, actions, now);
}

/// Decides after a conflict by the content of `head`.
void resolve_conflict(rollout_state& state, const head_row_read& event, rollout_actions& actions,
                      time_point now) {
    state.checking_conflict = false;
    const bool own = event.record && *event.record == state.candidate->record;
    if (own) {
        on_committed(state, event.version, actions, now);
        return;
    }
    if (event.version == state.head_version) {
        // Only `term` had another version: a renewal, or the end of this term. The write with the
        // old expected version can never take effect, so a new one is safe.
        state.phase = rollout_phase::preparing;
        state.last_sent = now;
        try_commit(state, actions, now);
        return;
    }
    // Another coordinator wrote. The submission is looked up again from the start. Hosts that have
    // prepared the note ask for its outcome.
    state.candidate.reset();
    read_head_again(state, actions, now);
}

void request_lookup(rollout_state& state, rollout_actions& actions, time_point now) {
    state.last_sent = now;
    actions.emplace_back(read_submission{++state.calls, state.queue.front().submission});
}

void begin_next(rollout_state& state, rollout_actions& actions, time_point now) {
    if (state.phase != rollout_phase::idle || state.queue.empty()) {
        return;
    }
    state.phase = rollout_phase::looking_up;
    begin_reading(state);
    request_lookup(state, actions, now);
}

void request_store(rollout_state& state, rollout_actions& actions, time_point now) {
    state.last_sent = now;
    actions.emplace_back(store_object{state.candidate->record.object, state.candidate->body});
}

candidate_note make_candidate(rollout_state& state, const submission_entry& entry, catalogue next) {
    ++state.attempts;
    candidate_note candidate;
    candidate.source = entry;
    candidate.next = std::move(next);
    candidate.next.origin = std::to_string(state.term.value()) + "." +
                            std::to_string(state.attempts) + "." + entry.submission;
    candidate.body = encode(candidate.next);
    candidate.record = {
        .number = candidate.next.number,
        .submission = entry.submission,
        .object = note_object(candidate.next.number, entry.submission, state.term, state.attempts),
        .digest = digest_of(candidate.body),
        .text_digest = hash64(entry.text)};
    return candidate;
}

/// Whether the operator has seen a later revision than this host. A coordinator whose term has
/// ended without its knowledge must not refuse such a note: the next coordinator may accept it.
bool must_recheck(const rollout_state& state, const note& value) {
    return value.base > head_number(state) && state.rechecked != value.submission;
}

/// Validates the first submission and begins to store its body.
void validate_first(rollout_state& state, rollout_actions& actions, time_point now) {
    const submission_entry entry = state.queue.front();
    const auto parsed = parse_note(entry.text);
    const auto* fault = std::get_if<note_fault>(&parsed);
    if (fault == nullptr) {
        const note& value = std::get<note>(parsed);
        if (value.submission == entry.submission && must_recheck(state, value)) {
            state.rechecked = entry.submission;
            read_head_again(state, actions, now);
            return;
        }
        auto applied = apply(state.in_force, value);
        fault = std::get_if<note_fault>(&applied);
        if (value.submission != entry.submission) {
            refuse_first(state, actions, make_error_code(release_errc::submission_reused),
                         "submission_id", revision(0));
        } else if (fault != nullptr) {
            const bool superseded = fault->code == release_errc::base_superseded;
            refuse_first(state, actions, fault->code, fault->path,
                         superseded ? head_number(state) : revision(0));
        } else {
            state.candidate = make_candidate(state, entry, std::move(std::get<catalogue>(applied)));
            state.phase = rollout_phase::storing;
            request_store(state, actions, now);
            return;
        }
    } else {
        refuse_first(state, actions, fault->code, fault->path, revision(0));
    }
    state.phase = rollout_phase::idle;
    begin_next(state, actions, now);
}

void head_is_loaded(rollout_state& state, catalogue in_force, std::string body,
                    rollout_actions& actions, time_point now) {
    state.in_force = std::move(in_force);
    state.in_force_body = std::move(body);
    begin_activation(state, actions, now);
}

void tick_phase(rollout_state& state, rollout_actions& actions, time_point now) {
    switch (state.phase) {
        case rollout_phase::reading_head:
            request_head(state, actions, now);
            break;
        case rollout_phase::looking_up:
            request_lookup(state, actions, now);
            break;
        case rollout_phase::storing:
            request_store(state, actions, now);
            break;
        case rollout_phase::preparing:
            state.last_sent = now;
            if (state.may_begin) {
                send_prepares(state, actions);
            }
            break;
        case rollout_phase::committing:
            if (state.checking_conflict) {
                request_head(state, actions, now);
            } else {
                read_back(state, actions, now);
            }
            break;
        case rollout_phase::idle:
        case rollout_phase::activating:
        case rollout_phase::ended:
            break;
    }
}

void handle(rollout_state& state, const tick&, rollout_actions& actions, time_point now) {
    update_members(state, false, actions, now);
    if (is_due(state, state.last_sent, now)) {
        try_commit(state, actions, now);
    }
    if (is_due(state, state.last_sent, now)) {
        tick_phase(state, actions, now);
    }
}

void handle(rollout_state& state, const head_row_read& event, rollout_actions& actions,
            time_point now) {
    if (event.call < state.first_call) {
        return;
    }
    if (state.phase == rollout_phase::committing && state.checking_conflict) {
        resolve_conflict(state, event, actions, now);
        return;
    }
    if (state.phase != rollout_phase::reading_head || event.version < state.head_version) {
        return;
    }
    state.head = event.record;
    state.head_version = event.version;
    if (!event.record) {
        head_is_loaded(state, catalogue{}, "", actions, now);
        return;
    }
    const bool known = state.in_force.number == event.record->number &&
                       digest_of(state.in_force_body) == event.record->digest;
    if (known) {
        begin_activation(state, actions, now);
        return;
    }
    state.last_sent = now;
    actions.emplace_back(load_object{event.record->object});
}

void handle(rollout_state& state, const object_loaded& event, rollout_actions& actions,
            time_point now) {
    if (state.phase != rollout_phase::reading_head || !state.head ||
        state.head->object != event.name || digest_of(event.body) != state.head->digest) {
        return;
    }
    result<catalogue> decoded = decode_catalogue(event.body);
    if (decoded && decoded->number == state.head->number) {
        head_is_loaded(state, std::move(*decoded), event.body, actions, now);
    }
}

void handle(rollout_state& state, const object_stored& event, rollout_actions& actions,
            time_point now) {
    if (state.phase != rollout_phase::storing || state.candidate->record.object != event.name) {
        return;
    }
    state.phase = rollout_phase::preparing;
    state.write_guard.reset();
    state.last_sent = now;
    if (state.may_begin) {
        send_prepares(state, actions);
    }
}

void handle(rollout_state& state, const submission_row_read& event, rollout_actions& actions,
            time_point now) {
    if (state.phase != rollout_phase::looking_up || event.call < state.first_call ||
        state.queue.front().submission != event.submission) {
        return;
    }
    if (!event.record) {
        validate_first(state, actions, now);
        return;
    }
    const submission_entry entry = std::move(state.queue.front());
    state.queue.pop_front();
    answer_committed(state, actions, entry, *event.record);
    state.phase = rollout_phase::idle;
    begin_next(state, actions, now);
}

void handle(rollout_state& state, const head_commit_answered& event, rollout_actions& actions,
            time_point now) {
    if (state.phase != rollout_phase::committing || state.checking_conflict ||
        event.write_id != state.write_id) {
        return;
    }
    switch (event.outcome) {
        case head_write_outcome::committed:
            on_committed(state, event.version, actions, now);
            break;
        case head_write_outcome::conflict:
            on_conflict(state, actions, now);
            break;
        case head_write_outcome::unknown:
            if (!state.reading_back) {
                read_back(state, actions, now);
            }
            break;
        case head_write_outcome::absent:
            // The write may still arrive. The same id takes effect at most once.
            if (state.reading_back) {
                repeat_commit(state, actions, now);
            }
            break;
    }
}

void handle(rollout_state& state, const guard_changed& event, rollout_actions& actions,
            time_point now) {
    state.guard = event.guard;
    try_commit(state, actions, now);
}

void handle(rollout_state& state, const decisions_allowed&, rollout_actions& actions, time_point) {
    state.may_begin = true;
    if (state.phase == rollout_phase::preparing) {
        send_prepares(state, actions);
    }
}

void handle(rollout_state& state, const term_ended&, rollout_actions& actions, time_point) {
    state.phase = rollout_phase::ended;
    state.candidate.reset();
    for (const submission_entry& entry : state.queue) {
        answer(actions, entry.submission, submission_state::pending,
               make_error_code(release_errc::not_coordinator), "", revision(0));
    }
    state.queue.clear();
}

/// Answers a submission that is known already. Returns whether it was.
bool answer_known(const rollout_state& state, const note_submitted& event,
                  rollout_actions& actions) {
    const std::uint64_t text_digest = hash64(event.text);
    for (const submission_entry& entry : state.queue) {
        if (entry.submission == event.submission) {
            const bool same = entry.text == event.text;
            const std::error_code code =
                same ? std::error_code{} : make_error_code(release_errc::submission_reused);
            answer(actions, event.submission,
                   same ? submission_state::pending : submission_state::refused, code, "",
                   revision(0));
            return true;
        }
    }
    for (const remembered_result& entry : state.results) {
        if (entry.answer.submission == event.submission && entry.text_digest == text_digest) {
            actions.emplace_back(entry.answer);
            return true;
        }
    }
    if (state.head && state.head->submission == event.submission &&
        state.phase != rollout_phase::reading_head) {
        answer_committed(state, actions, {event.submission, event.text}, *state.head);
        return true;
    }
    return false;
}

void handle(rollout_state& state, const note_submitted& event, rollout_actions& actions,
            time_point now) {
    if (state.phase == rollout_phase::ended) {
        answer(actions, event.submission, submission_state::pending,
               make_error_code(release_errc::not_coordinator), "", revision(0));
        return;
    }
    if (answer_known(state, event, actions)) {
        return;
    }
    if (state.queue.size() >= state.times.queue_limit) {
        answer(actions, event.submission, submission_state::refused,
               make_error_code(release_errc::queue_full), "", revision(0));
        return;
    }
    state.queue.push_back({event.submission, event.text});
    answer(actions, event.submission, submission_state::pending, {}, "", revision(0));
    begin_next(state, actions, now);
}

void handle(rollout_state& state, const member_added& event, rollout_actions& actions,
            time_point now) {
    if (state.phase == rollout_phase::ended) {
        return;
    }
    const bool added = !state.members.contains(event.host);
    member_view& member = state.members[event.host];
    member.last_sent = now - state.times.retry_after;
    if (added) {
        member.in_service = event.in_service;
        member.welcomed = event.in_service;
    } else if (!event.in_service) {
        member.in_service = false;
    }
    if (added && state.phase == rollout_phase::preparing && state.may_begin) {
        send_candidate(state, event.host, actions);
    }
    if (may_welcome(state)) {
        update_member(state, event.host, member, actions, now);
    }
}

void handle(rollout_state& state, const member_removed& event, rollout_actions& actions,
            time_point now) {
    state.members.erase(event.host);
    try_commit(state, actions, now);
    finish_if_active(state, actions, now);
}

bool is_candidate(const rollout_state& state, const prepared_received& event) {
    return state.candidate && state.candidate->record.number == event.number &&
           state.candidate->record.digest == event.digest;
}

void handle(rollout_state& state, const prepared_received& event, rollout_actions& actions,
            time_point now) {
    const auto found = state.members.find(event.host);
    if (found == state.members.end() || state.phase == rollout_phase::reading_head ||
        state.phase == rollout_phase::ended) {
        return;
    }
    if (event.number <= head_number(state)) {
        if (may_welcome(state)) {
            update_member(state, event.host, found->second, actions, now);
        }
        return;
    }
    if (!is_candidate(state, event)) {
        // Its coordinator gave the note up, or this one read `head` after that coordinator's last
        // possible write. The host may forget it.
        actions.emplace_back(send_abort{event.host, state.term, event.number, event.digest});
        return;
    }
    if (event.accepted) {
        found->second.prepared = true;
        try_commit(state, actions, now);
        return;
    }
    if (state.phase != rollout_phase::preparing) {
        return;
    }
    abort_candidate(state, actions);
    const std::string detail = event.host.host.value() + ": " + event.code.message();
    refuse_first(state, actions, make_error_code(release_errc::host_refused), detail, revision(0));
    state.phase = rollout_phase::idle;
    begin_next(state, actions, now);
}

void handle(rollout_state& state, const activated_received& event, rollout_actions& actions,
            time_point now) {
    const auto found = state.members.find(event.host);
    if (found == state.members.end()) {
        return;
    }
    member_view& member = found->second;
    member.active = std::max(member.active, event.number);
    const bool up_to_date = may_welcome(state) && member.active >= head_number(state);
    if (member.welcomed && up_to_date) {
        member.in_service = true;
    }
    finish_if_active(state, actions, now);
}

}  // namespace

std::string encode(const head_record& record) {
    const json object = {{"revision", record.number.value()},
                         {"submission_id", record.submission},
                         {"object", record.object},
                         {"digest", record.digest},
                         {"text_digest", record.text_digest}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<head_record> decode_head(std::string_view text) {
    constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    const auto parsed = parse_bounded(text, max_head_text, max_head_depth);
    if (!std::holds_alternative<json>(parsed)) {
        return make_error_code(release_errc::malformed_head);
    }
    std::optional<note_fault> fault;
    object_reader fields(std::get<json>(parsed), "", fault);
    head_record record;
    record.number = revision(fields.number("revision", 1, largest));
    record.submission = fields.name("submission_id");
    record.object = fields.text("object", max_object_length);
    record.digest = fields.number("digest", 0, largest);
    record.text_digest = fields.number("text_digest", 0, largest);
    fields.finish();
    if (fault) {
        return make_error_code(release_errc::malformed_head);
    }
    return record;
}

std::string submission_row(std::string_view submission) {
    return "submission/" + std::string(submission);
}

std::string note_object(revision number, std::string_view submission, term_number term,
                        std::uint64_t attempt) {
    return "notes/" + std::to_string(number.value()) + "-" + std::string(submission) + "-" +
           std::to_string(term.value()) + "." + std::to_string(attempt);
}

rollout_state start_rollout(term_number term, time_point now) {
    rollout_state state;
    state.term = term;
    state.last_sent = now - state.times.retry_after;
    return state;
}

std::vector<rollout_action> step(rollout_state& state, const rollout_event& event, time_point now) {
    rollout_actions actions;
    std::visit([&](const auto& typed) { handle(state, typed, actions, now); }, event);
    return actions;
}

std::optional<submission_answer> find_submission(const rollout_state& state,
                                                 std::string_view submission) {
    submission_answer known;
    known.submission = submission;
    const auto waits = [submission](const submission_entry& entry) {
        return entry.submission == submission;
    };
    if (std::ranges::any_of(state.queue, waits)) {
        return known;
    }
    if (state.head && state.head->submission == submission &&
        state.phase != rollout_phase::reading_head) {
        known.state = committed_state(state, *state.head);
        known.number = state.head->number;
        return known;
    }
    for (const remembered_result& entry : state.results) {
        if (entry.answer.submission == submission) {
            return entry.answer;
        }
    }
    return std::nullopt;
}

std::optional<head_report> report_head(const rollout_state& state, time_point now) {
    if (state.phase == rollout_phase::reading_head || state.phase == rollout_phase::ended) {
        return std::nullopt;
    }
    head_report report{head_number(state), milliseconds(0)};
    if (state.phase == rollout_phase::committing) {
        report.open_for =
            std::max(std::chrono::ceil<milliseconds>(now - state.write_began), milliseconds(1));
    }
    return report;
}

}  // namespace greengagechute::release
