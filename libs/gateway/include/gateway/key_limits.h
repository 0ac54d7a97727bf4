#pragma once

#include "base/ids.h"
#include "ranges/range_table.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengagechute::gateway {

/// Part of the requests for some keys that hosts send to the owner; they refuse the others.
struct key_limit {
    ranges::key_range keys;
    /// In (0, 1].
    double fraction = 1;
};

/// All limits in force.
struct limits_update {
    /// Raised when a limit begins or ends; above 0.
    std::uint64_t version = 0;
    std::map<service_id, std::vector<key_limit>> limits;
};

/// Queues that a server reported in its responses.
struct queue_sample {
    /// Sum of the numbers of waiting requests.
    double sum = 0;
    int count = 0;
};

}  // namespace greengagechute::gateway
