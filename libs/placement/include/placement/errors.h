#pragma once

#include "base/errors.h"

#include <span>
#include <system_error>

namespace greengagechute::placement {

enum class placement_errc {
    malformed_map = 300,
    malformed_delta = 301,
    version_mismatch = 302,
    invalid_partition_count = 303,
    no_server_available = 304,
    too_many_servers = 305,
    invalid_servers = 306,
    invalid_loads = 307,
    hot_key_table_full = 308,
    hot_key_exists = 309,
    unknown_hot_key = 310,
    hot_key_elsewhere = 311,
};

std::span<const error_entry> error_table();
std::error_code make_error_code(placement_errc code);

}  // namespace greengagechute::placement

template <>
struct std::is_error_code_enum<greengagechute::placement::placement_errc> : std::true_type {};
