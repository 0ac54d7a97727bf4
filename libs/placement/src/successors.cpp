#include "successors.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <unordered_map>
#include <utility>

namespace greengagechute::placement {

namespace {

struct candidate {
    double relative_count = 0;
    server_index server = no_server;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

using least_used_first = std::priority_queue<candidate, std::vector<candidate>, std::greater<>>;

// A server that is the successor of fewer partitions than this fraction of its expected number
// takes some over from other servers.
constexpr double min_role_fraction = 0.85;

/// Intermediate state of the selection of successors.
struct successor_selection {
    std::span<const std::uint32_t> slots;
    placement_target* target = nullptr;
    /// Index of the data centre of each server, and whether its successors must be outside of it.
    std::vector<std::size_t> zones;
    std::vector<bool> prefers_outside;
    std::vector<std::vector<std::uint32_t>> partitions_of_server;
    /// Number of partitions of which each server is the successor, and the number expected for its
    /// slots.
    std::vector<double> counts;
    std::vector<double> expected;
    /// Largest number of partitions of one owner with the same successor.
    std::vector<std::uint32_t> pair_limits;
    /// Partitions of the owner being processed of which each server is the successor.
    std::vector<std::uint32_t> pair_counts;

    bool fits(server_index owner, server_index successor) const {
        return successor != owner && this->slots[successor] > 0 &&
               !(this->prefers_outside[owner] && this->zones[owner] == this->zones[successor]);
    }

    void assign_successor(std::uint32_t partition, server_index successor) {
        this->target->successors[partition] = successor;
        this->counts[successor] += 1;
        this->pair_counts[successor] += 1;
    }
};

std::vector<std::size_t> index_zones(const std::vector<server_entry>& servers,
                                     std::size_t& zone_count) {
    std::unordered_map<data_centre_id, std::size_t> numbers;
    std::vector<std::size_t> zones;
    zones.reserve(servers.size());
    for (const server_entry& server : servers) {
        zones.push_back(numbers.try_emplace(server.data_centre, numbers.size()).first->second);
    }
    zone_count = numbers.size();
    return zones;
}

// Candidates of an owner are the servers outside its data centre, or all other servers if less than
// a third of those are outside: too few servers would otherwise take the whole load.
void set_candidates(successor_selection& work, std::size_t zone_count) {
    std::vector<std::uint32_t> alive_in_zone(zone_count, 0);
    std::uint32_t alive = 0;
    for (std::size_t server = 0; server < work.slots.size(); ++server) {
        if (work.slots[server] > 0) {
            ++alive;
            ++alive_in_zone[work.zones[server]];
        }
    }
    for (std::size_t server = 0; server < work.slots.size(); ++server) {
        const std::uint32_t others = alive - (work.slots[server] > 0 ? 1 : 0);
        const std::uint32_t outside = alive - alive_in_zone[work.zones[server]];
        work.prefers_outside.push_back(3 * outside >= others && outside > 0);
        const std::uint32_t candidates = work.prefers_outside.back() ? outside : others;
        const auto owned = static_cast<std::uint32_t>(work.partitions_of_server[server].size());
        work.pair_limits.push_back(candidates == 0 ? 0 : (owned + candidates - 1) / candidates);
    }
}

void set_expected_counts(successor_selection& work, std::size_t zone_count) {
    std::vector<double> owned_in_zone(zone_count, 0);
    std::vector<double> slots_in_zone(zone_count, 0);
    std::vector<bool> outside(zone_count, false);
    double all_slots = 0;
    for (std::size_t server = 0; server < work.slots.size(); ++server) {
        const std::size_t zone = work.zones[server];
        owned_in_zone[zone] += static_cast<double>(work.partitions_of_server[server].size());
        slots_in_zone[zone] += work.slots[server];
        outside[zone] = outside[zone] || work.prefers_outside[server];
        all_slots += work.slots[server];
    }
    std::vector<double> per_slot(zone_count, 0);
    for (std::size_t owner_zone = 0; owner_zone < zone_count; ++owner_zone) {
        const double excluded = outside[owner_zone] ? slots_in_zone[owner_zone] : 0;
        for (std::size_t zone = 0; zone < zone_count; ++zone) {
            const bool is_candidate = !outside[owner_zone] || zone != owner_zone;
            if (is_candidate && all_slots > excluded) {
                per_slot[zone] += owned_in_zone[owner_zone] / (all_slots - excluded);
            }
        }
    }
    for (std::size_t server = 0; server < work.slots.size(); ++server) {
        work.expected.push_back(per_slot[work.zones[server]] * work.slots[server]);
    }
}

void reset_pair_counts(successor_selection& work, server_index owner) {
    for (const std::uint32_t partition : work.partitions_of_server[owner]) {
        const server_index successor = work.target->successors[partition];
        if (successor != no_server) {
            work.pair_counts[successor] = 0;
        }
    }
}

// Keeps the successors of the previous map that are still valid for their owner and within its pair
// limit.
void keep_previous(successor_selection& work, const service_map& previous) {
    for (std::size_t index = 0; index < work.slots.size(); ++index) {
        const auto owner = static_cast<server_index>(index);
        for (const std::uint32_t partition : work.partitions_of_server[owner]) {
            const server_index successor = previous.partitions[partition].successor;
            if (successor != no_server && work.fits(owner, successor) &&
                work.pair_counts[successor] < work.pair_limits[owner]) {
                work.assign_successor(partition, successor);
            }
        }
        reset_pair_counts(work, owner);
    }
}

double count_missing_roles(const successor_selection& work) {
    double missing = 0;
    for (std::size_t server = 0; server < work.slots.size(); ++server) {
        if (work.counts[server] < min_role_fraction * work.expected[server]) {
            missing += work.expected[server] - work.counts[server];
        }
    }
    return missing;
}

// Clears successors that are used more than expected, as many as underused servers lack.
void release_surplus(successor_selection& work) {
    double missing = count_missing_roles(work);
    for (std::size_t server = 0; server < work.slots.size(); ++server) {
        // At most one partition of each owner, so that the successors of every owner stay spread.
        for (const std::uint32_t partition : work.partitions_of_server[server]) {
            server_index& successor = work.target->successors[partition];
            if (missing < 1) {
                return;
            }
            if (successor != no_server && work.counts[successor] > work.expected[successor] - 1 &&
                work.counts[successor] > min_role_fraction * work.expected[successor] + 1) {
                work.counts[successor] -= 1;
                successor = no_server;
                missing -= 1;
                break;
            }
        }
    }
}

candidate as_candidate(const successor_selection& work, server_index server) {
    return {work.counts[server] / std::max(work.expected[server], 1e-9), server};
}

void fill_owner(successor_selection& work, server_index owner, least_used_first& candidates) {
    std::vector<std::uint32_t> open;
    for (const std::uint32_t partition : work.partitions_of_server[owner]) {
        const server_index successor = work.target->successors[partition];
        if (successor == no_server) {
            open.push_back(partition);
        } else {
            work.pair_counts[successor] += 1;
        }
    }
    std::vector<server_index> unsuitable;
    for (const std::uint32_t partition : open) {
        while (!candidates.empty()) {
            const server_index server = candidates.top().server;
            candidates.pop();
            if (!work.fits(owner, server) || work.pair_counts[server] >= work.pair_limits[owner]) {
                unsuitable.push_back(server);
                continue;
            }
            work.assign_successor(partition, server);
            candidates.push(as_candidate(work, server));
            break;
        }
    }
    for (const server_index server : unsuitable) {
        candidates.push(as_candidate(work, server));
    }
    reset_pair_counts(work, owner);
}

}  // namespace

void choose_successors(const service_map* previous, std::span<const std::uint32_t> slots,
                       placement_target& target) {
    successor_selection work;
    work.slots = slots;
    work.target = &target;
    target.successors.assign(target.owners.size(), no_server);
    std::size_t zone_count = 0;
    work.zones = index_zones(target.servers, zone_count);
    work.partitions_of_server.resize(slots.size());
    for (std::uint32_t partition = 0; partition < target.owners.size(); ++partition) {
        if (target.owners[partition] != no_server) {
            work.partitions_of_server[target.owners[partition]].push_back(partition);
        }
    }
    work.counts.assign(slots.size(), 0);
    work.pair_counts.assign(slots.size(), 0);
    set_candidates(work, zone_count);
    set_expected_counts(work, zone_count);
    if (previous != nullptr) {
        keep_previous(work, *previous);
        release_surplus(work);
    }
    least_used_first candidates;
    for (std::size_t server = 0; server < slots.size(); ++server) {
        if (slots[server] > 0) {
            candidates.push(as_candidate(work, static_cast<server_index>(server)));
        }
    }
    for (std::size_t server = 0; server < slots.size(); ++server) {
        fill_owner(work, static_cast<server_index>(server), candidates);
    }
}

}  // namespace greengagechute::placement
