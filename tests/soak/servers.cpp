#include "servers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace greengagechute::soak {

namespace {

using nlohmann::json;

constexpr int slots = 3;
constexpr std::size_t queue_length = 12;
constexpr milliseconds entry_lapses{2'600};
/// `drainS` of the users, and a second for delivery.
constexpr milliseconds drain_bound{3'000};
/// The platform's rule for orders that were held up (RULES, thawSlackS).
constexpr milliseconds thaw_slack{300};
/// Longest fault of a path or server, and the time in which held-up requests still arrive.
constexpr milliseconds longest_disturbance{8'000};
constexpr milliseconds time_to_crash{3};
constexpr milliseconds restart_after_crash{2'000};
constexpr int clock_slow_percent = 2;
constexpr int percent = 100;
constexpr int misdirected = 421;
/// `evacuateS`, `warmupS` and the bound on requests in a second of the users, for 4 a second.
constexpr milliseconds evacuation_bound{5'000};
constexpr milliseconds warmup{3'000};
constexpr std::size_t most_cold_arrivals = 14;
/// Region that no route to the undivided service allows.
constexpr const char* barred_zone = "c";
constexpr int unavailable = 503;
constexpr int fenced = 409;
constexpr int failed = 500;

std::string text_of(const wire::request& message, const char* name) {
    const std::string* found = wire::find_header(message.headers, name);
    return found != nullptr ? *found : std::string();
}

}  // namespace

void observer::broken(const std::string& promise, const std::string& detail) {
    const auto since =
        std::chrono::duration_cast<milliseconds>(wire::event_loop::now() - this->began_at);
    this->found.push_back(promise + ": " + std::to_string(since.count()) + " ms " + detail);
}

void observer::began(const std::string& request, bool safe, const std::string& server) {
    if (++this->runs[request] > 1 && !safe) {
        this->broken("at most once", "request " + request + " ran again at " + server);
    }
}

int observer::runs_of(const std::string& request) const {
    const auto counted = this->runs.find(request);
    return counted == this->runs.end() ? 0 : counted->second;
}

void observer::evacuation_changed(const std::string& zone, bool evacuated_now, time_point now) {
    this->evacuated[zone] = evacuated_now ? now : time_point{};
}

time_point observer::evacuated_since(const std::string& zone) const {
    const auto known = this->evacuated.find(zone);
    return known == this->evacuated.end() ? time_point{} : known->second;
}

bool observer::forgives(time_point now) const {
    return now - this->forgiven_since < thaw_slack;
}

void observer::took(const std::string& service, std::uint32_t first, std::uint32_t last,
                    std::uint64_t fence, const std::string& holder) {
    bool reported = false;
    std::vector<taking>& known = this->highest[service];
    known.resize(std::max<std::size_t>(known.size(), std::size_t{last} + 1));
    for (std::uint32_t key = first; key <= last; ++key) {
        taking& top = known[key];
        if (top.fence >= fence && !top.holder.empty() && top.holder != holder && !reported) {
            reported = true;
            this->broken("rising fences", holder + " takes keys from " + std::to_string(key) +
                                              " with fence " + std::to_string(fence) + ", " +
                                              top.holder + " had them with " +
                                              std::to_string(top.fence));
        }
        if (fence > top.fence) {
            top = {fence, holder};
        }
    }
}

keyed_server::keyed_server(wire::event_loop& own_loop, row_store& rows, observer& observed,
                           std::mt19937_64& generator, std::string own_id, std::string own_service,
                           std::string own_zone,
                           const std::vector<std::unique_ptr<keyed_server>>& all)
    : loop(own_loop),
      store(rows),
      seen(observed),
      random(generator),
      id(std::move(own_id)),
      service(std::move(own_service)),
      zone(std::move(own_zone)),
      others(all),
      way(own_loop, {"127.0.0.1", 1}) {}

void keyed_server::start() {
    ++this->life;
    this->born = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
    this->draining = false;
    this->says_leaving = false;
    this->cold_until = wire::event_loop::now() + (this->uneven ? warmup : milliseconds{0});
    this->cold_arrivals.clear();
    this->server = std::make_unique<wire::server>(
        this->loop,
        [this](const std::shared_ptr<wire::incoming>& request) { this->handle(request); });
    static_cast<void>(this->server->open({"127.0.0.1", 0}));
    this->way.set_target({"127.0.0.1", this->server->port()});
    this->way.set_listening(true);
    this->publish();
}

void keyed_server::leave() {
    this->way.set_listening(false);
}

void keyed_server::crash() {
    this->way.set_listening(false);
    this->server.reset();
    this->way.reset();
    this->held.clear();
    this->queue.clear();
    this->waiting_for_thaw.clear();
    this->running = 0;
    ++this->life;
    this->expire_entry();
}

void keyed_server::expire_entry() {
    this->loop.call_after(entry_lapses, [this, ended = this->life] {
        if (this->life == ended) {
            this->store.erase("servers", this->id);
        }
    });
}

void keyed_server::register_again() {
    if (!this->up()) {
        if (this->store.has("servers", this->id)) {
            this->expire_entry();
        }
    } else if (this->frozen) {
        this->waiting_for_thaw.emplace_back([this] { this->publish(); });
    } else {
        this->publish();
    }
}

void keyed_server::set_draining() {
    this->draining = true;
    this->says_leaving = true;
    this->draining_since = wire::event_loop::now();
    this->publish();
}

void keyed_server::freeze(bool next) {
    this->frozen = next;
    this->stop_judging_pauses();
    if (!next) {
        for (const auto& action : std::exchange(this->waiting_for_thaw, {})) {
            action();
        }
    }
}

void keyed_server::stop_judging_pauses() {
    this->seen.statements().excuse_server(this->life_name());
    this->pauses_unjudged_until = wire::event_loop::now() + longest_disturbance;
}

void keyed_server::publish() {
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::uint64_t sequence = 1 + static_cast<std::uint64_t>(now.count()) - this->born;
    const json entry{
        {"address", "127.0.0.1:" + std::to_string(this->way.address().port)},
        {"born", this->born},
        {"info",
         {{"service", this->service}, {"version", "v1"}, {"zone", this->zone}, {"slots", slots}}},
        {"status",
         {{"state", this->draining ? "draining" : "ready"},
          {"sequence", sequence},
          {"warmupLeftS",
           std::max(0.0, std::chrono::duration<double>(this->cold_until - wire::event_loop::now())
                             .count())}}}};
    this->store.put("servers", this->id, entry.dump());
}

std::string keyed_server::load() const {
    return std::to_string(this->running) + "," + std::to_string(this->queue.size()) + "," +
           std::to_string(slots) +
           (this->uneven ? "," + std::to_string(this->work_time_percent()) : std::string());
}

/// Changes each tenth of a second.
int keyed_server::work_time_percent() const {
    constexpr std::array percents{100, 60, 100, 300, 150, 100, 60};
    const auto tenth =
        std::chrono::duration_cast<milliseconds>(wire::event_loop::now().time_since_epoch()) /
        milliseconds{100};
    return percents.at((static_cast<std::size_t>(tenth) + this->id.size() * 3) % percents.size());
}

void keyed_server::become_cold() {
    this->cold_until = wire::event_loop::now() + warmup;
    this->cold_arrivals.clear();
    if (this->up()) {
        this->publish();
    }
}

void keyed_server::handle(const std::shared_ptr<wire::incoming>& request) {
    const std::string& target = request->message().target;
    const time_point arrived = wire::event_loop::now();
    const auto act = [this, request, arrived, target] {
        const std::string expected = text_of(request->message(), "Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            reply(request, misdirected, "", {{"Not-Executed", "1"}, {"Instance-Id", this->id}});
        } else if (target == "/greengagechute/grant" || target == "/greengagechute/release") {
            this->order(request, arrived, target == "/greengagechute/grant");
        } else {
            this->accept(request);
        }
    };
    if (this->frozen) {
        this->waiting_for_thaw.emplace_back(act);
    } else {
        act();
    }
}

void keyed_server::remove_range(std::uint32_t first, std::uint32_t last) {
    std::vector<hold> kept;
    for (const hold& one : this->held) {
        if (one.last < first || one.first > last) {
            kept.push_back(one);
            continue;
        }
        if (one.first < first) {
            kept.push_back({one.first, first - 1, one.fence, one.until});
        }
        if (one.last > last) {
            kept.push_back({last + 1, one.last, one.fence, one.until});
        }
    }
    this->held = std::move(kept);
}

void keyed_server::check_others(const hold& granted, time_point now) const {
    // A grant that is carried out late counts from its arrival, and may have run out.
    if (granted.until <= now || this->seen.forgives(now)) {
        return;
    }
    this->seen.took(this->service, granted.first, granted.last, granted.fence,
                    this->id + " life " + std::to_string(this->life));
    for (const auto& other : this->others) {
        if (other.get() == this || !other->up() || other->service != this->service) {
            continue;
        }
        for (const hold& one : other->held) {
            if (one.first <= granted.last && granted.first <= one.last && one.until > now) {
                this->seen.broken(
                    "one owner",
                    this->id + " is granted keys from " + std::to_string(granted.first) +
                        " while " + other->id + " holds them, fences " +
                        std::to_string(granted.fence) + " and " + std::to_string(one.fence) + ", " +
                        std::to_string(
                            std::chrono::duration_cast<milliseconds>(granted.until - now).count()) +
                        " ms left");
                return;
            }
        }
    }
}

void keyed_server::order(const std::shared_ptr<wire::incoming>& request, time_point arrived,
                         bool grant) {
    const json body = json::parse(request->message().body);
    hold next;
    next.first = body["from"];
    next.last = body["target"];
    next.fence = body["fence"];
    for (const hold& one : this->held) {
        if (grant && one.first <= next.last && next.first <= one.last && one.fence > next.fence) {
            reply(request, fenced, "");
            return;
        }
    }
    this->remove_range(next.first, next.last);
    if (grant) {
        const auto length = std::chrono::duration<double>(body["holdS"].get<double>()) * percent /
                            (percent - clock_slow_percent);
        next.until = arrived + std::chrono::duration_cast<time_point::duration>(length);
        this->check_others(next, wire::event_loop::now());
    } else {
        // Keeps the fence, so that an older grant is refused.
        next.until = {};
    }
    this->held.push_back(next);
    reply(request, 200, "", {{"Handover", "warm"}});
}

bool keyed_server::holds_key(std::uint32_t key, time_point now) const {
    return std::any_of(this->held.begin(), this->held.end(), [key, now](const hold& one) {
        return one.first <= key && key <= one.last && one.until > now;
    });
}

void keyed_server::accept(const std::shared_ptr<wire::incoming>& request) {
    job next;
    next.request = request;
    next.request_id = text_of(request->message(), "Request-Id");
    next.safe = request->message().method == "GET";
    const std::string key = text_of(request->message(), "Shard-Key");
    next.keyed = this->service == "keyed";
    next.key = key.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(key));
    if (next.keyed && !this->holds_key(next.key, wire::event_loop::now())) {
        reply(request, misdirected, "", this->refusal_headers(next.request_id));
        return;
    }
    this->check_leaving(next);
    this->check_place(next);
    if (const auto broken = this->seen.statements().reached(next.request_id, this->life_name(),
                                                            wire::event_loop::now())) {
        this->seen.broken("server statements", *broken);
    }
    const std::string& target = request->message().target;
    if (crashing_requests::crashes(target)) {
        if (const auto broken = this->seen.crashes().reached(
                target, this->seen.sent_in_touch(next.request_id), wire::event_loop::now())) {
            this->seen.broken("crashing requests", *broken);
        }
    }
    if (this->defect == server_defect::asks_pauses && this->random() % 8 == 0) {
        this->turn_away(next);
        return;
    }
    if (this->running < slots) {
        this->run(std::move(next));
    } else if (this->queue.size() < queue_length) {
        this->queue.push_back(std::move(next));
    } else {
        reply(request, unavailable, "", this->refusal_headers(next.request_id));
    }
}

/// Checks where the request may run, and what the server takes while it is cold.
void keyed_server::check_place(const job& next) {
    const time_point now = wire::event_loop::now();
    const time_point evacuated = this->seen.evacuated_since(this->zone);
    if (evacuated != time_point{} && next.request->arrived() - evacuated > evacuation_bound &&
        !this->seen.disturbed_since(evacuated)) {
        this->seen.broken("evacuation", "request " + next.request_id + " reached " + this->id);
    }
    if (this->zone == barred_zone && !next.keyed) {
        this->seen.broken("regions", "request " + next.request_id + " reached " + this->id);
    }
    if (now >= this->cold_until) {
        return;
    }
    this->cold_arrivals.push_back(now);
    while (this->cold_arrivals.front() <= now - std::chrono::seconds(1)) {
        this->cold_arrivals.pop_front();
    }
    if (this->cold_arrivals.size() > most_cold_arrivals) {
        this->seen.broken("cold servers", this->id + " got " +
                                              std::to_string(this->cold_arrivals.size()) +
                                              " requests within a second");
        this->cold_arrivals.clear();
    }
}

void keyed_server::check_leaving(const job& next) const {
    // Health checks have no id.
    if (this->draining && !next.request_id.empty() &&
        next.request->arrived() - this->draining_since > drain_bound &&
        !this->seen.disturbed_since(this->draining_since)) {
        this->seen.broken("drain", "request " + next.request_id + " reached " + this->id +
                                       " too late after its leaving was shown");
    }
}

void keyed_server::add_statements(wire::header_list& headers) const {
    headers.push_back({"Served-By", this->life_name()});
    if (this->says_leaving) {
        headers.push_back({"Server-Leaving", "1"});
    }
}

/// Refuses a request and asks for a pause, or states one that is none.
void keyed_server::turn_away(const job& next) {
    static constexpr std::array odd{"-3", "soon", "1e9", ""};
    wire::header_list headers = this->refusal_headers(next.request_id);
    if (this->random() % 8 == 0) {
        headers.push_back({"Retry-After", odd.at(this->random() % odd.size())});
    } else {
        const milliseconds pause(600 + static_cast<std::int64_t>(this->random() % 1'500));
        headers.push_back(
            {"Retry-After",
             std::to_string(std::chrono::duration<double>(pause).count()).substr(0, 5)});
        const time_point now = wire::event_loop::now();
        if (now > this->pauses_unjudged_until) {
            this->seen.statements().asked_pause(next.request_id, this->life_name(), pause, now);
        }
    }
    reply(next.request, unavailable, "", std::move(headers));
}

wire::header_list keyed_server::refusal_headers(const std::string& request_id) {
    wire::header_list headers{{"Not-Executed", "1"},
                              {"Request-Id", request_id},
                              {"Instance-Id", this->id},
                              {"Server-Load", this->load()}};
    if (this->defect == server_defect::repeats_refusals) {
        headers.push_back({defect_header, this->random() % 2 == 0 ? "repeat-idle" : "repeat"});
    }
    this->add_statements(headers);
    return headers;
}

void keyed_server::run(job next) {
    ++this->running;
    this->seen.began(next.request_id, next.safe, this->id);
    if (crashing_requests::crashes(next.request->message().target)) {
        this->crash_by(next.request->message().target);
        return;
    }
    const bool is_long = this->random() % 40 == 0;
    const int speed = this->uneven ? this->work_time_percent() : percent;
    const milliseconds work(static_cast<std::int64_t>(5 + this->random() % 40) *
                            (is_long ? 10 : 1) * speed / percent);
    this->loop.call_after(
        work, [this, next = std::move(next), own = this->life] { this->finish(next, own); });
}

/// Ends the server shortly after it has begun to run the request, and starts it again.
void keyed_server::crash_by(const std::string& target) {
    this->loop.call_after(time_to_crash, [this, target, own = this->life] {
        if (own != this->life) {
            return;
        }
        this->seen.crashes().server_ended(target, wire::event_loop::now());
        this->crash();
        this->loop.call_after(restart_after_crash, [this] {
            if (!this->up()) {
                this->start();
            }
        });
    });
}

void keyed_server::finish(const job& done, int own) {
    if (own != this->life) {
        return;
    }
    const auto answer = [this, done, own] {
        if (own != this->life) {
            return;
        }
        const bool lapsed = done.keyed && !this->holds_key(done.key, wire::event_loop::now());
        wire::header_list headers{{"Request-Id", done.request_id},
                                  {"Response-Signature", "signed " + done.request_id},
                                  {"Server-Load", this->load()}};
        this->add_statements(headers);
        if (this->defect == server_defect::endless_answers && this->random() % 8 == 0) {
            headers.push_back(
                {defect_header, this->random() % 2 == 0 ? "endless-head" : "endless-body"});
            this->seen.spoiled(done.request_id);
        }
        reply(done.request, lapsed ? failed : 200, done.request_id + " at " + this->id,
              std::move(headers));
        --this->running;
        while (this->running < slots && !this->queue.empty()) {
            job next = std::move(this->queue.front());
            this->queue.pop_front();
            if (next.keyed && !this->holds_key(next.key, wire::event_loop::now())) {
                reply(next.request, misdirected, "",
                      {{"Not-Executed", "1"}, {"Request-Id", next.request_id}});
            } else {
                this->run(std::move(next));
            }
        }
    };
    if (this->frozen) {
        this->waiting_for_thaw.emplace_back(answer);
    } else {
        answer();
    }
}

}  // namespace greengagechute::soak
