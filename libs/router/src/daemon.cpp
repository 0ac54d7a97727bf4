#include "router/daemon.h"

#include "http/client.h"
#include "peer/transport.h"
#include "platform/http_client.h"
#include "router/admin_server.h"
#include "router/codes.h"
#include "router/control_task.h"
#include "router/dispatch_task.h"
#include "router/entry_task.h"
#include "router/errors.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "upstream/client.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <random>
#include <thread>
#include <utility>

namespace greengagechute::router {

namespace {

/// Connections that a dispatcher keeps to one server; the server's slots limit its use.
constexpr std::size_t connections_per_server = 130;
/// Descriptors of the dispatch task. The slots of servers bound the connections in use to about ten
/// a server, so this is enough for about 200 servers.
constexpr std::size_t dispatch_descriptors = 2'048;
/// Time a host waits for its removal from the roster before it exits.
constexpr milliseconds leave_timeout{3'000};

http::endpoint to_endpoint(const settings::socket_address& address) {
    return {address.ip, address.port};
}

host_instance new_instance(const host_id& host) {
    std::random_device device;
    std::uint64_t number = 0;
    while (number == 0) {
        number = (std::uint64_t{device()} << 32U) | device();
    }
    return {host, incarnation(number)};
}

telemetry::level to_level(settings::log_level level) {
    switch (level) {
        case settings::log_level::debug:
            return telemetry::level::debug;
        case settings::log_level::warning:
            return telemetry::level::warning;
        case settings::log_level::error:
            return telemetry::level::error;
        case settings::log_level::info:
            break;
    }
    return telemetry::level::info;
}

entry_settings make_entry_settings(const settings::daemon_settings& from,
                                   const host_instance& self) {
    entry_settings to;
    to.self = self;
    to.listen = to_endpoint(from.host.caller_listen);
    to.server.header_bytes = from.limits.header_bytes;
    to.server.body_bytes = from.limits.body_bytes;
    to.server.connections = from.limits.caller_connections;
    to.requests.default_deadline = from.limits.default_deadline;
    to.requests.max_deadline = from.limits.max_deadline;
    to.buffered_answer_bytes = from.limits.buffered_answer_bytes;
    to.retry_budget = from.policy.retry_budget;
    to.choice.ejection = from.policy.ejection;
    return to;
}

dispatch_settings make_dispatch_settings(const settings::daemon_settings& from,
                                         const host_instance& self) {
    dispatch_settings to;
    to.self = self;
    to.times.grant_length = from.timing.grant_length;
    to.times.renew_period = from.timing.renew_period;
    to.times.suspect_after = from.timing.suspect_after;
    to.times.watch_period = from.timing.watch_period;
    to.times.watch_lost_after = from.timing.watch_lost_after;
    to.policy.order = from.policy.order == settings::queue_order::arrival
                          ? admission::queue_order::arrival
                          : admission::queue_order::shortest_expected;
    to.policy.long_work_cap = from.policy.long_work_cap;
    to.policy.fair_shares = from.policy.fair_shares;
    to.policy.admission_by_wait = from.policy.admission_by_wait;
    to.policy.slow_start = from.policy.slow_start;
    return to;
}

control_settings make_control_settings(const settings::daemon_settings& from,
                                       const host_instance& self) {
    control_settings to;
    to.self = self;
    to.region = from.host.region;
    to.data_centre = from.host.data_centre;
    for (const settings::socket_address& seed : from.peers.seeds) {
        to.seeds.push_back(seed.text());
    }
    to.heartbeat_period = from.timing.heartbeat;
    to.standing.bound = from.timing.standing;
    to.view.authority_end = from.timing.removal;
    to.view.first_decision_after = from.timing.removal;
    to.view.standing_bound = from.timing.standing;
    to.term.lease = from.timing.term;
    return to;
}

}  // namespace

struct daemon::parts {
    settings::daemon_settings settings;
    host_instance self;
    std::shared_ptr<telemetry::logger> log;
    telemetry::metrics registry;
    http::event_loop entry_loop;
    http::event_loop dispatch_loop{dispatch_descriptors};
    http::event_loop control_loop;
    std::unique_ptr<links> peers;
    std::unique_ptr<peer::transport> transport;
    std::unique_ptr<http::client> upstream_connections;
    std::unique_ptr<http::client> order_connections;
    std::unique_ptr<upstream::client> servers;
    std::unique_ptr<http::client> platform_connections;
    std::unique_ptr<platform::client> store;
    std::unique_ptr<entry_task> entry;
    std::unique_ptr<dispatch_task> dispatch;
    std::unique_ptr<control_task> control;
    std::unique_ptr<admin_server> admin;
    std::vector<std::thread> threads;
    std::function<void()> on_stopped;
    std::atomic<bool> shutting_down = false;
    std::atomic<int> tasks_busy = 2;

    bool deliver(task_name task, delivery message) {
        switch (task) {
            case task_name::entry:
                return this->entry->inbox().push(std::move(message));
            case task_name::dispatch:
                return this->dispatch->inbox().push(std::move(message));
            case task_name::control:
                break;
        }
        return this->control->inbox().push(std::move(message));
    }

    // Work of which no byte left this host did not run, so the entry task may forward it again.
    void return_unsent(const peer::message& content) {
        if (const auto* work = std::get_if<peer::forward_request>(&content)) {
            peer::refused refusal;
            refusal.request = work->request;
            refusal.state = outcome::not_run;
            refusal.code = number_of(make_error_code(router_errc::dispatcher_unreachable));
            this->entry->inbox().push(
                delivery{{this->self, this->peers->self_address()}, std::move(refusal)});
        }
    }

    void create_tasks() {
        entry_task::report_newer report_newer = [this](newer_version_seen seen) {
            this->control->inbox().push(std::move(seen));
        };
        this->entry = std::make_unique<entry_task>(
            this->entry_loop, make_entry_settings(this->settings, this->self), *this->peers,
            std::move(report_newer), this->log, this->registry);
        dispatch_task::report_event report = [this](dispatch_report event) {
            this->control->inbox().push(std::move(event));
        };
        this->dispatch = std::make_unique<dispatch_task>(
            this->dispatch_loop, make_dispatch_settings(this->settings, this->self), *this->peers,
            *this->servers, std::move(report), this->log, this->registry);
        control_outputs outputs;
        outputs.publish_view = [this](const view_pointer& view) {
            this->entry->inbox().push(view_changed{view});
            this->dispatch->inbox().push(view_changed{view});
        };
        outputs.publish_standing = [this](const standing_notice& standing) {
            this->entry->inbox().push(standing_changed{standing});
            this->dispatch->inbox().push(standing_changed{standing});
        };
        outputs.publish_quarantine = [this](const admission::loss_notice& notice) {
            this->entry->inbox().push(quarantine_learned{notice});
            this->dispatch->inbox().push(quarantine_learned{notice});
        };
        this->control = std::make_unique<control_task>(
            this->control_loop, make_control_settings(this->settings, this->self), *this->peers,
            *this->store, std::move(outputs), this->log, this->registry);
    }

    void create_admin() {
        admin_hooks hooks;
        hooks.ready = [this] {
            return !this->shutting_down && this->control->ready(std::chrono::steady_clock::now());
        };
        hooks.metrics_text = [this] { return this->registry.serialise(); };
        hooks.dump = [this](std::function<void(std::string)> done) { this->dump(std::move(done)); };
        hooks.status = [this](std::function<void(std::string)> done) {
            this->control->inbox().push(status_requested{std::move(done)});
        };
        hooks.submit = [this](std::string submission, std::string text,
                              std::function<void(release::submission_answer)> done) {
            this->control->inbox().push(
                note_order{std::move(submission), std::move(text), std::move(done)});
        };
        hooks.find_submission =
            [this](std::string submission,
                   std::function<void(const result<release::submission_answer>&)> done) {
                this->control->inbox().push(
                    submission_requested{std::move(submission), std::move(done)});
            };
        hooks.drain = [this] { this->begin_shutdown(); };
        this->admin = std::make_unique<admin_server>(
            this->control_loop, this->settings.operators.key, std::move(hooks));
    }

    // Collects the dumps of the three tasks on the control task's thread.
    void dump(std::function<void(std::string)> done) {
        struct collection {
            nlohmann::json state;
            std::size_t missing = 3;
            std::function<void(std::string)> done;
        };
        const auto collected = std::make_shared<collection>();
        collected->done = std::move(done);
        collected->state["host"] = this->self.host.value();
        collected->state["incarnation"] = this->self.instance.value();
        const auto counters = this->peers->counters();
        collected->state["peers"] = {{"messages_sent", counters.messages_sent},
                                     {"messages_received", counters.messages_received},
                                     {"bytes_sent", counters.bytes_sent},
                                     {"bytes_received", counters.bytes_received},
                                     {"refused_malformed", counters.refused_malformed},
                                     {"refused_unauthenticated", counters.refused_unauthenticated},
                                     {"refused_replayed", counters.refused_replayed},
                                     {"queue_full", counters.queue_full}};
        const auto collect = [this, collected](const char* task) {
            return dump_requested{[this, collected, task](std::string text) {
                this->control_loop.post([collected, task, text = std::move(text)] {
                    collected->state[task] = nlohmann::json::parse(text);
                    if (--collected->missing == 0) {
                        collected->done(collected->state.dump());
                    }
                });
            }};
        };
        this->entry->inbox().push(collect("entry"));
        this->dispatch->inbox().push(collect("dispatch"));
        this->control->inbox().push(collect("control"));
    }

    void begin_shutdown() {
        if (this->shutting_down.exchange(true)) {
            return;
        }
        telemetry::log_info(*this->log, "shutdown_started", {});
        this->control_loop.post([this] {
            this->control_loop.call_after(this->settings.timing.drain_delay,
                                          [this] { this->drain_tasks(); });
        });
    }

    void drain_tasks() {
        const auto drained = [this] {
            if (--this->tasks_busy == 0) {
                this->control_loop.post([this] { this->leave_roster(); });
            }
        };
        this->entry->inbox().push(drain_started{drained});
        this->dispatch->inbox().push(dispatch_drain_started{
            std::chrono::steady_clock::now() + this->settings.limits.max_deadline, drained});
    }

    void leave_roster() {
        const auto finished = std::make_shared<bool>(false);
        const auto finish = [this, finished] {
            if (!std::exchange(*finished, true)) {
                telemetry::log_info(*this->log, "shutdown_finished", {});
                this->on_stopped();
            }
        };
        this->control->inbox().push(leave_ordered{finish});
        this->control_loop.call_after(leave_timeout, finish);
    }
};

daemon::daemon(std::unique_ptr<parts> created) : implementation(std::move(created)) {}

daemon::~daemon() {
    this->stop();
}

result<std::unique_ptr<daemon>> daemon::create(const settings::daemon_settings& settings) {
    auto created = std::make_unique<parts>();
    parts& all = *created;
    all.settings = settings;
    all.self = new_instance(settings.host.name);

    telemetry::logger_options log_options;
    log_options.minimum = to_level(settings.log.level);
    log_options.directory = settings.log.directory;
    log_options.host = settings.host.name.value();
    auto log = telemetry::logger::create(log_options);
    if (!log) {
        return log.error();
    }
    all.log = *log;

    all.peers = std::make_unique<links>(all.self, [&all](task_name task, delivery message) {
        return all.deliver(task, std::move(message));
    });

    http::client_limits upstream_limits;
    upstream_limits.connections_per_endpoint = connections_per_server;
    all.upstream_connections = http::client::create(all.dispatch_loop, upstream_limits);
    all.order_connections = http::client::create(all.dispatch_loop, {});
    all.servers = upstream::make_http_client(*all.upstream_connections, *all.order_connections, {});
    all.platform_connections = http::client::create(all.control_loop, {});
    all.store = platform::make_http_client(
        *all.platform_connections,
        {to_endpoint(settings.platform.endpoint), settings.platform.timeout});
    all.create_tasks();

    peer::transport_settings transport_settings;
    transport_settings.self = all.self;
    transport_settings.listen = settings.host.peer_listen.text();
    transport_settings.key = settings.peers.key;
    auto transport = peer::transport::create(
        transport_settings,
        [&all](const peer::sender& from, peer::message content) {
            all.peers->receive(from, std::move(content));
        },
        [&all](const std::string&, const peer::message& content) { all.return_unsent(content); });
    if (!transport) {
        return transport.error();
    }
    all.transport = std::move(*transport);
    all.peers->set_transport(all.transport.get());

    if (const status failed = all.entry->start()) {
        return failed;
    }
    all.create_admin();
    if (const status failed = all.admin->start(to_endpoint(settings.host.admin_listen))) {
        return failed;
    }
    return std::unique_ptr<daemon>(new daemon(std::move(created)));
}

void daemon::start(std::function<void()> on_stopped) {
    parts& all = *this->implementation;
    all.on_stopped = std::move(on_stopped);
    all.dispatch->start();
    all.control->start();
    for (http::event_loop* loop : {&all.entry_loop, &all.dispatch_loop, &all.control_loop}) {
        all.threads.emplace_back([loop] { loop->run(); });
    }
    telemetry::log_info(*all.log, "daemon_started",
                        {{"callers", all.settings.host.caller_listen.text()},
                         {"admin", all.settings.host.admin_listen.text()},
                         {"peers", all.peers->self_address()},
                         {"incarnation", all.self.instance.value()}});
}

void daemon::shut_down() {
    this->implementation->begin_shutdown();
}

void daemon::stop() {
    parts& all = *this->implementation;
    all.entry_loop.stop();
    all.dispatch_loop.stop();
    all.control_loop.stop();
    for (std::thread& thread : all.threads) {
        thread.join();
    }
    all.threads.clear();
    all.transport.reset();
}

}  // namespace greengagechute::router
