#include "coordinator_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// A fencing token consists of the era of the store, the term and the number of the grant. With the
/// era, tokens rise although a restored store gives out terms again. More than 2^24 grants in a
/// term would overlap with the next term's tokens, and more than 2^20 terms with the next era's.
constexpr unsigned fence_term_shift = 24;
constexpr unsigned fence_era_shift = 44;
/// Era of a store that has never come back from a copy.
constexpr std::uint64_t first_store_era = 1;
/// Number of terms that a store may lose when it comes back from a copy.
constexpr std::uint64_t max_lost_terms = 1'000;
/// Versions of limits and of suspect requests that a coordinator may give out in its term.
constexpr std::uint64_t versions_per_term = 1'000'000;
/// Time for which a server counts as leaving after the last host has reported it. The hosts that
/// know it may have been restarted since.
constexpr milliseconds leaving_retention = std::chrono::minutes{10};

}  // namespace

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
    this->implementation->started_at = wire::event_loop::now();
    this->implementation->schedule_report(milliseconds{0});
}

void coordinator::set_catalogue(std::shared_ptr<const catalogue> content) {
    this->implementation->config = std::move(content);
}

void coordinator::on_term(const table_content& content, bool whole) {
    state& own = *this->implementation;
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
        if (this->leading) {
            // A successor would count the members of the copy. Calls of the earlier era have no
            // effect any more.
            this->authority.members.clear();
            this->authority.proposed.reset();
            this->read_members();
        }
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
    this->read_term(connection, finish);
}

/// Reads the term.
/// @param done  called with whether the read succeeded
void coordinator::state::read_term(call_connection connection,
                                   const std::function<void(bool)>& done) {
    this->store.read(std::string(term_table), connection,
                     [this, done](const result<table_content>& terms) {
                         if (terms) {
                             this->note_content(term_table, *terms, true);
                             for (const stored_row& row : terms->rows) {
                                 if (row.key == term_row) {
                                     this->on_term_row(row);
                                 }
                             }
                         }
                         done(terms.has_value());
                     });
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
    this->read_rows(call_connection::fresh,
                    [this, new_term, asked_at = wire::event_loop::now()](bool done) {
                        if (done && this->term && this->term->host == this->identity &&
                            this->term->number == new_term.number && !this->resigned) {
                            this->taking_over = false;
                            this->start_coordinating(new_term.number, asked_at);
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

/// @param confirmed_at  when the store was asked for the term that it then named this host for
void coordinator::state::start_coordinating(std::uint64_t number, time_point confirmed_at) {
    if (this->leading) {
        return;
    }
    const time_point now = wire::event_loop::now();
    this->leading = true;
    this->inherited_owners = this->known_owners;
    this->inherited_versions = std::exchange(this->known_versions, {});
    this->inherited_term = std::exchange(this->known_term, 0);
    this->known_stamp = 0;
    this->managed.clear();
    this->reports.clear();
    this->host_addresses.clear();
    this->host_data_centres.clear();
    this->cold_servers.clear();
    this->loans = dispatch::make_loan_book(this->settings.isolation_timeout, now);
    this->term_from_host = false;
    this->last_tick = now;
    this->last_balance = now;
    this->coordinating_since = now;
    this->limits_version = number * versions_per_term + 1;
    this->suspects.version = number * versions_per_term + 1;
    this->needs_reassertion = false;
    this->owners_verified = !this->term->owners_era || this->term->owners_era == this->store_era;
    telemetry::log_info(this->log, "coordinating",
                        {{"term", number}, {"owners_verified", this->owners_verified}});
    this->begin_term(confirmed_at, now);
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
    this->update_authority(now);
    if (!this->granting) {
        this->stop_routing_expired(now);
    } else if (this->config && this->servers.loaded()) {
        this->coordinate(now);
    }
    this->loop.call_after(this->settings.tick_interval, [this] { this->tick(); });
}

/// Does the regular work of a coordinator that may grant leases: leases, loans and limits at each
/// tick, the rest at longer intervals.
void coordinator::state::coordinate(time_point now) {
    for (const auto& [id, service] : this->config->services) {
        if (service.divided) {
            this->update_leases(id, now);
        }
    }
    this->lend_allowances(now);
    this->apply_report(this->handlers.collect_report(), now);
    if (now - this->last_limits >= this->settings.limit_interval) {
        this->last_limits = now;
        this->update_limits(now);
    }
    if (now - this->last_balance < this->settings.balance_interval) {
        return;
    }
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
    std::erase_if(this->host_addresses,
                  [this](const auto& entry) { return !this->reports.contains(entry.first); });
    std::erase_if(this->host_data_centres,
                  [this](const auto& entry) { return !this->reports.contains(entry.first); });
    this->store_members(now);
    expire(this->suspects, now);
    this->store_quarantine(now);
    std::erase_if(this->leaving,
                  [now](const auto& entry) { return now - entry.second > leaving_retention; });
    this->handlers.hosts_counted(this->live_hosts(now));
}

/// Tells all hosts which owners have lost their leases, as this coordinator may not renew them.
void coordinator::state::stop_routing_expired(time_point now) {
    for (auto& [service, own] : this->managed) {
        own.keeper.stop_routing_expired(now);
        this->publish_routes(service, now);
    }
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

void coordinator::set_store_reachable(bool reachable) {
    this->implementation->store_reachable = reachable;
}

void coordinator::set_evacuations(const evacuation_table& table) {
    this->implementation->evacuations = table;
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
