#include "front_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Delay before retrying a key whose owner answered that it no longer holds it. Moving a range
/// takes about two round trips between regions and one transaction of the store.
constexpr milliseconds moved_retry_delay{60};
/// Attempts per request that may fail before they reach a server.
constexpr int max_unreachable_attempts = 6;
/// Retries per request after an owner answered that it no longer holds the key.
constexpr int max_moved_attempts = 3;
/// Minimum Retry-After of refused requests, before jitter.
constexpr milliseconds min_retry_after{60};
constexpr int ms_per_second = 1'000;

/// Whether a caller takes the status for a promise that its request has not run.
bool promises_not_run(int status) {
    return status == code::request_timeout || status == code::misdirected ||
           status == code::too_many_requests || status == code::unavailable;
}

/// Retries per request after an owner refused it because it was full or shed load.
constexpr int max_refused_attempts = 3;
/// Delay before retrying a full owner: about the time in which a slot becomes free.
constexpr milliseconds full_owner_retry_delay{40};
/// Minimum Retry-After of requests for such a key, before jitter.
constexpr milliseconds unowned_retry_after{400};
/// Minimum Retry-After of requests that no server may run, before jitter. They can run after a
/// change by an operator, or when a server of an allowed region comes back.
constexpr milliseconds barred_retry_after{1'000};

}  // namespace

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

/// Records the load that a server states in an answer.
void front::state::note_load(const active_request& active, service_pool& pool, server_state& server,
                             const std::string& stated, time_point now) {
    if (const auto load = parse_load(stated)) {
        record_load(server, *load, now);
        this->record_queue(active, pool, load->waiting);
        return;
    }
    this->unreadable_loads.add();
    if (!server.unreadable_load_logged) {
        server.unreadable_load_logged = true;
        constexpr std::size_t max_logged_bytes = 64;
        telemetry::log_warning(this->log, "server_load_unreadable",
                               {{"server", server.entry.life.id.value()},
                                {"stated", stated.substr(0, max_logged_bytes)}});
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
            this->note_load(*active, pool, *server, *reported, now);
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
        double& route_ms = active->facts->latency_ms;
        route_ms = route_ms > 0 ? route_ms + smoothing * (ms - route_ms) : ms;
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

/// Answers with 503 and Retry-After, unless a server may have executed the request.
void front::state::refuse(const request_handle& active, gateway_errc reason, time_point now) {
    if (active->may_have_run) {
        this->fail(active, code::bad_gateway, gateway_errc::server_failed, now);
        return;
    }
    service_pool& pool = this->service_of(active->service, now);
    const bool barred = reason == gateway_errc::region_not_allowed ||
                        reason == gateway_errc::data_centre_evacuated ||
                        reason == gateway_errc::servers_cold;
    const milliseconds min_delay = barred                                ? barred_retry_after
                                   : is_long_unowned(*active, pool, now) ? unowned_retry_after
                                                                         : min_retry_after;
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
