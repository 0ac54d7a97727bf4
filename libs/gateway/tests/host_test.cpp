#include "fakes.h"
#include "gateway/catalogue.h"
#include "gateway/coordinator.h"
#include "gateway/gateway.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "wire/client.h"
#include "wire/server.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Tests of one whole gateway beside a coordinator that the test plays.

namespace gg = greengagechute;
namespace gateway = greengagechute::gateway;
namespace ranges = greengagechute::ranges;
namespace wire = greengagechute::wire;

using namespace std::chrono_literals;
using gateway::testing::accepting_servers;
using gateway::testing::make_header_names;
using gateway::testing::memory_store;

namespace {

constexpr const char* catalogue_table = "catalogue";
constexpr const char* catalogue_row = "current";
constexpr const char* server_table = "servers";
constexpr gg::milliseconds call_limit{3'000};
/// Bounds of the users' platform: `configApplyS` and `drainS`.
constexpr gg::milliseconds configuration_bound{2'000};
constexpr gg::milliseconds drain_bound{2'000};

/// A port that no other socket uses at the moment.
std::uint16_t free_port(wire::event_loop& loop) {
    wire::server probe(loop, [](const std::shared_ptr<wire::incoming>&) {});
    BOOST_REQUIRE(!probe.open({"127.0.0.1", 0}));
    return probe.port();
}

/// The row is the version; from version 2 on there is a route `/new/`.
std::optional<gateway::catalogue> parse_catalogue(std::string_view text, std::string&) {
    gateway::catalogue content;
    content.version = std::stoull(std::string(text));
    content.services[gg::service_id("keys")] = {gg::service_id("keys"), true, 10};
    content.services[gg::service_id("plain")] = {gg::service_id("plain"), false, 10};
    const auto add = [&content](const std::string& prefix, const std::string& service) {
        gateway::route made;
        made.name = prefix;
        made.host = "h";
        made.prefix = prefix;
        made.kind = gateway::request_kind::unsafe;
        made.max_attempts = 2;
        made.timeout = 9s;
        made.services.push_back({gg::service_id(service), 1});
        content.routes.push_back(made);
    };
    add("/keys/", "keys");
    add("/plain/", "plain");
    if (content.version >= 2) {
        add("/new/", "plain");
    }
    return content;
}

/// The row is "SERVICE PORT STATE".
std::optional<gateway::server_entry> parse_server_entry(const gateway::stored_row& row,
                                                        std::string&) {
    const std::size_t first = row.value.find(' ');
    const std::size_t second = row.value.find(' ', first + 1);
    gateway::server_entry entry;
    entry.life = {gg::server_id(row.key), 1};
    entry.service = gg::service_id(row.value.substr(0, first));
    entry.address = {"127.0.0.1", static_cast<std::uint16_t>(
                                      std::stoi(row.value.substr(first + 1, second - first - 1)))};
    entry.data_centre = gg::data_centre_id("dc");
    entry.slots = 3;
    entry.draining = row.value.substr(second + 1) == "draining";
    return entry;
}

/// A gateway, its store, servers that accept each order, and the coordinator that the store names
/// at first.
struct host_fixture {
    wire::event_loop loop;
    std::shared_ptr<gg::telemetry::logger> log;
    gg::telemetry::metrics numbers;
    memory_store store{loop};
    accepting_servers orders{loop};
    gateway::gateway_settings settings;
    std::unique_ptr<gateway::gateway> host;
    /// What the coordinator answers to reports.
    gateway::report_answer answer;
    /// Configuration row that the coordinator gives to hosts that ask for it.
    gateway::stored_row relayed_catalogue;
    /// Reports that the coordinator has got.
    std::vector<gateway::host_report> reports;
    std::unique_ptr<wire::server> coordinator;
    std::unique_ptr<wire::server> plain;
    bool plain_leaves = false;
    /// Requests that reached the server of the undivided service.
    std::set<std::string> run_requests;
    /// Statuses of the answers to `post`, by request id.
    std::map<std::string, int> statuses;

    host_fixture() {
        gg::telemetry::logger_options options;
        options.minimum = gg::telemetry::level::error;
        this->log = *gg::telemetry::logger::create(options);
        this->settings.host = gg::host_id("host-1");
        this->settings.data_centre = gg::data_centre_id("dc");
        this->answer.coordinating = true;
        this->answer.hosts = 2;
        this->answer.term = 1;
        this->store.put(catalogue_table, catalogue_row, "1");
        this->put_server("a", "ready");
        this->put_server("b", "ready");
        const ranges::range_table owned{{{{}, {gg::server_id("a"), 1}}}};
        this->store.put(std::string(gateway::owners_table), "keys", ranges::encode(owned));
    }

    void put_server(const std::string& id, const std::string& state) {
        this->store.put(server_table, id, "keys 1 " + state);
    }

    /// Lets the store name a coordinator whose answers the test sets.
    void start_coordinator(int term = 1) {
        this->coordinator = std::make_unique<wire::server>(
            this->loop, [this](const std::shared_ptr<wire::incoming>& asked) {
                wire::response reply;
                reply.code = 200;
                if (asked->message().target == gateway::catalogue_target) {
                    reply.body = encode(this->relayed_catalogue);
                    asked->answer(reply);
                    return;
                }
                BOOST_REQUIRE(decode(asked->message().body, this->reports.emplace_back()));
                reply.body = encode(this->answer);
                this->loop.call_after(50ms, [asked, reply] { asked->answer(reply); });
            });
        BOOST_REQUIRE(!this->coordinator->open({"127.0.0.1", 0}));
        this->store.put(std::string(gateway::term_table), "coordinator",
                        R"({"term":)" + std::to_string(term) +
                            R"(,"host":"other/1","address":"127.0.0.1:)" +
                            std::to_string(this->coordinator->port()) + "\"}");
    }
    /// The coordinator's process is lost: connections to it are refused.
    void lose_coordinator() { this->coordinator.reset(); }

    void start_host() {
        gateway::row_format format;
        format.catalogue_table = catalogue_table;
        format.catalogue_row = catalogue_row;
        format.evacuation_prefix = "empty/";
        format.server_table = server_table;
        format.parse_catalogue = parse_catalogue;
        format.parse_server_entry = parse_server_entry;
        format.headers = make_header_names();
        // Another process may take a port between the choice and the start.
        constexpr int attempts = 5;
        bool started = false;
        for (int attempt = 0; attempt < attempts && !started; ++attempt) {
            for (wire::endpoint* const address :
                 {&this->settings.front, &this->settings.ready, &this->settings.peers}) {
                *address = {"127.0.0.1", free_port(this->loop)};
            }
            this->host = std::make_unique<gateway::gateway>(this->loop, this->store, this->orders,
                                                            *this->log, this->numbers, format,
                                                            this->settings, 1);
            started = !this->host->start();
        }
        BOOST_REQUIRE(started);
    }

    /// Starts a server of the undivided service that answers after `work`, and counts what it runs.
    void add_plain_server(gg::milliseconds work) {
        this->plain = std::make_unique<wire::server>(
            this->loop, [this, work](const std::shared_ptr<wire::incoming>& asked) {
                const std::string* const id = wire::find_header(asked->message().headers, "Own-Id");
                BOOST_REQUIRE(id != nullptr);
                this->run_requests.insert(*id);
                wire::response reply;
                reply.code = 200;
                reply.headers = {{"Own-Id", *id}, {"Own-Signature", "s"}};
                if (this->plain_leaves) {
                    reply.headers.push_back({"Own-Leaving", "1"});
                }
                this->loop.call_after(work, [asked, reply] { asked->answer(reply); });
            });
        BOOST_REQUIRE(!this->plain->open({"127.0.0.1", 0}));
        this->store.put(server_table, "p",
                        "plain " + std::to_string(this->plain->port()) + " ready");
    }

    /// Sends a request that may run once, and records the status of its answer: 0 if the connection
    /// ended without one.
    void post(wire::client& caller, const std::string& id) {
        wire::request message;
        message.method = "POST";
        message.target = "/plain/x";
        message.headers = {{"Host", "h"}, {"Own-Id", id}, {"Own-Deadline", "9000"}};
        wire::call_options options;
        options.timeout = 9s;
        caller.send(this->settings.front, message, options,
                    [this, id](const wire::call_result& outcome) {
                        this->statuses[id] = outcome.error ? 0 : outcome.message.code;
                    });
    }

    /// Starts the host beside a server that takes 1 s, and lets the host measure that.
    void start_measured_host(wire::client& caller) {
        this->add_plain_server(1s);
        this->start_host();
        this->run_for(300ms);
        this->post(caller, "first");
        this->run_for(1'200ms);
        BOOST_REQUIRE(this->statuses["first"] == 200);
    }

    /// The store forgets the calls that wait for changes, without a word to the caller.
    void drop_pending_watches() {
        this->store.drops_watches = true;
        this->run_for(100ms);
        this->store.drops_watches = false;
    }
    /// All open connections to the store go silent; new ones work.
    void silence_connections() {
        this->drop_pending_watches();
        this->store.kept_silent = true;
    }

    void run_for(gg::milliseconds time) {
        this->loop.call_after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }

    /// Status of the answer to a request of a caller.
    int ask(const std::string& target) {
        wire::client caller(this->loop, {});
        wire::request message;
        message.method = "POST";
        message.target = target;
        message.headers = {{"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", "500"}};
        wire::call_options options;
        options.timeout = call_limit;
        int code = 0;
        caller.send(this->settings.front, message, options,
                    [this, &code](const wire::call_result& outcome) {
                        code = outcome.message.code;
                        this->loop.stop();
                    });
        this->loop.run();
        return code;
    }
};

}  // namespace

// Guards against a coordinator that goes on granting keys to a server that leaves: the store has
// forgotten the call by which the host watched the servers before it took over, and the host
// notices only when that call times out.
BOOST_AUTO_TEST_CASE(takeover_asks_for_changes_of_servers_again) {
    host_fixture test;
    test.start_coordinator();
    test.start_host();
    test.run_for(1s);
    test.drop_pending_watches();
    test.lose_coordinator();
    test.put_server("a", "draining");
    test.run_for(3s);
    BOOST_TEST(test.orders.releases > 0);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] > 0);
}

// Guards against a coordinator that learns by its own reads that the store came back from a copy,
// while the calls that watch the tables were forgotten by the store and wait for its answer.
BOOST_AUTO_TEST_CASE(new_era_seen_by_the_coordinator_reloads_the_tables) {
    host_fixture test;
    test.start_host();
    test.run_for(2s);
    BOOST_REQUIRE(test.orders.grants[gg::server_id("a")] > 0);
    test.store.take_copy();
    test.drop_pending_watches();
    test.store.restore();
    // Its keys move, so that the coordinator writes to the store.
    test.orders.refusing.insert(gg::server_id("a"));
    test.put_server("c", "ready");
    test.store.put(catalogue_table, catalogue_row, "2");
    test.run_for(3s);
    BOOST_TEST(test.ask("/new/x") != 404);
}

// Guards against a configuration that a host learns only when the call by which it watches the
// configuration times out, because the store has forgotten that call.
BOOST_AUTO_TEST_CASE(configuration_named_by_the_coordinator_is_asked_for) {
    host_fixture test;
    test.start_coordinator();
    test.start_host();
    test.run_for(1s);
    test.drop_pending_watches();
    test.store.put(catalogue_table, catalogue_row, "2");
    test.answer.catalogue = test.store.version_of(catalogue_table, catalogue_row);
    test.run_for(1'500ms);
    BOOST_TEST(test.ask("/new/x") != 404);
}

// Guards against a configuration that a host learns late because the call by which it watches it
// waits on a connection that has gone silent, and the coordinator does not confirm what it has.
BOOST_AUTO_TEST_CASE(silent_watch_does_not_delay_a_configuration) {
    host_fixture test;
    test.start_coordinator();
    test.start_host();
    test.run_for(1s);
    test.silence_connections();
    test.store.put(catalogue_table, catalogue_row, "2");
    test.run_for(configuration_bound);
    BOOST_TEST(test.ask("/new/x") != 404);
}

// Guards against a coordinator whose own watch is silent, so that no host learns a configuration.
BOOST_AUTO_TEST_CASE(silent_watch_of_the_coordinator_does_not_delay_a_configuration) {
    host_fixture test;
    test.start_host();
    test.run_for(1s);
    test.silence_connections();
    test.store.put(catalogue_table, catalogue_row, "2");
    test.run_for(configuration_bound);
    BOOST_TEST(test.ask("/new/x") != 404);
}

// Guards against a host that keeps an old configuration for as long as the store turns it away,
// although the coordinator, which it reaches, has the newest one.
BOOST_AUTO_TEST_CASE(host_without_the_store_gets_the_configuration_from_the_coordinator) {
    host_fixture test;
    test.start_coordinator();
    test.start_host();
    test.run_for(1s);
    test.store.away = true;
    test.run_for(1s);
    test.store.put(catalogue_table, catalogue_row, "2");
    test.answer.catalogue = test.store.version_of(catalogue_table, catalogue_row);
    test.relayed_catalogue = {"", catalogue_row, "2", test.answer.catalogue};
    test.run_for(configuration_bound);
    BOOST_TEST(test.ask("/new/x") != 404);
}

// Guards against requests to an evacuated data centre after the operator's bound, also when the
// store's calls are silent and only the coordinator tells of it.
BOOST_AUTO_TEST_CASE(evacuation_is_learned_from_the_store_and_from_the_coordinator) {
    for (const bool from_store : {true, false}) {
        host_fixture test;
        test.start_coordinator();
        test.add_plain_server(1ms);
        test.start_host();
        test.run_for(500ms);
        wire::client caller(test.loop, {});
        test.post(caller, "before");
        test.run_for(100ms);
        BOOST_TEST(test.statuses["before"] == 200);
        if (from_store) {
            test.store.put(catalogue_table, "empty/dc", "{}");
        } else {
            test.answer.evacuations = {
                {gg::data_centre_id("dc"), true, gateway::testing::at(1'000)}};
        }
        test.run_for(500ms);
        test.post(caller, "after");
        test.run_for(100ms);
        BOOST_TEST(test.statuses["after"] == 503);
        BOOST_TEST(!test.run_requests.contains("after"));
        if (from_store) {
            test.store.erase(catalogue_table, "empty/dc");
        } else {
            test.answer.evacuations = {
                {gg::data_centre_id("dc"), false, gateway::testing::at(1'001)}};
        }
        test.run_for(500ms);
        test.post(caller, "back");
        test.run_for(100ms);
        BOOST_TEST(test.statuses["back"] == 200);
    }
}

// Guards against requests to a server that left while the watch of the servers was silent and the
// coordinator relayed none.
BOOST_AUTO_TEST_CASE(silent_watch_does_not_hide_that_a_server_leaves) {
    host_fixture test;
    test.start_coordinator();
    test.add_plain_server(1ms);
    test.start_host();
    test.run_for(1s);
    test.silence_connections();
    test.store.put(server_table, "p", "plain " + std::to_string(test.plain->port()) + " draining");
    test.run_for(drain_bound);
    wire::client caller(test.loop, {});
    test.post(caller, "late");
    test.run_for(300ms);
    BOOST_TEST(!test.run_requests.contains("late"));
}

// Guards against a deposed coordinator that goes on renewing leases and telling owners because its
// watch of the term is silent.
BOOST_AUTO_TEST_CASE(silent_watch_does_not_hide_another_coordinator) {
    host_fixture test;
    test.start_host();
    test.run_for(1s);
    test.silence_connections();
    test.start_coordinator(7);
    test.run_for(2'500ms);
    BOOST_TEST(!test.reports.empty());
}

// Guards against two owners of a key: a server that closed its listener, or resets connections, may
// still work under a lease of the former coordinator. A refused connection must not free its keys.
BOOST_AUTO_TEST_CASE(refused_connections_after_a_takeover_free_no_keys_early) {
    host_fixture test;
    test.start_coordinator();
    test.start_host();
    test.run_for(1'300ms);
    test.orders.refusing.insert(gg::server_id("a"));
    test.lose_coordinator();
    test.run_for(ranges::lease_settings{}.lease_duration);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] == 0);
    test.run_for(ranges::lease_settings{}.outage_lease_duration);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] > 0);
}

// Guards against two owners of a key, and against keys that stay without an owner: a registered
// server refuses the connections of a coordinator that has never been without the store.
BOOST_AUTO_TEST_CASE(keys_of_a_refusing_server_move_when_its_lease_has_expired) {
    host_fixture test;
    test.start_host();
    // Leases of the former coordinator have expired by then.
    test.run_for(ranges::lease_settings{}.outage_lease_duration + 500ms);
    BOOST_REQUIRE(test.orders.grants[gg::server_id("a")] > 0);
    test.orders.refusing.insert(gg::server_id("a"));
    test.run_for(ranges::lease_settings{}.lease_duration - ranges::lease_settings{}.renew_interval -
                 100ms);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] == 0);
    test.run_for(ranges::lease_settings{}.renew_interval + 500ms);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] > 0);
    BOOST_TEST(test.orders.overlapping_grants == 0);
    BOOST_TEST(test.orders.repeated_fences == 0);
}

// Guards against requests that a stopping host has taken and sends on so late that it cuts them at
// the end of its grace period, with an unknown outcome for requests that may run once. What cannot
// be answered in time has to be refused as not run, so that the caller can go to another host.
BOOST_AUTO_TEST_CASE(stopping_host_starts_no_request_that_it_would_cut) {
    host_fixture test;
    test.settings.shutdown_grace = 4s;
    wire::client callers(test.loop, {});
    test.start_measured_host(callers);
    // More than the server gets at once: some wait in the host.
    constexpr int requests = 60;
    for (int count = 0; count < requests; ++count) {
        test.post(callers, "r" + std::to_string(count));
    }
    test.run_for(200ms);
    test.host->drain();
    test.run_for(5s);
    BOOST_TEST(test.statuses.size() == requests + 1U);
    int answered = 0;
    for (const auto& [id, status] : test.statuses) {
        BOOST_TEST((status == 200 || status == 503), id << " got " << status);
        BOOST_TEST((status == 503) == !test.run_requests.contains(id), id << " got " << status);
        answered += status == 200 ? 1 : 0;
    }
    BOOST_TEST(answered > 10);
}

// Guards against a host that takes requests late in its grace period: on connections that callers
// keep open, and on new ones.
BOOST_AUTO_TEST_CASE(stopping_host_leaves_late_requests_unread) {
    host_fixture test;
    test.settings.shutdown_grace = 6s;
    wire::client caller(test.loop, {});
    test.start_measured_host(caller);
    test.host->drain();
    test.run_for(2'400ms);
    // Keeps the host busy until 3.4 s after the beginning of its stop.
    wire::client other(test.loop, {});
    test.post(other, "in time");
    test.run_for(400ms);
    wire::client late(test.loop, {});
    test.post(caller, "late on a kept connection");
    test.post(late, "late on a new connection");
    test.run_for(2s);
    BOOST_TEST(test.statuses["in time"] == 200);
    BOOST_TEST(test.statuses["late on a kept connection"] == 0);
    BOOST_TEST(test.statuses["late on a new connection"] == 0);
    BOOST_TEST(!test.run_requests.contains("late on a kept connection"));
    BOOST_TEST(!test.run_requests.contains("late on a new connection"));
}

// Guards against keys that stay with a server which has said in an answer that it is leaving, while
// the store does not know it yet.
BOOST_AUTO_TEST_CASE(keys_of_a_server_that_says_it_leaves_move) {
    host_fixture test;
    test.start_host();
    test.run_for(1'500ms);
    BOOST_REQUIRE(test.orders.grants[gg::server_id("a")] > 0);
    BOOST_REQUIRE(test.orders.grants[gg::server_id("b")] == 0);
    gateway::host_report report;
    report.host = gg::host_id("other");
    report.leaving = {{gg::server_id("a"), 1}};
    wire::client other(test.loop, {});
    wire::request message;
    message.method = "POST";
    message.target = "/coordination/report";
    message.headers = {{"Host", "h"}};
    message.body = encode(report);
    other.send(test.settings.peers, message, {}, [](const wire::call_result&) {});
    test.run_for(600ms);
    BOOST_TEST(test.orders.releases > 0);
    BOOST_TEST(test.orders.grants[gg::server_id("b")] > 0);
    BOOST_TEST(test.orders.overlapping_grants == 0);
}

// Guards against a new coordinator that does not learn which servers have said that they leave.
BOOST_AUTO_TEST_CASE(leaving_servers_are_reported_again_and_again) {
    host_fixture test;
    test.start_coordinator();
    test.add_plain_server(1ms);
    test.start_host();
    test.run_for(300ms);
    test.plain_leaves = true;
    wire::client caller(test.loop, {});
    test.post(caller, "r");
    test.run_for(200ms);
    BOOST_REQUIRE(test.statuses["r"] == 200);
    for (int count = 0; count < 2; ++count) {
        test.reports.clear();
        test.run_for(300ms);
        BOOST_REQUIRE(!test.reports.empty());
        BOOST_REQUIRE(test.reports.back().leaving.size() == 1U);
        BOOST_TEST(test.reports.back().leaving.front().id.value() == "p");
    }
}
