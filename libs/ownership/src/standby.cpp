#include "dispatch_context.h"

#include <algorithm>
#include <utility>

namespace greengagechute::ownership {

namespace {

/// Context of one call of `step` for a standby.
struct standby_context {
    standby_state& state;
    bool has_standing = false;
    time_point now;
    std::vector<standby_action> actions;
};

const placement::server_entry* entry_in(const placement::service_map& map,
                                        const server_id& server) {
    const auto index = placement::find_server(map, server);
    return index ? &map.servers[*index] : nullptr;
}

// Whether a promise forbids a takeover at the reported dispatcher epoch. The dispatcher may have
// handed partitions over unless the server has accepted a higher epoch since the promise.
bool is_bound_by_promise(const standby_state& state, const server_report& report) {
    return state.has_promised && report.dispatcher_epoch <= state.promised_epoch;
}

bool may_take_over(const standby_context& context) {
    const standby_state& state = context.state;
    return state.confirmed && !state.taken_over && context.has_standing &&
           state.map.version >= state.min_map_version &&
           context.now - state.last_heard > state.times.watch_lost_after;
}

// Returns the reported partitions that the map does not assign to another server at the same or a
// later epoch.
std::vector<held_partition> partitions_to_keep(const standby_state& state,
                                               const server_report& report) {
    if (state.map.partition_count == 0) {
        return {whole_service};
    }
    const auto own = placement::find_server(state.map, state.server);
    std::vector<held_partition> kept;
    for (const held_partition& held : report.partitions) {
        const placement::partition_entry* entry = entry_of(state.map, held.partition);
        const bool is_later = entry == nullptr || entry->current < held.current;
        const bool is_same =
            entry != nullptr && entry->current == held.current && own && entry->owner == *own;
        if (is_later || is_same) {
            kept.push_back(held);
        }
    }
    std::ranges::sort(kept);
    return kept;
}

void send_claim(standby_context& context, const server_report& report) {
    standby_state& state = context.state;
    const bool is_new = !state.taking_over || state.claim.boot != report.boot ||
                        state.claim.expected_epoch != report.dispatcher_epoch ||
                        state.claim.set_version <= report.set_version;
    if (is_new) {
        state.claim.service = state.service;
        state.claim.server = state.server;
        state.claim.holder = state.self;
        state.claim.expected_epoch = report.dispatcher_epoch;
        state.claim.dispatcher_epoch =
            std::max({state.known_epoch, report.dispatcher_epoch, state.claim.dispatcher_epoch})
                .next();
        state.claim.set_version = report.set_version + 1;
        state.claim.partitions = partitions_to_keep(state, report);
        state.claim.boot = report.boot;
    }
    state.claim.end = server_time(report.now.value() + state.times.grant_length.count());
    state.claim_until =
        std::max(state.claim_until, context.now + longest_local(state.times.grant_length));
    state.taking_over = true;
    context.actions.emplace_back(send_grant{state.claim});
}

// Hands over the partitions that the map assigns to the server but that the server did not hold.
// The old dispatcher may have done so already. A second hand-over has the same successor and epoch,
// so it has no further effect.
void hand_over_missing(dispatch_state& state, time_point now) {
    dispatch_context context{state, false, now, {}, false};
    const auto own = placement::find_server(state.map, state.server);
    for (std::uint32_t number = 0; own && number < state.map.partitions.size(); ++number) {
        const placement::partition_entry& entry = state.map.partitions[number];
        const held_partition missing{partition_id(number), entry.current};
        if (entry.owner != *own) {
            continue;
        }
        state.plan_since[missing.partition] = state.map.version;
        if (find_held(state, missing.partition) != nullptr) {
            continue;
        }
        state.highest_epochs[missing.partition] = missing.current;
        state.missing.push_back(missing);
    }
    // An earlier run of the server may still run work under a grant of the old dispatcher.
    state.missing_until = now + longest_local(state.times.grant_length);
    resolve_missing(context);
}

dispatch_state make_taken_over_state(const standby_context& context, const server_replied& event) {
    const standby_state& standby = context.state;
    dispatch_state state;
    state.service = standby.service;
    state.server = standby.server;
    state.self = standby.self;
    state.times = standby.times;
    state.map = standby.map;
    state.directory = standby.map.servers;
    state.directory_version = standby.map.version;
    state.phase = dispatch_phase::active;
    state.dispatcher_epoch = standby.claim.dispatcher_epoch;
    state.claim_base = standby.claim.expected_epoch;
    state.last_report = event.report;
    state.last_reply = context.now;
    state.last_sent = event.sent_at;
    state.last_grant = event.sent_at;
    state.boot = event.report.boot;
    state.claimed = true;
    state.claimed_boot = event.report.boot;
    state.claim_needs_consent = false;
    state.took_over = true;
    state.granted_until = standby.claim_until;
    state.set_version = event.report.set_version;
    state.held = standby.claim.partitions;
    for (const held_partition& held : state.held) {
        state.highest_epochs[held.partition] = held.current;
        const placement::partition_entry* entry = entry_of(state.map, held.partition);
        if (entry != nullptr && entry->current < held.current) {
            state.unreported.push_back(held);
        }
    }
    if (state.map.partition_count > 0) {
        hand_over_missing(state, context.now);
    }
    return state;
}

void handle_reply(standby_context& context, const server_replied& event) {
    standby_state& state = context.state;
    const server_report& report = event.report;
    const bool is_own_claim = state.taking_over && report.holder == state.self &&
                              report.boot == state.claim.boot &&
                              report.dispatcher_epoch == state.claim.dispatcher_epoch;
    state.known_epoch = std::max(state.known_epoch, report.dispatcher_epoch);
    if (state.taken_over) {
        return;
    }
    if (is_own_claim) {
        state.taking_over = false;
        state.taken_over = true;
        context.actions.emplace_back(became_dispatcher{make_taken_over_state(context, event)});
        return;
    }
    const bool is_current = state.suspected_since && event.sent_at >= *state.suspected_since;
    if (is_current && may_take_over(context) && !is_bound_by_promise(state, report)) {
        send_claim(context, report);
    }
}

// Leaves a server to the coordinator that this host could not take over within the timeout.
void yield_to_coordinator(standby_context& context) {
    standby_state& state = context.state;
    const bool is_due =
        state.vacant_since && context.now - *state.vacant_since > state.times.vacancy_timeout;
    if (is_due && !state.taking_over) {
        state.promised_epoch = std::max(state.promised_epoch, state.known_epoch);
        state.has_promised = true;
        state.confirmed = false;
    }
}

void handle_tick(standby_context& context) {
    standby_state& state = context.state;
    if (state.taken_over) {
        return;
    }
    if (state.taking_over && context.now >= state.claim_until) {
        // The server may have accepted the claim, so its epoch must not be used again.
        state.taking_over = false;
        state.known_epoch = std::max(state.known_epoch, state.claim.dispatcher_epoch);
    }
    if (context.now - state.last_watch >= state.times.watch_period &&
        state.dispatcher != host_instance{}) {
        state.last_watch = context.now;
        context.actions.emplace_back(send_watch{state.dispatcher});
    }
    yield_to_coordinator(context);
    if (!may_take_over(context)) {
        state.suspected_since.reset();
        return;
    }
    if (!state.suspected_since) {
        state.suspected_since = context.now;
    }
    if (context.now - state.last_probe >= state.times.watch_period) {
        state.last_probe = context.now;
        context.actions.emplace_back(send_status_request{});
    }
}

void handle_watch_answer(standby_context& context, const watch_answered& event) {
    context.state.last_heard = context.now;
    context.state.known_epoch = std::max(context.state.known_epoch, event.dispatcher_epoch);
}

void handle_consent_request(standby_context& context, const consent_requested& event) {
    standby_state& state = context.state;
    const bool is_outdated = event.dispatcher_epoch < state.known_epoch;
    const bool granted = event.dispatcher == state.dispatcher && !state.taken_over &&
                         !state.taking_over && !event.server_reachable && !is_outdated;
    if (granted) {
        state.promised_epoch = std::max(state.promised_epoch, event.dispatcher_epoch);
        state.has_promised = true;
        state.min_map_version = std::max(state.min_map_version, event.map);
    }
    const epoch answered =
        granted ? event.dispatcher_epoch : std::max(event.dispatcher_epoch, state.known_epoch);
    context.actions.emplace_back(reply_consent{event.dispatcher, answered, granted, event.map});
}

void adopt_map(standby_context& context, const placement::service_map& map) {
    standby_state& state = context.state;
    if (map.service != state.service || map.version <= state.map.version || state.taking_over ||
        state.taken_over) {
        return;
    }
    state.map = map;
    const placement::server_entry* entry = entry_in(map, state.server);
    const bool is_standby = entry != nullptr && entry->standby == state.self;
    const bool was_confirmed = state.confirmed;
    state.confirmed = is_standby && entry->standby_confirmed;
    if (!is_standby || entry->dispatcher != host_instance{}) {
        state.vacant_since.reset();
    } else if (!state.vacant_since) {
        state.vacant_since = context.now;
    }
    // If the map names no dispatcher and a promise binds the standby, the coordinator decides about
    // the server.
    if (state.vacant_since && state.has_promised) {
        state.confirmed = false;
    }
    const host_instance dispatcher = is_standby ? entry->dispatcher : host_instance{};
    if (dispatcher != state.dispatcher || (state.confirmed && !was_confirmed)) {
        state.last_heard = context.now;
    }
    state.dispatcher = dispatcher;
}

struct event_visitor {
    standby_context& context;

    void operator()(const tick& /*event*/) const { handle_tick(this->context); }
    void operator()(const watch_answered& event) const {
        handle_watch_answer(this->context, event);
    }
    void operator()(const consent_requested& event) const {
        handle_consent_request(this->context, event);
    }
    void operator()(const map_changed& event) const { adopt_map(this->context, event.map); }
    void operator()(const server_replied& event) const { handle_reply(this->context, event); }
};

}  // namespace

standby_state make_standby_state(const server_id& server, const host_instance& self,
                                 const timing& times, const placement::service_map& map,
                                 time_point now) {
    standby_state state;
    state.service = map.service;
    state.server = server;
    state.self = self;
    state.times = times;
    standby_context context{state, false, now, {}};
    adopt_map(context, map);
    return state;
}

void carry_over_promises(standby_state& next, const standby_state& former) {
    next.promised_epoch = std::max(next.promised_epoch, former.promised_epoch);
    next.has_promised = next.has_promised || former.has_promised;
    next.known_epoch = std::max(next.known_epoch, former.known_epoch);
    next.min_map_version = std::max(next.min_map_version, former.min_map_version);
}

std::optional<epoch> active_promise(const standby_state& state) {
    if (!state.has_promised || state.taken_over) {
        return std::nullopt;
    }
    return state.promised_epoch;
}

bool has_applied(const standby_state& state, map_version version) {
    return state.taken_over || state.map.version >= version;
}

std::vector<standby_action> step(standby_state& state, const standby_event& event,
                                 bool has_standing, time_point now) {
    standby_context context{state, has_standing, now, {}};
    std::visit(event_visitor{context}, event);
    return std::move(context.actions);
}

}  // namespace greengagechute::ownership
