#include "placement/errors.h"

#include <array>

namespace greengagechute::placement {

namespace {

constexpr std::array entries{
    error_entry{300, "malformed_map", "the encoded map is malformed or exceeds a bound"},
    error_entry{301, "malformed_delta", "the encoded map delta is malformed or exceeds a bound"},
    error_entry{302, "version_mismatch", "the delta does not start at the version of the map"},
    error_entry{303, "invalid_partition_count", "the partition count is not a valid power of two"},
    error_entry{304, "no_server_available", "no server may own partitions"},
    error_entry{305, "too_many_servers", "the map has no free server index"},
    error_entry{306, "invalid_servers", "a server is named twice or has no slots"},
    error_entry{307, "invalid_loads", "the loads do not match the partitions or are not finite"},
    error_entry{308, "hot_key_table_full", "the table of hot keys is full"},
    error_entry{309, "hot_key_exists", "the key already has a partition of its own"},
    error_entry{310, "unknown_hot_key", "the key has no partition of its own"},
    error_entry{311, "hot_key_elsewhere", "the hot key and its partition have different owners"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(placement_errc code) {
    static const table_category category("placement", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::placement
