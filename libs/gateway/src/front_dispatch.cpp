#include "dispatch/waiting_order.h"
#include "front_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// While a range moves, a single request at a time is sent to its owner as a probe. Interval after
/// which the next probe may be sent.
constexpr milliseconds moved_probe_interval{150};
/// While this process ends, a request is sent only if this multiple of the average latency is left.
/// Most requests take less.
constexpr double min_shutdown_time_ratio = 2.0;
/// Maximum number of queued requests examined in one pass.
constexpr std::size_t max_dispatched_per_pass = 256;
/// Moves and the expiry of a 2 s lease take less time than this. A key that has had no owner for
/// longer waits for the store to return, so requests for it are refused immediately.
constexpr milliseconds max_move_duration{2'500};

}  // namespace

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
            if (is_available(server, now) &&
                dispatch::check(server.place, active.matched_route->allowed_regions, now) ==
                    dispatch::verdict::eligible) {
                rate += concurrency_limit(server, this->hosts, this->settings.balancer, now);
            }
        }
    }
    return rate > 0 ? (ahead + 1) * latency / rate : 0;
}

/// Whether the request's key has had no owner, or one in an evacuated data centre, for longer than
/// a move can take.
bool front::state::is_long_unowned(const active_request& active, const service_pool& pool,
                                   time_point now) {
    if (!active.divided || pool.owners.ranges.empty()) {
        return false;
    }
    const ranges::range_owner& range = pool.owners.ranges[range_index(pool.owners, active.key)];
    const auto owner = pool.servers.find(range.owner.id);
    if (owner != pool.servers.end() && owner->second.place.evacuated_since &&
        now - *owner->second.place.evacuated_since > max_move_duration) {
        return true;
    }
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
        const dispatch::verdict found =
            dispatch::check(server.place, active.matched_route->allowed_regions, now);
        if (found == dispatch::verdict::region_not_allowed ||
            found == dispatch::verdict::evacuated) {
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
    if (found != pool.servers.end() && now < found->second.place.cold_until) {
        this->withheld_by_warmup.add();
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
    if (now < server.place.cold_until) {
        if (const auto loan = this->loans.find(server.entry.life); loan != this->loans.end()) {
            dispatch::take(loan->second, now);
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
    options.unique_headers = {this->names.request_id, this->names.signature, this->names.load,
                              this->names.not_run, this->names.server};
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
    std::vector<std::list<request_handle>::iterator> queue;
    std::vector<dispatch::waiting_request> facts;
    for (auto next = pool.waiting.begin();
         next != pool.waiting.end() && queue.size() < max_dispatched_per_pass; ++next) {
        queue.push_back(next);
        const active_request& active = **next;
        facts.push_back({active.matched_route->priority, active.arrived, active.target_by,
                         milliseconds(std::llround(active.facts->latency_ms))});
    }
    for (const std::size_t index : dispatch::order_of_service(facts, pool.places_given, now)) {
        const auto next = queue[index];
        const request_handle active = *next;
        if (active->done) {
            pool.waiting.erase(next);
            continue;
        }
        if (this->is_cut_by_shutdown(*active, pool, 0, now)) {
            pool.waiting.erase(next);
            this->refuse(active, gateway_errc::shutting_down, now);
            continue;
        }
        if (this->refuse_if_quarantined(active, now)) {
            pool.waiting.erase(next);
            continue;
        }
        const server_choice found = this->choose_server(*active, pool, now);
        if (found.server != nullptr) {
            pool.waiting.erase(next);
            ++pool.places_given;
            this->send(active, *found.server, now);
            continue;
        }
        if (is_long_unowned(*active, pool, now)) {
            pool.waiting.erase(next);
            this->refuse(active, gateway_errc::no_owner, now);
            continue;
        }
        if (this->refuse_if_barred(active, pool, now) || this->refuse_if_cold(active, pool, now) ||
            this->refuse_if_paused(active, pool, now)) {
            pool.waiting.erase(next);
            continue;
        }
        const double left = to_ms(active->answer_by - now);
        if (left < pool.latency_ms * min_useful_time_ratio) {
            pool.waiting.erase(next);
            this->refuse(active, gateway_errc::not_run_in_time, now);
        }
    }
    if (!pool.waiting.empty()) {
        this->schedule_dispatch(service, unreachable_retry_delay);
    }
}

}  // namespace greengagechute::gateway
