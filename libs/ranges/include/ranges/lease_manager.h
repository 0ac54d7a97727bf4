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

/// Timing and load balancing settings of a `lease_manager`.
struct lease_settings {
    /// Lease duration. Twice the time needed to replace a failed coordinator would be safer; half
    /// the duration would free the keys of an unresponsive server sooner.
    milliseconds lease_duration{2'000};
    /// Lease duration while the store is unavailable, when no owner can change and a failed
    /// coordinator cannot be replaced. Outages last several seconds, and a coordinator that is
    /// being stopped still renews leases during its grace period. After a takeover, the keys of
    /// unresponsive owners stay reserved for this long.
    milliseconds outage_lease_duration{4'000};
    /// Interval between renewals. A quarter of the lease duration leaves three attempts before the
    /// lease expires.
    milliseconds renew_interval{500};
    /// Largest rate, in percent, by which a server's clock may run slow; 2 on the users' platform.
    int clock_slow_percent = 2;
    /// Longest time for which a command can still be in transit after its connection was closed.
    milliseconds max_delivery_delay{50};
    /// The first assignment waits until the number of servers has not changed for this long, since
    /// servers that start together register within about a second of each other.
    milliseconds registration_quiet_time{900};
    /// Ratio of a server's load to its weighted share above which keys are moved away.
    double overload_ratio = 1.25;
    /// Largest number of ranges that are moved concurrently to balance load.
    std::size_t max_balance_moves = 4;
    /// Delay between the decision to move keys and the release command. Covers twice the one-way
    /// delay between regions: once until all hosts stop sending requests to the owner, and once
    /// until the requests sent before that have arrived.
    milliseconds release_delay{40};
    /// Time after a failed connection for which a server gets no further keys. Covers the three
    /// heartbeats after which the registration of a crashed server is removed.
    milliseconds unreachable_retention{3'000};
    /// Total load, in requests per second, below which load is not balanced.
    double min_balance_load = 20.0;
};

/// Longest time from the sending of a grant, or from its end if it gets no answer, to the expiry of
/// its lease: with the slowest permitted clock and the longest delivery.
/// @param lease_duration  duration that the grant asks for
milliseconds max_lease_time(const lease_settings& settings, milliseconds lease_duration);

/// A server to which ranges may be assigned.
struct candidate {
    server_instance instance;
    /// Share of the load that the server should get, relative to the other servers. Above 0.
    double weight = 1;
    /// Whether the server may own keys. Ranges of a server that may not are moved away.
    bool accepts = true;
    /// Whether its registration is in force. A server whose registration has lapsed in an outage of
    /// the store keeps its keys, but gets others only if all have lapsed.
    bool registered = true;
};

/// Identifies a lease within its `lease_manager`.
using lease_id = strong_id<struct lease_tag, std::uint64_t>;

/// Command to a server: grant (or renew) a lease on a range of keys, or release it.
struct lease_command {
    enum class kind { grant, release };
    kind action = kind::grant;
    lease_id lease;
    server_instance server;
    key_range keys;
    /// Fencing token: a server rejects commands with a lower one than it has seen for the keys.
    epoch fence;
    /// Duration of a granted lease, measured by the server from the arrival of the command. Unused
    /// for a release.
    milliseconds lease_duration{0};
    /// Opaque token that the previous owner returned with its release; empty if there was none.
    std::string handover;
};

/// Result of a `lease_command`.
enum class command_outcome {
    done,
    /// The server has seen a higher fencing token and did not carry out the command.
    fenced_off,
    /// Another server answered at the address, so this server instance has ended.
    ended,
    /// The connection was refused, so the command was not sent. This never proves that the process
    /// has ended: a leaving server closes its listener while it finishes its requests, a server
    /// with too many connections resets new ones, and so does a faulty path to a sound server.
    refused,
    /// No connection could be made, so the command was not sent.
    not_sent,
    /// The command was sent but not answered. The server may have carried it out or still do so.
    unanswered,
};

/// Manages the leases on the key ranges of one divided service for the coordinator. Decides which
/// leases to grant, renew, release and move; performs no I/O. The caller sends the commands and
/// stores the tables.
///
/// A range is granted to another server only after the new owner is recorded in the store and one
/// of these holds: the previous owner has confirmed a release and no grant to it is unanswered, the
/// longest lease that it could have has expired, or its process has ended. So no key has two owners
/// at the same time.
class lease_manager {
public:
    /// @param first_fence  first fencing token; higher than those of all earlier coordinators
    lease_manager(const lease_settings& settings, epoch first_fence);

    /// Replaces all leases by those of the stored table, at the start of a coordinator's term.
    /// Leases of earlier coordinators are assumed to last for `outage_lease_duration` from `now`,
    /// unless `set_predecessor_leases_end` is called.
    void adopt(const range_table& stored, time_point now);
    /// Sets when the leases of earlier coordinators end that this one has neither renewed nor
    /// released; empty if that is not known yet. May be called again with a better bound.
    void set_predecessor_leases_end(std::optional<time_point> end);
    /// Like `adopt`, for a table that may be older than the leases in force: any server may own any
    /// key. No key is granted until leases of earlier coordinators have expired; then each range
    /// goes to the owner in the table, if that server may own keys.
    /// @param granting  time for which an earlier coordinator may still grant leases
    void adopt_unverified(const range_table& stored, milliseconds granting, time_point now);
    /// Whether keys still wait for the leases of earlier coordinators, see `adopt_unverified`.
    bool has_unverified(time_point now) const;
    /// Makes all further fencing tokens at least `first`.
    void raise_fences(epoch first);
    /// Sets whether leases are granted for `outage_lease_duration`, as in an outage of the store.
    void set_outage_leases(bool granted) { this->outage_leases = granted; }
    /// Replaces the known servers. Starts the release of ranges whose owner is absent, no longer
    /// accepts keys, or was restarted.
    void set_candidates(const std::vector<candidate>& servers, time_point now);
    /// Frees the ranges of a server instance whose process has certainly ended.
    void set_instance_ended(const server_instance& instance, time_point now);
    /// Returns the commands to send now. Each must be followed by a call of `record_outcome`.
    std::vector<lease_command> due_commands(time_point now);
    /// Routes no more requests to owners whose leases have certainly expired, for a coordinator
    /// that may not renew them.
    void stop_routing_expired(time_point now);
    /// Records the outcome of a command.
    /// @param handover  token returned with a release; empty otherwise
    void record_outcome(lease_id lease, command_outcome outcome, const std::string& handover,
                        time_point now);
    /// Assigns the free ranges. Returns the table to store if an owner changes, and nothing further
    /// until `on_commit_result` is called with the outcome of the write.
    std::optional<range_table> plan(const key_load& load, time_point now);
    /// Completes or discards the planned table.
    /// @param stored  false only if the table was not stored and can not be stored later
    void on_commit_result(bool stored, time_point now);
    /// Returns free ranges to the owner named in the stored table, if it may own keys. For use
    /// while no table can be stored. Only valid if no write that was sent to the store can still
    /// take effect.
    void restore_owners(time_point now);
    /// Starts to move ranges from overloaded to underloaded servers.
    void balance(const key_load& load, time_point now);

    /// Whether a server has reported a higher fencing token than this coordinator's, so that a
    /// newer coordinator is active.
    bool newer_coordinator_seen() const { return this->higher_fence_seen; }
    /// Current owner of each range, also where its lease is not granted or is being released.
    range_table table() const;
    /// Current owners to which requests may be sent. Ranges whose owner has no grant yet, or is
    /// about to release them, have a default `server_instance` (empty id) in place of the owner.
    range_table routes() const;

private:
    enum class phase {
        /// Granted to the owner, or to be granted, and renewed.
        held,
        /// A release command is to be sent or is unanswered.
        releasing,
        /// Not renewed; free once the latest expiry has passed.
        expiring,
        /// May be assigned to a new owner.
        free
    };
    struct lease {
        lease_id id;
        key_range keys;
        server_instance owner;
        epoch fence;
        phase state = phase::held;
        /// Server to which the range is to be assigned once it is free.
        std::optional<server_instance> destination;
        /// Token of the previous owner's release, passed on with the next grant.
        std::string handover;
        /// The owner has confirmed a grant of this coordinator.
        bool confirmed = false;
        /// The owner is not known: any server may have a lease until `latest_expiry`.
        bool unverified = false;
        /// Requests may be sent to the owner: it has a grant of this or an earlier coordinator.
        bool routable = false;
        /// A command has been sent and its outcome is not recorded yet.
        bool in_flight = false;
        /// Kind of the command in flight; `state` may have changed since it was sent.
        lease_command::kind command_kind = lease_command::kind::grant;
        /// Server to which the command in flight was sent; `owner` may have changed since.
        server_instance command_server;
        /// Lease duration that the last grant asked for.
        milliseconds command_lease_duration{0};
        /// Lease for which the command in flight was sent, if this one was split off from it since.
        lease_id command_lease;
        /// Consecutive commands without an answer, and connections that timed out among them.
        int failures = 0;
        int connect_failures = 0;
        /// Consecutive connections that were refused.
        int refusals = 0;
        time_point next_send;
        /// Upper bound for the expiry of any lease that the owner has, or may still get from a
        /// command in flight of this coordinator.
        time_point latest_expiry;
        /// `latest_expiry` before the command in flight; restored if the command was not sent.
        time_point expiry_before_command;
        /// Upper bound for the expiry of leases from unanswered grants.
        time_point unanswered_grant_expiry;
        /// Upper bound for the expiry of leases of earlier coordinators, besides
        /// `predecessor_leases_end`. Unknown, and so the latest time, until the owner has carried
        /// out a command of this coordinator, which fences off earlier ones.
        time_point inherited_expiry;
    };

    milliseconds current_lease_duration() const;
    milliseconds max_lease_time(milliseconds lease_duration) const {
        return ranges::max_lease_time(this->settings, lease_duration);
    }
    time_point latest_expiry_of(const lease& entry) const;
    bool awaits_unverified(time_point now) const;
    static void make_free(lease& entry);
    lease* find(lease_id id);
    const candidate* find_candidate(const server_instance& instance) const;
    const candidate* find_restarted_instance(const server_instance& instance) const;
    void begin_release_by_restarted(lease& entry, const candidate& restarted, time_point now) const;
    void apply_outcome(lease& entry, command_outcome outcome, const std::string& handover,
                       time_point now);
    void record_failure(lease& failed, time_point now);
    static void free_immediately(lease& entry, time_point now);
    void raise_fences_of(const server_instance& owner);
    bool may_gain_keys(const candidate& server) const;
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
    /// Servers to which the last connection failed, by the time of that failure.
    std::map<server_instance, time_point> unreachable;
    std::optional<std::vector<lease>> pending;
    std::size_t last_candidate_count = 0;
    time_point candidates_changed;
    /// Earliest time of the first assignment of all keys.
    time_point first_assignment_at;
    bool higher_fence_seen = false;
    bool outage_leases = false;
    /// Upper bound for the expiry of leases of earlier coordinators.
    time_point predecessor_leases_end;
};

}  // namespace greengagechute::ranges
