#include "gateway/gateway.h"

#include "gateway/directory.h"
#include "gateway/table_watch.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Changes of servers within this time are gathered into one call to the store. Calls grow with
/// the hosts; a leaving server serves for 2 s or more, and must be known well before.
constexpr milliseconds gather_per_host{8};
constexpr milliseconds least_gather{80};
constexpr milliseconds most_gather{700};
constexpr milliseconds gather_none{0};
/// The coordinator asks the store this often whether the servers have changed, since other hosts
/// depend on its answer: twice in the time after which they do not any more.
constexpr milliseconds coordinator_wait{500};
/// The platform sends new callers until it has missed two answers, one a second.
constexpr milliseconds callers_stop{2'500};
constexpr milliseconds drain_poll{50};
/// Requests are ended this long before the forced end of the process, and the process ends after
/// the last answers have left.
constexpr milliseconds answer_margin{600};
constexpr milliseconds end_margin{400};
constexpr milliseconds expire_every{50};
/// Of the schema in docs/logs.md; raised when a field changes its meaning or goes.
constexpr int log_version = 1;

wire::response text_reply(int status, std::string_view reason, std::string body) {
    wire::response reply;
    reply.code = status;
    reply.reason = reason;
    reply.body = std::move(body);
    return reply;
}

}  // namespace

struct gateway::state {
    wire::event_loop& loop;
    telemetry::logger& log;
    telemetry::metrics& numbers;
    row_format format;
    gateway_settings settings;
    wire::client upstreams;
    wire::client peers;
    directory servers;
    front requests;
    coordinator ownership;
    table_watch catalogue_watch;
    table_watch server_watch;
    table_watch term_watch;
    wire::server front_server;
    wire::server ready_server;
    wire::server peer_server;
    std::shared_ptr<const catalogue> config;
    /// The directory was complete then.
    time_point servers_as_of;
    /// Until then the coordinator's answers tell of the servers.
    time_point relayed_until;
    milliseconds relay_lapse = coordinator_settings{}.relay_lapse;
    /// Empty until the store has been reached.
    std::optional<bool> store_reachable;
    /// A watch has failed and was not answered since.
    bool store_failing = false;
    bool draining = false;
    time_point drain_began;
    bool reading_stopped = false;
    bool ended_open = false;

    state(wire::event_loop& owner_loop, table_store& store, server_orders& orders,
          telemetry::logger& logger, telemetry::metrics& metrics, const row_format& rows,
          const gateway_settings& initial, std::uint64_t seed)
        : loop(owner_loop),
          log(logger),
          numbers(metrics),
          format(rows),
          settings(initial),
          upstreams(owner_loop, {}),
          peers(owner_loop, {}),
          servers(directory_settings{}),
          requests(owner_loop, this->upstreams, logger, metrics, rows.headers,
                   make_front_settings(initial), seed),
          ownership(
              owner_loop, this->peers, store, orders, this->servers, logger,
              make_coordinator_settings(initial),
              [this](const service_id& service, ranges::range_table table) {
                  this->requests.set_owners(service, std::move(table));
              },
              [this](const directory_update& update) { this->on_relayed(update); },
              [this] {
                  host_report seen;
                  seen.keys = this->requests.take_keys();
                  seen.speeds = this->requests.take_speeds();
                  seen.ended = this->requests.take_ended();
                  return seen;
              },
              [this](int hosts) {
                  this->requests.set_hosts(hosts);
                  const milliseconds gather =
                      std::clamp(hosts * gather_per_host, least_gather, most_gather);
                  this->ownership.set_gather(gather);
                  this->server_watch.set_gather(this->ownership.coordinating() ? least_gather
                                                                               : gather);
              },
              seed + 1),
          catalogue_watch(owner_loop, store, logger, rows.catalogue_table, gather_none,
                          [this](const table_update& update) { this->on_catalogue(update); }),
          server_watch(owner_loop, store, logger, rows.server_table, most_gather,
                       [this](const table_update& update) { this->on_servers(update); }),
          term_watch(owner_loop, store, logger, std::string(term_table), gather_none,
                     [this](const table_update& update) {
                         this->ownership.on_term(update.content, update.whole);
                     }),
          front_server(owner_loop,
                       [this](const std::shared_ptr<wire::incoming>& request) {
                           this->requests.accept(request);
                       }),
          ready_server(owner_loop,
                       [this](const std::shared_ptr<wire::incoming>& request) {
                           request->answer(this->is_ready()
                                               ? text_reply(200, "OK", "")
                                               : text_reply(503, "Service Unavailable", ""));
                       }),
          peer_server(owner_loop, [this](const std::shared_ptr<wire::incoming>& request) {
              this->on_peer(request);
          }) {}

    static front_settings make_front_settings(const gateway_settings& initial) {
        front_settings made;
        made.data_centre = initial.data_centre;
        made.regions = initial.regions;
        made.retries = initial.retries;
        return made;
    }

    static coordinator_settings make_coordinator_settings(const gateway_settings& initial) {
        coordinator_settings made;
        made.host = initial.host;
        made.address = initial.peers;
        made.power = initial.power;
        made.keeper.lease_duration = std::min(made.keeper.lease_duration, initial.longest_lease);
        made.keeper.outage_lease_duration =
            std::min(made.keeper.outage_lease_duration, initial.longest_lease);
        return made;
    }

    bool is_ready() const { return !this->draining && this->config && this->servers.loaded(); }

    void on_catalogue(const table_update& update) {
        for (const stored_row& row : update.content.rows) {
            if (row.key != this->format.catalogue_row || row.removed) {
                continue;
            }
            std::string reason;
            auto read = this->format.catalogue_of(row.value, reason);
            if (!read) {
                telemetry::log_error(this->log, "configuration_refused",
                                     {{"row_version", row.version}, {"reason", reason}});
                continue;
            }
            if (this->config && read->version <= this->config->version) {
                if (read->version < this->config->version) {
                    telemetry::log_warning(
                        this->log, "configuration_older",
                        {{"version", read->version}, {"in_force", this->config->version}});
                }
                continue;
            }
            index_routes(*read);
            telemetry::log_info(this->log, "configuration_in_force",
                                {{"version", read->version},
                                 {"routes", read->routes.size()},
                                 {"services", read->services.size()}});
            this->config = std::make_shared<const catalogue>(std::move(*read));
            wire::server_limits limits;
            limits.message = {this->config->limits.header_bytes, this->config->limits.body_bytes};
            limits.header_timeout = this->config->limits.header_timeout;
            limits.idle_timeout = this->config->limits.idle_timeout;
            this->front_server.set_limits(limits);
            this->requests.set_catalogue(this->config);
            this->ownership.set_catalogue(this->config);
        }
    }

    void on_servers(const table_update& update) {
        const time_point now = wire::event_loop::now();
        std::vector<server_change> changes;
        for (const stored_row& row : update.content.rows) {
            std::optional<server_entry> entry;
            if (!row.removed) {
                std::string reason;
                entry = this->format.server_of(row, reason);
                if (!entry) {
                    telemetry::log_warning(this->log, "server_entry_skipped",
                                           {{"server", row.key}, {"reason", reason}});
                }
            }
            const std::uint64_t version = row.version != 0 ? row.version : update.content.version;
            changes.push_back({server_id(row.key), std::move(entry), version});
        }
        if (update.after_outage) {
            this->servers.note_regained(now);
        }
        if (update.whole) {
            this->servers.replace(changes, update.content.version, now);
        } else {
            this->log_changes(changes, "store");
            this->servers.apply(changes, update.content.version, now);
        }
        this->servers_as_of = now;
        this->servers_changed(update.since, now);
    }

    /// The coordinator tells of the servers.
    void on_relayed(const directory_update& update) {
        const time_point now = wire::event_loop::now();
        const time_point as_of = now - update.age;
        this->relayed_until = std::max(this->relayed_until, as_of + this->relay_lapse);
        this->log_changes(update.changes, "coordinator");
        this->servers.apply(update, now);
        this->server_watch.skip_to(update.version, as_of);
        const time_point before =
            std::exchange(this->servers_as_of, std::max(this->servers_as_of, as_of));
        if (!update.changes.empty()) {
            this->servers_changed(before, now);
        }
    }

    void log_changes(const std::vector<server_change>& changes, std::string_view source) {
        for (const server_change& change : changes) {
            telemetry::log_info(this->log, "server_changed",
                                {{"server", change.id.value()},
                                 {"present", change.entry.has_value()},
                                 {"draining", change.entry && change.entry->draining},
                                 {"born", change.entry ? change.entry->life.start_time_ms : 0},
                                 {"version", change.version},
                                 {"source", source}});
        }
    }

    /// Calls to the store grow with the hosts that follow the servers in it: only the coordinator
    /// does, and hosts that it does not tell of them. While the store is away, one watch looks for
    /// its return.
    void choose_source(time_point now) {
        const bool relayed = !this->ownership.coordinating() && now < this->relayed_until;
        const bool reachable = this->term_watch.reachable();
        if (reachable && this->store_reachable == false) {
            // The watch of the servers may not have seen the outage.
            this->servers.note_regained(now);
        }
        if (reachable || this->store_reachable) {
            this->store_reachable = reachable;
        }
        const bool failing = this->catalogue_watch.failing() || this->server_watch.failing() ||
                             this->term_watch.failing();
        if (this->store_failing && !failing) {
            for (table_watch* watch :
                 {&this->catalogue_watch, &this->server_watch, &this->term_watch}) {
                watch->ask_again();
            }
        }
        this->store_failing = failing;
        const bool away = this->store_reachable == false;
        this->catalogue_watch.set_paused(away);
        this->server_watch.set_paused(relayed || away);
        this->server_watch.set_wait(this->ownership.coordinating() ? coordinator_wait : watch_wait);
        this->ownership.set_servers_heard(relayed ? std::nullopt : this->server_watch.heard());
    }

    /// @param changed  earliest time at which the changes may have happened
    void servers_changed(time_point changed, time_point now) {
        this->requests.set_servers(this->servers, changed, now);
        this->ownership.on_servers();
    }

    void expire_servers() {
        const time_point now = wire::event_loop::now();
        this->log.flush();
        this->ownership.set_store_reachable(this->term_watch.reachable());
        this->choose_source(now);
        if (this->servers.expire(now)) {
            this->servers_changed(now, now);
        }
        this->loop.call_after(expire_every, [this] { this->expire_servers(); });
    }

    void on_peer(const std::shared_ptr<wire::incoming>& request) {
        const std::string& target = request->message().target;
        if (target == "/coordination/report") {
            host_report report;
            if (!decode(request->message().body, report)) {
                request->answer(text_reply(400, "Bad Request", "the report is malformed\n"));
                return;
            }
            this->ownership.on_report(
                report,
                [request](const report_answer& answer) {
                    request->answer(text_reply(200, "OK", encode(answer)));
                },
                wire::event_loop::now());
        } else if (target == "/metrics") {
            request->answer(text_reply(200, "OK", this->numbers.serialise()));
        } else {
            request->answer(text_reply(404, "Not Found", ""));
        }
    }

    void poll_drain() {
        const milliseconds since =
            std::chrono::duration_cast<milliseconds>(wire::event_loop::now() - this->drain_began);
        // Nobody renews leases after this process if the store is away; then it stays while it may.
        const bool answered =
            this->requests.open_requests() == 0 && !this->ownership.coordinating();
        if (since > callers_stop && !this->reading_stopped) {
            // What is taken later could not be answered before the process ends.
            this->reading_stopped = true;
            this->front_server.stop_reading();
        }
        if (since > this->settings.grace - std::min(answer_margin, this->settings.grace / 4) &&
            !this->ended_open) {
            this->ended_open = true;
            this->requests.end_open(wire::event_loop::now());
        }
        if ((since > callers_stop && answered && this->front_server.close_idle()) ||
            since > this->settings.grace - end_margin) {
            telemetry::log_info(this->log, "stopped",
                                {{"open_requests", this->requests.open_requests()}});
            this->loop.stop();
            return;
        }
        this->loop.call_after(drain_poll, [this] { this->poll_drain(); });
    }
};

gateway::gateway(wire::event_loop& loop, table_store& store, server_orders& orders,
                 telemetry::logger& log, telemetry::metrics& numbers, const row_format& format,
                 const gateway_settings& settings, std::uint64_t seed)
    : implementation(
          std::make_unique<state>(loop, store, orders, log, numbers, format, settings, seed)) {}

gateway::~gateway() = default;

status gateway::start() {
    state& own = *this->implementation;
    for (const auto& [server, address] : {std::pair{&own.front_server, &own.settings.front},
                                          std::pair{&own.ready_server, &own.settings.ready},
                                          std::pair{&own.peer_server, &own.settings.peers}}) {
        if (const status failed = server->open(*address)) {
            telemetry::log_error(own.log, "listen_failed",
                                 {{"ip", address->ip}, {"port", address->port}});
            return failed;
        }
    }
    own.catalogue_watch.start();
    own.server_watch.start();
    own.term_watch.start();
    own.ownership.start();
    own.expire_servers();
    telemetry::log_info(own.log, "started",
                        {{"front", own.settings.front.port},
                         {"peers", own.settings.peers.port},
                         {"data_centre", own.settings.data_centre.value()},
                         {"log_version", log_version}});
    return {};
}

void gateway::drain() {
    state& own = *this->implementation;
    if (own.draining) {
        return;
    }
    own.draining = true;
    own.drain_began = wire::event_loop::now();
    telemetry::log_info(own.log, "stopping", {{"open_requests", own.requests.open_requests()}});
    own.ownership.resign();
    own.front_server.start_closing();
    own.poll_drain();
}

}  // namespace greengagechute::gateway
