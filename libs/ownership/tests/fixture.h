#pragma once

#include "ownership/dispatch.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengagechute::ownership::test {

inline const host_instance dispatcher_host{host_id("host-d"), incarnation(1)};
inline const host_instance standby_host{host_id("host-s"), incarnation(2)};
inline const host_instance other_host{host_id("host-o"), incarnation(3)};
inline const server_id first_server{"server-0"};
inline const server_id second_server{"server-1"};

/// Two servers with two partitions each: partitions 0 and 1 on the first one, 2 and 3 on the
/// second.
inline placement::service_map make_map() {
    placement::service_map map;
    map.service = service_id("plan-desk");
    map.version = map_version(1);
    map.partition_count = 4;
    for (const server_id& server : {first_server, second_server}) {
        placement::server_entry entry;
        entry.server = server;
        entry.dispatcher = server == first_server ? dispatcher_host : other_host;
        entry.standby = standby_host;
        entry.standby_confirmed = true;
        map.servers.push_back(entry);
    }
    for (std::uint32_t partition = 0; partition < 4; ++partition) {
        const auto owner = static_cast<placement::server_index>(partition / 2);
        map.partitions.push_back(placement::partition_entry{
            owner, static_cast<placement::server_index>(1 - owner), epoch(1)});
    }
    return map;
}

inline time_point at(int time) {
    return time_point{} + milliseconds(1'000'000 + time);
}

/// Returns the first action of a type.
template <typename wanted, typename action>
std::optional<wanted> find(const std::vector<action>& actions) {
    for (const action& candidate : actions) {
        if (const auto* found = std::get_if<wanted>(&candidate)) {
            return *found;
        }
    }
    return std::nullopt;
}

/// A server, its dispatcher and its standby's replies, with one clock in milliseconds.
struct dispatcher_fixture {
    server_state server;
    dispatch_state state = make_dispatch_state(first_server, dispatcher_host, {}, make_map());
    int now = 0;

    dispatcher_fixture() { this->server.boot = boot_id(77); }

    std::vector<dispatch_action> apply_event(const dispatch_event& event) {
        return step(this->state, event, true, at(this->now));
    }

    /// Delivers the grants, status requests and consent requests among the actions without delay,
    /// and gives the replies to the dispatcher. Returns all actions, including those that follow.
    std::vector<dispatch_action> deliver(const std::vector<dispatch_action>& actions) {
        std::vector<dispatch_action> all = actions;
        const server_time clock(this->now);
        for (const dispatch_action& action : actions) {
            std::optional<server_report> report;
            if (const auto* sent = std::get_if<send_grant>(&action)) {
                report = apply_grant(this->server, sent->offered_grant, clock);
            } else if (std::holds_alternative<send_status_request>(action)) {
                report = report_state(this->server, clock);
            }
            if (report) {
                const auto next =
                    this->deliver(this->apply_event(server_replied{*report, at(this->now)}));
                all.insert(all.end(), next.begin(), next.end());
            } else if (const auto* asked = std::get_if<send_consent_request>(&action)) {
                const auto next = this->deliver(this->apply_event(consent_replied{
                    asked->dispatcher_epoch, this->consents, asked->standby, asked->map}));
                all.insert(all.end(), next.begin(), next.end());
            }
        }
        return all;
    }

    /// Gives ticks every 50 ms for `duration` ms. The server and the standby reply if `reachable`.
    std::vector<dispatch_action> run(int duration, bool reachable = true) {
        std::vector<dispatch_action> all;
        for (const int end = this->now + duration; this->now < end; this->now += 50) {
            auto actions = this->apply_event(tick{});
            if (reachable) {
                actions = this->deliver(actions);
            }
            all.insert(all.end(), actions.begin(), actions.end());
        }
        return all;
    }

    /// Whether the standby grants consent.
    bool consents = true;
};

}  // namespace greengagechute::ownership::test
