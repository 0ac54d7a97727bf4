#include "ownership/map_planner.h"

#include "planner_context.h"

#include <algorithm>
#include <unordered_map>

namespace greengagechute::ownership {

namespace {

using placement::no_server;
using placement::server_index;

// Copies the catalogue's properties of a server to its map entry.
void sync_entry(planner_context& context, placement::server_entry& entry,
                const placement::placement_server& server) {
    const placement::server_entry before = entry;
    entry.server = server.server;
    entry.region = server.region;
    entry.data_centre = server.data_centre;
    entry.leaving = server.leaving;
    context.changed = context.changed || entry != before;
}

bool is_referred_to(const placement::service_map& map, server_index index) {
    return std::ranges::any_of(map.partitions, [index](const placement::partition_entry& entry) {
        return entry.owner == index || entry.successor == index;
    });
}

// Updates the map's servers from the catalogue. A withdrawn server keeps its index until no
// partition refers to it.
void sync_servers(planner_context& context) {
    std::unordered_map<server_id, const placement::placement_server*> wanted;
    for (const placement::placement_server& server : context.state.servers) {
        wanted.emplace(server.server, &server);
    }
    std::vector<std::size_t> vacant;
    for (std::size_t index = 0; index < context.next.servers.size(); ++index) {
        placement::server_entry& entry = context.next.servers[index];
        const auto found = wanted.find(entry.server);
        if (found != wanted.end()) {
            sync_entry(context, entry, *found->second);
            wanted.erase(found);
        } else if (entry.server.value().empty()) {
            vacant.push_back(index);
        } else if (!is_referred_to(context.next, static_cast<server_index>(index))) {
            context.state.roles.erase(entry.server);
            entry = placement::server_entry{};
            context.changed = true;
        } else if (!entry.leaving) {
            entry.leaving = true;
            context.changed = true;
        }
    }
    for (const placement::placement_server& server : context.state.servers) {
        if (!wanted.contains(server.server)) {
            continue;
        }
        if (vacant.empty()) {
            vacant.push_back(context.next.servers.size());
            context.next.servers.emplace_back();
        }
        sync_entry(context, context.next.servers[vacant.back()], server);
        vacant.pop_back();
    }
}

// Computes the target placement again if its inputs have changed.
void update_target(planner_context& context) {
    planner_state& state = context.state;
    if (!state.target_outdated || context.next.partition_count == 0) {
        return;
    }
    const bool has_loads = state.loads.size() == context.next.partitions.size();
    const auto target = placement::place(&context.next, state.servers, state.settings.limits,
                                         has_loads ? state.loads : std::vector<double>{});
    if (target) {
        state.target_outdated = false;
        state.target_owners = target->owners;
        state.target_successors = target->successors;
    }
}

// Assigns the partitions of a new map to their first owners.
void place_initial_partitions(planner_context& context) {
    for (std::size_t number = 0; number < context.next.partitions.size(); ++number) {
        placement::partition_entry& entry = context.next.partitions[number];
        if (number < context.state.target_owners.size() && number < context.next.partition_count &&
            entry.owner == no_server) {
            entry.owner = context.state.target_owners[number];
            entry.successor = context.state.target_successors[number];
            entry.current = epoch(1);
            context.changed = true;
        }
    }
}

// Commits the owners that dispatchers reported. A partition is handed over only after its earlier
// owner has released it, so no other server holds it.
void commit_reported_owners(planner_context& context) {
    for (const auto& [partition, report] : context.state.reported_owners) {
        const auto owner = placement::find_server(context.next, report.first);
        placement::partition_entry& entry = context.next.partitions[partition.value()];
        if (!owner || entry.current >= report.second) {
            continue;
        }
        entry.successor = *owner;
        entry.current = epoch(report.second.value() - 1);
        context.state.map.partitions[partition.value()] = entry;
        advance_partition(context, partition.value());
    }
    context.state.reported_owners.clear();
}

void apply_hot_key(planner_context& context, const placement::split_key& action) {
    if (placement::split_hot_key(context.next, action.key_hash)) {
        return;
    }
    const partition_id base = placement::base_partition(context.next, action.key_hash);
    const partition_id own = placement::partition_of_hash(context.next, action.key_hash);
    // Hosts that have not applied the split still look for the key in the base partition.
    context.state.split_versions[base] = context.next_version();
    context.state.split_versions[own] = context.next_version();
    context.state.plan_since[own] = context.next_version();
    context.state.target_outdated = true;
    context.changed = true;
}

void apply_hot_key(planner_context& context, const placement::merge_key& action) {
    const partition_id base = placement::base_partition(context.next, action.key_hash);
    const partition_id own = placement::partition_of_hash(context.next, action.key_hash);
    if (context.state.moves.contains(base) || context.state.moves.contains(own) ||
        placement::merge_hot_key(context.next, action.key_hash)) {
        return;
    }
    context.state.split_versions[base] = context.next_version();
    context.state.target_outdated = true;
    context.changed = true;
}

void apply_hot_key(planner_context& context, const placement::move_key& action) {
    const std::size_t number = action.partition.value();
    if (number < context.state.target_owners.size() &&
        action.target < context.next.servers.size()) {
        context.state.target_owners[number] = action.target;
    }
}

std::optional<placement::service_map> plan_next(planner_state& state, time_point now) {
    // Owner reports change `state.map` during this planning only; it is restored below.
    const placement::service_map in_force = state.map;
    planner_context context{state, now, state.map, false};
    if (state.map.version == map_version(0)) {
        context.next.service = state.service;
        context.next.partition_count =
            state.settings.divided ? state.settings.limits.partition_count : 0;
        context.next.partitions.resize(context.next.partition_count);
    }
    context.next.version = context.next_version();
    sync_servers(context);
    commit_reported_owners(context);
    for (const placement::hot_key_action& action : state.hot_key_actions) {
        std::visit([&context](const auto& decided) { apply_hot_key(context, decided); }, action);
    }
    state.hot_key_actions.clear();
    update_target(context);
    place_initial_partitions(context);
    plan_roles(context);
    plan_successors(context);
    state.map = in_force;
    if (!context.changed) {
        return std::nullopt;
    }
    return std::move(context.next);
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
            // Another planner committed this map, or the commit failed. What was recorded about the
            // expected map is invalid.
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
