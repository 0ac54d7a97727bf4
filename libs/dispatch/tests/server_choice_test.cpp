#include "dispatch/server_choice.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

namespace greengagechute::dispatch {

BOOST_AUTO_TEST_SUITE(server_choice)

// Guards against drawing the same server twice, and against drawing none although there is one.
BOOST_AUTO_TEST_CASE(two_different_servers_are_drawn) {
    weighted_pair none;
    BOOST_TEST(!none.drawn()[0].has_value());
    weighted_pair single;
    single.offer(7, 1.0, 0.5);
    BOOST_TEST(*single.drawn()[0] == 7U);
    BOOST_TEST(!single.drawn()[1].has_value());
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int round = 0; round < 1'000; ++round) {
        weighted_pair pair;
        for (std::size_t server = 0; server < 5; ++server) {
            pair.offer(server, 1.0 + static_cast<double>(server), 1.0 - draw(random));
        }
        const auto drawn = pair.drawn();
        BOOST_REQUIRE(drawn[0].has_value());
        BOOST_REQUIRE(drawn[1].has_value());
        BOOST_TEST(*drawn[0] != *drawn[1]);
    }
}

// Guards against hosts that all send to the same quick server, and against slow servers that get as
// much as quick ones.
BOOST_AUTO_TEST_CASE(first_server_is_drawn_in_proportion_to_its_weight) {
    const std::vector<double> weights{1, 2, 4, 1};
    std::vector<int> counts(weights.size(), 0);
    std::mt19937_64 random(2);
    std::uniform_real_distribution<double> draw(0, 1);
    constexpr int rounds = 40'000;
    for (int round = 0; round < rounds; ++round) {
        weighted_pair pair;
        for (std::size_t server = 0; server < weights.size(); ++server) {
            pair.offer(server, weights[server], 1.0 - draw(random));
        }
        ++counts[*pair.drawn()[0]];
    }
    for (std::size_t server = 0; server < weights.size(); ++server) {
        const double expected = rounds * weights[server] / 8;
        BOOST_TEST(counts[server] > 0.93 * expected);
        BOOST_TEST(counts[server] < 1.07 * expected);
    }
}

// Guards against spreading the requests of a few hosts, which know the load of their servers.
BOOST_AUTO_TEST_CASE(few_hosts_meet_their_servers_often) {
    BOOST_TEST(!is_seldom_met(11, 3));
    BOOST_TEST(!is_seldom_met(24, 6));
    BOOST_TEST(is_seldom_met(74, 6));
    BOOST_TEST(is_seldom_met(91, 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::dispatch
