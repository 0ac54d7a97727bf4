#include "explorer_world.h"

#include <algorithm>

namespace greengagechute::ownership::explorer {

void world::start_host(std::size_t id) {
    process& self = this->processes[id];
    this->hosts[id] = host_process{};
    this->hosts[id].self = {host_id("h" + std::to_string(id)), incarnation(self.run)};
    this->after(static_cast<real_time>(this->random(50 * ms)), id,
                [this, id] { this->tick_host(id); });
}

void world::restart_host(std::size_t id, real_time delay) {
    this->log("host " + std::to_string(id) + " restarts");
    this->processes[id].run += 1;
    this->hosts[id] = host_process{};
    this->after(delay, id, [this, id] { this->start_host(id); });
}

void world::tick_host(std::size_t id) {
    this->after(tick_period, id, [this, id] { this->tick_host(id); });
    this->apply_map(id);
    host_process& host = this->hosts[id];
    for (auto& [server, state] : host.dispatching) {
        this->execute(id, server, step(state, tick{}, this->has_standing(id), this->local(id)));
        this->send_work(id, server, state);
    }
    std::vector<server_id> watched;
    for (const auto& [server, state] : host.standing_by) {
        watched.push_back(server);
    }
    for (const server_id& server : watched) {
        this->deliver_standby_event(id, server, tick{});
    }
    this->acknowledge_map(id);
}

void world::apply_map(std::size_t id) {
    host_process& host = this->hosts[id];
    for (const placement::server_entry& entry : host.map.servers) {
        const server_id& server = entry.server;
        if (entry.dispatcher == host.self && !host.dispatching.contains(server)) {
            host.dispatching[server] = make_dispatch_state(server, host.self, times(), host.map);
        }
        const auto old = host.standing_by.find(server);
        const auto dispatched = host.dispatching.find(server);
        const bool is_over = old != host.standing_by.end() && old->second.taken_over &&
                             dispatched != host.dispatching.end() &&
                             dispatched->second.phase == dispatch_phase::ended;
        if (entry.standby == host.self && (old == host.standing_by.end() || is_over)) {
            standby_state next =
                make_standby_state(server, host.self, times(), host.map, this->local(id));
            if (is_over) {
                carry_over_promises(next, old->second);
            }
            host.standing_by[server] = next;
        }
    }
    for (auto& [server, state] : host.dispatching) {
        if (state.map.version < host.map.version) {
            this->execute(
                id, server,
                step(state, map_changed{host.map}, this->has_standing(id), this->local(id)));
        }
    }
    for (auto& [server, state] : host.standing_by) {
        if (state.map.version < host.map.version) {
            step(state, map_changed{host.map}, this->has_standing(id), this->local(id));
        }
    }
}

void world::acknowledge_map(std::size_t id) {
    host_process& host = this->hosts[id];
    map_acknowledged ack{host.self, host.map.version, {}, {}};
    for (const auto& [server, state] : host.dispatching) {
        if (!has_applied(state, host.map.version)) {
            ack.lagging.push_back(server);
        }
        if (state.took_over && state.phase != dispatch_phase::ended) {
            const dispatcher_announced announcement{server, host.self, state.map.version};
            this->send(id, planner_process,
                       [this, announcement] { this->deliver_planner_event(announcement); });
        }
    }
    for (const auto& [server, state] : host.standing_by) {
        if (!has_applied(state, host.map.version)) {
            ack.lagging.push_back(server);
        }
        if (active_promise(state)) {
            ack.consents.emplace_back(server, *active_promise(state));
        }
    }
    const time_point sent_at = this->local(id);
    this->send(id, planner_process,
               [this, id, ack, sent_at] { this->receive_acknowledgement(id, ack, sent_at); });
}

timing world::times() {
    timing values;
    values.report_period = milliseconds(300);
    values.vacancy_timeout = milliseconds(600);
    return values;
}

void world::deliver_event(std::size_t id, const server_id& server, const dispatch_event& event) {
    const auto found = this->hosts[id].dispatching.find(server);
    if (found != this->hosts[id].dispatching.end()) {
        this->execute(id, server,
                      step(found->second, event, this->has_standing(id), this->local(id)));
    }
}

void world::deliver_standby_event(std::size_t id, const server_id& server,
                                  const standby_event& event) {
    const auto found = this->hosts[id].standing_by.find(server);
    if (found == this->hosts[id].standing_by.end()) {
        return;
    }
    for (const standby_action& action :
         step(found->second, event, this->has_standing(id), this->local(id))) {
        if (const auto* sent = std::get_if<send_grant>(&action)) {
            this->ask_server(id, server, sent->offered_grant, true);
        } else if (std::holds_alternative<send_status_request>(action)) {
            this->ask_server(id, server, std::nullopt, true);
        } else if (const auto* watch = std::get_if<send_watch>(&action)) {
            this->watch(id, server, watch->dispatcher);
        } else if (const auto* reply = std::get_if<reply_consent>(&action)) {
            const consent_replied event_back{reply->dispatcher_epoch, reply->granted,
                                             this->hosts[id].self, reply->map};
            const std::size_t to = host_number(reply->dispatcher);
            this->send(id, to, [=, this] { this->deliver_event(to, server, event_back); });
        } else if (const auto* became = std::get_if<became_dispatcher>(&action)) {
            this->log("host " + std::to_string(id) + " takes over " + server.value());
            this->hosts[id].dispatching[server] = became->state;
        }
    }
}

void world::watch(std::size_t id, const server_id& server, const host_instance& dispatcher) {
    const std::size_t to = host_number(dispatcher);
    this->send(id, to, [=, this] {
        const auto found = this->hosts[to].dispatching.find(server);
        if (this->hosts[to].self != dispatcher || found == this->hosts[to].dispatching.end() ||
            !answers_watch(found->second, this->has_standing(to))) {
            return;
        }
        const watch_answered answer{found->second.dispatcher_epoch};
        this->send(to, id, [=, this] { this->deliver_standby_event(id, server, answer); });
    });
}

void world::execute(std::size_t id, const server_id& server,
                    const std::vector<dispatch_action>& actions) {
    for (const dispatch_action& action : actions) {
        if (const auto* sent = std::get_if<send_grant>(&action)) {
            this->ask_server(id, server, sent->offered_grant, false);
        } else if (std::holds_alternative<send_status_request>(action)) {
            this->ask_server(id, server, std::nullopt, false);
        } else if (const auto* asked = std::get_if<send_consent_request>(&action)) {
            const std::size_t to = host_number(asked->standby);
            const consent_requested event{this->hosts[id].self, asked->dispatcher_epoch,
                                          this->chance(5), asked->map};
            this->send(id, to, [=, this] { this->deliver_standby_event(to, server, event); });
        } else if (const auto* stopped = std::get_if<stop_partition>(&action)) {
            const partition_idle event{stopped->partition};
            this->after(static_cast<real_time>(this->random(300 * ms)), id,
                        [=, this] { this->deliver_event(id, server, event); });
        } else if (const auto* hand_over = std::get_if<send_hand_over>(&action)) {
            this->deliver_hand_over(id, server, *hand_over);
        } else if (const auto* owner = std::get_if<report_owner>(&action)) {
            const owner_reported event{owner->owner, owner->partition};
            this->send(id, planner_process, [=, this] { this->deliver_planner_event(event); });
        } else if (std::holds_alternative<server_lost>(action)) {
            this->log("host " + std::to_string(id) + " reports the failure of " + server.value());
        }
    }
}

void world::deliver_hand_over(std::size_t id, const server_id& server,
                              const send_hand_over& hand_over) {
    if (hand_over.dispatcher == host_instance{}) {
        return;
    }
    this->log("host " + std::to_string(id) + " hands over partition " +
              std::to_string(hand_over.partition.partition.value()) + " epoch " +
              std::to_string(hand_over.partition.current.value()) + " from " + server.value() +
              " to " + hand_over.successor.value());
    const std::size_t to = host_number(hand_over.dispatcher);
    this->send(id, to, [=, this] {
        const auto found = this->hosts[to].dispatching.find(hand_over.successor);
        if (found == this->hosts[to].dispatching.end()) {
            return;
        }
        const auto actions = step(found->second, partition_received{hand_over.partition, server},
                                  this->has_standing(to), this->local(to));
        const bool is_taken = std::ranges::any_of(actions, [](const dispatch_action& action) {
            return std::holds_alternative<acknowledge_hand_over>(action);
        });
        this->execute(to, hand_over.successor, actions);
        if (is_taken) {
            this->send(to, id, [=, this] {
                this->deliver_event(id, server, hand_over_acknowledged{hand_over.partition});
            });
        }
    });
}

}  // namespace greengagechute::ownership::explorer
