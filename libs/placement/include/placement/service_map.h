#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::placement {

/// Index of a server in `service_map::servers`. Indices are stable; a withdrawn server keeps its
/// index until no partition refers to it.
using server_index = std::uint16_t;

/// Marks an entry without a server.
inline constexpr server_index no_server = 0xffff;

/// A server of the service, and the hosts that may dispatch requests to it.
struct server_entry {
    server_id server;
    region_id region;
    data_centre_id data_centre;
    /// Host that holds the server's queue and renews its grant.
    host_instance dispatcher;
    /// Host that may take over from the dispatcher without a store write.
    host_instance standby;
    /// The standby may act only when this is set: the dispatcher has acknowledged a map that names
    /// it.
    bool standby_confirmed = false;
    /// The server takes no further partitions and its partitions are to be moved away.
    bool leaving = false;

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// Owner of one partition, and the owner after a failure: `successor`, at epoch `current.next()`.
struct partition_entry {
    server_index owner = no_server;
    server_index successor = no_server;
    /// Epoch of the ownership; increases with each change of the owner.
    epoch current;
    /// The successor is about to change and must not be used. Another successor is named at the
    /// same epoch only after the dispatcher and the standby have acknowledged a map with this flag,
    /// so that no two hosts ever pass the partition to different servers.
    bool frozen = false;

    friend bool operator==(const partition_entry&, const partition_entry&) = default;
};

/// A key with a partition of its own.
struct hot_key {
    std::uint64_t key_hash = 0;
    partition_id partition;

    friend bool operator==(const hot_key&, const hot_key&) = default;
};

/// The partitions of one divided service, their owners, and the hosts that dispatch to the servers.
/// The map of an undivided service has no partitions and only names dispatchers.
struct service_map {
    service_id service;
    map_version version;
    /// A power of two, or 0 for an undivided service.
    std::uint32_t partition_count = 0;
    std::vector<server_entry> servers;
    /// `partition_count` entries followed by one for each slot of the hot-key table in use.
    std::vector<partition_entry> partitions;
    /// Sorted by `key_hash`.
    std::vector<hot_key> hot_keys;

    friend bool operator==(const service_map&, const service_map&) = default;
};

/// The partition of a key, with its owner and epoch.
struct location {
    partition_id partition;
    server_index server = no_server;
    epoch current;
};

/// Largest number of keys with a partition of their own.
inline constexpr std::size_t max_hot_keys = 1024;

/// Largest partition count of a service.
inline constexpr std::uint32_t max_partition_count = 1U << 18U;

/// Largest number of entries in `service_map::servers`.
inline constexpr std::size_t max_servers = 16384;

/// Whether `count` is a power of two from 1 to `max_partition_count`.
constexpr bool is_valid_partition_count(std::uint32_t count) {
    return count != 0 && count <= max_partition_count && (count & (count - 1)) == 0;
}

/// The partition of a key: its own if it is a hot key, otherwise from the top bits of its XXH3-64
/// hash.
partition_id partition_of(const service_map& map, std::string_view key);

/// `partition_of` for a key given by its XXH3-64 hash.
partition_id partition_of_hash(const service_map& map, std::uint64_t key_hash);

/// The partition selected by the top bits of the hash, even if the key is a hot key.
partition_id base_partition(const service_map& map, std::uint64_t key_hash);

/// Looks up the partition, owner and epoch of `key`. The server is `no_server` for an undivided
/// service.
location locate(const service_map& map, std::string_view key);

/// Index of the server with this id; empty if the map does not name it.
std::optional<server_index> find_server(const service_map& map, const server_id& server);

/// Whether all counts and indices of the map are within their bounds and the hot keys are sorted.
bool is_valid(const service_map& map);

/// Encodes a map as MessagePack, the format in which it is stored and transmitted.
std::string encode(const service_map& map);

/// Decodes a map. Errors: `placement_errc::malformed_map`, also if an index is out of range or a
/// count exceeds its limit.
result<service_map> decode(std::string_view body);

}  // namespace greengagechute::placement
