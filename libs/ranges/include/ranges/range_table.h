#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::ranges {

/// A key of a divided service: a position in the key space, not a hash.
using key_position = std::uint32_t;

inline constexpr key_position last_key = 65'535;

/// Contiguous range of keys, both ends inclusive.
struct key_range {
    key_position first = 0;
    key_position last = last_key;

    std::uint32_t size() const { return this->last - this->first + 1; }
    friend bool operator==(const key_range&, const key_range&) = default;
};

/// One run of a server process. A restart under the same id is a new instance that holds no leases.
struct server_instance {
    server_id id;
    /// Start time of the process in milliseconds since the Unix epoch.
    std::uint64_t start_time_ms = 0;

    friend auto operator<=>(const server_instance&, const server_instance&) = default;
    friend bool operator==(const server_instance&, const server_instance&) = default;
};

struct range_owner {
    key_range keys;
    server_instance owner;
};

/// Assignment of the keys of one service to servers. Ranges are in ascending order, do not overlap
/// and cover all keys. An empty table means that no keys have been assigned yet.
struct range_table {
    std::vector<range_owner> ranges;
};

/// Returns the owner of a key, or nullptr if the table is empty. The pointer refers into `table`.
const server_instance* owner_of(const range_table& table, key_position key);

/// Returns the ranges of `next` that have a different owner in `last` for at least one key.
std::vector<range_owner> changes_between(const range_table& last, const range_table& next);

/// Returns `table` after the ranges of `changes`, in ascending order, are assigned to their owners.
range_table with_changes(const range_table& table, const std::vector<range_owner>& changes);

/// Encodes the table as the JSON text of the stored row.
std::string encode(const range_table& table);

/// Decodes the text written by `encode`.
/// Errors: `ranges_errc::malformed_table` if the text is not an encoded table, or if its ranges
/// overlap or do not cover all keys.
result<range_table> decode(std::string_view text);

}  // namespace greengagechute::ranges
