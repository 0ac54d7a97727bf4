#include "explorer_world.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace greengagechute::ownership::explorer {

world::world(std::uint64_t seed, bool verbose) : generator(seed), is_verbose(verbose) {
    for (process& entry : this->processes) {
        entry.rate = 1 + (static_cast<double>(this->random(11)) - 5) / 1000;
    }
    for (std::size_t index = 0; index < server_count; ++index) {
        this->servers[index].boot = boot_id(index + 1);
        this->catalogue.push_back({server_id("s" + std::to_string(index)), region_id("r"),
                                   data_centre_id("d" + std::to_string(index % 2)), 1, false});
    }
    for (std::size_t index = 0; index < host_count; ++index) {
        this->start_host(index);
    }
    this->start_planner();
    this->schedule_fault();
}

std::string world::run() {
    while (!this->queue.empty() && this->fault.empty() && this->now < run_end) {
        if (this->now >= this->next_availability_check) {
            // All delayed messages have arrived by then.
            if (this->served_partitions() == partition_count) {
                break;
            }
            this->next_availability_check = this->now + 500 * ms;
        }
        const scheduled next = this->queue.top();
        this->queue.pop();
        this->now = std::max(this->now, next.at);
        process& target = this->processes[next.target];
        if (next.run != 0 && next.run != target.run) {
            continue;
        }
        if (next.run != 0 && target.paused_until > this->now) {
            this->push(target.paused_until + static_cast<real_time>(this->random(3)), next.target,
                       next.run, next.action);
            continue;
        }
        next.action();
        this->check_exclusion();
    }
    if (this->fault.empty()) {
        this->check_availability();
    }
    this->log_states();
    return this->fault;
}

void world::push(real_time at, std::size_t target, std::uint64_t run,
                 std::function<void()> action) {
    this->queue.push(scheduled{at, ++this->sequence, target, run, std::move(action)});
}

void world::after(real_time delay, std::size_t target, std::function<void()> action) {
    this->push(this->now + delay, target, this->processes[target].run, std::move(action));
}

// Sends a message. While faults are enabled it may be lost, duplicated or delayed, and so
// reordered.
void world::send(std::size_t from, std::size_t to, const std::function<void()>& action) {
    const auto cut = this->cut_until.find({std::min(from, to), std::max(from, to)});
    const bool is_cut = cut != this->cut_until.end() && cut->second > this->now;
    const int copies = this->faults_enabled() && this->chance(5) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (is_cut || (this->faults_enabled() && this->chance(5))) {
            continue;
        }
        real_time delay = ms / 2 + static_cast<real_time>(this->random(5 * ms));
        if (this->faults_enabled() && this->chance(5)) {
            delay += static_cast<real_time>(this->random(2500 * ms));
        }
        this->push(this->now + delay, to, this->processes[to].run, action);
    }
}

void world::log(const std::string& text) {
    if (this->is_verbose) {
        this->trace.push_back(std::to_string((this->now - start_time) / ms) + " ms: " + text);
    }
}

time_point world::local(std::size_t id) const {
    return time_point{} + microseconds(static_cast<std::int64_t>(static_cast<double>(this->now) *
                                                                 this->processes[id].rate));
}

server_time world::server_clock(std::size_t index) const {
    return server_time(static_cast<std::int64_t>(static_cast<double>(this->now) / ms *
                                                 this->processes[host_count + index].rate));
}

std::size_t world::server_number(const server_id& server) {
    return static_cast<std::size_t>(server.value().at(1) - '0');
}

std::size_t world::host_number(const host_instance& host) {
    return static_cast<std::size_t>(host.host.value().at(1) - '0');
}

bool world::has_standing(std::size_t id) const {
    return this->local(id) < this->hosts[id].standing_until;
}
void world::ask_server(std::size_t id, const server_id& server,
                       const std::optional<grant>& offered_grant, bool by_standby) {
    const std::size_t index = server_number(server);
    const time_point sent_at = this->local(id);
    this->send(id, host_count + index, [=, this] {
        server_state& state = this->servers[index];
        const epoch before = state.dispatcher_epoch;
        const server_report report =
            offered_grant ? apply_grant(state, *offered_grant, this->server_clock(index))
                          : report_state(state, this->server_clock(index));
        if (state.dispatcher_epoch < before) {
            this->fault = "dispatcher epoch of " + server.value() + " decreased";
        }
        for (const held_partition& held : state.partitions) {
            const auto [owner, inserted] = this->owners.try_emplace(held, index);
            if (owner->second != index) {
                this->fault = "partition " + std::to_string(held.partition.value()) + " epoch " +
                              std::to_string(held.current.value()) + " was granted to two servers";
            }
        }
        this->send(host_count + index, id, [=, this] {
            const server_replied event{report, sent_at};
            by_standby ? this->deliver_standby_event(id, server, event)
                       : this->deliver_event(id, server, event);
        });
    });
}

// Sends work for a random partition. No work may run at a lower epoch than earlier work of the
// partition.
void world::send_work(std::size_t id, const server_id& server, const dispatch_state& state) {
    const auto held =
        sendable(state, partition_id(static_cast<std::uint32_t>(this->random(partition_count))),
                 this->local(id));
    if (!held) {
        return;
    }
    const std::size_t index = server_number(server);
    const epoch dispatcher_epoch = state.dispatcher_epoch;
    this->send(id, host_count + index, [=, this] {
        if (!may_run(this->servers[index], *held, dispatcher_epoch, this->server_clock(index))) {
            return;
        }
        epoch& latest = this->latest_work[held->partition];
        if (held->current < latest) {
            this->fault = "work for partition " + std::to_string(held->partition.value()) +
                          " ran at a superseded epoch";
        }
        latest = held->current;
    });
}
void world::start_planner() {
    planner_settings settings;
    settings.limits.partition_count = partition_count;
    settings.authority_bound = authority_bound;
    settings.move_retry = milliseconds(300);
    settings.stuck_after = milliseconds(600);
    const time_point start = this->local(planner_process);
    this->planner = planner_process_state{};
    this->planner.state = make_planner_state(service_id("svc"), settings, this->table, start);
    this->after(100 * ms, planner_process, [this] { this->tick_planner(); });
}

void world::tick_planner() {
    this->after(100 * ms, planner_process, [this] { this->tick_planner(); });
    const time_point local_now = this->local(planner_process);
    // A host that the map names counts as heard from once, so that its authority ends if it stays
    // silent.
    for (const placement::server_entry& entry : this->planner.state.map.servers) {
        this->planner.heard.try_emplace(entry.dispatcher, local_now);
        this->planner.heard.try_emplace(entry.standby, local_now);
    }
    roster_changed roster;
    for (const auto& item : this->planner.heard) {
        const host_instance& host = item.first;
        const time_point heard = item.second;
        if (host == host_instance{} || this->planner.state.ended.contains(host)) {
            continue;
        }
        if (local_now - heard > authority_bound) {
            this->log("authority of " + host.host.value() + " run " +
                      std::to_string(host.instance.value()) + " has ended");
            this->deliver_planner_event(host_authority_ended{host});
            continue;
        }
        // The roster contains only the latest run of a host.
        const bool is_latest = std::ranges::none_of(this->planner.heard, [&](const auto& other) {
            return other.first.host == host.host && other.first.instance > host.instance;
        });
        if (is_latest) {
            roster.hosts.push_back({host, region_id("r"), data_centre_id("d1"), false});
        }
    }
    this->deliver_planner_event(roster);
    this->deliver_planner_event(servers_changed{this->catalogue});
    this->deliver_planner_event(planner_tick{});
}

void world::receive_acknowledgement(std::size_t id, const map_acknowledged& ack,
                                    time_point sent_at) {
    if (this->planner.state.ended.contains(ack.host)) {
        this->send(planner_process, id, [=, this] {
            if (this->hosts[id].self == ack.host) {
                this->restart_host(id, 10 * ms);
            }
        });
        return;
    }
    this->planner.heard[ack.host] = this->local(planner_process);
    this->deliver_planner_event(ack);
    // The host's right to act is extended from the time at which it sent the message that the
    // coordinator answers.
    const placement::service_map map = this->planner.state.map;
    this->send(planner_process, id, [=, this] {
        host_process& host = this->hosts[id];
        if (host.self != ack.host) {
            return;
        }
        host.standing_until = std::max(host.standing_until, sent_at + standing_length);
        if (map.version > host.map.version) {
            host.map = map;
            this->apply_map(id);
        }
    });
}

void world::deliver_planner_event(const planner_event& event) {
    for (const planner_action& action :
         step(this->planner.state, event, this->local(planner_process))) {
        if (const auto* commit = std::get_if<commit_map>(&action)) {
            this->commit(commit->map);
        } else if (const auto* moves = std::get_if<request_moves>(&action)) {
            const std::size_t to = host_number(moves->dispatcher);
            const server_id server = moves->server;
            const move_requested request{moves->partitions, moves->map};
            this->send(planner_process, to,
                       [=, this] { this->deliver_event(to, server, request); });
        }
    }
}

void world::commit(const placement::service_map& map) {
    const bool is_lost = this->faults_enabled() && this->chance(10);
    const bool is_answer_lost = this->faults_enabled() && this->chance(20);
    this->push(this->now + 5 * ms, planner_process, 0, [=, this] {
        if (!is_lost && map.version == this->table.version.next()) {
            this->table = map;
            this->log("map " + std::to_string(map.version.value()) + describe(map));
        }
    });
    // If the reply is lost, the coordinator reads the row again.
    const real_time delay =
        is_answer_lost ? 10 * ms + static_cast<real_time>(this->random(1000 * ms)) : 6 * ms;
    this->after(delay, planner_process,
                [this] { this->deliver_planner_event(commit_resolved{this->table}); });
}

std::string world::describe(const placement::service_map& map) {
    std::ostringstream text;
    for (const placement::server_entry& entry : map.servers) {
        text << ' ' << entry.server.value() << ':' << entry.dispatcher.host.value() << '.'
             << entry.dispatcher.instance.value() << '/' << entry.standby.host.value() << '.'
             << entry.standby.instance.value() << (entry.standby_confirmed ? "+" : "");
    }
    for (const placement::partition_entry& entry : map.partitions) {
        text << " [" << entry.owner << '@' << entry.current.value() << "->" << entry.successor
             << (entry.frozen ? " frozen]" : "]");
    }
    return text.str();
}
void world::schedule_fault() {
    this->push(this->now + static_cast<real_time>(this->random(900 * ms)), planner_process, 0,
               [this] {
                   if (this->faults_enabled()) {
                       this->inject_fault();
                       this->schedule_fault();
                   }
               });
}

void world::inject_fault() {
    const std::size_t id = this->random(process_count);
    const real_time length =
        static_cast<real_time>(this->random(this->chance(30) ? 5000 : 900)) * ms;
    const std::size_t server = this->random(server_count);
    switch (this->random(6)) {
        case 0:
        case 1:
            this->log("process " + std::to_string(id) + " pauses for " +
                      std::to_string(length / ms) + " ms");
            this->processes[id].paused_until = this->now + length;
            break;
        case 2:
            this->log("server " + std::to_string(server) + " restarts");
            this->processes[host_count + server].run += 1;
            this->servers[server] = server_state{};
            this->servers[server].boot = boot_id(this->generator());
            break;
        case 3:
            this->cut_until[{std::min(id, host_count + server),
                             std::max(id, host_count + server)}] = this->now + length;
            break;
        case 4:
            if (id < host_count) {
                this->restart_host(id, length);
            } else if (id == planner_process) {
                this->log("coordinator restarts");
                this->processes[planner_process].run += 1;
                this->start_planner();
            } else {
                this->cut_until[{server % host_count, id}] = this->now + length;
            }
            break;
        default:
            this->catalogue[server].leaving = !this->catalogue[server].leaving && server != 0;
            break;
    }
}

void world::log_states() {
    for (const server_state& state : this->servers) {
        this->log("a server has epoch " + std::to_string(state.dispatcher_epoch.value()) + " of " +
                  state.holder.host.value() + " and " + std::to_string(state.partitions.size()) +
                  " partitions");
    }
    for (const host_process& host : this->hosts) {
        for (const auto& [server, state] : host.standing_by) {
            this->log(host.self.host.value() + " stands by for " + server.value() + " epoch " +
                      std::to_string(state.known_epoch.value()) + " promised " +
                      std::to_string(state.promised_epoch.value()) + " claim " +
                      std::to_string(state.claim.dispatcher_epoch.value()) + " map " +
                      std::to_string(state.map.version.value()) + " flags " +
                      std::to_string(state.confirmed) + std::to_string(state.has_promised) +
                      std::to_string(state.taking_over) + std::to_string(state.taken_over));
        }
        for (const auto& [server, state] : host.dispatching) {
            this->log(host.self.host.value() + " dispatches " + server.value() + " phase " +
                      std::to_string(static_cast<int>(state.phase)) + " epoch " +
                      std::to_string(state.dispatcher_epoch.value()) + " map " +
                      std::to_string(state.map.version.value()) + " acted " +
                      std::to_string(state.applied_version.value()) + " held " +
                      std::to_string(state.held.size()) + " outgoing " +
                      std::to_string(state.outgoing.size()));
            for (const outgoing_partition& outgoing : state.outgoing) {
                this->log("  outgoing " + std::to_string(outgoing.partition.partition.value()) +
                          "@" + std::to_string(outgoing.partition.current.value()) + " to " +
                          outgoing.successor.value() + " flags " +
                          std::to_string(outgoing.released) +
                          std::to_string(outgoing.acknowledged) + " version " +
                          std::to_string(outgoing.release_version) + " of " +
                          std::to_string(state.set_version));
            }
        }
    }
}
void world::check_exclusion() {
    std::map<partition_id, std::size_t> runners;
    for (std::size_t index = 0; index < server_count; ++index) {
        const server_state& state = this->servers[index];
        for (const held_partition& held : state.partitions) {
            if (!may_run(state, held, state.dispatcher_epoch, this->server_clock(index))) {
                continue;
            }
            const auto [other, inserted] = runners.emplace(held.partition, index);
            if (!inserted) {
                this->fault = "partition " + std::to_string(held.partition.value()) +
                              " can run on servers " + std::to_string(other->second) + " and " +
                              std::to_string(index);
            }
        }
    }
}

std::size_t world::served_partitions() const {
    std::set<partition_id> served;
    for (std::size_t index = 0; index < server_count; ++index) {
        const server_state& state = this->servers[index];
        for (const held_partition& held : state.partitions) {
            if (may_run(state, held, state.dispatcher_epoch, this->server_clock(index))) {
                served.insert(held.partition);
            }
        }
    }
    return served.size();
}

void world::check_availability() {
    if (this->served_partitions() != partition_count) {
        this->fault = "only " + std::to_string(this->served_partitions()) +
                      " partitions are served after the faults ended";
    }
}

}  // namespace greengagechute::ownership::explorer
