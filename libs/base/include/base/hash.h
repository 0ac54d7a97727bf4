#pragma once

#include <cstdint>
#include <string_view>

namespace greengagechute {

/// XXH3-64 hash of `data`. Stable between processes and versions.
/// @param seed  separates independent uses of the hash
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Hash of a pair, for rendezvous weights.
std::uint64_t hash64_pair(std::string_view first, std::string_view second);

}  // namespace greengagechute
