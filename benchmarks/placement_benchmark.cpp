// Figures of library placement at the target size. Run by hand:
// build/benchmarks/placement_benchmark
#include "placement/delta.h"
#include "placement/heavy_hitters.h"
#include "placement/place.h"

#include <benchmark/benchmark.h>

#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace greengagechute;
using namespace greengagechute::placement;

constexpr std::uint32_t partitions = 65536;
constexpr std::size_t server_count = 1400;
constexpr std::size_t data_centres = 12;

std::vector<placement_server> make_servers(std::size_t count) {
    std::vector<placement_server> servers;
    servers.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers.push_back(placement_server{
            server_id("returns-ledger-" + std::to_string(index)),
            region_id("region-" + std::to_string(index % 3)),
            data_centre_id("centre-" + std::to_string(index % data_centres)), 6, false});
    }
    return servers;
}

placement_limits target_limits() {
    placement_limits limits;
    limits.partition_count = partitions;
    return limits;
}

service_map make_map(std::size_t count) {
    const auto target = place(nullptr, make_servers(count), target_limits());
    service_map map;
    map.service = service_id("returns-ledger");
    map.version = map_version(1);
    map.partition_count = partitions;
    map.servers = target->servers;
    for (std::size_t index = 0; index < map.servers.size(); ++index) {
        map.servers[index].dispatcher = {host_id("host-" + std::to_string(index)),
                                         incarnation(0x9e3779b97f4a7c15ULL * (index + 1))};
        map.servers[index].standby = map.servers[(index + 1) % map.servers.size()].dispatcher;
    }
    for (std::size_t number = 0; number < partitions; ++number) {
        map.partitions.push_back(
            partition_entry{target->owners[number], target->successors[number], epoch(300)});
    }
    return map;
}

service_map one_move_later(const service_map& map) {
    service_map next = map;
    next.version = map.version.next();
    for (std::size_t number = 0; number < 47; ++number) {
        partition_entry& entry = next.partitions[number * 1000];
        std::swap(entry.owner, entry.successor);
        entry.current = entry.current.next();
    }
    return next;
}

void locate_key(benchmark::State& state) {
    service_map map = make_map(server_count);
    for (std::uint64_t key = 0; key < max_hot_keys; ++key) {
        map.partitions.push_back(partition_entry{0, 1, epoch(1)});
        map.hot_keys.push_back(
            hot_key{key << 54U, partition_id(partitions + static_cast<std::uint32_t>(key))});
    }
    std::vector<std::string> keys;
    keys.reserve(4096);
    for (int number = 0; number < 4096; ++number) {
        keys.push_back("consignment-account-" + std::to_string(number * 7919));
    }
    std::size_t next = 0;
    for (auto step : state) {
        benchmark::DoNotOptimize(locate(map, keys[next++ % keys.size()]));
    }
}
BENCHMARK(locate_key);

void place_all(benchmark::State& state) {
    const auto servers = make_servers(server_count);
    const placement_limits limits = target_limits();
    for (auto step : state) {
        benchmark::DoNotOptimize(place(nullptr, servers, limits));
    }
}
BENCHMARK(place_all)->Unit(benchmark::kMillisecond);

void place_after_join(benchmark::State& state) {
    const service_map map = make_map(server_count);
    const auto servers = make_servers(server_count + 1);
    const placement_limits limits = target_limits();
    for (auto step : state) {
        const auto target = place(&map, servers, limits);
        state.counters["moved"] = static_cast<double>(target->moved);
    }
}
BENCHMARK(place_after_join)->Unit(benchmark::kMillisecond);

void place_after_leave(benchmark::State& state) {
    const service_map map = make_map(server_count);
    const auto servers = make_servers(server_count - 1);
    const placement_limits limits = target_limits();
    for (auto step : state) {
        const auto target = place(&map, servers, limits);
        state.counters["moved"] = static_cast<double>(target->moved);
    }
}
BENCHMARK(place_after_leave)->Unit(benchmark::kMillisecond);

void apply_delta(benchmark::State& state) {
    const service_map before = make_map(server_count);
    const service_map after = one_move_later(before);
    const map_delta forward = difference(before, after);
    const map_delta back = difference(after, before);
    service_map map = before;
    for (auto step : state) {
        benchmark::DoNotOptimize(apply(map, forward));
        benchmark::DoNotOptimize(apply(map, back));
    }
    state.counters["delta_bytes"] = static_cast<double>(encoded_size(forward));
}
BENCHMARK(apply_delta)->Unit(benchmark::kMicrosecond);

void decode_map(benchmark::State& state) {
    const std::string body = encode(make_map(server_count));
    for (auto step : state) {
        benchmark::DoNotOptimize(decode(body));
    }
}
BENCHMARK(decode_map)->Unit(benchmark::kMillisecond);

void record_key(benchmark::State& state) {
    heavy_hitters sketch(4096, milliseconds(10000));
    std::uint64_t number = 0;
    time_point now{};
    for (auto step : state) {
        number += 1;
        now += microseconds(1);
        sketch.record(number % 3 == 0 ? number % 100 : number * 0x9e3779b97f4a7c15ULL, 1, now);
    }
}
BENCHMARK(record_key);

void print_sizes() {
    for (const std::size_t count : {std::size_t{700}, server_count}) {
        const service_map map = make_map(count);
        const std::size_t memory = map.partitions.capacity() * sizeof(partition_entry) +
                                   map.servers.capacity() * sizeof(server_entry) +
                                   map.hot_keys.capacity() * sizeof(hot_key);
        std::cout << "map of " << partitions << " partitions and " << count
                  << " servers: " << memory << " bytes in memory without string bodies, "
                  << encode(map).size() << " bytes encoded; " << sizeof(partition_entry)
                  << " bytes per partition, " << sizeof(server_entry) << " bytes per server\n";
    }
}

}  // namespace

int main(int argument_count, char** arguments) {
    print_sizes();
    benchmark::Initialize(&argument_count, arguments);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
