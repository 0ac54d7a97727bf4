#include "placement/place.h"

#include "placement/errors.h"
#include "successors.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

namespace greengagechute::placement {

namespace {

struct candidate {
    double relative_load = 0;
    server_index server = no_server;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

using least_loaded_first = std::priority_queue<candidate, std::vector<candidate>, std::greater<>>;
using most_loaded_first = std::priority_queue<candidate>;

/// Intermediate state of the placement.
struct assignment {
    std::vector<std::uint32_t> slots;
    std::vector<double> partition_loads;
    std::vector<double> server_loads;
    std::vector<server_index> owners;
    std::vector<std::vector<std::uint32_t>> partitions_of_server;
    std::vector<std::uint32_t> unassigned;
    /// Fair load of one slot.
    double load_per_slot = 0;

    double fair_load(server_index server) const {
        return this->load_per_slot * this->slots[server];
    }

    candidate as_candidate(server_index server) const {
        return {this->server_loads[server] / this->slots[server], server};
    }

    void assign(std::uint32_t partition, server_index server) {
        this->owners[partition] = server;
        this->server_loads[server] += this->partition_loads[partition];
        this->partitions_of_server[server].push_back(partition);
    }
};

bool are_servers_valid(std::span<const placement_server> servers) {
    std::vector<std::string_view> names;
    for (const placement_server& server : servers) {
        if (server.slots == 0 || server.server.value().empty()) {
            return false;
        }
        names.emplace_back(server.server.value());
    }
    std::ranges::sort(names);
    return std::ranges::adjacent_find(names) == names.end();
}

bool are_loads_valid(std::span<const double> loads, std::size_t partitions) {
    if (!loads.empty() && loads.size() != partitions) {
        return false;
    }
    return std::ranges::all_of(loads, [](double load) { return std::isfinite(load) && load >= 0; });
}

// Merges the servers of the previous map with those of the catalogue and sets the slots of each
// index. Unused indices of the previous map are reused for new servers.
std::vector<server_entry> merge_servers(const service_map* previous,
                                        std::span<const placement_server> servers,
                                        std::vector<std::uint32_t>& slots) {
    std::vector<server_entry> merged;
    std::unordered_map<server_id, std::size_t> positions;
    if (previous != nullptr) {
        merged = previous->servers;
    }
    std::vector<std::size_t> vacant;
    for (std::size_t index = merged.size(); index-- > 0;) {
        merged[index].leaving = true;
        if (merged[index].server.value().empty()) {
            vacant.push_back(index);
        } else {
            positions.emplace(merged[index].server, index);
        }
    }
    slots.assign(merged.size(), 0);
    for (const placement_server& server : servers) {
        const std::size_t next = vacant.empty() ? merged.size() : vacant.back();
        const auto [position, inserted] = positions.try_emplace(server.server, next);
        if (inserted && !vacant.empty()) {
            vacant.pop_back();
        } else if (inserted) {
            merged.emplace_back();
            slots.push_back(0);
        }
        server_entry& entry = merged[position->second];
        entry.server = server.server;
        entry.region = server.region;
        entry.data_centre = server.data_centre;
        entry.leaving = server.leaving;
        slots[position->second] = server.leaving ? 0 : server.slots;
    }
    return merged;
}

bool is_partition_used(const service_map* previous, std::size_t partition) {
    return previous == nullptr || partition < previous->partition_count ||
           previous->partitions[partition].owner != no_server;
}

assignment start_assignment(const service_map* previous, std::size_t partitions,
                            std::vector<std::uint32_t> slots, std::span<const double> loads) {
    assignment work;
    work.slots = std::move(slots);
    work.owners.assign(partitions, no_server);
    work.server_loads.assign(work.slots.size(), 0);
    work.partitions_of_server.resize(work.slots.size());
    work.partition_loads.assign(partitions, 1);
    // Without a minimum load, all idle partitions would be assigned to the same server.
    const double total_load = std::reduce(loads.begin(), loads.end(), 0.0);
    const double least_load =
        total_load > 0 ? 0.01 * total_load / static_cast<double>(partitions) : 1;
    double total = 0;
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
        if (!is_partition_used(previous, partition)) {
            continue;
        }
        if (!loads.empty()) {
            work.partition_loads[partition] = std::max(loads[partition], least_load);
        }
        total += work.partition_loads[partition];
        const server_index owner =
            previous == nullptr ? no_server : previous->partitions[partition].owner;
        if (owner != no_server && work.slots[owner] > 0) {
            work.assign(partition, owner);
        } else {
            work.unassigned.push_back(partition);
        }
    }
    const auto slot_sum = std::reduce(work.slots.begin(), work.slots.end(), std::uint64_t{0});
    work.load_per_slot = total / static_cast<double>(slot_sum);
    return work;
}

// Position, in the list of a server, of its heaviest partition that is not heavier than `largest`;
// the size of the list if there is none.
std::size_t heaviest_up_to(const assignment& work, server_index server, double largest) {
    const std::vector<std::uint32_t>& partitions = work.partitions_of_server[server];
    std::size_t best = partitions.size();
    for (std::size_t position = 0; position < partitions.size(); ++position) {
        const double load = work.partition_loads[partitions[position]];
        const bool is_better =
            best == partitions.size() || load > work.partition_loads[partitions[best]];
        if (load <= largest && is_better) {
            best = position;
        }
    }
    return best;
}

std::uint32_t remove_partition(assignment& work, server_index server, std::size_t position) {
    std::vector<std::uint32_t>& partitions = work.partitions_of_server[server];
    const std::uint32_t partition = partitions[position];
    partitions.erase(partitions.begin() + static_cast<std::ptrdiff_t>(position));
    work.server_loads[server] -= work.partition_loads[partition];
    work.owners[partition] = no_server;
    return partition;
}

// Removes partitions from servers above the upper bound. A partition that is heavier than the
// excess over the fair share stays, since it would only move the overload to another server.
void shed_overload(assignment& work, double upper_bound) {
    for (std::size_t index = 0; index < work.slots.size(); ++index) {
        const auto server = static_cast<server_index>(index);
        const double fair = work.fair_load(server);
        while (work.slots[server] > 0 && work.server_loads[server] > upper_bound * fair) {
            const double excess = work.server_loads[server] - fair;
            const std::size_t position = heaviest_up_to(work, server, excess);
            if (position == work.partitions_of_server[server].size()) {
                break;
            }
            work.unassigned.push_back(remove_partition(work, server, position));
        }
    }
}

void assign_to_least_loaded(assignment& work) {
    least_loaded_first servers;
    for (std::size_t index = 0; index < work.slots.size(); ++index) {
        if (work.slots[index] > 0) {
            servers.push(work.as_candidate(static_cast<server_index>(index)));
        }
    }
    // Heaviest first, so that the light partitions even out the remaining differences.
    std::ranges::stable_sort(
        work.unassigned, std::ranges::greater{},
        [&work](std::uint32_t partition) { return work.partition_loads[partition]; });
    for (const std::uint32_t partition : work.unassigned) {
        const server_index server = servers.top().server;
        servers.pop();
        work.assign(partition, server);
        servers.push(work.as_candidate(server));
    }
    work.unassigned.clear();
}

void fill_server(assignment& work, server_index receiver, most_loaded_first& donors) {
    const double rounding = 1e-9 * work.load_per_slot;
    std::vector<server_index> skipped;
    while (!donors.empty()) {
        const candidate donor = donors.top();
        if (donor.relative_load <= work.as_candidate(receiver).relative_load) {
            break;
        }
        donors.pop();
        const double deficit = work.fair_load(receiver) - work.server_loads[receiver];
        const std::size_t position = heaviest_up_to(work, donor.server, deficit + rounding);
        if (position == work.partitions_of_server[donor.server].size()) {
            skipped.push_back(donor.server);
            continue;
        }
        work.assign(remove_partition(work, donor.server, position), receiver);
        donors.push(work.as_candidate(donor.server));
    }
    for (const server_index server : skipped) {
        donors.push(work.as_candidate(server));
    }
}

void fill_underloaded(assignment& work, double lower_bound) {
    std::vector<server_index> receivers;
    most_loaded_first donors;
    for (std::size_t index = 0; index < work.slots.size(); ++index) {
        const auto server = static_cast<server_index>(index);
        if (work.slots[server] == 0) {
            continue;
        }
        if (work.server_loads[server] < lower_bound * work.fair_load(server)) {
            receivers.push_back(server);
        } else {
            donors.push(work.as_candidate(server));
        }
    }
    for (const server_index receiver : receivers) {
        fill_server(work, receiver, donors);
    }
}

std::size_t count_moved(const service_map* previous, const std::vector<server_index>& owners) {
    if (previous == nullptr) {
        return owners.size();
    }
    std::size_t moved = 0;
    for (std::size_t partition = 0; partition < owners.size(); ++partition) {
        moved += previous->partitions[partition].owner != owners[partition] ? 1U : 0U;
    }
    return moved;
}

}  // namespace

result<placement_target> place(const service_map* previous,
                               std::span<const placement_server> servers,
                               const placement_limits& limits, std::span<const double> loads) {
    const std::uint32_t count =
        previous == nullptr ? limits.partition_count : previous->partition_count;
    if (!is_valid_partition_count(count)) {
        return make_error_code(placement_errc::invalid_partition_count);
    }
    const std::size_t partitions = previous == nullptr ? count : previous->partitions.size();
    if (!are_servers_valid(servers)) {
        return make_error_code(placement_errc::invalid_servers);
    }
    if (!are_loads_valid(loads, partitions)) {
        return make_error_code(placement_errc::invalid_loads);
    }
    placement_target target;
    std::vector<std::uint32_t> slots;
    target.servers = merge_servers(previous, servers, slots);
    if (target.servers.size() > max_servers) {
        return make_error_code(placement_errc::too_many_servers);
    }
    if (std::ranges::all_of(slots, [](std::uint32_t value) { return value == 0; })) {
        return make_error_code(placement_errc::no_server_available);
    }
    assignment work = start_assignment(previous, partitions, slots, loads);
    shed_overload(work, limits.upper_bound);
    assign_to_least_loaded(work);
    fill_underloaded(work, limits.lower_bound);
    target.owners = std::move(work.owners);
    target.moved = count_moved(previous, target.owners);
    choose_successors(previous, slots, target);
    return target;
}

double imbalance(std::span<const server_index> owners, std::span<const std::uint32_t> slots,
                 std::span<const double> loads) {
    std::vector<double> server_loads(slots.size(), 0);
    double total = 0;
    for (std::size_t partition = 0; partition < owners.size(); ++partition) {
        if (owners[partition] == no_server) {
            continue;
        }
        const double load = loads.empty() ? 1 : loads[partition];
        server_loads[owners[partition]] += load;
        total += load;
    }
    const auto slot_sum = std::reduce(slots.begin(), slots.end(), std::uint64_t{0});
    double largest = 0;
    for (std::size_t server = 0; server < slots.size(); ++server) {
        if (slots[server] > 0 && total > 0) {
            const double fair = total * slots[server] / static_cast<double>(slot_sum);
            largest = std::max(largest, server_loads[server] / fair);
        }
    }
    return largest;
}

}  // namespace greengagechute::placement
