#include "placement/service_map.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>

namespace greengagechute::placement {

namespace {

constexpr unsigned hash_bits = 64;

bool is_index_valid(const service_map& map, server_index index) {
    return index == no_server || index < map.servers.size();
}

bool are_partitions_valid(const service_map& map) {
    return std::ranges::all_of(map.partitions, [&map](const partition_entry& entry) {
        return is_index_valid(map, entry.owner) && is_index_valid(map, entry.successor);
    });
}

bool are_hot_keys_valid(const service_map& map) {
    for (std::size_t position = 0; position < map.hot_keys.size(); ++position) {
        const hot_key& key = map.hot_keys[position];
        const bool in_range = key.partition.value() >= map.partition_count &&
                              key.partition.value() < map.partitions.size();
        const bool sorted = position == 0 || map.hot_keys[position - 1].key_hash < key.key_hash;
        if (!in_range || !sorted) {
            return false;
        }
    }
    return true;
}

}  // namespace

partition_id base_partition(const service_map& map, std::uint64_t key_hash) {
    if (map.partition_count <= 1) {
        return partition_id(0);
    }
    const auto bits = static_cast<unsigned>(std::countr_zero(map.partition_count));
    return partition_id(static_cast<std::uint32_t>(key_hash >> (hash_bits - bits)));
}

partition_id partition_of_hash(const service_map& map, std::uint64_t key_hash) {
    const auto found = std::ranges::lower_bound(map.hot_keys, key_hash, {}, &hot_key::key_hash);
    if (found != map.hot_keys.end() && found->key_hash == key_hash) {
        return found->partition;
    }
    return base_partition(map, key_hash);
}

partition_id partition_of(const service_map& map, std::string_view key) {
    return partition_of_hash(map, hash64(key));
}

location locate(const service_map& map, std::string_view key) {
    const partition_id partition = partition_of(map, key);
    if (partition.value() >= map.partitions.size()) {
        return location{partition, no_server, epoch(0)};
    }
    const partition_entry& entry = map.partitions[partition.value()];
    return location{partition, entry.owner, entry.current};
}

std::optional<server_index> find_server(const service_map& map, const server_id& server) {
    const auto found = std::ranges::find(map.servers, server, &server_entry::server);
    if (found == map.servers.end()) {
        return std::nullopt;
    }
    return static_cast<server_index>(found - map.servers.begin());
}

bool is_valid(const service_map& map) {
    if (map.servers.size() > max_servers) {
        return false;
    }
    if (map.partition_count == 0) {
        return map.partitions.empty() && map.hot_keys.empty();
    }
    if (!is_valid_partition_count(map.partition_count)) {
        return false;
    }
    if (map.partitions.size() < map.partition_count ||
        map.partitions.size() > map.partition_count + max_hot_keys) {
        return false;
    }
    return map.hot_keys.size() <= max_hot_keys && are_partitions_valid(map) &&
           are_hot_keys_valid(map);
}

}  // namespace greengagechute::placement
