#include "dispatch_context.h"

#include <utility>

namespace greengagechute::ownership {

namespace {

epoch seen_epoch(const dispatch_state& state, partition_id partition) {
    const auto found = state.highest_epochs.find(partition);
    return found == state.highest_epochs.end() ? epoch(0) : found->second;
}

// Whether a map plans another successor for a partition whose hand-over has begun. The hand-over
// can't be revoked, so such a map must not be acknowledged before a map contains the move.
bool contradicts_hand_over(const dispatch_state& state, const placement::service_map& map) {
    return std::ranges::any_of(state.outgoing, [&](const outgoing_partition& outgoing) {
        const placement::partition_entry* entry = entry_of(map, outgoing.partition.partition);
        if (entry == nullptr || entry->current != outgoing.partition.current) {
            return false;
        }
        return entry->frozen || entry->successor == placement::no_server ||
               map.servers[entry->successor].server != outgoing.successor;
    });
}

bool is_adoptable(const dispatch_state& state, const placement::service_map& map,
                  const placement::server_entry* entry) {
    const placement::server_entry* present = own_entry(state);
    // The map still names the old dispatcher: the coordinator does not know of the takeover yet.
    const bool predates_takeover = state.took_over && entry != nullptr && present != nullptr &&
                                   present->standby == state.self && entry->standby != state.self &&
                                   entry->dispatcher == present->dispatcher;
    return !predates_takeover && !contradicts_hand_over(state, map);
}

const placement::server_entry* find_entry(const std::vector<placement::server_entry>& servers,
                                          const server_id& server) {
    const auto found = std::ranges::find(servers, server, &placement::server_entry::server);
    return found == servers.end() ? nullptr : &*found;
}

// Adopts the server addresses of a map, even if its plans are not adopted.
void update_directory(dispatch_state& state, const placement::service_map& map) {
    if (map.version <= state.directory_version) {
        return;
    }
    state.directory = map.servers;
    state.directory_version = map.version;
}

// Removes hand-overs and received partitions that the map contains.
void remove_settled(dispatch_context& context) {
    dispatch_state& state = context.state;
    std::erase_if(state.outgoing, [&state](const outgoing_partition& outgoing) {
        const placement::partition_entry* entry = entry_of(state.map, outgoing.partition.partition);
        return entry != nullptr && entry->current > outgoing.partition.current;
    });
    std::erase_if(state.unreported, [&state](const held_partition& received) {
        const placement::partition_entry* entry = entry_of(state.map, received.partition);
        return entry != nullptr && entry->current >= received.current;
    });
}

// Removes held partitions that the map assigns to another server or a later epoch.
void remove_superseded(dispatch_context& context, placement::server_index own) {
    dispatch_state& state = context.state;
    std::vector<partition_id> superseded;
    for (const held_partition& held : state.held) {
        const placement::partition_entry* entry = entry_of(state.map, held.partition);
        const bool is_superseded =
            entry != nullptr && (entry->current > held.current ||
                                 (entry->current == held.current && entry->owner != own));
        if (is_superseded) {
            superseded.push_back(held.partition);
        }
    }
    for (const partition_id partition : superseded) {
        remove_partition(context, partition);
    }
}

// Adds the partitions that the map assigns to the server at an epoch that is new to this
// dispatcher. They may be granted at once, because an owner is committed only when no earlier owner
// can hold the partition any more.
void add_new_partitions(dispatch_context& context, placement::server_index own,
                        const placement::service_map& old_map) {
    dispatch_state& state = context.state;
    for (std::uint32_t number = 0; number < state.map.partitions.size(); ++number) {
        const placement::partition_entry& entry = state.map.partitions[number];
        if (entry.owner != own) {
            continue;
        }
        const partition_id partition(number);
        const placement::partition_entry* old_entry = entry_of(old_map, partition);
        if (old_entry == nullptr || *old_entry != entry) {
            state.plan_since[partition] = state.map.version;
        }
        if (entry.current > seen_epoch(state, partition)) {
            add_partition(context, held_partition{partition, entry.current});
        }
    }
}

void reconcile(dispatch_context& context, const placement::service_map& old_map) {
    dispatch_state& state = context.state;
    const auto own = placement::find_server(state.map, state.server);
    if (!own || !is_divided(state)) {
        return;
    }
    remove_settled(context);
    remove_superseded(context, *own);
    add_new_partitions(context, *own, old_map);
    resolve_missing(context);
}

// Starts anew with a map that names this host again after another one.
void restart_authority(dispatch_context& context, const placement::service_map& map) {
    dispatch_state& state = context.state;
    dispatch_state next = make_dispatch_state(state.server, state.self, state.times, map);
    next.outgoing = std::move(state.outgoing);
    // Partitions that were held before may have been handed over since.
    std::erase_if(next.held, [&state](const held_partition& held) {
        return held.current <= seen_epoch(state, held.partition);
    });
    for (const auto& [partition, seen] : state.highest_epochs) {
        epoch& known = next.highest_epochs[partition];
        known = std::max(known, seen);
    }
    next.set_version = state.set_version;
    state = std::move(next);
    remove_settled(context);
}

void send(dispatch_context& context, outgoing_partition& outgoing) {
    outgoing.last_sent = context.now;
    const placement::server_entry* successor =
        find_entry(context.state.directory, outgoing.successor);
    if (successor == nullptr) {
        return;
    }
    const bool to_standby = outgoing.sends % 2 == 1 && successor->standby != host_instance{};
    outgoing.sends += 1;
    context.actions.emplace_back(send_hand_over{
        held_partition{outgoing.partition.partition, outgoing.partition.current.next()},
        outgoing.successor, to_standby ? successor->standby : successor->dispatcher});
}

}  // namespace

const held_partition* find_held(const dispatch_state& state, partition_id partition) {
    const auto found =
        std::ranges::lower_bound(state.held, partition, {}, &held_partition::partition);
    return found != state.held.end() && found->partition == partition ? &*found : nullptr;
}

void add_partition(dispatch_context& context, const held_partition& partition) {
    dispatch_state& state = context.state;
    const auto position =
        std::ranges::lower_bound(state.held, partition.partition, {}, &held_partition::partition);
    if (position != state.held.end() && position->partition == partition.partition) {
        position->current = partition.current;
    } else {
        state.held.insert(position, partition);
    }
    state.highest_epochs[partition.partition] = partition.current;
    state.set_version += 1;
    context.set_changed = true;
}

void remove_partition(dispatch_context& context, partition_id partition) {
    dispatch_state& state = context.state;
    const auto removed = std::erase_if(state.held, [partition](const held_partition& held) {
        return held.partition == partition;
    });
    if (removed > 0) {
        state.set_version += 1;
        context.set_changed = true;
    }
}

const placement::server_entry* planned_successor(const dispatch_state& state,
                                                 const held_partition& partition) {
    const placement::partition_entry* entry = entry_of(state.map, partition.partition);
    const auto own = placement::find_server(state.map, state.server);
    if (entry == nullptr || !own || entry->owner != *own || entry->current != partition.current ||
        entry->successor == placement::no_server || entry->successor == *own || entry->frozen) {
        return nullptr;
    }
    return &state.map.servers[entry->successor];
}

dispatch_state make_dispatch_state(const server_id& server, const host_instance& self,
                                   const timing& times, const placement::service_map& map) {
    dispatch_state state;
    state.service = map.service;
    state.server = server;
    state.self = self;
    state.times = times;
    state.map = map;
    update_directory(state, map);
    const auto own = placement::find_server(map, server);
    if (!own) {
        state.phase = dispatch_phase::ended;
        return state;
    }
    state.first_standby = map.servers[*own].standby;
    if (!is_divided(state)) {
        state.held.push_back(whole_service);
        return state;
    }
    dispatch_context context{state, false, {}, {}, false};
    add_new_partitions(context, *own, placement::service_map{});
    return state;
}

void resolve_missing(dispatch_context& context) {
    dispatch_state& state = context.state;
    const std::vector<held_partition> missing = std::exchange(state.missing, {});
    for (const held_partition& partition : missing) {
        const placement::partition_entry* entry = entry_of(state.map, partition.partition);
        if (entry == nullptr || entry->current > partition.current) {
            continue;
        }
        const placement::server_entry* successor = planned_successor(state, partition);
        if (successor != nullptr) {
            outgoing_partition outgoing;
            outgoing.partition = partition;
            outgoing.successor = successor->server;
            outgoing.release_at = state.missing_until;
            state.outgoing.push_back(outgoing);
        } else if (entry->successor == placement::no_server) {
            add_partition(context, partition);
        } else {
            state.missing.push_back(partition);
        }
    }
}

void adopt_map(dispatch_context& context, const placement::service_map& map) {
    dispatch_state& state = context.state;
    if (map.service != state.service) {
        return;
    }
    update_directory(state, map);
    const auto index = placement::find_server(map, state.server);
    const placement::server_entry* entry = index ? &map.servers[*index] : nullptr;
    if (map.version <= state.map.version || !is_adoptable(state, map, entry)) {
        return;
    }
    const placement::server_entry* present = own_entry(state);
    const bool was_named = present != nullptr && present->dispatcher == state.self;
    const host_instance old_standby = present == nullptr ? host_instance{} : present->standby;
    const bool is_named = entry != nullptr && entry->dispatcher == state.self;
    if (state.phase == dispatch_phase::ended) {
        if (is_named && !was_named) {
            restart_authority(context, map);
        } else {
            state.map = map;
            remove_settled(context);
        }
        return;
    }
    const placement::service_map old_map = std::exchange(state.map, map);
    const bool keeps_takeover = state.took_over && entry != nullptr && entry->standby == state.self;
    if (!is_named && !keeps_takeover) {
        remove_settled(context);
        end_authority(context);
        return;
    }
    if (is_named && !was_named) {
        state.first_standby = entry->standby;
        state.took_over = false;
    }
    if (entry->standby != old_standby) {
        state.consent = false;
        state.consented_epoch.reset();
    }
    reconcile(context, old_map);
}

void start_moves(dispatch_context& context, const move_requested& event) {
    dispatch_state& state = context.state;
    if (state.phase != dispatch_phase::active || event.map > state.map.version) {
        return;
    }
    for (const partition_id partition : event.partitions) {
        const held_partition* held = find_held(state, partition);
        if (held == nullptr || find_outgoing(state, partition) != nullptr) {
            continue;
        }
        const placement::server_entry* successor = planned_successor(state, *held);
        const auto since = state.plan_since.find(partition);
        const bool is_current = since != state.plan_since.end() && since->second <= event.map;
        if (successor == nullptr || !is_current) {
            continue;
        }
        outgoing_partition outgoing;
        outgoing.partition = *held;
        outgoing.successor = successor->server;
        state.outgoing.push_back(outgoing);
        context.actions.emplace_back(stop_partition{partition});
    }
}

void finish_move(dispatch_context& context, partition_id partition) {
    outgoing_partition* outgoing = find_outgoing(context.state, partition);
    if (outgoing == nullptr || outgoing->released || outgoing->release_version != 0 ||
        outgoing->release_at) {
        return;
    }
    remove_partition(context, partition);
    outgoing->release_version = context.state.set_version;
}

void receive_partition(dispatch_context& context, const partition_received& event) {
    dispatch_state& state = context.state;
    const held_partition& received = event.partition;
    const bool is_known_number =
        received.partition.value() < state.map.partition_count + placement::max_hot_keys;
    if (state.phase == dispatch_phase::ended || !is_divided(state) || !is_known_number) {
        return;
    }
    context.actions.emplace_back(acknowledge_hand_over{received, event.from});
    const placement::partition_entry* entry = entry_of(state.map, received.partition);
    const bool is_settled = entry != nullptr && entry->current >= received.current;
    if (is_settled || received.current <= seen_epoch(state, received.partition)) {
        return;
    }
    add_partition(context, received);
    state.unreported.push_back(received);
    context.actions.emplace_back(report_owner{received, state.server});
}

void record_acknowledgement(dispatch_context& context, const held_partition& partition) {
    outgoing_partition* outgoing = find_outgoing(context.state, partition.partition);
    if (outgoing != nullptr && outgoing->partition.current.next() == partition.current) {
        outgoing->acknowledged = true;
    }
}

void release_confirmed(dispatch_context& context, std::uint64_t confirmed_set_version) {
    for (outgoing_partition& outgoing : context.state.outgoing) {
        const bool is_confirmed =
            outgoing.release_version != 0 && outgoing.release_version <= confirmed_set_version;
        if (!outgoing.released && is_confirmed) {
            outgoing.released = true;
            if (context.has_standing) {
                send(context, outgoing);
            }
        }
    }
}

void release_outgoing(dispatch_context& context) {
    for (outgoing_partition& outgoing : context.state.outgoing) {
        if (!outgoing.released && !outgoing.release_at) {
            remove_partition(context, outgoing.partition.partition);
            outgoing.released = true;
            send(context, outgoing);
        }
    }
}

void hand_over_all(dispatch_context& context) {
    dispatch_state& state = context.state;
    const std::vector<held_partition> held = state.held;
    for (const held_partition& partition : held) {
        const placement::server_entry* successor = planned_successor(state, partition);
        if (successor == nullptr || !is_divided(state)) {
            continue;
        }
        remove_partition(context, partition.partition);
        outgoing_partition outgoing;
        outgoing.partition = partition;
        outgoing.successor = successor->server;
        outgoing.released = true;
        send(context, outgoing);
        state.outgoing.push_back(outgoing);
    }
}

void send_pending(dispatch_context& context) {
    dispatch_state& state = context.state;
    if (!context.has_standing) {
        return;
    }
    for (outgoing_partition& outgoing : state.outgoing) {
        if (!outgoing.released && outgoing.release_at && context.now >= *outgoing.release_at) {
            outgoing.released = true;
        }
        // Repeated until the map contains the move, also after the acknowledgement: the host that
        // acknowledged may have lost its authority over the successor since.
        const milliseconds period =
            outgoing.acknowledged ? state.times.report_period : state.times.watch_period;
        if (outgoing.released && context.now - outgoing.last_sent >= period) {
            send(context, outgoing);
        }
    }
    if (context.now - state.last_owner_report < state.times.report_period) {
        return;
    }
    state.last_owner_report = context.now;
    for (const held_partition& received : state.unreported) {
        context.actions.emplace_back(report_owner{received, state.server});
    }
}

void end_authority(dispatch_context& context) {
    dispatch_state& state = context.state;
    state.phase = dispatch_phase::ended;
    // A map does not contain these yet, so they were not handed over and this host may hold them
    // again at the same epoch.
    for (const held_partition& received : state.unreported) {
        state.highest_epochs[received.partition] = epoch(received.current.value() - 1);
    }
    state.held.clear();
    state.missing.clear();
    state.unreported.clear();
    std::erase_if(state.outgoing,
                  [](const outgoing_partition& outgoing) { return !outgoing.released; });
    context.actions.emplace_back(authority_ended{});
}

}  // namespace greengagechute::ownership
