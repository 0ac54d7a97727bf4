#include "gateway/gateway.h"

#include "gateway/directory.h"
#include "gateway/table_watch.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Changes of servers within this delay are read with one call to the store. The delay grows with
/// the number of hosts to bound the rate of calls. It must stay well below 2 s, the minimum time
/// for which a draining server still serves.
constexpr milliseconds batch_delay_per_host{8};
constexpr milliseconds min_batch_delay{80};
constexpr milliseconds max_batch_delay{700};
constexpr milliseconds no_batch_delay{0};
/// Longest time for which the store holds the coordinator's calls for changes of a table. Each
/// answer confirms the table, to the other hosts as well.
constexpr milliseconds coordinator_servers_wait{500};
constexpr milliseconds coordinator_catalogue_wait{750};
constexpr milliseconds coordinator_term_wait{1'500};
/// Time in which the store answers a call that it does not hold, and which is not lost: two round
/// trips between regions, and fifty times the usual time in the store.
constexpr milliseconds store_answer_time{350};
/// Time from the store's answer to the coordinator until another host learns of it: a held report
/// and its way.
constexpr milliseconds relay_time{450};
/// Hosts that ask because the coordinator has fallen silent spread their calls over this time.
constexpr milliseconds unconfirmed_spread_per_host{2};
constexpr milliseconds min_unconfirmed_spread{300};
constexpr milliseconds max_unconfirmed_spread{3'000};
/// Longest time for which the store holds the calls of a host to which the coordinator confirms
/// nothing. It grows with the number of hosts to bound the rate of calls.
constexpr milliseconds own_wait_per_host{4};
constexpr milliseconds max_own_wait{5'000};
/// The platform checks readiness once a second and stops sending new callers after two failed
/// checks.
constexpr milliseconds new_callers_period{2'500};
constexpr milliseconds drain_poll_interval{50};
/// Open requests are aborted `abort_margin` before the process is forcibly terminated. The event
/// loop stops once their responses are sent, and at the latest `stop_margin` before the
/// termination.
constexpr milliseconds abort_margin{600};
constexpr milliseconds stop_margin{400};
constexpr milliseconds update_interval{50};
/// Longest time by which the coordinator and the store's answer to this host's own watch may differ
/// in telling of a new configuration.
constexpr milliseconds max_catalogue_lag{200};
/// Part of the first quarantine by which hosts spread the ends of quarantines.
constexpr double max_quarantine_stagger = 0.5;
/// Version of the log schema in docs/logs.md; incremented when a field is removed or changes its
/// meaning.
constexpr int log_version = 1;

/// Time after which a host asks the store itself about a table that neither the store nor the
/// coordinator has confirmed.
/// @param wait  longest time for which the store holds the calls that confirm it
constexpr milliseconds max_unconfirmed(milliseconds wait) {
    return wait + store_answer_time + relay_time;
}

/// A host's place among all hosts, from 0 to 1.
double position_of(std::uint64_t seed) {
    std::mt19937_64 random(seed + 2);
    return std::uniform_real_distribution<double>(0, 1)(random);
}

wire::response make_response(int status, std::string_view reason, std::string body) {
    wire::response reply;
    reply.code = status;
    reply.reason = reason;
    reply.body = std::move(body);
    return reply;
}

}  // namespace

std::size_t response_memory(std::size_t memory_bytes) {
    // Heads, the copy of a complete body and answers that wait for slow callers come on top.
    constexpr std::size_t memory_per_budget = 5;
    return std::min(wire::receive_budget::default_bytes, memory_bytes / memory_per_budget);
}

struct gateway::state {
    wire::event_loop& loop;
    telemetry::logger& log;
    telemetry::metrics& metrics;
    row_format format;
    gateway_settings settings;
    wire::client upstreams;
    wire::client peers;
    directory servers;
    evacuation_table evacuations;
    front frontend;
    coordinator ownership;
    table_watch catalogue_watch;
    table_watch server_watch;
    table_watch term_watch;
    wire::server front_server;
    wire::server ready_server;
    wire::server peer_server;
    std::shared_ptr<const catalogue> config;
    /// The newest configuration row that was read, valid or not; its number is 0 before.
    stored_row catalogue_row;
    /// The coordinator was asked for its configuration row.
    bool reading_catalogue = false;
    /// Since when the coordinator has named a newer configuration row than this host has read.
    std::optional<time_point> catalogue_missing_since;
    /// `update_watches` has seen this host coordinate.
    bool was_coordinating = false;
    /// Time at which the directory was last known to be complete.
    time_point servers_as_of;
    /// Until this time the server directory is taken from the coordinator's answers.
    time_point relayed_until;
    milliseconds relay_max_age = coordinator_settings{}.relay_max_age;
    /// Until these times the coordinator's answers confirm the configuration and the term.
    time_point catalogue_confirmed_until;
    time_point term_confirmed_until;
    int host_count = 1;
    /// This host's place in times over which hosts spread what they would do all at once.
    double spread_position = 0;
    /// Nullopt until the store has been reached for the first time.
    std::optional<bool> store_reachable;
    /// At least one watch has failed and has not been answered since.
    bool store_failing = false;
    bool draining = false;
    time_point drain_began;
    bool stopped_reading = false;
    bool open_requests_aborted = false;
    telemetry::counter cut_connections;

    state(wire::event_loop& host_loop, table_store& store, order_sender& orders,
          telemetry::logger& logger, telemetry::metrics& initial_metrics, const row_format& schema,
          const gateway_settings& host_settings, std::uint64_t seed)
        : loop(host_loop),
          log(logger),
          metrics(initial_metrics),
          format(schema),
          settings(host_settings),
          upstreams(host_loop, {}, host_settings.responses),
          peers(host_loop, {}, host_settings.responses),
          servers(directory_settings{}),
          frontend(host_loop, this->upstreams, logger, initial_metrics, schema.headers,
                   front_settings_for(host_settings, seed), seed),
          ownership(host_loop, this->peers, store, orders, this->servers, logger,
                    coordinator_settings_for(host_settings), this->make_coordinator_handlers(),
                    seed + 1),
          catalogue_watch(host_loop, store, logger, schema.catalogue_table, no_batch_delay,
                          [this](const table_update& update) { this->on_catalogue(update); }),
          server_watch(host_loop, store, logger, schema.server_table, max_batch_delay,
                       [this](const table_update& update) { this->on_directory_changed(update); }),
          term_watch(host_loop, store, logger, std::string(term_table), no_batch_delay,
                     [this](const table_update& update) {
                         this->on_store_era(update.content.version.era);
                         this->ownership.on_term(update.content, update.whole);
                     }),
          front_server(host_loop,
                       [this](const std::shared_ptr<wire::incoming>& request) {
                           this->frontend.accept(request);
                       }),
          ready_server(host_loop,
                       [this](const std::shared_ptr<wire::incoming>& request) {
                           request->answer(this->is_ready()
                                               ? make_response(200, "OK", "")
                                               : make_response(503, "Service Unavailable", ""));
                       }),
          peer_server(host_loop, [this](const std::shared_ptr<wire::incoming>& request) {
              this->on_peer(request);
          }) {
        this->spread_position = position_of(seed);
        if (const auto counter = initial_metrics.add_counter(
                "greengagechute_caller_connections_cut_total",
                "Connections of callers that ended with input that got no answer.")) {
            this->cut_connections = *counter;
        }
        this->front_server.on_closed(
            [this](const wire::closed_connection& ended) { this->on_caller_connection(ended); });
    }

    coordinator_handlers make_coordinator_handlers() {
        coordinator_handlers handlers;
        handlers.owners_changed = [this](const service_id& service, ranges::range_table table) {
            this->frontend.set_owners(service, std::move(table));
        };
        handlers.servers_relayed = [this](const directory_update& update) {
            this->on_relayed_servers(update);
        };
        handlers.limits_changed = [this](const limits_update& update) {
            this->frontend.set_limits(update, wire::event_loop::now());
        };
        handlers.catalogue_named = [this](const store_version& version,
                                          std::optional<milliseconds> age) {
            this->on_catalogue_named(version, age, wire::event_loop::now());
        };
        handlers.term_confirmed = [this](milliseconds age) {
            const time_point as_of = wire::event_loop::now() - age;
            this->term_watch.confirm(as_of);
            this->term_confirmed_until = as_of + max_unconfirmed(coordinator_term_wait);
        };
        handlers.store_era_changed = [this](std::uint64_t era) { this->on_store_era(era); };
        handlers.suspects_changed = [this](const suspects_update& update) {
            this->frontend.set_suspects(update, wire::event_loop::now());
        };
        handlers.losses_unreported = [this](const std::vector<request_loss>& losses) {
            this->frontend.return_losses(losses);
        };
        handlers.evacuations_relayed = [this](const std::vector<evacuation_change>& changes) {
            const time_point now = wire::event_loop::now();
            this->evacuations_changed(apply(this->evacuations, changes, now), "coordinator", now);
        };
        handlers.allowances_lent = [this](const std::vector<lent_allowance>& lent,
                                          time_point from) {
            std::vector<allowance_loan> loans;
            loans.reserve(lent.size());
            for (const lent_allowance& loan : lent) {
                loans.push_back({loan.server, loan.requests_per_s, from + loan.valid_for});
            }
            this->frontend.add_loans(loans, wire::event_loop::now());
        };
        handlers.hosts_counted = [this](int hosts) {
            this->host_count = hosts;
            this->frontend.set_host_count(hosts);
            const milliseconds batch_delay =
                std::clamp(hosts * batch_delay_per_host, min_batch_delay, max_batch_delay);
            this->ownership.set_batch_delay(batch_delay);
            this->server_watch.set_batch_delay(this->ownership.coordinating() ? min_batch_delay
                                                                              : batch_delay);
        };
        handlers.collect_report = [this] {
            host_report local_report;
            local_report.keys = this->frontend.take_keys();
            local_report.speeds = this->frontend.take_service_times();
            local_report.queues = this->frontend.take_queues();
            local_report.ended = this->frontend.take_ended_servers();
            local_report.leaving = this->frontend.leaving_servers();
            local_report.losses = this->frontend.take_losses();
            local_report.cleared = this->frontend.take_cleared();
            return local_report;
        };
        return handlers;
    }

    /// Logs the end of a connection if this host left input of the caller without an answer.
    void on_caller_connection(const wire::closed_connection& ended) {
        if (ended.reason == wire::close_reason::caller ||
            (ended.unanswered == 0 && ended.discarded == 0)) {
            return;
        }
        this->cut_connections.add();
        telemetry::log_warning(this->log, "caller_connection_cut",
                               {{"reason", wire::to_text(ended.reason)},
                                {"unanswered", ended.unanswered},
                                {"discarded", ended.discarded}});
    }

    static front_settings front_settings_for(const gateway_settings& host_settings,
                                             std::uint64_t seed) {
        front_settings made;
        made.quarantine.stagger = std::chrono::duration_cast<milliseconds>(
            made.quarantine.duration * max_quarantine_stagger * position_of(seed));
        made.data_centre = host_settings.data_centre;
        made.regions = host_settings.regions;
        made.retries = host_settings.retries;
        return made;
    }

    static coordinator_settings coordinator_settings_for(const gateway_settings& host_settings) {
        coordinator_settings made;
        made.host = host_settings.host;
        made.address = host_settings.peers;
        made.capacity = host_settings.capacity;
        made.data_centre = host_settings.data_centre;
        made.regions = host_settings.regions;
        made.keeper.lease_duration =
            std::min(made.keeper.lease_duration, host_settings.max_lease_duration);
        made.keeper.outage_lease_duration =
            std::min(made.keeper.outage_lease_duration, host_settings.max_lease_duration);
        return made;
    }

    bool is_ready() const { return !this->draining && this->config && this->servers.loaded(); }

    /// Reads the tables again whose content is from before the store came back from a copy.
    void on_store_era(std::uint64_t era) {
        for (table_watch* watch :
             {&this->catalogue_watch, &this->server_watch, &this->term_watch}) {
            watch->reload_before(era);
        }
    }

    void on_catalogue(const table_update& update) {
        this->on_store_era(update.content.version.era);
        for (const stored_row& row : update.content.rows) {
            if (row.key == this->format.catalogue_row && !row.removed) {
                this->apply_catalogue_row(row, "store", update.waited);
            }
        }
        this->apply_evacuation_rows(update);
    }

    void apply_evacuation_rows(const table_update& update) {
        const std::string& prefix = this->format.evacuation_prefix;
        if (prefix.empty()) {
            return;
        }
        std::vector<evacuation_change> changes;
        for (const stored_row& row : update.content.rows) {
            if (row.key.starts_with(prefix) && row.key.size() > prefix.size()) {
                changes.push_back({data_centre_id(row.key.substr(prefix.size())), !row.removed,
                                   row.version.number != 0 ? row.version : update.content.version});
            }
        }
        const time_point now = wire::event_loop::now();
        this->evacuations_changed(
            update.whole ? replace(this->evacuations, changes, update.content.version, now)
                         : apply(this->evacuations, changes, now),
            "store", now);
    }

    /// @param source  who told it, for the log
    void evacuations_changed(const std::vector<data_centre_id>& changed, std::string_view source,
                             time_point now) {
        // Also without a change: the version may be newer.
        this->ownership.set_evacuations(this->evacuations);
        if (changed.empty()) {
            return;
        }
        for (const data_centre_id& data_centre : changed) {
            const bool evacuated = this->evacuations.data_centres.at(data_centre).evacuated;
            telemetry::log_info(this->log, "evacuation_changed",
                                {{"data_centre", data_centre.value()},
                                 {"evacuated", evacuated},
                                 {"source", source}});
        }
        this->frontend.set_evacuations(this->evacuations, now);
    }

    /// @param source  who told it, for the log
    /// @param waited  time from the call that brought the row to its answer
    void apply_catalogue_row(const stored_row& row, std::string_view source, milliseconds waited) {
        if (row.version <= this->catalogue_row.version) {
            return;
        }
        this->catalogue_row = row;
        this->ownership.set_catalogue_version(row.version);
        std::string reason;
        auto read = this->format.parse_catalogue(row.value, reason);
        if (!read) {
            telemetry::log_error(this->log, "configuration_refused",
                                 {{"row_version", row.version.number}, {"reason", reason}});
            return;
        }
        if (this->config && read->version <= this->config->version) {
            if (read->version < this->config->version) {
                telemetry::log_warning(
                    this->log, "configuration_older",
                    {{"version", read->version}, {"in_force", this->config->version}});
            }
            return;
        }
        index_routes(*read);
        telemetry::log_info(this->log, "configuration_in_force",
                            {{"version", read->version},
                             {"row_version", row.version.number},
                             {"source", source},
                             {"waited", waited},
                             {"routes", read->routes.size()},
                             {"services", read->services.size()},
                             {"idle_limit", read->limits.idle_timeout}});
        this->config = std::make_shared<const catalogue>(std::move(*read));
        wire::server_limits limits;
        limits.message = {this->config->limits.header_bytes, this->config->limits.body_bytes};
        limits.header_timeout = this->config->limits.header_timeout;
        limits.idle_timeout = this->config->limits.idle_timeout;
        this->front_server.set_limits(limits);
        this->frontend.set_catalogue(this->config);
        this->ownership.set_catalogue(this->config);
    }

    /// Asks the store again if the coordinator has read a configuration that this host still lacks
    /// after the time in which its own watch should have returned it: the store may have forgotten
    /// the pending call, or its connection may be silent.
    void on_catalogue_named(const store_version& named, std::optional<milliseconds> age,
                            time_point now) {
        if (named <= this->catalogue_row.version) {
            this->catalogue_missing_since.reset();
            if (age) {
                this->catalogue_watch.confirm(now - *age);
                this->catalogue_confirmed_until =
                    now - *age + max_unconfirmed(coordinator_catalogue_wait);
            }
            return;
        }
        if (!this->catalogue_missing_since) {
            this->catalogue_missing_since = now;
        } else if (now - *this->catalogue_missing_since >= max_catalogue_lag) {
            this->catalogue_watch.poll_now();
            if (now - *this->catalogue_missing_since >= max_catalogue_lag + store_answer_time) {
                this->read_catalogue_from_coordinator();
            }
        }
    }

    /// For a host that the store does not answer.
    void read_catalogue_from_coordinator() {
        if (this->reading_catalogue) {
            return;
        }
        this->reading_catalogue = true;
        this->ownership.read_catalogue(
            [this, asked_at = wire::event_loop::now()](const std::optional<stored_row>& row) {
                this->reading_catalogue = false;
                if (row && row->key == this->format.catalogue_row) {
                    this->on_store_era(row->version.era);
                    this->apply_catalogue_row(
                        *row, "coordinator",
                        std::chrono::floor<milliseconds>(wire::event_loop::now() - asked_at));
                }
            });
    }

    void on_directory_changed(const table_update& update) {
        this->on_store_era(update.content.version.era);
        const time_point now = wire::event_loop::now();
        std::vector<server_change> changes;
        for (const stored_row& row : update.content.rows) {
            std::optional<server_entry> entry;
            if (!row.removed) {
                std::string reason;
                entry = this->format.parse_server_entry(row, reason);
                if (!entry) {
                    telemetry::log_warning(this->log, "server_entry_skipped",
                                           {{"server", row.key}, {"reason", reason}});
                }
            }
            const store_version version =
                row.version.number != 0 ? row.version : update.content.version;
            changes.push_back({server_id(row.key), std::move(entry), version});
        }
        if (update.after_outage) {
            this->servers.note_store_recovered(now);
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

    /// Applies changes of the server directory received from the coordinator.
    void on_relayed_servers(const directory_update& update) {
        if (update.version.era != this->servers.version().era) {
            // Versions of different eras of the store cannot be joined.
            return;
        }
        const time_point now = wire::event_loop::now();
        const time_point as_of = now - update.age;
        this->relayed_until = std::max(this->relayed_until, as_of + this->relay_max_age);
        this->log_changes(update.changes, "coordinator");
        this->servers.apply(update, now);
        this->server_watch.advance_to(update.version, as_of);
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
                                 {"version", change.version.number},
                                 {"era", change.version.era},
                                 {"source", source}});
        }
    }

    /// Selects which watches run, to keep the number of calls to the store independent of the
    /// number of hosts: the servers are watched only by the coordinator and by hosts that it
    /// doesn't relay them to. While the store is unavailable, only the watch of the term detects
    /// its return.
    void update_watches(time_point now) {
        const bool coordinating = this->ownership.coordinating();
        const bool relayed = !coordinating && now < this->relayed_until;
        const bool reachable = this->term_watch.reachable();
        if (reachable && this->store_reachable == false) {
            // The watch of the servers may have been paused during the outage.
            this->servers.note_store_recovered(now);
        }
        if (reachable || this->store_reachable) {
            this->store_reachable = reachable;
        }
        const bool failing = this->catalogue_watch.failing() || this->server_watch.failing() ||
                             this->term_watch.failing();
        // Calls that were pending in an outage, or before a takeover, may never be answered.
        const bool ask_again =
            (this->store_failing && !failing) || (coordinating && !this->was_coordinating);
        this->store_failing = failing;
        this->was_coordinating = coordinating;
        const bool store_unreachable = this->store_reachable == false;
        this->catalogue_watch.set_paused(store_unreachable);
        this->server_watch.set_paused(relayed || store_unreachable);
        if (ask_again) {
            for (table_watch* watch :
                 {&this->catalogue_watch, &this->server_watch, &this->term_watch}) {
                watch->poll_now();
            }
        }
        this->bound_age(this->server_watch, coordinator_servers_wait, relayed, now);
        this->bound_age(this->catalogue_watch, coordinator_catalogue_wait,
                        now < this->catalogue_confirmed_until, now);
        this->bound_age(this->term_watch, coordinator_term_wait, now < this->term_confirmed_until,
                        now);
        this->ownership.set_confirmations(
            {relayed ? std::nullopt : this->server_watch.last_confirmed(),
             this->catalogue_watch.last_confirmed(), this->term_watch.last_confirmed()});
    }

    /// Lets the store confirm a table often enough if the coordinator does not, and asks it at once
    /// if the table has not been confirmed for too long: the pending call may never be answered.
    /// @param coordinator_wait  longest time for which the store holds the coordinator's calls
    /// @param confirmed         the coordinator's answers confirm the table
    void bound_age(table_watch& watch, milliseconds coordinator_wait, bool confirmed,
                   time_point now) {
        if (this->ownership.coordinating()) {
            watch.set_max_wait(coordinator_wait);
            watch.poll_if_unconfirmed(coordinator_wait + store_answer_time, now);
            return;
        }
        const milliseconds own_wait =
            std::clamp(this->host_count * own_wait_per_host, coordinator_wait, max_own_wait);
        const milliseconds spread = std::clamp(this->host_count * unconfirmed_spread_per_host,
                                               min_unconfirmed_spread, max_unconfirmed_spread);
        watch.set_max_wait(confirmed ? default_max_wait : own_wait);
        watch.poll_if_unconfirmed(
            max_unconfirmed(own_wait) +
                std::chrono::duration_cast<milliseconds>(spread * this->spread_position),
            now);
    }

    /// @param changed  earliest time at which the changes may have happened
    void servers_changed(time_point changed, time_point now) {
        this->frontend.set_servers(this->servers, changed, now);
        this->ownership.on_directory_changed();
    }

    void run_periodic_tasks() {
        const time_point now = wire::event_loop::now();
        this->log.flush();
        this->ownership.set_store_reachable(this->term_watch.reachable());
        this->update_watches(now);
        if (this->servers.expire(now)) {
            this->servers_changed(now, now);
        }
        this->loop.call_after(update_interval, [this] { this->run_periodic_tasks(); });
    }

    void on_peer(const std::shared_ptr<wire::incoming>& request) {
        const std::string& target = request->message().target;
        if (target == report_target) {
            host_report report;
            if (!decode(request->message().body, report)) {
                request->answer(make_response(400, "Bad Request", "the report is malformed\n"));
                return;
            }
            this->ownership.on_report(
                report,
                [request](const report_answer& answer) {
                    request->answer(make_response(200, "OK", encode(answer)));
                },
                wire::event_loop::now());
        } else if (target == term_target) {
            const std::string term = this->ownership.known_term();
            request->answer(
                make_response(term.empty() ? 404 : 200, term.empty() ? "Not Found" : "OK", term));
        } else if (target == catalogue_target) {
            const bool known = this->catalogue_row.version.number != 0;
            request->answer(make_response(known ? 200 : 404, known ? "OK" : "Not Found",
                                          known ? encode(this->catalogue_row) : std::string()));
        } else if (target == "/metrics") {
            request->answer(make_response(200, "OK", this->metrics.serialise()));
        } else {
            request->answer(make_response(404, "Not Found", ""));
        }
    }

    /// Time from the request to shut down until open requests are aborted.
    milliseconds time_to_abort() const {
        return this->settings.shutdown_grace -
               std::min(abort_margin, this->settings.shutdown_grace / 4);
    }

    void continue_drain() {
        const milliseconds since =
            std::chrono::duration_cast<milliseconds>(wire::event_loop::now() - this->drain_began);
        // If the store is unavailable, no other host can take over renewing the leases, so this
        // process keeps coordinating for as long as it may run.
        const bool answered =
            this->frontend.open_requests() == 0 && !this->ownership.coordinating();
        if (since > new_callers_period && !this->stopped_reading) {
            // Requests read later could not be answered before the process ends.
            this->stopped_reading = true;
            this->front_server.stop_reading();
        }
        if (since > this->time_to_abort() && !this->open_requests_aborted) {
            this->open_requests_aborted = true;
            this->frontend.abort_open_requests(wire::event_loop::now());
        }
        if ((since > new_callers_period && answered && this->front_server.close_idle()) ||
            since > this->settings.shutdown_grace - stop_margin) {
            telemetry::log_info(this->log, "stopped",
                                {{"open_requests", this->frontend.open_requests()}});
            this->loop.stop();
            return;
        }
        this->loop.call_after(drain_poll_interval, [this] { this->continue_drain(); });
    }
};

gateway::gateway(wire::event_loop& loop, table_store& store, order_sender& orders,
                 telemetry::logger& log, telemetry::metrics& metrics, const row_format& format,
                 const gateway_settings& settings, std::uint64_t seed)
    : implementation(
          std::make_unique<state>(loop, store, orders, log, metrics, format, settings, seed)) {}

gateway::~gateway() = default;

status gateway::start() {
    state& impl = *this->implementation;
    for (const auto& [server, address] : {std::pair{&impl.front_server, &impl.settings.front},
                                          std::pair{&impl.ready_server, &impl.settings.ready},
                                          std::pair{&impl.peer_server, &impl.settings.peers}}) {
        if (const status failed = server->open(*address)) {
            telemetry::log_error(impl.log, "listen_failed",
                                 {{"ip", address->ip}, {"port", address->port}});
            return failed;
        }
    }
    impl.catalogue_watch.start();
    impl.server_watch.start();
    impl.term_watch.start();
    impl.ownership.start();
    impl.run_periodic_tasks();
    telemetry::log_info(impl.log, "started",
                        {{"front", impl.settings.front.port},
                         {"peers", impl.settings.peers.port},
                         {"data_centre", impl.settings.data_centre.value()},
                         {"log_version", log_version}});
    return {};
}

void gateway::drain() {
    state& impl = *this->implementation;
    if (impl.draining) {
        return;
    }
    impl.draining = true;
    impl.drain_began = wire::event_loop::now();
    telemetry::log_info(impl.log, "stopping", {{"open_requests", impl.frontend.open_requests()}});
    impl.frontend.set_end(impl.drain_began + impl.time_to_abort(), impl.drain_began);
    impl.ownership.resign();
    impl.front_server.start_closing();
    impl.continue_drain();
}

}  // namespace greengagechute::gateway
