#pragma once

#include "base/result.h"
#include "placement/service_map.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengagechute::placement {

/// Differences between two versions of a map. Much smaller than the map for usual changes.
struct map_delta {
    service_id service;
    map_version from;
    map_version to;
    /// Partition count and sizes of the tables after the change. The entries below are only those
    /// that differ.
    std::uint32_t partition_count = 0;
    std::uint32_t server_count = 0;
    std::uint32_t partition_entries = 0;
    std::vector<std::pair<server_index, server_entry>> servers;
    std::vector<std::pair<partition_id, partition_entry>> partitions;
    /// The whole table of hot keys, if it changed.
    std::optional<std::vector<hot_key>> hot_keys;
};

/// The delta that turns `before` into `after`.
map_delta difference(const service_map& before, const service_map& after);

/// Applies a delta in place; the map is unchanged on an error.
/// Errors: `placement_errc::version_mismatch` (other service or version), `malformed_delta`.
status apply(service_map& map, const map_delta& change);

/// Encodes a delta as MessagePack.
std::string encode(const map_delta& change);

/// Size of the encoded form in bytes.
std::size_t encoded_size(const map_delta& change);

/// Decodes a delta. Errors: `placement_errc::malformed_delta`.
result<map_delta> decode_delta(std::string_view body);

}  // namespace greengagechute::placement
