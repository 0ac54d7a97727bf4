// Uses library ownership alone: a dispatcher grants partitions to a server and renews the grant;
// the server then stops answering, and its partitions pass to the successor.
#include "ownership/dispatch.h"

#include <iostream>

namespace {

using namespace greengagechute;
using namespace greengagechute::ownership;

const host_instance self{host_id("host-1"), incarnation(1)};

placement::service_map make_map() {
    placement::service_map map;
    map.service = service_id("plan-desk");
    map.version = map_version(1);
    map.partition_count = 2;
    map.servers.resize(2);
    map.servers[0].server = server_id("server-0");
    map.servers[1].server = server_id("server-1");
    for (placement::server_entry& server : map.servers) {
        server.dispatcher = self;
        server.standby_confirmed = true;  // There is no standby, so that no consent is needed.
    }
    map.partitions = {{0, 1, epoch(1)}, {0, 1, epoch(1)}};
    return map;
}

time_point at(int now) {
    return time_point{} + milliseconds(100'000 + now);
}

/// Carries out actions; the server answers at once until it is lost.
void carry_out(dispatch_state& state, server_state& server,
               const std::vector<dispatch_action>& actions, int now) {
    const bool is_server_alive = now < 1000;
    for (const dispatch_action& action : actions) {
        std::optional<server_report> report;
        if (const auto* passed = std::get_if<send_hand_over>(&action)) {
            std::cout << now << " ms: partition " << passed->partition.partition.value()
                      << " passes to " << passed->successor.value() << " with epoch "
                      << passed->partition.current.value() << '\n';
        } else if (const auto* sent = std::get_if<send_grant>(&action)) {
            report = apply_grant(server, sent->offered_grant, server_time(now));
        } else if (std::holds_alternative<send_status_request>(action)) {
            report = report_state(server, server_time(now));
        }
        if (report && is_server_alive) {
            const server_replied event{*report, at(now)};
            carry_out(state, server, step(state, event, true, at(now)), now);
        }
    }
}

}  // namespace

int main() {
    server_state server;
    server.boot = boot_id(1);
    dispatch_state state = make_dispatch_state(server_id("server-0"), self, timing{}, make_map());
    bool was_sendable = false;
    for (int now = 0; now < 2000; now += 50) {
        carry_out(state, server, step(state, tick{}, true, at(now)), now);
        const bool is_sendable = sendable(state, partition_id(0), at(now)).has_value();
        if (is_sendable != was_sendable) {
            std::cout << now << " ms: work for partition 0 "
                      << (is_sendable ? "may be sent" : "may not be sent") << '\n';
            was_sendable = is_sendable;
        }
    }
    return 0;
}
