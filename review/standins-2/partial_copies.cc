// Faulty servers send the beginning of a second copy of their last answer before they answer the next request of a
// connection. Usage: partial_copies PROGRAM FOLDER RECORD TROUBLE
#include "platform.hh"

using namespace review;

namespace {

constexpr int memory_mb = 260;
constexpr int servers = 5;
constexpr int faulty_servers = 3;
constexpr double copy_share = 0.03;
constexpr int work_ms = 10;
constexpr int callers = 64;
constexpr int run_ms = 80'000;

json configuration() {
    return {{"version", 1},
            {"routes",
             {{"columns", {"name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "backends",
                           "maxAttempts", "service"}},
              {"rows", {{"r-credit", "shop.example", "/credit/", "unsafe", 2, 0.5, 1, nullptr, 2, "ledger"}}}}},
            {"services",
             {{"columns", {"name", "healthPath", "maxConnections", "protocol", "tls", "sharded", "warmS", "grants"}},
              {"rows", {{"ledger", "/health", 130, "h1", false, nullptr, nullptr, nullptr}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67'108'864}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}}}};
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    record notes(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    signal(SIGPIPE, SIG_IGN);
    store platform;
    platform.put("op", "config", configuration());
    std::vector<std::unique_ptr<server>> ledgers;
    for (int i = 1; i <= servers; ++i) {
        ledgers.push_back(std::make_unique<server>(
            platform, notes, "i-ledger-" + std::to_string(i), "ledger", [](const std::string&) { return 20; },
            [](const std::string&) { return work_ms; }));
        ledgers.back()->fail_on("/credit/closed-account");
        ledgers.back()->send_partial_copies(trouble && i <= faulty_servers ? copy_share : 0);
    }
    machine first(notes, argv[1], argv[2], "front-a-1", platform.port, memory_mb);
    const std::int64_t until = now_ms() + 15'000;
    while (!first.is_ready()) {
        if (now_ms() > until) {
            notes.add("the gateway did not become ready");
            return 2;
        }
        sleep_ms(50);
    }
    sleep_ms(4'000);
    std::atomic<int> failed{0};
    std::atomic<int> false_success{0};
    std::atomic<int> good{0};
    const std::int64_t end = now_ms() + run_ms;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            int number = 0;
            while (now_ms() < end && false_success == 0) {
                const int fd = dial(first.front);
                if (fd < 0) {
                    sleep_ms(100);
                    continue;
                }
                connection peer(fd);
                while (now_ms() < end && false_success == 0) {
                    const bool closed = ++number % 2 == 0;
                    const std::string id = "credit-" + std::to_string(caller) + "-" + std::to_string(number);
                    const std::string body(100, 'c');
                    message answer;
                    if (!peer.send("POST /credit/" + std::string(closed ? "closed-account" : "shop") +
                                   " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                                   "\r\nDeadline-Ms: 1200\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body) ||
                        !peer.read(answer)) {
                        notes.add("the connection of " + id + " ends without an answer");
                        break;
                    }
                    const int status = status_of(answer);
                    const std::string signature = answer.header("Response-Signature");
                    notes.add("caller gets " + std::to_string(status) + " for " + id + ", signature " +
                              (signature.empty() ? "none" : signature));
                    good += !closed && status == 200 ? 1 : 0;
                    failed += status >= 500 ? 1 : 0;
                    if (status != 200) {
                        // As the answer states, or briefly.
                        const double seconds = std::atof(answer.header("Retry-After").c_str());
                        sleep_ms(std::max<std::int64_t>(20, static_cast<std::int64_t>(seconds * 1'000)));
                    }
                    if (closed && status >= 200 && status < 300) {
                        ++false_success;
                        notes.add("MIXED: the server had answered " + id + " with 500");
                    }
                }
            }
        });
    }
    for (std::thread& one : threads) {
        one.join();
    }
    const bool broken = false_success > 0;
    std::printf("%s: %d credits that their server had answered with 500 got a success; %d served, %d failed\n",
                broken ? "BROKEN" : "kept", false_success.load(), good.load(), failed.load());
    std::fflush(stdout);
    return good == 0 ? 2 : broken ? 1 : 0;
}
