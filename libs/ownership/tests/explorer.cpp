// Tests the state machines of hosts, servers and the coordinator under random schedules of messages
// and faults; see explorer_world.h. The failed schedule with the lowest seed is repeated with a
// trace. The outcome of a seed is deterministic.
#include "explorer_world.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using greengagechute::ownership::explorer::world;

void print_failure(std::uint64_t seed) {
    constexpr std::size_t shown = 80;
    world failing(seed, true);
    std::cerr << "seed " << seed << ": " << failing.run() << '\n';
    const std::size_t skipped = failing.trace.size() > shown ? failing.trace.size() - shown : 0;
    for (std::size_t line = skipped; line < failing.trace.size(); ++line) {
        std::cerr << "  " << failing.trace[line] << '\n';
    }
}

}  // namespace

// Usage: ownership_explorer_test [--seeds FROM COUNT]
int main(int argument_count, char** arguments) {
    std::uint64_t from = 1;
    std::uint64_t count = 2000;
    if (argument_count == 4 && std::string(arguments[1]) == "--seeds") {
        from = std::strtoull(arguments[2], nullptr, 10);
        count = std::strtoull(arguments[3], nullptr, 10);
    }
    std::atomic<std::uint64_t> next = from;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> first_failure = from + count;
    std::vector<std::thread> workers;
    for (unsigned worker = 0; worker < std::clamp(std::thread::hardware_concurrency() / 2, 1U, 4U);
         ++worker) {
        workers.emplace_back([&] {
            for (std::uint64_t seed = next++; seed < from + count; seed = next++) {
                if (!world(seed, false).run().empty()) {
                    failed += 1;
                    std::uint64_t lowest = first_failure;
                    while (seed < lowest && !first_failure.compare_exchange_weak(lowest, seed)) {
                    }
                }
            }
        });
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    std::cout << count << " schedules from seed " << from << ", " << failed << " failed\n";
    if (failed > 0) {
        print_failure(first_failure);
        return 1;
    }
    return 0;
}
