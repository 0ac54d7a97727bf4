#include "membership/relay.h"

#include <algorithm>

namespace greengagechute::membership {

namespace {

/// The hosts in the order of their tree positions: the root, then the others by host id. Node `i`
/// has the children `i * relay_fan_out + 1` and following.
std::vector<host_instance> tree_order(const roster& members, const host_instance& coordinator) {
    std::vector<host_instance> order;
    order.reserve(members.hosts.size() + 1);
    order.push_back(coordinator);
    for (const roster_host& host : members.hosts) {
        if (host.instance != coordinator) {
            order.push_back(host.instance);
        }
    }
    return order;
}

std::optional<std::size_t> index_of(const std::vector<host_instance>& order,
                                    const host_instance& self) {
    const auto found = std::find(order.begin(), order.end(), self);
    if (found == order.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - order.begin());
}

}  // namespace

std::optional<host_instance> parent_of(const roster& members, const host_instance& coordinator,
                                       const host_instance& self) {
    const std::vector<host_instance> order = tree_order(members, coordinator);
    const std::optional<std::size_t> index = index_of(order, self);
    if (!index || *index == 0) {
        return std::nullopt;
    }
    return order[(*index - 1) / relay_fan_out];
}

std::vector<host_instance> children_of(const roster& members, const host_instance& coordinator,
                                       const host_instance& self) {
    const std::vector<host_instance> order = tree_order(members, coordinator);
    const std::optional<std::size_t> index = index_of(order, self);
    if (!index) {
        return {};
    }
    const std::size_t first = std::min(*index * relay_fan_out + 1, order.size());
    const std::size_t last = std::min(first + relay_fan_out, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(first),
            order.begin() + static_cast<std::ptrdiff_t>(last)};
}

std::size_t levels_below(const roster& members, const host_instance& coordinator,
                         const host_instance& self) {
    const std::vector<host_instance> order = tree_order(members, coordinator);
    const std::optional<std::size_t> index = index_of(order, self);
    if (!index) {
        return 0;
    }
    std::size_t levels = 0;
    for (std::size_t child = *index * relay_fan_out + 1; child < order.size();
         child = child * relay_fan_out + 1) {
        ++levels;
    }
    return levels;
}

ack_collection start_collection(term_number term, std::uint64_t sequence, const host_report& own,
                                const std::vector<host_instance>& children, time_point now,
                                std::size_t levels) {
    ack_collection collection;
    collection.term = term;
    collection.sequence = sequence;
    collection.started = now;
    collection.awaited.insert(children.begin(), children.end());
    collection.reports.push_back(own);
    collection.wait = ack_wait_per_level * static_cast<int>(levels);
    return collection;
}

bool add_acknowledgement(ack_collection& collection, const host_instance& child, term_number term,
                         std::uint64_t sequence, const std::vector<host_report>& reports) {
    if (term != collection.term || sequence != collection.sequence) {
        return false;
    }
    if (collection.awaited.erase(child) == 0) {
        return false;
    }
    collection.reports.insert(collection.reports.end(), reports.begin(), reports.end());
    return true;
}

bool take_if_ready(ack_collection& collection, time_point now) {
    if (collection.passed_on) {
        return false;
    }
    const bool waited = now - collection.started >= collection.wait;
    collection.passed_on = collection.awaited.empty() || waited;
    return collection.passed_on;
}

}  // namespace greengagechute::membership
