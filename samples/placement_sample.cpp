// Uses library placement alone: places the partitions of a service, finds the server of a key, and
// places again after a server has joined.
#include "placement/delta.h"
#include "placement/place.h"
#include "placement/service_map.h"

#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace greengagechute;
using namespace greengagechute::placement;

service_map commit(const service_map& previous, const placement_target& target) {
    service_map map = previous;
    map.version = previous.version.next();
    map.servers = target.servers;
    map.partitions.resize(target.owners.size());
    for (std::size_t number = 0; number < target.owners.size(); ++number) {
        partition_entry& entry = map.partitions[number];
        if (entry.owner != target.owners[number]) {
            entry.owner = target.owners[number];
            entry.current = entry.current.next();
        }
        entry.successor = target.successors[number];
    }
    return map;
}

}  // namespace

int main() {
    std::vector<placement_server> servers;
    servers.reserve(5);
    for (int index = 0; index < 4; ++index) {
        servers.push_back({server_id("server-" + std::to_string(index)), region_id("lothian"),
                           data_centre_id(index % 2 == 0 ? "depot" : "hub"), 3, false});
    }
    const auto first = place(nullptr, servers, placement_limits{});
    if (!first) {
        std::cerr << first.error().message() << '\n';
        return 1;
    }
    service_map empty;
    empty.service = service_id("returns-ledger");
    empty.partition_count = placement_limits{}.partition_count;
    const service_map map = commit(empty, *first);
    const location found = locate(map, "account-17");
    std::cout << "account-17 is in partition " << found.partition.value() << " on "
              << map.servers[found.server].server.value() << " at epoch " << found.current.value()
              << '\n';

    servers.push_back(
        {server_id("server-4"), region_id("lothian"), data_centre_id("hub"), 3, false});
    const auto second = place(&map, servers, placement_limits{});
    if (!second) {
        std::cerr << second.error().message() << '\n';
        return 1;
    }
    const service_map next = commit(map, *second);
    std::cout << "after a join, " << second->moved << " of " << map.partitions.size()
              << " partitions move; the delta has " << encoded_size(difference(map, next))
              << " bytes and the map " << encode(next).size() << '\n';
    return 0;
}
