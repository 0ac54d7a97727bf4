#include "placement/hot_keys.h"

#include "placement/errors.h"

#include <algorithm>
#include <unordered_map>

namespace greengagechute::placement {

namespace {

std::vector<hot_key>::const_iterator find_hot_key(const service_map& map, std::uint64_t key_hash) {
    const auto found = std::ranges::lower_bound(map.hot_keys, key_hash, {}, &hot_key::key_hash);
    return found != map.hot_keys.end() && found->key_hash == key_hash ? found : map.hot_keys.end();
}

// The first unused slot of the hot-key table, or the position after the last slot.
std::size_t free_slot(const service_map& map) {
    std::size_t slot = map.partition_count;
    while (slot < map.partitions.size() && map.partitions[slot].owner != no_server) {
        ++slot;
    }
    return slot;
}

/// Inputs and intermediate results of one call of `decide`. Loads include the moves decided so far.
struct decision_context {
    const service_map& map;
    const hot_key_limits& limits;
    std::unordered_map<std::uint64_t, double> key_loads;
    std::vector<double> server_loads;
    double mean_load = 0;
    std::size_t moves_left = 0;
    std::vector<hot_key_action> actions;

    double load_of(std::uint64_t key_hash) const {
        const auto found = this->key_loads.find(key_hash);
        return found == this->key_loads.end() ? 0 : found->second;
    }
};

double mean_server_load(const service_map& map, std::span<const double> server_loads) {
    double total = 0;
    std::size_t count = 0;
    for (std::size_t server = 0; server < server_loads.size(); ++server) {
        total += server_loads[server];
        count += map.servers[server].leaving ? 0U : 1U;
    }
    return count == 0 ? 0 : total / static_cast<double>(count);
}

void update_history(hot_key_state::history& entry, double load, const decision_context& work,
                    time_point now) {
    const bool above = load >= work.limits.split_share * work.mean_load;
    const bool below = load < work.limits.merge_share * work.mean_load;
    if (above && !entry.above) {
        entry.above_since = now;
    }
    if (below && !entry.below) {
        entry.below_since = now;
    }
    entry.above = above;
    entry.below = below;
}

bool may_move(const hot_key_state::history& entry, const decision_context& work, time_point now) {
    return work.moves_left > 0 &&
           (!entry.has_moved || now - entry.last_move >= work.limits.move_interval);
}

void move(hot_key_state::history& entry, decision_context& work, const hot_key& key,
          server_index target, time_point now) {
    const double load = work.load_of(key.key_hash);
    work.server_loads[work.map.partitions[key.partition.value()].owner] -= load;
    work.server_loads[target] += load;
    work.moves_left -= 1;
    entry.has_moved = true;
    entry.last_move = now;
    work.actions.emplace_back(move_key{key.partition, target});
}

void consider_merge(hot_key_state::history& entry, decision_context& work, const hot_key& key,
                    time_point now) {
    if (!entry.below || now - entry.below_since < work.limits.merge_after) {
        return;
    }
    const server_index owner = work.map.partitions[key.partition.value()].owner;
    const partition_id base = base_partition(work.map, key.key_hash);
    const server_index home = work.map.partitions[base.value()].owner;
    if (home == owner) {
        work.actions.emplace_back(merge_key{key.key_hash});
    } else if (home != no_server && may_move(entry, work, now)) {
        move(entry, work, key, home, now);
    }
}

server_index least_loaded(const decision_context& work) {
    server_index best = no_server;
    for (std::size_t index = 0; index < work.server_loads.size(); ++index) {
        if (work.map.servers[index].leaving || work.map.servers[index].server.value().empty()) {
            continue;
        }
        if (best == no_server || work.server_loads[index] < work.server_loads[best]) {
            best = static_cast<server_index>(index);
        }
    }
    return best;
}

void consider_move(hot_key_state::history& entry, decision_context& work, const hot_key& key,
                   time_point now) {
    const server_index owner = work.map.partitions[key.partition.value()].owner;
    const server_index target = least_loaded(work);
    if (entry.below || owner == no_server || target == no_server || owner == target ||
        !may_move(entry, work, now)) {
        return;
    }
    const double load = work.load_of(key.key_hash);
    const double present = work.server_loads[owner];
    const double after = work.server_loads[target] + load;
    const bool is_overloaded = present > work.limits.overload_share * work.mean_load;
    if (is_overloaded && present - after >= work.limits.least_gain * work.mean_load) {
        move(entry, work, key, target, now);
    }
}

void consider_splits(hot_key_state& state, decision_context& work, std::span<const key_load> loads,
                     time_point now) {
    std::size_t free = max_hot_keys - work.map.hot_keys.size();
    for (const key_load& key : loads) {
        if (find_hot_key(work.map, key.key_hash) != work.map.hot_keys.end()) {
            continue;
        }
        hot_key_state::history& entry = state.keys[key.key_hash];
        update_history(entry, key.load, work, now);
        if (free > 0 && entry.above && now - entry.above_since >= work.limits.split_after) {
            work.actions.emplace_back(split_key{key.key_hash});
            --free;
        }
    }
}

// Keys that are neither split off nor near the threshold need no history.
void forget_cold_keys(hot_key_state& state, const decision_context& work) {
    std::erase_if(state.keys, [&work](const auto& item) {
        const bool is_split = find_hot_key(work.map, item.first) != work.map.hot_keys.end();
        const double load = work.load_of(item.first);
        return !is_split && load < work.limits.split_share * work.mean_load;
    });
}

}  // namespace

status split_hot_key(service_map& map, std::uint64_t key_hash) {
    if (find_hot_key(map, key_hash) != map.hot_keys.end()) {
        return make_error_code(placement_errc::hot_key_exists);
    }
    const partition_id base = base_partition(map, key_hash);
    if (base.value() >= map.partitions.size() || map.partitions[base.value()].owner == no_server) {
        return make_error_code(placement_errc::no_server_available);
    }
    const std::size_t slot = free_slot(map);
    if (slot >= map.partition_count + max_hot_keys || map.hot_keys.size() >= max_hot_keys) {
        return make_error_code(placement_errc::hot_key_table_full);
    }
    if (slot == map.partitions.size()) {
        map.partitions.emplace_back();
    }
    const partition_entry& source = map.partitions[base.value()];
    map.partitions[slot] =
        partition_entry{source.owner, source.successor, map.partitions[slot].current.next()};
    const hot_key key{key_hash, partition_id(static_cast<std::uint32_t>(slot))};
    map.hot_keys.insert(std::ranges::lower_bound(map.hot_keys, key_hash, {}, &hot_key::key_hash),
                        key);
    return {};
}

status merge_hot_key(service_map& map, std::uint64_t key_hash) {
    const auto found = find_hot_key(map, key_hash);
    if (found == map.hot_keys.end()) {
        return make_error_code(placement_errc::unknown_hot_key);
    }
    partition_entry& own = map.partitions[found->partition.value()];
    const partition_id base = base_partition(map, key_hash);
    if (own.owner != map.partitions[base.value()].owner) {
        return make_error_code(placement_errc::hot_key_elsewhere);
    }
    own.owner = no_server;
    own.successor = no_server;
    map.hot_keys.erase(found);
    return {};
}

std::vector<hot_key_action> decide(hot_key_state& state, const service_map& map,
                                   std::span<const key_load> loads,
                                   std::span<const double> server_loads,
                                   std::size_t moves_in_flight, const hot_key_limits& limits,
                                   time_point now) {
    decision_context work{map, limits, {}, {server_loads.begin(), server_loads.end()}, 0, 0, {}};
    work.server_loads.resize(map.servers.size(), 0);
    for (const key_load& key : loads) {
        work.key_loads[key.key_hash] = key.load;
    }
    work.mean_load = mean_server_load(map, work.server_loads);
    if (work.mean_load <= 0) {
        return {};
    }
    work.moves_left =
        limits.max_moves_in_flight - std::min(moves_in_flight, limits.max_moves_in_flight);
    for (const hot_key& key : map.hot_keys) {
        hot_key_state::history& entry = state.keys[key.key_hash];
        update_history(entry, work.load_of(key.key_hash), work, now);
        consider_merge(entry, work, key, now);
        consider_move(entry, work, key, now);
    }
    consider_splits(state, work, loads, now);
    forget_cold_keys(state, work);
    return std::move(work.actions);
}

}  // namespace greengagechute::placement
