#include "membership/standing.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace greengagechute::membership {

namespace {

using standing_actions = std::vector<standing_action>;

void advance(std::optional<time_point>& evidence, time_point at) {
    if (!evidence || *evidence < at) {
        evidence = at;
    }
}

bool within(const std::optional<time_point>& evidence, milliseconds bound, time_point now) {
    return evidence && now - *evidence < bound;
}

void hear_of(standing_state& state, roster_version version, standing_actions& actions) {
    if (version <= state.newest_heard) {
        return;
    }
    state.newest_heard = version;
    state.held_evidence.reset();
    if (version > state.members.version) {
        actions.emplace_back(fetch_roster{version});
    }
}

void forget_other_peers(standing_state& state) {
    std::erase_if(state.peers_without_evidence,
                  [&](const auto& entry) { return !contains(state.members, entry.first); });
}

void learn(standing_state& state, const roster& members, standing_actions& actions) {
    if (members.version <= state.members.version || state.removed) {
        return;
    }
    state.members = members;
    state.newest_heard = std::max(state.newest_heard, members.version);
    forget_other_peers(state);
    if (contains(members, state.self)) {
        state.was_member = true;
        state.guest_of.reset();
        if (state.held_evidence && members.version >= state.newest_heard) {
            advance(state.coordinator_evidence, *state.held_evidence);
        }
        state.held_evidence.reset();
        return;
    }
    if (state.was_member) {
        state.removed = true;
        actions.emplace_back(instance_removed{});
    }
}

void handle(standing_state&, const tick&, standing_actions&) {}

void handle(standing_state& state, const coordinator_heard& event, standing_actions& actions) {
    hear_of(state, event.members, actions);
    const time_point at = event.sent_after - event.age;
    if (state.guest_of && *state.guest_of == event.term) {
        advance(state.coordinator_evidence, at);
        return;
    }
    if (event.members > state.members.version) {
        if (event.members == state.newest_heard) {
            advance(state.held_evidence, at);
        }
        return;
    }
    if (contains(state.members, state.self)) {
        advance(state.coordinator_evidence, at);
    }
}

void handle(standing_state& state, const store_read& event, standing_actions& actions) {
    learn(state, event.members, actions);
    const bool newest = event.members.version >= state.newest_heard;
    if (newest && contains(event.members, state.self)) {
        advance(state.store_evidence, event.asked_at);
    }
}

void handle(standing_state& state, const peer_without_evidence& event, standing_actions& actions) {
    hear_of(state, event.members, actions);
    if (event.members > state.members.version) {
        state.peers_without_evidence.erase(event.peer);
        return;
    }
    if (event.peer == state.self || !contains(state.members, event.peer)) {
        return;
    }
    time_point& at = state.peers_without_evidence[event.peer];
    at = std::max(at, event.sent_after);
}

void handle(standing_state& state, const roster_learned& event, standing_actions& actions) {
    learn(state, event.members, actions);
}

void handle(standing_state& state, const guest_accepted& event, standing_actions&) {
    if (state.was_member || (state.guest_of && event.term <= *state.guest_of)) {
        return;
    }
    state.guest_of = event.term;
}

bool knows_newest_roster(const standing_state& state) {
    return state.newest_heard <= state.members.version;
}

/// The time since which more than half of the roster, this host included, knew no newer roster.
std::optional<time_point> majority_evidence(const standing_state& state, time_point now) {
    if (!knows_newest_roster(state) || state.members.hosts.empty()) {
        return std::nullopt;
    }
    std::vector<time_point> statements;
    if (contains(state.members, state.self)) {
        statements.push_back(now);
    }
    for (const auto& [peer, at] : state.peers_without_evidence) {
        statements.push_back(at);
    }
    const std::size_t needed = majority_of(state.members.hosts.size());
    if (statements.size() < needed) {
        return std::nullopt;
    }
    std::sort(statements.rbegin(), statements.rend());
    return statements[needed - 1];
}

std::optional<time_point> newest_evidence(const standing_state& state, time_point now) {
    std::optional<time_point> newest = state.coordinator_evidence;
    if (state.store_evidence) {
        advance(newest, *state.store_evidence);
    }
    const std::optional<time_point> majority = majority_evidence(state, now);
    if (majority) {
        advance(newest, *majority);
    }
    return newest;
}

}  // namespace

std::vector<standing_action> step(standing_state& state, const standing_event& event, time_point) {
    standing_actions actions;
    std::visit([&](const auto& typed) { handle(state, typed, actions); }, event);
    return actions;
}

bool has_standing(const standing_state& state, time_point now) {
    return !state.removed && within(newest_evidence(state, now), state.times.bound, now);
}

bool without_evidence(const standing_state& state, time_point now) {
    return !state.removed && knows_newest_roster(state) &&
           !within(state.coordinator_evidence, state.times.statement_after, now) &&
           !within(state.store_evidence, state.times.statement_after, now);
}

std::optional<milliseconds> evidence_age(const standing_state& state, time_point now) {
    if (!has_standing(state, now)) {
        return std::nullopt;
    }
    // Rounded up: an age that is too small would lengthen the standing of the children.
    return std::chrono::ceil<milliseconds>(now - *newest_evidence(state, now));
}

}  // namespace greengagechute::membership
