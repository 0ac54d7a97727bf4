#include "admission/server_health.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;
using gg::milliseconds;

namespace {

const gg::time_point start{std::chrono::hours(1)};
const admission::health_limits limits;

std::vector<admission::server_health> make_servers(std::size_t count) {
    std::vector<admission::server_health> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].server = gg::server_id("s" + std::to_string(index));
    }
    return servers;
}

void fail(admission::server_health& server, gg::time_point now = start) {
    for (std::uint32_t count = 0; count < limits.failures_in_a_row; ++count) {
        admission::observe(server, limits, false, now);
    }
}

bool contains(const std::vector<std::size_t>& list, std::size_t value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_health)

// Guards against health reports that override more recent results of the host's own requests.
BOOST_AUTO_TEST_CASE(own_observations_come_before_reports) {
    admission::server_health server;
    server.report = {false, false, start};
    BOOST_TEST(admission::is_unhealthy(server, limits, start));
    admission::observe(server, limits, true, start);
    BOOST_TEST(!admission::is_unhealthy(server, limits, start));
    BOOST_TEST(admission::is_unhealthy(server, limits, start + limits.observation_age));
    server.report->healthy = true;
    fail(server);
    BOOST_TEST(admission::is_unhealthy(server, limits, start));
}

// Guards against an ejection that never ends, and against repeated ejections that don't get longer.
BOOST_AUTO_TEST_CASE(ejections_end_and_grow) {
    admission::server_health server;
    fail(server);
    BOOST_TEST(admission::is_unhealthy(server, limits, start + milliseconds(4'999)));
    const gg::time_point returned = start + milliseconds(5'000);
    BOOST_TEST(!admission::is_unhealthy(server, limits, returned));
    fail(server, returned);
    BOOST_TEST(admission::is_unhealthy(server, limits, returned + milliseconds(9'999)));
    BOOST_TEST(!admission::is_unhealthy(server, limits, returned + milliseconds(10'000)));
    admission::observe(server, limits, true, returned + milliseconds(80'000));
    BOOST_TEST(server.ejections == 0U);
}

// Guards against a server that stays in use although half of its requests fail, because it never
// fails three in a row.
BOOST_AUTO_TEST_CASE(high_failure_ratio_ejects) {
    admission::server_health server;
    for (int count = 0; count < 20; ++count) {
        admission::observe(server, limits, count % 2 == 0, start);
    }
    BOOST_TEST(admission::is_unhealthy(server, limits, start));
}

// Guards against ejections that leave too few servers for the load.
BOOST_AUTO_TEST_CASE(at_most_a_third_is_ejected) {
    auto servers = make_servers(6);
    for (std::size_t index = 0; index < 5; ++index) {
        fail(servers[index]);
    }
    BOOST_TEST(admission::eligible_servers(servers, limits, {}, start).size() == 4U);
    fail(servers[5]);
    BOOST_TEST(admission::eligible_servers(servers, limits, {}, start).size() == 6U);
    servers[0].report = {true, true, start};
    BOOST_TEST(!contains(admission::eligible_servers(servers, limits, {}, start), 0));
    BOOST_TEST(admission::eligible_servers(servers, limits, {false}, start).size() == 5U);
}

// Guards against traffic between regions while the own region has capacity, and against requests
// that wait in the own region for longer than the link cost.
BOOST_AUTO_TEST_CASE(own_region_is_preferred_up_to_the_link_cost) {
    auto servers = make_servers(4);
    servers[2].link_cost = milliseconds(24);
    servers[3].link_cost = milliseconds(24);
    servers[0].predicted_wait = milliseconds(24);
    servers[1].predicted_wait = milliseconds(90);
    std::mt19937_64 generator(1);
    for (int count = 0; count < 50; ++count) {
        BOOST_TEST(admission::select_server(servers, limits, {}, generator, start).value() == 0U);
    }
    servers[0].predicted_wait = milliseconds(25);
    BOOST_TEST(admission::select_server(servers, limits, {}, generator, start).value() >= 2U);
    servers[2].predicted_wait = milliseconds(2);
    servers[3].predicted_wait = milliseconds(2);
    BOOST_TEST(admission::select_server(servers, limits, {}, generator, start).value() == 0U);
    BOOST_TEST(admission::select_server({}, limits, {}, generator, start).error() ==
               admission::admission_errc::no_server);
}

// Guards against a selection that sends all requests to the server with the lowest predicted wait.
BOOST_AUTO_TEST_CASE(two_random_choices_spread_the_load) {
    auto servers = make_servers(12);
    servers[4].predicted_wait = milliseconds(50);
    std::mt19937_64 generator(2);
    std::vector<int> chosen(servers.size(), 0);
    for (int count = 0; count < 1'200; ++count) {
        ++chosen[admission::select_server(servers, limits, {}, generator, start).value()];
    }
    BOOST_TEST(chosen[4] == 0);
    BOOST_TEST(*std::max_element(chosen.begin(), chosen.end()) < 200);
}

// Guards against excluding more than a third of the servers as unhealthy, and against an empty
// result while any server is not draining.
RC_BOOST_PROP(enough_servers_stay_eligible, ()) {
    auto servers = make_servers(*rc::gen::inRange<std::size_t>(1, 15));
    std::size_t draining = 0;
    for (auto& server : servers) {
        const int kind = *rc::gen::inRange(0, 5);
        if (kind == 0) {
            server.report = {true, true, start};
            ++draining;
        } else if (kind <= 2) {
            fail(server);
        } else if (kind == 3) {
            server.report = {false, false, start};
        }
    }
    const std::size_t candidates = servers.size() - draining;
    const auto chosen = admission::eligible_servers(servers, limits, {}, start);
    RC_ASSERT(chosen.size() >= candidates - candidates / 3);
    RC_ASSERT(chosen.size() <= candidates);
    for (const std::size_t index : chosen) {
        RC_ASSERT(!servers[index].report || !servers[index].report->draining);
    }
}

BOOST_AUTO_TEST_SUITE_END()
