#pragma once

#include "admission/request_share.h"
#include "base/time.h"
#include "dispatch/eligibility.h"
#include "gateway/directory.h"
#include "gateway/server_notices.h"

#include <cstdint>
#include <optional>
#include <string>

namespace greengagechute::gateway {

inline constexpr int usual_work_time_percent = 100;

/// Load that a server reports in its responses.
struct reported_load {
    int running = 0;
    int waiting = 0;
    /// Number of requests that the server runs concurrently.
    int slots = 0;
    /// Time that work takes on the server's machine at the moment, in percent of the usual. Changes
    /// many times a second.
    int work_time_percent = usual_work_time_percent;
};

/// Parses a load, "running,waiting,slots" or "running,waiting,slots,work time". Further fields are
/// ignored. Returns nullopt if one of the first four is malformed or out of range, or without
/// slots.
std::optional<reported_load> parse_load(const std::string& text);

/// Service times measured at one server. The sum of logarithms gives a geometric mean, which a few
/// long requests do not dominate.
struct service_time_sample {
    /// Sum of the natural logarithms of the service times in milliseconds, each at least 1 ms.
    double sum_log_ms = 0;
    int count = 0;
};

struct balancer_settings {
    /// One-way network latency between data centres of a region, and between regions. The values
    /// are properties of the deployment.
    double same_region_latency_ms = 0.5;
    double cross_region_latency_ms = 12.0;
    /// Maximum number of outstanding requests of all hosts together at a server, per slot. A server
    /// queues a few times as many requests as it has slots; some servers never answer requests
    /// beyond that.
    double max_outstanding_per_slot = admission::max_outstanding_per_slot;
    /// A reported load is used up to this age. Servers respond, and so report, several times a
    /// second.
    milliseconds max_load_age{300};
    /// Number of consecutive failures after which a server is paused, that is gets no requests for
    /// `pause_duration`.
    int max_consecutive_failures = 3;
    milliseconds pause_duration{1'000};
    /// Latency assumed for a server before any has been measured.
    double initial_latency_ms = 80.0;
    /// Added to the cost of servers in other regions, as a fraction of the route's target latency.
    /// Traffic between regions is billed by volume, and a response within the target latency has
    /// its full value, so crossing regions must save at least this much time.
    double cross_region_penalty_ratio = 0.3;
};

/// A host's view of one server.
struct server_state {
    server_entry entry;
    /// Its registration has lapsed, so it may have ended. It is used only as a last resort.
    bool registration_lapsed = false;
    /// Another server responds at its address, so this one has ended.
    bool replaced = false;
    /// Requests of this host that are outstanding at the server.
    int in_flight = 0;
    reported_load reported;
    time_point reported_at;
    bool has_reported = false;
    /// Moving average of the work time that it reported, in percent of the usual.
    double mean_work_time_percent = usual_work_time_percent;
    /// A load that could not be read has been logged.
    bool unreadable_load_logged = false;
    /// Moving average of the time from sending a request to its response; 0 if none was measured.
    double latency_ms = 0;
    /// Moving average of the fraction of requests that failed.
    double failure_share = 0;
    int consecutive_failures = 0;
    time_point paused_until;
    time_point first_seen;
    /// Earliest time at which it may have begun to drain; the epoch if that is not known.
    time_point draining_since;
    server_notices notices;
    /// Where it is, and what holds there.
    dispatch::server_place place;
    /// End of the time for which it has said that it is cold.
    time_point cold_until;
};

/// Network distance of a server from this host.
enum class distance { same_data_centre, same_region, other_region };

/// Maximum number of requests that this host may have outstanding at the server; at least 1.
/// @param hosts  number of hosts that send requests to the server
int concurrency_limit(const server_state& server, int hosts, const balancer_settings& settings,
                      time_point now);

/// Expected latency of one more request in milliseconds, including network, queueing and failures.
double expected_latency_ms(const server_state& server, distance server_distance,
                           const balancer_settings& settings, time_point now);

/// Cost of sending one more request to the server, in milliseconds: the expected latency and, for a
/// server of another region, a penalty for the traffic between regions.
/// @param target_latency  latency up to which a response has its full value; 0 if unset
double placement_cost(const server_state& server, distance server_distance,
                      milliseconds target_latency, const balancer_settings& settings,
                      time_point now);

/// Whether the server last reported that all of its slots were in use.
bool is_full(const server_state& server);

/// Whether the server may receive requests now: not draining, leaving, replaced or paused.
bool is_available(const server_state& server, time_point now);

/// Records a response: updates the averages, and pauses the server after too many failures.
/// @param took    time from sending the request to the response
/// @param failed  whether the response counts as a failure; its latency is then ignored
void record_answer(server_state& server, microseconds took, bool failed,
                   const balancer_settings& settings, time_point now);
/// Records a request that got no response: it could not be sent, its connection failed, or its
/// deadline passed. Counts as a failure.
void record_no_response(server_state& server, const balancer_settings& settings, time_point now);
/// Records a response that exceeds its bounds. Pauses the server at once: each further one would
/// take as much memory and bandwidth.
void record_excessive_response(server_state& server, const balancer_settings& settings,
                               time_point now);
void record_load(server_state& server, const reported_load& load, time_point now);

}  // namespace greengagechute::gateway
