// A server whose queue is long resets new connections. The gateway that leads is killed, and the
// next one has no connection to the servers yet.
#include "standin.hh"

#include <csignal>
#include <cstdio>
#include <memory>

using namespace review;

namespace {

constexpr int gateways = 7;
constexpr int servers = 4;
constexpr int callers = 70;
constexpr int per_s = 170;
constexpr int rounds = 3;
constexpr milliseconds between_kills{7'000};
constexpr milliseconds restart_after{1'000};
constexpr milliseconds bound{500};
constexpr milliseconds sample{5};

}  // namespace

int main(int, char** arguments) {
    const std::string folder(arguments[1]);
    recorder record(folder + "/record.txt");
    const scratch_folder scratch;
    store platform;
    std::vector<std::unique_ptr<keyed_server>> all;
    keyed_server::limits bounds;
    bounds.work = milliseconds{60};
    bounds.slots = 3;
    bounds.queue = 12;
    bounds.long_queue = 3;
    for (int number = 1; number <= servers; ++number) {
        all.push_back(
            std::make_unique<keyed_server>("i-" + std::to_string(number), "desk", bounds, record));
    }
    platform.put("op", "config",
                 configuration(1, {}, {"desk"},
                               {{"view", "plans.example", "/charts/", "desk", "safe", 2, 2}}));
    for (const auto& server : all) {
        platform.put("servers", server->name(),
                     server_row("desk", server->port(), server->born(), 1, 3));
    }
    std::vector<std::unique_ptr<gateway>> hosts;
    for (int number = 1; number <= gateways; ++number) {
        hosts.push_back(std::make_unique<gateway>(scratch.path(), number, platform.port()));
        hosts.back()->start();
    }
    for (const auto& one : hosts) {
        if (!one->wait_until_ready(milliseconds{10'000})) {
            record.line("a gateway is not ready");
            leave(not_run, scratch);
        }
    }
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> threads;
    const clock::time_point start = clock::now();
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            std::shared_ptr<connection> caller;
            std::uint64_t state =
                88'172'645'463'325'252ULL + static_cast<std::uint64_t>(number) * 7'919;
            const auto random = [&state] {
                state ^= state << 13U;
                state ^= state >> 7U;
                state ^= state << 17U;
                return state;
            };
            for (int count = 0; !stop; ++count) {
                const auto due =
                    start +
                    std::chrono::microseconds(
                        1'000'000LL * (static_cast<long long>(count) * callers + number) / per_s);
                std::this_thread::sleep_until(due);
                const std::string id = "r-" + std::to_string(number) + "-" + std::to_string(count);
                const auto key = static_cast<unsigned>(random() % 65'536);
                caller = caller ? caller : dial(hosts[number % gateways]->front_port());
                message got;
                if (!caller ||
                    !caller->write("GET /charts/x HTTP/1.1\r\nHost: plans.example\r\nRequest-Id: " +
                                   id + "\r\nShard-Key: " + std::to_string(key) +
                                   "\r\nDeadline-Ms: 2500\r\n\r\n") ||
                    caller->read(got, milliseconds{5'000}, true) != read_end::message) {
                    caller = nullptr;
                    continue;
                }
                record.line("caller gets " + std::to_string(got.status()) + " for " + id);
                served += got.status() == 200 ? 1 : 0;
                refused += got.status() == 200 ? 0 : 1;
            }
        });
    }
    while (served < 300 && elapsed() < milliseconds{20'000}) {
        sleep_for(milliseconds{10});
    }
    if (served < 300) {
        record.line("the requests are not served");
        leave(not_run, scratch);
    }
    std::map<std::pair<int, int>, clock::time_point> since;
    milliseconds longest{0};
    const auto watch_until = [&](clock::time_point end) {
        while (clock::now() < end) {
            for (int one = 0; one < servers; ++one) {
                for (int other = one + 1; other < servers; ++other) {
                    bool both = false;
                    for (const auto& a : all[one]->holds()) {
                        for (const auto& b : all[other]->holds()) {
                            both = both || (a.first <= b.last && b.first <= a.last);
                        }
                    }
                    const auto pair = std::make_pair(one, other);
                    if (!both) {
                        since.erase(pair);
                        continue;
                    }
                    const auto [found, added] = since.emplace(pair, clock::now());
                    if (added) {
                        record.line(all[one]->name() + " and " + all[other]->name() +
                                    " hold the same keys");
                    }
                    longest = std::max(longest, std::chrono::duration_cast<milliseconds>(
                                                    clock::now() - found->second));
                }
            }
            sleep_for(sample);
        }
    };
    watch_until(clock::now() + milliseconds{3'000});
    for (int round = 0; round < rounds; ++round) {
        gateway* leader = nullptr;
        const std::string term = platform.get("greengagechute-term", "coordinator");
        for (const auto& one : hosts) {
            if (term.find("127.0.0.1:" + std::to_string(one->peer_port()) + "\"") !=
                std::string::npos) {
                leader = one.get();
            }
        }
        if (leader != nullptr && with_trouble()) {
            record.line("the gateway that leads gets SIGKILL");
            leader->signal(SIGKILL);
            leader->wait_for_end(milliseconds{2'000});
            watch_until(clock::now() + restart_after);
            leader->start();
        }
        watch_until(clock::now() + between_kills);
    }
    stop = true;
    for (std::thread& one : threads) {
        one.join();
    }
    record.line("two servers held the same keys for at most " + std::to_string(longest.count()) +
                " ms at a time");
    std::printf("served %d, other answers %d, longest overlap %ld ms\n", served.load(),
                refused.load(), static_cast<long>(longest.count()));
    std::fflush(stdout);
    leave(longest > bound ? broken : held, scratch);
}
