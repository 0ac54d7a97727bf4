#include "admission/server_queue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;
using std::chrono::microseconds;

namespace {

/// A class of simulated requests. Times are in milliseconds.
struct work_class {
    std::string name;
    /// Mean of the exponentially distributed service time.
    double service = 0;
    /// Time after arrival within which a response is useful.
    double deadline = 0;
    /// Mean rate of the Poisson arrivals in requests per second.
    double rate = 0;
    int callers = 4;
};

struct scenario {
    std::size_t slots = 3;
    std::vector<work_class> classes;
    admission::queue_policy policy;
    double seconds = 20;
};

struct class_result {
    int offered = 0;
    int refused = 0;
    int expired = 0;
    int late = 0;
    int in_time = 0;
    /// Service time of the requests that were answered in time, in milliseconds.
    double useful_work = 0;
    /// Response times in milliseconds.
    std::vector<double> responses;
};

struct simulation_result {
    std::vector<class_result> classes;

    int in_time() const {
        int sum = 0;
        for (const class_result& each : this->classes) {
            sum += each.in_time;
        }
        return sum;
    }
    double useful_work() const {
        double sum = 0;
        for (const class_result& each : this->classes) {
            sum += each.useful_work;
        }
        return sum;
    }
};

double p99(std::vector<double> values) {
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(values.size()) * 0.99);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

const admission::queue_policy baseline{admission::queue_order::arrival, false, false, false, false};

/// Discrete-event simulation of one server and its queue.
class queue_simulation {
public:
    explicit queue_simulation(const scenario& initial)
        : plan(initial),
          queue(admission::make_server_queue(initial.policy, {initial.slots, 512}, this->now)) {
        this->measured.classes.resize(initial.classes.size());
        for (std::size_t index = 0; index < initial.classes.size(); ++index) {
            this->next_arrivals.push_back(this->after(1'000.0 / initial.classes[index].rate));
        }
    }

    simulation_result run() {
        const gg::time_point end = this->now + this->to_duration(this->plan.seconds * 1'000);
        while (this->now < end) {
            this->step();
        }
        return std::move(this->measured);
    }

private:
    struct request {
        std::size_t kind = 0;
        double service = 0;
        gg::time_point arrived;
        gg::time_point deadline;
        gg::time_point ends;
    };

    static gg::time_point::duration to_duration(double milliseconds) {
        return std::chrono::duration_cast<gg::time_point::duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
    }

    static double to_milliseconds(gg::time_point::duration duration) {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    double random(double mean) {
        return std::exponential_distribution<double>(1 / mean)(this->generator);
    }

    gg::time_point after(double mean) { return this->now + this->to_duration(this->random(mean)); }

    /// Processes the next event: an arrival, the end of a service or an expiry check.
    void step() {
        const auto arrival =
            std::min_element(this->next_arrivals.begin(), this->next_arrivals.end());
        const auto end = std::min_element(
            this->running.begin(), this->running.end(), [this](auto first, auto second) {
                return this->requests[first].ends < this->requests[second].ends;
            });
        gg::time_point next = std::min(*arrival, this->next_expiry);
        const bool has_end = end != this->running.end() && this->requests[*end].ends <= next;
        if (has_end) {
            next = this->requests[*end].ends;
        }
        this->now = next;
        if (has_end) {
            this->finish(*end);
        } else if (this->next_expiry == next) {
            this->expire();
        } else {
            this->arrive(static_cast<std::size_t>(arrival - this->next_arrivals.begin()));
        }
        this->dispatch();
    }

    void arrive(std::size_t kind) {
        const work_class& work = this->plan.classes[kind];
        class_result& result = this->measured.classes[kind];
        this->next_arrivals[kind] = this->after(1'000.0 / work.rate);
        const std::uint64_t number = ++this->last_request;
        const request arrived{kind,
                              this->random(work.service),
                              this->now,
                              this->now + this->to_duration(work.deadline),
                              {}};
        admission::request_info info;
        info.request = gg::request_id(number);
        info.route = admission::route_of(gg::service_id("s"), "", "GET", "/" + work.name);
        info.caller = gg::caller_id(
            work.name + std::to_string(number % static_cast<std::uint64_t>(work.callers)));
        info.deadline = arrived.deadline;
        ++result.offered;
        if (admission::offer(this->queue, info, this->now)) {
            this->requests[number] = arrived;
        } else {
            ++result.refused;
        }
    }

    void finish(std::uint64_t number) {
        const request ended = this->requests[number];
        this->requests.erase(number);
        std::erase(this->running, number);
        admission::finish(this->queue, gg::request_id(number),
                          microseconds(static_cast<std::int64_t>(ended.service * 1'000)),
                          gg::outcome::answered, this->now);
        class_result& result = this->measured.classes[ended.kind];
        result.responses.push_back(to_milliseconds(this->now - ended.arrived));
        if (this->now <= ended.deadline) {
            ++result.in_time;
            result.useful_work += ended.service;
        } else {
            ++result.late;
        }
    }

    void expire() {
        this->next_expiry = this->now + std::chrono::milliseconds(10);
        for (const gg::request_id id : admission::expire(this->queue, this->now)) {
            ++this->measured.classes[this->requests[id.value()].kind].expired;
            this->requests.erase(id.value());
        }
    }

    void dispatch() {
        while (const auto next = admission::take_next(
                   this->queue, this->plan.slots - this->running.size(), this->now)) {
            request& started = this->requests[next->value()];
            started.ends = this->now + this->to_duration(started.service);
            this->running.push_back(next->value());
        }
    }

    scenario plan;
    gg::time_point now{std::chrono::hours(1)};
    admission::server_queue queue;
    std::mt19937_64 generator{42};
    std::vector<gg::time_point> next_arrivals;
    gg::time_point next_expiry = this->now;
    std::map<std::uint64_t, request> requests;
    std::vector<std::uint64_t> running;
    std::uint64_t last_request = 0;
    simulation_result measured;
};

simulation_result run(const scenario& plan) {
    return queue_simulation(plan).run();
}

/// Short work that keeps `load` slots busy on average.
work_class short_work(double load) {
    constexpr double service = 5;
    return {"short", service, 200, load * 1'000 / service, 4};
}

work_class long_work(double load) {
    constexpr double service = 250;
    return {"long", service, 5'000, load * 1'000 / service, 2};
}

/// Short, medium and long work with a third of the total load in slots each.
std::vector<work_class> mixed_work(double load) {
    work_class medium = short_work(load / 3);
    medium.name = "medium";
    medium.service *= 4;
    medium.rate /= 4;
    return {short_work(load / 3), medium, long_work(load / 3)};
}

void print(const std::string& name, const scenario& plan, const simulation_result& result) {
    std::printf("%-44s", name.c_str());
    for (std::size_t index = 0; index < plan.classes.size(); ++index) {
        const class_result& each = result.classes[index];
        std::printf(" | %s: offered %d refused %d expired %d late %d in time %d p99 %.1f ms",
                    plan.classes[index].name.c_str(), each.offered, each.refused, each.expired,
                    each.late, each.in_time, p99(each.responses));
    }
    std::printf("\n");
}

std::string name_of(const admission::queue_policy& policy) {
    return policy.order == admission::queue_order::arrival ? "baseline" : "policy";
}

/// Goodput (requests answered in time) at 3 times the capacity, relative to that at capacity.
double goodput_ratio(scenario plan, std::vector<work_class> (*classes)(double)) {
    const auto slots = static_cast<double>(plan.slots);
    simulation_result at_capacity;
    simulation_result last;
    for (const double factor : {0.5, 1.0, 1.5, 2.0, 3.0}) {
        plan.classes = classes(slots * factor);
        const simulation_result result = run(plan);
        std::string label = name_of(plan.policy) + " slots " + std::to_string(plan.slots);
        label += " load " + std::to_string(factor).substr(0, 3);
        print(label, plan, result);
        if (factor == 1.0) {
            at_capacity = result;
        }
        last = result;
    }
    const double share = static_cast<double>(last.in_time()) / at_capacity.in_time();
    std::printf("%s: at 3 times capacity / at capacity: goodput %.3f, useful work %.3f\n",
                name_of(plan.policy).c_str(), share,
                last.useful_work() / at_capacity.useful_work());
    return share;
}

std::vector<work_class> only_short(double load) {
    return {short_work(load)};
}

/// The p99 response time of short work in the presence of long work, relative to that without it.
double blocking_ratio(const admission::queue_policy& policy, std::size_t slots, double short_load,
                      double long_load) {
    scenario plan;
    plan.slots = slots;
    plan.policy = policy;
    plan.seconds = 60;
    plan.classes = {short_work(short_load * static_cast<double>(slots))};
    const simulation_result without = run(plan);
    plan.classes.push_back(long_work(long_load * static_cast<double>(slots)));
    const simulation_result with = run(plan);
    const double ratio = p99(with.classes[0].responses) / p99(without.classes[0].responses);
    std::string label = name_of(policy) + " slots " + std::to_string(slots) + " short " +
                        std::to_string(short_load).substr(0, 4) + " long " +
                        std::to_string(long_load).substr(0, 4) + " ratio " +
                        std::to_string(ratio).substr(0, 5);
    print(label, plan, with);
    return ratio;
}

void check_blocking(std::size_t slots, const std::vector<double>& short_loads) {
    for (const double short_load : short_loads) {
        for (const double long_load : {0.1, 0.3, 0.6}) {
            BOOST_TEST(blocking_ratio({}, slots, short_load, long_load) <= 1.5);
        }
        blocking_ratio(baseline, slots, short_load, 0.3);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(queue_replay)

// Guards against wasted work under overload: requests that are admitted although they cannot meet
// their deadline.
BOOST_AUTO_TEST_CASE(goodput_holds_at_three_times_capacity) {
    for (const std::size_t slots : {3U, 6U}) {
        scenario plan;
        plan.slots = slots;
        BOOST_TEST(goodput_ratio(plan, only_short) >= 0.95);
        BOOST_TEST(goodput_ratio(plan, mixed_work) >= 0.95);
        plan.policy = baseline;
        goodput_ratio(plan, only_short);
        goodput_ratio(plan, mixed_work);
    }
}

// Guards against short work that waits behind long work, at loads for which one slot fewer is
// enough for the short work. The FIFO baseline is printed for comparison.
BOOST_AUTO_TEST_CASE(short_work_does_not_wait_for_long_work) {
    check_blocking(3, {0.1, 0.2, 0.4});
    check_blocking(6, {0.1, 0.2, 0.4, 0.6});
}

// The same on three slots, at loads for which the two slots beside a single long request are not
// enough for the short work.
BOOST_AUTO_TEST_CASE(short_work_does_not_wait_on_three_busy_slots) {
    check_blocking(3, {0.5, 0.6});
}

// Guards against a caller that displaces the requests of others by sending more.
BOOST_AUTO_TEST_CASE(light_callers_are_served_beside_a_heavy_one) {
    for (const std::size_t slots : {3U, 6U}) {
        scenario plan;
        plan.slots = slots;
        plan.classes = {short_work(0.3 * static_cast<double>(slots)),
                        short_work(3 * static_cast<double>(slots))};
        plan.classes[0].name = "light";
        plan.classes[1].name = "heavy";
        plan.classes[1].callers = 1;
        const simulation_result result = run(plan);
        print("policy", plan, result);
        const class_result& light = result.classes[0];
        BOOST_TEST(light.in_time >= 0.95 * light.offered);
        plan.policy = baseline;
        print("baseline", plan, run(plan));
    }
}

BOOST_AUTO_TEST_SUITE_END()
