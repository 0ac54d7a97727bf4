// The coordinator's decisions about maps: inputs, commits and their propagation.

#include "control_state.h"
#include "router/control_task.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace greengagechute::router {

namespace {

std::string map_row(const service_id& service) {
    return "map/" + service.value();
}

}  // namespace

void control_task::update_planner_inputs() {
    if (!this->role || !this->role->maps_read || !this->role->head_known ||
        !this->role->view.row_known) {
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    const release::catalogue& catalogue = this->activation.active;
    ownership::roster_changed hosts;
    for (const membership::roster_host& host : this->standing.members.hosts) {
        hosts.hosts.push_back({host.instance, host.region, host.data_centre, host.draining});
    }
    for (const auto& [service, definition] : catalogue.services) {
        if (!this->role->planners.contains(service)) {
            ownership::planner_settings limits_of_service;
            limits_of_service.divided = definition.divided;
            limits_of_service.authority_bound = this->settings.view.authority_end;
            if (definition.divided) {
                limits_of_service.limits.partition_count = definition.partitions;
            }
            placement::service_map map;
            map.service = service;
            const auto known = this->maps.find(service);
            if (known != this->maps.end()) {
                map = *known->second;
            }
            this->role->planners.emplace(
                service, ownership::make_planner_state(service, limits_of_service, map, now));
            for (const host_instance& ended : this->role->ended_authorities) {
                this->advance_planner(service, ownership::host_authority_ended{ended});
            }
        }
        ownership::servers_changed servers;
        for (const auto& [name, server] : catalogue.servers) {
            if (server.service == service) {
                servers.servers.push_back({name, server.region, server.data_centre,
                                           std::max<std::uint32_t>(1, server.slots), server.drain});
            }
        }
        this->advance_planner(service, servers);
        this->advance_planner(service, hosts);
    }
}

void control_task::advance_planner(const service_id& service,
                                   const ownership::planner_event& event) {
    if (!this->role) {
        return;
    }
    const auto planner = this->role->planners.find(service);
    if (planner == this->role->planners.end()) {
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    for (const ownership::planner_action& action : ownership::step(planner->second, event, now)) {
        this->act(service, action);
    }
}

// Ends the authority of hosts that only a map still names, so that the planner replaces them.
void control_task::check_named_hosts(time_point now) {
    if (!membership::may_decide(this->role->view, now)) {
        return;
    }
    std::set<host_instance> named;
    for (const auto& [service, planner] : this->role->planners) {
        map_version& checked = this->role->checked_maps[service];
        if (checked == planner.map.version) {
            continue;
        }
        checked = planner.map.version;
        for (const placement::server_entry& server : planner.map.servers) {
            named.insert({server.dispatcher, server.standby});
        }
    }
    named.erase(host_instance{});
    for (const membership::roster_host& host : this->role->view.members.hosts) {
        named.erase(host.instance);
    }
    if (!named.empty()) {
        this->advance_view(membership::instances_named{{named.begin(), named.end()}});
    }
}

void control_task::act(const service_id& service, const ownership::planner_action& action) {
    if (const auto* change = std::get_if<ownership::commit_map>(&action)) {
        this->commit_map(service, change->map);
        return;
    }
    const auto& request = std::get<ownership::request_moves>(action);
    this->send_to(request.dispatcher,
                  peer::move_request{service, request.server, request.map, request.partitions});
}

void control_task::commit_map(const service_id& service, const placement::service_map& map) {
    const term_number number = this->role->view.term;
    const auto in_term = [this, number] { return this->role && this->role->view.term == number; };
    if (!this->role->guard) {
        // No write is possible while the term is being renewed.
        this->retry_map_commit(service, map);
        return;
    }
    const std::string body = placement::encode(map);
    const std::string object = "maps/" + service.value() + "/" +
                               std::to_string(map.version.value()) + "-" +
                               std::to_string(this->generator());
    this->store.put_object(
        object, body, [this, service, map, object, in_term](const result<std::monostate>& stored) {
            if (!in_term()) {
                return;
            }
            if (!stored || !this->role->guard) {
                this->retry_map_commit(service, map);
                return;
            }
            platform::transaction change;
            change.id = "map-" + std::to_string(this->generator());
            const std::string row = map_row(service);
            change.conditions = {{row, this->role->map_rows[row]}, {"term", *this->role->guard}};
            const nlohmann::json record{{"version", map.version.value()}, {"object", object}};
            change.writes = {{row, record.dump()}};
            ++this->counters.store_commits;
            this->advance_term(membership::guarded_write_started{});
            const auto done = [this, service, map, row,
                               in_term](const result<platform::commit_result>& answer) {
                this->advance_term(membership::guarded_write_finished{});
                if (!in_term()) {
                    return;
                }
                if (!answer || answer->state != platform::commit_state::committed) {
                    this->resolve_map(service);
                    return;
                }
                this->role->map_rows[row] = answer->versions.front();
                this->role->announce = true;
                this->adopt_map(map);
                this->advance_planner(service, ownership::commit_resolved{map});
            };
            std::erase_if(this->role->map_commits,
                          [](const auto& attempt) { return attempt->finished(); });
            this->role->map_commits.push_back(platform::commit_once(
                this->store,
                [this](milliseconds delay, std::function<void()> work) {
                    this->loop.call_after(delay, std::move(work));
                },
                {}, change, done));
        });
}

void control_task::retry_map_commit(const service_id& service, const placement::service_map& map) {
    constexpr milliseconds retry_delay{100};
    const term_number number = this->role->view.term;
    this->loop.call_after(retry_delay, [this, service, map, number] {
        if (this->role && this->role->view.term == number) {
            this->commit_map(service, map);
        }
    });
}

// Reads the map in force after a commit that met a conflict.
void control_task::resolve_map(const service_id& service) {
    const term_number number = this->role->view.term;
    const auto in_term = [this, number] { return this->role && this->role->view.term == number; };
    const auto try_again = [this, service, in_term] {
        this->loop.call_after(milliseconds(200), [this, service, in_term] {
            if (in_term()) {
                this->resolve_map(service);
            }
        });
    };
    const std::string name = map_row(service);
    this->store.read_row(
        name, [this, service, name, in_term, try_again](const result<platform::row>& answer) {
            if (!in_term()) {
                return;
            }
            if (!answer) {
                try_again();
                return;
            }
            this->role->map_rows[name] = answer->version;
            if (answer->version == 0) {
                placement::service_map none;
                none.service = service;
                this->advance_planner(service, ownership::commit_resolved{none});
                return;
            }
            const auto record = nlohmann::json::parse(answer->value, nullptr, false);
            const std::string object =
                record.is_object() ? record.value("object", std::string()) : std::string();
            this->store.get_object(
                object, [this, service, in_term, try_again](const result<std::string>& body) {
                    if (!in_term()) {
                        return;
                    }
                    const auto map = body ? placement::decode(*body)
                                          : result<placement::service_map>(body.error());
                    if (!map) {
                        try_again();
                        return;
                    }
                    this->adopt_map(*map);
                    this->advance_planner(service, ownership::commit_resolved{*map});
                });
        });
}

void control_task::handle(const peer::sender& from, const peer::map_ack& message) {
    this->advance_planner(
        message.service,
        ownership::map_acknowledged{from.host, message.version, message.lagging, message.consents});
}

void control_task::handle(const peer::sender&, const peer::dispatcher_changed& message) {
    this->adopt_dispatcher(message);
    this->advance_planner(message.service, ownership::dispatcher_announced{
                                               message.server, message.dispatcher, message.map});
}

void control_task::handle(const peer::sender&, const peer::token_report& message) {
    this->moved_total.add(static_cast<double>(message.partitions.size()));
    for (const ownership::held_partition& partition : message.partitions) {
        this->advance_planner(message.service, ownership::owner_reported{message.owner, partition});
    }
}

std::string control_task::describe_status() const {
    const time_point now = std::chrono::steady_clock::now();
    nlohmann::json body;
    body["host"] = this->settings.self.host.value();
    body["incarnation"] = this->settings.self.instance.value();
    body["ready"] = this->ready(now);
    body["standing"] = membership::has_standing(this->standing, now);
    body["revision"] = this->activation.active.number.value();
    body["revision_certain"] = release::may_admit(this->activation, now);
    body["coordinator"] = this->coordinator.host.value();
    body["is_coordinator"] = this->role != nullptr;
    body["term"] = this->coordinator_term.value();
    body["roster_version"] = this->standing.members.version.value();
    nlohmann::json hosts = nlohmann::json::array();
    for (const membership::roster_host& host : this->standing.members.hosts) {
        hosts.push_back({{"host", host.instance.host.value()},
                         {"incarnation", host.instance.instance.value()},
                         {"address", host.address},
                         {"region", host.region.value()},
                         {"data_centre", host.data_centre.value()}});
    }
    body["hosts"] = std::move(hosts);
    nlohmann::json services = nlohmann::json::array();
    for (const auto& [service, map] : this->maps) {
        nlohmann::json servers = nlohmann::json::array();
        std::map<placement::server_index, std::size_t> owned;
        for (const placement::partition_entry& partition : map->partitions) {
            ++owned[partition.owner];
        }
        for (std::size_t index = 0; index < map->servers.size(); ++index) {
            const placement::server_entry& entry = map->servers[index];
            const auto changed = this->overrides.find(entry.server);
            const host_instance& dispatcher =
                changed == this->overrides.end() ? entry.dispatcher : changed->second.dispatcher;
            servers.push_back({{"server", entry.server.value()},
                               {"dispatcher", dispatcher.host.value()},
                               {"standby", entry.standby.host.value()},
                               {"standby_confirmed", entry.standby_confirmed},
                               {"leaving", entry.leaving},
                               {"partitions", owned[static_cast<placement::server_index>(index)]}});
        }
        services.push_back({{"service", service.value()},
                            {"map_version", map->version.value()},
                            {"partitions", map->partitions.size()},
                            {"servers", std::move(servers)}});
    }
    body["services"] = std::move(services);
    return body.dump();
}

void control_task::receive(const dump_requested& message) {
    nlohmann::json state = nlohmann::json::parse(this->describe_status());
    const time_point now = std::chrono::steady_clock::now();
    state["heartbeats_received"] = this->counters.heartbeats_received;
    state["heartbeats_sent"] = this->counters.heartbeats_sent;
    state["store_reads"] = this->counters.store_reads;
    state["store_commits"] = this->counters.store_commits;
    state["store_failures"] = this->counters.store_failures;
    state["terms_held"] = this->counters.terms_held;
    state["snapshots_sent"] = this->counters.snapshots_sent;
    state["prepared_notes"] = this->activation.prepared.size();
    if (const auto age = membership::evidence_age(this->standing, now)) {
        state["evidence_age_ms"] = age->count();
    }
    if (this->role) {
        state["coordinator_role"] = {
            {"guests", this->role->view.guests.size()},
            {"departures", this->role->view.departures.size()},
            {"suspected", this->role->view.suspected.size()},
            {"may_decide", membership::may_decide(this->role->view, now)},
            {"queued_notes", this->role->rollout.queue.size()},
            {"rollout_phase", static_cast<int>(this->role->rollout.phase)}};
    }
    message.done(state.dump());
}

}  // namespace greengagechute::router
