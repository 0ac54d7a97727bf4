#define BOOST_TEST_MODULE gateway
#include "fakes.h"
#include "front_fixture.h"
#include "gateway/balancer.h"
#include "gateway/catalogue.h"
#include "gateway/coordinator.h"
#include "gateway/directory.h"
#include "gateway/errors.h"
#include "gateway/front.h"
#include "gateway/table_watch.h"
#include "mutation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gg = greengagechute;
namespace gateway = greengagechute::gateway;
namespace ranges = greengagechute::ranges;
namespace wire = greengagechute::wire;

using namespace std::chrono_literals;
using namespace greengagechute::gateway::testing;

namespace {

constexpr gg::time_point start{1h};

/// Writes raw bytes to a connection and collects the bytes received.
class raw_connection {
public:
    raw_connection(wire::event_loop& loop, std::uint16_t port, const std::string& bytes) {
        wire::stream_handlers handlers;
        handlers.data = [this](std::string_view part) { this->received += part; };
        this->opened = wire::stream::connect(loop, {"127.0.0.1", port}, std::move(handlers));
        this->opened->write(bytes);
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { this->opened->close(); }

    std::string received;

private:
    std::shared_ptr<wire::stream> opened;
};

/// Server that writes given bytes for each request that it reads.
class scripted_server {
public:
    /// Returns the bytes to write, from the request and the number of the connection.
    using handler = std::function<std::string(const wire::request&, std::size_t)>;

    scripted_server(wire::event_loop& loop, handler act)
        : respond(std::move(act)),
          listening(loop, [this](const std::shared_ptr<wire::stream>& opened) {
              const std::size_t number = this->accepted.size();
              this->accepted.push_back(opened);
              auto parser = std::make_shared<wire::request_parser>();
              wire::stream_handlers handlers;
              handlers.data = [this, number, parser, to = opened.get()](std::string_view bytes) {
                  while (!bytes.empty()) {
                      std::size_t used = 0;
                      if (parser->feed(bytes, used)) {
                          to->write(this->respond(parser->take(), number));
                      }
                      bytes.remove_prefix(used);
                  }
              };
              opened->set_handlers(std::move(handlers));
          }) {
        BOOST_REQUIRE(!this->listening.open({"127.0.0.1", 0}));
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server() {
        for (const auto& opened : this->accepted) {
            opened->close();
        }
    }

    wire::endpoint address() const { return {"127.0.0.1", this->listening.port()}; }
    std::size_t connections() const { return this->accepted.size(); }

private:
    handler respond;
    std::vector<std::shared_ptr<wire::stream>> accepted;
    wire::listener listening;
};

/// Bytes of a refusal that names `id`, or no request if it is empty.
std::string refusal_bytes(int code, const std::string& id) {
    wire::response message;
    message.code = code;
    message.reason = "Reason";
    message.headers.push_back({"Own-Not-Run", "1"});
    if (!id.empty()) {
        message.headers.push_back({"Own-Id", id});
    }
    return serialize(message, false, false);
}

/// Bytes of the signed answer to a request.
std::string answer_bytes(const std::string& id, const std::string& body) {
    wire::response message;
    message.code = 200;
    message.reason = "OK";
    message.headers = {{"Own-Id", id}, {"Own-Signature", "s"}};
    message.body = body;
    return serialize(message, false, false);
}

struct region_simulation_result {
    int sent = 0;
    int crossed = 0;
    int in_time = 0;
};

/// Simulates the callers of one region and servers of unequal speed in three regions for 20 s.
/// @param per_region  servers per region
/// @param per_second  requests per second for each server of the callers' region
region_simulation_result simulate_regions(int per_region, double per_second,
                                          double cross_region_penalty_ratio) {
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
    settings.cross_region_penalty_ratio = cross_region_penalty_ratio;
    std::vector<gateway::server_state> servers(static_cast<std::size_t>(per_region * regions));
    // For each server, the times at which its slots become free.
    std::vector<std::vector<gg::time_point>> slots(servers.size(), {start, start, start});
    for (gateway::server_state& server : servers) {
        server.entry.slots = 3;
    }
    const auto distance_to = [&](std::size_t index) {
        return index < static_cast<std::size_t>(per_region) ? gateway::distance::same_region
                                                            : gateway::distance::other_region;
    };
    std::multimap<gg::time_point, std::pair<std::size_t, gg::microseconds>> answers;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> gap(per_second * per_region);
    std::exponential_distribution<double> work(1.0);
    region_simulation_result result;
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
            if (placement_cost(servers[index], distance_to(index), target, settings, now) <
                placement_cost(servers[best], distance_to(best), target, settings, now)) {
                best = index;
            }
        }
        const double ms = (0.5 + 0.5 * work(random)) * work_ms / speeds[best % std::size(speeds)];
        const bool crosses = distance_to(best) == gateway::distance::other_region;
        auto& slot = *std::min_element(slots[best].begin(), slots[best].end());
        slot = std::max(slot, now) + to_us(ms * us_per_ms);
        const auto end =
            slot + to_us(crosses ? 2 * settings.cross_region_latency_ms * us_per_ms : 0);
        const auto took = std::chrono::duration_cast<gg::microseconds>(end - now);
        ++servers[best].in_flight;
        answers.emplace(end, std::pair(best, took));
        ++result.sent;
        result.crossed += crosses ? 1 : 0;
        result.in_time += took <= target ? 1 : 0;
    }
    return result;
}

/// The coordinator component of one host, reachable by the others over HTTP.
struct coordinating_host {
    coordinating_host(wire::event_loop& loop, memory_store& store, accepting_servers& orders,
                      gg::telemetry::logger& log, const gateway::directory& servers, int number,
                      const gateway::host_capacity& capacity)
        : links(store, orders),
          peers(loop, {}),
          server(loop, [this](const std::shared_ptr<wire::incoming>& asked) {
              if (this->links.lost) {
                  return;
              }
              if (asked->message().target == gateway::term_target) {
                  if (!this->separated.empty()) {
                      return;
                  }
                  wire::response reply;
                  reply.code = 200;
                  reply.body = this->part->known_term();
                  asked->answer(std::move(reply));
                  return;
              }
              gateway::host_report report;
              BOOST_REQUIRE(decode(asked->message().body, report));
              if (this->separated.contains(report.host)) {
                  return;
              }
              this->part->on_report(
                  report,
                  [this, asked, host = report.host](const gateway::report_answer& answer) {
                      if (this->separated.contains(host)) {
                          return;
                      }
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
        settings.capacity = capacity;
        settings.data_centre = gg::data_centre_id("dc");
        settings.regions = {{gg::data_centre_id("dc"), gg::region_id("home")},
                            {gg::data_centre_id("far"), gg::region_id("away")}};
        this->part = std::make_unique<gateway::coordinator>(
            loop, this->peers, this->links, this->links, servers, log, settings,
            this->make_handlers(), static_cast<std::uint64_t>(number));
        this->set_catalogue({});
        this->term = std::make_unique<gateway::table_watch>(
            loop, this->links, log, std::string(gateway::term_table), 0ms,
            [this](const gateway::table_update& update) {
                this->part->on_term(update.content, update.whole);
            });
        this->term->start();
        this->part->start();
    }

    /// Sets a configuration with one divided service.
    /// @param allowed  regions that its only route allows
    void set_catalogue(const gg::dispatch::region_list& allowed) const {
        auto content = std::make_shared<gateway::catalogue>();
        content->version = 1;
        content->services[gg::service_id("keys")] = {gg::service_id("keys"), true, 10, 5.0, 3s};
        gateway::route made;
        made.services = {{gg::service_id("keys"), 1}};
        made.allowed_regions = allowed;
        content->routes.push_back(made);
        this->part->set_catalogue(content);
    }

    gateway::coordinator_handlers make_handlers() {
        gateway::coordinator_handlers handlers;
        handlers.owners_changed = [this](const gg::service_id&, ranges::range_table table) {
            this->owners = std::move(table);
        };
        handlers.servers_relayed = [this](const gateway::directory_update& update) {
            this->relayed.push_back(update);
        };
        handlers.limits_changed = [](const gateway::limits_update&) {};
        handlers.catalogue_named = [](const gateway::store_version&,
                                      std::optional<gg::milliseconds>) {};
        handlers.term_confirmed = [](gg::milliseconds) {};
        handlers.suspects_changed = [this](const gateway::suspects_update& update) {
            apply(this->guard, update, wire::event_loop::now());
        };
        handlers.losses_unreported = [this](const std::vector<gateway::request_loss>& lost) {
            this->losses = lost;
        };
        handlers.store_era_changed = [](std::uint64_t) {};
        handlers.hosts_counted = [](int) {};
        handlers.evacuations_relayed = [this](const auto& changes) {
            apply(this->evacuations, changes, wire::event_loop::now());
            this->part->set_evacuations(this->evacuations);
        };
        handlers.allowances_lent = [this](const auto& lent, gg::time_point from) {
            for (const gateway::lent_allowance& loan : lent) {
                this->loan_ends[loan.server] = from + loan.valid_for;
            }
        };
        handlers.collect_report = [this] {
            gateway::host_report report;
            report.losses = std::exchange(this->losses, {});
            return report;
        };
        return handlers;
    }

    host_connections links;
    /// Hosts on the other side of a partition: no report or answer arrives.
    std::set<gg::host_id> separated;
    wire::client peers;
    wire::server server;
    std::unique_ptr<gateway::coordinator> part;
    std::unique_ptr<gateway::table_watch> term;
    ranges::range_table owners;
    std::vector<gateway::directory_update> relayed;
    gateway::evacuation_table evacuations;
    /// End of each allowance that this host has held.
    std::map<ranges::server_instance, gg::time_point> loan_ends;
    /// Number of complete owner tables that this host has sent.
    int whole_tables = 0;
    /// Losses that the host still has to report.
    std::vector<gateway::request_loss> losses;
    gateway::crash_guard guard = gateway::make_crash_guard(gateway::default_quarantine);
};

/// Several hosts that share one store, and two servers of a divided service.
struct coordination_fixture {
    wire::event_loop loop;
    std::shared_ptr<gg::telemetry::logger> log;
    memory_store store{loop};
    accepting_servers orders{loop};
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
            entries.push_back({entry.life.id, entry, at(1)});
        }
        this->servers.replace(entries, at(1), wire::event_loop::now());
    }

    /// Makes server `a` leave, and lets its keys move to `b`.
    void move_all_keys_to_b() {
        gateway::server_entry leaving = *this->servers.find(gg::server_id("a"));
        leaving.draining = true;
        this->servers.apply({{leaving.life.id, leaving, at(2)}}, at(2), wire::event_loop::now());
        this->run_for(500ms);
    }
    void change_server(const std::string& id, const std::string& data_centre,
                       gg::milliseconds warmup_left, std::uint64_t version) {
        gateway::server_entry entry = *this->servers.find(gg::server_id(id));
        entry.data_centre = gg::data_centre_id(data_centre);
        entry.warmup_left = warmup_left;
        this->servers.apply({{entry.life.id, entry, at(version)}}, at(version),
                            wire::event_loop::now());
    }
    /// Whether a lease of the server is routed to by the coordinating host.
    bool has_keys(const std::string& id) const {
        const ranges::range_table& owners =
            this->hosts[static_cast<std::size_t>(this->coordinating())]->owners;
        return std::any_of(owners.ranges.begin(), owners.ranges.end(),
                           [&id](const auto& entry) { return entry.owner.id.value() == id; });
    }
    /// Whether the store names the server as the owner of each key.
    bool stored_owner_is(const std::string& id) {
        const auto read = ranges::decode(this->store.value(gateway::owners_table, "keys"));
        return read && std::all_of(read->ranges.begin(), read->ranges.end(),
                                   [&id](const ranges::range_owner& entry) {
                                       return entry.owner.id.value() == id;
                                   });
    }
    /// The store is away for a moment and comes back from its copy.
    void restore_store() {
        this->store.away = true;
        this->run_for(300ms);
        this->store.restore();
        this->store.away = false;
    }

    void add_host(const gateway::host_capacity& capacity) {
        this->hosts.push_back(std::make_unique<coordinating_host>(
            this->loop, this->store, this->orders, *this->log, this->servers,
            static_cast<int>(this->hosts.size()), capacity));
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

    /// Parts the coordinator, `followers` other hosts and server `a` from all others and from `b`.
    /// @param store_inside  the store is on their side
    void partition(int followers, bool store_inside) {
        const int first = this->coordinating();
        BOOST_REQUIRE(first >= 0);
        std::vector<bool> inside(this->hosts.size());
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            inside[index] = static_cast<int>(index) == first || followers-- > 0;
        }
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            coordinating_host& host = *this->hosts[index];
            host.links.unreachable.insert(gg::server_id(inside[index] ? "b" : "a"));
            if (inside[index] != store_inside) {
                host.links.store_lost = true;
                host.links.store_timeout = 300ms;
                host.part->set_store_reachable(false);
            }
            for (std::size_t other = 0; other < this->hosts.size(); ++other) {
                if (inside[index] != inside[other]) {
                    host.separated.insert(gg::host_id("host-" + std::to_string(other)));
                }
            }
        }
    }
    /// Ends a partition. The hosts' watches notice later that the store answers again.
    void heal(gg::milliseconds noticed_after) {
        for (const auto& host : this->hosts) {
            host->links.unreachable.clear();
            host->separated.clear();
            host->links.store_lost = false;
            this->loop.call_after(noticed_after,
                                  [&part = *host->part] { part.set_store_reachable(true); });
        }
        this->run_for(noticed_after + 1ms);
    }
    int grants_of(const std::string& server) { return this->orders.grants[gg::server_id(server)]; }

    std::uint64_t term() const {
        // A fence consists of the term number and a 24-bit counter.
        return (this->orders.highest_fence.value() >> 24U) & 0xFFFFFU;
    }

    /// Index of the only coordinating host; -1 if there is none or more than one.
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

// Guards against keys that stay with servers of an evacuated data centre, and against other hosts
// that do not learn of the evacuation because the store does not answer them.
BOOST_AUTO_TEST_CASE(keys_leave_an_evacuated_data_centre) {
    coordination_fixture test;
    test.change_server("b", "far", 0ms, 2);
    test.add_hosts(2);
    test.run_for(2'500ms);
    BOOST_REQUIRE(test.coordinating() >= 0);
    BOOST_TEST(test.has_keys("a"));
    BOOST_TEST(test.has_keys("b"));
    auto& leader = *test.hosts[static_cast<std::size_t>(test.coordinating())];
    auto& other = *test.hosts[static_cast<std::size_t>(1 - test.coordinating())];
    apply(leader.evacuations, {{gg::data_centre_id("far"), true, at(7)}}, wire::event_loop::now());
    leader.part->set_evacuations(leader.evacuations);
    test.run_for(700ms);
    BOOST_TEST(!test.has_keys("b"));
    BOOST_TEST(test.has_keys("a"));
    BOOST_TEST(test.orders.releases > 0);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(evacuated_since(other.evacuations, gg::data_centre_id("far")).has_value());
}

// Guards against owners in regions to which requests for their keys may not be sent, after the
// configuration has changed.
BOOST_AUTO_TEST_CASE(keys_move_to_the_regions_of_their_routes) {
    coordination_fixture test;
    test.change_server("a", "dc", 0ms, 2);
    test.change_server("b", "far", 0ms, 3);
    test.add_hosts(1);
    test.run_for(2'500ms);
    BOOST_REQUIRE(test.coordinating() == 0);
    BOOST_TEST(test.has_keys("b"));
    test.hosts.front()->set_catalogue({gg::region_id("home")});
    test.run_for(700ms);
    BOOST_TEST(!test.has_keys("b"));
    BOOST_TEST(test.stored_owner_is("a"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
}

// Guards against owned keys that flood a server which has become cold again, and against an
// allowance that no host gets, or two hosts at once.
BOOST_AUTO_TEST_CASE(keys_leave_a_cold_server_and_one_host_gets_its_allowance) {
    coordination_fixture test;
    test.add_hosts(2);
    test.run_for(2'500ms);
    BOOST_REQUIRE(test.coordinating() >= 0);
    BOOST_TEST(test.has_keys("b"));
    // A new coordinator lends nothing until the loans of an earlier one have ended.
    test.run_for(3'500ms);
    test.change_server("b", "", 3s, 2);
    const ranges::server_instance cold{gg::server_id("b"), 1};
    test.run_for(900ms);
    BOOST_TEST(!test.has_keys("b"));
    const auto holders =
        std::count_if(test.hosts.begin(), test.hosts.end(),
                      [&cold](const auto& host) { return host->loan_ends.contains(cold); });
    BOOST_TEST(holders == 1);
    // The allowance is lent no longer once the server is warm.
    test.run_for(3'300ms);
    for (const auto& host : test.hosts) {
        host->loan_ends.clear();
    }
    test.run_for(1'000ms);
    BOOST_TEST(std::none_of(test.hosts.begin(), test.hosts.end(),
                            [&cold](const auto& host) { return host->loan_ends.contains(cold); }));
    BOOST_TEST(test.has_keys("a"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
}

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
    // A configured host with a port is found like one without.
    content.routes.front().host = "With-Port.example:8080";
    index_routes(content);
    BOOST_TEST((find_route(content, "with-port.example", "/a/b/c/d/e") != nullptr));
}

BOOST_AUTO_TEST_CASE(services_are_chosen_by_weight) {
    gateway::route made;
    made.services = {{gg::service_id("a"), 90}, {gg::service_id("b"), 10}};
    BOOST_TEST(choose_service(made, 0.0).value() == "a");
    BOOST_TEST(choose_service(made, 0.899).value() == "a");
    BOOST_TEST(choose_service(made, 0.901).value() == "b");
}

// Guards against removing servers whose registration lapsed because the store was unavailable, and
// against using them after the time in which they could have renewed it.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_kept_after_an_outage) {
    gateway::directory servers{gateway::directory_settings{}};
    gateway::server_entry entry;
    entry.life = {gg::server_id("s"), 1};
    servers.replace({{entry.life.id, entry, at(1)}}, at(1), start);
    servers.note_store_recovered(start + 10s);
    servers.replace({}, at(2), start + 10s);
    BOOST_TEST(servers.awaits_reregistration(gg::server_id("s")));
    BOOST_TEST(!servers.expire(start + 11s));
    BOOST_TEST((servers.find(gg::server_id("s")) != nullptr));
    BOOST_TEST(servers.expire(start + 12s));
    BOOST_TEST((servers.find(gg::server_id("s")) == nullptr));

    servers.replace({{entry.life.id, entry, at(3)}}, at(3), start + 20s);
    servers.apply({{gg::server_id("s"), std::nullopt, at(4)}}, at(4), start + 21s);
    BOOST_TEST((servers.find(gg::server_id("s")) == nullptr));
}

// Guards against hosts that miss a server's start or end because the coordinator sends them only
// the changes after their version, and against an old message that overwrites a newer one.
BOOST_AUTO_TEST_CASE(changes_of_the_directory_reach_another_one) {
    const auto entry = [](const std::string& id) {
        gateway::server_entry made;
        made.life = {gg::server_id(id), 1};
        made.warmup_left = 3s;
        return made;
    };
    const auto change = [&entry](const std::string& id, std::uint64_t version) {
        return gateway::server_change{gg::server_id(id), entry(id), at(version)};
    };
    gateway::directory first{gateway::directory_settings{}};
    gateway::directory second{gateway::directory_settings{}};
    first.replace({change("a", 3), change("b", 5)}, at(10), start);
    second.replace({change("a", 3), change("b", 5)}, at(12), start);
    BOOST_TEST(!first.changes_since(at(9), start).has_value());
    // The other directory has a newer version.
    BOOST_REQUIRE(first.changes_since(at(12), start).has_value());
    BOOST_TEST(first.changes_since(at(12), start)->changes.empty());

    first.apply({{gg::server_id("a"), std::nullopt, at(14)}, change("c", 15)}, at(15), start);
    const auto update = first.changes_since(second.version(), start);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->changes.size() == 2U);
    second.apply(*update, start);
    BOOST_CHECK(second.version() == at(15));
    BOOST_TEST((second.find(gg::server_id("a")) == nullptr));
    BOOST_TEST((second.find(gg::server_id("c")) != nullptr));
    second.apply({change("a", 3), {gg::server_id("c"), std::nullopt, at(13)}}, at(13), start);
    BOOST_TEST((second.find(gg::server_id("a")) == nullptr));
    BOOST_TEST((second.find(gg::server_id("c")) != nullptr));

    // A new server writes its remaining warm-up with each heartbeat; that alone is not a change.
    gateway::server_change warmer = change("c", 16);
    warmer.entry->warmup_left = 2s;
    first.apply({warmer}, at(16), start);
    BOOST_TEST(first.changes_since(at(15), start)->changes.empty());
}

// Guards against sending a server that has become cold again as much as a warm one, because its
// entry differs from the known one in nothing else.
BOOST_AUTO_TEST_CASE(server_that_becomes_cold_again_is_a_change) {
    gateway::directory servers{gateway::directory_settings{}};
    gateway::directory other{gateway::directory_settings{}};
    const auto stated = [](gg::milliseconds left, std::uint64_t version) {
        gateway::server_entry made;
        made.life = {gg::server_id("a"), 1};
        made.warmup_left = left;
        return gateway::server_change{made.life.id, made, at(version)};
    };
    servers.replace({stated(3s, 1)}, at(1), start);
    other.replace({stated(3s, 1)}, at(1), start);
    BOOST_CHECK(servers.cold_until(gg::server_id("a")) == start + 3s);
    servers.apply({stated(0s, 2)}, at(2), start + 4s);
    BOOST_TEST(servers.changes_since(at(1), start + 4s)->changes.empty());
    servers.apply({stated(3s, 3)}, at(3), start + 10s);
    BOOST_CHECK(servers.cold_until(gg::server_id("a")) == start + 13s);
    const auto update = servers.changes_since(at(1), start + 10s);
    BOOST_REQUIRE(update->changes.size() == 1U);
    other.apply(*update, start + 10s);
    BOOST_CHECK(other.cold_until(gg::server_id("a")) == start + 13s);
    // A host that hears of it late does not take the server for cold once more.
    gateway::directory late{gateway::directory_settings{}};
    late.replace({stated(0s, 1)}, at(1), start);
    late.apply(*servers.changes_since(at(1), start + 30s), start + 30s);
    BOOST_CHECK(late.cold_until(gg::server_id("a")) <= start + 30s);
    // The same entry by another path, or once more, is no new coldness.
    other.apply(*update, start + 12s);
    BOOST_CHECK(other.cold_until(gg::server_id("a")) == start + 13s);
}

// Guards against requests to a server that leaves, or has left, after the store came back from a
// copy in which it is still ready.
BOOST_AUTO_TEST_CASE(restored_entries_do_not_bring_leaving_servers_back) {
    gateway::directory servers{gateway::directory_settings{}};
    const auto change = [](const std::string& id, std::uint64_t sequence, bool draining,
                           const gateway::store_version& version) {
        gateway::server_entry entry;
        entry.life = {gg::server_id(id), 1};
        entry.sequence = sequence;
        entry.draining = draining;
        return gateway::server_change{entry.life.id, entry, version};
    };
    const gg::server_id leaving("leaving");
    const gg::server_id left("left");
    const gg::server_id alive("alive");
    servers.replace({change("leaving", 1, false, {1, 1}), change("left", 1, false, {1, 2}),
                     change("alive", 1, false, {1, 3})},
                    {1, 3}, start);
    servers.apply({change("leaving", 30, true, {1, 10}),
                   {left, std::nullopt, {1, 11}},
                   {alive, std::nullopt, {1, 12}}},
                  {1, 12}, start);
    // The copy of version 3 comes back.
    servers.note_store_recovered(start);
    servers.replace({change("leaving", 1, false, {2, 1}), change("left", 1, false, {2, 2}),
                     change("alive", 1, false, {2, 3})},
                    {2, 4}, start);
    BOOST_REQUIRE(servers.find(leaving) != nullptr);
    BOOST_TEST(servers.find(leaving)->draining);
    BOOST_TEST((servers.find(left) == nullptr));
    BOOST_TEST((servers.find(alive) == nullptr));
    // The store removes the entry of the server that has ended, and keeps that of the other one.
    servers.apply({{left, std::nullopt, {2, 9}}}, {2, 9}, start + 3s);
    BOOST_TEST(servers.expire(start + 4s));
    BOOST_TEST((servers.find(left) == nullptr));
    BOOST_TEST((servers.find(alive) != nullptr));
    // A new instance under the same id counts at once, and so does a later report.
    gateway::server_change restarted = change("leaving", 1, false, {2, 10});
    restarted.entry->life.start_time_ms = 2;
    servers.apply({restarted, change("left", 2, false, {2, 11})}, {2, 11}, start + 5s);
    BOOST_TEST(!servers.find(leaving)->draining);
    BOOST_TEST((servers.find(left) != nullptr));
}

// Guards against a host that removes a lapsed entry because only the coordinator, not the host
// itself, has noticed the outage of the store.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_kept_by_other_hosts_too) {
    gateway::server_entry entry;
    entry.life = {gg::server_id("s"), 1};
    gateway::directory first{gateway::directory_settings{}};
    gateway::directory second{gateway::directory_settings{}};
    first.replace({{entry.life.id, entry, at(1)}}, at(1), start);
    second.replace({{entry.life.id, entry, at(1)}}, at(1), start);
    first.note_store_recovered(start + 10s);
    first.apply({{entry.life.id, std::nullopt, at(2)}}, at(2), start + 10s);
    const auto update = first.changes_since(at(1), start + 10'500ms);
    BOOST_REQUIRE(update.has_value());
    second.apply(*update, start + 10'500ms);
    BOOST_TEST(second.awaits_reregistration(entry.life.id));
    BOOST_TEST(!second.expire(start + 11'800ms));
    BOOST_TEST(second.expire(start + 12s));
}

// Guards against a directory that has dropped old removals, but still sends changes since a version
// before them as if they were complete.
BOOST_AUTO_TEST_CASE(dropped_removals_are_not_skipped) {
    gateway::directory_settings few;
    few.max_removed = 2;
    gateway::directory servers{few};
    servers.replace({}, at(1), start);
    for (std::uint64_t version = 2; version < 6; ++version) {
        servers.apply({{gg::server_id("s" + std::to_string(version)), std::nullopt, at(version)}},
                      at(version), start);
    }
    BOOST_TEST(!servers.changes_since(at(2), start).has_value());
    BOOST_REQUIRE(servers.changes_since(at(3), start).has_value());
    BOOST_TEST(servers.changes_since(at(3), start)->changes.size() == 2U);
}

// Guards against eleven hosts that together overload a server, which never answers requests beyond
// the capacity of its queue.
BOOST_AUTO_TEST_CASE(hosts_together_do_not_overload_a_full_server) {
    constexpr int hosts = 11;
    constexpr int queue_and_slots = 15;
    const gateway::balancer_settings settings;
    gateway::server_state server;
    server.entry.slots = 3;
    record_load(server, {3, 9, 3}, start);
    BOOST_TEST(concurrency_limit(server, hosts, settings, start) * hosts <= queue_and_slots);
}

// Guards against traffic between regions for requests that the caller's region could serve within
// the target latency, and against keeping requests in an overloaded region that others could serve
// in time.
BOOST_AUTO_TEST_CASE(requests_cross_regions_only_to_meet_the_target_latency) {
    const region_simulation_result cheap = simulate_regions(3, 10.0, 0.3);
    const region_simulation_result fast = simulate_regions(3, 10.0, 0.0);
    BOOST_TEST(cheap.crossed * 2 < fast.crossed);
    BOOST_TEST(cheap.in_time >= fast.in_time - fast.sent / 100);
    // The callers of one region send more requests than its servers can run.
    const region_simulation_result overloaded = simulate_regions(3, 30.0, 0.3);
    BOOST_TEST(overloaded.crossed > 0);
    BOOST_TEST(overloaded.in_time * 100 >= overloaded.sent * 95);
}

// Guards against a failing server that keeps receiving its share of the requests.
BOOST_AUTO_TEST_CASE(failing_server_is_paused_and_resumed) {
    const gateway::balancer_settings settings;
    gateway::server_state server;
    for (int count = 0; count < settings.max_consecutive_failures; ++count) {
        BOOST_TEST(is_available(server, start));
        record_answer(server, 10ms, true, settings, start);
    }
    BOOST_TEST(!is_available(server, start));
    BOOST_TEST(is_available(server, start + settings.pause_duration));
}

BOOST_AUTO_TEST_CASE(reports_round_trip_through_json) {
    gateway::host_report report;
    report.host = gg::host_id("h1");
    report.keys[gg::service_id("s")] = {0, 7, 65'535};
    report.speeds[gg::service_id("s")][gg::server_id("i")] = {8.25, 2};
    report.queues[gg::service_id("s")][gg::server_id("i")] = {17, 5};
    report.limits = 9;
    report.leaving = {{gg::server_id("j"), 4}};
    report.losses = {
        {gateway::request_fingerprint(18'446'744'073'709'551'615ULL), {gg::server_id("k"), 5}}};
    report.cleared = {gateway::request_fingerprint(6)};
    report.suspects = 12;
    report.address = wire::endpoint{"10.1.0.10", 7'720};
    report.contacts = 13;
    report.data_centre = gg::data_centre_id("dc");
    report.evacuations = {2, 30};
    report.answer_stamp = 1'700;
    report.told_of_outage = true;
    gateway::host_report read;
    BOOST_REQUIRE(decode(encode(report), read));
    BOOST_TEST(read.host.value() == "h1");
    BOOST_TEST(read.keys.at(gg::service_id("s")).size() == 3U);
    BOOST_TEST(read.speeds.at(gg::service_id("s")).at(gg::server_id("i")).sum_log_ms == 8.25);
    BOOST_TEST(read.speeds.at(gg::service_id("s")).at(gg::server_id("i")).count == 2);
    BOOST_TEST(read.queues.at(gg::service_id("s")).at(gg::server_id("i")).sum == 17);
    BOOST_TEST(read.queues.at(gg::service_id("s")).at(gg::server_id("i")).count == 5);
    BOOST_TEST(read.limits == 9U);
    BOOST_REQUIRE(read.leaving.size() == 1U);
    BOOST_TEST(read.leaving.front().start_time_ms == 4U);
    BOOST_REQUIRE(read.losses.size() == 1U);
    BOOST_CHECK(read.losses.front().content == report.losses.front().content);
    BOOST_CHECK(read.losses.front().server == report.losses.front().server);
    BOOST_CHECK(read.cleared == report.cleared);
    BOOST_TEST(read.suspects == 12U);
    BOOST_CHECK(read.address == report.address);
    BOOST_TEST(read.contacts == 13U);
    BOOST_TEST(read.data_centre.value() == "dc");
    BOOST_CHECK((read.evacuations == gateway::store_version{2, 30}));
    BOOST_TEST(read.answer_stamp == 1'700U);
    BOOST_TEST(read.told_of_outage);
    gateway::report_answer answer;
    answer.term = 4;
    answer.stamp = 1'800;
    answer.catalogue = {2, 31};
    answer.catalogue_age = 430ms;
    answer.term_age = 1'200ms;
    answer.contacts = {{"10.1.0.10", 7'720}, {"10.2.0.10", 7'720}};
    answer.evacuations = {{gg::data_centre_id("dc"), true, {2, 30}}};
    answer.loans = {{{gg::server_id("i"), 5}, 4.1, 1'200ms}};
    answer.suspects = gateway::suspects_update{
        7, {{gateway::request_fingerprint(3), 4, 90s}}, {gateway::request_fingerprint(5)}};
    answer.limits = gateway::limits_update{
        7, {{gg::service_id("s"), {{{8, 11}, 0.25}, {{65'532, 65'535}, 0.00001}}}}};
    answer.owners[gg::service_id("s")] = {
        3, true, {{{0, 9}, {gg::server_id("a"), 1}}, {{10, 65'535}, {gg::server_id("b"), 2}}}};
    gateway::report_answer read_answer;
    BOOST_REQUIRE(decode(encode(answer), read_answer));
    BOOST_CHECK((read_answer.catalogue == gateway::store_version{2, 31}));
    BOOST_CHECK(read_answer.catalogue_age == 430ms);
    BOOST_CHECK(read_answer.term_age == 1'200ms);
    BOOST_TEST(read_answer.stamp == 1'800U);
    BOOST_CHECK(read_answer.contacts == answer.contacts);
    BOOST_REQUIRE(read_answer.evacuations.size() == 1U);
    BOOST_TEST(read_answer.evacuations.front().data_centre.value() == "dc");
    BOOST_TEST(read_answer.evacuations.front().evacuated);
    BOOST_CHECK((read_answer.evacuations.front().version == gateway::store_version{2, 30}));
    BOOST_REQUIRE(read_answer.loans.size() == 1U);
    BOOST_CHECK(
        (read_answer.loans.front().server == ranges::server_instance{gg::server_id("i"), 5}));
    BOOST_TEST(read_answer.loans.front().requests_per_s == 4.1);
    BOOST_CHECK(read_answer.loans.front().valid_for == 1'200ms);
    BOOST_REQUIRE(read_answer.suspects.has_value());
    BOOST_TEST(read_answer.suspects->version == 7U);
    BOOST_REQUIRE(read_answer.suspects->requests.size() == 1U);
    BOOST_CHECK(read_answer.suspects->requests.front().content == gateway::request_fingerprint(3));
    BOOST_TEST(read_answer.suspects->requests.front().losses == 4U);
    BOOST_CHECK(read_answer.suspects->requests.front().remaining == 90s);
    BOOST_CHECK(read_answer.suspects->cleared == answer.suspects->cleared);
    BOOST_REQUIRE(read_answer.limits.has_value());
    BOOST_TEST(read_answer.limits->version == 7U);
    const auto& limits = read_answer.limits->limits.at(gg::service_id("s"));
    BOOST_REQUIRE(limits.size() == 2U);
    BOOST_CHECK((limits[0].keys == ranges::key_range{8, 11}));
    BOOST_TEST(limits[0].fraction == 0.25);
    // A fraction of 0 would keep a key without service.
    BOOST_TEST(limits[1].fraction == 0.0001);
    BOOST_TEST(read_answer.owners.at(gg::service_id("s")).version == 3U);
    BOOST_TEST(read_answer.owners.at(gg::service_id("s")).ranges[1].owner.id.value() == "b");
    gateway::server_entry entry;
    entry.life = {gg::server_id("i-1"), 1'760'000'000'123};
    entry.service = gg::service_id("s");
    entry.address = {"10.1.0.7", 8'080};
    entry.data_centre = gg::data_centre_id("dc");
    entry.slots = 3;
    entry.draining = true;
    entry.sequence = 12;
    entry.warmup_left = 1'200ms;
    answer.servers = gateway::directory_update{
        {2, 9},
        40ms,
        700ms,
        {{entry.life.id, entry, {2, 8}}, {gg::server_id("i-2"), std::nullopt, {2, 9}}}};
    BOOST_REQUIRE(decode(encode(answer), read_answer));
    BOOST_REQUIRE(read_answer.servers.has_value());
    BOOST_CHECK((read_answer.servers->version == gateway::store_version{2, 9}));
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
    BOOST_TEST(read_entry.sequence == 12U);
    BOOST_CHECK(read_entry.warmup_left == 1'200ms);
    BOOST_TEST(!read_answer.servers->changes[1].entry.has_value());
    BOOST_CHECK((read_answer.servers->changes[1].version == gateway::store_version{2, 9}));
    std::string spoiled = encode(answer);
    spoiled.replace(spoiled.find("8080"), 4, "88080");
    BOOST_TEST(!decode(spoiled, read_answer));
    // A complete table that does not cover all keys must be rejected.
    answer.owners[gg::service_id("s")].ranges.pop_back();
    BOOST_TEST(!decode(encode(answer), read_answer));
    BOOST_TEST(!decode("{}", answer));
    BOOST_TEST(!decode("{\"host\":\"a\",\"keys\":{\"s\":[70000]}}", read));
}

// Guards against times and limits that overflow because another host sends on a number without
// bounds.
BOOST_AUTO_TEST_CASE(relayed_numbers_out_of_range_are_bounded) {
    const auto relayed = [](const std::string& number) {
        const std::string text =
            R"({"coordinating":true,"has_store":true,"hosts":2,"term":4,"servers":{"version":9,)"
            R"("age":#,"regained_before":#,"changes":[["i-1",8,5,"s","10.1.0.7",80,"dc",#,false,#]]}})";
        std::string filled;
        for (const char c : text) {
            filled += c == '#' ? number : std::string(1, c);
        }
        gateway::report_answer answer;
        BOOST_REQUIRE(decode(filled, answer));
        return *answer.servers;
    };
    for (const char* number :
         {"18446744073709551615", "9223372036854775808", "9223372036854775807", "4294967296"}) {
        BOOST_TEST_CONTEXT(number) {
            const gateway::directory_update update = relayed(number);
            BOOST_CHECK(update.age == 24h);
            BOOST_CHECK(update.regained_before == gg::milliseconds(24h));
            BOOST_TEST(update.changes[0].entry->slots == gateway::max_server_slots);
            BOOST_CHECK(update.changes[0].entry->warmup_left == gateway::max_warmup);
        }
    }
    BOOST_CHECK(relayed("700").age == 700ms);
    BOOST_TEST(relayed("700").changes[0].entry->slots == 700);
}

// Guards against odd bytes in a report of another host, or in its answer, that end the process or
// that cannot be passed on.
BOOST_AUTO_TEST_CASE(mutated_reports_are_read_or_refused) {
    gateway::host_report report;
    report.host = gg::host_id("h");
    report.term = 3;
    report.servers = {1, 9};
    report.keys[gg::service_id("s")] = {1, 65'535};
    report.speeds[gg::service_id("s")][gg::server_id("a")] = {4.5, 3};
    report.ended.push_back({gg::server_id("a"), 7});
    report.owners[gg::service_id("s")] = 2;
    report.limits = 3;
    report.losses = {{gateway::request_fingerprint(7), {gg::server_id("a"), 7}}};
    report.cleared = {gateway::request_fingerprint(8)};
    report.suspects = 3;
    report.address = wire::endpoint{"10.1.0.10", 7'720};
    report.queues[gg::service_id("s")][gg::server_id("a")] = {12, 4};
    gateway::report_answer answer;
    answer.coordinating = true;
    answer.term = 3;
    answer.catalogue = {1, 5};
    answer.catalogue_age = 90ms;
    answer.term_age = 90ms;
    answer.contacts = {{"10.1.0.10", 7'720}};
    answer.suspects = gateway::suspects_update{
        3, {{gateway::request_fingerprint(7), 3, 100s}}, {gateway::request_fingerprint(8)}};
    answer.limits = gateway::limits_update{3, {{gg::service_id("s"), {{{8, 11}, 0.25}}}}};
    answer.owners[gg::service_id("s")] = {2, true, {{{0, 65'535}, {gg::server_id("a"), 7}}}};
    gateway::server_entry entry;
    entry.life = {gg::server_id("a"), 7};
    entry.service = gg::service_id("s");
    answer.servers = gateway::directory_update{
        {1, 9},
        40ms,
        700ms,
        {{gg::server_id("a"), entry, {1, 8}}, {gg::server_id("b"), {}, {1, 9}}}};
    constexpr int mutations = 10'000;
    std::mt19937_64 random(20'261'208);
    int read = 0;
    for (int count = 0; count < mutations; ++count) {
        const std::string report_text = gg::testing::mutated(encode(report), random);
        gateway::host_report read_report;
        if (decode(report_text, read_report)) {
            ++read;
            BOOST_REQUIRE_MESSAGE(decode(encode(read_report), read_report), report_text);
        }
        const std::string answer_text = gg::testing::mutated(encode(answer), random);
        gateway::report_answer read_answer;
        if (decode(answer_text, read_answer)) {
            ++read;
            BOOST_REQUIRE_MESSAGE(decode(encode(read_answer), read_answer), answer_text);
        }
    }
    BOOST_TEST(read > mutations / 100);
    BOOST_TEST(read < 2 * mutations);
}

// Guards against a request that is altered on the way: path, the caller's headers and id reach the
// server unchanged, with the remaining time and the id of the expected server.
BOOST_AUTO_TEST_CASE(request_is_forwarded_exactly) {
    front_fixture test;
    fake_server server(test.loop, [](const auto& asked) { reply(asked, 200, "body", true); });
    test.add("s1", "plain", server.address());
    const auto answer = test.ask("GET", "/safe/a%2Fb/..//c?q=%2f");
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

// Guards against running an unsafe request twice after its response was lost, and against reporting
// it as not run.
BOOST_AUTO_TEST_CASE(unsafe_request_is_not_repeated_after_a_lost_answer) {
    front_fixture test;
    int runs = 0;
    wire::listener closing_server(test.loop, [&runs](const std::shared_ptr<wire::stream>& opened) {
        wire::stream_handlers handlers;
        handlers.data = [&runs, opened](std::string_view) {
            ++runs;
            opened->close();
        };
        opened->set_handlers(std::move(handlers));
    });
    BOOST_REQUIRE(!closing_server.open({"127.0.0.1", 0}));
    test.add("s1", "plain", {"127.0.0.1", closing_server.port()});
    BOOST_TEST(test.ask("POST", "/unsafe/x").message.code == 502);
    BOOST_TEST(runs == 1);
}

// Guards against a faulty server that is asked again at once, and sends its bytes without end each
// time.
BOOST_AUTO_TEST_CASE(server_that_sends_bytes_without_end_is_paused) {
    front_fixture test;
    int connections = 0;
    const std::string block(65'536, 'x');
    std::vector<std::shared_ptr<wire::stream>> opened;
    wire::listener endless(test.loop, [&](std::shared_ptr<wire::stream> accepted) {
        ++connections;
        wire::stream_handlers handlers;
        handlers.data = [&block, stream = accepted.get()](std::string_view) {
            stream->write("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
            stream->write(block);
        };
        handlers.drained = [&block, stream = accepted.get()] { stream->write(block); };
        accepted->set_handlers(std::move(handlers));
        opened.push_back(std::move(accepted));
    });
    BOOST_REQUIRE(!endless.open({"127.0.0.1", 0}));
    test.add("s1", "plain", {"127.0.0.1", endless.port()});
    BOOST_TEST(test.ask("POST", "/unsafe/x").message.code == 502);
    BOOST_TEST(test.ask("POST", "/unsafe/x", "300").message.code == 503);
    BOOST_TEST(connections == 1);
}

// Guards against a request that is cut without an answer although its server works on it: the kept
// answer to an earlier request has no length, and passing it on would end the connection of both.
BOOST_AUTO_TEST_CASE(kept_answer_without_length_does_not_end_a_connection_with_other_requests) {
    front_fixture test;
    int first_attempts = 0;
    std::vector<std::shared_ptr<wire::stream>> opened;
    const auto serve = [&](std::shared_ptr<wire::stream> accepted) {
        wire::stream_handlers handlers;
        handlers.data = [&, stream = accepted.get()](std::string_view bytes) {
            if (bytes.find("Own-Id: second") != std::string_view::npos) {
                test.loop.call_after(700ms, [stream] {
                    stream->write(
                        "HTTP/1.1 200 OK\r\nOwn-Id: second\r\nOwn-Signature: s\r\n"
                        "Content-Length: 2\r\n\r\nok");
                });
            } else if (bytes.find("Own-Id: first") == std::string_view::npos) {
                stream->write(
                    "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\n"
                    "Content-Length: 2\r\n\r\nok");
            } else if (++first_attempts == 1) {
                stream->write("HTTP/1.1 500 Bad\r\nOwn-Id: first\r\nOwn-Signature: s\r\n\r\nbad");
                stream->finish();
            }
        };
        accepted->set_handlers(std::move(handlers));
        opened.push_back(std::move(accepted));
    };
    wire::listener one(test.loop, serve);
    wire::listener other(test.loop, serve);
    BOOST_REQUIRE(!one.open({"127.0.0.1", 0}));
    BOOST_REQUIRE(!other.open({"127.0.0.1", 0}));
    test.add("s1", "plain", {"127.0.0.1", one.port()});
    test.add("s2", "plain", {"127.0.0.1", other.port()});
    // The budget grants retries in proportion to first attempts.
    for (int count = 0; count < 40; ++count) {
        BOOST_REQUIRE(test.ask("GET", "/safe/x").message.code == 200);
    }
    std::string received;
    bool ended = false;
    wire::stream_handlers handlers;
    handlers.data = [&received](std::string_view bytes) { received += bytes; };
    handlers.ended = [&ended](wire::stream_end) { ended = true; };
    const auto caller =
        wire::stream::connect(test.loop, {"127.0.0.1", test.entry->port()}, std::move(handlers));
    const auto get = [&caller](const std::string& id, const std::string& deadline) {
        caller->write("GET /safe/x HTTP/1.1\r\nHost: h\r\nOwn-Id: " + id +
                      "\r\nOwn-Deadline: " + deadline + "\r\n\r\n");
    };
    test.loop.call_after(20ms, [&get] { get("first", "500"); });
    test.loop.call_after(120ms, [&get] { get("second", "1500"); });
    test.loop.call_after(1'300ms, [&test] { test.loop.stop(); });
    test.loop.run();
    BOOST_TEST(first_attempts == 2);
    BOOST_TEST(received.rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(received.find("HTTP/1.1 200 OK") != std::string::npos);
    BOOST_TEST(!ended);
}

// Guards against a safe request that fails although another server could run it.
BOOST_AUTO_TEST_CASE(safe_request_is_repeated_at_another_server) {
    front_fixture test;
    fake_server bad(test.loop, [](const auto& asked) { reply(asked, 500, "bad", true); });
    fake_server good(test.loop, [](const auto& asked) { reply(asked, 200, "good", true); });
    test.add("bad", "plain", bad.address());
    test.add("good", "plain", good.address());
    // The budget grants retries in proportion to first attempts.
    int answered = 0;
    for (int count = 0; count < 40; ++count) {
        answered += test.ask("GET", "/safe/x").message.code == 200 ? 1 : 0;
    }
    BOOST_TEST(answered >= 37);
    BOOST_TEST(good.requests > 30);
}

// Guards against forwarding a response without the server's signature as a success.
BOOST_AUTO_TEST_CASE(unsigned_success_is_a_failure) {
    front_fixture test;
    fake_server server(test.loop, [](const auto& asked) { reply(asked, 200, "x", false); });
    test.add("s1", "plain", server.address());
    BOOST_TEST(test.ask("POST", "/unsafe/x").message.code == 502);
}

// Guards against wrongly reporting a request as not run: once it was sent, only the server's
// not-run header allows that.
BOOST_AUTO_TEST_CASE(refusal_of_a_server_is_passed_on_as_not_run) {
    front_fixture test;
    fake_server full(test.loop, [](const auto& asked) { reply(asked, 503, "", false, true); });
    test.add("s1", "plain", full.address());
    const auto refused = test.ask("POST", "/unsafe/x");
    BOOST_TEST(refused.message.code == 503);
    BOOST_TEST((wire::find_header(refused.message.headers, "Retry-After") != nullptr));

    front_fixture test_without_not_run;
    fake_server busy(test_without_not_run.loop,
                     [](const auto& asked) { reply(asked, 503, "", false); });
    test_without_not_run.add("s1", "plain", busy.address());
    BOOST_TEST(test_without_not_run.ask("POST", "/unsafe/x").message.code == 502);
}

// Guards against a refusal that a server writes again before its real answer being taken for the
// answer to a later attempt, which the server runs.
BOOST_AUTO_TEST_CASE(repeated_refusal_does_not_answer_a_later_attempt) {
    // Answered requests before, which fill the retry budget.
    constexpr int answered_before = 40;
    for (const std::string target : {"/safe/x", "/unsafe/x", "/keys/x", "/unsafe-keys/x"}) {
        for (const int code : {421, 429, 503}) {
            front_fixture test;
            std::map<std::size_t, std::string> refused;
            int asked_before = 0;
            int runs = 0;
            scripted_server server(
                test.loop, [&](const wire::request& asked, std::size_t connection) {
                    const std::string id = *wire::find_header(asked.headers, "Own-Id");
                    if (asked_before < answered_before) {
                        ++asked_before;
                        return answer_bytes(id, "before");
                    }
                    if (refused.empty()) {
                        return refused[connection] = refusal_bytes(code, id);
                    }
                    ++runs;
                    return refused[connection] + answer_bytes(id, "ran");
                });
            // Attempts at an undivided service may go to any server; all are the same peer.
            test.add("s1", "plain", server.address());
            test.add("s2", "plain", server.address());
            test.add("s3", "keys", server.address());
            test.set_owner("s3");
            for (int count = 0; count < answered_before; ++count) {
                test.ask("POST", target, "1000", "5");
            }
            const auto result = test.ask("POST", target, "1000", "5");
            BOOST_TEST(result.message.code == 200, target << " " << code);
            BOOST_TEST(result.message.body == "ran", target << " " << code);
            BOOST_TEST(runs == 1, target << " " << code);
        }
    }
}

// Guards against a refusal that a server writes again on a connection that has carried another
// request since.
BOOST_AUTO_TEST_CASE(refusal_repeated_after_another_request_is_not_an_answer) {
    front_fixture test;
    std::string refused;
    std::size_t refusing_connection = 0;
    std::size_t other_connection = 0;
    int runs = 0;
    scripted_server server(test.loop, [&](const wire::request& asked, std::size_t connection) {
        const std::string id = *wire::find_header(asked.headers, "Own-Id");
        if (id == "other") {
            other_connection = connection;
            return answer_bytes(id, "other");
        }
        if (refused.empty()) {
            refusing_connection = connection;
            return refused = refusal_bytes(421, id);
        }
        ++runs;
        return (connection == refusing_connection ? refused : "") + answer_bytes(id, "ran");
    });
    test.add("s1", "keys", server.address());
    test.front->set_owners(gg::service_id("keys"),
                           ranges::range_table{{{{0, 99}, {gg::server_id("s1"), 1}},
                                                {{100, 65'535}, {gg::server_id("s1"), 1}}}});
    wire::client callers(test.loop, {});
    std::string other;
    test.loop.call_after(25ms, [&] {
        wire::request message;
        message.method = "POST";
        message.target = "/unsafe-keys/y";
        message.headers = {
            {"Host", "h"}, {"Own-Id", "other"}, {"Own-Deadline", "900"}, {"Own-Key", "200"}};
        callers.send({"127.0.0.1", test.entry->port()}, message, {},
                     [&other](const wire::call_result& outcome) { other = outcome.message.body; });
    });
    const auto result = test.ask("POST", "/unsafe-keys/x", "1000", "5");
    BOOST_TEST(result.message.body == "ran");
    BOOST_TEST(runs == 1);
    BOOST_TEST(other == "other");
    // The connection stays available to requests that were not refused on it.
    BOOST_TEST(other_connection == refusing_connection);
    BOOST_TEST(server.connections() == 2U);
}

// Guards against a refusal that names no request being taken for a proof that this one has not run.
BOOST_AUTO_TEST_CASE(refusal_without_an_id_proves_nothing) {
    for (const std::string target : {"/unsafe/x", "/unsafe-keys/x"}) {
        for (const int code : {408, 421, 429, 503}) {
            front_fixture test;
            int arrivals = 0;
            scripted_server server(test.loop, [&](const wire::request& asked, std::size_t) {
                ++arrivals;
                return refusal_bytes(code, "") +
                       answer_bytes(*wire::find_header(asked.headers, "Own-Id"), "ran");
            });
            test.add("s1", "plain", server.address());
            test.add("s2", "plain", server.address());
            test.add("s3", "keys", server.address());
            test.set_owner("s3");
            BOOST_TEST(test.ask("POST", target, "1000", "5").message.code == 502,
                       target << " " << code);
            BOOST_TEST(arrivals == 1, target << " " << code);
        }
    }
}

// Guards against requests for a hot key that overrun its owner or wait for their deadline: what is
// beyond this host's part must be refused at once, with a time to return, and nothing else.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_of_a_key_are_refused_at_once) {
    front_fixture test;
    fake_server owner(test.loop, [](const std::shared_ptr<wire::incoming>& asked) {
        reply(asked, 200, "", true);
    });
    test.add("s1", "keys", owner.address());
    test.set_owner("s1");
    const gateway::limits_update update{1, {{gg::service_id("keys"), {{{8, 11}, 0.25}}}}};
    test.front->set_limits(update, wire::event_loop::now());
    int served = 0;
    constexpr int requests = 40;
    for (int count = 0; count < requests; ++count) {
        const gg::time_point before = wire::event_loop::now();
        const auto result = test.ask("GET", "/keys/x", "1000", "9");
        BOOST_CHECK(wire::event_loop::now() - before < 75ms);
        if (result.message.code == 200) {
            ++served;
            continue;
        }
        BOOST_TEST(result.message.code == 503);
        const std::string* back = wire::find_header(result.message.headers, "Retry-After");
        BOOST_REQUIRE(back != nullptr);
        BOOST_TEST(std::stod(*back) >= 0.45);
        BOOST_TEST(std::stod(*back) <= 0.9);
        // The limit is stated again and again.
        test.front->set_limits(update, wire::event_loop::now());
    }
    BOOST_TEST(std::abs(served - requests / 4) <= 1);
    BOOST_TEST(owner.requests == served);
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "12").message.code == 200);
    // A more urgent request is sent in advance of the next one.
    test.front->set_limits({2, {{gg::service_id("keys"), {{{8, 11}, 0.0001}}}}},
                           wire::event_loop::now());
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "9").message.code == 503);
    BOOST_TEST(test.ask("POST", "/unsafe-keys/x", "1000", "9").message.code == 200);
    BOOST_TEST(test.ask("POST", "/unsafe-keys/x", "1000", "9").message.code == 503);
    // Without a coordinator that states it again, the limit ends.
    test.loop.call_after(3'100ms, [&test] { test.loop.stop(); });
    test.loop.run();
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "9").message.code == 200);
}

// Guards against a response of another request, or a copy that a server sends late, which reaches
// the next caller because nothing in it tells whose answer it is.
BOOST_AUTO_TEST_CASE(response_without_an_id_is_no_answer) {
    for (const int status : {200, 404, 500}) {
        front_fixture test;
        fake_server nameless(test.loop, [status](const std::shared_ptr<wire::incoming>& asked) {
            wire::response message;
            message.code = status;
            message.reason = "Reason";
            message.headers = {{"Own-Signature", "s"}};
            message.body = "of somebody else";
            asked->answer(std::move(message));
        });
        test.add("s1", "plain", nameless.address());
        const auto once = test.ask("POST", "/unsafe/x");
        BOOST_TEST(once.message.code == 502);
        BOOST_TEST(once.message.body.empty());
        fake_server sound(test.loop, [](const std::shared_ptr<wire::incoming>& asked) {
            reply(asked, 200, "own", true);
        });
        test.add("s2", "plain", sound.address());
        for (int count = 0; count < 4; ++count) {
            BOOST_TEST(test.ask("GET", "/safe/x").message.body == "own");
        }
    }
}

// Guards against telling a caller that its request has not run, although the server did not say so:
// the caller would send it again, and it would run twice.
BOOST_AUTO_TEST_CASE(refusal_without_proof_is_not_passed_on) {
    for (const int status : {408, 421, 429, 503}) {
        front_fixture test;
        fake_server server(test.loop, [status](const std::shared_ptr<wire::incoming>& asked) {
            reply(asked, status, "", true);
        });
        test.add("s1", "plain", server.address());
        BOOST_TEST(test.ask("POST", "/unsafe/x").message.code == 502);
        BOOST_TEST(server.requests == 1);
        BOOST_TEST(test.ask("GET", "/safe/x").message.code == 502);
    }
}

// Guards against a host that uses a server which has been leaving for long: a host that starts, or
// starts again, finds it as leaving in its first reading and cannot know since when.
BOOST_AUTO_TEST_CASE(owner_found_leaving_at_the_start_gets_no_requests) {
    front_fixture test;
    fake_server leaving(test.loop, [](const std::shared_ptr<wire::incoming>& asked) {
        reply(asked, 200, "", true);
    });
    gateway::server_entry entry;
    entry.life = {gg::server_id("s1"), 1};
    entry.service = gg::service_id("keys");
    entry.address = leaving.address();
    entry.draining = true;
    test.servers.apply({{entry.life.id, entry, {}}}, {}, wire::event_loop::now());
    test.front->set_servers(test.servers, wire::event_loop::now(), wire::event_loop::now());
    test.set_owner("s1");
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "7").message.code == 503);
    BOOST_TEST(leaving.requests == 0);
}

// Guards against an answer that breaks off at any byte, also within its head, and reaches the
// caller as a complete success.
BOOST_AUTO_TEST_CASE(answer_that_breaks_off_is_no_success) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\nX-Long: 0123456789\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    const std::string with_length = head + "Content-Length: 4\r\n\r\nabcd";
    const std::string unframed = head + "\r\n";
    for (const std::string& whole : {with_length, chunked, interim + with_length, unframed}) {
        front_fixture test;
        std::size_t kept = 0;
        wire::listener listening(test.loop, [&](const std::shared_ptr<wire::stream>& opened) {
            wire::stream_handlers handlers;
            handlers.data = [&, opened](std::string_view) {
                opened->write(whole.substr(0, kept));
                opened->finish();
            };
            opened->set_handlers(std::move(handlers));
        });
        BOOST_REQUIRE(!listening.open({"127.0.0.1", 0}));
        test.add("s1", "plain", {"127.0.0.1", listening.port()});
        for (kept = 0; kept < whole.size(); ++kept) {
            // Failures pause a server; a new instance has none.
            test.servers.replace({}, {}, wire::event_loop::now());
            test.front->set_servers(test.servers, wire::event_loop::now(), wire::event_loop::now());
            test.add("s1", "plain", {"127.0.0.1", listening.port()});
            const auto result = test.ask("POST", "/unsafe/x");
            BOOST_TEST(result.message.code == 502, "after " << kept << " bytes of " << whole);
        }
        test.add("s1", "plain", {"127.0.0.1", listening.port()});
        const auto result = test.ask("POST", "/unsafe/x");
        BOOST_TEST(result.message.code == 200);
        // Without a length, the caller sees the end of the body by the end of the connection.
        const bool framed = wire::find_header(result.message.headers, "Content-Length") != nullptr;
        BOOST_TEST(framed == (whole != unframed));
    }
}

// Guards against loads that are out of range or followed by other text, which would overflow sums
// or let a server appear to have room.
BOOST_AUTO_TEST_CASE(odd_loads_are_ignored) {
    for (const char* load : {"-1,0,3", "1,2147483647,3", "1,2,3x", "1,2", "", "1,2,3,", "1,2,3,x",
                             "1,2,3,4x", "1,2,3,0", "1,2,3,-4", "1,2,3,2147483647", "1,2,-3",
                             "2147483647,2147483647,1", "1,2,0"}) {
        BOOST_TEST(!gateway::parse_load(load).has_value(), load);
    }
    BOOST_REQUIRE(gateway::parse_load("1,2,3").has_value());
    BOOST_TEST(gateway::parse_load("1,2,3")->waiting == 2);
    BOOST_TEST(gateway::parse_load("1,2,3")->work_time_percent == 100);
}

// Guards against losing the whole load of servers that also state how long work takes on their
// machine: hosts would place and limit requests as if nothing were known of these servers.
BOOST_AUTO_TEST_CASE(load_with_work_time_is_read) {
    for (const char* load : {"1,2,3,250", "1,2,3,250,future"}) {
        const auto read = gateway::parse_load(load);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->running == 1);
        BOOST_TEST(read->waiting == 2);
        BOOST_TEST(read->slots == 3);
        BOOST_TEST(read->work_time_percent == 250);
    }
}

// Guards against a load that no host can read without an operator being told.
BOOST_AUTO_TEST_CASE(unreadable_load_is_counted) {
    front_fixture test;
    fake_server server(test.loop, [](const std::shared_ptr<wire::incoming>& asked) {
        wire::response message;
        message.code = 200;
        message.reason = "OK";
        message.headers = {{"Own-Id", "r1"}, {"Own-Signature", "s"}, {"Own-Load", "1;2;3"}};
        asked->answer(std::move(message));
    });
    test.add("s1", "plain", server.address());
    BOOST_TEST(test.ask("GET", "/safe/x").message.code == 200);
    BOOST_TEST(test.ask("GET", "/safe/x").message.code == 200);
    BOOST_TEST(test.numbers.serialise().find("greengagechute_unreadable_loads_total 2") !=
               std::string::npos);
}

// Guards against requests that wait for an owner beyond their deadline, and against losing requests
// that wait while a range moves.
BOOST_AUTO_TEST_CASE(request_waits_for_the_owner_of_its_key) {
    front_fixture test;
    fake_server server(test.loop, [](const auto& asked) { reply(asked, 200, "k", true); });
    test.add("s1", "keys", server.address());
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "5").message.code == 503);
    test.loop.call_after(100ms, [&test] { test.set_owner("s1"); });
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "5").message.code == 200);
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "70000").message.code == 400);
    BOOST_TEST(test.ask("GET", "/keys/x", "1000").message.code == 400);
    BOOST_TEST(test.ask("GET", "/none/x").message.code == 404);
}

// Guards against sending each request for a moving range to the old owner, which has released the
// range and refuses them.
BOOST_AUTO_TEST_CASE(requests_of_a_moving_range_wait_together) {
    front_fixture test;
    fake_server old_owner(test.loop, [](const auto& asked) { reply(asked, 421, "", false, true); });
    fake_server new_owner(test.loop, [](const auto& asked) { reply(asked, 200, "k", true); });
    test.add("s1", "keys", old_owner.address());
    test.add("s2", "keys", new_owner.address());
    test.set_owner("s1");
    wire::client callers(test.loop, {});
    int served = 0;
    for (int count = 0; count < 10; ++count) {
        test.loop.call_after(gg::milliseconds(count * 3), [&test, &callers, &served] {
            wire::request message;
            message.method = "GET";
            message.target = "/keys/x";
            message.headers = {
                {"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "1000"}, {"Own-Key", "5"}};
            callers.send({"127.0.0.1", test.entry->port()}, message, {},
                         [&served](const wire::call_result& outcome) {
                             served += outcome.message.code == 200 ? 1 : 0;
                         });
        });
    }
    test.loop.call_after(45ms, [&test] { test.set_owner("s2"); });
    test.loop.call_after(1'200ms, [&test] { test.loop.stop(); });
    test.loop.run();
    // Another attempt may be in flight besides the first one.
    BOOST_TEST(old_owner.requests <= 3);
    BOOST_TEST(served >= 9);
}

// Guards against sending requests repeatedly to an address that is now used by a server of another
// service.
BOOST_AUTO_TEST_CASE(replaced_server_gets_no_more_requests) {
    front_fixture test;
    fake_server other(test.loop, [](const auto& asked) {
        wire::response message;
        message.code = 421;
        message.reason = "Misdirected Request";
        message.headers = {{"Own-Answering", "s9"}, {"Own-Not-Run", "1"}};
        asked->answer(std::move(message));
    });
    test.add("s1", "keys", other.address());
    test.set_owner("s1");
    for (int count = 0; count < 5; ++count) {
        BOOST_TEST(test.ask("GET", "/keys/x", "150", "5").message.code == 503);
    }
    BOOST_TEST(other.requests == 1);
    const auto ended = test.front->take_ended_servers();
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].id.value() == "s1");
}

// Guards against exceeding the platform's retry budget while an owner refuses requests for a long
// time because it has lost its keys.
BOOST_AUTO_TEST_CASE(refusals_by_an_owner_do_not_multiply_requests) {
    front_fixture test;
    fake_server empty(test.loop, [](const auto& asked) { reply(asked, 421, "", false, true); });
    test.add("s1", "keys", empty.address());
    test.set_owner("s1");
    wire::client callers(test.loop, {});
    constexpr int asked = 200;
    for (int count = 0; count < asked; ++count) {
        test.loop.call_after(gg::milliseconds(count * 10), [&test, &callers] {
            wire::request message;
            message.method = "GET";
            message.target = "/keys/x";
            message.headers = {
                {"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "300"}, {"Own-Key", "5"}};
            callers.send({"127.0.0.1", test.entry->port()}, message, {}, nullptr);
        });
    }
    test.loop.call_after(2'500ms, [&test] { test.loop.stop(); });
    test.loop.run();
    // One request per 60 ms probes the owner; all others wait or are refused.
    BOOST_TEST(empty.requests < 60);
}

// Guards against refusing callers although the retry budget would allow another attempt, and
// against exceeding the budget. The owner sheds every second request.
BOOST_AUTO_TEST_CASE(requests_shed_by_an_owner_are_retried) {
    front_fixture test;
    int arrivals = 0;
    fake_server shedding(test.loop, [&arrivals](const auto& asked) {
        const bool shed = ++arrivals % 2 == 0;
        reply(asked, shed ? 503 : 200, "", !shed, shed);
    });
    test.add("s1", "keys", shedding.address());
    test.set_owner("s1");
    wire::client callers(test.loop, {});
    constexpr int asked = 200;
    int served = 0;
    for (int count = 0; count < asked; ++count) {
        test.loop.call_after(gg::milliseconds(count * 10), [&test, &callers, &served] {
            wire::request message;
            message.method = "POST";
            message.target = "/keys/x";
            message.headers = {
                {"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "900"}, {"Own-Key", "5"}};
            callers.send({"127.0.0.1", test.entry->port()}, message, {},
                         [&served](const wire::call_result& outcome) {
                             served += outcome.message.code == 200 ? 1 : 0;
                         });
        });
    }
    test.loop.call_after(3'000ms, [&test] { test.loop.stop(); });
    test.loop.run();
    const gateway::retry_budget_settings allowance;
    BOOST_TEST(arrivals - asked <= allowance.ratio * asked);
    BOOST_TEST(arrivals - asked >= allowance.ratio * asked / 2);
    BOOST_TEST(served >= asked / 2 + (arrivals - asked) / 2 - 1);
}

// Guards against holding callers until their deadline although no server can serve them, which
// happens if a key's owner ends while the store is unavailable.
BOOST_AUTO_TEST_CASE(keys_long_without_an_owner_are_refused_at_once) {
    front_fixture test;
    test.set_owner("");
    gg::time_point asked = wire::event_loop::now();
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "5").message.code == 503);
    BOOST_CHECK(wire::event_loop::now() - asked > 500ms);
    test.loop.call_after(2'000ms, [&test] { test.loop.stop(); });
    test.loop.run();
    asked = wire::event_loop::now();
    const auto refused = test.ask("GET", "/keys/x", "1000", "5");
    BOOST_TEST(refused.message.code == 503);
    BOOST_CHECK(wire::event_loop::now() - asked < 100ms);
    const std::string* pause = wire::find_header(refused.message.headers, "Retry-After");
    BOOST_REQUIRE(pause != nullptr);
    BOOST_TEST(std::stod(*pause) >= 0.4);
}

// Guards against a response after the deadline, or none at all, if the server does not respond.
BOOST_AUTO_TEST_CASE(request_to_unresponsive_server_fails_at_the_deadline) {
    front_fixture test;
    std::vector<std::shared_ptr<wire::incoming>> kept;
    fake_server silent(test.loop, [&kept](const auto& asked) { kept.push_back(asked); });
    test.add("s1", "plain", silent.address());
    const gg::time_point before = wire::event_loop::now();
    BOOST_TEST(test.ask("POST", "/unsafe/x", "300").message.code == 504);
    BOOST_CHECK(wire::event_loop::now() - before < 600ms);
}

// Guards against losing a finished response at the end of the process because it is queued behind
// an unanswered request on the same connection.
BOOST_AUTO_TEST_CASE(ready_answers_leave_before_the_process_ends) {
    front_fixture test;
    std::vector<std::shared_ptr<wire::incoming>> kept;
    fake_server silent(test.loop, [&kept](const auto& asked) { kept.push_back(asked); });
    fake_server server(test.loop, [](const auto& asked) { reply(asked, 200, "ready", true); });
    test.add("s1", "plain", silent.address());
    test.add("s2", "keys", server.address());
    test.set_owner("s2");
    const std::string fields = "Host: h\r\nOwn-Id: r1\r\nOwn-Deadline: 5000\r\n";
    const raw_connection caller(test.loop, test.entry->port(),
                                "GET /safe/x HTTP/1.1\r\n" + fields +
                                    "\r\nGET /keys/x HTTP/1.1\r\nOwn-Key: 5\r\n" + fields + "\r\n");
    test.loop.call_after(300ms, [&test] {
        BOOST_TEST(test.front->open_requests() == 1U);
        test.front->abort_open_requests(wire::event_loop::now());
        BOOST_TEST(test.front->open_requests() == 0U);
    });
    test.loop.call_after(500ms, [&test] { test.loop.stop(); });
    test.loop.run();
    BOOST_TEST(server.requests == 1);
    const std::size_t unknown = caller.received.find("HTTP/1.1 504");
    const std::size_t ready = caller.received.find("ready");
    BOOST_TEST(unknown == 0U);
    BOOST_TEST(ready != std::string::npos);
}

// Guards against sending requests to a draining owner after it has stopped serving, because the
// host learned late that it drains.
BOOST_AUTO_TEST_CASE(late_notice_does_not_extend_the_use_of_a_draining_owner) {
    front_fixture test;
    fake_server server(test.loop, [](const auto& asked) { reply(asked, 200, "k", true); });
    test.add("s1", "keys", server.address());
    test.set_owner("s1");
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "5").message.code == 200);
    gateway::server_entry leaving = *test.servers.find(gg::server_id("s1"));
    leaving.draining = true;
    test.servers.apply({{gg::server_id("s1"), leaving, at(2)}}, at(2), wire::event_loop::now());
    const gg::time_point now = wire::event_loop::now();
    test.front->set_servers(test.servers, now - 1'300ms, now);
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "5").message.code == 200);
    test.loop.call_after(250ms, [&test] { test.loop.stop(); });
    test.loop.run();
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "5").message.code == 503);
}

// Guards against hosts that take over from a new coordinator that is still reading the owners: with
// a slow store they would replace each other for seconds, and no lease would be renewed.
BOOST_AUTO_TEST_CASE(takeover_on_a_slow_store_is_awaited) {
    coordination_fixture test;
    test.store.delay = 240ms;
    test.add_hosts(4);
    test.run_for(2'500ms);
    BOOST_REQUIRE(test.coordinating() >= 0);
    BOOST_TEST(test.term() == 1U);
    test.hosts[static_cast<std::size_t>(test.coordinating())]->part->resign();
    test.run_for(2'500ms);
    BOOST_TEST(test.coordinating() >= 0);
    BOOST_TEST(test.term() == 2U);
    for (const auto& host : test.hosts) {
        BOOST_TEST(!host->owners.ranges.empty());
    }
}

// Guards against leases that expire because a stopping coordinator resigns although the store
// rejects commits, so that no other host can succeed it.
BOOST_AUTO_TEST_CASE(stopping_coordinator_renews_until_it_is_succeeded) {
    coordination_fixture test;
    test.add_hosts(2);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    test.store.reject_commits = true;
    test.hosts[static_cast<std::size_t>(first)]->part->resign();
    test.run_for(1'000ms);
    BOOST_TEST(test.coordinating() == first);
    test.store.reject_commits = false;
    test.run_for(1'000ms);
    BOOST_TEST(test.coordinating() == 1 - first);
    BOOST_TEST(test.term() == 2U);
}

// Guards against replacing a working coordinator that can't reach the store by a host that can't
// reach it either: the new one would have to wait for the leases of ended servers to expire.
BOOST_AUTO_TEST_CASE(coordinator_stays_when_all_hosts_lack_the_store) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    for (const auto& host : test.hosts) {
        host->part->set_store_reachable(false);
    }
    const int commits = test.store.commits;
    test.run_for(2'500ms);
    BOOST_TEST(test.store.commits == commits);
    BOOST_TEST(test.coordinating() == first);
}

// Guards against two owners of a key: an entry of another writer names a service that is not
// configured and the address of a live server, and would count as its successor. The entry of a
// configured service does end the former server at its address.
BOOST_AUTO_TEST_CASE(only_entries_of_configured_services_end_a_server) {
    coordination_fixture test;
    test.add_hosts(1);
    test.run_for(1'500ms);
    const auto grants_of_b = [&test] { return test.orders.grants[gg::server_id("b")]; };
    gateway::server_entry other;
    other.life = {gg::server_id("audit-1"), 9};
    other.service = gg::service_id("audit");
    other.address = test.servers.find(gg::server_id("a"))->address;
    other.data_centre = gg::data_centre_id("dc");
    test.servers.apply({{other.life.id, other, at(2)}}, at(2), wire::event_loop::now());
    test.run_for(1'000ms);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.releases == 0);
    BOOST_TEST(!test.stored_owner_is("b"));
    auto content = std::make_shared<gateway::catalogue>();
    content->version = 2;
    for (const char* service : {"keys", "audit"}) {
        const bool divided = service == std::string("keys");
        content->services[gg::service_id(service)] = {gg::service_id(service), divided, 10};
    }
    const int before = grants_of_b();
    test.hosts[0]->part->set_catalogue(content);
    test.run_for(300ms);
    BOOST_TEST(test.stored_owner_is("b"));
    BOOST_TEST(grants_of_b() > before);
}

// Guards against leases that no host renews after the coordinator is lost: another host must take
// over within the duration of a lease.
BOOST_AUTO_TEST_CASE(lost_coordinator_is_replaced_within_a_lease) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int lost = test.coordinating();
    BOOST_REQUIRE(lost >= 0);
    test.hosts[static_cast<std::size_t>(lost)]->links.lost = true;
    test.run_for(gg::milliseconds(ranges::lease_settings{}.lease_duration));
    BOOST_TEST(test.coordinating() >= 0);
    BOOST_TEST(test.term() == 2U);
}

// Guards against a term that was committed, but whose host doesn't coordinate because the result of
// the commit was lost.
BOOST_AUTO_TEST_CASE(term_with_a_lost_commit_result_is_confirmed) {
    coordination_fixture test;
    test.store.lose_answers = true;
    test.add_hosts(3);
    test.run_for(2'500ms);
    BOOST_TEST(test.coordinating() >= 0);
    BOOST_TEST(test.term() == 1U);
}

// Guards against a host that misses the end of a server: while the coordinator relays the
// directory, the host does not read it from the store.
BOOST_AUTO_TEST_CASE(coordinator_relays_servers_to_hosts) {
    coordination_fixture test;
    test.add_hosts(2);
    test.run_for(1'500ms);
    const int leader = test.coordinating();
    BOOST_REQUIRE(leader >= 0);
    gateway::coordinator& coordinator = *test.hosts[static_cast<std::size_t>(leader)]->part;
    const auto& told = test.hosts[static_cast<std::size_t>(1 - leader)]->relayed;
    // Without a recent answer of the store the coordinator does not relay the servers.
    BOOST_TEST(told.empty());
    coordinator.set_confirmations({wire::event_loop::now(), {}, {}});
    test.run_for(600ms);
    BOOST_REQUIRE(!told.empty());
    BOOST_TEST(told.back().changes.empty());
    BOOST_CHECK(told.back().age <= 600ms);

    // Ensures that a report is pending at the coordinator before the change: the hosts of this test
    // share one directory, so a report sent after the change would already have its version.
    std::size_t before = told.size();
    for (int step = 0; step < 100 && told.size() == before; ++step) {
        coordinator.set_confirmations({wire::event_loop::now(), {}, {}});
        test.run_for(10ms);
    }
    BOOST_REQUIRE(told.size() > before);
    test.run_for(150ms);
    before = told.size();
    test.servers.apply({{gg::server_id("c"), std::nullopt, at(2)}}, at(2), wire::event_loop::now());
    coordinator.set_confirmations({wire::event_loop::now(), {}, {}});
    coordinator.on_directory_changed();
    test.run_for(150ms);
    BOOST_TEST(told.size() > before);

    test.run_for(gg::milliseconds(gateway::coordinator_settings{}.relay_max_age));
    const std::size_t last = told.size();
    test.run_for(600ms);
    BOOST_TEST(told.size() == last);
}

// Guards against saturating a host's link for seconds after a takeover by sending each host the
// complete owner tables that it already has.
BOOST_AUTO_TEST_CASE(known_owners_are_not_sent_again_after_a_takeover) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int lost = test.coordinating();
    BOOST_REQUIRE(lost >= 0);
    const ranges::range_table before = test.hosts[0]->owners;
    for (const auto& host : test.hosts) {
        host->whole_tables = 0;
    }
    test.hosts[static_cast<std::size_t>(lost)]->part->resign();
    test.run_for(1'500ms);
    BOOST_REQUIRE(test.coordinating() >= 0);
    BOOST_TEST(test.term() == 2U);
    for (int index = 0; index < 3; ++index) {
        const auto& host = *test.hosts[static_cast<std::size_t>(index)];
        BOOST_TEST(host.owners.ranges.size() == before.ranges.size());
        if (index == test.coordinating()) {
            // Only the previous coordinator, which numbered its tables itself, needs a complete
            // table; the third host already has the versions of the new coordinator.
            BOOST_TEST(host.whole_tables == 1);
        }
    }
}

// Guards against a weak host that coordinates although a stronger one is available: it would need
// seconds to send all owners to all hosts, and be regarded as lost meanwhile.
BOOST_AUTO_TEST_CASE(strong_hosts_take_over_first) {
    gateway::coordinator_settings settings;
    settings.capacity = {0.5, 200};
    BOOST_CHECK(takeover_delay(settings) == 0ms);
    settings.capacity = {0.1, 10};
    BOOST_CHECK(takeover_delay(settings) > settings.max_takeover_delay / 2);
    for (unsigned round = 0; round < 3; ++round) {
        coordination_fixture test;
        test.add_host({0.1, 10});
        test.add_host({0.1, 10});
        test.add_host({0.5, 200});
        test.run_for(1'000ms);
        BOOST_TEST(test.coordinating() == 2);
    }
}

// Guards against noticing the return of the store only at the next change of the table, seconds
// later: until then a coordinator would act as if the store were unavailable.
BOOST_AUTO_TEST_CASE(return_of_the_store_is_noticed_without_a_change) {
    coordination_fixture test;
    gateway::table_watch watch(test.loop, test.store, *test.log, "t", 0ms,
                               [](const gateway::table_update&) {});
    watch.start();
    test.run_for(100ms);
    BOOST_TEST(watch.reachable());
    test.store.away = true;
    test.run_for(500ms);
    BOOST_TEST(!watch.reachable());
    test.store.away = false;
    test.run_for(1'000ms);
    BOOST_TEST(watch.reachable());
}

// Guards against reading from the store what another host relays, and against missing changes after
// the last relayed version.
BOOST_AUTO_TEST_CASE(paused_watch_makes_no_calls) {
    coordination_fixture test;
    std::vector<std::string> seen;
    gg::time_point since;
    gateway::table_watch watch(test.loop, test.store, *test.log, "t", 0ms,
                               [&seen, &since](const gateway::table_update& update) {
                                   since = update.since;
                                   for (const gateway::stored_row& row : update.content.rows) {
                                       seen.push_back(row.key);
                                   }
                               });
    watch.set_paused(true);
    watch.start();
    test.run_for(100ms);
    test.store.put("t", "told", "");
    test.store.put("t", "missed", "");
    test.run_for(100ms);
    BOOST_TEST(test.store.watches == 0);
    BOOST_TEST(seen.empty());
    const gg::time_point told = wire::event_loop::now() - 30ms;
    watch.advance_to(at(1), told);
    watch.set_paused(false);
    test.run_for(100ms);
    BOOST_CHECK(since == told);
    BOOST_TEST(seen == std::vector<std::string>{"missed"}, boost::test_tools::per_element());
}

// Guards against a coordinator that cannot change owners any more after the store was restored, and
// against the restored owners coming into force.
BOOST_AUTO_TEST_CASE(coordinator_writes_its_owners_again_after_a_restore) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    test.store.take_copy();
    test.move_all_keys_to_b();
    BOOST_REQUIRE(test.stored_owner_is("b"));
    const int releases = test.orders.releases;
    test.restore_store();
    BOOST_REQUIRE(!test.stored_owner_is("b"));
    test.run_for(1'000ms);
    BOOST_TEST(test.coordinating() == first);
    BOOST_TEST(test.stored_owner_is("b"));
    BOOST_TEST(test.orders.releases == releases);
    // Owners can change: the keys go back.
    gateway::server_entry back = *test.servers.find(gg::server_id("a"));
    back.draining = false;
    gateway::server_entry leaving = *test.servers.find(gg::server_id("b"));
    leaving.draining = true;
    test.servers.apply({{back.life.id, back, at(3)}, {leaving.life.id, leaving, at(3)}}, at(3),
                       wire::event_loop::now());
    test.run_for(700ms);
    BOOST_TEST(test.stored_owner_is("a"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against two owners of a key when the coordinator is lost as the store comes back from a
// copy that names former owners, and against fences that are given out again.
BOOST_AUTO_TEST_CASE(restored_owners_get_no_grant_before_lost_leases_expire) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int lost = test.coordinating();
    BOOST_REQUIRE(lost >= 0);
    test.store.take_copy();
    test.move_all_keys_to_b();
    const int grants = test.orders.grants[gg::server_id("a")];
    test.hosts[static_cast<std::size_t>(lost)]->links.lost = true;
    test.restore_store();
    // The copy's owner has not left, as far as the restored store tells.
    gateway::server_entry back = *test.servers.find(gg::server_id("a"));
    back.draining = false;
    test.servers.apply({{back.life.id, back, at(3)}}, at(3), wire::event_loop::now());
    test.run_for(5'000ms);
    BOOST_TEST(test.coordinating() >= 0);
    BOOST_TEST(test.orders.grants[gg::server_id("a")] == grants);
    test.run_for(5'000ms);
    BOOST_TEST(test.orders.grants[gg::server_id("a")] > grants);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against two owners of a key because a coordinator that the restored store rejects goes on
// renewing leases while its successor waits for them to expire.
BOOST_AUTO_TEST_CASE(rejected_coordinator_stops_renewing_before_its_successor_grants) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    test.store.take_copy();
    test.move_all_keys_to_b();
    // The servers and the other hosts still reach the coordinator, the store does not answer it.
    test.hosts[static_cast<std::size_t>(first)]->links.store_lost = true;
    test.hosts[static_cast<std::size_t>(first)]->part->set_store_reachable(false);
    gateway::server_entry back = *test.servers.find(gg::server_id("a"));
    back.draining = false;
    test.servers.apply({{back.life.id, back, at(3)}}, at(3), wire::event_loop::now());
    test.restore_store();
    test.run_for(11'000ms);
    bool replaced = false;
    for (std::size_t index = 0; index < test.hosts.size(); ++index) {
        replaced = replaced ||
                   (static_cast<int>(index) != first && test.hosts[index]->part->coordinating());
    }
    BOOST_TEST(replaced);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against two owners of a key while a data centre is partitioned: its coordinator went on
// renewing leases as long as hosts of its own side reported to it, and its successor on the other
// side granted the same keys when those leases were thought to have expired.
BOOST_AUTO_TEST_CASE(partitioned_coordinator_stops_renewing_before_its_successor_grants) {
    coordination_fixture test;
    test.add_hosts(5);
    // Until then, the hosts do not know what coordinators told the processes before them.
    test.run_for(7'000ms);
    test.partition(1, false);
    test.run_for(6'000ms);
    BOOST_TEST(test.stored_owner_is("b"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against the same where the leases are longer because all hosts lacked the store before.
BOOST_AUTO_TEST_CASE(successor_waits_for_the_leases_of_an_outage) {
    coordination_fixture test;
    test.add_hosts(5);
    test.run_for(2'500ms);
    for (const auto& host : test.hosts) {
        host->links.store_lost = true;
        host->part->set_store_reachable(false);
    }
    test.run_for(2'000ms);
    test.heal(0ms);
    test.partition(1, false);
    test.run_for(8'000ms);
    BOOST_TEST(test.stored_owner_is("b"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against two owners where the store is on the side of fewer hosts: the others, which may
// take the store to be in an outage, keep their coordinator, and it renews the leases on its side.
BOOST_AUTO_TEST_CASE(successor_that_few_hosts_follow_takes_no_keys_from_the_other_side) {
    coordination_fixture test;
    test.add_hosts(5);
    test.run_for(2'500ms);
    test.partition(3, false);
    test.run_for(1'000ms);
    const int grants = test.grants_of("a");
    test.run_for(6'000ms);
    BOOST_TEST(test.grants_of("a") > grants);
    BOOST_TEST(!test.stored_owner_is("b"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
    test.heal(0ms);
    test.run_for(2'000ms);
    BOOST_TEST(test.term() == 2U);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against hosts that replace a sound coordinator as soon as a partition ends, because their
// reports were not answered before: each change of the coordinator costs unreachable keys seconds.
BOOST_AUTO_TEST_CASE(hosts_back_from_a_partition_keep_the_coordinator) {
    coordination_fixture test;
    test.add_hosts(6);
    test.run_for(2'500ms);
    for (int round = 0; round < 3; ++round) {
        test.partition(0, true);
        // Ends at different moments between two reports of the hosts.
        test.run_for(gg::milliseconds(2'500 + 170 * round));
        test.heal(500ms);
        test.run_for(1'000ms);
        BOOST_TEST(test.coordinating() >= 0);
        BOOST_TEST(test.term() == 1U);
    }
}

// Guards against a lost coordinator that nobody replaces because the watches of all hosts have
// failed, although the store answers.
BOOST_AUTO_TEST_CASE(lost_coordinator_is_replaced_after_an_outage_of_the_store) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(2'000ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    for (const auto& host : test.hosts) {
        host->part->set_store_reachable(false);
    }
    test.hosts[static_cast<std::size_t>(first)]->links.lost = true;
    test.run_for(3'000ms);
    BOOST_TEST(test.coordinating() >= 0);
    BOOST_TEST(test.term() == 2U);
}

// Guards against leases that expire although nothing has happened to the coordinator that the store
// answers: few hosts follow it, as most are lost or on the other side of a partition.
BOOST_AUTO_TEST_CASE(coordinator_with_the_store_renews_without_most_hosts) {
    coordination_fixture test;
    test.add_hosts(5);
    test.run_for(2'500ms);
    const int first = test.coordinating();
    test.partition(0, true);
    const int grants = test.grants_of("a");
    test.run_for(5'000ms);
    // A renewal every 500 ms, of which the last one may be due.
    BOOST_TEST(test.grants_of("a") >= grants + 9);
    BOOST_TEST(test.coordinating() == first);
    BOOST_TEST(test.stored_owner_is("a"));
    BOOST_TEST(test.orders.overlapping_grants == 0);
}

// Guards against leases that expire in an outage of the store, in which only the reports of the
// hosts prove that the coordinator has not been replaced.
BOOST_AUTO_TEST_CASE(leases_are_renewed_in_an_outage_of_the_store) {
    coordination_fixture test;
    test.add_hosts(5);
    test.run_for(2'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    for (const auto& host : test.hosts) {
        host->links.store_lost = true;
        host->part->set_store_reachable(false);
    }
    test.run_for(3'000ms);
    // Two of the hosts are lost as well.
    int lost = 0;
    for (std::size_t index = 0; index < test.hosts.size() && lost < 2; ++index) {
        if (static_cast<int>(index) != first) {
            test.hosts[index]->links.lost = true;
            test.hosts[static_cast<std::size_t>(first)]->separated.insert(
                gg::host_id("host-" + std::to_string(index)));
            ++lost;
        }
    }
    const int grants = test.grants_of("a");
    test.run_for(4'000ms);
    BOOST_TEST(test.grants_of("a") >= grants + 7);
    BOOST_TEST(test.coordinating() == first);
}

// Guards against a host that holds the term but never coordinates after its takeover failed.
BOOST_AUTO_TEST_CASE(failed_takeover_after_a_restore_is_tried_again) {
    coordination_fixture test;
    test.add_hosts(2);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    test.store.take_copy();
    // The only other host is lost at the moment of the outage, so most hosts do not report.
    test.hosts[static_cast<std::size_t>(1 - first)]->links.lost = true;
    test.run_for(1'300ms);
    test.store.reject_commits = true;
    test.restore_store();
    test.run_for(700ms);
    test.store.reject_commits = false;
    test.run_for(2'500ms);
    BOOST_TEST(test.hosts[static_cast<std::size_t>(first)]->part->coordinating());
}

// Guards against a successor that waits although the coordinator wrote its owners again after the
// restore, and against one that does not although it could not.
BOOST_AUTO_TEST_CASE(owners_written_after_a_restore_are_adopted_at_once) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    test.store.take_copy();
    test.move_all_keys_to_b();
    test.restore_store();
    test.run_for(1'000ms);
    const int lost = test.coordinating();
    BOOST_REQUIRE(lost >= 0);
    test.hosts[static_cast<std::size_t>(lost)]->links.lost = true;
    const int grants = test.orders.grants[gg::server_id("b")];
    test.run_for(gg::milliseconds(ranges::lease_settings{}.lease_duration));
    BOOST_TEST(test.coordinating() >= 0);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] > grants);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against changes that a restored store gives a version which the watch has passed already.
BOOST_AUTO_TEST_CASE(changes_of_a_restored_store_are_not_missed) {
    coordination_fixture test;
    std::map<std::string, std::string> rows;
    bool after_outage = false;
    gateway::table_watch watch(test.loop, test.store, *test.log, "t", 0ms,
                               [&](const gateway::table_update& update) {
                                   if (update.whole) {
                                       rows.clear();
                                   }
                                   after_outage = after_outage || update.after_outage;
                                   for (const gateway::stored_row& row : update.content.rows) {
                                       rows[row.key] = row.value;
                                   }
                               });
    watch.start();
    test.store.put("t", "kept", "1");
    test.store.take_copy();
    test.store.put("t", "lost", "1");
    test.store.put("t", "lost", "2");
    test.run_for(100ms);
    test.store.restore();
    test.store.put("t", "new", "1");
    test.store.put("t", "newer", "1");
    test.store.put("t", "newest", "1");
    test.run_for(100ms);
    const std::map<std::string, std::string> expected{
        {"kept", "1"}, {"new", "1"}, {"newer", "1"}, {"newest", "1"}};
    BOOST_CHECK(rows == expected);
    BOOST_TEST(after_outage);
}

// Guards against a hot key that hundreds of hosts send to its only owner: the coordinator, which
// knows the demand of all, must limit it while it is hot and only then, and a new coordinator must
// not end the limit before it knows the load.
BOOST_AUTO_TEST_CASE(coordinator_limits_a_key_that_is_hot_through_many_hosts) {
    coordination_fixture test;
    test.add_host({});
    test.run_for(1'500ms);
    gateway::coordinator& part = *test.hosts.front()->part;
    BOOST_REQUIRE(part.coordinating());
    const gg::service_id service("keys");
    constexpr int hosts = 20;
    constexpr ranges::key_position hot_key = 9;
    std::optional<gateway::limits_update> limits;
    std::uint64_t known = 0;
    const auto report_for = [&](gg::milliseconds time, int requests_of_each) {
        const gg::time_point end = wire::event_loop::now() + time;
        while (wire::event_loop::now() < end) {
            for (int number = 0; number < hosts; ++number) {
                gateway::host_report report;
                report.host = gg::host_id("other-" + std::to_string(number));
                report.at_once = true;
                report.limits = known;
                report.keys[service].assign(static_cast<std::size_t>(requests_of_each), hot_key);
                for (const char* server : {"a", "b"}) {
                    // About 70 ms a request, so one slot runs 10 to 15 requests a second.
                    report.speeds[service][gg::server_id(server)] = {std::log(70.0), 1};
                }
                part.on_report(
                    report,
                    [&](const gateway::report_answer& answer) {
                        if (answer.limits) {
                            limits = answer.limits;
                            known = answer.limits->limits.empty() ? 0 : answer.limits->version;
                        }
                    },
                    wire::event_loop::now());
            }
            test.run_for(100ms);
        }
    };
    report_for(500ms, 0);
    BOOST_TEST(!limits.has_value());
    // 200 requests a second.
    report_for(1'500ms, 1);
    BOOST_REQUIRE(limits.has_value());
    BOOST_REQUIRE(limits->limits[service].size() == 1U);
    BOOST_CHECK((limits->limits[service].front().keys == ranges::key_range{8, 11}));
    BOOST_TEST(limits->limits[service].front().fraction < 0.12);
    BOOST_TEST(limits->limits[service].front().fraction > 0.01);
    report_for(2'500ms, 0);
    BOOST_TEST(limits->limits.empty());

    coordination_fixture next;
    next.add_host({});
    next.run_for(1'000ms);
    BOOST_REQUIRE(next.hosts.front()->part->coordinating());
    gateway::host_report report;
    report.host = gg::host_id("other");
    report.at_once = true;
    report.limits = known == 0 ? 5 : known;
    std::optional<gateway::report_answer> answer;
    const auto keep = [&answer](const gateway::report_answer& given) { answer = given; };
    next.hosts.front()->part->on_report(report, keep, wire::event_loop::now());
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!answer->limits.has_value());
    next.run_for(1'500ms);
    next.hosts.front()->part->on_report(report, keep, wire::event_loop::now());
    BOOST_REQUIRE(answer->limits.has_value());
    BOOST_TEST(answer->limits->limits.empty());
}

// Guards against receiving a configuration seconds late after a network interruption: the answer to
// a call made before it is delayed until TCP retransmits its packets.
BOOST_AUTO_TEST_CASE(delayed_watch_answers_are_requested_again) {
    coordination_fixture test;
    std::vector<std::string> seen;
    gateway::table_watch watch(test.loop, test.store, *test.log, "t", 0ms,
                               [&seen](const gateway::table_update& update) {
                                   for (const gateway::stored_row& row : update.content.rows) {
                                       seen.push_back(row.key);
                                   }
                               });
    watch.start();
    test.run_for(100ms);
    test.store.drops_watches = true;
    test.run_for(100ms);
    test.store.drops_watches = false;
    test.store.put("t", "during", "");
    test.run_for(100ms);
    BOOST_TEST(seen.empty());
    watch.poll_now();
    test.run_for(100ms);
    test.store.put("t", "after", "");
    test.run_for(100ms);
    const std::vector<std::string> expected{"during", "after"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

// Guards against hosts that send a request on because only other hosts saw servers end under it:
// also a host that starts later, and with the next coordinator, and when reports were lost.
BOOST_AUTO_TEST_CASE(all_hosts_learn_of_a_request_that_ends_servers) {
    coordination_fixture test;
    test.add_hosts(3);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    const gateway::request_fingerprint content(7);
    const auto refuses = [&content](const coordinating_host& host) {
        return time_until_allowed(host.guard, content, wire::event_loop::now()) > 0ms;
    };
    for (std::size_t index = 0; index < test.hosts.size(); ++index) {
        test.hosts[index]->losses = {{content, {gg::server_id("s" + std::to_string(index)), 1}}};
    }
    test.run_for(1s);
    for (const auto& host : test.hosts) {
        BOOST_TEST(refuses(*host));
    }
    test.hosts[static_cast<std::size_t>(first)]->links.lost = true;
    const gateway::request_fingerprint other(8);
    for (std::size_t index = 0; index < test.hosts.size(); ++index) {
        if (static_cast<int>(index) != first) {
            test.hosts[index]->losses = {{other, {gg::server_id("a" + std::to_string(index)), 1}},
                                         {other, {gg::server_id("b" + std::to_string(index)), 1}}};
        }
    }
    test.run_for(4s);
    test.add_host({});
    test.run_for(1s);
    BOOST_TEST(refuses(*test.hosts.back()));
    BOOST_TEST(
        (time_until_allowed(test.hosts.back()->guard, other, wire::event_loop::now()) > 0ms));
}

// Guards against hosts that begin to count again after all of them were lost, so that the request
// ends three more servers.
BOOST_AUTO_TEST_CASE(quarantine_outlives_the_loss_of_all_hosts) {
    coordination_fixture test;
    test.add_hosts(2);
    test.run_for(1'500ms);
    const gateway::request_fingerprint content(7);
    test.hosts.front()->losses = {{content, {gg::server_id("s1"), 1}},
                                  {content, {gg::server_id("s2"), 1}}};
    test.hosts.back()->losses = {{content, {gg::server_id("s3"), 1}}};
    test.run_for(1'500ms);
    for (const auto& host : test.hosts) {
        host->links.lost = true;
    }
    test.add_hosts(2);
    test.run_for(6s);
    for (std::size_t index = 2; index < test.hosts.size(); ++index) {
        BOOST_TEST(
            (time_until_allowed(test.hosts[index]->guard, content, wire::event_loop::now()) > 0ms));
    }
}

// Guards against a row of another writer, or of a wrong clock, that ends the process or refuses a
// request for good.
BOOST_AUTO_TEST_CASE(odd_quarantine_rows_are_bounded) {
    const gg::wall_time now{1'000'000ms};
    const std::vector<gateway::suspect_request> stored{
        {gateway::request_fingerprint(18'446'744'073'709'551'615ULL), 3, 90s},
        {gateway::request_fingerprint(8), 4, 10s}};
    const std::string text = gateway::encode_row(stored, now);
    const auto later = gateway::decode_row(text, now + 30s);
    BOOST_REQUIRE(later.has_value());
    BOOST_REQUIRE(later->size() == 1U);
    BOOST_CHECK(later->front().content == stored.front().content);
    BOOST_TEST(later->front().losses == 3U);
    BOOST_CHECK(later->front().remaining == 60s);
    const auto far =
        gateway::decode_row(R"({"requests":[[1,99999999999,18446744073709551615],[2,3,0]]})", now);
    BOOST_REQUIRE(far.has_value());
    BOOST_REQUIRE(far->size() == 1U);
    BOOST_CHECK(far->front().remaining == 1h);
    for (const char* odd : {"", "[]", "{}", "{\"requests\":7}", "{\"requests\":[[1,2]]}",
                            "{\"requests\":[[1,-2,3]]}", "{\"requests\":[[\"1\",2,3]]}"}) {
        BOOST_TEST(!gateway::decode_row(odd, now).has_value());
    }
    std::mt19937_64 random(7);
    for (int count = 0; count < 2'000; ++count) {
        static_cast<void>(gateway::decode_row(gg::testing::mutated(text, random), now));
    }
}

// Guards against a host that keeps the owners of a deposed coordinator for as long as the store
// does not answer it: only the store names the next coordinator, which the host could reach.
BOOST_AUTO_TEST_CASE(hosts_without_the_store_find_the_next_coordinator) {
    coordination_fixture test;
    test.add_hosts(4);
    test.run_for(1'500ms);
    const int first = test.coordinating();
    BOOST_REQUIRE(first >= 0);
    const int other = (first + 1) % 4;
    for (const int index : {first, other}) {
        test.hosts[static_cast<std::size_t>(index)]->links.store_lost = true;
        test.hosts[static_cast<std::size_t>(index)]->part->set_store_reachable(false);
    }
    test.run_for(2s);
    test.orders.checks_fences = true;
    test.run_for(3s);
    const int next = test.coordinating();
    BOOST_REQUIRE(next >= 0);
    BOOST_REQUIRE(next != first);
    BOOST_REQUIRE(next != other);
    test.move_all_keys_to_b();
    test.run_for(1'500ms);
    for (const auto& host : test.hosts) {
        BOOST_TEST(std::all_of(
            host->owners.ranges.begin(), host->owners.ranges.end(),
            [](const ranges::range_owner& entry) { return entry.owner.id.value() == "b"; }));
    }
}
