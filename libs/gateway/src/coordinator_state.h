#pragma once

#include "dispatch/cold_allowance.h"
#include "gateway/coordinator.h"
#include "leadership/grant_authority.h"
#include "leadership/succession.h"
#include "ranges/ownership_gap.h"
#include "term_content.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Shared by the source files of the coordinator only.

namespace greengagechute::gateway {

/// Key of the only row of `term_table`.
inline constexpr std::string_view term_row = "coordinator";
inline constexpr milliseconds commit_retry_delay{150};
/// A host that has not reported for this long is not counted as live.
inline constexpr milliseconds report_max_age{2'500};
inline constexpr int http_ok = 200;

/// Addresses of hosts, by their ids.
using host_list = std::vector<std::pair<host_id, wire::endpoint>>;

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
    /// When the store has answered this host, to which the coordinator has not answered since, and
    /// whose watch has failed before.
    std::optional<time_point> store_answered_at{};
    /// Time of the first answer in a row that said that a takeover is pending.
    std::optional<time_point> pending_since{};
    time_point coordinator_without_store_since{};
    bool coordinator_without_store = false;
    std::map<service_id, managed_service> managed{};
    /// Time of the last report of each host, and the hosts' addresses.
    std::map<host_id, time_point> reports{};
    host_list host_addresses{};
    /// Of the hosts that report.
    std::map<host_id, data_centre_id> host_data_centres{};
    evacuation_table evacuations{};
    /// Servers that take only their allowance of requests, and which hosts hold the allowances.
    std::vector<dispatch::cold_server> cold_servers{};
    dispatch::loan_book loans{};
    time_point last_lending{};
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
    /// Start of this host's term as the coordinator.
    time_point coordinating_since{};
    /// Whether this coordinator may still grant leases, and until when earlier ones may have.
    leadership::grant_authority authority{};
    leadership::succession succession{};
    /// This coordinator may grant leases, see `leadership::may_grant`.
    bool granting = true;
    /// The end of earlier coordinators' leases is known, and was logged.
    bool predecessors_settled = false;
    /// Version of the stored members; its number is 0 if the store has none.
    store_version members_version{};
    /// What the store holds of the members is known.
    bool members_read = false;
    bool storing_members = false;
    time_point last_term_check{};
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
    /// Stamp of the last answer of that coordinator, for the next report.
    std::uint64_t known_stamp = 0;
    /// When a coordinator last told this host that it lacks the store.
    std::optional<time_point> told_of_outage_at{};
    time_point started_at{};
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
    void read_term(call_connection connection, const std::function<void(bool)>& done);
    void read_rows(call_connection connection, const std::function<void(bool)>& done);
    void report();
    void schedule_report(milliseconds pause);
    void on_answer(const report_answer& answer, time_point asked_at);
    void on_report_unanswered(std::string_view reason, time_point asked_at);
    void on_not_coordinating(bool pending, time_point now);
    report_answer make_answer(const host_report& report, time_point now) const;
    bool has_inherited_owners(const host_report& report, const service_id& service) const;
    bool can_relay_directory(const host_report& report, time_point now) const;
    bool is_outdated(const host_report& report, time_point now) const;
    void answer_held_reports(bool all, time_point now);
    void publish_routes(const service_id& service, time_point now);
    std::vector<wire::endpoint> contacts_for(const host_id& host) const;
    /// Whether this host coordinates and has not been replaced, as far as it knows.
    bool may_act() const { return this->leading && this->granting; }
    void ask_contacts(std::size_t next);
    void on_contact_answer(const term_content& read);
    void on_coordinator_lost(std::string_view reason);
    void take_over();
    void read_and_take_over();
    void confirm_takeover(const term_content& new_term);
    void end_takeover();
    void vacate_term();
    void start_coordinating(std::uint64_t number, time_point confirmed_at);
    void begin_term(time_point confirmed_at, time_point now);
    void read_members();
    void on_members_read(const table_content& content);
    void store_members(time_point now);
    void check_term(time_point now);
    void note_follower(const host_report& report, time_point now);
    void update_authority(time_point now);
    leadership::lease_spans lease_spans() const;
    std::optional<time_point> predecessor_leases_end() const;
    bool told_of_outage(time_point now) const;
    void step_down(std::string_view reason);
    void tick();
    void update_limits(time_point now);
    bool update_limits(const service_id& service, managed_service& own, time_point now);
    bool knows_limits(time_point now) const;
    bool has_limits() const;
    int live_hosts(time_point now) const;
    limits_update current_limits() const;
    bool lacks_evacuations(const host_report& report) const;
    region_id region_of(const data_centre_id& data_centre) const;
    time_point cold_until(const server_entry& entry) const;
    void lend_allowances(time_point now);
    std::vector<lent_allowance> allowances_of(const host_id& host, time_point now) const;
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
    void coordinate(time_point now);
    void stop_routing_expired(time_point now);
};

}  // namespace greengagechute::gateway
