#pragma once

#include "admission/idempotency.h"
#include "admission/quarantine.h"
#include "admission/server_queue.h"
#include "http/event_loop.h"
#include "ownership/dispatch.h"
#include "router/entry_task.h"
#include "router/links.h"
#include "router/mailbox.h"
#include "router/routing_view.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "upstream/client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace greengagechute::router {

struct dispatch_settings {
    host_instance self;
    ownership::timing times;
    admission::queue_policy policy;
    /// Bytes of an answer that may be on the way to the entry host without credit.
    std::size_t answer_window_bytes = 256UL * 1024;
    std::size_t queue_length = 512;
};

/// Finish running work, then hand over each server to its standby. `done` is called on the task's
/// thread once no work is left or the time is over.
struct dispatch_drain_started {
    time_point give_up_at;
    std::function<void()> done;
};

using dispatch_message = std::variant<delivery, view_changed, standing_changed, quarantine_learned,
                                      dispatch_drain_started, dump_requested>;

/// Events for the control task.
struct took_over {
    peer::dispatcher_changed announcement;
};
struct owner_reported {
    peer::token_report report;
};
struct loss_recorded {
    admission::loss_notice notice;
};
/// This host acts on the map of the service in this version, except for the lagging servers.
struct map_acted {
    service_id service;
    map_version version;
    std::vector<server_id> lagging;
    /// Promises of this host as a standby, see `ownership::active_promise`.
    std::vector<std::pair<server_id, epoch>> consents;
};
using dispatch_report =
    std::variant<took_over, owner_reported, loss_recorded, newer_version_seen, map_acted>;

struct dispatch_counters {
    std::uint64_t received = 0;
    std::uint64_t run = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t repeated = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t servers_lost = 0;
    std::uint64_t hand_overs = 0;
    std::uint64_t grants_sent = 0;
};

/// Holds the one queue of each server that this host dispatches to, renews the grants, and watches
/// the servers for which it is the standby. Runs on its own event loop.
class dispatch_task {
public:
    using report_event = std::function<void(dispatch_report)>;

    /// @param report  called on the task's thread
    dispatch_task(http::event_loop& loop, const dispatch_settings& settings, const links& peers,
                  upstream::client& servers, report_event report,
                  std::shared_ptr<telemetry::logger> log, telemetry::metrics& registry);
    dispatch_task(const dispatch_task&) = delete;
    dispatch_task& operator=(const dispatch_task&) = delete;
    ~dispatch_task();

    /// Starts the timers. Before the loop runs.
    void start();

    mailbox<dispatch_message>& inbox() { return this->messages; }

private:
    struct work_item;
    struct server_slot;
    struct standby_slot;
    using item_pointer = std::shared_ptr<work_item>;
    using slot_pointer = std::shared_ptr<server_slot>;

    void receive(dispatch_message message);
    void receive(const delivery& message);
    void receive(const view_changed& message);
    void receive(const standing_changed& message);
    void receive(const quarantine_learned& message);
    void receive(const dispatch_drain_started& message);
    void receive(const dump_requested& message);

    void handle(const peer::sender& from, const peer::forward_request& message);
    void handle(const peer::sender& from, const peer::forward_cancel& message);
    void handle(const peer::sender& from, const peer::answer_credit& message);
    void handle(const peer::sender& from, const peer::watch& message);
    void handle(const peer::sender& from, const peer::watch_ack& message);
    void handle(const peer::sender& from, const peer::consent_request& message);
    void handle(const peer::sender& from, const peer::consent_reply& message);
    void handle(const peer::sender& from, const peer::move_request& message);
    void handle(const peer::sender& from, const peer::hand_over& message);
    void handle(const peer::sender& from, const peer::hand_over_ack& message);
    void handle(const peer::sender& from, const peer::dispatch_hand_over& message);

    void tick();
    struct server_metrics {
        telemetry::gauge queue_length;
        telemetry::gauge predicted_wait;
        telemetry::gauge long_work_running;
        telemetry::gauge load;
    };
    void update_metrics(time_point now);
    server_metrics& series_of(const server_slot& slot);
    bool has_standing(time_point now) const { return now < this->standing.valid_until; }
    void report_acted_versions();
    void reconcile_service(const placement::service_map& map);
    void reconcile_server(const placement::service_map& map, const placement::server_entry& entry);
    void reconcile_ended(const placement::service_map& map);
    void reconcile_standby(const placement::service_map& map, const placement::server_entry& entry);
    void offer_missed_map(const server_id& server);
    void remove_standby(const server_id& server);
    slot_pointer make_slot(const placement::service_map& map, const server_id& server);
    slot_pointer find_slot(const server_id& server);

    void advance(const slot_pointer& slot, const ownership::dispatch_event& event);
    void act(const slot_pointer& slot, const ownership::dispatch_action& action);
    void advance_standby(standby_slot& slot, const ownership::standby_event& event);
    void act_standby(standby_slot& slot, const ownership::standby_action& action);
    void send_to_host(const host_instance& host, peer::message message);
    /// Passes the answer to an order that is sent now to `deliver_report`.
    upstream::client::report_callback report_from(const server_id& server);
    void deliver_report(const server_id& server, const result<ownership::server_report>& report,
                        time_point sent_at);
    void begin_dispatching(const slot_pointer& slot);
    void check_idle(const slot_pointer& slot, partition_id partition);
    void lose_server(const slot_pointer& slot);
    void end_authority(const slot_pointer& slot);
    void record_crash(const slot_pointer& slot);

    std::error_code check_versions(const peer::sender& from, const peer::forward_request& message);
    void admit(const slot_pointer& slot, const item_pointer& item);
    bool may_send(const server_slot& slot, const work_item& item, time_point now) const;
    void pump(const slot_pointer& slot);
    void run(const slot_pointer& slot, const item_pointer& item);
    void on_head(const slot_pointer& slot, const item_pointer& item, int status,
                 const http::header_list& headers);
    void on_body(const slot_pointer& slot, const item_pointer& item, std::string_view part);
    void pass_on(const item_pointer& item, peer::message message, std::size_t bytes);
    void flush(const item_pointer& item);
    void on_complete(const slot_pointer& slot, const item_pointer& item);
    void on_not_run(const slot_pointer& slot, const item_pointer& item, std::error_code code);
    void on_failed(const slot_pointer& slot, const item_pointer& item, std::error_code cause);
    void leave_queue(const slot_pointer& slot, const item_pointer& item, std::error_code code);
    void forget(const slot_pointer& slot, const item_pointer& item);
    void finish_running(const slot_pointer& slot, const item_pointer& item, outcome state);
    void send_answer(const server_slot& slot, const work_item& item,
                     const admission::stored_response& answer, bool whole);
    void refuse(const std::string& address, const server_slot* slot, request_id request,
                outcome state, std::error_code code, const server_id& moved_to = {});
    void refuse_waiting(const slot_pointer& slot, const std::vector<request_id>& waiting,
                        request_id except, outcome state, std::error_code code);
    void hand_over_slot(const slot_pointer& slot);
    void check_drained();

    http::event_loop& loop;
    const dispatch_settings settings;
    const links& peers;
    upstream::client& servers;
    report_event report;
    std::shared_ptr<telemetry::logger> log;
    mailbox<dispatch_message> messages;
    view_pointer view;
    standing_notice standing;
    std::map<server_id, slot_pointer> slots;
    /// Servers that this host dispatched to before. Until the last grant has ended the host does
    /// not act on a map without its role, hand-overs under way are still repeated, and what was
    /// passed on is not granted again by an old map.
    std::map<server_id, slot_pointer> ended_slots;
    std::map<server_id, std::unique_ptr<standby_slot>> standbys;
    /// The last state of earlier roles as standby, for the promises in them.
    std::map<server_id, ownership::standby_state> former_standbys;
    /// Slots of work by the entry host's request id.
    std::unordered_map<request_id, slot_pointer> work;
    admission::quarantine_table quarantine;
    struct acknowledgement {
        map_acted content;
        time_point sent_at;
    };
    std::map<service_id, acknowledgement> acknowledged;
    std::optional<dispatch_drain_started> draining;
    dispatch_counters counters;
    telemetry::counter takeovers_total;
    telemetry::latency_histogram queue_wait;
    telemetry::latency_histogram service_duration;
    telemetry::metrics& registry;
    time_point metrics_updated_at;
    /// Also of servers that this host no longer dispatches to: their series show 0.
    std::map<server_id, server_metrics> metrics_of_servers;
};

}  // namespace greengagechute::router
