#include "release/activation.h"

#include "release/errors.h"

#include <algorithm>
#include <utility>

namespace greengagechute::release {

namespace {

using activation_actions = std::vector<activation_action>;

/// Since when the host has not known whether the note is in force.
time_point in_doubt_since(const activation_state& state, const prepared_note& entry) {
    return std::max(entry.prepared_at, state.outcome_known_at.value_or(entry.prepared_at));
}

bool should_ask(const activation_state& state, time_point now) {
    return std::any_of(state.prepared.begin(), state.prepared.end(), [&](const auto& entry) {
        return now - in_doubt_since(state, entry) >= state.times.in_doubt_after;
    });
}

bool should_stop(const activation_state& state, time_point now) {
    return std::any_of(state.prepared.begin(), state.prepared.end(), [&](const auto& entry) {
        const time_point known = in_doubt_since(state, entry);
        const time_point reached = std::max(known, state.waiting_coordinator_at.value_or(known));
        return now - reached >= state.times.stop_after;
    });
}

void advance(std::optional<time_point>& latest, time_point at) {
    latest = std::max(latest.value_or(at), at);
}

/// Notes a term; returns false for a message of an earlier coordinator.
bool accept_term(activation_state& state, term_number term) {
    if (term < state.highest_term) {
        return false;
    }
    state.highest_term = term;
    return true;
}

void activate(activation_state& state, catalogue next, std::string body,
              activation_actions& actions) {
    state.active = std::move(next);
    state.active_digest = digest_of(body);
    state.active_body = std::move(body);
    const revision number = state.active.number;
    std::erase_if(state.prepared, [&](const auto& entry) { return entry.number <= number; });
    actions.emplace_back(revision_activated{number});
    actions.emplace_back(send_activated{number});
}

/// Activates the prepared note with that number and digest. Returns false if there is none.
bool activate_prepared(activation_state& state, revision number, std::uint64_t digest,
                       activation_actions& actions) {
    const auto found = std::find_if(
        state.prepared.begin(), state.prepared.end(),
        [&](const auto& entry) { return entry.number == number && entry.digest == digest; });
    if (found == state.prepared.end()) {
        return false;
    }
    std::string body = std::move(found->body);
    result<catalogue> next = decode_catalogue(body);
    if (!next) {
        return false;
    }
    activate(state, std::move(*next), std::move(body), actions);
    return true;
}

/// A committed revision is newer than the active one. Returns false if it has to be fetched.
bool catch_up(activation_state& state, revision number, std::uint64_t digest,
              activation_actions& actions) {
    if (activate_prepared(state, number, digest, actions)) {
        return true;
    }
    state.required = std::max(state.required, number);
    return false;
}

void refuse(const prepare_received& event, release_errc code, activation_actions& actions) {
    actions.emplace_back(send_prepared{event.number, event.digest, false, make_error_code(code)});
}

void accept(revision number, std::uint64_t digest, activation_actions& actions) {
    actions.emplace_back(send_prepared{number, digest, true, {}});
}

void handle(activation_state& state, const tick&, activation_actions& actions, time_point now) {
    const bool behind = state.active.number < std::max(state.required, state.maybe_in_force);
    if (!behind && !should_ask(state, now)) {
        return;
    }
    if (state.last_read && now - *state.last_read < state.times.retry_after) {
        return;
    }
    state.last_read = now;
    actions.emplace_back(fetch_head{});
    if (behind) {
        actions.emplace_back(ask_snapshot{});
    }
    // The coordinator answers with an abort or an activation if either was lost.
    for (const prepared_note& entry : state.prepared) {
        accept(entry.number, entry.digest, actions);
    }
}

void handle(activation_state& state, const prepare_received& event, activation_actions& actions,
            time_point now) {
    if (!accept_term(state, event.term) || event.number <= state.active.number) {
        return;
    }
    if (event.number > state.active.number.next()) {
        state.required = std::max(state.required, revision(event.number.value() - 1));
        actions.emplace_back(ask_snapshot{});
        return;
    }
    // A coordinator proposes a number only after it has read in its own term that the number is not
    // in force, so notes of earlier terms with this number never will be.
    std::erase_if(state.prepared, [&](const auto& entry) { return entry.term < event.term; });
    const auto found =
        std::find_if(state.prepared.begin(), state.prepared.end(), [&](const auto& entry) {
            return entry.number == event.number && entry.digest == event.digest;
        });
    if (found != state.prepared.end()) {
        accept(event.number, event.digest, actions);
        return;
    }
    if (digest_of(event.body) != event.digest) {
        refuse(event, release_errc::digest_mismatch, actions);
        return;
    }
    const result<catalogue> next = decode_catalogue(event.body);
    if (!next || next->number != event.number) {
        refuse(event, release_errc::malformed_catalogue, actions);
        return;
    }
    if (state.prepared.size() >= state.times.prepared_limit) {
        return;
    }
    state.prepared.push_back(prepared_note{.term = event.term,
                                           .number = event.number,
                                           .digest = event.digest,
                                           .body = event.body,
                                           .prepared_at = now});
    accept(event.number, event.digest, actions);
}

void handle(activation_state& state, const activate_received& event, activation_actions& actions,
            time_point) {
    // Committed facts are true whoever states them, so the term is not checked.
    if (event.number <= state.active.number) {
        actions.emplace_back(send_activated{state.active.number});
        return;
    }
    if (!catch_up(state, event.number, event.digest, actions)) {
        actions.emplace_back(ask_snapshot{});
    }
}

void handle(activation_state& state, const abort_received& event, activation_actions&, time_point) {
    std::erase_if(state.prepared, [&](const auto& entry) {
        return entry.number == event.number && entry.digest == event.digest &&
               entry.term <= event.term;
    });
}

void handle(activation_state& state, const welcome_received& event, activation_actions& actions,
            time_point) {
    if (!accept_term(state, event.term)) {
        return;
    }
    state.in_service = true;
    state.maybe_in_force = revision(0);
    if (event.number <= state.active.number) {
        actions.emplace_back(send_activated{state.active.number});
        return;
    }
    if (!catch_up(state, event.number, event.digest, actions)) {
        actions.emplace_back(ask_snapshot{});
    }
}

void handle(activation_state& state, const coordinator_reported& event, activation_actions& actions,
            time_point) {
    if (!accept_term(state, event.term) || event.number < state.active.number) {
        return;
    }
    if (event.number > state.active.number) {
        if (event.number > state.required) {
            state.required = event.number;
            actions.emplace_back(ask_snapshot{});
        }
        return;
    }
    // The coordinator read `head` in its own term, so no write of an earlier term can follow.
    std::erase_if(state.prepared, [&](const auto& entry) { return entry.term < event.term; });
    if (event.open_for == milliseconds(0)) {
        advance(state.outcome_known_at, event.sent_after);
    } else if (event.open_for < state.times.open_limit) {
        advance(state.waiting_coordinator_at, event.sent_after);
    }
}

void handle(activation_state& state, const head_reported& event, activation_actions& actions,
            time_point) {
    if (event.number < state.active.number) {
        return;
    }
    if (event.asked_at >= state.maybe_since) {
        state.maybe_in_force = revision(0);
    }
    if (event.number == state.active.number) {
        advance(state.outcome_known_at, event.asked_at);
        return;
    }
    if (!catch_up(state, event.number, event.digest, actions)) {
        actions.emplace_back(fetch_object{event.object});
    }
}

void handle(activation_state& state, const snapshot_received& event, activation_actions& actions,
            time_point) {
    result<catalogue> next = decode_catalogue(event.body);
    if (next && next->number > state.active.number) {
        activate(state, std::move(*next), event.body, actions);
    }
}

void handle(activation_state& state, const peer_revision_seen& event, activation_actions& actions,
            time_point) {
    if (event.number <= state.active.number) {
        return;
    }
    if (event.digest && activate_prepared(state, event.number, *event.digest, actions)) {
        return;
    }
    state.required = std::max(state.required, event.number);
    actions.emplace_back(ask_snapshot{event.peer});
}

void handle(activation_state& state, const majority_answered& event, activation_actions&,
            time_point now) {
    state.maybe_since = now;
    state.in_service = true;
    state.required = std::max(state.required, event.highest_active);
    state.maybe_in_force = std::max(state.maybe_in_force, event.highest_prepared);
}

}  // namespace

std::vector<activation_action> step(activation_state& state, const activation_event& event,
                                    time_point now) {
    activation_actions actions;
    std::visit([&](const auto& typed) { handle(state, typed, actions, now); }, event);
    return actions;
}

bool may_admit(const activation_state& state, time_point now) {
    const revision needed = std::max(state.required, state.maybe_in_force);
    return state.in_service && state.active.number >= needed && !should_stop(state, now);
}

revision highest_prepared(const activation_state& state) {
    revision highest = std::max(state.required, state.maybe_in_force);
    for (const prepared_note& entry : state.prepared) {
        highest = std::max(highest, entry.number);
    }
    return highest > state.active.number ? highest : revision(0);
}

}  // namespace greengagechute::release
