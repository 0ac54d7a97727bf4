#include "router/routing_view.h"

namespace greengagechute::router {

std::string find_address(const routing_view& view, const host_instance& host) {
    const auto found = view.addresses.find(host);
    return found == view.addresses.end() ? std::string() : found->second;
}

dispatcher_address find_dispatcher(const routing_view& view, const placement::service_map& map,
                                   placement::server_index server) {
    if (server >= map.servers.size()) {
        return {};
    }
    const placement::server_entry& entry = map.servers[server];
    const auto changed = view.overrides.find(entry.server);
    if (changed != view.overrides.end()) {
        return {changed->second.dispatcher, changed->second.address};
    }
    return {entry.dispatcher, find_address(view, entry.dispatcher)};
}

}  // namespace greengagechute::router
