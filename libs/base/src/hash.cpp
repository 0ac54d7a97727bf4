#include "base/hash.h"

#include <xxhash.h>

namespace greengagechute {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t hash64_pair(std::string_view first, std::string_view second) {
    return hash64(second, hash64(first));
}

}  // namespace greengagechute
