#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "ranges/key_load.h"
#include "ranges/range_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagechute::ranges {

struct lease_settings {
    /// Length of a lease. Twice the time in which a lost coordinator is replaced would be safer,
    /// half would return the keys of a silent server sooner.
    milliseconds lease_duration{2'000};
    /// Length while the store is away: no owner can change then, and a lost coordinator cannot be
    /// replaced. Outages last several seconds; a coordinator that is stopped renews in its grace
    /// time as well. After a takeover silent owners are waited for as long.
    milliseconds outage_lease_duration{4'000};
    /// Time between renewals: a quarter of the lease leaves three tries before it ends.
    milliseconds renew_interval{500};
    /// A server's clock may run slow by this much; two in a hundred on the users' platform.
    int clock_slow_percent = 2;
    /// Time an order may still be on its way after its connection was given up.
    milliseconds max_delivery_delay{50};
    /// The first assignment waits until no server has joined for this long: servers register within
    /// about a second of a common start.
    milliseconds registration_quiet_time{900};
    /// Largest ratio of a server's load to its share before keys are moved away.
    double overload_ratio = 1.25;
    /// Ranges that move for balance at the same time.
    std::size_t max_balance_moves = 4;
    /// From the decision to move keys to the release: the hosts stop sending to the owner within a
    /// one-way delay between regions, and what they sent before arrives within another one.
    milliseconds release_delay{40};
    /// Connections of a steady server must be refused for this long before it is taken as ended.
    milliseconds min_refusal_time{100};
    /// Requests a second below which load is not balanced.
    double min_balance_load = 20.0;
};

/// A server as the planner sees it.
struct candidate {
    server_instance instance;
    /// Share of the load that it should get, relative to the others.
    double weight = 1;
    /// May be given keys.
    bool accepts = true;
    /// Registered, not leaving, and the store has been reachable for long enough to know: refused
    /// connections mean that its process has ended.
    bool refusal_is_conclusive = true;
};

/// Identifies a lease within its keeper.
using lease_id = strong_id<struct lease_tag, std::uint64_t>;

struct lease_command {
    enum class kind { grant, release };
    kind what = kind::grant;
    lease_id lease;
    server_instance server;
    key_range keys;
    epoch fence;
    milliseconds lease_duration{0};
    /// From the release by the last owner; empty if there was none.
    std::string handover;
};

enum class command_outcome {
    done,
    /// The server has seen a higher fence.
    fenced_off,
    /// Another server answers at the address: that life of the server has ended.
    ended,
    /// The connection was refused. No proof of an end: a leaving server closes its listener while
    /// it finishes its work, and a server with too many connections resets new ones.
    refused,
    /// The order did not leave, for lack of a connection.
    not_sent,
    /// The order may be carried out at any time up to now and later.
    unanswered,
};

/// Leases of the ranges of one divided service, kept by the coordinator: grants, renews and moves
/// them. Decides only; orders and commits are carried out by the caller.
///
/// A range is given to another server only after its owner has answered a release and no grant is
/// unanswered, or after the end of the longest lease that the owner could have, or after the
/// owner's process has ended; and only after the new owner stands in the store.
class lease_manager {
public:
    /// @param first_fence  above all fences of earlier coordinators
    lease_manager(const lease_settings& settings, epoch first_fence);

    /// Takes over the stored table. Leases of earlier coordinators may run until `now` plus the
    /// longest lease.
    void adopt(const range_table& stored, time_point now);
    /// Whether tables can be stored; leases are longer while they cannot.
    void set_store_unavailable(bool away) { this->store_unavailable = away; }
    /// The servers that may own keys now.
    void set_candidates(const std::vector<candidate>& servers, time_point now);
    /// That life of the server has certainly ended.
    void set_instance_ended(const server_instance& instance, time_point now);
    /// Orders that are due.
    std::vector<lease_command> due_commands(time_point now);
    void record_outcome(lease_id lease, command_outcome outcome, const std::string& handover,
                        time_point now);
    /// The table to store, if ownership changes; call `on_commit_result` with its outcome.
    std::optional<range_table> plan(const key_load& load, time_point now);
    /// @param stored  false if the table was not stored, and never will be
    void on_commit_result(bool stored, time_point now);
    /// Gives ranges without an owner back to the owner that the stored table names, if that one
    /// may have keys: for the time in which no table can be stored. Only valid if no table that
    /// was given to the store may be stored later.
    void restore_owners(time_point now);
    /// Chooses ranges to move for balance.
    void balance(const key_load& load, time_point now);

    /// A server answered an order with a higher fence than this coordinator's.
    bool newer_coordinator_seen() const { return this->higher_fence_seen; }
    range_table table() const;
    /// Where requests may be sent: `table` without the owners that have no grant yet or lose the
    /// keys; their place is taken by a life without an id.
    range_table routes() const;

private:
    enum class phase { held, releasing, expiring, free };
    struct lease {
        lease_id id;
        key_range keys;
        server_instance owner;
        epoch fence;
        phase state = phase::held;
        /// Destination of a move for balance.
        std::optional<server_instance> destination;
        std::string handover;
        /// The owner has confirmed a grant of this coordinator.
        bool confirmed = false;
        /// Requests may be sent to the owner: it has a grant, of this or an earlier coordinator.
        bool routable = false;
        bool in_flight = false;
        /// What the order under way asks for; the state may have changed since it was sent.
        lease_command::kind command_kind = lease_command::kind::grant;
        /// Length of the lease that it asks for.
        milliseconds command_lease_duration{0};
        /// The lease for which that order was sent, if this one was split off since.
        lease_id command_lease;
        int failures = 0;
        int connect_failures = 0;
        /// First of the refusals since the last answer.
        std::optional<time_point> refused_since;
        time_point next_send;
        /// No lease that the owner has, or may still get by an order under way, lasts longer.
        time_point latest_expiry;
        /// `latest_expiry` before the order under way.
        time_point expiry_before_command;
        /// A grant without an answer may take effect until this time.
        time_point unanswered_grant_expiry;
    };

    milliseconds current_lease_duration() const;
    milliseconds max_lease_time(milliseconds lease_duration) const;
    lease* find(lease_id id);
    const candidate* find_candidate(const server_instance& instance) const;
    const candidate* find_restarted_instance(const server_instance& instance) const;
    static void begin_release_by_restarted(lease& entry, const candidate& restarted,
                                           time_point now);
    void apply_outcome(lease& entry, command_outcome outcome, const std::string& handover,
                       time_point now);
    void record_failure(lease& failed, time_point now);
    static void free_immediately(lease& entry, time_point now);
    bool refusals_prove_end(lease& entry, time_point now) const;
    void merge_adjacent_leases(time_point now);
    std::map<server_instance, double> loads_by_server(const key_load& load) const;
    double accepting_weight() const;
    const candidate* least_loaded(const std::map<server_instance, double>& server_loads) const;
    void assign_free(std::vector<lease>& planned, const key_load& load) const;
    bool balance_once(const key_load& load, time_point now);
    lease* split_off_load(lease_id id, double wanted, const key_load& load);
    bool move_single_bucket(const std::vector<std::pair<double, lease_id>>& sources,
                            const candidate& from,
                            const std::map<server_instance, double>& server_loads,
                            const key_load& load, time_point now);
    lease& split(lease& whole, key_position first_of_second);

    lease_settings settings;
    epoch next_fence;
    std::uint64_t last_id = 0;
    std::vector<lease> leases;
    std::vector<candidate> candidates;
    std::optional<std::vector<lease>> pending;
    std::size_t last_candidate_count = 0;
    time_point candidates_changed;
    bool higher_fence_seen = false;
    bool store_unavailable = false;
};

}  // namespace greengagechute::ranges
