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

/// Contiguous keys, both ends included.
struct key_range {
    key_position first = 0;
    key_position last = last_key;

    std::uint32_t size() const { return this->last - this->first + 1; }
    friend bool operator==(const key_range&, const key_range&) = default;
};

/// One life of a server: a restart under the same id is another life and holds nothing.
struct server_instance {
    server_id id;
    /// Start of the server, Unix milliseconds.
    std::uint64_t start_time_ms = 0;

    friend auto operator<=>(const server_instance&, const server_instance&) = default;
    friend bool operator==(const server_instance&, const server_instance&) = default;
};

struct range_owner {
    key_range keys;
    server_instance owner;
};

/// Which server owns which keys of a service. Ranges are in ascending order and cover all keys; a
/// table without ranges means that nothing has been assigned.
struct range_table {
    std::vector<range_owner> ranges;
};

/// Owner of a key; nullptr if nothing has been assigned.
const server_instance* owner_of(const range_table& table, key_position key);

/// The ranges of `next` whose owner is another entry in `last`, in part or whole.
std::vector<range_owner> changes_between(const range_table& last, const range_table& next);

/// `table` with the owners request_rate `changes`.
range_table with_changes(const range_table& table, const std::vector<range_owner>& changes);

/// Text of the stored row.
std::string encode(const range_table& table);

/// Errors: `ranges_errc::malformed_table` for text that is no table or does not cover all keys.
result<range_table> decode(std::string_view text);

}  // namespace greengagechute::ranges
