#include "membership/coordinator_view.h"

#include "membership/errors.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace greengagechute::membership {

namespace {

using view_actions = std::vector<view_action>;

bool is_member(const view_state& state, const host_instance& instance) {
    return contains(state.members, instance);
}

std::vector<departure>::iterator departure_of(view_state& state, const host_instance& instance) {
    return std::find_if(state.departures.begin(), state.departures.end(),
                        [&](const departure& entry) { return entry.instance == instance; });
}

time_point last_heard_of(const view_state& state, const host_instance& instance) {
    const auto found = state.hosts.find(instance);
    return found == state.hosts.end() ? state.became_at : found->second.last_heard;
}

bool is_silent(const view_state& state, const host_instance& instance, time_point now) {
    if (instance == state.self) {
        return false;
    }
    const time_point since = std::max(last_heard_of(state, instance), state.watching_since);
    return now - since >= state.times.suspect_after;
}

/// Whether a later instance of the same host takes part. Only one process of a host can listen at
/// its address, so the earlier instance hears no peer any more; this counts as its acknowledgement.
/// Without this rule no roster change would be possible after all hosts have restarted.
bool is_superseded(const view_state& state, const host_instance& instance) {
    const roster_host* member = find(state.members, instance.host);
    if (member != nullptr && member->instance != instance) {
        return true;
    }
    return std::any_of(state.guests.begin(), state.guests.end(), [&](const auto& entry) {
        return entry.first.host == instance.host && entry.first != instance &&
               entry.second.confirmed;
    });
}

/// Whether `instance` was heard so recently that it can be expected to acknowledge a roster.
bool is_responsive(const view_state& state, const host_instance& instance, time_point now) {
    return instance == state.self || is_superseded(state, instance) ||
           now - last_heard_of(state, instance) < state.times.suspect_after;
}

bool acknowledged_by_majority(const view_state& state) {
    const std::vector<host_instance> previous = previous_members(state.members);
    if (previous.empty()) {
        return true;
    }
    std::size_t count = 0;
    for (const host_instance& instance : previous) {
        const auto found = state.hosts.find(instance);
        const bool acknowledged =
            found != state.hosts.end() && found->second.acknowledged >= state.members.version;
        if (instance == state.self || acknowledged || is_superseded(state, instance)) {
            ++count;
        }
    }
    return count >= majority_of(previous.size());
}

void update_acknowledged(view_state& state, time_point now) {
    if (state.acknowledged || !state.row_known || !acknowledged_by_majority(state)) {
        return;
    }
    state.acknowledged = true;
    for (departure& entry : state.departures) {
        if (!entry.acknowledged_at) {
            entry.acknowledged_at = now;
        }
    }
}

bool has_ended(const view_state& state, const departure& entry, time_point now) {
    if (entry.graceful) {
        return true;
    }
    return entry.acknowledged_at && now - entry.last_heard >= state.times.authority_end &&
           now - *entry.acknowledged_at >= longest_local(state.times.standing_bound);
}

void end_departures(view_state& state, view_actions& actions, time_point now) {
    for (const departure& entry : state.departures) {
        if (has_ended(state, entry, now)) {
            state.former.insert(entry.instance);
            state.hosts.erase(entry.instance);
            actions.emplace_back(authority_ended{entry.instance});
        }
    }
    std::erase_if(state.departures,
                  [&](const departure& entry) { return has_ended(state, entry, now); });
}

void end_silent_guests(view_state& state, view_actions& actions, time_point now) {
    for (auto entry = state.guests.begin(); entry != state.guests.end();) {
        const auto silent_for = now - std::max(entry->second.last_heard, state.watching_since);
        if (entry->first == state.self || silent_for < state.times.authority_end) {
            ++entry;
            continue;
        }
        state.former.insert(entry->first);
        actions.emplace_back(authority_ended{entry->first});
        entry = state.guests.erase(entry);
    }
}

void suspect_silent_hosts(view_state& state, view_actions& actions, time_point now) {
    for (const roster_host& host : state.members.hosts) {
        if (!is_silent(state, host.instance, now)) {
            state.suspected.erase(host.instance);
            continue;
        }
        if (state.suspected.insert(host.instance).second) {
            actions.emplace_back(host_suspected{host.instance});
        }
    }
}

void add_departure(view_state& state, const host_instance& instance) {
    if (departure_of(state, instance) != state.departures.end()) {
        return;
    }
    state.departures.push_back(departure{.instance = instance,
                                         .graceful = state.leaving.erase(instance) > 0,
                                         .last_heard = last_heard_of(state, instance),
                                         .acknowledged_at = std::nullopt});
    state.suspected.erase(instance);
    state.draining.erase(instance);
}

/// Takes over a roster that is committed.
void adopt(view_state& state, const roster& members, std::uint64_t version, view_actions& actions,
           time_point now) {
    for (const host_instance& instance : members.removed) {
        if (!state.former.contains(instance)) {
            add_departure(state, instance);
        }
    }
    for (const roster_host& host : state.members.hosts) {
        if (!contains(members, host.instance)) {
            add_departure(state, host.instance);
        }
    }
    state.members = members;
    state.row_version = version;
    state.row_known = true;
    state.acknowledged = false;
    for (const roster_host& host : members.hosts) {
        const auto guest_entry = state.guests.find(host.instance);
        const time_point heard =
            guest_entry == state.guests.end() ? now : guest_entry->second.last_heard;
        host_view view;
        view.last_heard = heard;
        state.hosts.try_emplace(host.instance, view);
        state.guests.erase(host.instance);
    }
    actions.emplace_back(roster_in_force{members});
    update_acknowledged(state, now);
}

/// Collects the changes of one roster version; each single change would count the version up.
class roster_step {
public:
    explicit roster_step(const roster& current) : base(current), next(current) {}

    void add(result<roster> changed) {
        if (!changed) {
            return;
        }
        this->next = std::move(*changed);
        this->removed.insert(this->removed.end(), this->next.removed.begin(),
                             this->next.removed.end());
        this->changes = true;
    }

    const roster& current() const { return this->next; }

    /// Makes a version with the same members.
    void repeat_members() { this->changes = true; }

    bool empty() const { return !this->changes; }

    std::optional<roster> finish() {
        if (!this->changes) {
            return std::nullopt;
        }
        this->next.version = this->base.version.next();
        this->next.removed = this->removed;
        for (roster_host& host : this->next.hosts) {
            host.since = std::min(host.since, this->next.version);
        }
        return this->next;
    }

private:
    const roster& base;
    roster next;
    std::vector<host_instance> removed;
    bool changes = false;
};

void add_leavers(const view_state& state, roster_step& change) {
    for (const host_instance& instance : state.leaving) {
        change.add(leave(change.current(), instance));
    }
}

/// Removes the suspected hosts, but only if the others can still confirm the removal.
void add_removals(const view_state& state, roster_step& change, time_point now) {
    if (!may_decide(state, now)) {
        return;
    }
    std::size_t responsive = 0;
    for (const roster_host& host : state.members.hosts) {
        if (is_responsive(state, host.instance, now)) {
            ++responsive;
        }
    }
    if (responsive < majority_of(state.members.hosts.size())) {
        return;
    }
    for (const host_instance& instance : state.suspected) {
        change.add(remove(change.current(), {instance}));
    }
}

void add_guests(const view_state& state, roster_step& change) {
    for (const auto& [instance, entry] : state.guests) {
        // Another instance of the host has to be out of the roster before, so that its removal is
        // subject to the rules for removals.
        const bool replaces = find(change.current(), instance.host) != nullptr;
        if (entry.confirmed && !replaces) {
            change.add(join(change.current(), entry.host));
        }
    }
}

void add_draining_flags(const view_state& state, roster_step& change) {
    for (const auto& [instance, draining] : state.draining) {
        const roster_host* host = find(change.current(), instance.host);
        if (host != nullptr && host->instance == instance && host->draining != draining) {
            change.add(set_draining(change.current(), instance, draining));
        }
    }
}

/// Repeats the members in a version of its own after a change was acknowledged. Otherwise a later
/// coordinator would need the majority of the roster before the change, which may be a single host
/// that is lost since.
void add_repetition(const view_state& state, roster_step& change) {
    const roster& members = state.members;
    const bool changed =
        !members.removed.empty() ||
        std::any_of(members.hosts.begin(), members.hosts.end(),
                    [&](const roster_host& host) { return host.since == members.version; });
    if (changed && change.empty() && state.departures.empty()) {
        change.repeat_members();
    }
}

void send_roster(view_state& state, view_actions& actions, time_point now) {
    state.pending->reading_back = false;
    state.pending->last_sent = now;
    actions.emplace_back(commit_roster{state.pending->write_id, state.pending->next,
                                       state.pending->expected_version, state.pending->guard});
}

void begin_change(view_state& state, view_actions& actions, time_point now) {
    if (!state.row_known || !state.guard || state.pending || !state.acknowledged) {
        return;
    }
    roster_step change(state.members);
    add_leavers(state, change);
    add_removals(state, change, now);
    add_guests(state, change);
    add_draining_flags(state, change);
    add_repetition(state, change);
    std::optional<roster> next = change.finish();
    if (!next) {
        return;
    }
    ++state.writes;
    state.pending = pending_roster_write{.write_id = "roster/" + state.self.host.value() + "/" +
                                                     std::to_string(state.self.instance.value()) +
                                                     "/" + std::to_string(state.term.value()) +
                                                     "/" + std::to_string(state.writes),
                                         .next = std::move(*next),
                                         .expected_version = state.row_version,
                                         .guard = *state.guard,
                                         .last_sent = now,
                                         .reading_back = false};
    send_roster(state, actions, now);
}

void read_back(view_state& state, view_actions& actions, time_point now) {
    state.pending->reading_back = true;
    state.pending->last_sent = now;
    actions.emplace_back(read_roster_commit{state.pending->write_id});
}

void request_row(view_state& state, view_actions& actions, time_point now) {
    state.last_read = now;
    actions.emplace_back(read_roster_row{});
}

void notice_pause(view_state& state, time_point now) {
    if (state.last_tick && now - *state.last_tick > state.times.pause_gap) {
        state.watching_since = now;
    }
    state.last_tick = now;
}

void handle(view_state& state, const tick&, view_actions& actions, time_point now) {
    notice_pause(state, now);
    if (!state.row_known) {
        if (!state.last_read || now - *state.last_read >= state.times.retry_after) {
            request_row(state, actions, now);
        }
        return;
    }
    if (state.pending && now - state.pending->last_sent >= state.times.retry_after) {
        read_back(state, actions, now);
    }
    update_acknowledged(state, now);
    suspect_silent_hosts(state, actions, now);
    end_departures(state, actions, now);
    end_silent_guests(state, actions, now);
    begin_change(state, actions, now);
}

void handle(view_state& state, const roster_row_read& event, view_actions& actions,
            time_point now) {
    if (state.row_known || event.version < state.row_version) {
        return;
    }
    adopt(state, event.members, event.version, actions, now);
}

void handle(view_state& state, const roster_commit_answered& event, view_actions& actions,
            time_point now) {
    if (!state.pending || state.pending->write_id != event.write_id) {
        return;
    }
    switch (event.outcome) {
        case write_outcome::committed: {
            const pending_roster_write written = std::move(*state.pending);
            state.pending.reset();
            adopt(state, written.next, event.version, actions, now);
            end_departures(state, actions, now);
            break;
        }
        case write_outcome::conflict:
            state.pending.reset();
            state.row_known = false;
            request_row(state, actions, now);
            break;
        case write_outcome::unknown:
            if (!state.pending->reading_back) {
                read_back(state, actions, now);
            }
            break;
        case write_outcome::absent:
            if (state.pending->reading_back) {
                send_roster(state, actions, now);
            }
            break;
    }
}

void handle(view_state& state, const guard_changed& event, view_actions&, time_point) {
    state.guard = event.guard;
}

void handle(view_state& state, const host_heard& event, view_actions&, time_point now) {
    const auto guest_entry = state.guests.find(event.host);
    if (guest_entry != state.guests.end()) {
        guest_entry->second.last_heard = now;
        guest_entry->second.confirmed = true;
        return;
    }
    if (!is_member(state, event.host)) {
        return;
    }
    host_view& view = state.hosts[event.host];
    view.last_heard = now;
    view.acknowledged = std::max(view.acknowledged, event.members);
    view.active = std::max(view.active, event.active);
    view.prepared = event.prepared;
    update_acknowledged(state, now);
}

void handle(view_state& state, const join_asked& event, view_actions& actions, time_point now) {
    const host_instance& instance = event.host.instance;
    if (!state.row_known) {
        return;
    }
    if (is_member(state, instance)) {
        state.hosts[instance].last_heard = now;
        actions.emplace_back(guest_counted{event.host});
        return;
    }
    const bool departed = departure_of(state, instance) != state.departures.end();
    if (departed || event.was_member || state.former.contains(instance)) {
        const std::error_code reason = make_error_code(membership_errc::former_instance);
        actions.emplace_back(join_refused{instance, reason});
        return;
    }
    const result<roster> joined = join(roster{}, event.host);
    if (!joined) {
        actions.emplace_back(join_refused{instance, joined.error()});
        return;
    }
    if (state.guests.size() >= max_roster_hosts) {
        const std::error_code reason = make_error_code(membership_errc::roster_full);
        actions.emplace_back(join_refused{instance, reason});
        return;
    }
    guest& entry = state.guests[instance];
    entry.host = event.host;
    entry.last_heard = now;
    entry.confirmed = entry.confirmed || instance == state.self;
    actions.emplace_back(guest_counted{event.host});
}

void handle(view_state& state, const leave_asked& event, view_actions& actions, time_point) {
    if (is_member(state, event.host)) {
        state.leaving.insert(event.host);
        return;
    }
    if (state.guests.erase(event.host) > 0) {
        state.former.insert(event.host);
        actions.emplace_back(authority_ended{event.host});
    }
}

void handle(view_state& state, const draining_reported& event, view_actions&, time_point) {
    if (is_member(state, event.host)) {
        state.draining[event.host] = event.draining;
    }
}

// Each roster change waits for the acknowledgement of the previous one. An instance that is neither
// in the roster nor among the last departures was therefore without standing before this term, or
// lost it during the coordinator's first wait.
void handle(view_state& state, const instances_named& event, view_actions& actions,
            time_point now) {
    for (const host_instance& instance : event.instances) {
        if (authority_may_last(state, instance, now) || !state.former.insert(instance).second) {
            continue;
        }
        state.hosts.erase(instance);
        actions.emplace_back(authority_ended{instance});
    }
}

}  // namespace

view_state start_view(const host_instance& self, term_number term, time_point now) {
    view_state state;
    state.self = self;
    state.term = term;
    state.became_at = now;
    state.watching_since = now;
    return state;
}

std::vector<view_action> step(view_state& state, const view_event& event, time_point now) {
    view_actions actions;
    std::visit([&](const auto& typed) { handle(state, typed, actions, now); }, event);
    return actions;
}

bool may_decide(const view_state& state, time_point now) {
    return state.row_known && now - state.became_at >= state.times.first_decision_after;
}

bool authority_may_last(const view_state& state, const host_instance& instance, time_point now) {
    if (is_member(state, instance) || state.guests.contains(instance)) {
        return true;
    }
    const auto departed =
        std::find_if(state.departures.begin(), state.departures.end(),
                     [&](const departure& entry) { return entry.instance == instance; });
    if (departed != state.departures.end()) {
        return true;
    }
    return !state.former.contains(instance) && !may_decide(state, now);
}

std::vector<host_instance> must_prepare(const view_state& state) {
    std::vector<host_instance> hosts;
    for (const roster_host& host : state.members.hosts) {
        hosts.push_back(host.instance);
    }
    for (const auto& [instance, entry] : state.guests) {
        hosts.push_back(instance);
    }
    for (const departure& entry : state.departures) {
        hosts.push_back(entry.instance);
    }
    return hosts;
}

}  // namespace greengagechute::membership
