#include "router/dispatch_task.h"

#include "dispatch_state.h"
#include "router/errors.h"
#include "telemetry/metric_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace greengagechute::router {

namespace {

constexpr std::size_t mailbox_capacity = 65'536;
constexpr milliseconds tick_period{20};
/// Unchanged map acknowledgements are offered to the control task this often; it decides when one
/// is repeated to the coordinator.
constexpr milliseconds acknowledgement_period{1'000};
constexpr milliseconds metrics_period{1'000};

}  // namespace

dispatch_task::dispatch_task(http::event_loop& loop_of_task,
                             const dispatch_settings& settings_of_task,
                             const links& links_of_daemon, upstream::client& client_of_servers,
                             report_event report_to_control,
                             std::shared_ptr<telemetry::logger> log_of_daemon,
                             telemetry::metrics& registry_of_daemon)
    : loop(loop_of_task),
      settings(settings_of_task),
      peers(links_of_daemon),
      servers(client_of_servers),
      report(std::move(report_to_control)),
      log(std::move(log_of_daemon)),
      messages(loop_of_task, mailbox_capacity),
      quarantine(admission::make_quarantine_table({})),
      registry(registry_of_daemon) {
    namespace names = telemetry::metric_names;
    this->takeovers_total =
        registry.add_counter(names::takeovers_total, "Servers taken over as standby").value();
    this->queue_wait =
        registry.add_latency(names::queue_wait, "Time in the queue of a server").value();
    this->service_duration =
        registry.add_latency(names::service_duration, "Time that a server took for a request")
            .value();
    this->messages.set_handler(
        [this](dispatch_message message) { this->receive(std::move(message)); });
}

dispatch_task::~dispatch_task() = default;

void dispatch_task::start() {
    this->loop.call_after(tick_period, [this] { this->tick(); });
}

void dispatch_task::receive(dispatch_message message) {
    std::visit([this](const auto& content) { this->receive(content); }, message);
}

void dispatch_task::receive(const delivery& message) {
    std::visit(
        [&](const auto& content) {
            if constexpr (requires { this->handle(message.from, content); }) {
                this->handle(message.from, content);
            }
        },
        message.content);
}

void dispatch_task::receive(const standing_changed& message) {
    this->standing = message.standing;
}

void dispatch_task::receive(const quarantine_learned& message) {
    admission::import_notice(this->quarantine, message.notice, std::chrono::steady_clock::now());
}

void dispatch_task::receive(const view_changed& message) {
    this->view = message.view;
    for (const auto& [service, map] : this->view->maps) {
        this->reconcile_service(*map);
    }
    this->report_acted_versions();
}

void dispatch_task::report_acted_versions() {
    if (!this->view) {
        return;
    }
    for (const auto& [service, map] : this->view->maps) {
        map_acted acted{service, map->version, {}, {}};
        for (const auto* roles : {&this->slots, &this->ended_slots}) {
            for (const auto& [server, slot] : *roles) {
                if (slot->authority.service == service &&
                    !ownership::has_applied(slot->authority, map->version)) {
                    acted.lagging.push_back(server);
                }
            }
        }
        for (const auto& [server, standby] : this->standbys) {
            if (standby->state.service != service) {
                continue;
            }
            if (!ownership::has_applied(standby->state, map->version)) {
                acted.lagging.push_back(server);
            }
            if (const auto promise = ownership::active_promise(standby->state)) {
                acted.consents.emplace_back(server, *promise);
            }
        }
        const time_point now = std::chrono::steady_clock::now();
        acknowledgement& last = this->acknowledged[service];
        if (acted.version != last.content.version || acted.lagging != last.content.lagging ||
            acted.consents != last.content.consents ||
            now - last.sent_at > acknowledgement_period) {
            last = {acted, now};
            this->report(std::move(acted));
        }
    }
}

void dispatch_task::reconcile_service(const placement::service_map& map) {
    this->reconcile_ended(map);
    for (const placement::server_entry& entry : map.servers) {
        this->reconcile_server(map, entry);
    }
}

void dispatch_task::reconcile_server(const placement::service_map& map,
                                     const placement::server_entry& entry) {
    const host_instance& self = this->settings.self;
    const auto changed = this->view->overrides.find(entry.server);
    const host_instance dispatcher =
        changed == this->view->overrides.end() ? entry.dispatcher : changed->second.dispatcher;
    const slot_pointer known = this->find_slot(entry.server);
    if (known) {
        known->authority.self = self;
        const auto definition = this->view->catalogue->servers.find(entry.server);
        if (definition != this->view->catalogue->servers.end()) {
            known->definition = definition->second;
        }
        this->advance(known, ownership::map_changed{map});
    } else if (dispatcher == self && entry.dispatcher == self && !this->draining &&
               !this->ended_slots.contains(entry.server)) {
        const slot_pointer slot = this->make_slot(map, entry.server);
        if (slot) {
            this->slots.emplace(entry.server, slot);
            this->advance(slot, ownership::tick{});
        }
    }
    this->reconcile_standby(map, entry);
}

// Ended roles get every map. One that names this host again after another host starts a new role.
void dispatch_task::reconcile_ended(const placement::service_map& map) {
    std::vector<slot_pointer> ended;
    for (const auto& [server, slot] : this->ended_slots) {
        if (slot->authority.service == map.service) {
            ended.push_back(slot);
        }
    }
    for (const slot_pointer& slot : ended) {
        const server_id server = slot->definition.server;
        this->advance(slot, ownership::map_changed{map});
        if (slot->authority.phase == ownership::dispatch_phase::ended || this->draining) {
            continue;
        }
        const slot_pointer renewed = this->make_slot(map, server);
        if (renewed) {
            renewed->authority = slot->authority;
            this->ended_slots.erase(server);
            this->slots[server] = renewed;
            this->advance(renewed, ownership::tick{});
        }
    }
}

void dispatch_task::reconcile_standby(const placement::service_map& map,
                                      const placement::server_entry& entry) {
    const host_instance& self = this->settings.self;
    const auto standby = this->standbys.find(entry.server);
    if (this->slots.contains(entry.server)) {
        this->remove_standby(entry.server);
        return;
    }
    if (standby != this->standbys.end()) {
        this->advance_standby(*standby->second, ownership::map_changed{map});
        // Kept while the outcome of a takeover is open: the server may have accepted it.
        if (entry.standby != self && !standby->second->state.taking_over) {
            this->remove_standby(entry.server);
        }
        return;
    }
    if (entry.standby != self) {
        return;
    }
    const auto definition = this->view->catalogue->servers.find(entry.server);
    if (definition == this->view->catalogue->servers.end()) {
        return;
    }
    auto created = std::make_unique<standby_slot>();
    created->server = entry.server;
    created->address = http::parse_endpoint(definition->second.address).value_or(http::endpoint{});
    created->state = ownership::make_standby_state(entry.server, self, this->settings.times, map,
                                                   std::chrono::steady_clock::now());
    const auto former = this->former_standbys.find(entry.server);
    if (former != this->former_standbys.end()) {
        ownership::carry_over_promises(created->state, former->second);
    }
    this->standbys.emplace(entry.server, std::move(created));
}

// A standby adopts no map while the outcome of its takeover is open.
void dispatch_task::offer_missed_map(const server_id& server) {
    const auto standby = this->standbys.find(server);
    if (standby == this->standbys.end() || standby->second->state.taking_over) {
        return;
    }
    const auto map = this->view->maps.find(standby->second->state.service);
    if (map == this->view->maps.end() ||
        map->second->version <= standby->second->state.map.version) {
        return;
    }
    const auto index = placement::find_server(*map->second, server);
    if (index) {
        this->reconcile_standby(*map->second, map->second->servers[*index]);
    } else {
        this->remove_standby(server);
    }
}

void dispatch_task::remove_standby(const server_id& server) {
    const auto standby = this->standbys.find(server);
    if (standby != this->standbys.end()) {
        this->former_standbys[server] = standby->second->state;
        this->standbys.erase(standby);
    }
}

dispatch_task::slot_pointer dispatch_task::make_slot(const placement::service_map& map,
                                                     const server_id& server) {
    const auto definition = this->view->catalogue->servers.find(server);
    if (definition == this->view->catalogue->servers.end()) {
        return nullptr;
    }
    const time_point now = std::chrono::steady_clock::now();
    auto slot = std::make_shared<server_slot>();
    slot->definition = definition->second;
    slot->address = http::parse_endpoint(definition->second.address).value_or(http::endpoint{});
    slot->divided = map.partition_count > 0;
    slot->authority =
        ownership::make_dispatch_state(server, this->settings.self, this->settings.times, map);
    admission::queue_limits limits;
    limits.slots = std::max<std::size_t>(1, definition->second.slots);
    limits.length = this->settings.queue_length;
    slot->queue = admission::make_server_queue(this->settings.policy, limits, now);
    return slot;
}

dispatch_task::slot_pointer dispatch_task::find_slot(const server_id& server) {
    const auto found = this->slots.find(server);
    return found == this->slots.end() ? nullptr : found->second;
}

void dispatch_task::tick() {
    const time_point now = std::chrono::steady_clock::now();
    // Handlers may add and remove slots.
    std::vector<slot_pointer> current;
    for (const auto& [server, slot] : this->slots) {
        current.push_back(slot);
    }
    for (const slot_pointer& slot : current) {
        this->advance(slot, ownership::tick{});
        for (const request_id expired : admission::expire(slot->queue, now)) {
            const auto item = slot->items.find(expired);
            if (item != slot->items.end()) {
                this->leave_queue(slot, item_pointer(item->second),
                                  make_error_code(router_errc::deadline_passed));
            }
        }
        if (slot->records) {
            admission::expire(*slot->records, now);
        }
        this->pump(slot);
    }
    for (const auto& [server, slot] : this->ended_slots) {
        if (slot->authority.phase == ownership::dispatch_phase::ended) {
            this->advance(slot, ownership::tick{});
        }
    }
    std::vector<server_id> watched;
    for (const auto& [server, slot] : this->standbys) {
        watched.push_back(server);
    }
    for (const server_id& server : watched) {
        const auto found = this->standbys.find(server);
        if (found != this->standbys.end()) {
            this->advance_standby(*found->second, ownership::tick{});
        }
        this->offer_missed_map(server);
    }
    if (this->draining) {
        this->check_drained();
    }
    this->report_acted_versions();
    if (now - this->metrics_updated_at >= metrics_period) {
        this->metrics_updated_at = now;
        this->update_metrics(now);
    }
    this->loop.call_after(tick_period, [this] { this->tick(); });
}

void dispatch_task::update_metrics(time_point now) {
    for (const auto& [server, slot] : this->slots) {
        server_metrics& series = this->series_of(*slot);
        const admission::server_queue& queue = slot->queue;
        series.queue_length.set(static_cast<double>(queue.queued.size()));
        series.predicted_wait.set(
            std::chrono::duration<double>(admission::predicted_wait(queue, now)).count());
        const auto long_running =
            std::count_if(queue.running.begin(), queue.running.end(),
                          [](const auto& request) { return request.counts_as_long; });
        series.long_work_running.set(static_cast<double>(long_running));
        series.load.set(static_cast<double>(slot->running) /
                        static_cast<double>(queue.limits.slots));
    }
}

dispatch_task::server_metrics& dispatch_task::series_of(const server_slot& slot) {
    namespace names = telemetry::metric_names;
    const auto [found, added] = this->metrics_of_servers.try_emplace(slot.definition.server);
    server_metrics& series = found->second;
    if (added) {
        const telemetry::label_list labels{{"service", slot.definition.service.value()},
                                           {"server", slot.definition.server.value()}};
        const auto gauge = [&](std::string_view name, std::string_view help) {
            return this->registry.add_gauge(name, help, labels).value();
        };
        series.queue_length = gauge(names::queue_length, "Requests in the queue of a server");
        series.predicted_wait = gauge(names::predicted_wait, "Predicted wait of a new request");
        series.long_work_running = gauge(names::long_work_running, "Long requests that run");
        series.load = gauge(names::server_load, "Running requests over slots of a server");
    }
    return series;
}

void dispatch_task::receive(const dispatch_drain_started& message) {
    this->draining = message;
    this->standbys.clear();
    for (const auto& [server, slot] : this->slots) {
        slot->handed_over = true;
        const std::vector<std::pair<request_id, item_pointer>> items(slot->items.begin(),
                                                                     slot->items.end());
        for (const auto& [request, item] : items) {
            if (admission::cancel(slot->queue, request, std::chrono::steady_clock::now()) ==
                admission::cancel_result::removed) {
                this->leave_queue(slot, item, make_error_code(router_errc::not_dispatcher));
            }
        }
        // Handed over before running work ends, so that the keys stay available; that work is
        // exported with an unknown outcome, and its answer still goes to its caller.
        this->hand_over_slot(slot);
    }
    this->check_drained();
}

void dispatch_task::hand_over_slot(const slot_pointer& slot) {
    const auto index = placement::find_server(slot->authority.map, slot->definition.server);
    if (!index || !slot->records) {
        return;
    }
    const host_instance standby = slot->authority.map.servers[*index].standby;
    const std::string address = find_address(*this->view, standby);
    if (address.empty()) {
        return;
    }
    const admission::exported_table table = admission::export_records(*slot->records);
    peer::dispatch_hand_over message;
    message.service = slot->authority.service;
    message.server = slot->definition.server;
    message.dispatcher_epoch = slot->authority.dispatcher_epoch;
    message.unknown_until =
        static_cast<std::uint64_t>(table.unknown_until.time_since_epoch().count());
    for (const admission::exported_record& record : table.records) {
        peer::idempotency_record entry;
        entry.id = record.id;
        entry.state = record.state;
        entry.status = record.answer.status;
        entry.headers = record.answer.headers;
        entry.body = record.answer.body;
        entry.has_body = record.has_body;
        entry.fingerprint = record.fingerprint;
        message.records.push_back(std::move(entry));
    }
    static_cast<void>(this->peers.send(address, std::move(message)));
}

void dispatch_task::check_drained() {
    bool busy = std::ranges::any_of(this->ended_slots,
                                    [](const auto& item) { return item.second->running > 0; });
    std::vector<server_id> finished;
    for (const auto& [server, slot] : this->slots) {
        if (slot->running == 0) {
            finished.push_back(server);
        } else {
            busy = true;
        }
    }
    for (const server_id& server : finished) {
        this->slots.erase(server);
    }
    if ((!busy || std::chrono::steady_clock::now() >= this->draining->give_up_at) &&
        this->draining->done) {
        const auto done = std::exchange(this->draining->done, nullptr);
        done();
    }
}

void dispatch_task::receive(const dump_requested& message) {
    const time_point now = std::chrono::steady_clock::now();
    nlohmann::json state;
    state["received"] = this->counters.received;
    state["run"] = this->counters.run;
    state["answered"] = this->counters.answered;
    state["not_run"] = this->counters.not_run;
    state["unknown"] = this->counters.unknown;
    state["repeated"] = this->counters.repeated;
    state["cancelled"] = this->counters.cancelled;
    state["takeovers"] = this->counters.takeovers;
    state["servers_lost"] = this->counters.servers_lost;
    state["hand_overs"] = this->counters.hand_overs;
    state["grants_sent"] = this->counters.grants_sent;
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [server, slot] : this->slots) {
        list.push_back(
            {{"server", server.value()},
             {"phase", static_cast<int>(slot->authority.phase)},
             {"dispatcher_epoch", slot->authority.dispatcher_epoch.value()},
             {"partitions_held", slot->authority.held.size()},
             {"partitions_outgoing", slot->authority.outgoing.size()},
             {"last_reply_ms_ago",
              std::chrono::duration_cast<milliseconds>(now - slot->authority.last_reply).count()},
             {"queued", slot->queue.queued.size()},
             {"running", slot->running},
             {"predicted_wait_us", admission::predicted_wait(slot->queue, now).count()},
             {"idempotency_records", slot->records ? slot->records->entries.size() : 0}});
    }
    state["servers"] = std::move(list);
    nlohmann::json watched = nlohmann::json::array();
    for (const auto& [server, slot] : this->standbys) {
        watched.push_back({{"server", server.value()},
                           {"confirmed", slot->state.confirmed},
                           {"known_epoch", slot->state.known_epoch.value()}});
    }
    state["standby_for"] = std::move(watched);
    state["quarantined"] = this->quarantine.entries.size();
    message.done(state.dump());
}

}  // namespace greengagechute::router
