#define BOOST_TEST_MODULE gateway
#include "gateway/balancer.h"
#include "gateway/catalogue.h"
#include "gateway/coordinator.h"
#include "gateway/directory.h"
#include "gateway/errors.h"
#include "gateway/front.h"
#include "gateway/table_watch.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gg = greengagechute;
namespace gateway = greengagechute::gateway;
namespace ranges = greengagechute::ranges;
namespace wire = greengagechute::wire;

using namespace std::chrono_literals;

namespace {

constexpr gg::milliseconds test_limit{8'000};
constexpr gg::time_point start{1h};

gateway::header_names make_names() {
    return {"Own-Id",        "Own-Deadline", "Own-Signature", "Own-Server", "Own-Load",
            "Own-Answering", "Own-Not-Run",  "Retry-After",   "Own-Key"};
}

/// A server that answers by a function, and counts.
class stand_in {
public:
    using behaviour = std::function<void(const std::shared_ptr<wire::incoming>&)>;

    stand_in(wire::event_loop& loop, behaviour act)
        : server(loop, [this, act = std::move(act)](const std::shared_ptr<wire::incoming>& asked) {
              ++this->requests;
              this->last = asked->message();
              act(asked);
          }) {
        BOOST_REQUIRE(!this->server.open({"127.0.0.1", 0}));
    }

    wire::endpoint address() const { return {"127.0.0.1", this->server.port()}; }

    int requests = 0;
    wire::request last;

private:
    wire::server server;
};

void reply(const std::shared_ptr<wire::incoming>& asked, int code, const std::string& body,
           bool is_signed, bool not_run = false) {
    wire::response message;
    message.code = code;
    message.reason = "Reason";
    message.body = body;
    const std::string* id = wire::find_header(asked->message().headers, "Own-Id");
    message.headers.push_back({"Own-Id", id != nullptr ? *id : ""});
    if (is_signed) {
        message.headers.push_back({"Own-Signature", "s"});
    }
    if (not_run) {
        message.headers.push_back({"Own-Not-Run", "1"});
    }
    asked->answer(std::move(message));
}

/// Writes bytes on one connection and collects what comes back.
class raw_caller {
public:
    raw_caller(wire::event_loop& loop, std::uint16_t port, const std::string& bytes) {
        wire::stream_handlers handlers;
        handlers.data = [this](std::string_view part) { this->received += part; };
        this->opened = wire::stream::connect(loop, {"127.0.0.1", port}, std::move(handlers));
        this->opened->write(bytes);
    }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller() { this->opened->close(); }

    std::string received;

private:
    std::shared_ptr<wire::stream> opened;
};

/// A front with a plain service `plain` and a divided one `keys`.
struct fixture {
    wire::event_loop loop;
    wire::client upstreams{loop, {}};
    std::shared_ptr<gg::telemetry::logger> log;
    gg::telemetry::metrics numbers;
    std::unique_ptr<gateway::front> front;
    std::unique_ptr<wire::server> entry;
    gateway::directory servers{gateway::directory_settings{}};

    fixture() {
        gg::telemetry::logger_options options;
        options.minimum = gg::telemetry::level::error;
        this->log = *gg::telemetry::logger::create(options);
        gateway::front_settings settings;
        settings.data_centre = gg::data_centre_id("dc");
        this->front = std::make_unique<gateway::front>(this->loop, this->upstreams, *this->log,
                                                       this->numbers, make_names(), settings, 1);
        this->entry = std::make_unique<wire::server>(
            this->loop,
            [this](const std::shared_ptr<wire::incoming>& asked) { this->front->accept(asked); });
        BOOST_REQUIRE(!this->entry->open({"127.0.0.1", 0}));
        auto content = std::make_shared<gateway::catalogue>();
        content->version = 1;
        content->services[gg::service_id("plain")] = {gg::service_id("plain"), false, 10};
        content->services[gg::service_id("keys")] = {gg::service_id("keys"), true, 10};
        const auto add = [&content](const std::string& prefix, gateway::request_kind kind,
                                    const std::string& service, int attempts) {
            gateway::route made;
            made.name = prefix;
            made.host = "h";
            made.prefix = prefix;
            made.kind = kind;
            made.max_attempts = attempts;
            made.timeout = 2s;
            made.services.push_back({gg::service_id(service), 1});
            content->routes.push_back(made);
        };
        add("/safe/", gateway::request_kind::safe, "plain", 2);
        add("/unsafe/", gateway::request_kind::unsafe, "plain", 2);
        add("/keys/", gateway::request_kind::safe, "keys", 2);
        index_routes(*content);
        this->front->set_catalogue(content);
    }

    void add(const std::string& id, const std::string& service, const wire::endpoint& address) {
        gateway::server_entry entry_of_server;
        entry_of_server.life = {gg::server_id(id), 1};
        entry_of_server.service = gg::service_id(service);
        entry_of_server.address = address;
        entry_of_server.data_centre = gg::data_centre_id("dc");
        entry_of_server.slots = 2;
        this->servers.apply({{gg::server_id(id), entry_of_server}}, 0, wire::event_loop::now());
        this->front->set_servers(this->servers, wire::event_loop::now(), wire::event_loop::now());
    }

    void own(const std::string& id) {
        this->front->set_owners(gg::service_id("keys"),
                                ranges::range_table{{{{}, {gg::server_id(id), 1}}}});
    }

    wire::call_result ask(const std::string& method, const std::string& target,
                          const std::string& deadline = "1000", const std::string& key = "") {
        wire::client caller(this->loop, {});
        wire::request message;
        message.method = method;
        message.target = target;
        message.headers = {{"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", deadline}};
        if (!key.empty()) {
            message.headers.push_back({"Own-Key", key});
        }
        wire::call_options options;
        options.timeout = test_limit;
        wire::call_result result;
        caller.send({"127.0.0.1", this->entry->port()}, message, options,
                    [this, &result](wire::call_result outcome) {
                        result = std::move(outcome);
                        this->loop.stop();
                    });
        const auto limit = this->loop.call_after(test_limit, [this] { this->loop.stop(); });
        this->loop.run();
        this->loop.cancel(limit);
        return result;
    }
};

struct crossing_result {
    int sent = 0;
    int crossed = 0;
    int in_time = 0;
};

/// Plays the callers of one region against servers of unequal speed in three regions for 20 s.
/// @param per_region  servers of a region
/// @param per_second  requests a second for each server of the callers' region
crossing_result play_regions(int per_region, double per_second, double crossing_share) {
    constexpr double speeds[] = {0.7, 0.7, 1.6};
    constexpr double work_ms = 130;
    constexpr auto target = 500ms;
    constexpr auto length = 20s;
    constexpr int regions = 3;
    constexpr double us_per_ms = 1e3;
    constexpr double us_per_second = 1e6;
    const auto to_us = [](double value) {
        return gg::microseconds(static_cast<std::int64_t>(value));
    };
    gateway::balancer_settings settings;
    settings.crossing_share = crossing_share;
    std::vector<gateway::server_state> servers(static_cast<std::size_t>(per_region * regions));
    // Times at which the slots of each server are free.
    std::vector<std::vector<gg::time_point>> slots(servers.size(), {start, start, start});
    for (gateway::server_state& server : servers) {
        server.entry.slots = 3;
    }
    const auto far = [&](std::size_t index) {
        return index < static_cast<std::size_t>(per_region) ? gateway::distance::same_region
                                                            : gateway::distance::other_region;
    };
    std::multimap<gg::time_point, std::pair<std::size_t, gg::microseconds>> answers;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> gap(per_second * per_region);
    std::exponential_distribution<double> work(1.0);
    crossing_result result;
    for (gg::time_point now = start; now < start + length;
         now += to_us(gap(random) * us_per_second)) {
        while (!answers.empty() && answers.begin()->first <= now) {
            const auto [index, took] = answers.begin()->second;
            --servers[index].in_flight;
            record_answer(servers[index], took, false, settings, answers.begin()->first);
            answers.erase(answers.begin());
        }
        std::size_t best = 0;
        for (std::size_t index = 1; index < servers.size(); ++index) {
            if (placement_cost(servers[index], far(index), target, settings, now) <
                placement_cost(servers[best], far(best), target, settings, now)) {
                best = index;
            }
        }
        const double ms = (0.5 + 0.5 * work(random)) * work_ms / speeds[best % std::size(speeds)];
        const bool crosses = far(best) == gateway::distance::other_region;
        auto& slot = *std::min_element(slots[best].begin(), slots[best].end());
        slot = std::max(slot, now) + to_us(ms * us_per_ms);
        const auto end = slot + to_us(crosses ? 2 * settings.far_ms * us_per_ms : 0);
        const auto took = std::chrono::duration_cast<gg::microseconds>(end - now);
        ++servers[best].in_flight;
        answers.emplace(end, std::pair(best, took));
        ++result.sent;
        result.crossed += crosses ? 1 : 0;
        result.in_time += took <= target ? 1 : 0;
    }
    return result;
}

/// Tables in memory whose calls take a time, and may be refused or lose their answers.
class memory_store : public gateway::table_store {
public:
    explicit memory_store(wire::event_loop& own_loop) : loop(own_loop) {}

    void read(const std::string& table, content_handler done) override {
        ++this->reads;
        this->after([this, table, done = std::move(done)] {
            if (this->away) {
                done(make_error_code(gateway::gateway_errc::store_unavailable));
                return;
            }
            done(this->changes(table, 0));
        });
    }

    void watch(const std::string& table, std::uint64_t after_version, gg::milliseconds wait,
               content_handler done) override {
        ++this->watches;
        this->look(table, after_version, wire::event_loop::now() + wait, std::move(done));
    }

    void commit(const std::vector<gateway::stored_row>& expected,
                const std::vector<gateway::stored_row>& rows, commit_handler done) override {
        ++this->commits;
        this->after([this, expected, rows, done = std::move(done)] {
            if (this->rejects) {
                done(gateway::commit_outcome::rejected);
                return;
            }
            for (const gateway::stored_row& row : expected) {
                if (this->stored[{row.table, row.key}].version != row.version) {
                    done(gateway::commit_outcome::conflict);
                    return;
                }
            }
            ++this->version;
            for (gateway::stored_row row : rows) {
                row.version = this->version;
                this->stored[{row.table, row.key}] = row;
            }
            done(this->lose_answers ? gateway::commit_outcome::unknown
                                    : gateway::commit_outcome::stored);
        });
    }

    /// Writes one row at once.
    void put(const std::string& table, const std::string& key, const std::string& value) {
        ++this->version;
        this->stored[{table, key}] = {table, key, value, this->version};
    }

    gg::milliseconds delay{1};
    /// Reads and watches fail.
    bool away = false;
    /// Watches that are under way are never answered.
    bool holds_answers = false;
    int reads = 0;
    int watches = 0;
    bool lose_answers = false;
    /// Commits are refused, and nothing is done.
    bool rejects = false;
    int commits = 0;

private:
    void look(const std::string& table, std::uint64_t after_version, gg::time_point until,
              content_handler done) {
        this->after([this, table, after_version, until, done = std::move(done)] {
            if (this->holds_answers) {
                return;
            }
            if (this->away) {
                done(make_error_code(gateway::gateway_errc::store_unavailable));
                return;
            }
            auto content = this->changes(table, after_version);
            if (content.rows.empty() && wire::event_loop::now() < until) {
                this->look(table, after_version, until, done);
            } else {
                done(std::move(content));
            }
        });
    }

    /// Half of the time passes before the call is carried out.
    void after(std::function<void()> action) {
        this->loop.call_after(this->delay / 2, [this, action = std::move(action)] {
            this->loop.call_after(this->delay - this->delay / 2, action);
        });
    }

    gateway::table_content changes(const std::string& table, std::uint64_t after_version) const {
        gateway::table_content content;
        for (const auto& [name, row] : this->stored) {
            if (name.first == table && row.version > after_version) {
                content.rows.push_back(row);
            }
        }
        content.version = this->version;
        return content;
    }

    wire::event_loop& loop;
    std::map<std::pair<std::string, std::string>, gateway::stored_row> stored;
    std::uint64_t version = 0;
};

/// Answers each order at once.
class obedient_servers : public gateway::server_orders {
public:
    explicit obedient_servers(wire::event_loop& own_loop) : loop(own_loop) {}

    void send(const wire::endpoint&, const ranges::lease_command& what,
              order_handler done) override {
        this->highest_fence = std::max(this->highest_fence, what.fence);
        this->loop.call_after(
            1ms, [done = std::move(done)] { done(ranges::command_outcome::done, ""); });
    }

    gg::epoch highest_fence;

private:
    wire::event_loop& loop;
};

/// The store and the servers as one host reaches them; nothing gets through once it is lost.
class host_links : public gateway::table_store, public gateway::server_orders {
public:
    host_links(memory_store& shared, obedient_servers& servers) : store(shared), orders(servers) {}

    void read(const std::string& table, content_handler done) override {
        if (!this->lost) {
            this->store.read(table, std::move(done));
        }
    }
    void watch(const std::string& table, std::uint64_t after_version, gg::milliseconds wait,
               content_handler done) override {
        this->store.watch(table, after_version, wait,
                          [this, done = std::move(done)](gg::result<gateway::table_content> found) {
                              if (!this->lost) {
                                  done(std::move(found));
                              }
                          });
    }
    void commit(const std::vector<gateway::stored_row>& expected,
                const std::vector<gateway::stored_row>& rows, commit_handler done) override {
        if (!this->lost) {
            this->store.commit(expected, rows, std::move(done));
        }
    }
    void send(const wire::endpoint& server, const ranges::lease_command& what,
              order_handler done) override {
        if (!this->lost) {
            this->orders.send(server, what, std::move(done));
        }
    }

    bool lost = false;

private:
    memory_store& store;
    obedient_servers& orders;
};

/// The coordinator part of one host, reachable by the others.
struct coordinating_host {
    coordinating_host(wire::event_loop& loop, memory_store& store, obedient_servers& orders,
                      gg::telemetry::logger& log, const gateway::directory& servers, int number,
                      const gateway::host_power& power)
        : links(store, orders),
          peers(loop, {}),
          server(loop, [this](const std::shared_ptr<wire::incoming>& asked) {
              if (this->links.lost) {
                  return;
              }
              gateway::host_report report;
              BOOST_REQUIRE(decode(asked->message().body, report));
              this->part->on_report(
                  report,
                  [this, asked](const gateway::report_answer& answer) {
                      for (const auto& [service, update] : answer.owners) {
                          this->whole_tables += update.whole ? 1 : 0;
                      }
                      wire::response reply;
                      reply.code = 200;
                      reply.body = encode(answer);
                      asked->answer(std::move(reply));
                  },
                  wire::event_loop::now());
          }) {
        BOOST_REQUIRE(!this->server.open({"127.0.0.1", 0}));
        gateway::coordinator_settings settings;
        settings.host = gg::host_id("host-" + std::to_string(number));
        settings.address = {"127.0.0.1", this->server.port()};
        settings.power = power;
        this->part = std::make_unique<gateway::coordinator>(
            loop, this->peers, this->links, this->links, servers, log, settings,
            [this](const gg::service_id&, ranges::range_table table) {
                this->owners = std::move(table);
            },
            [this](const gateway::directory_update& update) { this->relayed.push_back(update); },
            [] { return gateway::host_report{}; }, [](int) {}, static_cast<std::uint64_t>(number));
        auto content = std::make_shared<gateway::catalogue>();
        content->version = 1;
        content->services[gg::service_id("keys")] = {gg::service_id("keys"), true, 10};
        this->part->set_catalogue(content);
        this->term = std::make_unique<gateway::table_watch>(
            loop, this->links, log, std::string(gateway::term_table), 0ms,
            [this](const gateway::table_update& update) {
                this->part->on_term(update.content, update.whole);
            });
        this->term->start();
        this->part->start();
    }

    host_links links;
    wire::client peers;
    wire::server server;
    std::unique_ptr<gateway::coordinator> part;
    std::unique_ptr<gateway::table_watch> term;
    ranges::range_table owners;
    std::vector<gateway::directory_update> relayed;
    /// Whole tables of owners that this host has sent.
    int whole_tables = 0;
};

/// Several hosts over one store, and two servers with keys.
struct coordination_fixture {
    wire::event_loop loop;
    std::shared_ptr<gg::telemetry::logger> log;
    memory_store store{loop};
    obedient_servers orders{loop};
    gateway::directory servers{gateway::directory_settings{}};
    std::vector<std::unique_ptr<coordinating_host>> hosts;

    coordination_fixture() {
        gg::telemetry::logger_options options;
        options.minimum = gg::telemetry::level::error;
        this->log = *gg::telemetry::logger::create(options);
        std::vector<gateway::server_change> entries;
        for (const char* id : {"a", "b"}) {
            gateway::server_entry entry;
            entry.life = {gg::server_id(id), 1};
            entry.service = gg::service_id("keys");
            entry.address = {"127.0.0.1", static_cast<std::uint16_t>(1 + entries.size())};
            entries.push_back({entry.life.id, entry, 1});
        }
        this->servers.replace(entries, 1, wire::event_loop::now());
    }

    void add_host(const gateway::host_power& power) {
        this->hosts.push_back(std::make_unique<coordinating_host>(
            this->loop, this->store, this->orders, *this->log, this->servers,
            static_cast<int>(this->hosts.size()), power));
    }

    void add_hosts(int count) {
        for (int number = 0; number < count; ++number) {
            this->add_host({});
        }
    }

    void run_for(gg::milliseconds time) {
        this->loop.call_after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }

    std::uint64_t term() const {
        // A fence is the term number and a counter of 24 bits.
        return this->orders.highest_fence.value() >> 24U;
    }

    /// Position of the only coordinating host; -1 if there is none or more than one.
    int coordinating() const {
        int found = -1;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (!this->hosts[index]->links.lost && this->hosts[index]->part->coordinating()) {
                found = found < 0 ? static_cast<int>(index) : static_cast<int>(this->hosts.size());
            }
        }
        return found < static_cast<int>(this->hosts.size()) ? found : -1;
    }
};

}  // namespace

BOOST_AUTO_TEST_CASE(longest_prefix_selects_the_route) {
    gateway::catalogue content;
    for (const char* prefix : {"/a/", "/a/b/", "/"}) {
        gateway::route made;
        made.host = "Host.example";
        made.prefix = prefix;
        content.routes.push_back(made);
    }
    index_routes(content);
    BOOST_TEST(find_route(content, "host.example:80", "/a/b/c?x=/q/")->prefix == "/a/b/");
    BOOST_TEST(find_route(content, "host.example", "/a/bc")->prefix == "/a/");
    BOOST_TEST(find_route(content, "host.example", "/x")->prefix == "/");
    BOOST_TEST((find_route(content, "other.example", "/a/b/c") == nullptr));
}

BOOST_AUTO_TEST_CASE(services_get_their_weight) {
    gateway::route made;
    made.services = {{gg::service_id("a"), 90}, {gg::service_id("b"), 10}};
    BOOST_TEST(choose_service(made, 0.0).value() == "a");
    BOOST_TEST(choose_service(made, 0.899).value() == "a");
    BOOST_TEST(choose_service(made, 0.901).value() == "b");
}

// Guards against taking servers as gone whose registration lapsed while the store was away, and
// against using them after the time in which they would have been back.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_awaited_after_an_outage) {
    gateway::directory servers{gateway::directory_settings{}};
    gateway::server_entry entry;
    entry.life = {gg::server_id("s"), 1};
    servers.replace({{entry.life.id, entry, 1}}, 1, start);
    servers.note_regained(start + 10s);
    servers.replace({}, 2, start + 10s);
    BOOST_TEST(servers.is_awaited(gg::server_id("s")));
    BOOST_TEST(!servers.expire(start + 11s));
    BOOST_TEST((servers.find(gg::server_id("s")) != nullptr));
    BOOST_TEST(servers.expire(start + 12s));
    BOOST_TEST((servers.find(gg::server_id("s")) == nullptr));

    servers.replace({{entry.life.id, entry, 3}}, 3, start + 20s);
    servers.apply({{gg::server_id("s"), std::nullopt, 4}}, 4, start + 21s);
    BOOST_TEST((servers.find(gg::server_id("s")) == nullptr));
}

// Guards against hosts that miss a server's start or end because the coordinator tells them only of
// what it thinks is new, and against an old message that undoes a newer one.
BOOST_AUTO_TEST_CASE(changes_of_the_directory_reach_another_one) {
    const auto entry = [](const std::string& id) {
        gateway::server_entry made;
        made.life = {gg::server_id(id), 1};
        made.warmup_left = 3s;
        return made;
    };
    const auto change = [&entry](const std::string& id, std::uint64_t version) {
        return gateway::server_change{gg::server_id(id), entry(id), version};
    };
    gateway::directory first{gateway::directory_settings{}};
    gateway::directory second{gateway::directory_settings{}};
    first.replace({change("a", 3), change("b", 5)}, 10, start);
    second.replace({change("a", 3), change("b", 5)}, 12, start);
    BOOST_TEST(!first.changes_since(9, start).has_value());
    // The other directory is ahead.
    BOOST_REQUIRE(first.changes_since(12, start).has_value());
    BOOST_TEST(first.changes_since(12, start)->changes.empty());

    first.apply({{gg::server_id("a"), std::nullopt, 14}, change("c", 15)}, 15, start);
    const auto update = first.changes_since(second.version(), start);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->changes.size() == 2U);
    second.apply(*update, start);
    BOOST_TEST(second.version() == 15U);
    BOOST_TEST((second.find(gg::server_id("a")) == nullptr));
    BOOST_TEST((second.find(gg::server_id("c")) != nullptr));
    second.apply({change("a", 3), {gg::server_id("c"), std::nullopt, 13}}, 13, start);
    BOOST_TEST((second.find(gg::server_id("a")) == nullptr));
    BOOST_TEST((second.find(gg::server_id("c")) != nullptr));

    // The rest of a warm-up is written with each heartbeat of a new server.
    gateway::server_change warmer = change("c", 16);
    warmer.entry->warmup_left = 2s;
    first.apply({warmer}, 16, start);
    BOOST_TEST(first.changes_since(15, start)->changes.empty());
}

// Guards against a host that takes a lapsed entry as gone because the coordinator, not the host
// itself, has seen the outage of the store.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_awaited_by_other_hosts_too) {
    gateway::server_entry entry;
    entry.life = {gg::server_id("s"), 1};
    gateway::directory first{gateway::directory_settings{}};
    gateway::directory second{gateway::directory_settings{}};
    first.replace({{entry.life.id, entry, 1}}, 1, start);
    second.replace({{entry.life.id, entry, 1}}, 1, start);
    first.note_regained(start + 10s);
    first.apply({{entry.life.id, std::nullopt, 2}}, 2, start + 10s);
    const auto update = first.changes_since(1, start + 10'500ms);
    BOOST_REQUIRE(update.has_value());
    second.apply(*update, start + 10'500ms);
    BOOST_TEST(second.is_awaited(entry.life.id));
    BOOST_TEST(!second.expire(start + 11'800ms));
    BOOST_TEST(second.expire(start + 12s));
}

// Guards against a directory that forgets removals, and tells another host that it knows all.
BOOST_AUTO_TEST_CASE(forgotten_removals_are_not_passed_over) {
    gateway::directory_settings few;
    few.most_removed = 2;
    gateway::directory servers{few};
    servers.replace({}, 1, start);
    for (std::uint64_t version = 2; version < 6; ++version) {
        servers.apply({{gg::server_id("s" + std::to_string(version)), std::nullopt, version}},
                      version, start);
    }
    BOOST_TEST(!servers.changes_since(2, start).has_value());
    BOOST_REQUIRE(servers.changes_since(3, start).has_value());
    BOOST_TEST(servers.changes_since(3, start)->changes.size() == 2U);
}

// Guards against eleven hosts overrunning a server that never answers what it cannot queue.
BOOST_AUTO_TEST_CASE(hosts_together_do_not_overrun_a_full_server) {
    constexpr int hosts = 11;
    constexpr int queue_and_slots = 15;
    const gateway::balancer_settings settings;
    gateway::server_state server;
    server.entry.slots = 3;
    record_load(server, {3, 9, 3}, start);
    BOOST_TEST(concurrency_limit(server, hosts, settings, start) * hosts <= queue_and_slots);
}

// Guards against answers that cross regions although the caller's own region serves them in time,
// and against a region that keeps requests which others would serve in time.
BOOST_AUTO_TEST_CASE(requests_cross_regions_only_for_their_target) {
    const crossing_result cheap = play_regions(3, 10.0, 0.3);
    const crossing_result fast = play_regions(3, 10.0, 0.0);
    BOOST_TEST(cheap.crossed * 2 < fast.crossed);
    BOOST_TEST(cheap.in_time >= fast.in_time - fast.sent / 100);
    // One region's callers send more than its servers can run.
    const crossing_result crest = play_regions(3, 30.0, 0.3);
    BOOST_TEST(crest.crossed > 0);
    BOOST_TEST(crest.in_time * 100 >= crest.sent * 95);
}

// Guards against a failing server that keeps its share of the work.
BOOST_AUTO_TEST_CASE(failing_server_is_paused_and_comes_back) {
    const gateway::balancer_settings settings;
    gateway::server_state server;
    for (int count = 0; count < settings.failures; ++count) {
        BOOST_TEST(is_available(server, start));
        record_answer(server, 10ms, true, settings, start);
    }
    BOOST_TEST(!is_available(server, start));
    BOOST_TEST(is_available(server, start + settings.pause));
}

BOOST_AUTO_TEST_CASE(reports_survive_their_text) {
    gateway::host_report report;
    report.host = gg::host_id("h1");
    report.keys[gg::service_id("s")] = {0, 7, 65'535};
    report.speeds[gg::service_id("s")][gg::server_id("i")] = {8.25, 2};
    gateway::host_report read;
    BOOST_REQUIRE(decode(encode(report), read));
    BOOST_TEST(read.host.value() == "h1");
    BOOST_TEST(read.keys.at(gg::service_id("s")).size() == 3U);
    BOOST_TEST(read.speeds.at(gg::service_id("s")).at(gg::server_id("i")).log_ms_sum == 8.25);
    BOOST_TEST(read.speeds.at(gg::service_id("s")).at(gg::server_id("i")).count == 2);
    gateway::report_answer answer;
    answer.term = 4;
    answer.owners[gg::service_id("s")] = {
        3, true, {{{0, 9}, {gg::server_id("a"), 1}}, {{10, 65'535}, {gg::server_id("b"), 2}}}};
    gateway::report_answer read_answer;
    BOOST_REQUIRE(decode(encode(answer), read_answer));
    BOOST_TEST(read_answer.owners.at(gg::service_id("s")).version == 3U);
    BOOST_TEST(read_answer.owners.at(gg::service_id("s")).ranges[1].owner.id.value() == "b");
    gateway::server_entry entry;
    entry.life = {gg::server_id("i-1"), 1'760'000'000'123};
    entry.service = gg::service_id("s");
    entry.address = {"10.1.0.7", 8'080};
    entry.data_centre = gg::data_centre_id("dc");
    entry.slots = 3;
    entry.draining = true;
    entry.warmup_left = 1'200ms;
    answer.servers = gateway::directory_update{
        9, 40ms, 700ms, {{entry.life.id, entry, 8}, {gg::server_id("i-2"), std::nullopt, 9}}};
    BOOST_REQUIRE(decode(encode(answer), read_answer));
    BOOST_REQUIRE(read_answer.servers.has_value());
    BOOST_TEST(read_answer.servers->version == 9U);
    BOOST_CHECK(read_answer.servers->age == 40ms);
    BOOST_CHECK(read_answer.servers->regained_before == 700ms);
    BOOST_REQUIRE(read_answer.servers->changes.size() == 2U);
    BOOST_REQUIRE(read_answer.servers->changes[0].entry.has_value());
    const gateway::server_entry& read_entry = *read_answer.servers->changes[0].entry;
    BOOST_CHECK(read_entry.life == entry.life);
    BOOST_CHECK(read_entry.address == entry.address);
    BOOST_TEST(read_entry.data_centre.value() == "dc");
    BOOST_TEST(read_entry.slots == 3);
    BOOST_TEST(read_entry.draining);
    BOOST_CHECK(read_entry.warmup_left == 1'200ms);
    BOOST_TEST(!read_answer.servers->changes[1].entry.has_value());
    BOOST_TEST(read_answer.servers->changes[1].version == 9U);
    std::string spoiled = encode(answer);
    spoiled.replace(spoiled.find("8080"), 4, "88080");
    BOOST_TEST(!decode(spoiled, read_answer));
    // A whole table that leaves keys out must not be used.
    answer.owners[gg::service_id("s")].ranges.pop_back();
    BOOST_TEST(!decode(encode(answer), read_answer));
    BOOST_TEST(!decode("{}", answer));
    BOOST_TEST(!decode("{\"host\":\"a\",\"keys\":{\"s\":[70000]}}", read));
}

// Guards against a changed request: path, own headers and id arrive as they were sent, with the
// time that is left and the server that is meant.
BOOST_AUTO_TEST_CASE(request_is_forwarded_exactly) {
    fixture own;
    stand_in server(own.loop, [](const auto& asked) { reply(asked, 200, "body", true); });
    own.add("s1", "plain", server.address());
    const auto answer = own.ask("GET", "/safe/a%2Fb/..//c?q=%2f");
    BOOST_TEST(answer.message.code == 200);
    BOOST_TEST(answer.message.body == "body");
    BOOST_TEST(*wire::find_header(answer.message.headers, "Own-Signature") == "s");
    BOOST_TEST(server.last.target == "/safe/a%2Fb/..//c?q=%2f");
    BOOST_TEST(*wire::find_header(server.last.headers, "Own-Id") == "r1");
    BOOST_TEST(*wire::find_header(server.last.headers, "Own-Server") == "s1");
    const int left = std::stoi(*wire::find_header(server.last.headers, "Own-Deadline"));
    BOOST_TEST(left <= 1'000);
    BOOST_TEST(left > 500);
}

// Guards against a second run of an unsafe request after a lost answer, and against calling it
// "not run".
BOOST_AUTO_TEST_CASE(unsafe_request_is_not_repeated_after_a_lost_answer) {
    fixture own;
    int runs = 0;
    wire::listener cutting(own.loop, [&runs](const std::shared_ptr<wire::stream>& opened) {
        wire::stream_handlers handlers;
        handlers.data = [&runs, opened](std::string_view) {
            ++runs;
            opened->close();
        };
        opened->set_handlers(std::move(handlers));
    });
    BOOST_REQUIRE(!cutting.open({"127.0.0.1", 0}));
    own.add("s1", "plain", {"127.0.0.1", cutting.port()});
    BOOST_TEST(own.ask("POST", "/unsafe/x").message.code == 502);
    BOOST_TEST(runs == 1);
}

// Guards against a safe request failing where another server can run it.
BOOST_AUTO_TEST_CASE(safe_request_is_repeated_at_another_server) {
    fixture own;
    stand_in bad(own.loop, [](const auto& asked) { reply(asked, 500, "bad", true); });
    stand_in good(own.loop, [](const auto& asked) { reply(asked, 200, "good", true); });
    own.add("bad", "plain", bad.address());
    own.add("good", "plain", good.address());
    // The budget grants retries in proportion to first tries.
    int answered = 0;
    for (int count = 0; count < 40; ++count) {
        answered += own.ask("GET", "/safe/x").message.code == 200 ? 1 : 0;
    }
    BOOST_TEST(answered >= 37);
    BOOST_TEST(good.requests > 30);
}

// Guards against an answer without the server's signature being passed on as a success.
BOOST_AUTO_TEST_CASE(unsigned_success_is_a_failure) {
    fixture own;
    stand_in server(own.loop, [](const auto& asked) { reply(asked, 200, "x", false); });
    own.add("s1", "plain", server.address());
    BOOST_TEST(own.ask("POST", "/unsafe/x").message.code == 502);
}

// Guards against a wrong "not run": only the server's own word allows it after a send.
BOOST_AUTO_TEST_CASE(refusal_of_a_server_is_passed_on_as_not_run) {
    fixture own;
    stand_in full(own.loop, [](const auto& asked) { reply(asked, 503, "", false, true); });
    own.add("s1", "plain", full.address());
    const auto refused = own.ask("POST", "/unsafe/x");
    BOOST_TEST(refused.message.code == 503);
    BOOST_TEST((wire::find_header(refused.message.headers, "Retry-After") != nullptr));

    fixture silent_word;
    stand_in busy(silent_word.loop, [](const auto& asked) { reply(asked, 503, "", false); });
    silent_word.add("s1", "plain", busy.address());
    BOOST_TEST(silent_word.ask("POST", "/unsafe/x").message.code == 502);
}

// Guards against requests that wait for an owner without end, and against losing those that wait
// while a range moves.
BOOST_AUTO_TEST_CASE(request_waits_for_the_owner_of_its_key) {
    fixture own;
    stand_in server(own.loop, [](const auto& asked) { reply(asked, 200, "k", true); });
    own.add("s1", "keys", server.address());
    BOOST_TEST(own.ask("GET", "/keys/x", "300", "5").message.code == 503);
    own.loop.call_after(100ms, [&own] { own.own("s1"); });
    BOOST_TEST(own.ask("GET", "/keys/x", "1000", "5").message.code == 200);
    BOOST_TEST(own.ask("GET", "/keys/x", "1000", "70000").message.code == 400);
    BOOST_TEST(own.ask("GET", "/keys/x", "1000").message.code == 400);
    BOOST_TEST(own.ask("GET", "/none/x").message.code == 404);
}

// Plays requests for a range that is just moving, and guards against each of them reaching the
// server that has given it up.
BOOST_AUTO_TEST_CASE(requests_of_a_moving_range_wait_together) {
    fixture own;
    stand_in old_owner(own.loop, [](const auto& asked) { reply(asked, 421, "", false, true); });
    stand_in new_owner(own.loop, [](const auto& asked) { reply(asked, 200, "k", true); });
    own.add("s1", "keys", old_owner.address());
    own.add("s2", "keys", new_owner.address());
    own.own("s1");
    wire::client callers(own.loop, {});
    int served = 0;
    for (int count = 0; count < 10; ++count) {
        own.loop.call_after(gg::milliseconds(count * 3), [&own, &callers, &served] {
            wire::request message;
            message.method = "GET";
            message.target = "/keys/x";
            message.headers = {
                {"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "1000"}, {"Own-Key", "5"}};
            callers.send({"127.0.0.1", own.entry->port()}, message, {},
                         [&served](const wire::call_result& outcome) {
                             served += outcome.message.code == 200 ? 1 : 0;
                         });
        });
    }
    own.loop.call_after(45ms, [&own] { own.own("s2"); });
    own.loop.call_after(1'200ms, [&own] { own.loop.stop(); });
    own.loop.run();
    // One try may be under way beside the first one.
    BOOST_TEST(old_owner.requests <= 3);
    BOOST_TEST(served >= 9);
}

// Guards against requests that are sent again and again to an address that another service's server
// uses by now.
BOOST_AUTO_TEST_CASE(replaced_server_is_not_asked_again) {
    fixture own;
    stand_in other(own.loop, [](const auto& asked) {
        wire::response message;
        message.code = 421;
        message.reason = "Misdirected Request";
        message.headers = {{"Own-Answering", "s9"}, {"Own-Not-Run", "1"}};
        asked->answer(std::move(message));
    });
    own.add("s1", "keys", other.address());
    own.own("s1");
    for (int count = 0; count < 5; ++count) {
        BOOST_TEST(own.ask("GET", "/keys/x", "150", "5").message.code == 503);
    }
    BOOST_TEST(other.requests == 1);
    const auto ended = own.front->take_ended();
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].id.value() == "s1");
}

// Guards against more retries than the platform allows while an owner has lost its keys for long.
BOOST_AUTO_TEST_CASE(refusals_by_an_owner_do_not_multiply_requests) {
    fixture own;
    stand_in empty(own.loop, [](const auto& asked) { reply(asked, 421, "", false, true); });
    own.add("s1", "keys", empty.address());
    own.own("s1");
    wire::client callers(own.loop, {});
    constexpr int asked = 200;
    for (int count = 0; count < asked; ++count) {
        own.loop.call_after(gg::milliseconds(count * 10), [&own, &callers] {
            wire::request message;
            message.method = "GET";
            message.target = "/keys/x";
            message.headers = {
                {"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "300"}, {"Own-Key", "5"}};
            callers.send({"127.0.0.1", own.entry->port()}, message, {}, nullptr);
        });
    }
    own.loop.call_after(2'500ms, [&own] { own.loop.stop(); });
    own.loop.run();
    // One request in 60 ms asks the owner; all others wait or are refused.
    BOOST_TEST(empty.requests < 60);
}

// Plays an owner that refuses every second request for lack of room, and guards against callers
// that are refused although the allowance for retries would serve them, and against more retries
// than it.
BOOST_AUTO_TEST_CASE(requests_that_an_owner_sheds_are_sent_again) {
    fixture own;
    int arrivals = 0;
    stand_in shedding(own.loop, [&arrivals](const auto& asked) {
        const bool shed = ++arrivals % 2 == 0;
        reply(asked, shed ? 503 : 200, "", !shed, shed);
    });
    own.add("s1", "keys", shedding.address());
    own.own("s1");
    wire::client callers(own.loop, {});
    constexpr int asked = 200;
    int served = 0;
    for (int count = 0; count < asked; ++count) {
        own.loop.call_after(gg::milliseconds(count * 10), [&own, &callers, &served] {
            wire::request message;
            message.method = "POST";
            message.target = "/keys/x";
            message.headers = {
                {"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "900"}, {"Own-Key", "5"}};
            callers.send({"127.0.0.1", own.entry->port()}, message, {},
                         [&served](const wire::call_result& outcome) {
                             served += outcome.message.code == 200 ? 1 : 0;
                         });
        });
    }
    own.loop.call_after(3'000ms, [&own] { own.loop.stop(); });
    own.loop.run();
    const gateway::retry_allowance allowance;
    BOOST_TEST(arrivals - asked <= allowance.ratio * asked);
    BOOST_TEST(arrivals - asked >= allowance.ratio * asked / 2);
    BOOST_TEST(served >= asked / 2 + (arrivals - asked) / 2 - 1);
}

// Plays keys whose owner has left while the store is away, and guards against callers that are held
// until their deadline although nobody can serve them.
BOOST_AUTO_TEST_CASE(keys_long_without_an_owner_are_refused_at_once) {
    fixture own;
    own.own("");
    gg::time_point asked = wire::event_loop::now();
    BOOST_TEST(own.ask("GET", "/keys/x", "1000", "5").message.code == 503);
    BOOST_CHECK(wire::event_loop::now() - asked > 500ms);
    own.loop.call_after(2'000ms, [&own] { own.loop.stop(); });
    own.loop.run();
    asked = wire::event_loop::now();
    const auto refused = own.ask("GET", "/keys/x", "1000", "5");
    BOOST_TEST(refused.message.code == 503);
    BOOST_CHECK(wire::event_loop::now() - asked < 100ms);
    const std::string* pause = wire::find_header(refused.message.headers, "Retry-After");
    BOOST_REQUIRE(pause != nullptr);
    BOOST_TEST(std::stod(*pause) >= 0.4);
}

// Guards against an answer later than the caller waits, without a final answer.
BOOST_AUTO_TEST_CASE(silent_server_ends_at_the_deadline) {
    fixture own;
    std::vector<std::shared_ptr<wire::incoming>> kept;
    stand_in silent(own.loop, [&kept](const auto& asked) { kept.push_back(asked); });
    own.add("s1", "plain", silent.address());
    const gg::time_point before = wire::event_loop::now();
    BOOST_TEST(own.ask("POST", "/unsafe/x", "300").message.code == 504);
    BOOST_CHECK(wire::event_loop::now() - before < 600ms);
}

// Guards against a ready answer that is lost at the end of the process since it waits behind a
// request on the same connection that no server answers.
BOOST_AUTO_TEST_CASE(ready_answers_leave_before_the_process_ends) {
    fixture own;
    std::vector<std::shared_ptr<wire::incoming>> kept;
    stand_in silent(own.loop, [&kept](const auto& asked) { kept.push_back(asked); });
    stand_in server(own.loop, [](const auto& asked) { reply(asked, 200, "ready", true); });
    own.add("s1", "plain", silent.address());
    own.add("s2", "keys", server.address());
    own.own("s2");
    const std::string fields = "Host: h\r\nOwn-Id: r1\r\nOwn-Deadline: 5000\r\n";
    const raw_caller caller(own.loop, own.entry->port(),
                            "GET /safe/x HTTP/1.1\r\n" + fields +
                                "\r\nGET /keys/x HTTP/1.1\r\nOwn-Key: 5\r\n" + fields + "\r\n");
    own.loop.call_after(300ms, [&own] {
        BOOST_TEST(own.front->open_requests() == 1U);
        own.front->end_open(wire::event_loop::now());
        BOOST_TEST(own.front->open_requests() == 0U);
    });
    own.loop.call_after(500ms, [&own] { own.loop.stop(); });
    own.loop.run();
    BOOST_TEST(server.requests == 1);
    const std::size_t unknown = caller.received.find("HTTP/1.1 504");
    const std::size_t ready = caller.received.find("ready");
    BOOST_TEST(unknown == 0U);
    BOOST_TEST(ready != std::string::npos);
}

// Guards against requests to an owner that leaves, later than it serves, where the host learned
// late that it leaves.
BOOST_AUTO_TEST_CASE(late_news_do_not_extend_the_use_of_a_leaving_owner) {
    fixture own;
    stand_in server(own.loop, [](const auto& asked) { reply(asked, 200, "k", true); });
    own.add("s1", "keys", server.address());
    own.own("s1");
    BOOST_TEST(own.ask("GET", "/keys/x", "300", "5").message.code == 200);
    gateway::server_entry leaving = *own.servers.find(gg::server_id("s1"));
    leaving.draining = true;
    own.servers.apply({{gg::server_id("s1"), leaving, 2}}, 2, wire::event_loop::now());
    const gg::time_point now = wire::event_loop::now();
    own.front->set_servers(own.servers, now - 1'300ms, now);
    BOOST_TEST(own.ask("GET", "/keys/x", "300", "5").message.code == 200);
    own.loop.call_after(250ms, [&own] { own.loop.stop(); });
    own.loop.run();
    BOOST_TEST(own.ask("GET", "/keys/x", "300", "5").message.code == 503);
}

// Guards against hosts that take over from one that is still reading the owners: on a slow store
// they would replace each other for seconds, and no lease would be renewed.
BOOST_AUTO_TEST_CASE(takeover_on_a_slow_store_is_awaited) {
    coordination_fixture own;
    own.store.delay = 240ms;
    own.add_hosts(4);
    own.run_for(2'500ms);
    BOOST_REQUIRE(own.coordinating() >= 0);
    BOOST_TEST(own.term() == 1U);
    own.hosts[static_cast<std::size_t>(own.coordinating())]->part->resign();
    own.run_for(2'500ms);
    BOOST_TEST(own.coordinating() >= 0);
    BOOST_TEST(own.term() == 2U);
    for (const auto& host : own.hosts) {
        BOOST_TEST(!host->owners.ranges.empty());
    }
}

// Guards against leases that lapse since a coordinator that is stopped gives up, although the store
// is away and nobody can follow it.
BOOST_AUTO_TEST_CASE(stopped_coordinator_renews_until_it_is_followed) {
    coordination_fixture own;
    own.add_hosts(2);
    own.run_for(1'500ms);
    const int first = own.coordinating();
    BOOST_REQUIRE(first >= 0);
    own.store.rejects = true;
    own.hosts[static_cast<std::size_t>(first)]->part->resign();
    own.run_for(1'000ms);
    BOOST_TEST(own.coordinating() == first);
    own.store.rejects = false;
    own.run_for(1'000ms);
    BOOST_TEST(own.coordinating() == 1 - first);
    BOOST_TEST(own.term() == 2U);
}

// Guards against a working coordinator that is replaced because it lacks the store, by hosts that
// lack it as well: the new one would have to wait for the leases of servers that have left.
BOOST_AUTO_TEST_CASE(coordinator_stays_when_all_hosts_lack_the_store) {
    coordination_fixture own;
    own.add_hosts(3);
    own.run_for(1'500ms);
    const int first = own.coordinating();
    BOOST_REQUIRE(first >= 0);
    for (const auto& host : own.hosts) {
        host->part->set_store_reachable(false);
    }
    const int commits = own.store.commits;
    own.run_for(2'500ms);
    BOOST_TEST(own.store.commits == commits);
    BOOST_TEST(own.coordinating() == first);
}

// Guards against keys that nobody renews after the loss of the coordinator, and against a loss that
// costs more than a lease.
BOOST_AUTO_TEST_CASE(lost_coordinator_is_replaced_within_a_lease) {
    coordination_fixture own;
    own.add_hosts(3);
    own.run_for(1'500ms);
    const int lost = own.coordinating();
    BOOST_REQUIRE(lost >= 0);
    own.hosts[static_cast<std::size_t>(lost)]->links.lost = true;
    own.run_for(gg::milliseconds(ranges::lease_settings{}.lease_duration));
    BOOST_TEST(own.coordinating() >= 0);
    BOOST_TEST(own.term() == 2U);
}

// Guards against a term that was written without an answer and coordinates nothing.
BOOST_AUTO_TEST_CASE(term_without_an_answer_is_confirmed) {
    coordination_fixture own;
    own.store.lose_answers = true;
    own.add_hosts(3);
    own.run_for(2'500ms);
    BOOST_TEST(own.coordinating() >= 0);
    BOOST_TEST(own.term() == 1U);
}

// Guards against a host that learns of a server's end only when it asks the store itself: it does
// not ask while the coordinator tells it.
BOOST_AUTO_TEST_CASE(coordinator_tells_hosts_of_servers) {
    coordination_fixture own;
    own.add_hosts(2);
    own.run_for(1'500ms);
    const int leader = own.coordinating();
    BOOST_REQUIRE(leader >= 0);
    gateway::coordinator& coordinator = *own.hosts[static_cast<std::size_t>(leader)]->part;
    const auto& told = own.hosts[static_cast<std::size_t>(1 - leader)]->relayed;
    // Without a recent word of the store the coordinator says nothing of the servers.
    BOOST_TEST(told.empty());
    coordinator.set_servers_heard(wire::event_loop::now());
    own.run_for(600ms);
    BOOST_REQUIRE(!told.empty());
    BOOST_TEST(told.back().changes.empty());
    BOOST_CHECK(told.back().age <= 600ms);

    // The next report waits at the coordinator: the hosts of this test share one directory, so that
    // a report sent after the change would lack nothing.
    std::size_t before = told.size();
    for (int step = 0; step < 100 && told.size() == before; ++step) {
        coordinator.set_servers_heard(wire::event_loop::now());
        own.run_for(10ms);
    }
    BOOST_REQUIRE(told.size() > before);
    own.run_for(150ms);
    before = told.size();
    own.servers.apply({{gg::server_id("c"), std::nullopt, 2}}, 2, wire::event_loop::now());
    coordinator.set_servers_heard(wire::event_loop::now());
    coordinator.on_servers();
    own.run_for(150ms);
    BOOST_TEST(told.size() > before);

    own.run_for(gg::milliseconds(gateway::coordinator_settings{}.relay_lapse));
    const std::size_t last = told.size();
    own.run_for(600ms);
    BOOST_TEST(told.size() == last);
}

// Guards against a link that is filled for seconds after a takeover, since each host is sent all
// owners although it has them.
BOOST_AUTO_TEST_CASE(known_owners_are_not_sent_again_after_a_takeover) {
    coordination_fixture own;
    own.add_hosts(3);
    own.run_for(1'500ms);
    const int lost = own.coordinating();
    BOOST_REQUIRE(lost >= 0);
    const ranges::range_table before = own.hosts[0]->owners;
    for (const auto& host : own.hosts) {
        host->whole_tables = 0;
    }
    own.hosts[static_cast<std::size_t>(lost)]->part->resign();
    own.run_for(1'500ms);
    BOOST_REQUIRE(own.coordinating() >= 0);
    BOOST_TEST(own.term() == 2U);
    for (int index = 0; index < 3; ++index) {
        const auto& host = *own.hosts[static_cast<std::size_t>(index)];
        BOOST_TEST(host.owners.ranges.size() == before.ranges.size());
        if (index == own.coordinating()) {
            // The last coordinator counted its owners itself; the third host has those of the new
            // one.
            BOOST_TEST(host.whole_tables == 1);
        }
    }
}

// Guards against a weak host that coordinates although a stronger one can: it needs seconds to send
// all owners to all hosts, and is taken as lost meanwhile.
BOOST_AUTO_TEST_CASE(strong_hosts_take_over_first) {
    gateway::coordinator_settings settings;
    settings.power = {0.5, 200};
    BOOST_CHECK(takeover_restraint(settings) == 0ms);
    settings.power = {0.1, 10};
    BOOST_CHECK(takeover_restraint(settings) > settings.longest_restraint / 2);
    for (unsigned round = 0; round < 3; ++round) {
        coordination_fixture own;
        own.add_host({0.1, 10});
        own.add_host({0.1, 10});
        own.add_host({0.5, 200});
        own.run_for(1'000ms);
        BOOST_TEST(own.coordinating() == 2);
    }
}

// Guards against a return of the store that is noticed only at the next change of the table,
// seconds later: until then a coordinator would act as if the store were away.
BOOST_AUTO_TEST_CASE(return_of_the_store_is_noticed_without_a_change) {
    coordination_fixture own;
    gateway::table_watch watch(own.loop, own.store, *own.log, "t", 0ms,
                               [](const gateway::table_update&) {});
    watch.start();
    own.run_for(100ms);
    BOOST_TEST(watch.reachable());
    own.store.away = true;
    own.run_for(500ms);
    BOOST_TEST(!watch.reachable());
    own.store.away = false;
    own.run_for(1'000ms);
    BOOST_TEST(watch.reachable());
}

// Guards against calls to the store for what another host tells, and against missing what changed
// after the last that it told.
BOOST_AUTO_TEST_CASE(paused_watch_makes_no_calls) {
    coordination_fixture own;
    std::vector<std::string> seen;
    gg::time_point since;
    gateway::table_watch watch(own.loop, own.store, *own.log, "t", 0ms,
                               [&seen, &since](const gateway::table_update& update) {
                                   since = update.since;
                                   for (const gateway::stored_row& row : update.content.rows) {
                                       seen.push_back(row.key);
                                   }
                               });
    watch.set_paused(true);
    watch.start();
    own.run_for(100ms);
    own.store.put("t", "told", "");
    own.store.put("t", "missed", "");
    own.run_for(100ms);
    BOOST_TEST(own.store.watches == 0);
    BOOST_TEST(seen.empty());
    const gg::time_point told = wire::event_loop::now() - 30ms;
    watch.skip_to(1, told);
    watch.set_paused(false);
    own.run_for(100ms);
    BOOST_CHECK(since == told);
    BOOST_TEST(seen == std::vector<std::string>{"missed"}, boost::test_tools::per_element());
}

// Guards against a configuration that is learned seconds late after an interruption: the answer to
// a call from before it waits until its packets are sent again.
BOOST_AUTO_TEST_CASE(held_answers_are_asked_for_again) {
    coordination_fixture own;
    std::vector<std::string> seen;
    gateway::table_watch watch(own.loop, own.store, *own.log, "t", 0ms,
                               [&seen](const gateway::table_update& update) {
                                   for (const gateway::stored_row& row : update.content.rows) {
                                       seen.push_back(row.key);
                                   }
                               });
    watch.start();
    own.run_for(100ms);
    own.store.holds_answers = true;
    own.run_for(100ms);
    own.store.holds_answers = false;
    own.store.put("t", "during", "");
    own.run_for(100ms);
    BOOST_TEST(seen.empty());
    watch.ask_again();
    own.run_for(100ms);
    own.store.put("t", "after", "");
    own.run_for(100ms);
    const std::vector<std::string> expected{"during", "after"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
}
