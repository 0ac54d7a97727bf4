#include "gateway/front.h"

#include "admission/retry_budget.h"
#include "gateway/errors.h"

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
constexpr int misdirected = 421;
constexpr int first_server_failure = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
}  // namespace code

/// Pause before a key that its owner refused is tried again: a move takes about two round trips
/// between regions and one transaction of the store.
constexpr milliseconds moved_pause{60};
/// Time in which one request asks whether a move has ended, before another one may.
constexpr milliseconds moved_probe{150};
/// Pause before a server that could not be reached is tried again.
constexpr milliseconds unreachable_pause{80};
/// Tries that did not reach a server, per request.
constexpr int unreachable_tries = 6;
/// Refusals by owners that have just lost a key, per request.
constexpr int moved_tries = 3;
/// Part of the usual service time that must be left for an attempt to be worth it.
constexpr double least_useful_share = 0.5;
/// Waiting requests that are looked at in one pass.
constexpr int pump_limit = 256;
/// A leaving owner may be used for this long; it serves for 2 s or more.
constexpr milliseconds leaving_owner{1'500};
/// Puts servers that may have left behind all others.
constexpr double doubtful_cost_ms = 60'000;
constexpr milliseconds least_retry_after{60};
constexpr int milli_per_second = 1'000;

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

/// "running,waiting,slots".
std::optional<stated_load> parse_load(const std::string& text) {
    std::array<int, 3> numbers{};
    const char* at = text.data();
    const char* const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        const auto [next, error] = std::from_chars(at, end, numbers.at(index));
        if (error != std::errc{}) {
            return std::nullopt;
        }
        at = next;
        if (index + 1 < numbers.size()) {
            if (at == end || *at != ',') {
                return std::nullopt;
            }
            ++at;
        }
    }
    return stated_load{numbers[0], numbers[1], numbers[2]};
}

/// Part of the allowed retries that is used: hosts count first tries that do not arrive.
constexpr double used_retry_ratio = 0.85;
/// Part of the slack that the hosts use in a window, and may have saved for its beginning.
constexpr double used_slack = 0.4;
constexpr double per_thousand = 1'000;
/// Refusals of one request by owners without room, or that shed load.
constexpr int refused_tries = 3;
/// Pause before a full owner is asked again: about the time in which a slot becomes free.
constexpr milliseconds full_pause{40};
/// A key without an owner for longer than this waits neither for a move nor for the end of a lease
/// of two seconds, but for the store. Requests for it are refused at once.
constexpr milliseconds longest_move{2'500};
/// Pause that callers are asked for then, before chance is added.
constexpr milliseconds unowned_pause{400};

/// Second tries after a refusal by an owner that has just lost a key: from the allowance beyond the
/// ratio, shared by the hosts.
struct move_tokens {
    double left = 0;
    time_point filled;

    bool take(const retry_allowance& allowance, int hosts, time_point now) {
        const double most = std::max(1.0, used_slack * allowance.slack / hosts);
        const double per_second = used_slack * allowance.slack / hosts /
                                  std::chrono::duration<double>(allowance.window).count();
        const double seconds = std::chrono::duration<double>(now - this->filled).count();
        this->left = std::min(most, this->left + seconds * per_second);
        this->filled = now;
        if (this->left < 1) {
            return false;
        }
        this->left -= 1;
        return true;
    }
};

/// Age of something that has never been learned.
constexpr milliseconds no_age{-1};

milliseconds age_of(time_point learned, time_point now) {
    return learned == time_point{} ? no_age : std::chrono::floor<milliseconds>(now - learned);
}

/// Position of the range that has the key, in a table that covers all keys.
std::size_t position_of(const ranges::range_table& table, ranges::key_position key) {
    const auto found =
        std::lower_bound(table.ranges.begin(), table.ranges.end(), key,
                         [](const ranges::range_owner& entry, ranges::key_position wanted) {
                             return entry.keys.last < wanted;
                         });
    return static_cast<std::size_t>(found - table.ranges.begin());
}

}  // namespace

/// One request of a caller from its arrival to its answer.
struct exchange {
    std::shared_ptr<wire::incoming> caller;
    std::shared_ptr<const catalogue> config;
    const route* chosen = nullptr;
    service_id service;
    bool divided = false;
    ranges::key_position key = 0;
    wire::request message;
    std::string id;
    time_point arrived;
    /// The caller or the route waits no longer.
    time_point give_up;
    wire::timer_id expiry = 0;
    std::set<server_id> tried;
    int sends = 0;
    int unreached = 0;
    int moved = 0;
    /// Times that an owner stated not to have run it for lack of room.
    int refusals = 0;
    /// A server may have run the request, so it must not be called "not run".
    bool may_have_run = false;
    /// Not tried again before this time.
    time_point not_before;
    server_id running_at;
    wire::call_id call;
    bool in_flight = false;
    time_point sent_at;
    /// A failure of a server that is passed on if no other server answers better.
    std::optional<wire::response> fallback;
    bool done = false;
    telemetry::request_trail trail{""};
};

using exchange_handle = std::shared_ptr<exchange>;

/// A server for a request, or why there is none now.
struct placement {
    server_state* server = nullptr;
    std::string_view obstacle;
};

struct service_state {
    std::map<server_id, server_state> servers;
    ranges::range_table owners;
    time_point owners_learned;
    /// Ranges without an owner, since when.
    std::map<ranges::key_position, time_point> unowned_since;
    /// By position in `owners`: its owner has refused a key, and one request asks it again at that
    /// time while the others wait.
    std::vector<time_point> moving;
    move_tokens tokens;
    std::list<exchange_handle> waiting;
    wire::timer_id pump_timer = 0;
    time_point pump_at;
    admission::retry_budget retries;
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
    std::unordered_map<service_id, service_state> services;
    std::map<service_id, std::vector<ranges::key_position>> keys;
    std::map<service_id, std::map<server_id, speed_sample>> speeds;
    std::vector<ranges::server_instance> ended;
    int hosts = 1;
    std::unordered_set<exchange_handle> open;
    telemetry::counter accepted_count;
    telemetry::counter answered_count;
    telemetry::counter refused_count;
    telemetry::counter failed_count;
    telemetry::counter retried_count;
    telemetry::counter left_count;
    telemetry::latency_histogram request_time;

    service_state& service_of(const service_id& id, time_point now) {
        const auto found = this->services.find(id);
        if (found != this->services.end()) {
            return found->second;
        }
        service_state& made = this->services[id];
        made.retries = admission::make_retry_budget(true, now);
        made.retries.per_thousand = static_cast<std::uint32_t>(this->settings.retries.ratio *
                                                               used_retry_ratio * per_thousand);
        return made;
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    distance far(const server_entry& entry) const {
        if (entry.data_centre == this->settings.data_centre) {
            return distance::same_data_centre;
        }
        const auto own = this->settings.regions.find(this->settings.data_centre);
        const auto other = this->settings.regions.find(entry.data_centre);
        return own != this->settings.regions.end() && other != this->settings.regions.end() &&
                       own->second == other->second
                   ? distance::same_region
                   : distance::other_region;
    }

    void accept(const std::shared_ptr<wire::incoming>& request);
    void begin(const exchange_handle& one);
    placement choose(const exchange& one, service_state& own, time_point now);
    placement choose_owner(const exchange& one, service_state& own, time_point now);
    bool place(const exchange_handle& one, service_state& own, time_point now);
    bool is_hopeless(const exchange& one, const service_state& own, time_point now) const;
    static bool is_long_unowned(const exchange& one, const service_state& own, time_point now);
    double wait_estimate(const exchange& one, const service_state& own, time_point now) const;
    void send(const exchange_handle& one, server_state& server, time_point now);
    void log_sent(const exchange_handle& one, const service_state& own, const server_state& server,
                  milliseconds left, time_point now);
    void log_pause(const server_state& server, time_point paused_before, time_point now);
    void on_result(const exchange_handle& one, wire::call_result outcome);
    void on_response(const exchange_handle& one, wire::response message, time_point now);
    void on_not_run(const exchange_handle& one, int status, time_point now);
    void on_failure(const exchange_handle& one, const status& error, time_point now);
    bool has_time(const exchange& one, time_point now);
    bool may_retry(const exchange& one, time_point now);
    void requeue(const exchange_handle& one, milliseconds pause, time_point now);
    void enqueue(const exchange_handle& one, service_state& own);
    void pump(const service_id& service);
    void schedule_pump(const service_id& service, milliseconds delay);
    void refuse(const exchange_handle& one, gateway_errc reason, time_point now);
    void fail(const exchange_handle& one, int status, gateway_errc reason, time_point now);
    void answer(const exchange_handle& one, wire::response message);
    void expire(const exchange_handle& one, time_point now);
    void leave(const exchange_handle& one);
    void detach(const exchange_handle& one);
    void reply_at_once(const std::shared_ptr<wire::incoming>& request, int status,
                       gateway_errc reason);
};

front::front(wire::event_loop& loop, wire::client& upstreams, telemetry::logger& log,
             telemetry::metrics& numbers, header_names names, front_settings settings,
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
                               1,
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {},
                               {}}) {
    const auto make = [&numbers](std::string_view name, std::string_view help) {
        const auto made = numbers.add_counter(name, help);
        return made ? *made : telemetry::counter();
    };
    state& own = *this->implementation;
    own.accepted_count = make("greengagechute_requests_total", "Requests of callers.");
    own.answered_count = make("greengagechute_answers_total", "Answers of servers passed on.");
    own.refused_count = make("greengagechute_refusals_total", "Requests refused as not run.");
    own.failed_count = make("greengagechute_failures_total", "Requests with an unknown outcome.");
    own.retried_count = make("greengagechute_retries_total", "Requests sent to a server again.");
    own.left_count =
        make("greengagechute_callers_left_total", "Callers that left before the answer.");
    const auto histogram = numbers.add_latency("greengagechute_request_seconds",
                                               "Time from a request's arrival to its answer.");
    if (histogram) {
        own.request_time = *histogram;
    }
}

front::~front() = default;

void front::set_catalogue(std::shared_ptr<const catalogue> content) {
    this->implementation->config = std::move(content);
}

void front::set_hosts(int count) {
    this->implementation->hosts = std::max(1, count);
}

std::size_t front::open_requests() const {
    return this->implementation->open.size();
}

void front::set_servers(const directory& servers, time_point changed, time_point now) {
    state& own = *this->implementation;
    for (auto& [id, service] : own.services) {
        std::erase_if(service.servers, [&servers](const auto& known) {
            const server_entry* entry = servers.find(known.first);
            return entry == nullptr || entry->service != known.second.entry.service;
        });
    }
    for (const auto& [id, entry] : servers.servers()) {
        service_state& service = own.service_of(entry.service, now);
        server_state& server = service.servers[id];
        if (server.entry.life != entry.life) {
            server = {};
            server.appeared = now;
        }
        if (entry.draining && !server.entry.draining) {
            server.leaving_since = changed;
        }
        server.entry = entry;
        server.doubtful = servers.is_awaited(id);
    }
    for (auto& [id, service] : own.services) {
        own.schedule_pump(id, milliseconds{0});
    }
}

void front::set_owners(const service_id& service, ranges::range_table owners) {
    state& own = *this->implementation;
    service_state& target = own.service_of(service, wire::event_loop::now());
    target.owners = std::move(owners);
    target.owners_learned = wire::event_loop::now();
    std::map<ranges::key_position, time_point> unowned;
    for (const ranges::range_owner& entry : target.owners.ranges) {
        if (entry.owner.id.value().empty()) {
            const auto known = target.unowned_since.find(entry.keys.first);
            unowned[entry.keys.first] =
                known == target.unowned_since.end() ? target.owners_learned : known->second;
        }
    }
    target.unowned_since = std::move(unowned);
    target.moving.assign(target.owners.ranges.size(), time_point{});
    for (const exchange_handle& one : target.waiting) {
        one->not_before = {};
    }
    own.schedule_pump(service, milliseconds{0});
}

std::map<service_id, std::vector<ranges::key_position>> front::take_keys() {
    return std::exchange(this->implementation->keys, {});
}

std::map<service_id, std::map<server_id, speed_sample>> front::take_speeds() {
    return std::exchange(this->implementation->speeds, {});
}

std::vector<ranges::server_instance> front::take_ended() {
    return std::exchange(this->implementation->ended, {});
}

void front::end_open(time_point now) {
    const std::vector<exchange_handle> ended(this->implementation->open.begin(),
                                             this->implementation->open.end());
    for (const exchange_handle& one : ended) {
        this->implementation->expire(one, now);
    }
}

void front::accept(const std::shared_ptr<wire::incoming>& request) {
    this->implementation->accept(request);
}

void front::state::reply_at_once(const std::shared_ptr<wire::incoming>& request, int status,
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
        this->reply_at_once(request, code::unavailable, gateway_errc::no_configuration);
        return;
    }
    const wire::request& message = request->message();
    const std::string* host = wire::find_header(message.headers, "Host");
    const route* chosen =
        host == nullptr ? nullptr : find_route(*this->config, *host, message.target);
    if (chosen == nullptr || chosen->services.empty()) {
        this->reply_at_once(request, code::not_found, gateway_errc::no_route);
        return;
    }
    auto one = std::make_shared<exchange>();
    one->config = this->config;
    one->chosen = chosen;
    one->service = choose_service(*chosen, this->draw());
    const auto service = this->config->services.find(one->service);
    one->divided = service != this->config->services.end() && service->second.divided;
    if (one->divided) {
        const auto key = parse_number(wire::find_header(message.headers, this->names.key));
        if (!key || *key < 0 || *key > ranges::last_key) {
            this->reply_at_once(request, code::bad_request, gateway_errc::invalid_key);
            return;
        }
        one->key = static_cast<ranges::key_position>(*key);
        this->keys[one->service].push_back(one->key);
    }
    milliseconds allowed = this->settings.default_deadline;
    if (const std::string* stated = wire::find_header(message.headers, this->names.deadline)) {
        const auto deadline = parse_number(stated);
        if (!deadline || *deadline <= 0) {
            this->reply_at_once(request, code::bad_request, gateway_errc::invalid_deadline);
            return;
        }
        allowed = milliseconds(*deadline) - 2 * this->settings.travel_to_caller;
    }
    if (chosen->timeout > milliseconds{0}) {
        allowed = std::min(allowed, chosen->timeout);
    }
    one->caller = request;
    one->arrived = request->arrived();
    one->give_up = one->arrived + allowed;
    if (const std::string* id = wire::find_header(message.headers, this->names.request_id)) {
        one->id = *id;
    }
    one->trail = telemetry::request_trail(one->id);
    this->log.add(one->trail, telemetry::level::info, "request_accepted",
                  {{"route", chosen->name},
                   {"service", one->service.value()},
                   {"key", one->divided ? static_cast<std::int64_t>(one->key) : -1},
                   {"safe", chosen->kind == request_kind::safe},
                   {"allowed", allowed},
                   {"config", this->config->version}});
    one->message = std::move(request->message());
    // The connection's state of the caller is needed for the answer.
    request->message().method = one->message.method;
    request->message().keep_alive = one->message.keep_alive;
    wire::remove_connection_headers(one->message.headers);
    wire::remove_header(one->message.headers, this->names.expected_server);
    this->open.insert(one);
    request->on_left([this, one] { this->leave(one); });
    one->expiry = this->loop.call_after(
        std::chrono::ceil<milliseconds>(one->give_up - wire::event_loop::now()),
        [this, one] { this->expire(one, wire::event_loop::now()); });
    if (chosen->kind == request_kind::unsafe && !request->is_first()) {
        // An earlier answer may close the connection, and the caller then sends this one again.
        request->on_first([this, one] { this->begin(one); });
        return;
    }
    this->begin(one);
}

void front::state::begin(const exchange_handle& one) {
    if (one->done) {
        return;
    }
    const time_point now = wire::event_loop::now();
    service_state& own = this->service_of(one->service, now);
    if (this->place(one, own, now)) {
        return;
    }
    if (is_long_unowned(*one, own, now)) {
        this->refuse(one, gateway_errc::no_owner, now);
        return;
    }
    if (this->is_hopeless(*one, own, now)) {
        this->refuse(one, gateway_errc::overloaded, now);
        return;
    }
    this->enqueue(one, own);
}

/// The owner of the request's key, if it may get one more request.
placement front::state::choose_owner(const exchange& one, service_state& own, time_point now) {
    const ranges::server_instance* owner = owner_of(own.owners, one.key);
    if (owner == nullptr) {
        return {nullptr, "no_owner"};
    }
    if (owner->id.value().empty() || now < own.moving[position_of(own.owners, one.key)]) {
        return {nullptr, "range_moving"};
    }
    const auto found = own.servers.find(owner->id);
    if (found == own.servers.end() || found->second.entry.life != *owner) {
        return {nullptr, "owner_not_registered"};
    }
    server_state& server = found->second;
    if (server.ended || (server.entry.draining && now > server.leaving_since + leaving_owner)) {
        return {nullptr, "owner_left"};
    }
    if (now < server.paused_until) {
        return {nullptr, "owner_paused"};
    }
    if (server.in_flight >= concurrency_limit(server, this->hosts, this->settings.balancer, now)) {
        return {nullptr, "owner_full"};
    }
    return {&server, {}};
}

placement front::state::choose(const exchange& one, service_state& own, time_point now) {
    if (now < one.not_before) {
        return {nullptr, "pause_after_failure"};
    }
    if (one.divided) {
        return this->choose_owner(one, own, now);
    }
    const balancer_settings& rules = this->settings.balancer;
    server_state* best = nullptr;
    double best_ms = 0;
    for (auto& [id, server] : own.servers) {
        if (!is_available(server, now) || one.tried.contains(id) ||
            server.in_flight >= concurrency_limit(server, this->hosts, rules, now)) {
            continue;
        }
        const double ms = placement_cost(server, this->far(server.entry),
                                         one.chosen->target_latency, rules, now) +
                          this->draw() +  // Spreads requests over equal servers.
                          (server.doubtful ? doubtful_cost_ms : 0);
        if (best == nullptr || ms < best_ms) {
            best = &server;
            best_ms = ms;
        }
    }
    return {best, best == nullptr ? "no_server_free" : std::string_view()};
}

bool front::state::place(const exchange_handle& one, service_state& own, time_point now) {
    const placement found = this->choose(*one, own, now);
    if (found.server == nullptr) {
        this->log.add(one->trail, telemetry::level::info, "request_waits",
                      {{"reason", found.obstacle},
                       {"queue", own.waiting.size()},
                       {"servers", own.servers.size()},
                       {"owners_age", age_of(own.owners_learned, now)}});
        return false;
    }
    this->send(one, *found.server, now);
    return true;
}

void front::state::log_sent(const exchange_handle& one, const service_state& own,
                            const server_state& server, milliseconds left, time_point now) {
    this->log.add(one->trail, telemetry::level::info, "request_sent",
                  {{"server", server.entry.life.id.value()},
                   {"attempt", one->sends},
                   {"left", left},
                   {"in_flight", server.in_flight},
                   {"limit", concurrency_limit(server, this->hosts, this->settings.balancer, now)},
                   {"running", server.stated.running},
                   {"waiting", server.stated.waiting},
                   {"load_age", age_of(server.stated_at, now)},
                   {"owners_age", one->divided ? age_of(own.owners_learned, now) : no_age},
                   {"doubtful", server.doubtful}});
}

/// A server gets no work for a time: what this host believes of it has changed.
void front::state::log_pause(const server_state& server, time_point paused_before, time_point now) {
    if (server.paused_until > paused_before && server.paused_until > now) {
        telemetry::log_info(this->log, "server_paused",
                            {{"server", server.entry.life.id.value()},
                             {"until", std::chrono::floor<milliseconds>(server.paused_until - now)},
                             {"failures", this->settings.balancer.failures},
                             {"failure_share", server.failure_share}});
    }
}

double front::state::wait_estimate(const exchange& one, const service_state& own,
                                   time_point now) const {
    int ahead = 0;
    double latency = own.latency_ms;
    double rate = 0;
    if (one.divided) {
        const ranges::server_instance* owner = owner_of(own.owners, one.key);
        const auto found = owner == nullptr ? own.servers.end() : own.servers.find(owner->id);
        if (found == own.servers.end()) {
            return 0;
        }
        for (const exchange_handle& other : own.waiting) {
            const ranges::server_instance* same = owner_of(own.owners, other->key);
            ahead += same == owner && other->chosen->priority <= one.chosen->priority ? 1 : 0;
        }
        latency = found->second.latency_ms;
        rate = concurrency_limit(found->second, this->hosts, this->settings.balancer, now);
    } else {
        for (const exchange_handle& other : own.waiting) {
            ahead += other->chosen->priority <= one.chosen->priority ? 1 : 0;
        }
        for (const auto& [id, server] : own.servers) {
            if (is_available(server, now)) {
                rate += concurrency_limit(server, this->hosts, this->settings.balancer, now);
            }
        }
    }
    return rate > 0 ? (ahead + 1) * latency / rate : 0;
}

bool front::state::is_long_unowned(const exchange& one, const service_state& own, time_point now) {
    if (!one.divided || own.owners.ranges.empty()) {
        return false;
    }
    const ranges::range_owner& range = own.owners.ranges[position_of(own.owners, one.key)];
    const auto since = own.unowned_since.find(range.keys.first);
    return since != own.unowned_since.end() && now - since->second > longest_move;
}

bool front::state::is_hopeless(const exchange& one, const service_state& own,
                               time_point now) const {
    const double left = std::chrono::duration<double, std::milli>(one.give_up - now).count();
    return this->wait_estimate(one, own, now) + own.latency_ms * least_useful_share > left;
}

void front::state::send(const exchange_handle& one, server_state& server, time_point now) {
    const double travel_ms = this->far(server.entry) == distance::other_region
                                 ? 2 * this->settings.balancer.far_ms
                                 : 2 * this->settings.balancer.near_ms;
    const auto left = std::chrono::floor<milliseconds>(one->give_up - now) -
                      milliseconds(static_cast<std::int64_t>(travel_ms));
    service_state& own = this->service_of(one->service, now);
    if (left <= milliseconds{0}) {
        this->refuse(one, gateway_errc::not_run_in_time, now);
        return;
    }
    wire::set_header(one->message.headers, this->names.deadline, std::to_string(left.count()));
    wire::set_header(one->message.headers, this->names.expected_server,
                     server.entry.life.id.value());
    if (one->sends == 0) {
        admission::count_first_try(own.retries, now);
    } else {
        this->retried_count.add();
    }
    if (one->divided) {
        time_point& moving = own.moving[position_of(own.owners, one->key)];
        if (moving != time_point{}) {
            moving = now + moved_probe;
        }
    }
    ++one->sends;
    this->log_sent(one, own, server, left, now);
    one->in_flight = true;
    one->running_at = server.entry.life.id;
    one->sent_at = now;
    ++server.in_flight;
    wire::call_options options;
    // The request's own timer comes first.
    options.timeout =
        left + milliseconds(static_cast<std::int64_t>(travel_ms)) + std::chrono::seconds(1);
    options.connect_timeout = this->settings.connect_timeout;
    options.accept = [id = one->id, name = this->names.request_id](const wire::response& message) {
        const std::string* echoed = wire::find_header(message.headers, name);
        return echoed == nullptr || *echoed == id;
    };
    one->call = this->upstreams.send(
        server.entry.address, one->message, options,
        [this, one](wire::call_result outcome) { this->on_result(one, std::move(outcome)); });
}

/// Takes a request off its server's count.
void front::state::detach(const exchange_handle& one) {
    if (!one->in_flight) {
        return;
    }
    one->in_flight = false;
    const auto service = this->services.find(one->service);
    if (service == this->services.end()) {
        return;
    }
    const auto server = service->second.servers.find(one->running_at);
    if (server != service->second.servers.end() && server->second.in_flight > 0) {
        --server->second.in_flight;
    }
    if (!service->second.waiting.empty()) {
        this->schedule_pump(one->service, milliseconds{0});
    }
}

void front::state::on_result(const exchange_handle& one, wire::call_result outcome) {
    const time_point now = wire::event_loop::now();
    this->detach(one);
    if (one->done) {
        return;
    }
    service_state& own = this->service_of(one->service, now);
    const auto found = own.servers.find(one->running_at);
    server_state* const server = found == own.servers.end() ? nullptr : &found->second;
    if (outcome.error && !outcome.sent) {
        this->log.add(one->trail, telemetry::level::warning, "server_unreachable",
                      {{"server", one->running_at.value()}, {"error", outcome.error}});
        if (server != nullptr) {
            const time_point before = server->paused_until;
            record_loss(*server, this->settings.balancer, now);
            this->log_pause(*server, before, now);
        }
        one->tried.insert(one->running_at);
        if (++one->unreached >= unreachable_tries) {
            this->refuse(one, gateway_errc::attempts_spent, now);
        } else {
            --one->sends;
            this->requeue(one, one->divided ? unreachable_pause : milliseconds{0}, now);
        }
        return;
    }
    if (outcome.error) {
        if (server != nullptr) {
            const time_point before = server->paused_until;
            record_loss(*server, this->settings.balancer, now);
            this->log_pause(*server, before, now);
        }
        one->may_have_run = true;
        this->on_failure(one, outcome.error, now);
        return;
    }
    if (server != nullptr) {
        if (const std::string* stated =
                wire::find_header(outcome.message.headers, this->names.load)) {
            if (const auto load = parse_load(*stated)) {
                record_load(*server, *load, now);
            }
        }
    }
    const std::string* const answering =
        wire::find_header(outcome.message.headers, this->names.server);
    if (outcome.message.code == code::misdirected && server != nullptr && answering != nullptr &&
        *answering != one->running_at.value()) {
        // Another server has the address: the one that was meant has ended.
        telemetry::log_info(
            this->log, "server_replaced",
            {{"request", one->id}, {"server", one->running_at.value()}, {"answering", *answering}});
        server->ended = true;
        this->ended.push_back(server->entry.life);
    }
    if (wire::find_header(outcome.message.headers, this->names.not_run) != nullptr) {
        this->on_not_run(one, outcome.message.code, now);
        return;
    }
    if (one->divided && !own.owners.ranges.empty()) {
        time_point& moving = own.moving[position_of(own.owners, one->key)];
        if (moving != time_point{}) {
            moving = {};
            this->schedule_pump(one->service, milliseconds{0});
        }
    }
    const auto took = std::chrono::duration_cast<microseconds>(now - one->sent_at);
    const bool failed = outcome.message.code >= code::first_server_failure;
    if (server != nullptr) {
        const time_point before = server->paused_until;
        record_answer(*server, took, failed && outcome.message.code != code::gateway_timeout,
                      this->settings.balancer, now);
        this->log_pause(*server, before, now);
    }
    if (!failed) {
        const double ms = std::chrono::duration<double, std::milli>(took).count();
        if (server != nullptr && one->divided && server->has_stated &&
            server->stated.waiting == 0) {
            // Without a queue at the server, the time is that of the work and the way.
            const double way = this->far(server->entry) == distance::other_region
                                   ? 2 * this->settings.balancer.far_ms
                                   : 2 * this->settings.balancer.near_ms;
            speed_sample& sample = this->speeds[one->service][one->running_at];
            sample.log_ms_sum += std::log(std::max(1.0, ms - way));
            ++sample.count;
        }
        constexpr double smoothing = 0.05;
        own.latency_ms =
            own.latency_ms > 0 ? own.latency_ms + smoothing * (ms - own.latency_ms) : ms;
    }
    one->may_have_run = true;
    this->on_response(one, std::move(outcome.message), now);
}

void front::state::on_response(const exchange_handle& one, wire::response message, time_point now) {
    const bool is_signed = wire::find_header(message.headers, this->names.signature) != nullptr;
    if (!is_signed || wire::find_header(message.headers, "Content-Encoding") != nullptr) {
        this->on_failure(one, wire::wire_errc::malformed_response, now);
        return;
    }
    if (message.until_close && !one->caller->is_alone()) {
        // It can only be passed on by closing the caller's connection, which would cut the others.
        this->on_failure(one, wire::wire_errc::truncated, now);
        return;
    }
    const bool failed = message.code >= code::first_server_failure;
    if (failed && message.code != code::gateway_timeout &&
        one->chosen->kind == request_kind::safe && this->may_retry(*one, now)) {
        this->log.add(one->trail, telemetry::level::warning, "attempt_failed",
                      {{"server", one->running_at.value()},
                       {"status", message.code},
                       {"attempt", one->sends},
                       {"took", age_of(one->sent_at, now)},
                       {"again", true}});
        one->fallback = std::move(message);
        one->tried.insert(one->running_at);
        this->requeue(one, milliseconds{0}, now);
        return;
    }
    this->answer(one, std::move(message));
}

/// The server states that the request has not run.
void front::state::on_not_run(const exchange_handle& one, int status, time_point now) {
    service_state& own = this->service_of(one->service, now);
    this->log.add(one->trail, telemetry::level::info, "server_refused",
                  {{"server", one->running_at.value()},
                   {"status", status},
                   {"owners_age", one->divided ? age_of(own.owners_learned, now) : no_age}});
    if (status == code::misdirected) {
        ++one->moved;
        if (!one->divided) {
            one->tried.insert(one->running_at);
        } else if (!own.owners.ranges.empty()) {
            // Other requests for these keys wait as well, until the move has ended.
            const std::size_t position = position_of(own.owners, one->key);
            if (own.owners.ranges[position].owner.id == one->running_at) {
                own.moving[position] = now + moved_pause;
            }
        }
        const bool granted = own.tokens.take(this->settings.retries, this->hosts, now) ||
                             admission::try_retry(own.retries, now);
        if (one->moved > moved_tries || !granted) {
            this->refuse(one, gateway_errc::no_owner, now);
            return;
        }
        this->requeue(one, one->divided ? moved_pause : milliseconds{0}, now);
        return;
    }
    if (status == code::bad_request) {
        this->fail(one, code::bad_gateway, gateway_errc::server_failed, now);
        return;
    }
    const auto found = own.servers.find(one->running_at);
    if (found != own.servers.end()) {
        found->second.failure_share += 0.05 * (1.0 - found->second.failure_share);
    }
    one->tried.insert(one->running_at);
    if (one->divided && found != own.servers.end()) {
        // Only the owner can run it; one that sheds load takes the next request as likely as later.
        const bool full = is_full(found->second);
        if (++one->refusals <= refused_tries && this->has_time(*one, now) &&
            admission::try_retry(own.retries, now)) {
            this->requeue(one, full ? full_pause : milliseconds{0}, now);
        } else {
            this->refuse(one, gateway_errc::overloaded, now);
        }
        return;
    }
    if (one->divided || !this->may_retry(*one, now)) {
        this->refuse(one, gateway_errc::overloaded, now);
    } else {
        this->requeue(one, milliseconds{0}, now);
    }
}

/// An attempt begun now may still be answered in time.
bool front::state::has_time(const exchange& one, time_point now) {
    const double left = std::chrono::duration<double, std::milli>(one.give_up - now).count();
    return left > this->service_of(one.service, now).latency_ms * least_useful_share;
}

bool front::state::may_retry(const exchange& one, time_point now) {
    if (one.sends >= one.chosen->max_attempts) {
        return false;
    }
    return this->has_time(one, now) &&
           admission::try_retry(this->service_of(one.service, now).retries, now);
}

/// The request was sent, and no acceptable answer came.
void front::state::on_failure(const exchange_handle& one, const status& error, time_point now) {
    const bool again = one->chosen->kind == request_kind::safe && this->may_retry(*one, now);
    this->log.add(one->trail, telemetry::level::warning, "attempt_failed",
                  {{"server", one->running_at.value()},
                   {"error", error},
                   {"reason", error.message()},
                   {"attempt", one->sends},
                   {"took", age_of(one->sent_at, now)},
                   {"again", again}});
    one->tried.insert(one->running_at);
    if (again) {
        this->requeue(one, milliseconds{0}, now);
    } else {
        this->fail(one, code::bad_gateway, gateway_errc::server_failed, now);
    }
}

void front::state::requeue(const exchange_handle& one, milliseconds pause, time_point now) {
    service_state& own = this->service_of(one->service, now);
    one->not_before = now + pause;
    if (pause == milliseconds{0} && this->place(one, own, now)) {
        return;
    }
    this->enqueue(one, own);
    this->schedule_pump(one->service, pause);
}

void front::state::enqueue(const exchange_handle& one, service_state& own) {
    const auto behind =
        std::find_if(own.waiting.begin(), own.waiting.end(), [&one](const exchange_handle& other) {
            return other->chosen->priority > one->chosen->priority ||
                   (other->chosen->priority == one->chosen->priority &&
                    other->arrived > one->arrived);
        });
    own.waiting.insert(behind, one);
    // Wakes the queue when stated loads or pauses have run out.
    this->schedule_pump(one->service, unreachable_pause);
}

void front::state::schedule_pump(const service_id& service, milliseconds delay) {
    const time_point now = wire::event_loop::now();
    service_state& own = this->service_of(service, now);
    const time_point when = now + delay;
    if (own.pump_timer != 0 && own.pump_at <= when) {
        return;
    }
    this->loop.cancel(own.pump_timer);
    own.pump_at = when;
    own.pump_timer = this->loop.call_after(delay, [this, service] { this->pump(service); });
}

void front::state::pump(const service_id& service) {
    const time_point now = wire::event_loop::now();
    service_state& own = this->service_of(service, now);
    own.pump_timer = 0;
    int looked_at = 0;
    for (auto next = own.waiting.begin(); next != own.waiting.end() && looked_at < pump_limit;
         ++looked_at) {
        const exchange_handle one = *next;
        if (one->done) {
            next = own.waiting.erase(next);
            continue;
        }
        const placement found = this->choose(*one, own, now);
        if (found.server != nullptr) {
            next = own.waiting.erase(next);
            this->send(one, *found.server, now);
            continue;
        }
        if (is_long_unowned(*one, own, now)) {
            next = own.waiting.erase(next);
            this->refuse(one, gateway_errc::no_owner, now);
            continue;
        }
        const double left = std::chrono::duration<double, std::milli>(one->give_up - now).count();
        if (left < own.latency_ms * least_useful_share) {
            next = own.waiting.erase(next);
            this->refuse(one, gateway_errc::not_run_in_time, now);
            continue;
        }
        ++next;
    }
    if (!own.waiting.empty()) {
        this->schedule_pump(service, unreachable_pause);
    }
}

void front::state::refuse(const exchange_handle& one, gateway_errc reason, time_point now) {
    if (one->may_have_run) {
        this->fail(one, code::bad_gateway, gateway_errc::server_failed, now);
        return;
    }
    const service_state& own = this->service_of(one->service, now);
    const milliseconds least = is_long_unowned(*one, own, now) ? unowned_pause : least_retry_after;
    const double wait_ms = std::max<double>(static_cast<double>(least.count()),
                                            this->wait_estimate(*one, own, now) / 2) *
                           (1.0 + this->draw());
    this->log.add(one->trail, telemetry::level::warning, "request_refused",
                  {{"service", one->service.value()},
                   {"error", make_error_code(reason)},
                   {"waited", age_of(one->arrived, now)},
                   {"left", std::chrono::floor<milliseconds>(one->give_up - now)},
                   {"queue", own.waiting.size()},
                   {"retry_after", milliseconds(std::llround(wait_ms))},
                   {"owners_age", one->divided ? age_of(own.owners_learned, now) : no_age},
                   {"config", one->config->version}});
    this->refused_count.add();
    wire::response message;
    message.code = code::unavailable;
    message.reason = reason_phrase(message.code);
    message.headers.push_back({this->names.request_id, one->id});
    std::string seconds = std::to_string(wait_ms / milli_per_second);
    message.headers.push_back({this->names.retry_after, seconds.substr(0, seconds.find('.') + 4)});
    this->answer(one, std::move(message));
}

void front::state::fail(const exchange_handle& one, int status, gateway_errc reason,
                        time_point now) {
    if (one->fallback) {
        this->answer(one, std::move(*one->fallback));
        return;
    }
    this->log.add(one->trail, telemetry::level::warning, "request_failed",
                  {{"service", one->service.value()},
                   {"server", one->running_at.value()},
                   {"status", status},
                   {"error", make_error_code(reason)},
                   {"waited", age_of(one->arrived, now)},
                   {"sends", one->sends},
                   {"config", one->config->version}});
    this->failed_count.add();
    wire::response message;
    message.code = status;
    message.reason = reason_phrase(status);
    message.headers.push_back({this->names.request_id, one->id});
    this->answer(one, std::move(message));
}

void front::state::answer(const exchange_handle& one, wire::response message) {
    if (one->done) {
        return;
    }
    one->done = true;
    this->open.erase(one);
    this->loop.cancel(one->expiry);
    const time_point now = wire::event_loop::now();
    this->request_time.observe(std::chrono::duration_cast<microseconds>(now - one->arrived));
    this->log.add(one->trail, telemetry::level::info, "request_answered",
                  {{"status", message.code},
                   {"server", one->running_at.value()},
                   {"waited", age_of(one->arrived, now)},
                   {"sends", one->sends},
                   {"bytes", message.body.size()}});
    this->log.write(one->trail, now);
    if (message.code < code::first_failure) {
        this->answered_count.add();
    }
    const std::string* length = wire::find_header(message.headers, "Content-Length");
    std::optional<std::string> stated;
    if (one->message.method == "HEAD" && length != nullptr) {
        stated = *length;
    }
    wire::remove_connection_headers(message.headers);
    if (stated) {
        message.headers.push_back({"Content-Length", *stated});
    }
    const auto caller = std::move(one->caller);
    caller->on_first(nullptr);
    caller->answer(std::move(message));
}

/// The caller or the route waits no longer, or this process ends.
void front::state::expire(const exchange_handle& one, time_point now) {
    if (one->done) {
        return;
    }
    if (one->in_flight) {
        this->detach(one);
        this->upstreams.cancel(one->call);
        one->may_have_run = true;
        const auto server = this->service_of(one->service, now).servers.find(one->running_at);
        if (server != this->service_of(one->service, now).servers.end()) {
            record_loss(server->second, this->settings.balancer, now);
        }
    }
    if (one->may_have_run) {
        this->fail(one, code::gateway_timeout, gateway_errc::no_answer_in_time, now);
    } else {
        this->refuse(one, gateway_errc::not_run_in_time, now);
    }
}

void front::state::leave(const exchange_handle& one) {
    if (one->done) {
        return;
    }
    one->done = true;
    this->open.erase(one);
    this->left_count.add();
    this->loop.cancel(one->expiry);
    const time_point now = wire::event_loop::now();
    this->log.add(one->trail, telemetry::level::info, "caller_left",
                  {{"waited", age_of(one->arrived, now)},
                   {"in_flight", one->in_flight},
                   {"server", one->running_at.value()}});
    this->log.write(one->trail, now);
    if (one->in_flight) {
        this->detach(one);
        this->upstreams.cancel(one->call);
    }
    one->caller = nullptr;
}

}  // namespace greengagechute::gateway
