#include "ranges/ownership_gap.h"

#include <algorithm>

namespace greengagechute::ranges {

namespace {

void append(std::vector<ownership_gap>& gaps, const ownership_gap& next) {
    if (!gaps.empty() && gaps.back().since == next.since &&
        gaps.back().keys.last + 1 == next.keys.first) {
        gaps.back().keys.last = next.keys.last;
    } else {
        gaps.push_back(next);
    }
}

}  // namespace

gap_update update_gaps(const std::vector<ownership_gap>& before, const range_table& routes,
                       time_point now) {
    gap_update result;
    auto gap = before.begin();
    for (const range_owner& entry : routes.ranges) {
        const bool owned = !entry.owner.id.value().empty();
        key_position first = entry.keys.first;
        while (first <= entry.keys.last) {
            while (gap != before.end() && gap->keys.last < first) {
                ++gap;
            }
            const bool known = gap != before.end() && gap->keys.first <= first;
            key_position last = entry.keys.last;
            if (known) {
                last = std::min(last, gap->keys.last);
            } else if (gap != before.end()) {
                last = std::min(last, gap->keys.first - 1);
            }
            if (!owned) {
                append(result.open, {{first, last}, known ? gap->since : now});
            } else if (known) {
                append(result.closed, {{first, last}, gap->since});
            }
            first = last + 1;
        }
    }
    return result;
}

}  // namespace greengagechute::ranges
