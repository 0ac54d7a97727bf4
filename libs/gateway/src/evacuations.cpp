#include "gateway/evacuations.h"

#include <algorithm>

namespace greengagechute::gateway {

std::vector<data_centre_id> apply(evacuation_table& table,
                                  const std::vector<evacuation_change>& changes, time_point now) {
    std::vector<data_centre_id> changed;
    for (const evacuation_change& change : changes) {
        const auto [known, added] = table.data_centres.try_emplace(change.data_centre);
        if (!added && change.version <= known->second.version) {
            continue;
        }
        table.version = std::max(table.version, change.version);
        known->second.version = change.version;
        if (known->second.evacuated != change.evacuated) {
            known->second.evacuated = change.evacuated;
            known->second.since = now;
            changed.push_back(change.data_centre);
        }
    }
    return changed;
}

std::vector<data_centre_id> replace(evacuation_table& table,
                                    const std::vector<evacuation_change>& in_force,
                                    store_version version, time_point now) {
    std::vector<evacuation_change> changes = in_force;
    for (const auto& entry : table.data_centres) {
        const bool listed =
            std::any_of(in_force.begin(), in_force.end(),
                        [&entry](const auto& other) { return other.data_centre == entry.first; });
        if (entry.second.evacuated && !listed) {
            changes.push_back({entry.first, false, version});
        }
    }
    return apply(table, changes, now);
}

std::vector<evacuation_change> all_changes(const evacuation_table& table) {
    std::vector<evacuation_change> changes;
    for (const auto& [data_centre, known] : table.data_centres) {
        changes.push_back({data_centre, known.evacuated, known.version});
    }
    return changes;
}

std::optional<time_point> evacuated_since(const evacuation_table& table,
                                          const data_centre_id& data_centre) {
    const auto found = table.data_centres.find(data_centre);
    return found != table.data_centres.end() && found->second.evacuated
               ? std::optional(found->second.since)
               : std::nullopt;
}

time_point cold_until(const evacuation_table& table, const data_centre_id& data_centre,
                      time_point stated, milliseconds warmup) {
    const auto found = table.data_centres.find(data_centre);
    const bool returned = found != table.data_centres.end() && !found->second.evacuated &&
                          found->second.since != time_point{};
    return returned ? std::max(stated, found->second.since + warmup) : stated;
}

}  // namespace greengagechute::gateway
