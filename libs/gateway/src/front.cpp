#include "gateway/front.h"

#include "admission/request_share.h"
#include "admission/retry_budget.h"
#include "gateway/errors.h"
#include "gateway/request_fingerprint.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace greengagechute::gateway {

namespace {

namespace code {
constexpr int first_failure = 300;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int request_timeout = 408;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int first_server_failure = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
}  // namespace code

/// Delay before retrying a key whose owner answered that it no longer holds it. Moving a range
/// takes about two round trips between regions and one transaction of the store.
constexpr milliseconds moved_retry_delay{60};
/// While a range moves, a single request at a time is sent to its owner as a probe. Interval after
/// which the next probe may be sent.
constexpr milliseconds moved_probe_interval{150};
/// Delay before a server whose connection broke is asked for another one. A process that ends
/// closes its listener and its connections within this time.
constexpr milliseconds server_check_delay{30};
/// Time in which a server accepts a connection, or its machine refuses one, unless that is lost.
constexpr milliseconds server_check_timeout{500};
/// Delay before retrying a server to which no connection could be established.
constexpr milliseconds unreachable_retry_delay{80};
/// Attempts per request that may fail before they reach a server.
constexpr int max_unreachable_attempts = 6;
/// Retries per request after an owner answered that it no longer holds the key.
constexpr int max_moved_attempts = 3;
/// An attempt is made only if at least this fraction of the average latency is left before the
/// deadline.
constexpr double min_useful_time_ratio = 0.5;
/// While this process ends, a request is sent only if this multiple of the average latency is left.
/// Most requests take less.
constexpr double min_shutdown_time_ratio = 2.0;
/// Maximum number of queued requests examined in one pass.
constexpr int max_dispatched_per_pass = 256;
/// How long a draining owner still receives requests. A draining server serves for at least 2 s.
constexpr milliseconds max_draining_owner_use{1'500};
/// Added to the cost of servers whose registration has lapsed, so that they are used only if no
/// other server is available.
constexpr double lapsed_registration_cost_ms = 60'000;
/// Time for which the notices of a server that is no longer registered are kept. An entry from an
/// older copy of the store appears within seconds.
constexpr milliseconds former_notices_retention = std::chrono::minutes{10};
/// Time for which a limit holds after the coordinator has stated it last. A lost coordinator is
/// replaced within it, and the next one learns the load.
constexpr milliseconds max_limit_age{3'000};
/// Minimum Retry-After of refused requests, before jitter.
constexpr milliseconds min_retry_after{60};
constexpr int ms_per_second = 1'000;

template <typename rep, typename period>
double to_ms(std::chrono::duration<rep, period> span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Whether a caller takes the status for a promise that its request has not run.
bool promises_not_run(int status) {
    return status == code::request_timeout || status == code::misdirected ||
           status == code::too_many_requests || status == code::unavailable;
}

std::string_view reason_phrase(int status) {
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

std::optional<std::int64_t> parse_number(const std::string* text) {
    std::int64_t number = 0;
    if (text == nullptr || text->empty()) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (error != std::errc{} || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return number;
}

/// Fraction of the retry ratio that a host uses. The margin is needed because hosts also count
/// first attempts that never reach a server.
constexpr double usable_retry_share = 0.85;
/// Fraction of the slack used for retries after moves: both the amount that all hosts refill per
/// window and the capacity that they may have accumulated at its start.
constexpr double usable_slack_share = 0.4;
constexpr double per_thousand = 1'000;
/// Retries per request after an owner refused it because it was full or shed load.
constexpr int max_refused_attempts = 3;
/// Delay before retrying a full owner: about the time in which a slot becomes free.
constexpr milliseconds full_owner_retry_delay{40};
/// Moves and the expiry of a 2 s lease take less time than this. A key that has had no owner for
/// longer waits for the store to return, so requests for it are refused immediately.
constexpr milliseconds max_move_duration{2'500};
/// Minimum Retry-After of requests for such a key, before jitter.
constexpr milliseconds unowned_retry_after{400};

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
constexpr milliseconds unknown_age{-1};

milliseconds age_of(time_point received, time_point now) {
    return received == time_point{} ? unknown_age
                                    : std::chrono::floor<milliseconds>(now - received);
}

/// Index of the range that contains the key, in a table that covers the whole key space.
std::size_t range_index(const ranges::range_table& table, ranges::key_position key) {
    const auto found =
        std::lower_bound(table.ranges.begin(), table.ranges.end(), key,
                         [](const ranges::range_owner& entry, ranges::key_position wanted) {
                             return entry.keys.last < wanted;
                         });
    return static_cast<std::size_t>(found - table.ranges.begin());
}

}  // namespace

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
    std::list<request_handle> waiting;
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

    wire::response make_failure(const active_request& active, int status);
    void accept(const std::shared_ptr<wire::incoming>& request);
    void start(const request_handle& active);
    server_choice choose_server(const active_request& active, service_pool& pool, time_point now);
    server_choice choose_owner(const active_request& active, service_pool& pool, time_point now);
    bool try_send(const request_handle& active, service_pool& pool, time_point now);
    static limited_keys* find_limit(const active_request& active, service_pool& pool,
                                    time_point now);
    bool is_urgent(const active_request& active) const;
    bool refuse_if_limited(const request_handle& active, service_pool& pool, time_point now);
    request_fingerprint content_of(active_request& active) const;
    bool refuse_if_quarantined(const request_handle& active, time_point now);
    void note_interrupted(const request_handle& active, const server_state* server,
                          interruption how, time_point now);
    void end_attempts_at(const ranges::server_instance& ended, time_point now);
    void check_server(const ranges::server_instance& server, const wire::endpoint& address);
    void on_server_ended(const ranges::server_instance& server, end_evidence evidence,
                         time_point now);
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

front::front(wire::event_loop& loop, wire::client& upstreams, telemetry::logger& log,
             telemetry::metrics& metrics, header_names names, front_settings settings,
             std::uint64_t seed)
    : implementation(new state{loop,
                               upstreams,
                               log,
                               std::move(names),
                               std::move(settings),
                               std::mt19937_64(seed),
                               nullptr,
                               {},
                               {},
                               {},
                               {},
                               {},
                               make_crash_guard(settings.quarantine),
                               {},
                               {},
                               1,
                               std::nullopt,
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {}}) {
    const auto make = [&metrics](std::string_view name, std::string_view help) {
        const auto made = metrics.add_counter(name, help);
        return made ? *made : telemetry::counter();
    };
    state& impl = *this->implementation;
    impl.accepted_count = make("greengagechute_requests_total", "Requests of callers.");
    impl.answered_count = make("greengagechute_answers_total", "Answers of servers passed on.");
    impl.refused_count = make("greengagechute_refusals_total", "Requests refused as not run.");
    impl.failed_count = make("greengagechute_failures_total", "Requests with an unknown outcome.");
    impl.retried_count = make("greengagechute_retries_total", "Requests sent to a server again.");
    impl.left_count =
        make("greengagechute_callers_left_total", "Callers that left before the answer.");
    impl.withheld_by_leaving = make("greengagechute_withheld_leaving_total",
                                    "Requests that were not sent because their server has stated "
                                    "that it is leaving.");
    impl.withheld_by_pause = make("greengagechute_withheld_pause_total",
                                  "Requests that were not sent because their servers have asked "
                                  "for a pause.");
    impl.limited_count = make("greengagechute_limited_total",
                              "Requests refused because their key gets more than its server can "
                              "run.");
    impl.quarantined_count = make("greengagechute_quarantined_total",
                                  "Requests refused because servers have ended under them.");
    impl.ended_under_requests = make("greengagechute_servers_ended_under_requests_total",
                                     "Ends of servers, counted for each request that ran there.");
    const auto histogram = metrics.add_latency("greengagechute_request_seconds",
                                               "Time from a request's arrival to its answer.");
    if (histogram) {
        impl.request_time = *histogram;
    }
}

front::~front() = default;

void front::set_catalogue(std::shared_ptr<const catalogue> content) {
    this->implementation->config = std::move(content);
}

void front::set_host_count(int count) {
    this->implementation->hosts = std::max(1, count);
}

std::size_t front::open_requests() const {
    return this->implementation->open.size();
}

void front::set_servers(const directory& servers, time_point changed, time_point now) {
    state& impl = *this->implementation;
    std::erase_if(impl.former_notices, [now](const auto& former) {
        return now - former.second.second > former_notices_retention;
    });
    for (auto& [id, service] : impl.services) {
        std::erase_if(service.servers, [&](const auto& known) {
            const server_entry* entry = servers.find(known.first);
            const bool gone = entry == nullptr || entry->service != known.second.entry.service;
            if (gone) {
                impl.keep_notices(known.second, now);
            }
            return gone;
        });
    }
    std::vector<ranges::server_instance> replaced;
    for (const auto& [id, entry] : servers.servers()) {
        service_pool& service = impl.service_of(entry.service, now);
        server_state& server = service.servers[id];
        const bool known = server.entry.life == entry.life;
        if (!known) {
            impl.keep_notices(server, now);
            if (server.entry.life.start_time_ms != 0 &&
                server.entry.life.start_time_ms < entry.life.start_time_ms) {
                replaced.push_back(server.entry.life);
            }
            // An answer does not say which start of the server it is of: a pause may have been
            // stated by this one.
            const auto pause = server.notices.paused_until;
            server = {};
            server.first_seen = now;
            server.notices.paused_until = pause;
            if (const auto former = impl.former_notices.find(entry.life);
                former != impl.former_notices.end()) {
                server.notices = former->second.first;
                server.notices.paused_until = std::max(server.notices.paused_until, pause);
                impl.former_notices.erase(former);
            }
        }
        if (entry.draining && !server.entry.draining) {
            // A server that is draining when it is first seen may have drained for long.
            server.draining_since = known ? changed : time_point{};
        }
        server.entry = entry;
        server.registration_lapsed = servers.awaits_reregistration(id);
    }
    for (const ranges::server_instance& ended : replaced) {
        impl.end_attempts_at(ended, now);
    }
    for (auto& [id, service] : impl.services) {
        impl.schedule_dispatch(id, milliseconds{0});
    }
}

void front::set_owners(const service_id& service, ranges::range_table owners) {
    state& impl = *this->implementation;
    service_pool& target = impl.service_of(service, wire::event_loop::now());
    target.owners = std::move(owners);
    target.owners_updated_at = wire::event_loop::now();
    std::map<ranges::key_position, time_point> unowned;
    for (const ranges::range_owner& entry : target.owners.ranges) {
        if (entry.owner.id.value().empty()) {
            const auto known = target.unowned_since.find(entry.keys.first);
            unowned[entry.keys.first] =
                known == target.unowned_since.end() ? target.owners_updated_at : known->second;
        }
    }
    target.unowned_since = std::move(unowned);
    target.next_probe_at.assign(target.owners.ranges.size(), time_point{});
    for (const request_handle& active : target.waiting) {
        active->retry_at = {};
    }
    impl.schedule_dispatch(service, milliseconds{0});
}

std::map<service_id, std::vector<ranges::key_position>> front::take_keys() {
    return std::exchange(this->implementation->seen_keys, {});
}

void front::set_limits(const limits_update& update, time_point now) {
    state& impl = *this->implementation;
    for (auto& [id, pool] : impl.services) {
        std::vector<limited_keys> next;
        const auto found = update.limits.find(id);
        if (found != update.limits.end()) {
            for (const key_limit& limit : found->second) {
                limited_keys added{limit.keys, {limit.fraction, impl.random_unit()}, now};
                const auto known = std::find_if(
                    pool.limits.begin(), pool.limits.end(),
                    [&limit](const limited_keys& other) { return other.keys == limit.keys; });
                if (known != pool.limits.end()) {
                    added.share.credit = known->share.credit;
                }
                next.push_back(added);
            }
        }
        pool.limits = std::move(next);
    }
}

std::map<service_id, std::map<server_id, queue_sample>> front::take_queues() {
    return std::exchange(this->implementation->queues, {});
}

std::map<service_id, std::map<server_id, service_time_sample>> front::take_service_times() {
    return std::exchange(this->implementation->service_times, {});
}

std::vector<ranges::server_instance> front::leaving_servers() const {
    std::vector<ranges::server_instance> leaving;
    for (const auto& [id, service] : this->implementation->services) {
        for (const auto& [server_id, server] : service.servers) {
            if (server.notices.leaving_since && !server.entry.draining) {
                leaving.push_back(server.entry.life);
            }
        }
    }
    return leaving;
}

std::vector<ranges::server_instance> front::take_ended_servers() {
    return std::exchange(this->implementation->ended_servers, {});
}

std::vector<request_loss> front::take_losses() {
    return std::exchange(this->implementation->guard.unreported, {});
}

void front::return_losses(const std::vector<request_loss>& unreported) {
    std::vector<request_loss>& waiting = this->implementation->guard.unreported;
    waiting.insert(waiting.begin(), unreported.begin(), unreported.end());
}

std::vector<request_fingerprint> front::take_cleared() {
    return std::exchange(this->implementation->guard.cleared, {});
}

void front::set_suspects(const suspects_update& update, time_point now) {
    apply(this->implementation->guard, update, now);
}

void front::set_end(time_point when, time_point now) {
    this->implementation->ends_at = when;
    for (auto& [id, pool] : this->implementation->services) {
        this->implementation->refuse_unfinishable(pool, now);
    }
}

void front::abort_open_requests(time_point now) {
    const std::vector<request_handle> unanswered(this->implementation->open.begin(),
                                                 this->implementation->open.end());
    for (const request_handle& active : unanswered) {
        this->implementation->expire(active, now);
    }
}

void front::accept(const std::shared_ptr<wire::incoming>& request) {
    this->implementation->accept(request);
}

void front::state::reject(const std::shared_ptr<wire::incoming>& request, int status,
                          gateway_errc reason) {
    const std::string* id = wire::find_header(request->message().headers, this->names.request_id);
    telemetry::request_trail trail(id != nullptr ? *id : std::string());
    this->log.add(trail, telemetry::level::warning, "request_rejected",
                  {{"status", status},
                   {"error", make_error_code(reason)},
                   {"config", this->config ? this->config->version : 0}});
    this->log.write(trail, wire::event_loop::now());
    wire::response message;
    message.code = status;
    message.reason = reason_phrase(status);
    if (id != nullptr) {
        message.headers.push_back({this->names.request_id, *id});
    }
    if (status == code::unavailable) {
        message.headers.push_back({this->names.retry_after, "0.3"});
    }
    request->answer(std::move(message));
}

void front::state::accept(const std::shared_ptr<wire::incoming>& request) {
    this->accepted_count.add();
    if (!this->config) {
        this->reject(request, code::unavailable, gateway_errc::no_configuration);
        return;
    }
    const wire::request& message = request->message();
    const std::string* host = wire::find_header(message.headers, "Host");
    const route* matched_route =
        host == nullptr ? nullptr : find_route(*this->config, *host, message.target);
    if (matched_route == nullptr || matched_route->services.empty()) {
        this->reject(request, code::not_found, gateway_errc::no_route);
        return;
    }
    auto active = std::make_shared<active_request>();
    active->config = this->config;
    active->matched_route = matched_route;
    active->service = choose_service(*matched_route, this->random_unit());
    const auto service = this->config->services.find(active->service);
    active->divided = service != this->config->services.end() && service->second.divided;
    if (active->divided) {
        const auto key = parse_number(wire::find_header(message.headers, this->names.key));
        if (!key || *key < 0 || *key > ranges::last_key) {
            this->reject(request, code::bad_request, gateway_errc::invalid_key);
            return;
        }
        active->key = static_cast<ranges::key_position>(*key);
        this->seen_keys[active->service].push_back(active->key);
    }
    milliseconds allowed = this->settings.default_deadline;
    if (const std::string* text = wire::find_header(message.headers, this->names.deadline)) {
        const auto deadline = parse_number(text);
        if (!deadline || *deadline <= 0) {
            this->reject(request, code::bad_request, gateway_errc::invalid_deadline);
            return;
        }
        allowed = milliseconds(*deadline) - 2 * this->settings.caller_latency;
    }
    if (matched_route->timeout > milliseconds{0}) {
        allowed = std::min(allowed, matched_route->timeout);
    }
    active->caller = request;
    active->arrived = request->arrived();
    active->answer_by = active->arrived + allowed;
    if (const std::string* id = wire::find_header(message.headers, this->names.request_id)) {
        active->id = *id;
    }
    active->trail = telemetry::request_trail(active->id);
    this->log.add(active->trail, telemetry::level::info, "request_accepted",
                  {{"route", matched_route->name},
                   {"service", active->service.value()},
                   {"key", active->divided ? static_cast<std::int64_t>(active->key) : -1},
                   {"safe", matched_route->kind == request_kind::safe},
                   {"allowed", allowed},
                   {"config", this->config->version}});
    active->message = std::move(request->message());
    // Answering the caller needs the method and whether the connection is kept alive.
    request->message().method = active->message.method;
    request->message().keep_alive = active->message.keep_alive;
    wire::remove_connection_headers(active->message.headers);
    wire::remove_header(active->message.headers, this->names.expected_server);
    this->open.insert(active);
    request->on_left([this, active] { this->on_caller_left(active); });
    active->deadline_timer = this->loop.call_after(
        std::chrono::ceil<milliseconds>(active->answer_by - wire::event_loop::now()),
        [this, active] { this->expire(active, wire::event_loop::now()); });
    if (matched_route->kind == request_kind::unsafe && !request->is_first()) {
        // The response to an earlier pipelined request may close the connection, and the caller
        // would then resend this one. An unsafe request is therefore started only once it is the
        // first.
        request->on_first([this, active] { this->start(active); });
        return;
    }
    this->start(active);
}

void front::state::start(const request_handle& active) {
    if (active->done) {
        return;
    }
    const time_point now = wire::event_loop::now();
    service_pool& pool = this->service_of(active->service, now);
    if (this->is_cut_by_shutdown(*active, pool, 0, now)) {
        this->refuse(active, gateway_errc::shutting_down, now);
        return;
    }
    if (this->refuse_if_quarantined(active, now) || this->refuse_if_limited(active, pool, now)) {
        return;
    }
    if (this->try_send(active, pool, now)) {
        return;
    }
    if (is_long_unowned(*active, pool, now)) {
        this->refuse(active, gateway_errc::no_owner, now);
        return;
    }
    if (this->refuse_if_paused(active, pool, now)) {
        return;
    }
    if (this->would_miss_deadline(*active, pool, now)) {
        this->refuse(active, gateway_errc::overloaded, now);
        return;
    }
    if (this->is_cut_by_shutdown(*active, pool, this->estimated_wait_ms(*active, pool, now), now)) {
        this->refuse(active, gateway_errc::shutting_down, now);
        return;
    }
    this->enqueue(active, pool);
}

/// Returns the owner of the request's key if it may receive one more request.
server_choice front::state::choose_owner(const active_request& active, service_pool& pool,
                                         time_point now) {
    const ranges::server_instance* owner = owner_of(pool.owners, active.key);
    if (owner == nullptr) {
        return {nullptr, "no_owner"};
    }
    if (owner->id.value().empty() ||
        now < pool.next_probe_at[range_index(pool.owners, active.key)]) {
        return {nullptr, "range_moving"};
    }
    const auto found = pool.servers.find(owner->id);
    if (found == pool.servers.end() || found->second.entry.life != *owner) {
        return {nullptr, "owner_not_registered"};
    }
    server_state& server = found->second;
    if (server.replaced ||
        (server.entry.draining && now > server.draining_since + max_draining_owner_use)) {
        return {nullptr, "owner_left"};
    }
    if (is_pause_asked(server.notices, now)) {
        return {nullptr, "owner_asked_pause"};
    }
    if (!accepts_owned_work(server.notices, max_draining_owner_use, now)) {
        return {nullptr, "owner_leaving"};
    }
    if (now < server.paused_until) {
        return {nullptr, "owner_paused"};
    }
    if (server.in_flight >= concurrency_limit(server, this->hosts, this->settings.balancer, now)) {
        return {nullptr, "owner_full"};
    }
    return {&server, {}};
}

server_choice front::state::choose_server(const active_request& active, service_pool& pool,
                                          time_point now) {
    if (now < active.retry_at) {
        return {nullptr, "pause_after_failure"};
    }
    if (active.divided) {
        return this->choose_owner(active, pool, now);
    }
    const balancer_settings& rules = this->settings.balancer;
    server_state* best = nullptr;
    double best_ms = 0;
    for (auto& [id, server] : pool.servers) {
        if (!is_available(server, now) || active.tried_servers.contains(id) ||
            server.in_flight >= concurrency_limit(server, this->hosts, rules, now)) {
            continue;
        }
        const double ms = placement_cost(server, this->distance_to(server.entry),
                                         active.matched_route->target_latency, rules, now) +
                          this->random_unit() +  // Jitter spreads requests over equal servers.
                          (server.registration_lapsed ? lapsed_registration_cost_ms : 0);
        if (best == nullptr || ms < best_ms) {
            best = &server;
            best_ms = ms;
        }
    }
    return {best, best == nullptr ? "no_server_free" : std::string_view()};
}

bool front::state::try_send(const request_handle& active, service_pool& pool, time_point now) {
    const server_choice found = this->choose_server(*active, pool, now);
    if (found.server == nullptr) {
        this->count_withheld(*active, pool, now);
        const ranges::server_instance* const owner =
            active->divided ? owner_of(pool.owners, active->key) : nullptr;
        this->log.add(active->trail, telemetry::level::info, "request_waits",
                      {{"reason", found.wait_reason},
                       {"server", owner != nullptr ? owner->id.value() : std::string()},
                       {"queue", pool.waiting.size()},
                       {"servers", pool.servers.size()},
                       {"owners_age", age_of(pool.owners_updated_at, now)}});
        return false;
    }
    this->send(active, *found.server, now);
    return true;
}

void front::state::log_sent(const request_handle& active, const service_pool& pool,
                            const server_state& server, milliseconds left, time_point now) {
    this->log.add(
        active->trail, telemetry::level::info, "request_sent",
        {{"server", server.entry.life.id.value()},
         {"attempt", active->attempts},
         {"left", left},
         {"in_flight", server.in_flight},
         {"limit", concurrency_limit(server, this->hosts, this->settings.balancer, now)},
         {"running", server.reported.running},
         {"waiting", server.reported.waiting},
         {"load_age", age_of(server.reported_at, now)},
         {"owners_age", active->divided ? age_of(pool.owners_updated_at, now) : unknown_age},
         {"doubtful", server.registration_lapsed}});
}

/// Logs that a server has just been paused, if `paused_until` was extended since `paused_before`.
void front::state::log_pause(const server_state& server, time_point paused_before, time_point now) {
    if (server.paused_until > paused_before && server.paused_until > now) {
        telemetry::log_info(this->log, "server_paused",
                            {{"server", server.entry.life.id.value()},
                             {"until", std::chrono::floor<milliseconds>(server.paused_until - now)},
                             {"failures", this->settings.balancer.max_consecutive_failures},
                             {"failure_share", server.failure_share}});
    }
}

/// Estimated queueing time in milliseconds, counting queued requests of the same or a more urgent
/// priority; 0 if no server is available.
double front::state::estimated_wait_ms(const active_request& active, const service_pool& pool,
                                       time_point now) const {
    int ahead = 0;
    double latency = pool.latency_ms;
    double rate = 0;
    if (active.divided) {
        const ranges::server_instance* owner = owner_of(pool.owners, active.key);
        const auto found = owner == nullptr ? pool.servers.end() : pool.servers.find(owner->id);
        if (found == pool.servers.end()) {
            return 0;
        }
        for (const request_handle& other : pool.waiting) {
            const ranges::server_instance* same = owner_of(pool.owners, other->key);
            ahead +=
                same == owner && other->matched_route->priority <= active.matched_route->priority
                    ? 1
                    : 0;
        }
        latency = found->second.latency_ms;
        rate = concurrency_limit(found->second, this->hosts, this->settings.balancer, now);
    } else {
        for (const request_handle& other : pool.waiting) {
            ahead += other->matched_route->priority <= active.matched_route->priority ? 1 : 0;
        }
        for (const auto& [id, server] : pool.servers) {
            if (is_available(server, now)) {
                rate += concurrency_limit(server, this->hosts, this->settings.balancer, now);
            }
        }
    }
    return rate > 0 ? (ahead + 1) * latency / rate : 0;
}

/// Whether the request's key has had no owner for longer than a move can take.
bool front::state::is_long_unowned(const active_request& active, const service_pool& pool,
                                   time_point now) {
    if (!active.divided || pool.owners.ranges.empty()) {
        return false;
    }
    const ranges::range_owner& range = pool.owners.ranges[range_index(pool.owners, active.key)];
    const auto since = pool.unowned_since.find(range.keys.first);
    return since != pool.unowned_since.end() && now - since->second > max_move_duration;
}

/// Whether the request could probably not be answered in time even if it were queued now.
bool front::state::would_miss_deadline(const active_request& active, const service_pool& pool,
                                       time_point now) const {
    const double left = to_ms(active.answer_by - now);
    return this->estimated_wait_ms(active, pool, now) + pool.latency_ms * min_useful_time_ratio >
           left;
}

/// The limit in force for the key of the request; nullptr if there is none.
limited_keys* front::state::find_limit(const active_request& active, service_pool& pool,
                                       time_point now) {
    if (!active.divided) {
        return nullptr;
    }
    const auto found =
        std::find_if(pool.limits.begin(), pool.limits.end(), [&](const limited_keys& limit) {
            return limit.keys.first <= active.key && active.key <= limit.keys.last &&
                   now - limit.set_at < max_limit_age;
        });
    return found == pool.limits.end() ? nullptr : &*found;
}

/// Whether the service has routes with less urgent requests.
bool front::state::is_urgent(const active_request& active) const {
    return std::any_of(active.config->routes.begin(), active.config->routes.end(),
                       [&active](const route& other) {
                           return other.priority > active.matched_route->priority &&
                                  std::any_of(other.services.begin(), other.services.end(),
                                              [&active](const weighted_service& target) {
                                                  return target.service == active.service;
                                              });
                       });
}

/// Refuses the request if it is beyond what this host sends of the requests for a hot key. Returns
/// whether it was refused.
bool front::state::refuse_if_limited(const request_handle& active, service_pool& pool,
                                     time_point now) {
    limited_keys* const limit = find_limit(*active, pool, now);
    if (limit == nullptr || admission::take_next(limit->share, this->is_urgent(*active))) {
        return false;
    }
    this->limited_count.add();
    this->refuse(active, gateway_errc::key_limited, now);
    return true;
}

request_fingerprint front::state::content_of(active_request& active) const {
    if (!active.content) {
        active.content = fingerprint_of(active.message, this->names.key);
    }
    return *active.content;
}

/// Refuses the request if servers have ended under it lately. Returns whether it was refused.
bool front::state::refuse_if_quarantined(const request_handle& active, time_point now) {
    if (this->guard.requests.entries.empty() ||
        time_until_allowed(this->guard, this->content_of(*active), now) == milliseconds{0}) {
        return false;
    }
    this->quarantined_count.add();
    this->refuse(active, gateway_errc::quarantined, now);
    return true;
}

/// Remembers a request that was interrupted at a server, and asks whether the server has ended if
/// it closed the connection. The end of a server that leaves is planned.
void front::state::note_interrupted(const request_handle& active, const server_state* server,
                                    interruption how, time_point now) {
    if (server == nullptr || server->entry.life != active->current_instance ||
        server->entry.draining || server->notices.leaving_since) {
        return;
    }
    record_interruption(this->guard.attribution,
                        {this->content_of(*active), active->current_instance, now, how});
    if (how == interruption::closed) {
        this->check_server(server->entry.life, server->entry.address);
    }
}

/// Ends the attempts at a server instance that was replaced: they are never answered.
void front::state::end_attempts_at(const ranges::server_instance& ended, time_point now) {
    std::vector<request_handle> interrupted;
    for (const request_handle& active : this->open) {
        if (active->in_flight && active->current_instance == ended) {
            interrupted.push_back(active);
            record_interruption(this->guard.attribution,
                                {this->content_of(*active), ended, now, interruption::closed});
        }
    }
    this->on_server_ended(ended, end_evidence::replaced, now);
    for (const request_handle& active : interrupted) {
        this->release_server(active);
        this->upstreams.cancel(active->call);
        active->may_have_run = true;
        this->on_failure(active, make_error_code(gateway_errc::server_replaced), now);
    }
}

/// Opens a connection to a server that may have ended, and closes it at once if it is accepted.
void front::state::check_server(const ranges::server_instance& server,
                                const wire::endpoint& address) {
    const auto [check, added] = this->server_checks.try_emplace(server);
    if (!added) {
        return;
    }
    const auto end_check = [this, server](bool close) {
        const auto found = this->server_checks.find(server);
        this->loop.cancel(found->second.timer);
        if (close && found->second.connection) {
            found->second.connection->close();
        }
        this->server_checks.erase(found);
    };
    check->second.timer = this->loop.call_after(server_check_delay, [this, server, address,
                                                                     end_check] {
        server_check& running = this->server_checks.at(server);
        running.timer = this->loop.call_after(server_check_timeout, [this, server, end_check] {
            end_check(true);
            this->on_server_ended(server, end_evidence::unreachable, wire::event_loop::now());
        });
        wire::stream_handlers handlers;
        handlers.connected = [this, server, end_check] {
            dismiss(this->guard.attribution, server);
            end_check(true);
        };
        handlers.ended = [this, server, end_check](wire::stream_end how) {
            end_check(false);
            if (how == wire::stream_end::refused) {
                this->on_server_ended(server, end_evidence::unreachable, wire::event_loop::now());
            }
        };
        running.connection = wire::stream::connect(this->loop, address, std::move(handlers));
    });
}

/// Counts the requests that ran at a server instance when it ended.
void front::state::on_server_ended(const ranges::server_instance& server, end_evidence evidence,
                                   time_point now) {
    for (const counted_loss& loss : note_ended(this->guard, server, evidence, now)) {
        this->ended_under_requests.add();
        telemetry::log_warning(this->log, "server_ended_under_request",
                               {{"content", to_text(loss.content)},
                                {"server", server.id.value()},
                                {"born", server.start_time_ms},
                                {"replaced", evidence == end_evidence::replaced},
                                {"losses", loss.losses},
                                {"refused_for", loss.refused_for}});
    }
}

/// Records the queue of a server that owns limited keys.
void front::state::record_queue(const active_request& active, const service_pool& pool,
                                int waiting) {
    const bool owns_limited =
        std::any_of(pool.limits.begin(), pool.limits.end(), [&](const limited_keys& limit) {
            const ranges::server_instance* const owner = owner_of(pool.owners, limit.keys.first);
            return owner != nullptr && owner->id == active.current_server;
        });
    if (owns_limited) {
        queue_sample& sample = this->queues[active.service][active.current_server];
        sample.sum += waiting;
        ++sample.count;
    }
}

/// Keeps the notices of a server instance that is removed or replaced.
void front::state::keep_notices(const server_state& server, time_point now) {
    if (server.notices.leaving_since || is_pause_asked(server.notices, now)) {
        this->former_notices[server.entry.life] = {server.notices, now};
    }
}

/// Records what the server of the current attempt states about itself in an answer or in the head
/// of one that was cut.
void front::state::note_statement(const request_handle& active, const wire::response& message,
                                  time_point now) {
    std::vector<std::string> retry_after;
    if (message.code == code::unavailable) {
        retry_after = wire::header_values(message.headers, this->names.retry_after);
    }
    const server_statement stated =
        interpret(wire::header_values(message.headers, this->names.leaving), retry_after);
    if (!stated.leaving && stated.pause == milliseconds{0} && !stated.odd_pause) {
        return;
    }
    auto& servers = this->service_of(active->service, now).servers;
    const auto found = servers.find(active->current_server);
    const bool registered =
        found != servers.end() && found->second.entry.life == active->current_instance;
    server_notices& known =
        registered
            ? found->second.notices
            : this->former_notices.try_emplace(active->current_instance, server_notices{}, now)
                  .first->second.first;
    const bool was_leaving = known.leaving_since.has_value();
    record(known, stated, now);
    if (stated.leaving && !was_leaving) {
        telemetry::log_info(this->log, "server_leaving",
                            {{"in_answer_to", active->id},
                             {"server", active->current_server.value()},
                             {"born", active->current_instance.start_time_ms}});
    }
    if (stated.odd_pause) {
        telemetry::log_warning(this->log, "server_pause_odd",
                               {{"in_answer_to", active->id},
                                {"server", active->current_server.value()},
                                {"stated", retry_after.front()},
                                {"values", retry_after.size()},
                                {"granted", stated.pause}});
    }
    if (stated.pause > milliseconds{0}) {
        telemetry::log_info(
            this->log, "server_asks_pause",
            {{"in_answer_to", active->id},
             {"server", active->current_server.value()},
             {"born", active->current_instance.start_time_ms},
             {"until", std::chrono::ceil<milliseconds>(*known.paused_until - now)}});
    }
}

/// When the first server that may run the request ends the pause that it asked for; empty if there
/// is a server that did not ask for one.
std::optional<time_point> front::state::pause_end(const active_request& active,
                                                  const service_pool& pool, time_point now) const {
    if (active.divided) {
        const ranges::server_instance* owner = owner_of(pool.owners, active.key);
        const auto found = owner == nullptr ? pool.servers.end() : pool.servers.find(owner->id);
        return found != pool.servers.end() && found->second.entry.life == *owner &&
                       is_pause_asked(found->second.notices, now)
                   ? found->second.notices.paused_until
                   : std::nullopt;
    }
    std::optional<time_point> earliest;
    for (const auto& [id, server] : pool.servers) {
        if (server.entry.draining || server.replaced || server.notices.leaving_since) {
            continue;
        }
        if (!is_pause_asked(server.notices, now)) {
            return std::nullopt;
        }
        earliest =
            std::min(earliest.value_or(*server.notices.paused_until), *server.notices.paused_until);
    }
    return earliest;
}

/// Counts a request that is not sent now because of what its servers have stated.
void front::state::count_withheld(const active_request& active, const service_pool& pool,
                                  time_point now) {
    if (this->pause_end(active, pool, now)) {
        this->withheld_by_pause.add();
        return;
    }
    const ranges::server_instance* const owner =
        active.divided ? owner_of(pool.owners, active.key) : nullptr;
    const auto found = owner == nullptr ? pool.servers.end() : pool.servers.find(owner->id);
    if (found != pool.servers.end() &&
        !accepts_owned_work(found->second.notices, max_draining_owner_use, now)) {
        this->withheld_by_leaving.add();
    }
}

/// Refuses the request if all servers that may run it have asked for pauses that end too late for
/// it. Returns whether it was refused.
bool front::state::refuse_if_paused(const request_handle& active, const service_pool& pool,
                                    time_point now) {
    const auto end = this->pause_end(*active, pool, now);
    if (!end) {
        return false;
    }
    if (to_ms(active->answer_by - *end) >= pool.latency_ms * min_useful_time_ratio &&
        !this->is_cut_by_shutdown(*active, pool, to_ms(*end - now), now)) {
        return false;
    }
    this->refuse(active, gateway_errc::servers_paused, now);
    return true;
}

/// Whether this process would probably end before the request is answered.
/// @param wait_ms  time until the request can be sent
bool front::state::is_cut_by_shutdown(const active_request& active, const service_pool& pool,
                                      double wait_ms, time_point now) const {
    if (!this->ends_at || *this->ends_at >= active.answer_by) {
        return false;
    }
    const double left = to_ms(*this->ends_at - now);
    const double latency =
        pool.latency_ms > 0 ? pool.latency_ms : this->settings.balancer.initial_latency_ms;
    return wait_ms + latency * min_shutdown_time_ratio > left;
}

/// Refuses the queued requests that this process could probably not answer before it ends.
void front::state::refuse_unfinishable(service_pool& pool, time_point now) {
    std::vector<request_handle> refused;
    for (const request_handle& active : pool.waiting) {
        if (this->is_cut_by_shutdown(*active, pool, this->estimated_wait_ms(*active, pool, now),
                                     now)) {
            refused.push_back(active);
        }
    }
    for (const request_handle& active : refused) {
        pool.waiting.remove(active);
        this->refuse(active, gateway_errc::shutting_down, now);
    }
}

void front::state::send(const request_handle& active, server_state& server, time_point now) {
    const double network_ms = this->distance_to(server.entry) == distance::other_region
                                  ? 2 * this->settings.balancer.cross_region_latency_ms
                                  : 2 * this->settings.balancer.same_region_latency_ms;
    const auto left = std::chrono::floor<milliseconds>(active->answer_by - now) -
                      milliseconds(static_cast<std::int64_t>(network_ms));
    service_pool& pool = this->service_of(active->service, now);
    if (left <= milliseconds{0}) {
        this->refuse(active, gateway_errc::not_run_in_time, now);
        return;
    }
    wire::set_header(active->message.headers, this->names.deadline, std::to_string(left.count()));
    wire::set_header(active->message.headers, this->names.expected_server,
                     server.entry.life.id.value());
    if (active->attempts == 0) {
        admission::record_first_try(pool.retries, now);
    } else {
        this->retried_count.add();
    }
    if (active->divided) {
        time_point& next_probe_at = pool.next_probe_at[range_index(pool.owners, active->key)];
        if (next_probe_at != time_point{}) {
            next_probe_at = now + moved_probe_interval;
        }
    }
    ++active->attempts;
    this->log_sent(active, pool, server, left, now);
    active->in_flight = true;
    active->current_server = server.entry.life.id;
    active->current_instance = server.entry.life;
    active->sent_at = now;
    ++server.in_flight;
    wire::call_options options;
    // Only a safeguard: the request's deadline timer fires earlier.
    options.timeout =
        left + milliseconds(static_cast<std::int64_t>(network_ms)) + std::chrono::seconds(1);
    options.connect_timeout = this->settings.connect_timeout;
    options.excluded = active->refusing_connections;
    options.accept = [id = active->id,
                      name = this->names.request_id](const wire::response& message) {
        const std::string* echoed = wire::find_header(message.headers, name);
        return echoed == nullptr || *echoed == id;
    };
    active->call = this->upstreams.send(
        server.entry.address, active->message, options,
        [this, active](wire::call_result outcome) { this->on_result(active, std::move(outcome)); });
}

/// Removes a request from its server's in-flight count.
void front::state::release_server(const request_handle& active) {
    if (!active->in_flight) {
        return;
    }
    active->in_flight = false;
    const auto service = this->services.find(active->service);
    if (service == this->services.end()) {
        return;
    }
    const auto server = service->second.servers.find(active->current_server);
    if (server != service->second.servers.end() && server->second.in_flight > 0) {
        --server->second.in_flight;
    }
    if (!service->second.waiting.empty()) {
        this->schedule_dispatch(active->service, milliseconds{0});
    }
}

/// @param server  nullptr if it is no longer registered
void front::state::note_no_response(server_state* server, time_point now) {
    if (server != nullptr) {
        const time_point before = server->paused_until;
        record_no_response(*server, this->settings.balancer, now);
        this->log_pause(*server, before, now);
    }
}

/// Handles an attempt that reached its server and brought nothing that counts as an answer.
void front::state::on_no_answer(const request_handle& active, server_state* server,
                                const status& error, time_point now) {
    if (server != nullptr && error == wire::wire_errc::response_too_large) {
        const time_point before = server->paused_until;
        record_excessive_response(*server, this->settings.balancer, now);
        this->log_pause(*server, before, now);
    } else {
        this->note_no_response(server, now);
    }
    active->may_have_run = true;
    this->on_failure(active, error, now);
}

void front::state::on_result(const request_handle& active, wire::call_result outcome) {
    const time_point now = wire::event_loop::now();
    this->release_server(active);
    if (active->done) {
        return;
    }
    service_pool& pool = this->service_of(active->service, now);
    const auto found = pool.servers.find(active->current_server);
    server_state* const server = found == pool.servers.end() ? nullptr : &found->second;
    if (outcome.error && !outcome.sent) {
        this->log.add(active->trail, telemetry::level::warning, "server_unreachable",
                      {{"server", active->current_server.value()}, {"error", outcome.error}});
        this->note_no_response(server, now);
        if (outcome.error == wire::wire_errc::refused) {
            this->on_server_ended(active->current_instance, end_evidence::unreachable, now);
        }
        active->tried_servers.insert(active->current_server);
        if (++active->unreachable_attempts >= max_unreachable_attempts) {
            this->refuse(active, gateway_errc::attempts_spent, now);
        } else {
            --active->attempts;
            this->requeue(active, active->divided ? unreachable_retry_delay : milliseconds{0}, now);
        }
        return;
    }
    if (outcome.error) {
        const std::string* const echoed =
            wire::find_header(outcome.message.headers, this->names.request_id);
        if (echoed != nullptr && *echoed == active->id) {
            // The answer was cut after its head.
            this->note_statement(active, outcome.message, now);
        }
        if (outcome.error == wire::wire_errc::reset ||
            outcome.error == wire::wire_errc::closed_before_response ||
            outcome.error == wire::wire_errc::truncated) {
            this->note_interrupted(active, server, interruption::closed, now);
        }
        this->on_no_answer(active, server, outcome.error, now);
        return;
    }
    const bool not_run = wire::find_header(outcome.message.headers, this->names.not_run) != nullptr;
    const std::string* const answering =
        wire::find_header(outcome.message.headers, this->names.server);
    const bool replaced = outcome.message.code == code::misdirected && answering != nullptr &&
                          *answering != active->current_server.value();
    // A server other than the expected one does not run the request, whichever request its refusal
    // was meant for.
    const bool identified =
        active->id.empty() || replaced ||
        wire::find_header(outcome.message.headers, this->names.request_id) != nullptr;
    if (!identified) {
        // The server may have repeated its response to an earlier request.
        this->on_no_answer(active, server, make_error_code(gateway_errc::unidentified_response),
                           now);
        return;
    }
    if (!replaced) {
        this->note_statement(active, outcome.message, now);
    }
    if (server != nullptr) {
        if (const std::string* reported =
                wire::find_header(outcome.message.headers, this->names.load)) {
            if (const auto load = parse_load(*reported)) {
                record_load(*server, *load, now);
                this->record_queue(*active, pool, load->waiting);
            }
        }
    }
    if (replaced && server != nullptr) {
        // Another server now uses the address, so the expected one has ended.
        telemetry::log_info(this->log, "server_replaced",
                            {{"request", active->id},
                             {"server", active->current_server.value()},
                             {"answering", *answering}});
        server->replaced = true;
        this->ended_servers.push_back(server->entry.life);
        this->on_server_ended(server->entry.life, end_evidence::replaced, now);
    }
    if (not_run) {
        if (outcome.connection) {
            active->refusing_connections.push_back(*outcome.connection);
        }
        this->on_not_run(active, outcome.message.code, now);
        return;
    }
    if (promises_not_run(outcome.message.code)) {
        // Only the server's statement proves that it has not run the request.
        this->on_no_answer(active, server, make_error_code(gateway_errc::unproved_refusal), now);
        return;
    }
    if (active->divided && !pool.owners.ranges.empty()) {
        time_point& next_probe_at = pool.next_probe_at[range_index(pool.owners, active->key)];
        if (next_probe_at != time_point{}) {
            next_probe_at = {};
            this->schedule_dispatch(active->service, milliseconds{0});
        }
    }
    const auto took = std::chrono::duration_cast<microseconds>(now - active->sent_at);
    const bool failed = outcome.message.code >= code::first_server_failure;
    if (server != nullptr) {
        const time_point before = server->paused_until;
        record_answer(*server, took, failed && outcome.message.code != code::gateway_timeout,
                      this->settings.balancer, now);
        this->log_pause(*server, before, now);
    }
    if (!failed) {
        const double ms = to_ms(took);
        if (server != nullptr && active->divided && server->has_reported &&
            server->reported.waiting == 0) {
            // If nothing queues at the server, the latency is service time plus network time.
            const double network_ms = this->distance_to(server->entry) == distance::other_region
                                          ? 2 * this->settings.balancer.cross_region_latency_ms
                                          : 2 * this->settings.balancer.same_region_latency_ms;
            service_time_sample& sample =
                this->service_times[active->service][active->current_server];
            sample.sum_log_ms += std::log(std::max(1.0, ms - network_ms));
            ++sample.count;
        }
        constexpr double smoothing = 0.05;
        pool.latency_ms =
            pool.latency_ms > 0 ? pool.latency_ms + smoothing * (ms - pool.latency_ms) : ms;
    }
    active->may_have_run = true;
    this->on_response(active, std::move(outcome.message), now);
}

void front::state::on_response(const request_handle& active, wire::response message,
                               time_point now) {
    const bool is_signed = wire::find_header(message.headers, this->names.signature) != nullptr;
    if (!is_signed || wire::find_header(message.headers, "Content-Encoding") != nullptr) {
        this->on_failure(active, wire::wire_errc::malformed_response, now);
        return;
    }
    if (!this->guard.requests.entries.empty() &&
        note_survived(this->guard, this->content_of(*active), now)) {
        this->log.add(active->trail, telemetry::level::info, "request_cleared",
                      {{"content", to_text(this->content_of(*active))},
                       {"server", active->current_server.value()}});
    }
    if (message.until_close && !active->caller->is_alone()) {
        // It could not be passed on, see `answer`; another server may state a length.
        this->on_failure(active, wire::wire_errc::truncated, now);
        return;
    }
    const bool failed = message.code >= code::first_server_failure;
    if (failed && message.code != code::gateway_timeout &&
        active->matched_route->kind == request_kind::safe && this->take_retry(*active, now)) {
        this->log.add(active->trail, telemetry::level::warning, "attempt_failed",
                      {{"server", active->current_server.value()},
                       {"status", message.code},
                       {"attempt", active->attempts},
                       {"took", age_of(active->sent_at, now)},
                       {"again", true}});
        active->fallback = std::move(message);
        active->tried_servers.insert(active->current_server);
        this->requeue(active, milliseconds{0}, now);
        return;
    }
    this->answer(active, std::move(message));
}

/// Handles a response by which the server states that it has not run the request.
void front::state::on_not_run(const request_handle& active, int status, time_point now) {
    service_pool& pool = this->service_of(active->service, now);
    this->log.add(
        active->trail, telemetry::level::info, "server_refused",
        {{"server", active->current_server.value()},
         {"status", status},
         {"owners_age", active->divided ? age_of(pool.owners_updated_at, now) : unknown_age}});
    if (status == code::misdirected) {
        ++active->moved_attempts;
        if (!active->divided) {
            active->tried_servers.insert(active->current_server);
        } else if (!pool.owners.ranges.empty()) {
            // Other requests for this range wait as well until the move has completed.
            const std::size_t position = range_index(pool.owners, active->key);
            if (pool.owners.ranges[position].owner.id == active->current_server) {
                pool.next_probe_at[position] = now + moved_retry_delay;
            }
        }
        const bool granted = pool.move_retries.try_take(this->settings.retries, this->hosts, now) ||
                             admission::try_acquire_retry(pool.retries, now);
        if (active->moved_attempts > max_moved_attempts || !granted) {
            this->refuse(active, gateway_errc::no_owner, now);
            return;
        }
        this->requeue(active, active->divided ? moved_retry_delay : milliseconds{0}, now);
        return;
    }
    if (status == code::bad_request) {
        this->fail(active, code::bad_gateway, gateway_errc::server_failed, now);
        return;
    }
    const auto found = pool.servers.find(active->current_server);
    if (found != pool.servers.end()) {
        found->second.failure_share += 0.05 * (1.0 - found->second.failure_share);
    }
    active->tried_servers.insert(active->current_server);
    if (active->divided && found != pool.servers.end()) {
        // Only the owner can run the request. An owner that sheds load, but isn't full, is as
        // likely to accept it now as later, so the retry is immediate.
        const bool full = is_full(found->second);
        if (++active->refused_attempts <= max_refused_attempts &&
            this->has_useful_time(*active, now) &&
            admission::try_acquire_retry(pool.retries, now)) {
            this->requeue(active, full ? full_owner_retry_delay : milliseconds{0}, now);
        } else {
            this->refuse(active, gateway_errc::overloaded, now);
        }
        return;
    }
    if (active->divided || !this->take_retry(*active, now)) {
        this->refuse(active, gateway_errc::overloaded, now);
    } else {
        this->requeue(active, milliseconds{0}, now);
    }
}

/// Whether an attempt started now may still be answered before the deadline.
bool front::state::has_useful_time(const active_request& active, time_point now) {
    const service_pool& pool = this->service_of(active.service, now);
    const double left = to_ms(active.answer_by - now);
    return left > pool.latency_ms * min_useful_time_ratio &&
           !this->is_cut_by_shutdown(active, pool, 0, now);
}

/// Whether another attempt is allowed; takes it from the retry budget if so.
bool front::state::take_retry(const active_request& active, time_point now) {
    if (active.attempts >= active.matched_route->max_attempts) {
        return false;
    }
    return this->has_useful_time(active, now) &&
           admission::try_acquire_retry(this->service_of(active.service, now).retries, now);
}

/// Handles an attempt that was sent but got no acceptable response.
void front::state::on_failure(const request_handle& active, const status& error, time_point now) {
    const bool again = active->matched_route->kind == request_kind::safe &&
                       may_repeat(this->guard, this->content_of(*active), now) &&
                       this->take_retry(*active, now);
    this->log.add(active->trail, telemetry::level::warning, "attempt_failed",
                  {{"server", active->current_server.value()},
                   {"error", error},
                   {"reason", error.message()},
                   {"attempt", active->attempts},
                   {"took", age_of(active->sent_at, now)},
                   {"again", again},
                   {"content", to_text(this->content_of(*active))}});
    active->tried_servers.insert(active->current_server);
    if (again) {
        this->requeue(active, milliseconds{0}, now);
    } else {
        this->fail(active, code::bad_gateway, gateway_errc::server_failed, now);
    }
}

void front::state::requeue(const request_handle& active, milliseconds pause, time_point now) {
    if (this->refuse_if_quarantined(active, now)) {
        return;
    }
    service_pool& pool = this->service_of(active->service, now);
    active->retry_at = now + pause;
    if (pause == milliseconds{0} && this->try_send(active, pool, now)) {
        return;
    }
    this->enqueue(active, pool);
    this->schedule_dispatch(active->service, pause);
}

void front::state::enqueue(const request_handle& active, service_pool& pool) {
    const auto behind = std::find_if(
        pool.waiting.begin(), pool.waiting.end(), [&active](const request_handle& other) {
            return other->matched_route->priority > active->matched_route->priority ||
                   (other->matched_route->priority == active->matched_route->priority &&
                    other->arrived > active->arrived);
        });
    pool.waiting.insert(behind, active);
    // Rechecks the queue after reported loads or server pauses may have expired.
    this->schedule_dispatch(active->service, unreachable_retry_delay);
}

void front::state::schedule_dispatch(const service_id& service, milliseconds delay) {
    const time_point now = wire::event_loop::now();
    service_pool& pool = this->service_of(service, now);
    const time_point when = now + delay;
    if (pool.dispatch_timer != 0 && pool.dispatch_at <= when) {
        return;
    }
    this->loop.cancel(pool.dispatch_timer);
    pool.dispatch_at = when;
    pool.dispatch_timer =
        this->loop.call_after(delay, [this, service] { this->dispatch_waiting(service); });
}

/// Sends the queued requests for which a server is available, and refuses those that would be late.
void front::state::dispatch_waiting(const service_id& service) {
    const time_point now = wire::event_loop::now();
    service_pool& pool = this->service_of(service, now);
    pool.dispatch_timer = 0;
    int examined = 0;
    for (auto next = pool.waiting.begin();
         next != pool.waiting.end() && examined < max_dispatched_per_pass; ++examined) {
        const request_handle active = *next;
        if (active->done) {
            next = pool.waiting.erase(next);
            continue;
        }
        if (this->is_cut_by_shutdown(*active, pool, 0, now)) {
            next = pool.waiting.erase(next);
            this->refuse(active, gateway_errc::shutting_down, now);
            continue;
        }
        if (this->refuse_if_quarantined(active, now)) {
            next = pool.waiting.erase(next);
            continue;
        }
        const server_choice found = this->choose_server(*active, pool, now);
        if (found.server != nullptr) {
            next = pool.waiting.erase(next);
            this->send(active, *found.server, now);
            continue;
        }
        if (is_long_unowned(*active, pool, now)) {
            next = pool.waiting.erase(next);
            this->refuse(active, gateway_errc::no_owner, now);
            continue;
        }
        if (this->refuse_if_paused(active, pool, now)) {
            next = pool.waiting.erase(next);
            continue;
        }
        const double left = to_ms(active->answer_by - now);
        if (left < pool.latency_ms * min_useful_time_ratio) {
            next = pool.waiting.erase(next);
            this->refuse(active, gateway_errc::not_run_in_time, now);
            continue;
        }
        ++next;
    }
    if (!pool.waiting.empty()) {
        this->schedule_dispatch(service, unreachable_retry_delay);
    }
}

/// Answers with 503 and Retry-After, unless a server may have executed the request.
void front::state::refuse(const request_handle& active, gateway_errc reason, time_point now) {
    if (active->may_have_run) {
        this->fail(active, code::bad_gateway, gateway_errc::server_failed, now);
        return;
    }
    service_pool& pool = this->service_of(active->service, now);
    const milliseconds min_delay =
        is_long_unowned(*active, pool, now) ? unowned_retry_after : min_retry_after;
    double wait_ms = std::max<double>(static_cast<double>(min_delay.count()),
                                      this->estimated_wait_ms(*active, pool, now) / 2);
    if (reason == gateway_errc::key_limited) {
        const limited_keys* const limit = find_limit(*active, pool, now);
        wait_ms = static_cast<double>(admission::time_to_return(limit->share).count());
    }
    wait_ms *= 1.0 + this->random_unit();
    if (reason == gateway_errc::quarantined) {
        wait_ms = to_ms(time_until_allowed(this->guard, this->content_of(*active), now));
    }
    if (const auto end = this->pause_end(*active, pool, now)) {
        wait_ms += to_ms(*end - now);
    }
    this->log.add(
        active->trail, telemetry::level::warning, "request_refused",
        {{"service", active->service.value()},
         {"error", make_error_code(reason)},
         {"waited", age_of(active->arrived, now)},
         {"left", std::chrono::floor<milliseconds>(active->answer_by - now)},
         {"queue", pool.waiting.size()},
         {"retry_after", milliseconds(std::llround(wait_ms))},
         {"owners_age", active->divided ? age_of(pool.owners_updated_at, now) : unknown_age},
         {"config", active->config->version}});
    this->refused_count.add();
    wire::response message;
    message.code = code::unavailable;
    message.reason = reason_phrase(message.code);
    message.headers.push_back({this->names.request_id, active->id});
    std::string seconds = std::to_string(wait_ms / ms_per_second);
    message.headers.push_back({this->names.retry_after, seconds.substr(0, seconds.find('.') + 4)});
    this->answer(active, std::move(message));
}

void front::state::fail(const request_handle& active, int status, gateway_errc reason,
                        time_point now) {
    if (active->fallback) {
        this->answer(active, std::move(*active->fallback));
        return;
    }
    this->log.add(active->trail, telemetry::level::warning, "request_failed",
                  {{"service", active->service.value()},
                   {"server", active->current_server.value()},
                   {"status", status},
                   {"error", make_error_code(reason)},
                   {"waited", age_of(active->arrived, now)},
                   {"sends", active->attempts},
                   {"config", active->config->version}});
    this->failed_count.add();
    this->answer(active, this->make_failure(*active, status));
}

/// Our own answer to a request whose outcome is a failure.
wire::response front::state::make_failure(const active_request& active, int status) {
    wire::response message;
    message.code = status;
    message.reason = reason_phrase(status);
    message.headers.push_back({this->names.request_id, active.id});
    return message;
}

/// Answers the request. Each answer leaves through here, whatever made it.
void front::state::answer(const request_handle& active, wire::response message) {
    if (active->done) {
        return;
    }
    if (message.until_close && !active->caller->is_alone()) {
        // The body ends with the connection, so forwarding it would require closing the caller's
        // connection and with it the other requests pipelined on it.
        this->log.add(active->trail, telemetry::level::warning, "answer_replaced",
                      {{"server", active->current_server.value()}, {"status", message.code}});
        message = this->make_failure(*active, code::bad_gateway);
    }
    active->done = true;
    this->open.erase(active);
    this->loop.cancel(active->deadline_timer);
    const time_point now = wire::event_loop::now();
    this->request_time.observe(std::chrono::duration_cast<microseconds>(now - active->arrived));
    this->log.add(active->trail, telemetry::level::info, "request_answered",
                  {{"status", message.code},
                   {"server", active->current_server.value()},
                   {"waited", age_of(active->arrived, now)},
                   {"sends", active->attempts},
                   {"bytes", message.body.size()}});
    this->log.write(active->trail, now);
    if (message.code < code::first_failure) {
        this->answered_count.add();
    }
    const std::string* length = wire::find_header(message.headers, "Content-Length");
    std::optional<std::string> content_length;
    if (active->message.method == "HEAD" && length != nullptr) {
        content_length = *length;
    }
    wire::remove_connection_headers(message.headers);
    if (content_length) {
        message.headers.push_back({"Content-Length", *content_length});
    }
    const auto caller = std::move(active->caller);
    caller->on_first(nullptr);
    caller->answer(std::move(message));
}

/// Answers a request whose deadline has passed, or which is open when this process ends.
void front::state::expire(const request_handle& active, time_point now) {
    if (active->done) {
        return;
    }
    if (active->in_flight) {
        this->release_server(active);
        this->upstreams.cancel(active->call);
        active->may_have_run = true;
        const auto server =
            this->service_of(active->service, now).servers.find(active->current_server);
        if (server != this->service_of(active->service, now).servers.end()) {
            record_no_response(server->second, this->settings.balancer, now);
            this->note_interrupted(active, &server->second, interruption::unanswered, now);
        }
    }
    if (active->may_have_run) {
        this->fail(active, code::gateway_timeout, gateway_errc::no_answer_in_time, now);
    } else {
        this->refuse(active, gateway_errc::not_run_in_time, now);
    }
}

void front::state::on_caller_left(const request_handle& active) {
    if (active->done) {
        return;
    }
    active->done = true;
    this->open.erase(active);
    this->left_count.add();
    this->loop.cancel(active->deadline_timer);
    const time_point now = wire::event_loop::now();
    this->log.add(active->trail, telemetry::level::info, "caller_left",
                  {{"waited", age_of(active->arrived, now)},
                   {"in_flight", active->in_flight},
                   {"server", active->current_server.value()}});
    this->log.write(active->trail, now);
    if (active->in_flight) {
        this->release_server(active);
        this->upstreams.cancel(active->call);
    }
    active->caller = nullptr;
}

}  // namespace greengagechute::gateway
