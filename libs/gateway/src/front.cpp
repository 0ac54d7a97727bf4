#include "front_state.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Time for which the notices of a server that is no longer registered are kept. An entry from an
/// older copy of the store appears within seconds.
constexpr milliseconds former_notices_retention = std::chrono::minutes{10};

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

/// Notes the deadline that a caller states. Returns for how many milliseconds the caller has
/// already repeated the request: callers that repeat one state what is left of their deadline.
double note_deadline(route_facts& facts, milliseconds stated) {
    constexpr double forgotten_per_request = 0.02;
    constexpr milliseconds longest_believed{60'000};
    if (stated <= milliseconds{0}) {
        return 0;
    }
    const auto ms = static_cast<double>(std::min(stated, longest_believed).count());
    if (ms >= facts.deadline_ms) {
        facts.deadline_ms = ms;
    } else {
        facts.deadline_ms -= forgotten_per_request * (facts.deadline_ms - ms);
    }
    return std::max(0.0, facts.deadline_ms - ms);
}

}  // namespace

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
    impl.refused_by_region = make("greengagechute_refused_region_total",
                                  "Requests refused because no server is in a region where they "
                                  "may run.");
    impl.refused_by_evacuation = make("greengagechute_refused_evacuated_total",
                                      "Requests refused because all servers that may run them "
                                      "are in evacuated data centres.");
    impl.withheld_by_warmup = make("greengagechute_withheld_cold_total",
                                   "Requests that were not sent because the owner of their key "
                                   "is cold.");
    impl.unreadable_loads = make("greengagechute_unreadable_loads_total",
                                 "Answers of servers whose load could not be read.");
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
    state& impl = *this->implementation;
    impl.config = std::move(content);
    for (auto& [id, pool] : impl.services) {
        impl.update_places(id, pool, nullptr);
    }
}

/// Updates what holds for the servers of a service because of where they are.
/// @param known  the servers, if they may have stated how long they stay cold
void front::state::update_places(const service_id& id, service_pool& pool, const directory* known) {
    const service* configured = nullptr;
    if (this->config) {
        const auto found = this->config->services.find(id);
        configured = found == this->config->services.end() ? nullptr : &found->second;
    }
    const bool has_allowance = configured != nullptr && configured->cold_requests_per_s > 0;
    for (auto& [server_name, server] : pool.servers) {
        if (known != nullptr) {
            server.cold_until = known->cold_until(server_name);
        }
        const data_centre_id& data_centre = server.entry.data_centre;
        const auto region = this->settings.regions.find(data_centre);
        server.place.region = region != this->settings.regions.end() ? region->second : region_id();
        server.place.evacuated_since = evacuated_since(this->evacuations, data_centre);
        server.place.cold_until = has_allowance ? cold_until(this->evacuations, data_centre,
                                                             server.cold_until, configured->warmup)
                                                : time_point{};
    }
}

void front::set_evacuations(const evacuation_table& table, time_point now) {
    state& impl = *this->implementation;
    impl.evacuations = table;
    for (auto& [id, pool] : impl.services) {
        impl.update_places(id, pool, nullptr);
        impl.schedule_dispatch(id, milliseconds{0});
    }
    std::erase_if(impl.loans, [now](const auto& loan) { return loan.second.until <= now; });
}

void front::add_loans(const std::vector<allowance_loan>& added, time_point now) {
    state& impl = *this->implementation;
    std::erase_if(impl.loans, [now](const auto& loan) { return loan.second.until <= now; });
    for (const allowance_loan& loan : added) {
        dispatch::extend(impl.loans[loan.server], loan.requests_per_s, loan.until, now);
    }
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
    // Attempts that end are repeated at once, and need to know where the new servers are.
    for (auto& [id, service] : impl.services) {
        impl.update_places(id, service, &servers);
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
    milliseconds stated{0};
    if (const std::string* text = wire::find_header(message.headers, this->names.deadline)) {
        const auto deadline = parse_number(text);
        if (!deadline || *deadline <= 0) {
            this->reject(request, code::bad_request, gateway_errc::invalid_deadline);
            return;
        }
        stated = milliseconds(*deadline);
        allowed = stated - 2 * this->settings.caller_latency;
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
    service_pool& pool = this->service_of(active->service, active->arrived);
    active->facts = &pool.routes[matched_route->name];
    if (matched_route->target_latency > milliseconds{0}) {
        const double already_waited = note_deadline(*active->facts, stated);
        active->target_by = active->arrived + matched_route->target_latency -
                            milliseconds(std::llround(already_waited));
    }
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
    if (this->refuse_if_barred(active, pool, now) || this->refuse_if_cold(active, pool, now)) {
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

}  // namespace greengagechute::gateway
