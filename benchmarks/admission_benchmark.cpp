#include "admission/server_queue.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;

namespace {

constexpr std::size_t queue_bound = 512;
/// Calls between two readings of the clock, so that reading it costs little per call.
constexpr std::size_t batch = 32;
/// Fixed, since most of the time of an iteration is not measured.
constexpr std::int64_t iterations = 5'000;
constexpr std::size_t callers = 64;
constexpr std::size_t routes = 16;

/// A queue of the given length with known routes and all slots in use.
struct prepared_queue {
    prepared_queue(std::size_t slots, std::size_t length)
        : queue(admission::make_server_queue({}, {slots, queue_bound}, this->now)) {
        for (std::size_t index = 0; index < routes * 4; ++index) {
            static_cast<void>(this->offer());
            this->run_one();
        }
        for (std::size_t index = 0; index < length; ++index) {
            static_cast<void>(this->offer());
        }
    }

    admission::request_info next_request() {
        const std::uint64_t number = ++this->last;
        admission::request_info info;
        info.request = gg::request_id(number);
        info.route = admission::route_of(gg::service_id("s"), "", "GET",
                                         "/r" + std::to_string(number % routes));
        info.caller = gg::caller_id("caller-" + std::to_string(number % callers));
        info.deadline = this->now + std::chrono::hours(1);
        return info;
    }

    bool offer() {
        this->now += std::chrono::microseconds(10);
        return admission::offer(this->queue, this->next_request(), this->now).has_value();
    }

    void run_one() {
        const auto next = admission::take_next(this->queue, queue_bound, this->now);
        if (next) {
            admission::finish(this->queue, *next, std::chrono::milliseconds(5),
                              gg::outcome::answered, this->now);
        }
    }

    gg::time_point now{std::chrono::hours(1)};
    admission::server_queue queue;
    std::uint64_t last = 0;
};

double seconds_since(std::chrono::steady_clock::time_point begin) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

/// `offer` to a queue of the given length; the requests are queued.
void offer_queued(benchmark::State& state) {
    prepared_queue test(3, static_cast<std::size_t>(state.range(0)));
    std::vector<admission::request_info> requests(batch);
    for (auto _ : state) {
        for (admission::request_info& request : requests) {
            request = test.next_request();
        }
        const auto begin = std::chrono::steady_clock::now();
        for (const admission::request_info& request : requests) {
            benchmark::DoNotOptimize(admission::offer(test.queue, request, test.now));
        }
        state.SetIterationTime(seconds_since(begin) / batch);
        for (const admission::request_info& request : requests) {
            admission::cancel(test.queue, request.request, test.now);
        }
    }
}

/// `offer` of requests that are refused for their predicted wait.
void offer_refused(benchmark::State& state) {
    prepared_queue test(3, static_cast<std::size_t>(state.range(0)));
    while (admission::take_next(test.queue, 3, test.now)) {
    }
    admission::request_info request = test.next_request();
    request.deadline = test.now + std::chrono::milliseconds(6);
    for (auto _ : state) {
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t index = 0; index < batch; ++index) {
            benchmark::DoNotOptimize(admission::offer(test.queue, request, test.now));
        }
        state.SetIterationTime(seconds_since(begin) / batch);
    }
}

/// `take_next` from a queue of the given length.
void take_next(benchmark::State& state) {
    prepared_queue test(batch, static_cast<std::size_t>(state.range(0)));
    std::vector<gg::request_id> taken;
    for (auto _ : state) {
        taken.clear();
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t index = 0; index < batch; ++index) {
            const auto next = admission::take_next(test.queue, 1, test.now);
            if (next) {
                taken.push_back(*next);
            }
        }
        state.SetIterationTime(seconds_since(begin) / batch);
        if (taken.size() != batch) {
            state.SkipWithError("the queue ran empty");
        }
        for (const gg::request_id request : taken) {
            admission::finish(test.queue, request, std::chrono::milliseconds(5),
                              gg::outcome::answered, test.now);
            static_cast<void>(test.offer());
        }
    }
}

/// The whole way of a request at a server with 3 slots.
void offer_take_finish(benchmark::State& state) {
    prepared_queue test(3, static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        static_cast<void>(test.offer());
        test.run_one();
    }
}

}  // namespace

BENCHMARK(offer_queued)
    ->Arg(0)
    ->Arg(32)
    ->Arg(128)
    ->Arg(256)
    ->Arg(448)
    ->UseManualTime()
    ->Iterations(iterations);
BENCHMARK(offer_refused)
    ->Arg(32)
    ->Arg(128)
    ->Arg(256)
    ->Arg(448)
    ->UseManualTime()
    ->Iterations(iterations);
BENCHMARK(take_next)->Arg(64)->Arg(128)->Arg(256)->Arg(448)->UseManualTime()->Iterations(
    iterations);
BENCHMARK(offer_take_finish)->Arg(0)->Arg(32)->Arg(128)->Arg(256)->Arg(448);
