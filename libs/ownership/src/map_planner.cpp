#include "ownership/map_planner.h"

#include "planner_turn.h"

#include <algorithm>
#include <unordered_map>

namespace greengagechute::ownership {

namespace {

using placement::no_server;
using placement::server_index;

void sync_entry(planner_turn& turn, placement::server_entry& entry,
                const placement::placement_server& server) {
    const placement::server_entry before = entry;
    entry.server = server.server;
    entry.region = server.region;
    entry.data_centre = server.data_centre;
    entry.leaving = server.leaving;
    turn.changed = turn.changed || entry != before;
}

bool is_referred_to(const placement::service_map& map, server_index index) {
    return std::ranges::any_of(map.partitions, [index](const placement::partition_entry& entry) {
        return entry.owner == index || entry.successor == index;
    });
}

// Brings the server list up to date with the catalogue. A withdrawn server keeps its index until no
// partition refers to it.
void sync_servers(planner_turn& turn) {
    std::unordered_map<server_id, const placement::placement_server*> wanted;
    for (const placement::placement_server& server : turn.state.servers) {
        wanted.emplace(server.server, &server);
    }
    std::vector<std::size_t> vacant;
    for (std::size_t index = 0; index < turn.next.servers.size(); ++index) {
        placement::server_entry& entry = turn.next.servers[index];
        const auto found = wanted.find(entry.server);
        if (found != wanted.end()) {
            sync_entry(turn, entry, *found->second);
            wanted.erase(found);
        } else if (entry.server.value().empty()) {
            vacant.push_back(index);
        } else if (!is_referred_to(turn.next, static_cast<server_index>(index))) {
            turn.state.roles.erase(entry.server);
            entry = placement::server_entry{};
            turn.changed = true;
        } else if (!entry.leaving) {
            entry.leaving = true;
            turn.changed = true;
        }
    }
    for (const placement::placement_server& server : turn.state.servers) {
        if (!wanted.contains(server.server)) {
            continue;
        }
        if (vacant.empty()) {
            vacant.push_back(turn.next.servers.size());
            turn.next.servers.emplace_back();
        }
        sync_entry(turn, turn.next.servers[vacant.back()], server);
        vacant.pop_back();
    }
}

void update_target(planner_turn& turn) {
    planner_state& state = turn.state;
    if (!state.target_outdated || turn.next.partition_count == 0) {
        return;
    }
    const bool has_loads = state.loads.size() == turn.next.partitions.size();
    const auto target = placement::place(&turn.next, state.servers, state.settings.limits,
                                         has_loads ? state.loads : std::vector<double>{});
    if (target) {
        state.target_outdated = false;
        state.target_owners = target->owners;
        state.target_successors = target->successors;
    }
}

void place_first(planner_turn& turn) {
    for (std::size_t number = 0; number < turn.next.partitions.size(); ++number) {
        placement::partition_entry& entry = turn.next.partitions[number];
        if (number < turn.state.target_owners.size() && number < turn.next.partition_count &&
            entry.owner == no_server) {
            entry.owner = turn.state.target_owners[number];
            entry.successor = turn.state.target_successors[number];
            entry.current = epoch(1);
            turn.changed = true;
        }
    }
}

// A dispatcher that received a partition is its owner's: no earlier owner holds it any more.
void commit_reported_owners(planner_turn& turn) {
    for (const auto& [partition, report] : turn.state.reported_owners) {
        const auto owner = placement::find_server(turn.next, report.first);
        placement::partition_entry& entry = turn.next.partitions[partition.value()];
        if (!owner || entry.current >= report.second) {
            continue;
        }
        entry.successor = *owner;
        entry.current = epoch(report.second.value() - 1);
        turn.state.map.partitions[partition.value()] = entry;
        advance_partition(turn, partition.value());
    }
    turn.state.reported_owners.clear();
}

void apply_hot_key(planner_turn& turn, const placement::split_key& action) {
    if (placement::split_hot_key(turn.next, action.key_hash)) {
        return;
    }
    const partition_id base = placement::base_partition(turn.next, action.key_hash);
    const partition_id own = placement::partition_of_hash(turn.next, action.key_hash);
    // Hosts that do not know of the split look for the key in the base partition.
    turn.state.split_versions[base] = turn.next_version();
    turn.state.split_versions[own] = turn.next_version();
    turn.state.plan_since[own] = turn.next_version();
    turn.state.target_outdated = true;
    turn.changed = true;
}

void apply_hot_key(planner_turn& turn, const placement::merge_key& action) {
    const partition_id base = placement::base_partition(turn.next, action.key_hash);
    const partition_id own = placement::partition_of_hash(turn.next, action.key_hash);
    if (turn.state.moves.contains(base) || turn.state.moves.contains(own) ||
        placement::merge_hot_key(turn.next, action.key_hash)) {
        return;
    }
    turn.state.split_versions[base] = turn.next_version();
    turn.state.target_outdated = true;
    turn.changed = true;
}

void apply_hot_key(planner_turn& turn, const placement::move_key& action) {
    const std::size_t number = action.partition.value();
    if (number < turn.state.target_owners.size() && action.target < turn.next.servers.size()) {
        turn.state.target_owners[number] = action.target;
    }
}

std::optional<placement::service_map> plan_next(planner_state& state, time_point now) {
    // A report changes what is known of the map in force for the time of this decision only.
    const placement::service_map in_force = state.map;
    planner_turn turn{state, now, state.map, false};
    if (state.map.version == map_version(0)) {
        turn.next.service = state.service;
        turn.next.partition_count =
            state.settings.divided ? state.settings.limits.partition_count : 0;
        turn.next.partitions.resize(turn.next.partition_count);
    }
    turn.next.version = turn.next_version();
    sync_servers(turn);
    commit_reported_owners(turn);
    for (const placement::hot_key_action& action : state.hot_key_actions) {
        std::visit([&turn](const auto& decided) { apply_hot_key(turn, decided); }, action);
    }
    state.hot_key_actions.clear();
    update_target(turn);
    place_first(turn);
    plan_roles(turn);
    plan_successors(turn);
    state.map = in_force;
    if (!turn.changed) {
        return std::nullopt;
    }
    return std::move(turn.next);
}

struct event_visitor {
    planner_state& state;
    time_point now;

    void operator()(const planner_tick& /*event*/) const {}

    void operator()(const servers_changed& event) const {
        this->state.servers = event.servers;
        this->state.target_outdated = true;
    }

    void operator()(const roster_changed& event) const { this->state.hosts = event.hosts; }

    void operator()(const host_authority_ended& event) const {
        this->state.ended.insert(event.host);
        std::erase_if(this->state.hosts,
                      [&event](const roster_host& host) { return host.host == event.host; });
    }

    void operator()(const owner_reported& event) const {
        const partition_id partition = event.partition.partition;
        if (partition.value() >= this->state.map.partitions.size()) {
            return;
        }
        auto& known = this->state.reported_owners[partition];
        if (event.partition.current > known.second) {
            known = {event.owner, event.partition.current};
        }
    }

    void operator()(const dispatcher_announced& event) const {
        auto& known = this->state.announced[event.server];
        if (event.map >= known.second) {
            known = {event.dispatcher, event.map};
        }
    }

    void operator()(const map_acknowledged& event) const {
        planner_state::acknowledgement& known = this->state.acknowledged[event.host];
        if (event.version < known.version) {
            return;
        }
        known.version = event.version;
        known.lagging = {event.lagging.begin(), event.lagging.end()};
        known.consents = {event.consents.begin(), event.consents.end()};
    }

    void operator()(const commit_resolved& event) const {
        const bool is_expected = this->state.committing && *this->state.committing == event.map;
        this->state.committing.reset();
        if (event.map.version < this->state.map.version) {
            return;
        }
        this->state.map = event.map;
        if (!is_expected) {
            // Another planner or a failed commit: what was noted about the next map is not true.
            this->state.first_version = event.map.version;
            this->state.plan_since.clear();
            this->state.roles.clear();
            this->state.started = this->now;
            this->state.target_outdated = true;
        }
    }

    void operator()(const loads_measured& event) const {
        this->state.loads = event.loads;
        this->state.target_outdated = true;
    }

    void operator()(const hot_keys_decided& event) const {
        this->state.hot_key_actions = event.actions;
    }
};

}  // namespace

planner_state make_planner_state(const service_id& service, const planner_settings& settings,
                                 const placement::service_map& map, time_point now) {
    planner_state state;
    state.service = service;
    state.settings = settings;
    state.map = map;
    state.first_version = map.version;
    state.started = now;
    return state;
}

std::vector<planner_action> step(planner_state& state, const planner_event& event, time_point now) {
    std::visit(event_visitor{state, now}, event);
    const bool decides = std::holds_alternative<planner_tick>(event) ||
                         std::holds_alternative<commit_resolved>(event);
    if (!decides || state.committing || state.servers.empty() || state.hosts.empty()) {
        return {};
    }
    std::optional<placement::service_map> next = plan_next(state, now);
    if (next) {
        state.committing = next;
        return {commit_map{std::move(*next)}};
    }
    return plan_moves(state, now);
}

}  // namespace greengagechute::ownership
