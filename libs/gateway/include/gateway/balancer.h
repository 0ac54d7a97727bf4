#pragma once

#include "base/time.h"
#include "gateway/directory.h"

#include <cstdint>

namespace greengagechute::gateway {

/// Load that a server states in its answers.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// Service times seen at one server. Logarithms, so that the few long requests do not decide.
struct service_time_sample {
    double sum_log_ms = 0;
    int count = 0;
};

struct balancer_settings {
    /// One way between data centres of a region, and between regions; from the deployment.
    double same_region_latency_ms = 0.5;
    double cross_region_latency_ms = 12.0;
    /// Requests that all hosts together let a server hold, per slot. A server queues a few times
    /// its slots; beyond that some never answer.
    double max_outstanding_per_slot = 4.0;
    /// A stated load counts for this long; servers answer several times a second.
    milliseconds max_load_age{300};
    /// Failures in a row after which a server gets no work for a time.
    int max_consecutive_failures = 3;
    milliseconds pause_duration{1'000};
    /// Service time assumed before any has been measured.
    double initial_latency_ms = 80.0;
    /// Part of a route's target latency by which a server of another region must answer sooner
    /// than the servers of this one: traffic between regions is paid by volume, and an answer
    /// within the target has its full value.
    double cross_region_penalty_ratio = 0.3;
};

/// What a host knows of one server.
struct server_state {
    server_entry entry;
    /// Its registration lapsed, and it may have left.
    bool registration_lapsed = false;
    /// Another server answers at its address.
    bool replaced = false;
    int in_flight = 0;
    reported_load reported;
    time_point reported_at;
    bool has_reported = false;
    /// Smoothed time from sending a request to its answer.
    double latency_ms = 0;
    /// Smoothed share of requests that failed.
    double failure_share = 0;
    int consecutive_failures = 0;
    time_point paused_until;
    time_point first_seen;
    /// Time at which it was first seen leaving.
    time_point draining_since;
};

/// How far a server is from this host.
enum class distance { same_data_centre, same_region, other_region };

/// Requests that this host may have at the server at the same time.
/// @param hosts  hosts that send to the server
int concurrency_limit(const server_state& server, int hosts, const balancer_settings& settings,
                      time_point now);

/// Expected time to an answer of one more request, in milliseconds.
double expected_latency_ms(const server_state& server, distance server_distance,
                           const balancer_settings& settings, time_point now);

/// What sending one more request to the server costs, in milliseconds of waiting: the expected time
/// and, for a server of another region, the price of the traffic between regions.
/// @param target_latency  time within which the answer has its full value; 0 if there is none
double placement_cost(const server_state& server, distance server_distance,
                      milliseconds target_latency, const balancer_settings& settings,
                      time_point now);

/// Whether the server stated that all of its slots were in use.
bool is_full(const server_state& server);

/// Whether the server may get work now: registered, not leaving, not paused.
bool is_available(const server_state& server, time_point now);

void record_answer(server_state& server, microseconds took, bool failed,
                   const balancer_settings& settings, time_point now);
/// A request could not be sent, or its connection failed.
void record_no_response(server_state& server, const balancer_settings& settings, time_point now);
void record_load(server_state& server, const reported_load& load, time_point now);

}  // namespace greengagechute::gateway
