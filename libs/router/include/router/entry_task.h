#pragma once

#include "admission/quarantine.h"
#include "admission/retry_budget.h"
#include "admission/server_health.h"
#include "base/ids.h"
#include "base/result.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "router/links.h"
#include "router/mailbox.h"
#include "router/routing_view.h"
#include "router/stages.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace greengagechute::router {

struct entry_settings {
    host_instance self;
    http::endpoint listen;
    http::server_limits server;
    request_limits requests;
    /// Answers up to this size are buffered, so that a failure midway can still be reported.
    std::size_t buffered_answer_bytes = 256UL * 1024;
    bool retry_budget = true;
    admission::selection_policy choice;
    /// Cost of sending a request to another region, as time.
    milliseconds link_cost{24};
};

struct view_changed {
    view_pointer view;
};
struct standing_changed {
    standing_notice standing;
};
/// New requests are refused from now on. `done` is called on the task's thread once no request is
/// in progress.
struct drain_started {
    std::function<void()> done;
};
struct quarantine_learned {
    admission::loss_notice notice;
};
/// `done` receives the state of the task as JSON text, on the task's thread.
struct dump_requested {
    std::function<void(std::string)> done;
};
using entry_message = std::variant<delivery, view_changed, standing_changed, drain_started,
                                   quarantine_learned, dump_requested>;

/// Tells the control task that another host knows a newer release note or map.
struct newer_version_seen {
    host_instance host;
    std::string address;
    revision active;
};

/// Counters of an entry task, for metrics and the state dump.
struct entry_counters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t redirects = 0;
    std::uint64_t late_messages = 0;
    std::uint64_t broken_answers = 0;
    std::uint64_t callers_left = 0;
    std::uint64_t cross_region_bytes = 0;
};

/// Accepts requests from callers, forwards each to the dispatcher of its server and returns the
/// answer. Runs on its own event loop.
class entry_task {
public:
    using report_newer = std::function<void(newer_version_seen)>;

    /// @param report  called on the task's thread
    entry_task(http::event_loop& loop, const entry_settings& settings, const links& peers,
               report_newer report, std::shared_ptr<telemetry::logger> log,
               telemetry::metrics& registry);
    entry_task(const entry_task&) = delete;
    entry_task& operator=(const entry_task&) = delete;
    ~entry_task();

    /// Opens the listener. Before the loop runs.
    /// Error: `http_errc::listen_failed`.
    status start();

    mailbox<entry_message>& inbox() { return this->messages; }

    std::uint16_t port() const { return this->server->port(); }

    /// Requests in progress. Task's thread.
    std::size_t active_requests() const { return this->pending.size(); }

private:
    struct pending_request;
    using pending_pointer = std::shared_ptr<pending_request>;

    void receive(entry_message message);
    void receive(const delivery& message);
    void receive(const view_changed& message);
    void receive(const standing_changed& message);
    void receive(const drain_started& message);
    void receive(const quarantine_learned& message);
    void receive(const dump_requested& message);

    void accept(http::request message, const std::shared_ptr<http::response_writer>& writer);
    std::error_code admit(const classified_request& request, time_point now) const;
    result<request_location> locate(const pending_request& request, time_point now);
    void forward(const pending_pointer& request);
    void forward_later(const pending_pointer& request, std::error_code reason);
    bool may_retry(const pending_pointer& request, time_point now);
    void send_to(const pending_pointer& request, const request_location& location, time_point now);

    void handle(const peer::sender& from, const peer::answer_head& message);
    void handle(const peer::sender& from, const peer::answer_part& message);
    void handle(const peer::sender& from, const peer::answer_end& message);
    void handle(const peer::sender& from, const peer::refused& message);
    pending_pointer find_attempt(request_id attempt);
    void handle_not_run(const pending_pointer& request, const peer::refused& message);
    void handle_unknown(const pending_pointer& request, std::error_code code);
    void begin_streaming(const pending_pointer& request);
    void give_credit(const pending_pointer& request);
    void observe_server(const pending_request& request, bool success, milliseconds wait);

    void finish_answered(const pending_pointer& request);
    void finish_refused(const pending_pointer& request, outcome state, std::error_code code);
    void break_off(const pending_pointer& request, std::error_code code);
    void finish(const pending_pointer& request);
    void on_deadline(const pending_pointer& request);
    void on_caller_closed(const pending_pointer& request);
    void check_dispatchers();
    void cancel_attempt(const pending_pointer& request);
    request_id new_attempt(const pending_pointer& request);
    http::header_list outcome_headers(outcome state, std::error_code code) const;
    void refuse_at_once(http::response_writer& writer, outcome state, std::error_code code);
    void count_refusal(std::error_code code);
    void update_pools();

    http::event_loop& loop;
    const entry_settings settings;
    const links& peers;
    report_newer report;
    std::shared_ptr<telemetry::logger> log;
    mailbox<entry_message> messages;
    std::unique_ptr<http::server> server;
    view_pointer view;
    standing_notice standing;
    std::optional<drain_started> draining;
    std::unordered_map<request_id, pending_pointer> pending;
    std::map<service_id, std::vector<admission::server_health>> pools;
    admission::health_limits health;
    admission::retry_budget budget;
    admission::quarantine_table quarantine;
    std::mt19937_64 generator;
    entry_counters counters;
    telemetry::counter answered_total;
    telemetry::counter not_run_total;
    telemetry::counter unknown_total;
    telemetry::counter retries_total;
    telemetry::counter first_tries_total;
    telemetry::counter cross_region_bytes_total;
    telemetry::counter in_deadline_total;
    telemetry::counter deadline_missed_total;
    telemetry::counter late_messages_total;
    telemetry::gauge in_progress;
    telemetry::latency_histogram duration;
    telemetry::metrics& registry;
    /// Counters of refusals by code, made at the first refusal with that code.
    std::map<int, telemetry::counter> refused_by_code;
};

}  // namespace greengagechute::router
