#include "dispatch/server_choice.h"
#include "front_fixture.h"
#include "gateway/balancer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace greengagechute::gateway::testing {

namespace {

using namespace std::chrono_literals;

constexpr time_point start = time_point{} + 100s;

struct spread_result {
    int sent = 0;
    int in_time = 0;
    double busiest_to_mean = 0;
};

/// Plays 20 s of requests through many hosts to uneven servers of six slots that queue without
/// bound. Each host knows only what it meets.
/// @param drawn  each host uses the better of two servers drawn by their speed; otherwise the best
///               of all that it knows
spread_result play_hosts(int host_count, double requests_per_s, bool drawn) {
    constexpr std::size_t server_count = 64;
    constexpr int slots = 6;
    constexpr double speeds[] = {0.6, 1.0, 1.4};
    constexpr double work_ms = 420;
    constexpr double us_per_ms = 1e3;
    constexpr auto target = 1'200ms;
    balancer_settings settings;
    std::vector<std::vector<server_state>> known(static_cast<std::size_t>(host_count));
    for (std::vector<server_state>& servers : known) {
        servers.resize(server_count);
        for (server_state& server : servers) {
            server.entry.slots = slots;
        }
    }
    std::vector<std::vector<time_point>> free_at(server_count,
                                                 std::vector<time_point>(slots, start));
    std::vector<int> counts(server_count, 0);
    struct answer {
        time_point at;
        std::size_t host;
        std::size_t server;
        microseconds took;
        bool operator>(const answer& other) const { return this->at > other.at; }
    };
    std::priority_queue<answer, std::vector<answer>, std::greater<>> answers;
    std::mt19937_64 random(4);
    std::uniform_real_distribution<double> unit(0, 1);
    std::exponential_distribution<double> gap(requests_per_s);
    std::lognormal_distribution<double> work(-0.125, 0.5);
    double mean_ms = work_ms;
    spread_result result;
    const auto to_us = [](double us) { return microseconds(static_cast<std::int64_t>(us)); };
    for (time_point now = start; now < start + 20s; now += to_us(gap(random) * 1e6)) {
        while (!answers.empty() && answers.top().at <= now) {
            const answer& done = answers.top();
            server_state& server = known[done.host][done.server];
            --server.in_flight;
            record_answer(server, done.took, false, settings, done.at);
            const auto busy =
                std::count_if(free_at[done.server].begin(), free_at[done.server].end(),
                              [&done](time_point at) { return at > done.at; });
            record_load(server, {static_cast<int>(busy), 0, slots}, done.at);
            mean_ms += 0.01 * (static_cast<double>(done.took.count()) / us_per_ms - mean_ms);
            answers.pop();
        }
        const auto host =
            std::min(static_cast<std::size_t>(unit(random) * host_count), known.size() - 1);
        std::vector<server_state>& servers = known[host];
        settings.initial_latency_ms = drawn ? mean_ms : balancer_settings{}.initial_latency_ms;
        std::vector<std::size_t> candidates;
        dispatch::weighted_pair pair;
        for (std::size_t index = 0; index < server_count; ++index) {
            const double latency = servers[index].latency_ms;
            pair.offer(index, slots / (latency > 0 ? latency : mean_ms), 1 - unit(random));
            candidates.push_back(index);
        }
        if (drawn) {
            candidates = {*pair.drawn()[0], *pair.drawn()[1]};
        }
        const std::size_t chosen = *std::min_element(
            candidates.begin(), candidates.end(), [&](std::size_t left, std::size_t right) {
                return expected_latency_ms(servers[left], distance::same_region, settings, now) <
                       expected_latency_ms(servers[right], distance::same_region, settings, now);
            });
        const double ms = work(random) * work_ms / speeds[chosen % std::size(speeds)];
        time_point& slot = *std::min_element(free_at[chosen].begin(), free_at[chosen].end());
        slot = std::max(slot, now) + to_us(ms * us_per_ms);
        ++servers[chosen].in_flight;
        ++counts[chosen];
        const auto took = std::chrono::duration_cast<microseconds>(slot - now);
        answers.push({slot, host, chosen, took});
        ++result.sent;
        result.in_time += took <= target ? 1 : 0;
    }
    result.busiest_to_mean = static_cast<double>(*std::max_element(counts.begin(), counts.end())) *
                             server_count / result.sent;
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(overload)

// Guards against many hosts that all flood the few servers which look quickest to them.
BOOST_AUTO_TEST_CASE(many_hosts_spread_over_uneven_servers) {
    for (const int hosts : {74, 400}) {
        const spread_result best = play_hosts(hosts, 550, false);
        const spread_result drawn = play_hosts(hosts, 550, true);
        BOOST_TEST_MESSAGE(hosts << " hosts: best known " << best.in_time << " of " << best.sent
                                 << " in time, busiest " << best.busiest_to_mean << "; drawn "
                                 << drawn.in_time << " of " << drawn.sent << ", busiest "
                                 << drawn.busiest_to_mean);
        BOOST_TEST(drawn.in_time * 100.0 / drawn.sent >= best.in_time * 100.0 / best.sent);
        BOOST_TEST(drawn.busiest_to_mean < 3);
        BOOST_TEST(drawn.in_time * 100 >= drawn.sent * 90);
    }
}

// Guards against turning away a caller's first request while a repetition that is late already is
// sent.
BOOST_AUTO_TEST_CASE(repetitions_past_their_target_are_turned_away_first) {
    front_fixture test;
    fake_server server(test.loop, [](const auto& asked) { reply(asked, 200, "p", true); });
    test.add("o", "keys", server.address());
    test.set_owner("o");
    BOOST_TEST(test.ask("GET", "/timed-keys/x", "5000", "9").message.code == 200);
    limits_update limits;
    limits.version = 1;
    limits.limits[service_id("keys")] = {{{8, 11}, 0.5}};
    test.front->set_limits(limits, wire::event_loop::now());
    int first_sent = 0;
    int repeated_sent = 0;
    for (int count = 0; count < 20; ++count) {
        repeated_sent += test.ask("GET", "/timed-keys/x", "3000", "9").message.code == 200 ? 1 : 0;
        first_sent += test.ask("GET", "/timed-keys/x", "5000", "9").message.code == 200 ? 1 : 0;
    }
    BOOST_TEST(first_sent >= 16);
    BOOST_TEST(repeated_sent <= 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::gateway::testing
