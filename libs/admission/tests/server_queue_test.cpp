#include "admission/server_queue.h"

#include "admission/errors.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;
using admission::admission_errc;
using gg::milliseconds;

namespace {

const gg::time_point start{std::chrono::hours(1)};

admission::route_id route(const std::string& segment) {
    return admission::route_of(gg::service_id("s"), "", "GET", "/" + segment);
}

/// A queue whose requests are numbered from 1, with a clock that is set by the test.
struct fixture {
    explicit fixture(std::size_t slots, std::size_t length = 64,
                     const admission::queue_policy& policy = {})
        : queue(admission::make_server_queue(policy, {slots, length}, start)) {}

    gg::result<gg::microseconds> offer(const std::string& segment, milliseconds deadline,
                                       const std::string& caller = "c") {
        admission::request_info info;
        info.request = gg::request_id(++this->last);
        info.route = route(segment);
        info.caller = gg::caller_id(caller);
        info.deadline = this->now + deadline;
        return admission::offer(this->queue, info, this->now);
    }

    /// Starts the next request and returns its number, or 0 if none may start.
    std::uint64_t take() {
        const auto next = admission::take_next(this->queue, 100, this->now);
        return next ? next->value() : 0;
    }

    void finish(std::uint64_t number, milliseconds service,
                gg::outcome state = gg::outcome::answered) {
        BOOST_TEST(
            admission::finish(this->queue, gg::request_id(number), service, state, this->now));
    }

    /// Runs requests of the route one by one, so that its service time is known.
    void observe_service_times(const std::string& segment, milliseconds service, int times = 8) {
        for (int count = 0; count < times; ++count) {
            BOOST_TEST_REQUIRE(this->offer(segment, milliseconds(100'000)).has_value());
            this->finish(this->take(), service);
        }
    }

    gg::time_point now = start;
    admission::server_queue queue;
    std::uint64_t last = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(server_queue)

// Guards against short requests that wait behind longer ones, and against starvation of the longer
// ones.
BOOST_AUTO_TEST_CASE(shortest_expected_first_with_ageing) {
    fixture test(1);
    test.observe_service_times("short", milliseconds(1));
    test.observe_service_times("longer", milliseconds(11));
    static_cast<void>(test.offer("longer", milliseconds(1'000)));
    static_cast<void>(test.offer("short", milliseconds(1'000)));
    const std::uint64_t first = test.take();
    BOOST_TEST(first == test.last);
    test.finish(first, milliseconds(1));
    test.now += milliseconds(60);
    static_cast<void>(test.offer("short", milliseconds(1'000)));
    BOOST_TEST(test.take() == test.last - 2);
}

// Guards against reordering under the FIFO policy, with which the benchmarks compare.
BOOST_AUTO_TEST_CASE(arrival_order_is_kept_by_the_baseline) {
    admission::queue_policy policy;
    policy.order = admission::queue_order::arrival;
    fixture test(1, 64, policy);
    test.observe_service_times("short", milliseconds(1));
    test.observe_service_times("longer", milliseconds(11));
    static_cast<void>(test.offer("longer", milliseconds(1'000)));
    test.now += milliseconds(1);
    static_cast<void>(test.offer("short", milliseconds(1'000)));
    BOOST_TEST(test.take() == test.last - 1);
}

// Guards against admitting a request that cannot meet its deadline, and against refusing one for
// which a slot is free, since a wrong estimate would then never be corrected.
BOOST_AUTO_TEST_CASE(predicted_wait_is_compared_with_the_deadline) {
    fixture test(1);
    test.observe_service_times("work", milliseconds(100));
    BOOST_TEST(test.offer("work", milliseconds(50)).has_value());
    BOOST_TEST(test.take() == test.last);
    BOOST_TEST(test.offer("work", milliseconds(150)).error() ==
               admission_errc::wait_exceeds_deadline);
    const auto wait = test.offer("work", milliseconds(300));
    BOOST_TEST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->count() == 100'000);
    BOOST_TEST(test.offer("work", milliseconds(300)).error() ==
               admission_errc::wait_exceeds_deadline);
    BOOST_TEST(admission::predicted_wait(test.queue, test.now).count() == 200'000);
    BOOST_TEST(test.offer("work", milliseconds(0)).error() == admission_errc::deadline_passed);
}

// Guards against long requests that occupy all slots.
BOOST_AUTO_TEST_CASE(long_work_leaves_a_slot_free) {
    fixture test(3);
    test.observe_service_times("short", milliseconds(1), 100);
    test.observe_service_times("long", milliseconds(100), 4);
    test.now += std::chrono::seconds(5);
    for (int count = 0; count < 4; ++count) {
        BOOST_TEST(test.offer("long", milliseconds(10'000)).has_value());
    }
    BOOST_TEST(test.take() != 0U);
    BOOST_TEST(test.take() != 0U);
    BOOST_TEST(test.take() == 0U);
    const auto wait = test.offer("short", milliseconds(20));
    BOOST_TEST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->count() == 0);
    BOOST_TEST(test.take() == test.last);
}

// Guards against requests of an unknown route that occupy all slots before their service time is
// known, and against queued ones that stay limited after it is known to be short.
BOOST_AUTO_TEST_CASE(unknown_work_counts_as_long_until_it_is_known) {
    fixture test(2);
    for (int count = 0; count < 3; ++count) {
        BOOST_TEST(test.offer("new", milliseconds(10'000)).has_value());
    }
    const std::uint64_t first = test.take();
    BOOST_TEST(first != 0U);
    BOOST_TEST(test.take() == 0U);
    test.finish(first, milliseconds(2));
    BOOST_TEST(test.take() != 0U);
    BOOST_TEST(test.take() != 0U);
}

// Guards against a cold server that gets its full concurrency at once.
BOOST_AUTO_TEST_CASE(cold_server_is_started_slowly) {
    fixture test(3);
    admission::mark_cold(test.queue, start);
    BOOST_TEST(admission::usable_slots(test.queue, start) == 1U);
    BOOST_TEST(admission::usable_slots(test.queue, start + std::chrono::seconds(5)) == 2U);
    BOOST_TEST(admission::usable_slots(test.queue, start + std::chrono::seconds(10)) == 3U);
    test.queue.policy.slow_start = false;
    BOOST_TEST(admission::usable_slots(test.queue, start) == 3U);
}

// Guards against one caller that fills the queue.
BOOST_AUTO_TEST_CASE(caller_may_queue_a_share_only) {
    admission::queue_policy policy;
    policy.admission_by_wait = false;
    fixture test(1, 8, policy);
    for (int count = 0; count < 4; ++count) {
        BOOST_TEST(test.offer("a", milliseconds(1'000), "greedy").has_value());
    }
    BOOST_TEST(test.offer("a", milliseconds(1'000), "greedy").error() ==
               admission_errc::caller_over_share);
    BOOST_TEST(test.offer("a", milliseconds(1'000), "other").has_value());
    test.queue.policy.fair_shares = false;
    for (int count = 0; count < 3; ++count) {
        BOOST_TEST(test.offer("a", milliseconds(1'000), "greedy").has_value());
    }
    BOOST_TEST(test.offer("a", milliseconds(1'000), "other").error() == admission_errc::queue_full);
}

// Guards against a light caller whose request waits behind the backlog of a heavy one.
BOOST_AUTO_TEST_CASE(light_caller_runs_before_heavy_caller) {
    fixture test(1);
    test.observe_service_times("work", milliseconds(5));
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(test.offer("work", milliseconds(10'000), "heavy").has_value());
    }
    BOOST_TEST(test.offer("work", milliseconds(10'000), "light").has_value());
    const std::uint64_t light = test.last;
    BOOST_TEST(test.offer("work", milliseconds(10'000), "heavy").has_value());
    std::uint64_t before = 0;
    for (std::uint64_t next = test.take(); next != light; next = test.take()) {
        test.finish(next, milliseconds(5));
        ++before;
    }
    BOOST_TEST(before <= 3U);
}

// Guards against requests that run or are counted after they left the queue.
BOOST_AUTO_TEST_CASE(requests_leave_the_queue_once) {
    fixture test(1);
    test.observe_service_times("work", milliseconds(10));
    static_cast<void>(test.offer("work", milliseconds(1'000)));
    const std::uint64_t running = test.take();
    static_cast<void>(test.offer("work", milliseconds(1'000)));
    const gg::request_id queued(test.last);
    const admission::request_info again{queued, route("work"), gg::caller_id("c"),
                                        test.now + milliseconds(1'000)};
    BOOST_TEST(admission::offer(test.queue, again, test.now).error() ==
               admission_errc::duplicate_request);
    BOOST_CHECK(admission::cancel(test.queue, gg::request_id(running), test.now) ==
                admission::cancel_result::running);
    BOOST_CHECK(admission::cancel(test.queue, queued, test.now) ==
                admission::cancel_result::removed);
    BOOST_CHECK(admission::cancel(test.queue, queued, test.now) ==
                admission::cancel_result::unknown);
    test.finish(running, milliseconds(10));
    BOOST_TEST(!admission::finish(test.queue, gg::request_id(running), milliseconds(1),
                                  gg::outcome::answered, test.now));
    static_cast<void>(test.offer("work", milliseconds(1'000)));
    BOOST_TEST(admission::clear(test.queue).size() == 1U);
    BOOST_TEST(test.take() == 0U);
    BOOST_TEST(test.queue.active_callers == 0U);
}

// Guards against requests that stay queued while all slots are in use although they can no longer
// meet their deadline, and against starting one after its deadline.
BOOST_AUTO_TEST_CASE(late_requests_expire) {
    fixture test(1);
    test.observe_service_times("work", milliseconds(10));
    static_cast<void>(test.offer("work", milliseconds(1'000)));
    const std::uint64_t running = test.take();
    BOOST_TEST(test.offer("work", milliseconds(60)).has_value());
    const std::uint64_t late = test.last;
    BOOST_TEST(admission::expire(test.queue, test.now).empty());
    test.now += milliseconds(55);
    const auto expired = admission::expire(test.queue, test.now);
    BOOST_TEST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().value() == late);
    BOOST_TEST(test.offer("work", milliseconds(100)).has_value());
    test.finish(running, milliseconds(55));
    test.now += milliseconds(100);
    BOOST_TEST(test.take() == 0U);
    BOOST_TEST(admission::expire(test.queue, test.now).size() == 1U);
}

// Guards against estimates that change with requests that did not run, or that ignore the lower
// bound given by requests with an unknown outcome.
BOOST_AUTO_TEST_CASE(only_executed_requests_update_estimates) {
    fixture test(1);
    test.observe_service_times("work", milliseconds(10), 1);
    const auto mean = [&test] {
        for (const auto& set : test.queue.routes) {
            for (const auto& estimate : set) {
                if (estimate.route == route("work")) {
                    return estimate.mean;
                }
            }
        }
        return 0.0;
    };
    const auto run = [&test](milliseconds service, gg::outcome state) {
        static_cast<void>(test.offer("work", milliseconds(10'000)));
        test.finish(test.take(), service, state);
    };
    run(milliseconds(1), gg::outcome::not_run);
    BOOST_TEST(mean() == 10'000);
    run(milliseconds(1), gg::outcome::unknown);
    BOOST_TEST(mean() == 10'000);
    run(milliseconds(30), gg::outcome::unknown);
    BOOST_TEST(mean() == 20'000);
}

// Guards against unbounded memory when each request has a new caller or path.
BOOST_AUTO_TEST_CASE(tables_are_bounded) {
    fixture test(1);
    for (int count = 0; count < 10'000; ++count) {
        const std::string name = std::to_string(count);
        static_cast<void>(test.offer(name, milliseconds(1'000), name));
        static_cast<void>(admission::clear(test.queue));
    }
    BOOST_TEST(test.queue.callers.size() <= 4'096U);
    BOOST_TEST(test.queue.routes.size() == admission::route_set_count);
}

// Guards against routes that share an estimate although they differ in one part.
BOOST_AUTO_TEST_CASE(routes_are_distinguished_by_their_parts) {
    const gg::service_id service("s");
    const auto base = admission::route_of(service, "kind", "GET", "/a/b?c");
    BOOST_CHECK(base == admission::route_of(service, "kind", "GET", "/a?d"));
    BOOST_CHECK(base != admission::route_of(service, "kind", "GET", "/ab"));
    BOOST_CHECK(base != admission::route_of(service, "kind", "PUT", "/a"));
    BOOST_CHECK(base != admission::route_of(service, "", "kindGET", "/a"));
    BOOST_CHECK(base != admission::route_of(gg::service_id("t"), "kind", "GET", "/a"));
}

namespace {

/// Applies random operations and compares the queue with a model: the sets of request numbers that
/// should be queued and running.
struct queue_model_check {
    queue_model_check(std::size_t slots, const admission::queue_policy& policy)
        : slot_count(slots), test(slots, 16, policy) {}

    void step(int operation, int argument) {
        constexpr int operations = 6;
        switch (operation % operations) {
            case 0:
            case 1:
                this->offer(argument);
                break;
            case 2:
                this->take(static_cast<std::size_t>(argument) % 4);
                break;
            case 3:
                this->finish(argument);
                break;
            case 4:
                this->cancel(argument);
                break;
            default:
                this->expire(argument);
                break;
        }
        this->check();
    }

    void offer(int argument) {
        const std::string segment = "r" + std::to_string(argument % 4);
        const std::string caller = "c" + std::to_string(argument % 3);
        if (this->test.offer(segment, milliseconds(1 + argument % 300), caller)) {
            this->waiting.insert(this->test.last);
        }
    }

    void take(std::size_t free_slots) {
        const auto next = admission::take_next(this->test.queue, free_slots, this->test.now);
        if (!next) {
            return;
        }
        RC_ASSERT(free_slots > 0);
        // Fails if the request was refused or had already left the queue.
        RC_ASSERT(this->waiting.erase(next->value()) == 1U);
        this->running.push_back(next->value());
        const bool cap = this->test.queue.policy.long_work_cap;
        if (cap && this->test.queue.running.back().counts_as_long) {
            const auto count = std::count_if(
                this->test.queue.running.begin(), this->test.queue.running.end(),
                [](const admission::running_request& request) { return request.counts_as_long; });
            const std::size_t most = std::max<std::size_t>(this->slot_count - 1, 1);
            RC_ASSERT(static_cast<std::size_t>(count) <= most);
        }
    }

    void finish(int argument) {
        if (this->running.empty()) {
            return;
        }
        const std::size_t index = static_cast<std::size_t>(argument) % this->running.size();
        const gg::request_id request(this->running[index]);
        this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
        const auto state = static_cast<gg::outcome>(argument % 3);
        RC_ASSERT(admission::finish(this->test.queue, request, milliseconds(argument % 200), state,
                                    this->test.now));
        RC_ASSERT(
            !admission::finish(this->test.queue, request, milliseconds(1), state, this->test.now));
    }

    void cancel(int argument) {
        const std::uint64_t number =
            1 + static_cast<std::uint64_t>(argument) % (this->test.last + 1);
        const auto result =
            admission::cancel(this->test.queue, gg::request_id(number), this->test.now);
        const bool removed = result == admission::cancel_result::removed;
        RC_ASSERT(this->waiting.erase(number) == (removed ? 1U : 0U));
    }

    void expire(int argument) {
        this->test.now += milliseconds(argument % 100);
        for (const gg::request_id request : admission::expire(this->test.queue, this->test.now)) {
            RC_ASSERT(this->waiting.erase(request.value()) == 1U);
        }
    }

    void check() {
        const admission::server_queue& queue = this->test.queue;
        RC_ASSERT(queue.running.size() == this->running.size());
        RC_ASSERT(queue.running.size() <= this->slot_count);
        RC_ASSERT(queue.queued.size() <= queue.limits.length);
        const std::set<std::uint64_t> queued(queue.ids.begin(), queue.ids.end());
        RC_ASSERT(queued == this->waiting);
        std::size_t active = 0;
        for (const auto& [caller, share] : queue.callers) {
            active += share.queued + share.running > 0 ? 1 : 0;
        }
        RC_ASSERT(queue.active_callers == active);
    }

    std::size_t slot_count;
    fixture test;
    std::set<std::uint64_t> waiting;
    std::vector<std::uint64_t> running;
};

}  // namespace

// Guards against requests that are lost or returned twice, more running requests than slots, and
// long work in all slots, for all combinations of the policy switches.
RC_BOOST_PROP(each_queued_request_leaves_exactly_once, ()) {
    const auto switches = *rc::gen::inRange(0, 32);
    admission::queue_policy policy;
    policy.order = (switches & 1) != 0 ? admission::queue_order::arrival
                                       : admission::queue_order::shortest_expected;
    policy.long_work_cap = (switches & 2) == 0;
    policy.fair_shares = (switches & 4) == 0;
    policy.admission_by_wait = (switches & 8) == 0;
    policy.slow_start = (switches & 16) == 0;
    queue_model_check run(*rc::gen::inRange<std::size_t>(1, 6), policy);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1'000)));
    for (const auto& [operation, argument] : steps) {
        run.step(operation, argument);
    }
}

BOOST_AUTO_TEST_SUITE_END()
