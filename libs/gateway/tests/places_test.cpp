#include "front_fixture.h"
#include "gateway/evacuations.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace greengagechute::gateway::testing {

namespace {

using namespace std::chrono_literals;

constexpr time_point start = time_point{} + 100s;

fake_server::handler serves() {
    return [](const auto& asked) { reply(asked, 200, "k", true); };
}

/// Time that a call took, to tell a refusal at once from one at the deadline.
template <typename call>
milliseconds time_of(const call& made) {
    const time_point before = wire::event_loop::now();
    made();
    return std::chrono::duration_cast<milliseconds>(wire::event_loop::now() - before);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(places)

// Guards against sending a request out of the regions where it may run, also as a second attempt,
// and against holding one that no server may run until its deadline.
BOOST_AUTO_TEST_CASE(request_stays_in_its_regions) {
    front_fixture test;
    fake_server near(test.loop, [](const auto& asked) { reply(asked, 503, "", false, true); });
    fake_server far(test.loop, serves());
    test.add("s1", "plain", near.address());
    test.add("s2", "plain", far.address(), "far");
    BOOST_TEST(test.ask("GET", "/bound/x", "400").message.code == 503);
    BOOST_TEST(near.requests > 0);
    BOOST_TEST(far.requests == 0);
    BOOST_TEST(test.ask("GET", "/safe/x").message.code == 200);

    front_fixture without_near;
    fake_server only_far(without_near.loop, serves());
    without_near.add("s2", "plain", only_far.address(), "far");
    const milliseconds took = time_of([&without_near] {
        BOOST_TEST(without_near.ask("GET", "/bound/x", "5000").message.code == 503);
    });
    BOOST_CHECK(took < 1s);
    BOOST_TEST(only_far.requests == 0);
    BOOST_TEST(without_near.numbers.serialise().find("greengagechute_refused_region_total 1") !=
               std::string::npos);
}

// Guards against an owner outside the regions of a request that gets it because only the owner
// could run it.
BOOST_AUTO_TEST_CASE(owner_outside_the_regions_gets_nothing) {
    front_fixture test;
    fake_server far(test.loop, serves());
    test.add("s1", "keys", far.address(), "far");
    test.set_owner("s1");
    const milliseconds took = time_of(
        [&test] { BOOST_TEST(test.ask("GET", "/bound-keys/x", "5000", "5").message.code == 503); });
    BOOST_CHECK(took < 1s);
    BOOST_TEST(far.requests == 0);
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "5").message.code == 200);
}

// Guards against new requests to an evacuated data centre, against holding requests for which
// nothing else is left, and against a data centre that gets nothing any more after it came back.
BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_nothing) {
    front_fixture test;
    fake_server first(test.loop, serves());
    fake_server second(test.loop, serves());
    test.add("s1", "plain", first.address());
    test.add("s2", "plain", second.address(), "dc2");
    test.evacuate("dc", true);
    for (int count = 0; count < 4; ++count) {
        BOOST_TEST(test.ask("GET", "/safe/x").message.code == 200);
    }
    BOOST_TEST(first.requests == 0);
    test.evacuate("dc2", true);
    const milliseconds took =
        time_of([&test] { BOOST_TEST(test.ask("GET", "/safe/x", "5000").message.code == 503); });
    BOOST_CHECK(took < 1s);
    BOOST_TEST(second.requests == 4);
    test.evacuate("dc", false);
    BOOST_TEST(test.ask("GET", "/safe/x").message.code == 200);
    BOOST_TEST(first.requests == 1);
}

// Guards against requests that wait for a server until their deadline although the last data centre
// has been evacuated meanwhile.
BOOST_AUTO_TEST_CASE(waiting_request_is_refused_when_its_servers_are_evacuated) {
    front_fixture test;
    fake_server server(test.loop, [](const auto&) {});
    test.add("s1", "plain", server.address());
    // Fills what this host may have outstanding at the server.
    wire::client callers(test.loop, {});
    const int slots = 2;
    const int outstanding = 4 * slots + 1;
    for (int count = 0; count < outstanding; ++count) {
        wire::request message;
        message.method = "GET";
        message.target = "/safe/x";
        message.headers = {{"Host", "h"}, {"Own-Id", "f" + std::to_string(count)}};
        callers.send({"127.0.0.1", test.entry->port()}, message, {}, [](const auto&) {});
    }
    test.loop.call_after(300ms, [&test] { test.evacuate("dc", true); });
    test.loop.call_after(100ms, [&test] { test.loop.stop(); });
    test.loop.run();
    const milliseconds took =
        time_of([&test] { BOOST_TEST(test.ask("GET", "/safe/x", "1900").message.code == 503); });
    BOOST_CHECK(took < 1s);
    BOOST_TEST(server.requests == outstanding);
}

// Guards against failing the requests for keys that are on their way out of an evacuated data
// centre, and against sending to their former owner after the time for that.
BOOST_AUTO_TEST_CASE(evacuated_owner_serves_until_its_keys_have_moved) {
    front_fixture test;
    fake_server old_owner(test.loop, serves());
    fake_server new_owner(test.loop, serves());
    test.add("s1", "keys", old_owner.address());
    test.add("s2", "keys", new_owner.address(), "dc2");
    test.set_owner("s1");
    test.evacuate("dc", true);
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "5").message.code == 200);
    BOOST_TEST(old_owner.requests == 1);
    test.loop.call_after(1'600ms, [&test] { test.loop.stop(); });
    test.loop.run();
    test.loop.call_after(200ms, [&test] { test.set_owner("s2"); });
    BOOST_TEST(test.ask("GET", "/keys/x", "1000", "5").message.code == 200);
    BOOST_TEST(old_owner.requests == 1);
    BOOST_TEST(new_owner.requests == 1);
}

// Guards against a host that sends to a cold server without its allowance, or more than that, and
// against a server that stays without work once it is warm.
BOOST_AUTO_TEST_CASE(cold_server_gets_its_allowance_only) {
    front_fixture test;
    fake_server cold(test.loop, serves());
    test.add("s1", "frail", cold.address(), "dc", 1'500ms);
    BOOST_TEST(test.ask("GET", "/frail/x", "300").message.code == 503);
    BOOST_TEST(cold.requests == 0);
    const time_point now = wire::event_loop::now();
    test.front->add_loans({{{server_id("s1"), 1}, 5.0, now + 10s}}, now);
    BOOST_TEST(test.ask("GET", "/frail/x", "700").message.code == 200);
    const milliseconds second =
        time_of([&test] { BOOST_TEST(test.ask("GET", "/frail/x", "700").message.code == 200); });
    BOOST_CHECK(second >= 150ms);
    test.loop.call_after(1s, [&test] { test.loop.stop(); });
    test.loop.run();
    const milliseconds warm = time_of([&test] {
        for (int count = 0; count < 5; ++count) {
            BOOST_TEST(test.ask("GET", "/frail/x", "700").message.code == 200);
        }
    });
    BOOST_CHECK(warm < 500ms);
}

// Guards against a second attempt that goes to an evacuated data centre, because the server there
// was registered with the same update that showed the end of the first one.
BOOST_AUTO_TEST_CASE(second_attempt_knows_where_new_servers_are) {
    front_fixture test;
    fake_server silent(test.loop, [](const auto&) {});
    fake_server evacuated(test.loop, serves());
    test.add("s1", "plain", silent.address());
    test.evacuate("dc2", true);
    test.loop.call_after(100ms, [&test, &evacuated] {
        const time_point now = wire::event_loop::now();
        server_entry again = *test.servers.find(server_id("s1"));
        again.life.start_time_ms = 2;
        server_entry added = again;
        added.life = {server_id("s2"), 1};
        added.address = evacuated.address();
        added.data_centre = data_centre_id("dc2");
        test.servers.apply({{server_id("s1"), again, at(2)}, {server_id("s2"), added, at(3)}},
                           at(3), now);
        test.front->set_servers(test.servers, now, now);
    });
    BOOST_TEST(test.ask("GET", "/safe/x", "700").message.code != 200);
    BOOST_TEST(evacuated.requests == 0);
}

// Guards against holding a request until its deadline although all servers stay cold for longer.
BOOST_AUTO_TEST_CASE(request_that_cannot_wait_for_cold_servers_is_refused) {
    front_fixture test;
    fake_server cold(test.loop, serves());
    test.add("s1", "frail", cold.address(), "dc", 3s);
    const milliseconds took =
        time_of([&test] { BOOST_TEST(test.ask("GET", "/frail/x", "1500").message.code == 503); });
    BOOST_CHECK(took < 1s);
    BOOST_TEST(cold.requests == 0);
}

// Guards against flooding servers that an evacuation has left cold, before their entries say so.
BOOST_AUTO_TEST_CASE(servers_of_a_returned_data_centre_count_as_cold) {
    front_fixture test;
    fake_server server(test.loop, serves());
    test.add("s1", "frail", server.address());
    BOOST_TEST(test.ask("GET", "/frail/x", "700").message.code == 200);
    test.evacuate("dc", true);
    test.evacuate("dc", false);
    BOOST_TEST(test.ask("GET", "/frail/x", "300").message.code == 503);
    BOOST_TEST(server.requests == 1);
}

// Guards against an evacuation that is undone by an older copy of itself which arrives late, and
// against one whose withdrawal was missed.
BOOST_AUTO_TEST_CASE(evacuations_follow_the_newest_version) {
    const data_centre_id dc("dc");
    evacuation_table table;
    BOOST_TEST(apply(table, {{dc, true, at(5)}}, start).size() == 1U);
    BOOST_TEST(apply(table, {{dc, false, at(4)}}, start + 1s).empty());
    BOOST_CHECK(evacuated_since(table, dc) == start);
    BOOST_TEST(apply(table, {{dc, true, at(7)}}, start + 2s).empty());
    BOOST_CHECK(evacuated_since(table, dc) == start);
    BOOST_TEST(replace(table, {}, at(9), start + 3s).size() == 1U);
    BOOST_TEST(!evacuated_since(table, dc).has_value());
    BOOST_CHECK(cold_until(table, dc, start, 3s) == start + 6s);
    BOOST_TEST(apply(table, {{dc, true, at(7)}}, start + 4s).empty());
    BOOST_TEST(apply(table, {{dc, true, at(10)}}, start + 5s).size() == 1U);

    evacuation_table other;
    apply(other, all_changes(table), start + 6s);
    BOOST_CHECK(evacuated_since(other, dc) == start + 6s);
    BOOST_CHECK(other.version == table.version);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::gateway::testing
