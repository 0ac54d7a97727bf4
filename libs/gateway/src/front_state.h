#pragma once

#include "admission/request_share.h"
#include "admission/retry_budget.h"
#include "dispatch/cold_allowance.h"
#include "dispatch/server_choice.h"
#include "gateway/errors.h"
#include "gateway/front.h"
#include "gateway/request_fingerprint.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

// Shared by the source files of the front only.

namespace greengagechute::gateway {

namespace code {
inline constexpr int first_failure = 300;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int misdirected = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int first_server_failure = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;
}  // namespace code

/// How long a draining owner still receives requests. A draining server serves for at least 2 s.
inline constexpr milliseconds max_draining_owner_use{1'500};
/// An attempt is made only if at least this fraction of the average latency is left before the
/// deadline.
inline constexpr double min_useful_time_ratio = 0.5;
/// Delay before retrying a server to which no connection could be established.
inline constexpr milliseconds unreachable_retry_delay{80};

template <typename rep, typename period>
double to_ms(std::chrono::duration<rep, period> span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

inline std::string_view reason_phrase(int status) {
    switch (status) {
        case code::bad_request:
            return "Bad Request";
        case code::not_found:
            return "Not Found";
        case code::bad_gateway:
            return "Bad Gateway";
        case code::unavailable:
            return "Service Unavailable";
        default:
            return "Gateway Timeout";
    }
}

/// Fraction of the retry ratio that a host uses. The margin is needed because hosts also count
/// first attempts that never reach a server.
inline constexpr double usable_retry_share = 0.85;
/// Fraction of the slack used for retries after moves: both the amount that all hosts refill per
/// window and the capacity that they may have accumulated at its start.
inline constexpr double usable_slack_share = 0.4;
inline constexpr double per_thousand = 1'000;

/// Token bucket for retries after an owner answered that it no longer holds the key. It is refilled
/// from this host's part of the slack of the retry budget.
struct token_bucket {
    double tokens = 0;
    time_point refilled_at;

    bool try_take(const retry_budget_settings& budget, int hosts, time_point now) {
        const double capacity = std::max(1.0, usable_slack_share * budget.slack / hosts);
        const double per_second = usable_slack_share * budget.slack / hosts /
                                  std::chrono::duration<double>(budget.window).count();
        const double seconds = std::chrono::duration<double>(now - this->refilled_at).count();
        this->tokens = std::min(capacity, this->tokens + seconds * per_second);
        this->refilled_at = now;
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }
};

/// Logged as the age of a value that has never been received.
inline constexpr milliseconds unknown_age{-1};

inline milliseconds age_of(time_point received, time_point now) {
    return received == time_point{} ? unknown_age
                                    : std::chrono::floor<milliseconds>(now - received);
}

/// Index of the range that contains the key, in a table that covers the whole key space.
inline std::size_t range_index(const ranges::range_table& table, ranges::key_position key) {
    const auto found =
        std::lower_bound(table.ranges.begin(), table.ranges.end(), key,
                         [](const ranges::range_owner& entry, ranges::key_position wanted) {
                             return entry.keys.last < wanted;
                         });
    return static_cast<std::size_t>(found - table.ranges.begin());
}

/// What is known of the requests on a route.
struct route_facts {
    /// Moving average of the latency of successful attempts; 0 if none was measured.
    double latency_ms = 0;
    /// Longest deadline that callers state, forgotten slowly. A caller that repeats a request
    /// states what is left of it.
    double deadline_ms = 0;
};

/// A caller's request, from its arrival until it is answered.
struct active_request {
    std::shared_ptr<wire::incoming> caller;
    std::shared_ptr<const catalogue> config;
    const route* matched_route = nullptr;
    service_id service;
    bool divided = false;
    ranges::key_position key = 0;
    wire::request message;
    std::string id;
    time_point arrived;
    /// Time until which an answer has its full value; the epoch if the route states no target. In
    /// the past if the caller has repeated the request for that long.
    time_point target_by;
    /// What is known of the requests on its route.
    route_facts* facts = nullptr;
    /// Deadline: the earlier of the caller's deadline and the route's timeout.
    time_point answer_by;
    wire::timer_id deadline_timer = 0;
    std::set<server_id> tried_servers;
    int attempts = 0;
    int unreachable_attempts = 0;
    int moved_attempts = 0;
    /// Number of times that an owner refused it because it was full or shed load.
    int refused_attempts = 0;
    /// Connections on which a server refused it. It is not sent on them again: the server might
    /// repeat the refusal there, with the same request id, while it runs the request.
    std::vector<wire::connection_id> refusing_connections;
    /// A server may have executed the request, so the caller must not be told that it has not run.
    bool may_have_run = false;
    /// Earliest time of the next attempt.
    time_point retry_at;
    /// Server of the current attempt, or of the last one.
    server_id current_server;
    /// Instance of `current_server` to which the attempt was sent.
    ranges::server_instance current_instance;
    wire::call_id call;
    bool in_flight = false;
    time_point sent_at;
    /// Error response of an earlier attempt, returned to the caller if no retry succeeds.
    std::optional<wire::response> fallback;
    /// Set when it is first needed.
    std::optional<request_fingerprint> content;
    bool done = false;
    telemetry::request_trail trail{""};
};

using request_handle = std::shared_ptr<active_request>;

/// Connection to a server that may have ended; open until it is accepted or refused.
struct server_check {
    std::shared_ptr<wire::stream> connection;
    wire::timer_id timer = 0;
};

/// The server selected for a request, or the reason why the request has to wait.
struct server_choice {
    server_state* server = nullptr;
    std::string_view wait_reason;
};

/// A limit of hot keys, and what this host sends of the requests for them.
struct limited_keys {
    ranges::key_range keys;
    admission::sent_fraction share;
    time_point set_at;
};

/// State of one service: its servers, the owners of its key ranges and the queued requests.
struct service_pool {
    std::map<server_id, server_state> servers;
    ranges::range_table owners;
    time_point owners_updated_at;
    /// For each range without an owner, by its first key: since when it has had none.
    std::map<ranges::key_position, time_point> unowned_since;
    /// Indexed like `owners`. Set while a range moves, that is after its owner refused a key: time
    /// at which one request may probe the owner again, while the others wait. Otherwise the epoch.
    std::vector<time_point> next_probe_at;
    token_bucket move_retries;
    std::vector<limited_keys> limits;
    /// By the name of the route.
    std::unordered_map<std::string, route_facts> routes;
    std::list<request_handle> waiting;
    /// Number of waiting requests that were sent.
    std::size_t places_given = 0;
    wire::timer_id dispatch_timer = 0;
    time_point dispatch_at;
    admission::retry_budget retries;
    /// Moving average of the latency of successful attempts; 0 if none was measured.
    double latency_ms = 0;
};

struct front::state {
    wire::event_loop& loop;
    wire::client& upstreams;
    telemetry::logger& log;
    header_names names;
    front_settings settings;
    std::mt19937_64 random;
    std::shared_ptr<const catalogue> config;
    std::unordered_map<service_id, service_pool> services;
    std::map<service_id, std::vector<ranges::key_position>> seen_keys;
    std::map<service_id, std::map<server_id, service_time_sample>> service_times;
    std::map<service_id, std::map<server_id, queue_sample>> queues;
    std::vector<ranges::server_instance> ended_servers;
    crash_guard guard;
    std::map<ranges::server_instance, server_check> server_checks;
    /// Notices of server instances that are not registered at the moment, and when they were
    /// removed. Their entries may come back, also from an older copy of the store.
    std::map<ranges::server_instance, std::pair<server_notices, time_point>> former_notices;
    evacuation_table evacuations;
    /// Allowances of cold servers that this host holds.
    std::map<ranges::server_instance, dispatch::held_loan> loans;
    int hosts = 1;
    /// Time at which open requests will be aborted; empty unless this process ends.
    std::optional<time_point> ends_at;
    std::unordered_set<request_handle> open;
    telemetry::counter accepted_count;
    telemetry::counter answered_count;
    telemetry::counter refused_count;
    telemetry::counter failed_count;
    telemetry::counter retried_count;
    telemetry::counter left_count;
    telemetry::counter withheld_by_leaving;
    telemetry::counter withheld_by_pause;
    telemetry::counter limited_count;
    telemetry::counter unreadable_loads;
    telemetry::counter refused_by_region;
    telemetry::counter refused_by_evacuation;
    telemetry::counter withheld_by_warmup;
    telemetry::counter quarantined_count;
    telemetry::counter ended_under_requests;
    telemetry::latency_histogram request_time;

    service_pool& service_of(const service_id& id, time_point now) {
        const auto found = this->services.find(id);
        if (found != this->services.end()) {
            return found->second;
        }
        service_pool& added = this->services[id];
        added.retries = admission::make_retry_budget(true, now);
        added.retries.per_thousand = static_cast<std::uint32_t>(this->settings.retries.ratio *
                                                                usable_retry_share * per_thousand);
        return added;
    }

    double random_unit() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    distance distance_to(const server_entry& entry) const {
        if (entry.data_centre == this->settings.data_centre) {
            return distance::same_data_centre;
        }
        const auto own_region = this->settings.regions.find(this->settings.data_centre);
        const auto server_region = this->settings.regions.find(entry.data_centre);
        return own_region != this->settings.regions.end() &&
                       server_region != this->settings.regions.end() &&
                       own_region->second == server_region->second
                   ? distance::same_region
                   : distance::other_region;
    }

    void update_places(const service_id& id, service_pool& pool, const directory* known);
    bool has_loan(const server_state& server, time_point now) const;
    std::optional<gateway_errc> barred_by(const active_request& active, const service_pool& pool,
                                          time_point now) const;
    bool refuse_if_cold(const request_handle& active, const service_pool& pool, time_point now);
    bool refuse_if_barred(const request_handle& active, const service_pool& pool, time_point now);
    wire::response make_failure(const active_request& active, int status);
    void accept(const std::shared_ptr<wire::incoming>& request);
    void start(const request_handle& active);
    server_choice choose_server(const active_request& active, service_pool& pool, time_point now);
    server_choice choose_owner(const active_request& active, service_pool& pool, time_point now);
    bool try_send(const request_handle& active, service_pool& pool, time_point now);
    static limited_keys* find_limit(const active_request& active, service_pool& pool,
                                    time_point now);
    bool is_urgent(const active_request& active) const;
    bool is_seldom_met(const service_pool& pool) const;
    admission::request_standing standing_of(const active_request& active, const service_pool& pool,
                                            time_point now) const;
    void draw_servers(std::vector<server_state*>& usable, milliseconds target_latency,
                      const balancer_settings& rules, time_point now);
    bool refuse_if_limited(const request_handle& active, service_pool& pool, time_point now);
    request_fingerprint content_of(active_request& active) const;
    bool refuse_if_quarantined(const request_handle& active, time_point now);
    void note_interrupted(const request_handle& active, const server_state* server,
                          interruption how, time_point now);
    void end_attempts_at(const ranges::server_instance& ended, time_point now);
    void check_server(const ranges::server_instance& server, const wire::endpoint& address);
    void on_server_ended(const ranges::server_instance& server, end_evidence evidence,
                         time_point now);
    void note_load(const active_request& active, service_pool& pool, server_state& server,
                   const std::string& stated, time_point now);
    void record_queue(const active_request& active, const service_pool& pool, int waiting);
    void keep_notices(const server_state& server, time_point now);
    void note_statement(const request_handle& active, const wire::response& message,
                        time_point now);
    std::optional<time_point> pause_end(const active_request& active, const service_pool& pool,
                                        time_point now) const;
    void count_withheld(const active_request& active, const service_pool& pool, time_point now);
    bool refuse_if_paused(const request_handle& active, const service_pool& pool, time_point now);
    bool is_cut_by_shutdown(const active_request& active, const service_pool& pool, double wait_ms,
                            time_point now) const;
    void refuse_unfinishable(service_pool& pool, time_point now);
    bool would_miss_deadline(const active_request& active, const service_pool& pool,
                             time_point now) const;
    static bool is_long_unowned(const active_request& active, const service_pool& pool,
                                time_point now);
    double estimated_wait_ms(const active_request& active, const service_pool& pool,
                             time_point now) const;
    void send(const request_handle& active, server_state& server, time_point now);
    void log_sent(const request_handle& active, const service_pool& pool,
                  const server_state& server, milliseconds left, time_point now);
    void log_pause(const server_state& server, time_point paused_before, time_point now);
    void on_result(const request_handle& active, wire::call_result outcome);
    void on_response(const request_handle& active, wire::response message, time_point now);
    void on_not_run(const request_handle& active, int status, time_point now);
    void note_no_response(server_state* server, time_point now);
    void on_no_answer(const request_handle& active, server_state* server, const status& error,
                      time_point now);
    void on_failure(const request_handle& active, const status& error, time_point now);
    bool has_useful_time(const active_request& active, time_point now);
    bool take_retry(const active_request& active, time_point now);
    void requeue(const request_handle& active, milliseconds pause, time_point now);
    void enqueue(const request_handle& active, service_pool& pool);
    void dispatch_waiting(const service_id& service);
    void schedule_dispatch(const service_id& service, milliseconds delay);
    void refuse(const request_handle& active, gateway_errc reason, time_point now);
    void fail(const request_handle& active, int status, gateway_errc reason, time_point now);
    void answer(const request_handle& active, wire::response message);
    void expire(const request_handle& active, time_point now);
    void on_caller_left(const request_handle& active);
    void release_server(const request_handle& active);
    void reject(const std::shared_ptr<wire::incoming>& request, int status, gateway_errc reason);
};

}  // namespace greengagechute::gateway
