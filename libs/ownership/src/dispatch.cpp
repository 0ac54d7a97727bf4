#include "ownership/dispatch.h"

#include "dispatch_context.h"

namespace greengagechute::ownership {

namespace {

// Multiple of `suspect_after` for a server that has never replied, which may still be starting.
constexpr int first_contact_factor = 10;

// A refused claim is sent again after the renewal period divided by this.
constexpr int claim_retry_divisor = 8;

constexpr std::int64_t per_mille = 1000;

// The shortest time, on a local clock, that a span of `length` on a remote clock can take.
microseconds shortest_local(milliseconds length) {
    return microseconds(length.count() * (per_mille - clock_rate_bound_per_mille));
}

// The dispatcher epoch at which the standby must promise not to take over.
epoch required_consent(const dispatch_state& state) {
    const epoch reported = state.last_report ? state.last_report->dispatcher_epoch : epoch(0);
    return std::max(state.dispatcher_epoch, reported);
}

// Whether it is certain that no other host takes the server over at the present dispatcher epoch.
bool is_takeover_excluded(const dispatch_state& state) {
    const placement::server_entry* entry = own_entry(state);
    if (entry == nullptr) {
        return false;
    }
    if (state.took_over && entry->standby == state.self) {
        return true;
    }
    if (!entry->standby_confirmed && entry->standby != state.first_standby) {
        return false;
    }
    if (entry->standby == host_instance{}) {
        return true;
    }
    return state.consent && state.requested_consent_epoch &&
           *state.requested_consent_epoch >= required_consent(state) &&
           state.consent_map_version >= state.map.version;
}

void request_consent(dispatch_context& context) {
    dispatch_state& state = context.state;
    const placement::server_entry* entry = own_entry(state);
    if (!context.has_standing || entry == nullptr || entry->standby == host_instance{} ||
        entry->standby == state.self) {
        return;
    }
    const epoch required = required_consent(state);
    const bool is_repeated =
        state.requested_consent_epoch == required && state.consent_map_version == state.map.version;
    if (is_repeated && context.now - state.last_consent_request < state.times.watch_period) {
        return;
    }
    state.requested_consent_epoch = required;
    state.consent_map_version = state.map.version;
    state.consent = false;
    state.last_consent_request = context.now;
    context.actions.emplace_back(send_consent_request{entry->standby, required, state.map.version});
}

void request_status(dispatch_context& context) {
    dispatch_state& state = context.state;
    if (context.now - state.last_status_request >= state.times.renew_period) {
        state.last_status_request = context.now;
        context.actions.emplace_back(send_status_request{});
    }
}

void issue_grant(dispatch_context& context) {
    dispatch_state& state = context.state;
    if (!context.has_standing || !state.last_report) {
        return;
    }
    grant offered_grant;
    offered_grant.service = state.service;
    offered_grant.server = state.server;
    offered_grant.holder = state.self;
    offered_grant.dispatcher_epoch = state.dispatcher_epoch;
    offered_grant.expected_epoch = state.claim_base;
    offered_grant.set_version = state.set_version;
    offered_grant.partitions = state.held;
    offered_grant.boot = *state.boot;
    offered_grant.end =
        server_time(state.last_report->now.value() + state.times.grant_length.count());
    state.last_grant = context.now;
    state.granted_until =
        std::max(state.granted_until, state.last_reply + longest_local(state.times.grant_length));
    context.actions.emplace_back(send_grant{std::move(offered_grant)});
}

void begin_claim(dispatch_context& context) {
    dispatch_state& state = context.state;
    state.claim_base = state.last_report->dispatcher_epoch;
    state.dispatcher_epoch = std::max(state.dispatcher_epoch, state.claim_base).next();
    state.set_version = std::max(state.set_version, state.last_report->set_version) + 1;
    state.claimed = false;
    state.claim_needs_consent = false;
    state.consent = false;
    state.requested_consent_epoch.reset();
    state.phase = dispatch_phase::acquiring;
    issue_grant(context);
}

// Partitions that the server holds at a later epoch than that of the map were received by an
// earlier dispatcher and are kept. Those at the epoch of the map are in the held set already.
void keep_received_partitions(dispatch_context& context) {
    dispatch_state& state = context.state;
    for (const held_partition& reported : state.last_report->partitions) {
        const placement::partition_entry* entry = entry_of(state.map, reported.partition);
        const auto seen = state.highest_epochs.find(reported.partition);
        const bool is_unseen =
            seen == state.highest_epochs.end() || seen->second < reported.current;
        if (entry != nullptr && entry->current < reported.current && is_unseen) {
            add_partition(context, reported);
            state.unreported.push_back(reported);
        }
    }
}

void advance_claim(dispatch_context& context) {
    dispatch_state& state = context.state;
    const bool is_fresh =
        state.last_report && context.now - state.last_reply < state.times.suspect_after;
    if (state.phase != dispatch_phase::acquiring || !context.has_standing || !is_fresh) {
        return;
    }
    if (state.claim_needs_consent) {
        if (!is_takeover_excluded(state)) {
            request_consent(context);
            return;
        }
        if (context.now < state.granted_until) {
            return;
        }
        release_outgoing(context);
        if (!state.claimed_boot) {
            keep_received_partitions(context);
        }
        begin_claim(context);
        return;
    }
    const bool is_outdated = state.last_report->dispatcher_epoch != state.claim_base ||
                             state.last_report->set_version >= state.set_version;
    if (is_outdated) {
        begin_claim(context);
    } else if (context.now - state.last_grant >= state.times.renew_period / claim_retry_divisor) {
        issue_grant(context);
    }
}

void report_server_lost(dispatch_context& context) {
    if (!context.state.lost_reported) {
        context.state.lost_reported = true;
        context.actions.emplace_back(server_lost{});
    }
}

// A restarted server has lost its dispatcher epoch and can't fence a former dispatcher any more.
// Only the standby can tell whether it has taken over.
void start_new_run(dispatch_context& context) {
    dispatch_state& state = context.state;
    state.boot = state.last_report->boot;
    state.claimed = false;
    state.claim_needs_consent = true;
    state.phase = dispatch_phase::acquiring;
    report_server_lost(context);
}

bool is_taken_over(const dispatch_state& state) {
    const server_report& report = *state.last_report;
    if (report.holder == state.self || report.holder == host_instance{}) {
        return false;
    }
    const placement::server_entry* entry = own_entry(state);
    if (entry != nullptr && entry->standby == report.holder) {
        // The standby refuses consent if it has taken over.
        const bool is_claim_abandoned =
            state.consented_epoch && report.dispatcher_epoch <= *state.consented_epoch;
        return !is_claim_abandoned && !state.claim_needs_consent;
    }
    const epoch own = state.claimed ? state.dispatcher_epoch : state.claim_base;
    return state.claimed_boot == state.boot && report.dispatcher_epoch > own;
}

void confirm(dispatch_context& context) {
    dispatch_state& state = context.state;
    const server_report& report = *state.last_report;
    if (state.claim_needs_consent) {
        advance_claim(context);
        return;
    }
    if (state.requested_consent_epoch) {
        // The standby may have promised not to take over at this epoch. It can take over again only
        // at a higher one.
        begin_claim(context);
        return;
    }
    state.claimed = true;
    state.claimed_boot = state.boot;
    state.phase = dispatch_phase::active;
    state.lost_reported = false;
    const milliseconds left(std::max<std::int64_t>(report.end.value() - report.now.value(), 0));
    state.confirmed_until = state.last_sent + shortest_local(left);
    release_confirmed(context, report.set_version);
}

void handle_reply(dispatch_context& context, const server_replied& event) {
    dispatch_state& state = context.state;
    // A reply to an earlier request than that of the last reply may describe an outdated state.
    if (state.phase == dispatch_phase::ended ||
        (state.last_report && event.sent_at < state.last_sent)) {
        return;
    }
    state.last_report = event.report;
    state.last_reply = context.now;
    state.last_sent = event.sent_at;
    if (!state.boot) {
        state.boot = event.report.boot;
    } else if (*state.boot != event.report.boot) {
        start_new_run(context);
    }
    if (is_taken_over(state)) {
        end_authority(context);
        return;
    }
    const bool is_own_grant = event.report.holder == state.self &&
                              event.report.boot == *state.boot &&
                              event.report.dispatcher_epoch == state.dispatcher_epoch;
    if (is_own_grant) {
        confirm(context);
    } else {
        if (state.phase == dispatch_phase::recovering) {
            state.phase = dispatch_phase::acquiring;
        }
        advance_claim(context);
    }
}

void recover(dispatch_context& context) {
    dispatch_state& state = context.state;
    if (state.phase != dispatch_phase::recovering || !context.has_standing) {
        return;
    }
    if (!is_takeover_excluded(state)) {
        request_consent(context);
        return;
    }
    if (context.now < state.granted_until) {
        return;
    }
    report_server_lost(context);
    release_outgoing(context);
    hand_over_all(context);
}

void handle_consent_reply(dispatch_context& context, const consent_replied& event) {
    dispatch_state& state = context.state;
    const placement::server_entry* entry = own_entry(state);
    if (entry == nullptr || event.standby != entry->standby || !state.requested_consent_epoch) {
        return;
    }
    if (event.granted && event.dispatcher_epoch == *state.requested_consent_epoch &&
        event.map == state.consent_map_version) {
        state.consent = true;
        state.consented_epoch = event.dispatcher_epoch;
    } else if (!event.granted && event.dispatcher_epoch > *state.requested_consent_epoch &&
               state.phase != dispatch_phase::active) {
        // The standby knows the epoch of an earlier run of the server or of its own failed claim.
        state.dispatcher_epoch = std::max(state.dispatcher_epoch, event.dispatcher_epoch);
    }
    advance_claim(context);
    recover(context);
}

void check_server_silence(dispatch_context& context) {
    dispatch_state& state = context.state;
    if (state.last_reply == time_point{}) {
        state.last_reply = context.now;
    }
    const int factor = state.last_report ? 1 : first_contact_factor;
    if (context.now - state.last_reply > factor * state.times.suspect_after) {
        state.phase = dispatch_phase::recovering;
    }
}

void handle_tick(dispatch_context& context) {
    dispatch_state& state = context.state;
    if (state.phase != dispatch_phase::ended) {
        check_server_silence(context);
    }
    switch (state.phase) {
        case dispatch_phase::acquiring:
            request_status(context);
            if (state.last_report && state.claim_needs_consent) {
                advance_claim(context);
            }
            break;
        case dispatch_phase::active:
            if (!context.has_standing) {
                request_status(context);
            } else if (context.now - state.last_grant >= state.times.renew_period) {
                issue_grant(context);
            }
            break;
        case dispatch_phase::recovering:
            request_status(context);
            recover(context);
            break;
        case dispatch_phase::ended:
            break;
    }
    send_pending(context);
}

void update_applied_version(dispatch_context& context) {
    dispatch_state& state = context.state;
    const placement::server_entry* entry = own_entry(state);
    const bool is_named = entry != nullptr && entry->dispatcher == state.self;
    const bool is_dispatching = state.phase == dispatch_phase::active &&
                                context.now - state.last_reply <= state.times.suspect_after;
    const bool has_left =
        state.phase == dispatch_phase::ended && !is_named && context.now >= state.granted_until;
    // The coordinator must not change the plan of a partition that may have been handed over.
    const bool has_unresolved =
        std::ranges::any_of(state.missing, [&state](const held_partition& missing) {
            const placement::partition_entry* plan = entry_of(state.map, missing.partition);
            return plan != nullptr && plan->frozen;
        });
    if ((is_dispatching && !has_unresolved) || has_left) {
        state.applied_version = state.map.version;
    }
}

struct event_visitor {
    dispatch_context& context;

    void operator()(const tick& /*event*/) const { handle_tick(this->context); }
    void operator()(const server_replied& event) const { handle_reply(this->context, event); }
    void operator()(const map_changed& event) const { adopt_map(this->context, event.map); }
    void operator()(const move_requested& event) const { start_moves(this->context, event); }
    void operator()(const partition_idle& event) const {
        finish_move(this->context, event.partition);
    }
    void operator()(const consent_replied& event) const {
        handle_consent_reply(this->context, event);
    }
    void operator()(const partition_received& event) const {
        receive_partition(this->context, event);
    }
    void operator()(const hand_over_acknowledged& event) const {
        record_acknowledgement(this->context, event.partition);
    }
};

}  // namespace

std::vector<dispatch_action> step(dispatch_state& state, const dispatch_event& event,
                                  bool has_standing, time_point now) {
    dispatch_context context{state, has_standing, now, {}, false};
    std::visit(event_visitor{context}, event);
    if (context.set_changed && state.phase == dispatch_phase::active) {
        issue_grant(context);
    }
    update_applied_version(context);
    return std::move(context.actions);
}

std::optional<held_partition> sendable(const dispatch_state& state, partition_id partition,
                                       time_point now) {
    if (state.phase != dispatch_phase::active || now >= state.confirmed_until) {
        return std::nullopt;
    }
    const partition_id wanted = is_divided(state) ? partition : whole_service.partition;
    const held_partition* held = find_held(state, wanted);
    const bool is_outgoing = std::ranges::any_of(
        state.outgoing,
        [wanted](const outgoing_partition& entry) { return entry.partition.partition == wanted; });
    if (held == nullptr || is_outgoing ||
        !std::ranges::binary_search(state.last_report->partitions, *held)) {
        return std::nullopt;
    }
    return *held;
}

bool answers_watch(const dispatch_state& state, bool has_standing) {
    return has_standing && state.phase != dispatch_phase::ended;
}

bool has_applied(const dispatch_state& state, map_version version) {
    const placement::server_entry* entry = own_entry(state);
    const bool is_named = entry != nullptr && entry->dispatcher == state.self;
    const bool is_superseded_host = state.phase == dispatch_phase::ended && is_named;
    return state.applied_version >= version && !is_superseded_host;
}

}  // namespace greengagechute::ownership
