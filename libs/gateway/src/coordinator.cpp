#include "gateway/coordinator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace greengagechute::gateway {

namespace {

constexpr std::string_view term_row = "coordinator";
/// Fences of one term; a term with more grants than that would run into the next one.
constexpr unsigned term_shift = 24;
constexpr milliseconds commit_retry{150};
/// Changes of owners that are kept for hosts that lack them; others get the whole table.
constexpr std::size_t history_length = 64;
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
    explicit kept_service(ranges::lease_manager first) : keeper(std::move(first)) {}

    ranges::lease_manager keeper;
    ranges::key_load load;
    /// Smoothed logarithm of the service time of each server, in milliseconds.
    std::map<server_id, double> speeds;
    /// A table that is being stored.
    bool committing = false;
    /// A table whose commit was not answered may be stored later, until another one is.
    bool late_table_possible = false;
    /// Where hosts send requests, and the changes that led to it.
    ranges::range_table routes;
    std::uint64_t version = 0;
    std::deque<std::vector<ranges::range_owner>> history;
};

/// A report that waits for owners to change.
struct kept_report {
    host_report report;
    coordinator::answer_handler answer;
    time_point until;
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
    servers_handler relayed;
    report_source own_report;
    std::function<void(int)> set_hosts;
    std::mt19937_64 random;

    std::shared_ptr<const catalogue> config{};
    /// Rows of both tables, by table and key.
    std::map<std::pair<std::string, std::string>, stored_row> rows{};
    bool table_loaded = false;
    std::optional<term_content> term{};
    /// Identifies this process among the holders of a term, as a host may restart.
    std::string identity{};
    bool leading = false;
    bool taking_over = false;
    /// A takeover is due, if no other host is faster.
    bool restrained = false;
    bool resigned = false;
    int misses = 0;
    /// Since when the holder of the term answers that it is about to coordinate.
    std::optional<time_point> pending_since{};
    time_point leader_without_store_since{};
    bool leader_without_store = false;
    std::map<service_id, kept_service> kept{};
    std::map<host_id, time_point> reports{};
    /// Lives of servers that have ended although their entries are still there.
    std::set<ranges::server_instance> ended{};
    /// Also of servers whose entry is gone, which still have to release their keys.
    std::map<server_id, wire::endpoint> addresses{};
    time_point last_tick{};
    time_point last_balance{};
    time_point store_reached{};
    /// Last time at which the store was known to be away.
    time_point store_lost{};
    /// The last commit was answered.
    bool store_ok = true;
    bool store_reachable = true;
    std::optional<time_point> servers_heard{};
    milliseconds gather{0};
    /// Hosts that know less of the servers than this are told at once.
    std::uint64_t due_version = 0;
    bool due_soon = false;

    /// Reports that wait for an answer.
    std::vector<kept_report> waiting{};
    /// Owners that this host knows, and the coordinator's count of them.
    std::map<service_id, ranges::range_table> known_owners{};
    std::map<service_id, std::uint64_t> known_versions{};
    std::uint64_t known_term = 0;
    /// The same at the time at which this host became the coordinator: other hosts have it as well,
    /// and need only the changes since.
    std::map<service_id, ranges::range_table> earlier_owners{};
    std::map<service_id, std::uint64_t> earlier_versions{};
    std::uint64_t earlier_term = 0;

    std::uint64_t version_of(std::string_view table, const std::string& key) const {
        const auto found = this->rows.find({std::string(table), key});
        return found == this->rows.end() ? 0 : found->second.version;
    }
    const stored_row* owners_row(const service_id& service) const {
        const auto found = this->rows.find({std::string(owners_table), service.value()});
        return found == this->rows.end() ? nullptr : &found->second;
    }

    bool remember(std::string_view table, const stored_row& row);
    void on_term_row(const stored_row& row);
    void read_rows(const std::function<void(bool)>& done);
    void report();
    void schedule_report(milliseconds pause);
    void on_answer(const report_answer& answer);
    void on_not_coordinating(bool pending, time_point now);
    report_answer make_answer(const host_report& report, time_point now) const;
    bool has_earlier_owners(const host_report& report, const service_id& service) const;
    bool tells_of_servers(const host_report& report, time_point now) const;
    bool lacks_news(const host_report& report, time_point now) const;
    void answer_waiting(bool all, time_point now);
    void publish_routes(const service_id& service, time_point now);
    void leader_lost(std::string_view reason);
    void take_over();
    void read_and_take_over();
    void confirm_takeover(const term_content& mine);
    void end_takeover();
    void give_up_term();
    void lead(std::uint64_t number);
    void step_down(std::string_view reason);
    void tick();
    void keep(const service_id& service, time_point now);
    void learn(const host_report& report, time_point now);
    void send(const service_id& service, const ranges::lease_command& what);
    void commit(const service_id& service, const ranges::range_table& table);
    void resolve(const service_id& service, const std::string& value);
    bool is_isolated(time_point now) const;
};

milliseconds takeover_restraint(const coordinator_settings& settings) {
    const double least =
        std::min({1.0, settings.power.processor_share / settings.enough_power.processor_share,
                  settings.power.link_mbps / settings.enough_power.link_mbps});
    return milliseconds(
        std::llround((1.0 - least) * static_cast<double>(settings.longest_restraint.count())));
}

coordinator::coordinator(wire::event_loop& loop, wire::client& peers, table_store& store,
                         server_orders& orders, const directory& servers, telemetry::logger& log,
                         coordinator_settings settings, owners_handler owners,
                         servers_handler relayed, report_source reports,
                         std::function<void(int)> hosts, std::uint64_t seed)
    : implementation(new state{loop, peers, store, orders, servers, log, std::move(settings),
                               std::move(owners), std::move(relayed), std::move(reports),
                               std::move(hosts), std::mt19937_64(seed)}) {
    this->implementation->identity = this->implementation->settings.host.value() + "/" +
                                     std::to_string(this->implementation->random());
}

coordinator::~coordinator() = default;

bool coordinator::coordinating() const {
    return this->implementation->leading;
}

void coordinator::start() {
    this->implementation->schedule_report(milliseconds{0});
}

void coordinator::set_catalogue(std::shared_ptr<const catalogue> content) {
    this->implementation->config = std::move(content);
}

void coordinator::on_term(const table_content& content, bool whole) {
    state& own = *this->implementation;
    own.store_reached = wire::event_loop::now();
    if (whole) {
        own.table_loaded = true;
    }
    for (const stored_row& row : content.rows) {
        if (row.key == term_row) {
            own.on_term_row(row);
        }
    }
}

/// Keeps a row if it is newer than the one that is known.
bool coordinator::state::remember(std::string_view table, const stored_row& row) {
    stored_row& known = this->rows[{std::string(table), row.key}];
    if (known.version >= row.version) {
        return false;
    }
    known = row;
    return true;
}

void coordinator::state::on_term_row(const stored_row& row) {
    if (!this->remember(term_table, row)) {
        return;
    }
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
        // Spread: the first host's term reaches most others before they try.
        const double spread = std::uniform_real_distribution<double>(0, 1)(this->random);
        const auto delay = static_cast<double>(this->settings.takeover_spread.count()) * spread;
        this->loop.call_after(milliseconds(static_cast<std::int64_t>(delay)),
                              [this, number = read->number] {
                                  if (this->term && this->term->number == number) {
                                      this->leader_lost("resigned");
                                  }
                              });
    }
}

/// Reads both tables.
/// @param done  called with true if both were read
void coordinator::state::read_rows(const std::function<void(bool)>& done) {
    struct progress {
        int left = 2;
        bool whole = true;
    };
    const auto both = std::make_shared<progress>();
    const auto finish = [both, done](bool read) {
        both->whole = both->whole && read;
        if (--both->left == 0) {
            done(both->whole);
        }
    };
    this->store.read(std::string(owners_table),
                     [this, finish](const result<table_content>& owner_rows) {
                         if (owner_rows) {
                             for (const stored_row& row : owner_rows->rows) {
                                 this->remember(owners_table, row);
                             }
                         }
                         finish(owner_rows.has_value());
                     });
    this->store.read(std::string(term_table), [this, finish](const result<table_content>& terms) {
        if (terms) {
            for (const stored_row& row : terms->rows) {
                if (row.key == term_row) {
                    this->on_term_row(row);
                }
            }
        }
        finish(terms.has_value());
    });
}

void coordinator::state::schedule_report(milliseconds pause) {
    // Spread, so that the hosts do not all miss the coordinator at the same moment.
    const double spread = 0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(this->random);
    this->loop.call_after(
        milliseconds(static_cast<std::int64_t>(static_cast<double>(pause.count()) * spread)),
        [this] { this->report(); });
}

void coordinator::state::report() {
    if (!this->leading && !this->taking_over && this->table_loaded && this->servers.loaded() &&
        (!this->term || !this->term->address || this->term->host.empty())) {
        this->leader_lost("vacant");
    }
    if (this->leading || this->taking_over || !this->table_loaded || !this->servers.loaded() ||
        !this->term || !this->term->address || this->term->host == this->identity) {
        this->schedule_report(this->settings.report_retry);
        return;
    }
    host_report content = this->own_report();
    content.host = this->settings.host;
    content.term = this->known_term;
    content.at_once = this->misses > 0;
    content.owners = this->known_versions;
    content.servers = this->servers.version();
    wire::request message;
    message.method = "POST";
    message.target = "/coordination/report";
    message.headers.push_back({"Host", this->term->address->ip});
    message.body = encode(content);
    wire::call_options options;
    options.timeout =
        content.at_once ? this->settings.probe_timeout : this->settings.report_timeout;
    options.connect_timeout = options.timeout;
    this->peers.send(*this->term->address, message, options,
                     [this, number = this->term->number](const wire::call_result& outcome) {
                         report_answer answer;
                         const bool answered = !outcome.error && outcome.message.code == ok &&
                                               decode(outcome.message.body, answer);
                         const bool first_miss = !answered && this->misses == 0;
                         this->schedule_report((answered && answer.coordinating) || first_miss
                                                   ? this->settings.report_pause
                                                   : this->settings.report_retry);
                         if (this->leading || !this->term || this->term->number != number) {
                             return;
                         }
                         if (!answered) {
                             ++this->misses;
                             if (outcome.error == wire::wire_errc::refused ||
                                 this->misses >= misses_before_takeover) {
                                 this->leader_lost(outcome.error.message());
                             }
                             return;
                         }
                         this->misses = 0;
                         if (!answer.coordinating) {
                             this->on_not_coordinating(answer.pending, wire::event_loop::now());
                             return;
                         }
                         this->pending_since.reset();
                         this->on_answer(answer);
                     });
}

/// The holder of the term does not coordinate, or not yet.
void coordinator::state::on_not_coordinating(bool pending, time_point now) {
    if (pending && !this->pending_since) {
        this->pending_since = now;
    }
    if (pending && now - *this->pending_since < this->settings.longest_takeover) {
        return;
    }
    this->pending_since.reset();
    this->leader_lost("not coordinating");
}

void coordinator::state::on_answer(const report_answer& answer) {
    this->set_hosts(answer.hosts);
    const time_point now = wire::event_loop::now();
    if (answer.term != this->known_term) {
        this->known_term = answer.term;
        this->known_versions.clear();
    }
    if (answer.servers) {
        // Before the owners, which may name new servers.
        this->relayed(*answer.servers);
    }
    for (const auto& [service, update] : answer.owners) {
        ranges::range_table& known = this->known_owners[service];
        if (update.whole) {
            known.ranges = update.ranges;
        } else if (!known.ranges.empty()) {
            known = ranges::with_changes(known, update.ranges);
        } else {
            continue;
        }
        this->known_versions[service] = update.version;
        telemetry::log_info(this->log, "owners_learned",
                            {{"service", service.value()},
                             {"term", answer.term},
                             {"version", update.version},
                             {"changed", update.ranges.size()},
                             {"ranges", known.ranges.size()}});
        this->owners(service, known);
    }
    if (answer.has_store || !this->store_reachable) {
        // Without the store this host could not follow either, and the coordinator may get it back
        // at the same time.
        this->leader_without_store = false;
    } else if (!this->leader_without_store) {
        this->leader_without_store = true;
        this->leader_without_store_since = now;
    } else if (now - this->leader_without_store_since > this->settings.isolation / 2) {
        this->leader_without_store = false;
        this->leader_lost("without the store");
    }
}

void coordinator::state::leader_lost(std::string_view reason) {
    if (this->leading || this->taking_over || this->restrained || this->resigned ||
        !this->table_loaded || !this->servers.loaded()) {
        return;
    }
    const std::uint64_t lost = this->term ? this->term->number : 0;
    const milliseconds restraint = takeover_restraint(this->settings);
    telemetry::log_info(this->log, "coordinator_lost",
                        {{"reason", reason}, {"term", lost}, {"restraint", restraint}});
    if (restraint == milliseconds{0}) {
        this->take_over();
        return;
    }
    this->restrained = true;
    this->loop.call_after(restraint, [this, lost] {
        this->restrained = false;
        const std::uint64_t present = this->term ? this->term->number : 0;
        if (!this->leading && !this->taking_over && !this->resigned && present == lost) {
            this->take_over();
        }
    });
}

/// Reads the term first, where what is known of it may be old.
void coordinator::state::read_and_take_over() {
    this->taking_over = true;
    const std::uint64_t seen = this->term ? this->term->number : 0;
    this->read_rows([this, seen](bool done) {
        if (!done || (this->term && this->term->number > seen && !this->term->host.empty())) {
            // Without the store nobody takes over; or another host was faster.
            this->end_takeover();
            return;
        }
        this->take_over();
    });
}

/// Writes a term of this host over the one that it knows: if that is an old one, nothing is
/// written.
void coordinator::state::take_over() {
    this->taking_over = true;
    term_content mine;
    mine.number = (this->term ? this->term->number : 0) + 1;
    mine.host = this->identity;
    mine.address = this->settings.address;
    stored_row row;
    row.table = std::string(term_table);
    row.key = std::string(term_row);
    row.version = this->version_of(term_table, row.key);
    const std::vector<stored_row> expected{row};
    row.value = encode(mine);
    this->store.commit(expected, {row}, [this, mine](commit_outcome outcome) {
        if (outcome == commit_outcome::rejected) {
            this->end_takeover();
        } else if (outcome == commit_outcome::unknown) {
            // The term may be written between two reads. Only what is read after that is final.
            this->read_rows([this, mine](bool done) {
                if (done && this->term && this->term->host == this->identity) {
                    this->confirm_takeover(mine);
                } else {
                    this->end_takeover();
                }
            });
        } else {
            this->confirm_takeover(mine);
        }
    });
}

/// Reads back whether this host holds the term, and who owns what: nobody else changes owners once
/// the term is written.
void coordinator::state::confirm_takeover(const term_content& mine) {
    this->read_rows([this, mine](bool done) {
        if (done && this->term && this->term->host == this->identity &&
            this->term->number == mine.number && !this->resigned) {
            this->taking_over = false;
            this->lead(mine.number);
        } else {
            this->end_takeover();
        }
    });
}

/// This host does not coordinate after all.
void coordinator::state::end_takeover() {
    this->taking_over = false;
    this->answer_waiting(true, wire::event_loop::now());
}

void coordinator::state::lead(std::uint64_t number) {
    if (this->leading) {
        return;
    }
    const time_point now = wire::event_loop::now();
    this->leading = true;
    this->earlier_owners = this->known_owners;
    this->earlier_versions = std::exchange(this->known_versions, {});
    this->earlier_term = std::exchange(this->known_term, 0);
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
        this->answer_waiting(true, wire::event_loop::now());
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
        this->rows.erase({std::string(term_table), std::string(term_row)});
        this->read_rows([this](bool done) {
            if (done && this->term && this->term->host == this->identity) {
                // Nobody took over; a new term gives new fences.
                this->take_over();
            }
        });
        return;
    }
    this->last_tick = now;
    if (!this->store_ok || !this->store_reachable) {
        this->store_lost = now;
    }
    this->answer_waiting(false, now);
    if (!this->is_isolated(now) && this->config && this->servers.loaded()) {
        for (const auto& [id, service] : this->config->services) {
            if (service.divided) {
                this->keep(id, now);
            }
        }
        this->learn(this->own_report(), now);
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

void coordinator::state::learn(const host_report& report, time_point now) {
    for (const ranges::server_instance& life : report.ended) {
        this->ended.insert(life);
        for (auto& [service, own] : this->kept) {
            own.keeper.set_instance_ended(life, now);
        }
    }
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
        found =
            this->kept
                .emplace(service, kept_service(ranges::lease_manager(this->settings.keeper, first)))
                .first;
        if (const stored_row* row = this->owners_row(service)) {
            if (auto stored = ranges::decode(row->value)) {
                found->second.keeper.adopt(*stored, now);
            } else {
                telemetry::log_error(this->log, "owners_row_malformed",
                                     {{"service", service.value()}, {"error", stored.error()}});
            }
        }
    }
    kept_service& own = found->second;
    std::map<wire::endpoint, const server_entry*> newest;
    for (const auto& [id, entry] : this->servers.servers()) {
        const server_entry*& known = newest[entry.address];
        if (known == nullptr || known->life.start_time_ms < entry.life.start_time_ms) {
            known = &entry;
        }
    }
    for (const auto& [id, entry] : this->servers.servers()) {
        if (newest.at(entry.address)->life.start_time_ms > entry.life.start_time_ms &&
            this->ended.insert(entry.life).second) {
            // A younger server has the address.
            own.keeper.set_instance_ended(entry.life, now);
        }
    }
    std::vector<ranges::candidate> candidates;
    for (const auto& [id, entry] : this->servers.servers()) {
        if (entry.service == service) {
            const bool stays = !entry.draining && !this->ended.contains(entry.life);
            const bool steady = stays && !this->servers.is_awaited(id) &&
                                now - this->store_lost > this->settings.steady_after;
            candidates.push_back({entry.life, weight_of(own, entry), stays, steady});
        }
    }
    own.keeper.set_candidates(candidates, now);
    own.keeper.set_store_unavailable(!this->store_ok || !this->store_reachable);
    for (const ranges::lease_command& what : own.keeper.due_commands(now)) {
        this->send(service, what);
    }
    if (!own.committing) {
        if (const auto table = own.keeper.plan(own.load, now)) {
            this->commit(service, *table);
        }
    }
    this->publish_routes(service, now);
}

void coordinator::state::send(const service_id& service, const ranges::lease_command& what) {
    const server_entry* entry = this->servers.find(what.server.id);
    const auto address = this->addresses.find(what.server.id);
    if (entry != nullptr) {
        this->addresses[what.server.id] = entry->address;
    } else if (address == this->addresses.end()) {
        // Its address is not known any more: the lease has to run out.
        this->loop.call_after(milliseconds{0}, [this, service, lease = what.lease] {
            const auto own = this->kept.find(service);
            if (own != this->kept.end()) {
                own->second.keeper.record_outcome(lease, ranges::command_outcome::not_sent, {},
                                                  wire::event_loop::now());
            }
        });
        return;
    }
    this->orders.send(
        this->addresses[what.server.id], what,
        [this, service, what, number = this->term->number](ranges::command_outcome outcome,
                                                           const std::string& handover) {
            const auto own = this->kept.find(service);
            if (!this->leading || own == this->kept.end() || this->term->number != number) {
                return;
            }
            if (outcome != ranges::command_outcome::done ||
                what.action == ranges::lease_command::kind::release) {
                telemetry::log_info(this->log,
                                    what.action == ranges::lease_command::kind::grant
                                        ? "grant_failed"
                                        : "release_ended",
                                    {{"service", service.value()},
                                     {"server", what.server.id.value()},
                                     {"first", what.keys.first},
                                     {"last", what.keys.last},
                                     {"fence", what.fence.value()},
                                     {"outcome", static_cast<int>(outcome)}});
            }
            const time_point now = wire::event_loop::now();
            own->second.keeper.record_outcome(what.lease, outcome, handover, now);
            this->publish_routes(service, now);
            if (own->second.keeper.newer_coordinator_seen()) {
                this->step_down("a server has seen a higher fence");
                this->rows.erase({std::string(term_table), std::string(term_row)});
                this->read_and_take_over();
            }
        });
}

void coordinator::state::commit(const service_id& service, const ranges::range_table& table) {
    kept_service& own = this->kept.at(service);
    own.committing = true;
    stored_row row;
    row.table = std::string(owners_table);
    row.key = service.value();
    row.version = this->version_of(owners_table, row.key);
    stored_row term_version;
    term_version.table = std::string(term_table);
    term_version.key = std::string(term_row);
    term_version.version = this->version_of(term_table, term_version.key);
    const std::vector<stored_row> expected{row, term_version};
    row.value = ranges::encode(table);
    telemetry::log_info(
        this->log, "owners_change",
        {{"service", service.value()}, {"ranges", table.ranges.size()}, {"version", row.version}});
    this->store.commit(expected, {row}, [this, service, value = row.value](commit_outcome outcome) {
        if (!this->kept.contains(service)) {
            return;
        }
        this->store_ok = outcome == commit_outcome::stored || outcome == commit_outcome::conflict;
        if (outcome == commit_outcome::stored || outcome == commit_outcome::unknown) {
            this->kept.at(service).late_table_possible = outcome == commit_outcome::unknown;
        }
        if (outcome == commit_outcome::rejected) {
            // Nothing was written; the plan is made anew.
            this->loop.call_after(commit_retry, [this, service] {
                const auto kept_now = this->kept.find(service);
                if (kept_now != this->kept.end()) {
                    const time_point now = wire::event_loop::now();
                    kept_now->second.committing = false;
                    kept_now->second.keeper.on_commit_result(false, now);
                    if (!kept_now->second.late_table_possible) {
                        kept_now->second.keeper.restore_owners(now);
                    }
                }
            });
            return;
        }
        this->resolve(service, value);
    });
}

/// Reads back which table is stored, after any commit that may have been carried out.
void coordinator::state::resolve(const service_id& service, const std::string& value) {
    this->read_rows([this, service, value](bool done) {
        if (!this->kept.contains(service)) {
            return;
        }
        const time_point now = wire::event_loop::now();
        this->store_ok = done;
        if (!done) {
            this->loop.call_after(commit_retry,
                                  [this, service, value] { this->resolve(service, value); });
            return;
        }
        this->store_reached = now;
        const stored_row* const row = this->owners_row(service);
        const bool stored = row != nullptr && row->value == value;
        kept_service& own = this->kept.at(service);
        own.committing = false;
        own.keeper.on_commit_result(stored, now);
        this->publish_routes(service, now);
    });
}

/// Gives this host and the others the owners to which requests may be sent, if they changed.
void coordinator::state::publish_routes(const service_id& service, time_point now) {
    kept_service& own = this->kept.at(service);
    ranges::range_table table = own.keeper.routes();
    std::vector<ranges::range_owner> changes =
        own.routes.ranges.empty() ? table.ranges : ranges::changes_between(own.routes, table);
    if (changes.empty()) {
        return;
    }
    own.history.push_back(std::move(changes));
    if (own.history.size() > history_length) {
        own.history.pop_front();
    }
    ++own.version;
    own.routes = std::move(table);
    this->known_owners[service] = own.routes;
    this->owners(service, own.routes);
    this->answer_waiting(false, now);
}

report_answer coordinator::state::make_answer(const host_report& report, time_point now) const {
    report_answer answer;
    answer.coordinating = this->leading;
    answer.pending = this->taking_over && !this->leading;
    answer.has_store = this->store_ok && this->store_reachable;
    answer.hosts = 1 + static_cast<int>(std::count_if(
                           this->reports.begin(), this->reports.end(),
                           [now](const auto& entry) { return now - entry.second < host_age; }));
    if (!this->leading) {
        return answer;
    }
    answer.term = this->term->number;
    if (this->tells_of_servers(report, now)) {
        answer.servers = this->servers.changes_since(report.servers, now);
        if (answer.servers) {
            answer.servers->age = std::chrono::ceil<milliseconds>(now - *this->servers_heard);
        }
    }
    for (const auto& [service, own] : this->kept) {
        const auto has = report.owners.find(service);
        const std::uint64_t version =
            report.term == answer.term && has != report.owners.end() ? has->second : 0;
        if (version == own.version || own.version == 0) {
            continue;
        }
        owners_update& update = answer.owners[service];
        update.version = own.version;
        const std::uint64_t missing = own.version - std::min(version, own.version);
        if (this->has_earlier_owners(report, service)) {
            update.ranges = ranges::changes_between(this->earlier_owners.at(service), own.routes);
            continue;
        }
        if (version == 0 || version > own.version || missing > own.history.size()) {
            update.whole = true;
            update.ranges = own.routes.ranges;
            continue;
        }
        std::vector<ranges::key_range> touched;
        for (std::size_t index = own.history.size() - missing; index < own.history.size();
             ++index) {
            for (const ranges::range_owner& entry : own.history[index]) {
                touched.push_back(entry.keys);
            }
        }
        // Later changes replace earlier ones: what counts is the table as it is now.
        for (const ranges::range_owner& entry : own.routes.ranges) {
            const bool overlaps = std::any_of(
                touched.begin(), touched.end(), [&entry](const ranges::key_range& keys) {
                    return keys.first <= entry.keys.last && entry.keys.first <= keys.last;
                });
            if (overlaps) {
                update.ranges.push_back(entry);
            }
        }
    }
    return answer;
}

/// Whether the host has the owners that this host had when it became the coordinator.
bool coordinator::state::has_earlier_owners(const host_report& report,
                                            const service_id& service) const {
    const auto theirs = report.owners.find(service);
    const auto ours = this->earlier_versions.find(service);
    return report.term == this->earlier_term && theirs != report.owners.end() &&
           ours != this->earlier_versions.end() && theirs->second == ours->second;
}

/// Whether what is known here of the servers is new enough to pass on.
bool coordinator::state::tells_of_servers(const host_report& report, time_point now) const {
    return report.servers != 0 && this->servers_heard &&
           now - *this->servers_heard < this->settings.relay_lapse;
}

/// Whether owners have changed since the host's last report, or servers long enough ago.
bool coordinator::state::lacks_news(const host_report& report, time_point now) const {
    if (report.servers < this->due_version && this->tells_of_servers(report, now)) {
        return true;
    }
    return std::any_of(this->kept.begin(), this->kept.end(), [this, &report](const auto& entry) {
        const auto has = report.owners.find(entry.first);
        const std::uint64_t version =
            report.term == this->term->number && has != report.owners.end() ? has->second : 0;
        return entry.second.version != 0 && version != entry.second.version;
    });
}

/// Answers the reports that lack news or have waited long enough.
void coordinator::state::answer_waiting(bool all, time_point now) {
    std::vector<kept_report> kept_on;
    std::vector<std::pair<answer_handler, report_answer>> answers;
    for (kept_report& one : this->waiting) {
        const bool waits = this->leading ? !this->lacks_news(one.report, now) : this->taking_over;
        if (all || now >= one.until || !waits) {
            answers.emplace_back(std::move(one.answer), this->make_answer(one.report, now));
        } else {
            kept_on.push_back(std::move(one));
        }
    }
    this->waiting = std::move(kept_on);
    for (const auto& [handler, answer] : answers) {
        handler(answer);
    }
}

void coordinator::set_store_reachable(bool reachable) {
    this->implementation->store_reachable = reachable;
}

void coordinator::on_servers() {
    state& own = *this->implementation;
    for (const auto& [id, entry] : own.servers.servers()) {
        own.addresses[id] = entry.address;
    }
    if (!own.leading || own.due_soon || own.servers.version() <= own.due_version ||
        own.gather >= own.settings.report_kept) {
        // Kept reports are answered before long.
        return;
    }
    own.due_soon = true;
    own.loop.call_after(own.gather, [&own] {
        own.due_soon = false;
        own.due_version = own.servers.version();
        own.answer_waiting(false, wire::event_loop::now());
    });
}

void coordinator::set_servers_heard(std::optional<time_point> when) {
    this->implementation->servers_heard = when;
}

void coordinator::set_gather(milliseconds pause) {
    this->implementation->gather = pause;
}

void coordinator::on_report(const host_report& report, answer_handler answer, time_point now) {
    state& own = *this->implementation;
    if (own.leading) {
        own.reports[report.host] = now;
        own.learn(report, now);
    }
    own.waiting.push_back({report, std::move(answer),
                           now + (report.at_once ? milliseconds{0} : own.settings.report_kept)});
    own.waiting.back().report.keys.clear();
    own.waiting.back().report.speeds.clear();
    own.answer_waiting(!own.leading && !own.taking_over, now);
}

void coordinator::resign() {
    this->implementation->resigned = true;
    this->implementation->give_up_term();
}

/// Vacates the term's row. Until that has succeeded, leases are still renewed here.
void coordinator::state::give_up_term() {
    if (!this->leading) {
        return;
    }
    term_content vacant;
    vacant.number = this->term->number;
    stored_row row;
    row.table = std::string(term_table);
    row.key = std::string(term_row);
    row.version = this->version_of(term_table, row.key);
    const std::vector<stored_row> expected{row};
    row.value = encode(vacant);
    this->store.commit(expected, {row}, [this](commit_outcome outcome) {
        if (outcome == commit_outcome::stored) {
            this->step_down("this process ends");
            return;
        }
        // The row may have been vacated without an answer, or be another host's.
        this->read_rows([this](bool done) {
            if (done && this->term && this->term->host.empty()) {
                this->step_down("this process ends");
                return;
            }
            this->loop.call_after(commit_retry, [this] { this->give_up_term(); });
        });
    });
}

}  // namespace greengagechute::gateway
