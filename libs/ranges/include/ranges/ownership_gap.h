#pragma once

#include "base/time.h"
#include "ranges/range_table.h"

#include <vector>

namespace greengagechute::ranges {

/// Adjacent keys that have had no owner since the same time.
struct ownership_gap {
    key_range keys;
    time_point since;
};

/// Gaps that are still open, and the parts of earlier ones whose keys have an owner again. Both in
/// ascending order.
struct gap_update {
    std::vector<ownership_gap> open;
    std::vector<ownership_gap> closed;
};

/// Compares the gaps known before with the present owners.
/// @param before  gaps in ascending order, without overlaps
/// @param routes  owners that requests may be sent to; an empty server id means that there is none
gap_update update_gaps(const std::vector<ownership_gap>& before, const range_table& routes,
                       time_point now);

}  // namespace greengagechute::ranges
