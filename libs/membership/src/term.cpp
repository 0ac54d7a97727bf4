#include "membership/term.h"

#include "base/hash.h"
#include "json_fields.h"
#include "membership/errors.h"

#include <algorithm>
#include <utility>

namespace greengagechute::membership {

namespace {

using nlohmann::json;
using term_actions = std::vector<term_action>;

std::string write_id_of(const term_state& state) {
    return "term/" + state.self.host.value() + "/" + std::to_string(state.self.instance.value()) +
           "/" + std::to_string(state.seen_version);
}

bool is_watcher(const term_state& state) {
    return state.rank < state.times.watchers;
}

bool coordinator_silent(const term_state& state, time_point now) {
    return !state.coordinator_heard_at || now - *state.coordinator_heard_at >= state.times.silence;
}

milliseconds read_period(const term_state& state) {
    if (is_watcher(state)) {
        return state.times.watch_period;
    }
    const milliseconds spread =
        state.times.read_period_per_candidate * static_cast<std::int64_t>(state.candidates);
    return std::max(state.times.watch_period, spread);
}

bool should_read(const term_state& state, time_point now) {
    if (!state.last_read) {
        return true;
    }
    const auto since_read = now - *state.last_read;
    if (state.read_outstanding && since_read < state.times.answer_timeout) {
        return false;
    }
    if (!is_watcher(state) && !coordinator_silent(state, now)) {
        return false;
    }
    return since_read >= read_period(state);
}

void request_read(term_state& state, term_actions& actions, time_point now) {
    state.last_read = now;
    state.read_outstanding = true;
    actions.emplace_back(read_term_row{});
}

void send_write(term_state& state, const term_record& record, term_actions& actions,
                time_point now) {
    state.pending = pending_term_write{.write_id = write_id_of(state),
                                       .record = record,
                                       .expected_version = state.seen_version,
                                       .first_sent = now,
                                       .last_sent = now,
                                       .reading_back = false};
    actions.emplace_back(commit_term{state.pending->write_id, record, state.seen_version});
}

/// Whether the lease of the seen version has ended for certain, with the delay of this host's rank.
bool may_claim(const term_state& state, time_point now) {
    if (!state.seen_at) {
        return false;
    }
    const milliseconds rank_delay =
        state.times.rank_spacing * static_cast<std::int64_t>(state.rank);
    if (state.seen_version == 0) {
        return now >= *state.seen_at + rank_delay;
    }
    return now >= *state.seen_at + longest_local(state.times.lease) + rank_delay;
}

void claim(term_state& state, term_actions& actions, time_point now) {
    term_record record;
    record.number = state.seen ? state.seen->number.next() : term_number(1);
    record.holder = state.self;
    record.address = state.address;
    state.phase = term_phase::claiming;
    send_write(state, record, actions, now);
}

void renew(term_state& state, term_actions& actions, time_point now) {
    term_record record = *state.seen;
    ++record.counter;
    send_write(state, record, actions, now);
}

void read_back(term_state& state, term_actions& actions, time_point now) {
    state.pending->reading_back = true;
    state.pending->last_sent = now;
    actions.emplace_back(read_term_commit{state.pending->write_id});
}

void end_term(term_state& state, term_actions& actions) {
    const bool was_holder = state.phase == term_phase::holder;
    state.phase = term_phase::follower;
    state.pending.reset();
    state.writes_in_flight = 0;
    if (was_holder) {
        actions.emplace_back(coordinator_ended{state.seen->number});
    }
}

void on_committed(term_state& state, std::uint64_t version, term_actions& actions, time_point now) {
    const pending_term_write written = std::move(*state.pending);
    state.pending.reset();
    state.seen = written.record;
    state.seen_version = version;
    state.seen_at = now;
    state.renewed_at = written.first_sent;
    if (state.phase == term_phase::holder) {
        actions.emplace_back(term_renewed{version});
        return;
    }
    state.phase = term_phase::holder;
    actions.emplace_back(became_coordinator{written.record.number, version});
}

void on_conflict(term_state& state, term_actions& actions, time_point now) {
    end_term(state, actions);
    request_read(state, actions, now);
}

void send_again(term_state& state, term_actions& actions, time_point now) {
    state.pending->reading_back = false;
    state.pending->last_sent = now;
    actions.emplace_back(commit_term{state.pending->write_id, state.pending->record,
                                     state.pending->expected_version});
}

void tick_holder(term_state& state, term_actions& actions, time_point now) {
    const auto since_renewal = now - state.renewed_at;
    if (since_renewal < state.times.renew_period) {
        return;
    }
    if (state.writes_in_flight == 0 || since_renewal >= state.times.renew_at_latest) {
        renew(state, actions, now);
    }
}

void tick_follower(term_state& state, term_actions& actions, time_point now) {
    // A host that reads seldom looks at the row once more before it claims.
    const bool fresh = state.last_read && !state.read_outstanding &&
                       now - *state.last_read < state.times.watch_period;
    if (fresh && may_claim(state, now)) {
        claim(state, actions, now);
        return;
    }
    if (should_read(state, now)) {
        request_read(state, actions, now);
    }
}

void handle(term_state& state, const tick&, term_actions& actions, time_point now) {
    if (state.pending) {
        if (now - state.pending->last_sent >= state.times.answer_timeout) {
            read_back(state, actions, now);
        }
        return;
    }
    if (state.phase == term_phase::holder) {
        tick_holder(state, actions, now);
        return;
    }
    tick_follower(state, actions, now);
}

void handle(term_state& state, const term_row_read& event, term_actions& actions, time_point now) {
    state.read_outstanding = false;
    if (event.version < state.seen_version || state.phase != term_phase::follower) {
        return;
    }
    if (!state.seen_at || event.version != state.seen_version) {
        state.seen = event.record;
        state.seen_version = event.version;
        state.seen_at = now;
        return;
    }
    if (may_claim(state, now)) {
        claim(state, actions, now);
    }
}

void handle(term_state& state, const term_read_failed&, term_actions&, time_point) {
    state.read_outstanding = false;
}

void handle(term_state& state, const term_commit_answered& event, term_actions& actions,
            time_point now) {
    if (!state.pending || state.pending->write_id != event.write_id) {
        return;
    }
    switch (event.outcome) {
        case write_outcome::committed:
            on_committed(state, event.version, actions, now);
            break;
        case write_outcome::conflict:
            on_conflict(state, actions, now);
            break;
        case write_outcome::unknown:
            if (!state.pending->reading_back) {
                read_back(state, actions, now);
            }
            break;
        case write_outcome::absent:
            if (state.pending->reading_back) {
                send_again(state, actions, now);
            }
            break;
    }
}

void handle(term_state& state, const term_heartbeat_heard& event, term_actions& actions,
            time_point now) {
    if (state.phase == term_phase::holder) {
        if (event.number > state.seen->number) {
            on_conflict(state, actions, now);
        }
        return;
    }
    if (!state.seen || event.number >= state.seen->number) {
        state.coordinator_heard_at = now;
    }
}

void handle(term_state& state, const candidates_changed& event, term_actions&, time_point) {
    state.rank = event.rank;
    state.candidates = event.candidates;
}

void handle(term_state& state, const guarded_write_started&, term_actions&, time_point) {
    ++state.writes_in_flight;
}

void handle(term_state& state, const guarded_write_finished&, term_actions&, time_point) {
    if (state.writes_in_flight > 0) {
        --state.writes_in_flight;
    }
}

}  // namespace

std::string encode(const term_record& record) {
    const json object = {{"number", record.number.value()},
                         {"holder", record.holder.host.value()},
                         {"incarnation", record.holder.instance.value()},
                         {"address", record.address},
                         {"counter", record.counter}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<term_record> decode_term(std::string_view text) {
    constexpr std::size_t max_term_text = 4096;
    if (text.size() > max_term_text) {
        return make_error_code(membership_errc::malformed_term);
    }
    const json object = parse_json(text);
    if (!object.is_object()) {
        return make_error_code(membership_errc::malformed_term);
    }
    bool valid = true;
    term_record record;
    record.number = term_number(read_number(object, "number", valid));
    record.holder.host = host_id(read_name(object, "holder", valid));
    record.holder.instance = incarnation(read_number(object, "incarnation", valid));
    record.address = read_name(object, "address", valid);
    record.counter = read_number(object, "counter", valid);
    if (!valid) {
        return make_error_code(membership_errc::malformed_term);
    }
    return record;
}

std::vector<term_action> step(term_state& state, const term_event& event, time_point now) {
    term_actions actions;
    std::visit([&](const auto& typed) { handle(state, typed, actions, now); }, event);
    return actions;
}

bool holds_lease(const term_state& state, time_point now) {
    return state.phase == term_phase::holder && now < state.renewed_at + state.times.lease;
}

std::optional<std::uint64_t> guard_version(const term_state& state, time_point now) {
    if (!holds_lease(state, now) || state.pending) {
        return std::nullopt;
    }
    return state.seen_version;
}

candidates_changed candidate_rank(const roster& members, const host_instance& self,
                                  term_number number) {
    const std::string term_text = std::to_string(number.value());
    const std::uint64_t own_weight = hash64_pair(term_text, self.host.value());
    candidates_changed position{.rank = 0, .candidates = 0};
    bool own_found = false;
    for (const roster_host& host : members.hosts) {
        if (host.draining) {
            continue;
        }
        ++position.candidates;
        if (host.instance == self) {
            own_found = true;
        } else if (hash64_pair(term_text, host.instance.host.value()) > own_weight) {
            ++position.rank;
        }
    }
    if (!own_found) {
        position.rank = position.candidates;
    }
    return position;
}

}  // namespace greengagechute::membership
