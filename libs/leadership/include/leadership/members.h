#pragma once

#include "base/ids.h"

#include <cstddef>
#include <set>

namespace greengagechute::leadership {

/// Hosts that are counted to tell which coordinator most hosts follow. The coordinator keeps them
/// in the store, so that its successor counts the same ones.
using host_set = std::set<host_id>;

/// Whether `count` of the members are more than half of them. False if there are no members.
constexpr bool is_majority(std::size_t count, std::size_t members) {
    return 2 * count > members;
}

}  // namespace greengagechute::leadership
