#include "gateway/coordinator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace greengagechute::gateway {

namespace {

constexpr std::string_view term_row = "coordinator";
constexpr std::string_view owners_prefix = "owners/";
/// Fences of one term; a term with more grants than that would run into the next one.
constexpr unsigned term_shift = 24;
constexpr milliseconds commit_retry{150};
/// A host that has not reported for this long does not count.
constexpr milliseconds host_age{2'500};
constexpr int ok = 200;
/// Weight of one request, and of one report, in the smoothed service time of a server.
constexpr double part_of_sample = 0.03;
constexpr double largest_part = 0.3;
/// Bounds of a server's speed relative to the others; beyond them a measurement is in doubt.
constexpr double slowest = 0.4;
constexpr double fastest = 2.0;
constexpr int misses_before_takeover = 2;

struct term_content {
    std::uint64_t number = 0;
    /// Empty if the last coordinator has resigned.
    std::string host;
    std::optional<wire::endpoint> address;
};

std::string encode(const term_content& term) {
    nlohmann::json text;
    text["term"] = term.number;
    text["host"] = term.host;
    text["address"] =
        term.address ? term.address->ip + ":" + std::to_string(term.address->port) : "";
    return text.dump();
}

std::optional<term_content> decode_term(std::string_view text) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("term") || !parsed["term"].is_number_unsigned() ||
        !parsed.contains("host") || !parsed["host"].is_string() || !parsed.contains("address") ||
        !parsed["address"].is_string()) {
        return std::nullopt;
    }
    term_content term;
    term.number = parsed["term"].get<std::uint64_t>();
    term.host = parsed["host"].get<std::string>();
    if (const auto address = wire::parse_endpoint(parsed["address"].get<std::string>())) {
        term.address = *address;
    }
    return term;
}

}  // namespace

/// Leases of one divided service.
struct kept_service {
    ranges::lease_keeper keeper;
    ranges::key_load load;
    /// Smoothed logarithm of the service time of each server, in milliseconds.
    std::map<server_id, double> speeds;
    /// A table that is being stored.
    bool committing = false;
};

struct coordinator::state {
    wire::event_loop& loop;
    wire::client& peers;
    table_store& store;
    server_orders& orders;
    const directory& servers;
    telemetry::logger& log;
    coordinator_settings settings;
    owners_handler owners;
    report_source own_report;
    std::function<void(int)> set_hosts;
    std::mt19937_64 random;

    std::shared_ptr<const catalogue> config;
    std::map<std::string, stored_row> rows;
    bool table_loaded = false;
    std::optional<term_content> term;
    /// Identifies this process among the holders of a term, as a host may restart.
    std::string identity;
    bool leading = false;
    bool taking_over = false;
    bool resigned = false;
    int misses = 0;
    time_point leader_without_store_since;
    bool leader_without_store = false;
    std::map<service_id, kept_service> kept;
    std::map<host_id, time_point> reports;
    /// Also of servers whose entry is gone, which still have to release their keys.
    std::map<server_id, wire::endpoint> addresses;
    time_point last_tick;
    time_point last_balance;
    time_point store_reached;
    /// The last commit was answered.
    bool store_ok = true;
    bool store_reachable = true;

    std::uint64_t version_of(const std::string& row) const {
        const auto found = this->rows.find(row);
        return found == this->rows.end() ? 0 : found->second.version;
    }

    void on_row(const stored_row& row);
    void report();
    void schedule_report();
    void leader_lost(std::string_view reason);
    void take_over();
    void confirm_takeover(const term_content& mine);
    void lead(std::uint64_t number);
    void step_down(std::string_view reason);
    void tick();
    void keep(const service_id& service, time_point now);
    void learn(const host_report& report);
    void send(const service_id& service, const ranges::order& what);
    void commit(const service_id& service, const ranges::range_table& table);
    void resolve(const service_id& service, const std::string& value);
    void publish(const service_id& service, const std::string& value);
    bool is_isolated(time_point now) const;
};

coordinator::coordinator(wire::event_loop& loop, wire::client& peers, table_store& store,
                         server_orders& orders, const directory& servers, telemetry::logger& log,
                         coordinator_settings settings, owners_handler owners,
                         report_source reports, std::function<void(int)> hosts, std::uint64_t seed)
    : implementation(new state{loop,
                               peers,
                               store,
                               orders,
                               servers,
                               log,
                               std::move(settings),
                               std::move(owners),
                               std::move(reports),
                               std::move(hosts),
                               std::mt19937_64(seed),
                               nullptr,
                               {},
                               false,
                               std::nullopt,
                               {},
                               false,
                               false,
                               false,
                               0,
                               {},
                               false,
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               true,
                               true}) {
    this->implementation->identity = this->implementation->settings.host.value() + "/" +
                                     std::to_string(this->implementation->random());
}

coordinator::~coordinator() = default;

bool coordinator::coordinating() const {
    return this->implementation->leading;
}

void coordinator::start() {
    this->implementation->schedule_report();
}

void coordinator::set_catalogue(std::shared_ptr<const catalogue> content) {
    this->implementation->config = std::move(content);
}

void coordinator::on_table(const table_content& content, bool whole) {
    state& own = *this->implementation;
    own.store_reached = wire::event_loop::now();
    if (whole) {
        own.table_loaded = true;
    }
    for (const stored_row& row : content.rows) {
        own.on_row(row);
    }
}

void coordinator::state::on_row(const stored_row& row) {
    stored_row& known = this->rows[row.key];
    if (known.version >= row.version) {
        return;
    }
    known = row;
    if (row.key == term_row) {
        const auto read = decode_term(row.value);
        if (!read) {
            telemetry::log_error(this->log, "term_row_malformed", {{"version", row.version}});
            return;
        }
        this->term = *read;
        this->misses = 0;
        this->leader_without_store = false;
        if (this->leading && read->host != this->identity) {
            this->step_down("another host holds the term");
        }
        if (!this->leading && !this->taking_over && read->host.empty() && !this->resigned) {
            this->leader_lost("resigned");
        }
    } else if (row.key.starts_with(owners_prefix)) {
        this->publish(service_id(row.key.substr(owners_prefix.size())), row.value);
    }
}

void coordinator::state::publish(const service_id& service, const std::string& value) {
    auto table = ranges::decode(value);
    if (!table) {
        telemetry::log_error(this->log, "owners_row_malformed",
                             {{"service", service.value()}, {"error", table.error()}});
        return;
    }
    this->owners(service, std::move(*table));
}

void coordinator::state::schedule_report() {
    // Spread, so that the hosts do not all miss the coordinator at the same moment.
    const double spread = 0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(this->random);
    this->loop.call_after(milliseconds(static_cast<std::int64_t>(
                              static_cast<double>(this->settings.report_every.count()) * spread)),
                          [this] {
                              this->report();
                              this->schedule_report();
                          });
}

void coordinator::state::report() {
    if (this->leading || this->taking_over || !this->table_loaded || !this->servers.loaded()) {
        return;
    }
    if (!this->term || !this->term->address || this->term->host.empty()) {
        this->leader_lost("vacant");
        return;
    }
    if (this->term->host == this->identity) {
        return;
    }
    host_report content = this->own_report();
    content.host = this->settings.host;
    wire::request message;
    message.method = "POST";
    message.target = "/coordination/report";
    message.headers.push_back({"Host", this->term->address->ip});
    message.body = encode(content);
    wire::call_options options;
    options.timeout = this->settings.report_timeout;
    options.connect_timeout = this->settings.report_timeout;
    this->peers.send(
        *this->term->address, message, options,
        [this, number = this->term->number](const wire::call_result& outcome) {
            if (this->leading || !this->term || this->term->number != number) {
                return;
            }
            report_answer answer;
            if (outcome.error || outcome.message.code != ok ||
                !decode(outcome.message.body, answer)) {
                ++this->misses;
                if (outcome.error == wire::wire_errc::refused ||
                    this->misses >= misses_before_takeover) {
                    this->leader_lost(outcome.error.message());
                }
                return;
            }
            this->misses = 0;
            if (!answer.coordinating) {
                this->leader_lost("not coordinating");
                return;
            }
            this->set_hosts(answer.hosts);
            const time_point now = wire::event_loop::now();
            if (answer.has_store) {
                this->leader_without_store = false;
            } else if (!this->leader_without_store) {
                this->leader_without_store = true;
                this->leader_without_store_since = now;
            } else if (now - this->leader_without_store_since > this->settings.isolation / 2) {
                // Succeeds only if this host reaches the store.
                this->leader_without_store = false;
                this->leader_lost("without the store");
            }
        });
}

void coordinator::state::leader_lost(std::string_view reason) {
    if (this->leading || this->taking_over || this->resigned || !this->table_loaded ||
        !this->servers.loaded()) {
        return;
    }
    telemetry::log_info(this->log, "coordinator_lost",
                        {{"reason", reason}, {"term", this->term ? this->term->number : 0}});
    this->take_over();
}

void coordinator::state::take_over() {
    this->taking_over = true;
    this->store.read(std::string(ownership_table), [this](result<table_content> answer) {
        if (!answer) {
            this->taking_over = false;
            return;
        }
        const std::uint64_t seen = this->term ? this->term->number : 0;
        for (const stored_row& row : answer->rows) {
            this->on_row(row);
        }
        if (this->term && this->term->number > seen && !this->term->host.empty()) {
            // Another host was faster.
            this->taking_over = false;
            return;
        }
        term_content mine;
        mine.number = (this->term ? this->term->number : 0) + 1;
        mine.host = this->identity;
        mine.address = this->settings.address;
        stored_row row;
        row.key = std::string(term_row);
        row.version = this->version_of(row.key);
        const std::vector<stored_row> expected{row};
        row.value = encode(mine);
        this->store.commit(std::string(ownership_table), expected, {row},
                           [this, mine](commit_outcome outcome) {
                               if (outcome == commit_outcome::rejected) {
                                   this->taking_over = false;
                               } else {
                                   this->confirm_takeover(mine);
                               }
                           });
    });
}

/// Reads back whether this host holds the term.
void coordinator::state::confirm_takeover(const term_content& mine) {
    this->store.read(std::string(ownership_table), [this, mine](result<table_content> answer) {
        this->taking_over = false;
        if (!answer) {
            return;
        }
        for (const stored_row& row : answer->rows) {
            this->on_row(row);
        }
        if (this->term && this->term->host == this->identity && this->term->number == mine.number &&
            !this->resigned) {
            this->lead(mine.number);
        }
    });
}

void coordinator::state::lead(std::uint64_t number) {
    if (this->leading) {
        return;
    }
    const time_point now = wire::event_loop::now();
    this->leading = true;
    this->kept.clear();
    this->reports.clear();
    this->last_tick = now;
    this->last_balance = now;
    this->store_reached = now;
    telemetry::log_info(this->log, "coordinating", {{"term", number}});
    this->tick();
}

void coordinator::state::step_down(std::string_view reason) {
    if (this->leading) {
        this->leading = false;
        this->kept.clear();
        telemetry::log_info(this->log, "coordination_ended",
                            {{"reason", reason}, {"term", this->term ? this->term->number : 0}});
    }
}

bool coordinator::state::is_isolated(time_point now) const {
    if (now - this->store_reached < this->settings.isolation || this->store_ok) {
        return false;
    }
    return !this->reports.empty() &&
           std::all_of(this->reports.begin(), this->reports.end(), [this, now](const auto& entry) {
               return now - entry.second > this->settings.isolation;
           });
}

void coordinator::state::tick() {
    if (!this->leading) {
        return;
    }
    const time_point now = wire::event_loop::now();
    if (now - this->last_tick > this->settings.isolation / 2) {
        // The process stood still: another host may hold the term by now.
        this->step_down("suspended");
        this->term.reset();
        this->rows.erase(std::string(term_row));
        this->store.read(std::string(ownership_table), [this](result<table_content> answer) {
            if (answer) {
                for (const stored_row& row : answer->rows) {
                    this->on_row(row);
                }
                if (this->term && this->term->host == this->identity) {
                    // Nobody took over; a new term gives new fences.
                    this->take_over();
                }
            }
        });
        return;
    }
    this->last_tick = now;
    if (!this->is_isolated(now) && this->config && this->servers.loaded()) {
        for (const auto& [id, service] : this->config->services) {
            if (service.divided) {
                this->keep(id, now);
            }
        }
        this->learn(this->own_report());
        if (now - this->last_balance >= this->settings.balance_every) {
            this->last_balance = now;
            for (auto& [id, service] : this->kept) {
                service.load.decay(now);
                if (!service.committing && this->store_ok) {
                    service.keeper.balance(service.load, now);
                }
            }
            std::erase_if(this->reports, [now](const auto& entry) {
                constexpr int forget_after = 4;
                return now - entry.second > forget_after * host_age;
            });
            const auto live =
                std::count_if(this->reports.begin(), this->reports.end(),
                              [now](const auto& entry) { return now - entry.second < host_age; });
            this->set_hosts(static_cast<int>(live) + 1);
        }
    }
    this->loop.call_after(this->settings.tick, [this] { this->tick(); });
}

void coordinator::state::learn(const host_report& report) {
    for (const auto& [service, keys] : report.keys) {
        const auto found = this->kept.find(service);
        if (found != this->kept.end()) {
            for (const ranges::key_position key : keys) {
                found->second.load.add(key);
            }
        }
    }
    for (const auto& [service, samples] : report.speeds) {
        const auto found = this->kept.find(service);
        if (found == this->kept.end()) {
            continue;
        }
        for (const auto& [server, sample] : samples) {
            if (sample.count <= 0) {
                continue;
            }
            const double mean = sample.log_ms_sum / sample.count;
            const auto [known, added] = found->second.speeds.emplace(server, mean);
            const double part = std::min(largest_part, sample.count * part_of_sample);
            known->second += part * (mean - known->second);
        }
    }
}

/// Share of the load by slots and speed.
double weight_of(const kept_service& own, const server_entry& entry) {
    const auto slots = static_cast<double>(std::max(1, entry.slots));
    const auto speed = own.speeds.find(entry.life.id);
    if (speed == own.speeds.end()) {
        return slots;
    }
    double sum = 0;
    for (const auto& [server, log_ms] : own.speeds) {
        sum += log_ms;
    }
    const double mean = sum / static_cast<double>(own.speeds.size());
    return slots * std::clamp(std::exp(mean - speed->second), slowest, fastest);
}

void coordinator::state::keep(const service_id& service, time_point now) {
    auto found = this->kept.find(service);
    if (found == this->kept.end()) {
        const epoch first((this->term->number << term_shift) + 1);
        found = this->kept
                    .emplace(service,
                             kept_service{
                                 ranges::lease_keeper(this->settings.keeper, first), {}, {}, false})
                    .first;
        const auto row = this->rows.find(std::string(owners_prefix) + service.value());
        if (row != this->rows.end()) {
            if (const auto stored = ranges::decode(row->second.value)) {
                found->second.keeper.adopt(*stored, now);
            }
        }
    }
    kept_service& own = found->second;
    std::vector<ranges::candidate> candidates;
    for (const auto& [id, entry] : this->servers.servers()) {
        if (entry.service == service) {
            candidates.push_back({entry.life, weight_of(own, entry), !entry.draining});
        }
    }
    own.keeper.set_candidates(candidates, now);
    for (const ranges::order& what : own.keeper.due(now)) {
        this->send(service, what);
    }
    if (!own.committing) {
        if (const auto table = own.keeper.plan(own.load, now)) {
            this->commit(service, *table);
        }
    }
}

void coordinator::state::send(const service_id& service, const ranges::order& what) {
    const server_entry* entry = this->servers.find(what.server.id);
    const auto address = this->addresses.find(what.server.id);
    if (entry != nullptr) {
        this->addresses[what.server.id] = entry->address;
    } else if (address == this->addresses.end()) {
        // Its address is not known any more: the lease has to run out.
        this->loop.call_after(milliseconds{0}, [this, service, lease = what.lease] {
            const auto own = this->kept.find(service);
            if (own != this->kept.end()) {
                own->second.keeper.record(lease, ranges::order_outcome::not_sent, {},
                                          wire::event_loop::now());
            }
        });
        return;
    }
    this->orders.send(
        this->addresses[what.server.id], what,
        [this, service, what, number = this->term->number](ranges::order_outcome outcome,
                                                           const std::string& handover) {
            const auto own = this->kept.find(service);
            if (!this->leading || own == this->kept.end() || this->term->number != number) {
                return;
            }
            if (outcome != ranges::order_outcome::done ||
                what.what == ranges::order::kind::release) {
                telemetry::log_info(
                    this->log,
                    what.what == ranges::order::kind::grant ? "grant_failed" : "release_ended",
                    {{"service", service.value()},
                     {"server", what.server.id.value()},
                     {"first", what.keys.first},
                     {"last", what.keys.last},
                     {"fence", what.fence.value()},
                     {"outcome", static_cast<int>(outcome)}});
            }
            own->second.keeper.record(what.lease, outcome, handover, wire::event_loop::now());
            if (own->second.keeper.outranked()) {
                this->step_down("a server has seen a higher fence");
                this->rows.erase(std::string(term_row));
                this->take_over();
            }
        });
}

void coordinator::state::commit(const service_id& service, const ranges::range_table& table) {
    kept_service& own = this->kept.at(service);
    own.committing = true;
    stored_row row;
    row.key = std::string(owners_prefix) + service.value();
    row.version = this->version_of(row.key);
    stored_row term_version;
    term_version.key = std::string(term_row);
    term_version.version = this->version_of(term_version.key);
    const std::vector<stored_row> expected{row, term_version};
    row.value = ranges::encode(table);
    telemetry::log_info(
        this->log, "owners_change",
        {{"service", service.value()}, {"ranges", table.ranges.size()}, {"version", row.version}});
    this->store.commit(
        std::string(ownership_table), expected, {row},
        [this, service, value = row.value](commit_outcome outcome) {
            if (!this->kept.contains(service)) {
                return;
            }
            this->store_ok =
                outcome == commit_outcome::stored || outcome == commit_outcome::conflict;
            if (outcome == commit_outcome::rejected) {
                // Nothing was written; the plan is made anew.
                this->loop.call_after(commit_retry, [this, service] {
                    const auto kept_now = this->kept.find(service);
                    if (kept_now != this->kept.end()) {
                        kept_now->second.committing = false;
                        kept_now->second.keeper.committed(false, wire::event_loop::now());
                    }
                });
                return;
            }
            this->resolve(service, value);
        });
}

/// Reads back which table is stored, after any commit that may have been carried out.
void coordinator::state::resolve(const service_id& service, const std::string& value) {
    this->store.read(
        std::string(ownership_table), [this, service, value](result<table_content> answer) {
            const auto own = this->kept.find(service);
            if (own == this->kept.end()) {
                return;
            }
            const time_point now = wire::event_loop::now();
            if (!answer) {
                this->store_ok = false;
                this->loop.call_after(commit_retry,
                                      [this, service, value] { this->resolve(service, value); });
                return;
            }
            this->store_ok = true;
            this->store_reached = now;
            for (const stored_row& row : answer->rows) {
                this->on_row(row);
            }
            const auto kept_now = this->kept.find(service);
            if (kept_now == this->kept.end()) {
                return;
            }
            const auto row = this->rows.find(std::string(owners_prefix) + service.value());
            const bool stored = row != this->rows.end() && row->second.value == value;
            kept_now->second.committing = false;
            kept_now->second.keeper.committed(stored, now);
        });
}

void coordinator::set_store_reachable(bool reachable) {
    this->implementation->store_reachable = reachable;
}

void coordinator::on_servers() {
    state& own = *this->implementation;
    for (const auto& [id, entry] : own.servers.servers()) {
        own.addresses[id] = entry.address;
    }
}

report_answer coordinator::on_report(const host_report& report, time_point now) {
    state& own = *this->implementation;
    report_answer answer;
    answer.coordinating = own.leading;
    answer.has_store = own.store_ok && own.store_reachable;
    if (own.leading) {
        own.reports[report.host] = now;
        own.learn(report);
    }
    answer.hosts = static_cast<int>(own.reports.size()) + 1;
    return answer;
}

void coordinator::resign() {
    state& own = *this->implementation;
    own.resigned = true;
    if (!own.leading) {
        return;
    }
    term_content vacant;
    vacant.number = own.term->number;
    stored_row row;
    row.key = std::string(term_row);
    row.version = own.version_of(row.key);
    const std::vector<stored_row> expected{row};
    row.value = encode(vacant);
    own.step_down("this process ends");
    own.store.commit(std::string(ownership_table), expected, {row},
                     [](commit_outcome) { /* Without it, the others miss this host. */ });
}

}  // namespace greengagechute::gateway
