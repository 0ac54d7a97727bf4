#include "gateway/coordinator.h"

#include "admission/request_share.h"
#include "base/hash.h"
#include "ranges/ownership_gap.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Key of the only row of `term_table`.
constexpr std::string_view term_row = "coordinator";
/// Key of the only row of `quarantine_table`.
constexpr std::string_view quarantine_row = "requests";
constexpr milliseconds quarantine_retry_delay{1'000};
/// A fencing token consists of the era of the store, the term and the number of the grant. With the
/// era, tokens rise although a restored store gives out terms again. More than 2^24 grants in a
/// term would overlap with the next term's tokens, and more than 2^20 terms with the next era's.
constexpr unsigned fence_term_shift = 24;
constexpr unsigned fence_era_shift = 44;
/// Era of a store that has never come back from a copy.
constexpr std::uint64_t first_store_era = 1;
/// Number of terms that a store may lose when it comes back from a copy.
constexpr std::uint64_t max_lost_terms = 1'000;
constexpr milliseconds commit_retry_delay{150};
/// Versions of limits and of suspect requests that a coordinator may give out in its term.
constexpr std::uint64_t versions_per_term = 1'000'000;
/// Mean service time of the users' requests as a multiple of their geometric mean, which a few long
/// requests do not dominate.
constexpr double mean_to_geometric_mean = 1.4;
/// Time for which a server counts as leaving after the last host has reported it. The hosts that
/// know it may have been restarted since.
constexpr milliseconds leaving_retention = std::chrono::minutes{10};
/// Number of owner changes that are kept for incremental updates; hosts that are further behind get
/// the whole table.
constexpr std::size_t max_history = 64;
/// Number of other hosts that each host knows.
constexpr std::size_t max_contacts = 3;
/// A host that has not reported for this long is not counted as live.
constexpr milliseconds report_max_age{2'500};
constexpr int http_ok = 200;
/// Weight of one request in the exponential moving average of a server's service time, and the
/// largest weight of all requests in a report.
constexpr double sample_weight = 0.03;
constexpr double max_report_weight = 0.3;
/// Bounds of a server's speed relative to the mean; a measurement outside them isn't trusted and is
/// clamped.
constexpr double min_relative_speed = 0.4;
constexpr double max_relative_speed = 2.0;
constexpr int max_missed_reports = 2;

/// Content of the term row.
struct term_content {
    std::uint64_t number = 0;
    /// Identity of the coordinator's process; empty if the last coordinator has resigned.
    std::string host;
    std::optional<wire::endpoint> address;
    /// Era of the store in which the term was written. Empty in rows of earlier releases, like
    /// `owners_era`.
    std::optional<std::uint64_t> era;
    /// Era of the store in which the stored owners are known to be complete. In a later one they
    /// may be older than the leases in force.
    std::optional<std::uint64_t> owners_era;
};

std::string encode(const term_content& term) {
    nlohmann::json text;
    if (term.era) {
        text["era"] = *term.era;
    }
    if (term.owners_era) {
        text["owners_era"] = *term.owners_era;
    }
    text["term"] = term.number;
    text["host"] = term.host;
    text["address"] =
        term.address ? term.address->ip + ":" + std::to_string(term.address->port) : "";
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
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
    for (const auto& [name, field] :
         {std::pair{"era", &term.era}, std::pair{"owners_era", &term.owners_era}}) {
        const auto value = parsed.find(name);
        if (value != parsed.end() && value->is_number_unsigned()) {
            *field = value->get<std::uint64_t>();
        }
    }
    if (const auto address = wire::parse_endpoint(parsed["address"].get<std::string>())) {
        term.address = *address;
    }
    return term;
}

/// Addresses of hosts, by their ids.
using host_list = std::vector<std::pair<host_id, wire::endpoint>>;

/// Returns the place of the host, or that of the next one.
template <typename list>
auto find_host(list& hosts, const host_id& wanted) {
    return std::lower_bound(
        hosts.begin(), hosts.end(), wanted,
        [](const auto& entry, const host_id& host) { return entry.first < host; });
}

/// 0 for no contacts.
std::uint64_t hash_of(const std::vector<wire::endpoint>& contacts) {
    std::uint64_t hash = 0;
    for (const wire::endpoint& contact : contacts) {
        hash = hash64(contact.ip + ":" + std::to_string(contact.port), hash);
    }
    return hash;
}

}  // namespace

/// Limit on the requests for a hot bucket of keys.
struct bucket_limit {
    admission::rate_limit rate;
    double fraction = 1;
};

/// Ownership state of one divided service, held while this host coordinates.
struct managed_service {
    managed_service(ranges::lease_manager first, milliseconds recent_decay)
        : keeper(std::move(first)), recent_load(recent_decay) {}

    ranges::lease_manager keeper;
    ranges::key_load load;
    /// Load of the last moments, which limits are decided by.
    ranges::key_load recent_load;
    /// By the first key of the bucket.
    std::map<ranges::key_position, bucket_limit> limits;
    /// Queues that servers reported since a limit was last adapted to them.
    std::map<server_id, queue_sample> queues;
    /// Exponential moving average of the logarithm of each server's service time in milliseconds.
    std::map<server_id, double> speeds;
    /// A commit of the owner table is in progress.
    bool committing = false;
    /// The outcome of a commit is unknown: its table may still be stored later, until another
    /// commit succeeds.
    bool late_commit_possible = false;
    /// Owners to which hosts send requests. `version` counts the changes; `history` has the latest
    /// of them, oldest first.
    ranges::range_table routes;
    std::vector<ranges::ownership_gap> gaps;
    std::uint64_t version = 0;
    std::deque<std::vector<ranges::range_owner>> history;
};

/// Report that is held until there is news for the host, at the latest until `until`.
struct held_report {
    host_report report;
    coordinator::answer_handler answer;
    time_point until;
};

struct coordinator::state {
    wire::event_loop& loop;
    wire::client& peers;
    table_store& store;
    order_sender& orders;
    const directory& servers;
    telemetry::logger& log;
    coordinator_settings settings;
    coordinator_handlers handlers;
    std::mt19937_64 random;

    std::shared_ptr<const catalogue> config{};
    /// Latest known rows of the term and owners tables, by table and key.
    std::map<std::pair<std::string, std::string>, stored_row> rows{};
    bool table_loaded = false;
    std::optional<term_content> term{};
    /// Content of the cached term row, which is not `term` if the row was restored from a copy.
    std::optional<term_content> stored_term{};
    /// Latest era that the store has stated.
    std::optional<std::uint64_t> store_era{};
    /// The store came back from a copy since this host wrote its term, or the stored owners are not
    /// marked as complete yet. Until the term and the owners are written again, no owner changes.
    bool needs_reassertion = false;
    bool reasserting = false;
    /// The owners were complete in the store when this host took over, or all leases that may have
    /// been granted without being stored have expired since.
    bool owners_verified = true;
    /// Identifies this process in the term row; the host name alone would not, as the process may
    /// restart.
    std::string identity{};
    bool leading = false;
    bool taking_over = false;
    /// A takeover is scheduled after `takeover_delay`, unless another host is faster.
    bool takeover_scheduled = false;
    bool resigned = false;
    /// Consecutive reports without a valid answer.
    int missed_reports = 0;
    /// Time of the first answer in a row that said that a takeover is pending.
    std::optional<time_point> pending_since{};
    time_point coordinator_without_store_since{};
    bool coordinator_without_store = false;
    std::map<service_id, managed_service> managed{};
    /// Time of the last report of each host, and the hosts' addresses.
    std::map<host_id, time_point> reports{};
    host_list host_addresses{};
    /// Hosts to ask for the coordinator if neither it nor the store answers.
    std::vector<wire::endpoint> contacts{};
    bool asking_contacts = false;
    /// The known term was learned from another host, not from the store.
    bool term_from_host = false;
    /// Server incarnations that have ended although they may still be registered.
    std::set<ranges::server_instance> ended{};
    /// Server incarnations that have stated to a host that they are leaving, by the time of the
    /// last report that said so.
    std::map<ranges::server_instance, time_point> leaving{};
    /// Includes servers that are no longer registered but still have to release keys.
    std::map<server_id, wire::endpoint> addresses{};
    time_point last_tick{};
    time_point last_balance{};
    time_point last_limits{};
    /// Raised when a limit begins or ends. The first one of a term is above those of earlier terms.
    std::uint64_t limits_version = 0;
    time_point last_store_contact{};
    /// Start of this host's term as the coordinator.
    time_point coordinating_since{};
    /// The last commit, or the read after it, succeeded or ended in a conflict.
    bool store_ok = true;
    bool store_reachable = true;
    store_confirmations confirmed{};
    store_version catalogue_version{};
    milliseconds batch_delay{0};
    /// Held reports of hosts whose directory has an older version than this are answered
    /// immediately.
    store_version announced_version{};
    bool announcement_scheduled = false;

    std::vector<held_report> held_reports{};
    /// Owners that this host knows. The versions and the term are those in the answers of the
    /// remote coordinator from which it received them.
    std::map<service_id, ranges::range_table> known_owners{};
    std::map<service_id, std::uint64_t> known_versions{};
    std::uint64_t known_term = 0;
    /// Version of the limits that this host got last; 0 if it has none.
    std::uint64_t known_limits = 0;
    /// Requests under which servers have ended; of this host's own term, or learned from answers.
    suspect_ledger suspects{};
    /// Version of the suspect requests that this host got last; 0 if it knows of none.
    std::uint64_t known_suspects = 0;
    /// The stored quarantine differs from `suspects`, or a commit of it is in progress.
    bool quarantine_outdated = false;
    bool storing_quarantine = false;
    /// Copy made when this host became the coordinator: other hosts with the same versions need
    /// only the changes since then.
    std::map<service_id, ranges::range_table> inherited_owners{};
    std::map<service_id, std::uint64_t> inherited_versions{};
    std::uint64_t inherited_term = 0;

    store_version version_of(std::string_view table, const std::string& key) const {
        const auto found = this->rows.find({std::string(table), key});
        return found == this->rows.end() ? store_version{} : found->second.version;
    }
    const stored_row* owners_row(const service_id& service) const {
        const auto found = this->rows.find({std::string(owners_table), service.value()});
        return found == this->rows.end() ? nullptr : &found->second;
    }

    bool cache_row(std::string_view table, const stored_row& row);
    void note_content(std::string_view table, const table_content& content, bool whole);
    bool is_restored_copy(const stored_row& row, const term_content& read) const;
    epoch first_fence() const;
    /// Era in which the known term was written; 0 if none is known.
    std::uint64_t term_era() const { return this->term ? this->term->era.value_or(0) : 0; }
    bool followed_by_most_hosts(time_point now) const;
    void reassert_term();
    void write_term_and_owners();
    void end_reassertion(bool written);
    void on_term_row(const stored_row& row);
    void read_rows(call_connection connection, const std::function<void(bool)>& done);
    void report();
    void schedule_report(milliseconds pause);
    void on_answer(const report_answer& answer);
    void on_not_coordinating(bool pending, time_point now);
    report_answer make_answer(const host_report& report, time_point now) const;
    bool has_inherited_owners(const host_report& report, const service_id& service) const;
    bool can_relay_directory(const host_report& report, time_point now) const;
    bool is_outdated(const host_report& report, time_point now) const;
    void answer_held_reports(bool all, time_point now);
    void publish_routes(const service_id& service, time_point now);
    std::vector<wire::endpoint> contacts_for(const host_id& host) const;
    void ask_contacts(std::size_t next);
    void on_contact_answer(const term_content& read);
    void on_coordinator_lost(std::string_view reason);
    void take_over();
    void read_and_take_over();
    void confirm_takeover(const term_content& new_term);
    void end_takeover();
    void vacate_term();
    void start_coordinating(std::uint64_t number);
    void step_down(std::string_view reason);
    void tick();
    void update_limits(time_point now);
    bool update_limits(const service_id& service, managed_service& own, time_point now);
    bool knows_limits(time_point now) const;
    bool has_limits() const;
    int live_hosts(time_point now) const;
    limits_update current_limits() const;
    void adopt_owners(const service_id& service, managed_service& own, time_point now);
    void update_leases(const service_id& service, time_point now);
    void apply_report(const host_report& report, time_point now);
    void suspects_changed(time_point now);
    void read_quarantine();
    void store_quarantine(time_point now);
    void send(const service_id& service, const ranges::lease_command& what);
    void commit(const service_id& service, const ranges::range_table& table);
    void verify_commit(const service_id& service, const std::string& value,
                       call_connection connection);
    bool is_isolated(time_point now) const;
};

milliseconds takeover_delay(const coordinator_settings& settings) {
    const double capacity_ratio =
        std::min({1.0, settings.capacity.cpu_cores / settings.full_capacity.cpu_cores,
                  settings.capacity.link_mbps / settings.full_capacity.link_mbps});
    return milliseconds(std::llround((1.0 - capacity_ratio) *
                                     static_cast<double>(settings.max_takeover_delay.count())));
}

coordinator::coordinator(wire::event_loop& loop, wire::client& peers, table_store& store,
                         order_sender& orders, const directory& servers, telemetry::logger& log,
                         coordinator_settings settings, coordinator_handlers handlers,
                         std::uint64_t seed)
    : implementation(new state{loop, peers, store, orders, servers, log, std::move(settings),
                               std::move(handlers), std::mt19937_64(seed)}) {
    this->implementation->suspects = make_suspect_ledger(this->implementation->settings.quarantine);
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
    own.last_store_contact = wire::event_loop::now();
    if (whole) {
        own.table_loaded = true;
    }
    own.note_content(term_table, content, whole);
    for (const stored_row& row : content.rows) {
        if (row.key == term_row) {
            own.on_term_row(row);
        }
    }
}

/// Notices a new era of the store, and forgets the rows that the store has lost.
/// @param whole  `content` holds all rows of the table
void coordinator::state::note_content(std::string_view table, const table_content& content,
                                      bool whole) {
    const std::uint64_t era = content.version.era;
    const bool raised = this->store_era && era > *this->store_era;
    this->store_era = std::max(era, this->store_era.value_or(era));
    if (raised) {
        this->needs_reassertion = this->leading;
        telemetry::log_warning(this->log, "store_era_changed",
                               {{"era", era}, {"coordinating", this->leading}});
        this->handlers.store_era_changed(era);
    }
    if (!whole) {
        return;
    }
    std::erase_if(this->rows, [&](const auto& entry) {
        return entry.first.first == table && entry.second.version.era < era &&
               std::none_of(
                   content.rows.begin(), content.rows.end(),
                   [&entry](const stored_row& row) { return row.key == entry.first.second; });
    });
    if (table == term_table && !this->rows.contains({std::string(table), std::string(term_row)})) {
        this->stored_term.reset();
    }
}

/// Whether the term row is a copy from before the store was restored, and this host knows a later
/// term, or the same one, from the time that was lost.
bool coordinator::state::is_restored_copy(const stored_row& row, const term_content& read) const {
    return read.era && *read.era < row.version.era && this->term &&
           read.number <= this->term->number;
}

/// Lowest fencing token of this host's term.
epoch coordinator::state::first_fence() const {
    return epoch((this->store_era.value_or(0) << fence_era_shift) +
                 (this->term->number << fence_term_shift) + 1);
}

/// Stores a row if it is newer than the known one.
/// @return  whether it was
bool coordinator::state::cache_row(std::string_view table, const stored_row& row) {
    stored_row& known = this->rows[{std::string(table), row.key}];
    if (known.version >= row.version) {
        return false;
    }
    known = row;
    return true;
}

void coordinator::state::on_term_row(const stored_row& row) {
    if (!this->cache_row(term_table, row)) {
        return;
    }
    const auto read = decode_term(row.value);
    if (!read) {
        telemetry::log_error(this->log, "term_row_malformed", {{"version", row.version.number}});
        return;
    }
    this->stored_term = *read;
    if (this->is_restored_copy(row, *read)) {
        telemetry::log_info(
            this->log, "term_row_restored",
            {{"term", read->number}, {"known_term", this->term->number}, {"era", row.version.era}});
        return;
    }
    this->term = *read;
    this->term_from_host = false;
    this->missed_reports = 0;
    this->coordinator_without_store = false;
    if (this->leading && read->host != this->identity) {
        this->step_down("another host holds the term");
    }
    if (!this->leading && !this->taking_over && read->host.empty() && !this->resigned) {
        // Random delay: the first host's term reaches most others before they try.
        const double spread = std::uniform_real_distribution<double>(0, 1)(this->random);
        const auto delay = static_cast<double>(this->settings.takeover_spread.count()) * spread;
        this->loop.call_after(milliseconds(static_cast<std::int64_t>(delay)),
                              [this, number = read->number] {
                                  if (this->term && this->term->number == number) {
                                      this->on_coordinator_lost("resigned");
                                  }
                              });
    }
}

/// Reads both tables.
/// @param done  called with whether both reads succeeded
void coordinator::state::read_rows(call_connection connection,
                                   const std::function<void(bool)>& done) {
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
    this->store.read(std::string(owners_table), connection,
                     [this, finish](const result<table_content>& owner_rows) {
                         if (owner_rows) {
                             this->note_content(owners_table, *owner_rows, true);
                             for (const stored_row& row : owner_rows->rows) {
                                 this->cache_row(owners_table, row);
                             }
                         }
                         finish(owner_rows.has_value());
                     });
    this->store.read(std::string(term_table), connection,
                     [this, finish](const result<table_content>& terms) {
                         if (terms) {
                             this->note_content(term_table, *terms, true);
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
    // Jitter, so that the hosts do not all notice a lost coordinator at the same moment.
    const double spread = 0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(this->random);
    this->loop.call_after(
        milliseconds(static_cast<std::int64_t>(static_cast<double>(pause.count()) * spread)),
        [this] { this->report(); });
}

void coordinator::state::report() {
    if (!this->leading && !this->taking_over && this->table_loaded && this->servers.loaded() &&
        (!this->term || !this->term->address || this->term->host.empty() ||
         this->term->host == this->identity)) {
        // This host holds the term without coordinating if it has stepped down, or if a takeover
        // was stored although it seemed to fail.
        this->on_coordinator_lost("vacant");
    }
    // A takeover by a host that the store does not answer fails only after seconds.
    const bool takes_over = this->taking_over && !this->term_from_host;
    if (this->leading || takes_over || !this->table_loaded || !this->servers.loaded() ||
        !this->term || !this->term->address || this->term->host == this->identity) {
        this->schedule_report(this->settings.report_retry_delay);
        return;
    }
    host_report content = this->handlers.collect_report();
    content.host = this->settings.host;
    content.address = this->settings.address;
    content.contacts = hash_of(this->contacts);
    content.term = this->known_term;
    content.at_once = this->missed_reports > 0;
    content.owners = this->known_versions;
    content.servers = this->servers.version();
    content.limits = this->known_limits;
    content.suspects = this->known_suspects;
    wire::request message;
    message.method = "POST";
    message.target = std::string(report_target);
    message.headers.push_back({"Host", this->term->address->ip});
    message.body = encode(content);
    wire::call_options options;
    options.timeout =
        content.at_once ? this->settings.probe_timeout : this->settings.report_timeout;
    options.connect_timeout = options.timeout;
    this->peers.send(*this->term->address, message, options,
                     [this, number = this->term->number,
                      losses = std::move(content.losses)](const wire::call_result& outcome) {
                         report_answer answer;
                         const bool answered = !outcome.error && outcome.message.code == http_ok &&
                                               decode(outcome.message.body, answer);
                         if ((!answered || !answer.coordinating) && !losses.empty()) {
                             this->handlers.losses_unreported(losses);
                         }
                         const bool first_miss = !answered && this->missed_reports == 0;
                         this->schedule_report((answered && answer.coordinating) || first_miss
                                                   ? this->settings.report_pause
                                                   : this->settings.report_retry_delay);
                         if (this->leading || !this->term || this->term->number != number) {
                             return;
                         }
                         if (!answered) {
                             ++this->missed_reports;
                             if (outcome.error == wire::wire_errc::refused ||
                                 this->missed_reports >= max_missed_reports) {
                                 this->on_coordinator_lost(outcome.error.message());
                             }
                             return;
                         }
                         this->missed_reports = 0;
                         if (!answer.coordinating) {
                             this->on_not_coordinating(answer.pending, wire::event_loop::now());
                             return;
                         }
                         this->pending_since.reset();
                         this->on_answer(answer);
                     });
}

/// Handles an answer of a term holder that does not coordinate, or not yet.
void coordinator::state::on_not_coordinating(bool pending, time_point now) {
    if (pending && !this->pending_since) {
        this->pending_since = now;
    }
    if (pending && now - *this->pending_since < this->settings.takeover_timeout) {
        return;
    }
    this->pending_since.reset();
    this->on_coordinator_lost("not coordinating");
}

void coordinator::state::on_answer(const report_answer& answer) {
    this->handlers.hosts_counted(answer.hosts);
    const time_point now = wire::event_loop::now();
    if (answer.term != this->known_term) {
        this->known_term = answer.term;
        this->known_versions.clear();
    }
    if (answer.servers) {
        // Apply servers before owners, which may refer to new servers.
        this->handlers.servers_relayed(*answer.servers);
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
        this->handlers.owners_changed(service, known);
    }
    if (!answer.contacts.empty()) {
        this->contacts = answer.contacts;
    }
    if (answer.suspects) {
        this->known_suspects = answer.suspects->version;
        merge(this->suspects, *answer.suspects, now);
        this->handlers.suspects_changed(*answer.suspects);
    }
    if (answer.limits) {
        this->known_limits = answer.limits->limits.empty() ? 0 : answer.limits->version;
        this->handlers.limits_changed(*answer.limits);
    }
    if (answer.catalogue.number != 0) {
        this->handlers.catalogue_named(answer.catalogue, answer.catalogue_age);
    }
    if (answer.term_age && this->term && answer.term == this->term->number) {
        this->handlers.term_confirmed(*answer.term_age);
    }
    if (answer.has_store || !this->store_reachable) {
        // If this host does not reach the store either, it cannot take over, and the coordinator
        // may regain access at the same time.
        this->coordinator_without_store = false;
    } else if (!this->coordinator_without_store) {
        this->coordinator_without_store = true;
        this->coordinator_without_store_since = now;
    } else if (now - this->coordinator_without_store_since > this->settings.isolation_timeout / 2 &&
               (!this->confirmed.term ||
                *this->confirmed.term >= this->coordinator_without_store_since)) {
        this->coordinator_without_store = false;
        this->on_coordinator_lost("store not reachable");
    }
}

/// Other hosts that the host may ask for the coordinator, at equal distances in the order of their
/// ids, so that few of them share a data centre.
std::vector<wire::endpoint> coordinator::state::contacts_for(const host_id& host) const {
    const auto place = find_host(this->host_addresses, host);
    const bool reports_itself = place != this->host_addresses.end() && place->first == host;
    const std::size_t others = this->host_addresses.size() - (reports_itself ? 1 : 0);
    const std::size_t count = std::min(max_contacts, others);
    const auto first =
        static_cast<std::size_t>(place - this->host_addresses.begin()) + (reports_itself ? 1 : 0);
    std::vector<wire::endpoint> chosen;
    for (std::size_t number = 0; number < count; ++number) {
        const std::size_t index = first + number * others / count;
        chosen.push_back(this->host_addresses[index % this->host_addresses.size()].second);
    }
    return chosen;
}

/// Asks the contacts, one after the other, for a later term than the known one.
void coordinator::state::ask_contacts(std::size_t next) {
    if (next == 0 && this->asking_contacts) {
        return;
    }
    this->asking_contacts = next < this->contacts.size() && !this->leading && !this->resigned;
    if (!this->asking_contacts) {
        return;
    }
    wire::request message;
    message.method = "GET";
    message.target = std::string(term_target);
    message.headers.push_back({"Host", this->contacts[next].ip});
    wire::call_options options;
    options.timeout = this->settings.probe_timeout;
    options.connect_timeout = options.timeout;
    this->peers.send(this->contacts[next], message, options,
                     [this, next](const wire::call_result& outcome) {
                         const auto read = !outcome.error && outcome.message.code == http_ok
                                               ? decode_term(outcome.message.body)
                                               : std::nullopt;
                         const std::uint64_t known = this->term ? this->term->number : 0;
                         if (read) {
                             this->on_contact_answer(*read);
                         }
                         const bool learned = this->term && this->term->number > known;
                         this->ask_contacts(learned ? this->contacts.size() : next + 1);
                     });
}

/// Follows a coordinator that another host knows, if its term is later than the known one. The
/// store decides who holds the term; until it answers, this host could only follow a deposed
/// coordinator.
void coordinator::state::on_contact_answer(const term_content& read) {
    const std::uint64_t known = this->term ? this->term->number : 0;
    const std::uint64_t era = read.era.value_or(0);
    if (this->leading || this->resigned || !read.address || read.host.empty() ||
        read.host == this->identity ||
        std::pair(era, read.number) <= std::pair(this->term_era(), known)) {
        return;
    }
    telemetry::log_info(this->log, "coordinator_named_by_host",
                        {{"term", read.number}, {"known_term", known}, {"era", era}});
    this->term = read;
    this->term_from_host = true;
    this->missed_reports = 0;
    this->pending_since.reset();
    this->coordinator_without_store = false;
}

void coordinator::state::on_coordinator_lost(std::string_view reason) {
    if (!this->leading && !this->resigned) {
        this->ask_contacts(0);
    }
    if (this->leading || this->taking_over || this->takeover_scheduled || this->resigned ||
        !this->table_loaded || !this->servers.loaded()) {
        return;
    }
    const std::uint64_t lost = this->term ? this->term->number : 0;
    const bool restored = this->term && this->term->era && this->store_era &&
                          *this->term->era < *this->store_era && this->stored_term &&
                          this->stored_term->number == this->term->number;
    const milliseconds backoff =
        takeover_delay(this->settings) +
        (restored ? this->settings.restored_takeover_delay : milliseconds{0});
    telemetry::log_info(this->log, "coordinator_lost",
                        {{"reason", reason}, {"term", lost}, {"restraint", backoff}});
    if (backoff == milliseconds{0}) {
        this->take_over();
        return;
    }
    this->takeover_scheduled = true;
    const std::uint64_t lost_era = this->term_era();
    this->loop.call_after(backoff, [this, lost, lost_era] {
        this->takeover_scheduled = false;
        const std::uint64_t present = this->term ? this->term->number : 0;
        if (!this->leading && !this->taking_over && !this->resigned && present == lost &&
            this->term_era() == lost_era) {
            this->take_over();
        }
    });
}

/// Takes over after reading the term, for cases in which the known term may be outdated.
void coordinator::state::read_and_take_over() {
    this->taking_over = true;
    const std::uint64_t seen = this->term ? this->term->number : 0;
    this->read_rows(call_connection::fresh, [this, seen](bool done) {
        if (!done || (this->term && this->term->number > seen && !this->term->host.empty())) {
            // The store is unavailable, or another host has taken over.
            this->end_takeover();
            return;
        }
        this->take_over();
    });
}

/// Replaces the known term by one of this host (compare-and-swap): if the known term is outdated,
/// the commit fails with a conflict.
void coordinator::state::take_over() {
    if (this->resigned) {
        this->end_takeover();
        return;
    }
    this->taking_over = true;
    term_content new_term;
    new_term.number = (this->term ? this->term->number : 0) + 1;
    if (this->stored_term && this->stored_term->era && this->store_era &&
        *this->stored_term->era < *this->store_era) {
        // Hosts tell owners of different terms apart by their numbers.
        new_term.number += max_lost_terms;
    }
    new_term.host = this->identity;
    new_term.address = this->settings.address;
    new_term.era = this->store_era;
    // Without a row, there are no owners yet, unless a restored store has lost them.
    new_term.owners_era = this->stored_term ? this->stored_term->owners_era
                          : this->store_era.value_or(0) > first_store_era
                              ? std::optional<std::uint64_t>(0)
                              : this->store_era;
    stored_row row;
    row.table = std::string(term_table);
    row.key = std::string(term_row);
    row.version = this->version_of(term_table, row.key);
    const std::vector<stored_row> expected{row};
    row.value = encode(new_term);
    this->store.commit(expected, {row}, call_connection::fresh,
                       [this, new_term](commit_outcome outcome) {
                           if (outcome == commit_outcome::rejected) {
                               this->end_takeover();
                           } else if (outcome == commit_outcome::unknown) {
                               // The commit may still be applied after this read. If the read shows
                               // it, read again: only owners that are read after the term was
                               // written are final.
                               this->read_rows(call_connection::fresh, [this, new_term](bool done) {
                                   if (done && this->term && this->term->host == this->identity) {
                                       this->confirm_takeover(new_term);
                                   } else {
                                       this->end_takeover();
                                   }
                               });
                           } else {
                               this->confirm_takeover(new_term);
                           }
                       });
}

/// Reads back whether this host holds the term, and the owners: once the term is written, no other
/// host can change them, as each commit of owners checks the term's version.
void coordinator::state::confirm_takeover(const term_content& new_term) {
    this->read_rows(call_connection::fresh, [this, new_term](bool done) {
        if (done && this->term && this->term->host == this->identity &&
            this->term->number == new_term.number && !this->resigned) {
            this->taking_over = false;
            this->start_coordinating(new_term.number);
        } else {
            this->end_takeover();
        }
    });
}

/// Ends a takeover that has failed.
void coordinator::state::end_takeover() {
    this->taking_over = false;
    this->answer_held_reports(true, wire::event_loop::now());
}

void coordinator::state::start_coordinating(std::uint64_t number) {
    if (this->leading) {
        return;
    }
    const time_point now = wire::event_loop::now();
    this->leading = true;
    this->inherited_owners = this->known_owners;
    this->inherited_versions = std::exchange(this->known_versions, {});
    this->inherited_term = std::exchange(this->known_term, 0);
    this->managed.clear();
    this->reports.clear();
    this->host_addresses.clear();
    this->term_from_host = false;
    this->last_tick = now;
    this->last_balance = now;
    this->last_store_contact = now;
    this->coordinating_since = now;
    this->limits_version = number * versions_per_term + 1;
    this->suspects.version = number * versions_per_term + 1;
    this->needs_reassertion = false;
    this->owners_verified = !this->term->owners_era || this->term->owners_era == this->store_era;
    telemetry::log_info(this->log, "coordinating",
                        {{"term", number}, {"owners_verified", this->owners_verified}});
    this->quarantine_outdated = false;
    this->read_quarantine();
    this->tick();
}

void coordinator::state::step_down(std::string_view reason) {
    if (this->leading) {
        this->leading = false;
        this->needs_reassertion = false;
        this->managed.clear();
        this->answer_held_reports(true, wire::event_loop::now());
        telemetry::log_info(this->log, "coordination_ended",
                            {{"reason", reason}, {"term", this->term ? this->term->number : 0}});
        this->contacts = this->contacts_for(this->settings.host);
        this->ask_contacts(0);
    }
}

bool coordinator::state::is_isolated(time_point now) const {
    if (now - this->last_store_contact < this->settings.isolation_timeout ||
        (this->store_ok && this->store_reachable)) {
        return false;
    }
    return !this->reports.empty() &&
           std::all_of(this->reports.begin(), this->reports.end(), [this, now](const auto& entry) {
               return now - entry.second > this->settings.isolation_timeout;
           });
}

void coordinator::state::tick() {
    if (!this->leading) {
        return;
    }
    const time_point now = wire::event_loop::now();
    if (now - this->last_tick > this->settings.isolation_timeout / 2) {
        // The process was suspended: another host may hold the term by now.
        this->step_down("suspended");
        this->term.reset();
        this->rows.erase({std::string(term_table), std::string(term_row)});
        this->read_rows(call_connection::fresh, [this](bool done) {
            if (done && this->term && this->term->host == this->identity) {
                // No other host took over. A new term is needed for new fencing tokens.
                this->take_over();
            }
        });
        return;
    }
    this->last_tick = now;
    this->answer_held_reports(false, now);
    if (!this->owners_verified && !this->managed.empty() &&
        std::none_of(this->managed.begin(), this->managed.end(), [now](const auto& entry) {
            return entry.second.keeper.has_unverified(now);
        })) {
        this->owners_verified = true;
        this->needs_reassertion = true;
    }
    this->reassert_term();
    if (!this->leading) {
        return;
    }
    if (!this->is_isolated(now) && this->config && this->servers.loaded()) {
        for (const auto& [id, service] : this->config->services) {
            if (service.divided) {
                this->update_leases(id, now);
            }
        }
        this->apply_report(this->handlers.collect_report(), now);
        if (now - this->last_limits >= this->settings.limit_interval) {
            this->last_limits = now;
            this->update_limits(now);
        }
        if (now - this->last_balance >= this->settings.balance_interval) {
            this->last_balance = now;
            for (auto& [id, service] : this->managed) {
                service.load.decay(now);
                if (!service.committing && this->store_ok && !this->needs_reassertion) {
                    service.keeper.balance(service.load, now);
                }
            }
            std::erase_if(this->reports, [now](const auto& entry) {
                constexpr int forget_after = 4;
                return now - entry.second > forget_after * report_max_age;
            });
            std::erase_if(this->host_addresses, [this](const auto& entry) {
                return !this->reports.contains(entry.first);
            });
            expire(this->suspects, now);
            this->store_quarantine(now);
            std::erase_if(this->leaving, [now](const auto& entry) {
                return now - entry.second > leaving_retention;
            });
            this->handlers.hosts_counted(this->live_hosts(now));
        }
    }
    this->loop.call_after(this->settings.tick_interval, [this] { this->tick(); });
}

/// Whether most of the live hosts report. Otherwise another host may have taken over in the time
/// that the store has lost.
bool coordinator::state::followed_by_most_hosts(time_point now) const {
    const auto reported_within = [this, now](milliseconds age) {
        return std::count_if(this->reports.begin(), this->reports.end(),
                             [now, age](const auto& entry) { return now - entry.second < age; });
    };
    return 2 * reported_within(this->settings.isolation_timeout / 2) >=
           reported_within(report_max_age);
}

/// After the store came back from an older copy, writes the term and the owners that this host
/// knows over those of the copy.
void coordinator::state::reassert_term() {
    const bool committing = std::any_of(this->managed.begin(), this->managed.end(),
                                        [](const auto& entry) { return entry.second.committing; });
    if (!this->needs_reassertion || this->reasserting || committing || !this->store_reachable) {
        return;
    }
    if (!this->followed_by_most_hosts(wire::event_loop::now())) {
        this->step_down("most hosts do not report after a restore of the store");
        this->read_and_take_over();
        return;
    }
    this->reasserting = true;
    this->read_rows(call_connection::fresh, [this](bool done) {
        const bool holds_term = done && this->leading && this->term->host == this->identity;
        if (!holds_term || !this->needs_reassertion) {
            this->end_reassertion(false);
            return;
        }
        this->write_term_and_owners();
    });
}

void coordinator::state::write_term_and_owners() {
    term_content next = *this->term;
    next.era = this->store_era;
    const bool all_managed =
        std::all_of(this->rows.begin(), this->rows.end(), [this](const auto& entry) {
            return entry.first.first != owners_table ||
                   this->managed.contains(service_id(entry.first.second));
        });
    next.owners_era =
        this->owners_verified && all_managed ? this->store_era : this->term->owners_era;
    stored_row term_entry;
    term_entry.table = std::string(term_table);
    term_entry.key = std::string(term_row);
    term_entry.version = this->version_of(term_table, term_entry.key);
    std::vector<stored_row> expected{term_entry};
    term_entry.value = encode(next);
    std::vector<stored_row> written{term_entry};
    for (const auto& [service, own] : this->managed) {
        const ranges::range_table table = own.keeper.table();
        if (table.ranges.empty()) {
            continue;
        }
        stored_row owners_entry;
        owners_entry.table = std::string(owners_table);
        owners_entry.key = service.value();
        owners_entry.version = this->version_of(owners_table, owners_entry.key);
        expected.push_back(owners_entry);
        owners_entry.value = ranges::encode(table);
        written.push_back(owners_entry);
    }
    this->store.commit(
        expected, written, call_connection::fresh, [this, next](commit_outcome outcome) {
            if (outcome == commit_outcome::rejected) {
                this->end_reassertion(false);
                return;
            }
            // The outcome may be unknown, and the versions of the new rows are needed.
            this->read_rows(call_connection::fresh, [this, next](bool done) {
                this->end_reassertion(done && this->leading && this->stored_term &&
                                      this->stored_term->host == this->identity &&
                                      this->stored_term->era == next.era &&
                                      this->stored_term->owners_era == next.owners_era &&
                                      this->store_era == next.era);
            });
        });
}

/// @param written  the term and the owners of this host are in the store
void coordinator::state::end_reassertion(bool written) {
    if (!written) {
        this->loop.call_after(commit_retry_delay, [this] { this->reasserting = false; });
        return;
    }
    this->reasserting = false;
    this->needs_reassertion = false;
    this->quarantine_outdated = true;
    this->term->era = this->stored_term->era;
    this->term->owners_era = this->stored_term->owners_era;
    for (auto& [service, own] : this->managed) {
        own.late_commit_possible = false;
        own.keeper.raise_fences(this->first_fence());
    }
    telemetry::log_info(this->log, "term_reasserted",
                        {{"term", this->term->number},
                         {"era", this->store_era.value_or(0)},
                         {"owners_verified", this->owners_verified}});
}

void coordinator::state::apply_report(const host_report& report, time_point now) {
    for (const ranges::server_instance& life : report.ended) {
        this->ended.insert(life);
        for (auto& [service, own] : this->managed) {
            own.keeper.set_instance_ended(life, now);
        }
    }
    for (const ranges::server_instance& life : report.leaving) {
        this->leaving[life] = now;
    }
    if (record_report(this->suspects, report.losses, report.cleared, now)) {
        this->quarantine_outdated = true;
        this->suspects_changed(now);
    }
    for (const auto& [service, keys] : report.keys) {
        const auto found = this->managed.find(service);
        if (found != this->managed.end()) {
            for (const ranges::key_position key : keys) {
                found->second.load.add(key);
                found->second.recent_load.add(key);
            }
        }
    }
    for (const auto& [service, queues] : report.queues) {
        const auto found = this->managed.find(service);
        if (found == this->managed.end()) {
            continue;
        }
        for (const auto& [server, sample] : queues) {
            queue_sample& known = found->second.queues[server];
            known.sum += sample.sum;
            known.count += sample.count;
        }
    }
    for (const auto& [service, samples] : report.speeds) {
        const auto found = this->managed.find(service);
        if (found == this->managed.end()) {
            continue;
        }
        for (const auto& [server, sample] : samples) {
            if (sample.count <= 0) {
                continue;
            }
            const double mean = sample.sum_log_ms / sample.count;
            const auto [known, added] = found->second.speeds.emplace(server, mean);
            const double alpha = std::min(max_report_weight, sample.count * sample_weight);
            known->second += alpha * (mean - known->second);
        }
    }
}

/// Tells this host and the others.
void coordinator::state::suspects_changed(time_point now) {
    this->handlers.suspects_changed(current_suspects(this->suspects, now));
    this->answer_held_reports(false, now);
}

/// Learns which requests earlier coordinators refused: this host may have been started since, and
/// the others as well.
void coordinator::state::read_quarantine() {
    this->store.read(std::string(quarantine_table), call_connection::fresh,
                     [this, number = this->term->number](const result<table_content>& content) {
                         if (!this->leading || this->term->number != number) {
                             return;
                         }
                         if (!content) {
                             this->loop.call_after(quarantine_retry_delay, [this, number] {
                                 if (this->leading && this->term->number == number) {
                                     this->read_quarantine();
                                 }
                             });
                             return;
                         }
                         const time_point now = wire::event_loop::now();
                         const auto wall_now =
                             std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
                         for (const stored_row& row : content->rows) {
                             const auto requests = row.key == quarantine_row && !row.removed
                                                       ? decode_row(row.value, wall_now)
                                                       : std::nullopt;
                             if (requests && !requests->empty()) {
                                 merge(this->suspects, {0, *requests, {}}, now);
                                 ++this->suspects.version;
                                 this->suspects_changed(now);
                             }
                         }
                     });
}

/// Stores which requests are refused, if that has changed.
void coordinator::state::store_quarantine(time_point now) {
    if (!this->quarantine_outdated || this->storing_quarantine || !this->store_ok ||
        !this->store_reachable || this->needs_reassertion) {
        return;
    }
    this->quarantine_outdated = false;
    this->storing_quarantine = true;
    std::vector<suspect_request> refused = current_suspects(this->suspects, now).requests;
    std::erase_if(refused, [this](const suspect_request& request) {
        return request.losses < this->suspects.requests.limits.losses;
    });
    stored_row row;
    row.table = std::string(quarantine_table);
    row.key = std::string(quarantine_row);
    row.value =
        encode_row(refused, std::chrono::floor<milliseconds>(std::chrono::system_clock::now()));
    stored_row term_entry;
    term_entry.table = std::string(term_table);
    term_entry.key = std::string(term_row);
    term_entry.version = this->version_of(term_table, term_entry.key);
    this->store.commit({term_entry}, {row}, call_connection::kept, [this](commit_outcome outcome) {
        this->storing_quarantine = false;
        this->quarantine_outdated = this->quarantine_outdated || outcome != commit_outcome::stored;
    });
}

/// Mean logarithm of the service times of all servers in milliseconds; empty if none is known.
std::optional<double> mean_log_ms(const managed_service& own) {
    if (own.speeds.empty()) {
        return std::nullopt;
    }
    double sum = 0;
    for (const auto& [server, log_ms] : own.speeds) {
        sum += log_ms;
    }
    return sum / static_cast<double>(own.speeds.size());
}

/// Relative share of the load for a server: its slots, weighted by its relative speed if measured.
/// @param mean  `mean_log_ms` of the service
double weight_of(const managed_service& own, std::optional<double> mean,
                 const server_entry& entry) {
    const auto slots = static_cast<double>(std::max(1, entry.slots));
    const auto speed = own.speeds.find(entry.life.id);
    if (speed == own.speeds.end() || !mean) {
        return slots;
    }
    return slots *
           std::clamp(std::exp(*mean - speed->second), min_relative_speed, max_relative_speed);
}

/// Mean service time of a server in milliseconds, or that of all servers if it is not known; 0 if
/// none is known.
/// @param mean  `mean_log_ms` of the service
double service_ms_of(const managed_service& own, std::optional<double> mean,
                     const server_id& server) {
    const auto speed = own.speeds.find(server);
    const std::optional<double> log_ms = speed != own.speeds.end() ? speed->second : mean;
    return log_ms ? std::exp(*log_ms) * mean_to_geometric_mean : 0;
}

/// Decides the limits of hot keys, and tells the hosts at once if one begins or ends.
void coordinator::state::update_limits(time_point now) {
    bool changed = false;
    for (auto& [service, own] : this->managed) {
        own.recent_load.decay(now);
        changed = this->update_limits(service, own, now) || changed;
    }
    if (changed) {
        ++this->limits_version;
    }
    if (this->knows_limits(now)) {
        this->handlers.limits_changed(this->current_limits());
    }
    if (changed) {
        this->answer_held_reports(false, now);
    }
}

/// Returns whether a limit has begun or ended.
bool coordinator::state::update_limits(const service_id& service, managed_service& own,
                                       time_point now) {
    struct owner_state {
        admission::owner_load load;
        ranges::bucket_load hottest;
    };
    std::map<server_id, owner_state> owners;
    std::map<ranges::key_position, server_id> owner_of_limited;
    const ranges::range_table table = own.keeper.table();
    for (const ranges::range_owner& entry : table.ranges) {
        owner_state& owner = owners[entry.owner.id];
        owner.load.total_per_s += own.recent_load.request_rate(entry.keys);
        ranges::bucket_load hottest = own.recent_load.hottest_bucket(entry.keys);
        for (auto limit = own.limits.lower_bound(entry.keys.first);
             limit != own.limits.end() && limit->first <= entry.keys.last; ++limit) {
            // Of a limited bucket, only what hosts send counts.
            const double rate = own.recent_load.request_rate({limit->first, limit->first});
            owner.load.total_per_s -= std::max(0.0, rate - limit->second.rate.per_s);
            owner_of_limited[limit->first] = entry.owner.id;
            hottest = hottest.first == limit->first ? ranges::bucket_load{} : hottest;
        }
        owner.hottest = hottest.per_s > owner.hottest.per_s ? hottest : owner.hottest;
    }
    const int hosts = this->live_hosts(now);
    const std::optional<double> mean = mean_log_ms(own);
    const auto load_of = [&](const server_id& server) {
        const auto owner = owners.find(server);
        admission::owner_load load =
            owner != owners.end() ? owner->second.load : admission::owner_load{};
        const server_entry* const entry = this->servers.find(server);
        load.slots = entry != nullptr ? std::max(1, entry->slots) : 1;
        load.service_ms = service_ms_of(own, mean, server);
        load.hosts = hosts;
        const auto queue = own.queues.find(server);
        load.waiting = queue != own.queues.end() && queue->second.count > 0
                           ? queue->second.sum / queue->second.count
                           : -1;
        return load;
    };
    bool changed = false;
    for (auto limit = own.limits.begin(); limit != own.limits.end();) {
        const auto owner = owner_of_limited.find(limit->first);
        admission::owner_load load =
            load_of(owner != owner_of_limited.end() ? owner->second : server_id());
        load.hottest_per_s = own.recent_load.request_rate({limit->first, limit->first});
        if (load.service_ms <= 0 || admission::is_unneeded(limit->second.rate, load)) {
            telemetry::log_info(this->log, "key_limit_ended",
                                {{"service", service.value()},
                                 {"first", limit->first},
                                 {"last", ranges::bucket_keys(limit->first).last},
                                 {"demand", load.hottest_per_s}});
            limit = own.limits.erase(limit);
            changed = true;
            continue;
        }
        if (admission::adapt(limit->second.rate, load, now) && owner != owner_of_limited.end()) {
            own.queues.erase(owner->second);
        }
        limit->second.fraction = admission::fraction_to_send(limit->second.rate, load);
        ++limit;
    }
    for (const auto& [server, owner] : owners) {
        admission::owner_load load = load_of(server);
        load.hottest_per_s = owner.hottest.per_s;
        if (server.value().empty() || load.service_ms <= 0 || !admission::needs_limit(load)) {
            continue;
        }
        bucket_limit& limit = own.limits[owner.hottest.first];
        limit.rate = admission::make_rate_limit(load, now);
        limit.fraction = admission::fraction_to_send(limit.rate, load);
        telemetry::log_info(this->log, "key_limited",
                            {{"service", service.value()},
                             {"first", owner.hottest.first},
                             {"last", ranges::bucket_keys(owner.hottest.first).last},
                             {"server", server.value()},
                             {"demand", load.hottest_per_s},
                             {"allowed", limit.rate.per_s},
                             {"fraction", limit.fraction}});
        changed = true;
    }
    return changed;
}

/// Whether this coordinator has known the load for long enough to say that there are no limits.
bool coordinator::state::knows_limits(time_point now) const {
    return now - this->coordinating_since > this->settings.limit_learning_time ||
           this->has_limits();
}

bool coordinator::state::has_limits() const {
    return std::any_of(this->managed.begin(), this->managed.end(),
                       [](const auto& entry) { return !entry.second.limits.empty(); });
}

limits_update coordinator::state::current_limits() const {
    limits_update update;
    update.version = this->limits_version;
    for (const auto& [service, own] : this->managed) {
        for (const auto& [first, limit] : own.limits) {
            update.limits[service].push_back({ranges::bucket_keys(first), limit.fraction});
        }
    }
    return update;
}

/// Takes the stored owners over. If leases may be in force that the table does not show, no key is
/// granted before they have expired.
void coordinator::state::adopt_owners(const service_id& service, managed_service& own,
                                      time_point now) {
    ranges::range_table table;
    bool verified = this->owners_verified;
    if (const stored_row* row = this->owners_row(service)) {
        if (auto stored = ranges::decode(row->value)) {
            table = std::move(*stored);
        } else {
            verified = false;
            telemetry::log_error(this->log, "owners_row_malformed",
                                 {{"service", service.value()}, {"error", stored.error()}});
        }
    }
    if (!verified) {
        // A former coordinator stops granting when it has been isolated for this long.
        own.keeper.adopt_unverified(table, this->settings.isolation_timeout, now);
    } else if (!table.ranges.empty()) {
        own.keeper.adopt(table, now);
    }
}

void coordinator::state::update_leases(const service_id& service, time_point now) {
    auto found = this->managed.find(service);
    if (found == this->managed.end()) {
        found = this->managed
                    .emplace(service, managed_service(ranges::lease_manager(this->settings.keeper,
                                                                            this->first_fence()),
                                                      this->settings.limit_load_decay))
                    .first;
        this->adopt_owners(service, found->second, now);
    }
    managed_service& own = found->second;
    // An entry of a service that is not configured may come from another writer, and says nothing
    // about the servers at its address.
    std::map<wire::endpoint, const server_entry*> newest;
    for (const auto& [id, entry] : this->servers.servers()) {
        if (!this->config->services.contains(entry.service)) {
            continue;
        }
        const server_entry*& known = newest[entry.address];
        if (known == nullptr || known->life.start_time_ms < entry.life.start_time_ms) {
            known = &entry;
        }
    }
    for (const auto& [id, entry] : this->servers.servers()) {
        const auto user = newest.find(entry.address);
        if (user != newest.end() && user->second->life.start_time_ms > entry.life.start_time_ms &&
            this->ended.insert(entry.life).second) {
            // A newer server uses the address, so this one has ended.
            own.keeper.set_instance_ended(entry.life, now);
        }
    }
    const std::optional<double> mean = mean_log_ms(own);
    std::vector<ranges::candidate> candidates;
    for (const auto& [id, entry] : this->servers.servers()) {
        if (entry.service == service) {
            const bool stays = !entry.draining && !this->ended.contains(entry.life) &&
                               !this->leaving.contains(entry.life);
            const bool registered = !this->servers.awaits_reregistration(id);
            candidates.push_back({entry.life, weight_of(own, mean, entry), stays, registered});
        }
    }
    own.keeper.set_candidates(candidates, now);
    own.keeper.set_store_unavailable(!this->store_ok || !this->store_reachable ||
                                     this->needs_reassertion);
    for (const ranges::lease_command& what : own.keeper.due_commands(now)) {
        this->send(service, what);
    }
    if (!own.committing && !this->needs_reassertion) {
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
        // The address is unknown: the lease has to expire.
        this->loop.call_after(milliseconds{0}, [this, service, lease = what.lease] {
            const auto own = this->managed.find(service);
            if (own != this->managed.end()) {
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
            const auto own = this->managed.find(service);
            if (!this->leading || own == this->managed.end() || this->term->number != number) {
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
    managed_service& own = this->managed.at(service);
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
    telemetry::log_info(this->log, "owners_change",
                        {{"service", service.value()},
                         {"ranges", table.ranges.size()},
                         {"version", row.version.number}});
    this->store.commit(
        expected, {row}, call_connection::kept,
        [this, service, value = row.value](commit_outcome outcome) {
            if (!this->managed.contains(service)) {
                return;
            }
            this->store_ok =
                outcome == commit_outcome::stored || outcome == commit_outcome::conflict;
            if (outcome == commit_outcome::stored || outcome == commit_outcome::unknown) {
                this->managed.at(service).late_commit_possible = outcome == commit_outcome::unknown;
            }
            if (outcome == commit_outcome::rejected) {
                // Nothing was written: plan again after a delay.
                this->loop.call_after(commit_retry_delay, [this, service] {
                    const auto current = this->managed.find(service);
                    if (current != this->managed.end()) {
                        const time_point now = wire::event_loop::now();
                        current->second.committing = false;
                        current->second.keeper.on_commit_result(false, now);
                        if (!current->second.late_commit_possible) {
                            current->second.keeper.restore_owners(now);
                        }
                    }
                });
                return;
            }
            this->verify_commit(service, value,
                                outcome == commit_outcome::unknown ? call_connection::fresh
                                                                   : call_connection::kept);
        });
}

/// Reads back which table is stored, after a commit that may have been applied.
void coordinator::state::verify_commit(const service_id& service, const std::string& value,
                                       call_connection connection) {
    this->read_rows(connection, [this, service, value](bool done) {
        if (!this->managed.contains(service)) {
            return;
        }
        const time_point now = wire::event_loop::now();
        this->store_ok = done;
        if (!done) {
            this->loop.call_after(commit_retry_delay, [this, service, value] {
                this->verify_commit(service, value, call_connection::fresh);
            });
            return;
        }
        this->last_store_contact = now;
        const stored_row* const row = this->owners_row(service);
        const bool stored = row != nullptr && row->value == value;
        managed_service& own = this->managed.at(service);
        own.committing = false;
        own.keeper.on_commit_result(stored, now);
        this->publish_routes(service, now);
    });
}

/// Publishes the owners to which requests may be sent to this host and the others, if they changed.
void coordinator::state::publish_routes(const service_id& service, time_point now) {
    managed_service& own = this->managed.at(service);
    ranges::range_table table = own.keeper.routes();
    std::vector<ranges::range_owner> changes =
        own.routes.ranges.empty() ? table.ranges : ranges::changes_between(own.routes, table);
    if (changes.empty()) {
        return;
    }
    own.history.push_back(std::move(changes));
    if (own.history.size() > max_history) {
        own.history.pop_front();
    }
    ++own.version;
    if (!own.routes.ranges.empty()) {
        ranges::gap_update gaps = ranges::update_gaps(own.gaps, table, now);
        for (const ranges::ownership_gap& closed : gaps.closed) {
            telemetry::log_info(this->log, "keys_owned_again",
                                {{"service", service.value()},
                                 {"first", closed.keys.first},
                                 {"last", closed.keys.last},
                                 {"unowned", std::chrono::ceil<milliseconds>(now - closed.since)}});
        }
        own.gaps = std::move(gaps.open);
    }
    own.routes = std::move(table);
    this->known_owners[service] = own.routes;
    this->handlers.owners_changed(service, own.routes);
    this->answer_held_reports(false, now);
}

/// Number of hosts that have reported lately, including this one.
int coordinator::state::live_hosts(time_point now) const {
    return 1 + static_cast<int>(std::count_if(
                   this->reports.begin(), this->reports.end(),
                   [now](const auto& entry) { return now - entry.second < report_max_age; }));
}

report_answer coordinator::state::make_answer(const host_report& report, time_point now) const {
    report_answer answer;
    answer.coordinating = this->leading;
    answer.pending = this->taking_over && !this->leading;
    answer.has_store = this->store_ok && this->store_reachable;
    answer.hosts = this->live_hosts(now);
    if (!this->leading) {
        return answer;
    }
    answer.term = this->term->number;
    const auto age_of = [now](std::optional<time_point> when) {
        return when ? std::optional(std::chrono::ceil<milliseconds>(now - *when)) : std::nullopt;
    };
    answer.catalogue = this->catalogue_version;
    answer.catalogue_age = age_of(this->confirmed.catalogue);
    answer.term_age = age_of(this->confirmed.term);
    if (this->knows_limits(now)) {
        limits_update limits = this->current_limits();
        if (!limits.limits.empty() || report.limits != 0) {
            answer.limits = std::move(limits);
        }
    }
    std::vector<wire::endpoint> known_hosts = this->contacts_for(report.host);
    if (report.contacts != hash_of(known_hosts)) {
        answer.contacts = std::move(known_hosts);
    }
    if (has_news(this->suspects, report.suspects)) {
        answer.suspects = current_suspects(this->suspects, now);
    }
    if (this->can_relay_directory(report, now)) {
        answer.servers = this->servers.changes_since(report.servers, now);
        if (answer.servers) {
            answer.servers->age = std::chrono::ceil<milliseconds>(now - *this->confirmed.servers);
        }
    }
    for (const auto& [service, own] : this->managed) {
        const auto has = report.owners.find(service);
        const std::uint64_t version =
            report.term == answer.term && has != report.owners.end() ? has->second : 0;
        if (version == own.version || own.version == 0) {
            continue;
        }
        owners_update& update = answer.owners[service];
        update.version = own.version;
        const std::uint64_t missing = own.version - std::min(version, own.version);
        if (this->has_inherited_owners(report, service)) {
            update.ranges = ranges::changes_between(this->inherited_owners.at(service), own.routes);
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
        // Later changes override earlier ones: send the current owners of all changed ranges.
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

/// Whether the reporting host has the owners that this host had when it became the coordinator.
bool coordinator::state::has_inherited_owners(const host_report& report,
                                              const service_id& service) const {
    const auto theirs = report.owners.find(service);
    const auto ours = this->inherited_versions.find(service);
    return report.term == this->inherited_term && theirs != report.owners.end() &&
           ours != this->inherited_versions.end() && theirs->second == ours->second;
}

/// Whether this host's directory is recent enough to relay, and the reporting host has one.
bool coordinator::state::can_relay_directory(const host_report& report, time_point now) const {
    return report.servers.number != 0 && this->confirmed.servers &&
           now - *this->confirmed.servers < this->settings.relay_max_age;
}

/// Whether the host lacks changes of owners, or changes of servers whose batch delay has passed.
bool coordinator::state::is_outdated(const host_report& report, time_point now) const {
    if (report.servers < this->announced_version && this->can_relay_directory(report, now)) {
        return true;
    }
    if (has_news(this->suspects, report.suspects)) {
        return true;
    }
    if ((this->has_limits() || report.limits != 0) && this->knows_limits(now) &&
        report.limits != this->limits_version) {
        return true;
    }
    return std::any_of(
        this->managed.begin(), this->managed.end(), [this, &report](const auto& entry) {
            const auto has = report.owners.find(entry.first);
            const std::uint64_t version =
                report.term == this->term->number && has != report.owners.end() ? has->second : 0;
            return entry.second.version != 0 && version != entry.second.version;
        });
}

/// Answers the held reports of hosts that lack changes, and those that were held long enough.
/// @param all  answer all held reports
void coordinator::state::answer_held_reports(bool all, time_point now) {
    std::vector<held_report> remaining;
    std::vector<std::pair<answer_handler, report_answer>> answers;
    for (held_report& one : this->held_reports) {
        const bool waits = this->leading ? !this->is_outdated(one.report, now) : this->taking_over;
        if (all || now >= one.until || !waits) {
            answers.emplace_back(std::move(one.answer), this->make_answer(one.report, now));
        } else {
            remaining.push_back(std::move(one));
        }
    }
    this->held_reports = std::move(remaining);
    for (const auto& [handler, answer] : answers) {
        handler(answer);
    }
}

void coordinator::set_store_reachable(bool reachable) {
    this->implementation->store_reachable = reachable;
}

void coordinator::set_catalogue_version(const store_version& version) {
    this->implementation->catalogue_version = version;
}

void coordinator::on_directory_changed() {
    state& own = *this->implementation;
    for (const auto& [id, entry] : own.servers.servers()) {
        own.addresses[id] = entry.address;
    }
    if (!own.leading || own.announcement_scheduled ||
        own.servers.version() <= own.announced_version ||
        own.batch_delay >= own.settings.max_report_hold) {
        // Held reports are answered soon enough anyway.
        return;
    }
    own.announcement_scheduled = true;
    own.loop.call_after(own.batch_delay, [&own] {
        own.announcement_scheduled = false;
        own.announced_version = own.servers.version();
        own.answer_held_reports(false, wire::event_loop::now());
    });
}

void coordinator::set_confirmations(const store_confirmations& confirmed) {
    this->implementation->confirmed = confirmed;
}

void coordinator::set_batch_delay(milliseconds pause) {
    this->implementation->batch_delay = pause;
}

void coordinator::on_report(const host_report& report, answer_handler answer, time_point now) {
    state& own = *this->implementation;
    if (own.leading) {
        own.reports[report.host] = now;
        if (report.address) {
            const auto place = find_host(own.host_addresses, report.host);
            if (place != own.host_addresses.end() && place->first == report.host) {
                place->second = *report.address;
            } else {
                own.host_addresses.insert(place, {report.host, *report.address});
            }
        }
        own.apply_report(report, now);
    }
    own.held_reports.push_back(
        {report, std::move(answer),
         now + (report.at_once ? milliseconds{0} : own.settings.max_report_hold)});
    own.held_reports.back().report.keys.clear();
    own.held_reports.back().report.speeds.clear();
    own.answer_held_reports(!own.leading && !own.taking_over, now);
}

void coordinator::read_catalogue(std::function<void(std::optional<stored_row>)> done) const {
    state& own = *this->implementation;
    if (own.leading || !own.term || !own.term->address || own.term->host == own.identity) {
        done(std::nullopt);
        return;
    }
    wire::request message;
    message.method = "GET";
    message.target = std::string(catalogue_target);
    message.headers.push_back({"Host", own.term->address->ip});
    wire::call_options options;
    options.timeout = own.settings.report_timeout;
    options.connect_timeout = options.timeout;
    own.peers.send(*own.term->address, message, options,
                   [done = std::move(done)](const wire::call_result& outcome) {
                       stored_row row;
                       const bool read = !outcome.error && outcome.message.code == http_ok &&
                                         decode(outcome.message.body, row);
                       done(read ? std::optional(std::move(row)) : std::nullopt);
                   });
}

std::string coordinator::known_term() const {
    const state& own = *this->implementation;
    return own.term && own.term->address && !own.term->host.empty() ? encode(*own.term)
                                                                    : std::string();
}

void coordinator::resign() {
    this->implementation->resigned = true;
    this->implementation->vacate_term();
}

/// Vacates the term row, and retries until that has succeeded; until then, this host keeps renewing
/// leases.
void coordinator::state::vacate_term() {
    if (!this->leading) {
        return;
    }
    if (this->needs_reassertion) {
        // The stored owners are outdated: the next coordinator needs those of this host.
        this->loop.call_after(commit_retry_delay, [this] { this->vacate_term(); });
        return;
    }
    term_content vacant;
    vacant.number = this->term->number;
    vacant.era = this->store_era;
    vacant.owners_era = this->term->owners_era;
    stored_row row;
    row.table = std::string(term_table);
    row.key = std::string(term_row);
    row.version = this->version_of(term_table, row.key);
    const std::vector<stored_row> expected{row};
    row.value = encode(vacant);
    this->store.commit(expected, {row}, call_connection::fresh, [this](commit_outcome outcome) {
        if (outcome == commit_outcome::stored) {
            this->step_down("process is shutting down");
            return;
        }
        // The commit may have been applied, or another host may hold the term.
        this->read_rows(call_connection::fresh, [this](bool done) {
            if (done && this->term && this->term->host.empty()) {
                this->step_down("process is shutting down");
                return;
            }
            this->loop.call_after(commit_retry_delay, [this] { this->vacate_term(); });
        });
    });
}

}  // namespace greengagechute::gateway
