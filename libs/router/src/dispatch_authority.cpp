// The grants of each server, the watch over the servers for which this host is the standby, and
// moves of partitions: carries out the actions of library ownership.

#include "base/clock.h"
#include "dispatch_state.h"
#include "router/dispatch_task.h"
#include "router/errors.h"

#include <set>
#include <utility>

namespace greengagechute::router {

namespace {

/// A broken connection counts as a crash of the server if the server is found lost or restarted
/// within this time.
constexpr milliseconds crash_window{3'000};

}  // namespace

void dispatch_task::advance(const slot_pointer& slot, const ownership::dispatch_event& event) {
    const time_point now = std::chrono::steady_clock::now();
    const ownership::dispatch_phase before = slot->authority.phase;
    const auto actions =
        ownership::step(slot->authority, event, this->has_standing(now) && !slot->handed_over, now);
    if (before != ownership::dispatch_phase::active &&
        slot->authority.phase == ownership::dispatch_phase::active) {
        this->begin_dispatching(slot);
    }
    for (const ownership::dispatch_action& action : actions) {
        this->act(slot, action);
    }
}

void dispatch_task::begin_dispatching(const slot_pointer& slot) {
    if (slot->records) {
        return;
    }
    slot->records = admission::make_idempotency_table({}, wall_now());
    if (slot->authority.dispatcher_epoch.value() == 1) {
        // No dispatcher was there before: nothing can have run.
        slot->records = admission::make_empty_idempotency_table({});
    } else if (slot->imported) {
        admission::import_records(*slot->records, *slot->imported,
                                  std::chrono::steady_clock::now());
        slot->imported.reset();
    }
    telemetry::log_info(*this->log, "dispatching_started",
                        {{"server", slot->definition.server.value()},
                         {"dispatcher_epoch", slot->authority.dispatcher_epoch.value()}});
}

void dispatch_task::act(const slot_pointer& slot, const ownership::dispatch_action& action) {
    const server_id server = slot->definition.server;
    const service_id service = slot->authority.service;
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, ownership::send_grant>) {
                this->servers.send_grant(slot->address, content.offered_grant,
                                         this->report_from(server));
                ++this->counters.grants_sent;
            } else if constexpr (std::is_same_v<type, ownership::send_status_request>) {
                this->servers.request_status(slot->address, this->report_from(server));
            } else if constexpr (std::is_same_v<type, ownership::send_consent_request>) {
                this->send_to_host(
                    content.standby,
                    peer::consent_request{service, server, content.dispatcher_epoch, content.map});
            } else if constexpr (std::is_same_v<type, ownership::stop_partition>) {
                std::vector<item_pointer> queued;
                for (const auto& [request, item] : slot->items) {
                    if (!item->running && item->message.partition == content.partition) {
                        queued.push_back(item);
                    }
                }
                for (const item_pointer& item : queued) {
                    admission::cancel(slot->queue, item->message.request,
                                      std::chrono::steady_clock::now());
                    this->leave_queue(slot, item, make_error_code(router_errc::partition_not_held));
                }
                this->check_idle(slot, content.partition);
            } else if constexpr (std::is_same_v<type, ownership::send_hand_over>) {
                ++this->counters.hand_overs;
                this->send_to_host(content.dispatcher, peer::hand_over{service, content.partition,
                                                                       server, content.successor});
            } else if constexpr (std::is_same_v<type, ownership::acknowledge_hand_over>) {
                const auto sender = slot->hand_over_senders.find(content.from);
                if (sender != slot->hand_over_senders.end()) {
                    static_cast<void>(this->peers.send(
                        sender->second,
                        peer::hand_over_ack{service, content.partition, content.from, server}));
                }
            } else if constexpr (std::is_same_v<type, ownership::report_owner>) {
                this->report(owner_reported{
                    peer::token_report{service, content.owner, {content.partition}}});
            } else if constexpr (std::is_same_v<type, ownership::server_lost>) {
                this->lose_server(slot);
            } else if constexpr (std::is_same_v<type, ownership::authority_ended>) {
                this->end_authority(slot);
            }
        },
        action);
}

void dispatch_task::send_to_host(const host_instance& host, peer::message message) {
    const std::string address = find_address(*this->view, host);
    if (!address.empty()) {
        static_cast<void>(this->peers.send(address, std::move(message)));
    }
}

upstream::client::report_callback dispatch_task::report_from(const server_id& server) {
    const time_point sent_at = std::chrono::steady_clock::now();
    return [this, server, sent_at](const result<ownership::server_report>& answer) {
        this->deliver_report(server, answer, sent_at);
    };
}

void dispatch_task::deliver_report(const server_id& server,
                                   const result<ownership::server_report>& report_of_server,
                                   time_point sent_at) {
    if (!report_of_server) {
        return;
    }
    const slot_pointer slot = this->find_slot(server);
    if (slot) {
        if (slot->boot != report_of_server->boot) {
            if (slot->boot.value() != 0) {
                this->record_crash(slot);
                admission::mark_cold(slot->queue, std::chrono::steady_clock::now());
            }
            slot->boot = report_of_server->boot;
        }
        this->advance(slot, ownership::server_replied{*report_of_server, sent_at});
        this->pump(slot);
        return;
    }
    const auto standby = this->standbys.find(server);
    if (standby != this->standbys.end()) {
        standby->second->reached_at = std::chrono::steady_clock::now();
        this->advance_standby(*standby->second,
                              ownership::server_replied{*report_of_server, sent_at});
    }
}

void dispatch_task::check_idle(const slot_pointer& slot, partition_id partition) {
    const auto count = slot->work_of_partition.find(partition);
    if (count == slot->work_of_partition.end() || count->second == 0) {
        this->advance(slot, ownership::partition_idle{partition});
    }
}

void dispatch_task::record_crash(const slot_pointer& slot) {
    const time_point now = std::chrono::steady_clock::now();
    // Equal requests in flight share a fingerprint; together they are one request for this loss.
    std::set<std::uint64_t> counted;
    for (const auto& [fingerprint, broken_at] : slot->crash_suspects) {
        if (now - broken_at > crash_window || !counted.insert(fingerprint).second) {
            continue;
        }
        const admission::loss_notice notice =
            admission::record_loss(this->quarantine, fingerprint, now);
        telemetry::log_warning(*this->log, "server_lost_with_request_in_flight",
                               {{"server", slot->definition.server.value()},
                                {"fingerprint", fingerprint},
                                {"losses", notice.losses}});
        this->report(loss_recorded{notice});
    }
    slot->crash_suspects.clear();
}

void dispatch_task::lose_server(const slot_pointer& slot) {
    ++this->counters.servers_lost;
    telemetry::log_warning(*this->log, "server_lost",
                           {{"server", slot->definition.server.value()}});
    const std::vector<std::pair<request_id, item_pointer>> items(slot->items.begin(),
                                                                 slot->items.end());
    for (const auto& [request, item] : items) {
        if (item->running) {
            this->servers.cancel(item->run);
            this->on_failed(slot, item, make_error_code(router_errc::server_lost));
        } else {
            admission::cancel(slot->queue, request, std::chrono::steady_clock::now());
            this->leave_queue(slot, item, make_error_code(router_errc::partition_not_held));
        }
    }
    this->record_crash(slot);
}

void dispatch_task::end_authority(const slot_pointer& slot) {
    if (slot->ended) {
        return;
    }
    slot->ended = true;
    const std::vector<std::pair<request_id, item_pointer>> items(slot->items.begin(),
                                                                 slot->items.end());
    for (const auto& [request, item] : items) {
        if (!item->running) {
            admission::cancel(slot->queue, request, std::chrono::steady_clock::now());
            this->leave_queue(slot, item, make_error_code(router_errc::not_dispatcher));
        }
    }
    telemetry::log_info(*this->log, "dispatching_ended",
                        {{"server", slot->definition.server.value()}});
    server_metrics& series = this->series_of(*slot);
    for (telemetry::gauge* value :
         {&series.queue_length, &series.predicted_wait, &series.long_work_running, &series.load}) {
        value->set(0);
    }
    this->slots.erase(slot->definition.server);
    this->ended_slots[slot->definition.server] = slot;
}

// Standby.

void dispatch_task::advance_standby(standby_slot& slot, const ownership::standby_event& event) {
    const time_point now = std::chrono::steady_clock::now();
    const server_id server = slot.server;
    for (const ownership::standby_action& action :
         ownership::step(slot.state, event, this->has_standing(now), now)) {
        const auto current = this->standbys.find(server);
        if (current == this->standbys.end()) {
            return;
        }
        this->act_standby(*current->second, action);
    }
}

void dispatch_task::act_standby(standby_slot& slot, const ownership::standby_action& action) {
    const server_id server = slot.server;
    const service_id service = slot.state.service;
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, ownership::send_watch>) {
                this->send_to_host(content.dispatcher, peer::watch{service, server});
            } else if constexpr (std::is_same_v<type, ownership::send_grant>) {
                this->servers.send_grant(slot.address, content.offered_grant,
                                         this->report_from(server));
            } else if constexpr (std::is_same_v<type, ownership::send_status_request>) {
                this->servers.request_status(slot.address, this->report_from(server));
            } else if constexpr (std::is_same_v<type, ownership::reply_consent>) {
                this->send_to_host(content.dispatcher,
                                   peer::consent_reply{service, server, content.dispatcher_epoch,
                                                       content.granted, content.map});
            } else if constexpr (std::is_same_v<type, ownership::became_dispatcher>) {
                const auto map = this->view->maps.find(service);
                if (map == this->view->maps.end()) {
                    return;
                }
                const slot_pointer created = this->make_slot(*map->second, server);
                if (!created) {
                    return;
                }
                created->authority = content.state;
                created->imported = std::move(slot.imported);
                const bool handed_over = created->imported.has_value();
                if (content.state.last_report) {
                    created->boot = content.state.last_report->boot;
                }
                ++this->counters.takeovers;
                this->takeovers_total.add();
                telemetry::log_warning(
                    *this->log, "server_taken_over",
                    {{"server", server.value()},
                     {"dispatcher_epoch", content.state.dispatcher_epoch.value()}});
                this->slots[server] = created;
                this->ended_slots.erase(server);
                this->remove_standby(server);
                if (created->authority.phase == ownership::dispatch_phase::active) {
                    this->begin_dispatching(created);
                }
                this->report(took_over{peer::dispatcher_changed{
                    service, server, this->settings.self, this->peers.self_address(),
                    created->authority.dispatcher_epoch, created->authority.map.version,
                    handed_over}});
            }
        },
        action);
}

void dispatch_task::handle(const peer::sender& from, const peer::watch& message) {
    const slot_pointer slot = this->find_slot(message.server);
    const bool standing_now = this->has_standing(std::chrono::steady_clock::now());
    if (!slot || slot->handed_over || !ownership::answers_watch(slot->authority, standing_now)) {
        return;
    }
    static_cast<void>(this->peers.send(
        from.address,
        peer::watch_ack{message.service, message.server, slot->authority.dispatcher_epoch}));
}

void dispatch_task::handle(const peer::sender&, const peer::watch_ack& message) {
    const auto standby = this->standbys.find(message.server);
    if (standby != this->standbys.end()) {
        this->advance_standby(*standby->second,
                              ownership::watch_answered{message.dispatcher_epoch});
    }
}

void dispatch_task::handle(const peer::sender& from, const peer::consent_request& message) {
    const auto standby = this->standbys.find(message.server);
    if (standby == this->standbys.end()) {
        // This host took over, or never was the standby: no consent.
        static_cast<void>(this->peers.send(
            from.address, peer::consent_reply{message.service, message.server,
                                              message.dispatcher_epoch, false, message.map}));
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    const bool reachable = standby->second->reached_at &&
                           now - *standby->second->reached_at < this->settings.times.suspect_after;
    this->advance_standby(
        *standby->second,
        ownership::consent_requested{from.host, message.dispatcher_epoch, reachable, message.map});
}

void dispatch_task::handle(const peer::sender& from, const peer::consent_reply& message) {
    const slot_pointer slot = this->find_slot(message.server);
    if (slot) {
        this->advance(slot, ownership::consent_replied{message.dispatcher_epoch, message.granted,
                                                       from.host, message.map});
    }
}

void dispatch_task::handle(const peer::sender&, const peer::move_request& message) {
    const slot_pointer slot = this->find_slot(message.server);
    if (slot) {
        this->advance(slot, ownership::move_requested{message.partitions, message.map});
    }
}

void dispatch_task::handle(const peer::sender& from, const peer::hand_over& message) {
    const slot_pointer slot = this->find_slot(message.to);
    if (slot) {
        slot->hand_over_senders[message.from] = from.address;
        this->advance(slot, ownership::partition_received{message.partition, message.from});
    }
}

void dispatch_task::handle(const peer::sender&, const peer::hand_over_ack& message) {
    slot_pointer slot = this->find_slot(message.from);
    const auto ended = this->ended_slots.find(message.from);
    if (!slot && ended != this->ended_slots.end()) {
        slot = ended->second;
    }
    if (slot) {
        this->advance(slot, ownership::hand_over_acknowledged{message.partition});
    }
}

void dispatch_task::handle(const peer::sender&, const peer::dispatch_hand_over& message) {
    const auto standby = this->standbys.find(message.server);
    if (standby == this->standbys.end()) {
        return;
    }
    admission::exported_table table;
    for (const peer::idempotency_record& record : message.records) {
        admission::exported_record entry{};
        entry.id = record.id;
        entry.state = record.state;
        entry.answer.status = record.status;
        entry.answer.body = record.body;
        entry.has_body = record.has_body;
        entry.answer.headers = record.headers;
        entry.fingerprint = record.fingerprint;
        table.records.push_back(std::move(entry));
    }
    table.unknown_until = wall_time(milliseconds(static_cast<std::int64_t>(message.unknown_until)));
    standby->second->imported = std::move(table);
    // The dispatcher has stopped, so the takeover need not wait for missing heartbeats.
    standby->second->state.last_heard = std::chrono::steady_clock::now() -
                                        this->settings.times.watch_lost_after -
                                        this->settings.times.watch_period;
    this->advance_standby(*standby->second, ownership::tick{});
}

}  // namespace greengagechute::router
