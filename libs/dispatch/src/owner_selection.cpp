#include "dispatch/owner_selection.h"

#include <algorithm>
#include <cstddef>

namespace greengagechute::dispatch {

namespace {

/// Part of the weight that warm servers must have for cold ones to own no keys.
constexpr double min_warm_part = 0.5;

}  // namespace

std::vector<bool> select_owners(const std::vector<owner_facts>& servers,
                                const std::optional<std::set<region_id>>& common) {
    const auto stays = [](const owner_facts& server) {
        return !server.leaving && !server.evacuated;
    };
    const auto in_common = [&common](const owner_facts& server) {
        return !common || common->contains(server.region);
    };
    const bool common_served =
        std::any_of(servers.begin(), servers.end(),
                    [&](const owner_facts& server) { return stays(server) && in_common(server); });
    std::vector<bool> selected(servers.size(), false);
    double warm = 0;
    double total = 0;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const owner_facts& server = servers[index];
        selected[index] = stays(server) && (!common_served || in_common(server));
        if (selected[index]) {
            total += server.weight;
            warm += server.cold ? 0 : server.weight;
        }
    }
    if (total > 0 && warm >= min_warm_part * total) {
        for (std::size_t index = 0; index < servers.size(); ++index) {
            selected[index] = selected[index] && !servers[index].cold;
        }
    }
    return selected;
}

}  // namespace greengagechute::dispatch
