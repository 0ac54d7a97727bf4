#include "dispatch/eligibility.h"

#include <algorithm>

namespace greengagechute::dispatch {

bool is_allowed(const region_list& allowed, const region_id& region) {
    return allowed.empty() || (!region.value().empty() &&
                               std::find(allowed.begin(), allowed.end(), region) != allowed.end());
}

std::optional<std::set<region_id>> common_regions(const std::vector<region_list>& routes) {
    std::optional<std::set<region_id>> common;
    for (const region_list& allowed : routes) {
        if (allowed.empty()) {
            continue;
        }
        if (!common) {
            common.emplace(allowed.begin(), allowed.end());
            continue;
        }
        std::erase_if(*common,
                      [&allowed](const region_id& region) { return !is_allowed(allowed, region); });
    }
    return common;
}

verdict check(const server_place& server, const region_list& allowed, time_point now) {
    return check_owner(server, allowed, milliseconds{0}, now);
}

verdict check_owner(const server_place& owner, const region_list& allowed,
                    milliseconds max_evacuated_use, time_point now) {
    if (!is_allowed(allowed, owner.region)) {
        return verdict::region_not_allowed;
    }
    if (owner.evacuated_since && now >= *owner.evacuated_since + max_evacuated_use) {
        return verdict::evacuated;
    }
    return now < owner.cold_until ? verdict::cold : verdict::eligible;
}

}  // namespace greengagechute::dispatch
