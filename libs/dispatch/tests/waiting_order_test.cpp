#include "dispatch/waiting_order.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace greengagechute::dispatch {

namespace {

using namespace std::chrono_literals;

constexpr time_point start = time_point{} + 100s;

waiting_request make_request(int priority, milliseconds arrived, milliseconds target,
                             milliseconds work) {
    return {priority, start + arrived, start + arrived + target, work};
}

struct crest_result {
    int in_time = 0;
    int late = 0;
    int refused = 0;
    milliseconds longest_wait{0};
};

/// Plays a crest of 3 s with 1.5 times what ten places run, in steps of 10 ms. Requests leave the
/// queue when their deadline is near.
crest_result play_crest(bool by_arrival) {
    constexpr std::size_t places = 10;
    constexpr auto work = 300ms;
    constexpr auto target = 1'000ms;
    constexpr auto deadline = 3'000ms;
    crest_result result;
    std::vector<waiting_request> waiting;
    std::size_t given = 0;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> busy;
    std::mt19937_64 random(3);
    for (time_point now = start; now < start + 12s; now += 10ms) {
        const double load = now < start + 1s || now > start + 4s ? 0.6 : 1.5;
        std::poisson_distribution<int> arrivals(load * places / 30.0);
        for (int count = arrivals(random); count > 0; --count) {
            waiting.push_back({0, now, now + target, work});
        }
        std::erase_if(waiting, [&](const waiting_request& request) {
            const bool given_up = now + work > request.arrived + deadline;
            result.refused += given_up ? 1 : 0;
            return given_up;
        });
        while (!busy.empty() && busy.top() <= now) {
            busy.pop();
        }
        std::vector<std::size_t> order = order_of_service(waiting, given, now);
        if (by_arrival) {
            std::sort(order.begin(), order.end());
        }
        std::vector<std::size_t> sent;
        for (const std::size_t index : order) {
            if (busy.size() >= places) {
                break;
            }
            busy.push(now + work);
            ++given;
            const milliseconds waited =
                std::chrono::duration_cast<milliseconds>(now - waiting[index].arrived);
            (waited + work <= target ? result.in_time : result.late) += 1;
            result.longest_wait = std::max(result.longest_wait, waited);
            sent.push_back(index);
        }
        std::sort(sent.rbegin(), sent.rend());
        for (const std::size_t index : sent) {
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(waiting_order)

// Guards against a crest after which everybody is served late, because those that are late already
// take the places of those that could still be in time.
BOOST_AUTO_TEST_CASE(crest_makes_fewer_requests_late) {
    const crest_result by_arrival = play_crest(true);
    const crest_result by_cost = play_crest(false);
    BOOST_TEST_MESSAGE("by arrival: " << by_arrival.in_time << " in time, " << by_arrival.late
                                      << " late, " << by_arrival.refused
                                      << " refused; by cost: " << by_cost.in_time << ", "
                                      << by_cost.late << ", " << by_cost.refused);
    BOOST_TEST(by_cost.in_time > by_arrival.in_time);
    BOOST_TEST(by_cost.late * 2 < by_arrival.late);
    const int served = by_arrival.in_time + by_arrival.late;
    BOOST_TEST((by_cost.in_time + by_cost.late) * 100 >= served * 95);
}

// Guards against late requests that never get a place, and against places left free beside them.
BOOST_AUTO_TEST_CASE(late_requests_get_a_part_of_the_places) {
    std::vector<waiting_request> waiting;
    waiting.reserve(12);
    for (int count = 0; count < 10; ++count) {
        waiting.push_back(make_request(0, milliseconds{count}, 1s, 100ms));
    }
    waiting.push_back(make_request(0, -5s, 1s, 100ms));
    waiting.push_back(make_request(0, -4s, 1s, 100ms));
    const std::vector<std::size_t> order = order_of_service(waiting, 0, start);
    BOOST_REQUIRE(order.size() == waiting.size());
    BOOST_TEST(order[4] == 10U);
    BOOST_TEST(order[9] == 11U);
    BOOST_TEST(order_of_service({waiting[11]}, 0, start).size() == 1U);
}

// Guards against late requests that are starved because places become free one at a time.
BOOST_AUTO_TEST_CASE(late_requests_get_their_part_of_single_places) {
    std::vector<waiting_request> waiting{make_request(0, -5s, 1s, 100ms)};
    std::size_t place = 0;
    bool late_served = false;
    for (; place < 10 && !late_served; ++place) {
        waiting.push_back(make_request(0, 0ms, 1s, 100ms));
        const std::size_t next = order_of_service(waiting, place, start).front();
        late_served = next == 0;
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
    }
    BOOST_TEST(late_served);
    BOOST_TEST(place == 5U);
}

// Guards against a less urgent request that is served before a more urgent one, and against one
// with much work that waits behind one which can wait longer.
BOOST_AUTO_TEST_CASE(priority_goes_before_the_target_and_the_target_before_arrival) {
    const std::vector<waiting_request> waiting{
        make_request(1, -200ms, 1s, 100ms),
        make_request(0, -50ms, 2s, 100ms),
        make_request(0, 0ms, 2s, 900ms),
        {0, start - 300ms, {}, 100ms},
    };
    const std::vector<std::size_t> expected{2, 1, 3, 0};
    const std::vector<std::size_t> order = order_of_service(waiting, 0, start);
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::dispatch
