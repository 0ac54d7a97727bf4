// Two callers upload bodies that the configuration allows, at once, while others send credits on kept connections.
// Usage: uploads PROGRAM FOLDER RECORD TROUBLE
#include "platform.hh"

using namespace review;

namespace {

constexpr int memory_mb = 260;
constexpr int stable_window_ms = 3'000;
constexpr std::size_t max_body_bytes = 67'108'864;
constexpr std::size_t large_body = 62'914'560;
constexpr std::size_t small_body = 61'440;
constexpr int uploads = 2;
/// The machine's link carries 1,000 Mbit/s; all uploads together use 800 of it.
constexpr double upload_bytes_per_ms = 100'000.0 / uploads;
constexpr int callers = 12;
constexpr int max_lost = 3;

json configuration() {
    return {{"version", 1},
            {"routes",
             {{"columns", {"name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "backends",
                           "maxAttempts", "service"}},
              {"rows",
               {{"r-credit", "shop.example", "/credit/", "unsafe", 5, 0.5, 1, nullptr, 2, "ledger"},
                {"r-upload", "shop.example", "/upload/", "unsafe", 5, 2, 2, nullptr, 2, "desk"}}}}},
            {"services",
             {{"columns", {"name", "healthPath", "maxConnections", "protocol", "tls", "sharded", "warmS", "grants"}},
              {"rows",
               {{"ledger", "/health", 130, "h1", false, nullptr, nullptr, nullptr},
                {"desk", "/health", 130, "h1", false, nullptr, nullptr, nullptr}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384}, {"maxBodyBytes", max_body_bytes}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}}}};
}

std::string head(const std::string& path, const std::string& id, std::size_t body, int deadline_ms) {
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: " + std::to_string(body) +
           "\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    const std::string program = argv[1];
    const std::string folder = argv[2];
    record notes(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    signal(SIGPIPE, SIG_IGN);

    store platform;
    platform.put("op", "config", configuration());
    std::vector<std::unique_ptr<server>> ledgers;
    for (int i = 1; i <= 2; ++i) {
        ledgers.push_back(std::make_unique<server>(
            platform, notes, "i-ledger-" + std::to_string(i), "ledger", [](const std::string&) { return 1500; },
            [](const std::string&) { return 300; }));
    }
    server desk(platform, notes, "i-desk-1", "desk", [](const std::string&) { return 400; },
                [](const std::string&) { return 100; });
    machine first(notes, program, folder, "front-a-1", platform.port, memory_mb);
    machine second(notes, program, folder, "front-a-2", platform.port, memory_mb);
    for (const machine* one : {&first, &second}) {
        const std::int64_t until = now_ms() + 15'000;
        while (!one->is_ready()) {
            if (now_ms() > until) {
                notes.add("a gateway did not become ready");
                std::_Exit(2);
            }
            sleep_ms(50);
        }
    }
    notes.add("both gateways are ready");
    const std::int64_t begin = now_ms() + stable_window_ms + 1'000;
    const std::int64_t end = begin + 8'000;
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::atomic<int> other{0};

    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            int number = 0;
            while (now_ms() < end) {
                const int fd = dial(first.front);
                if (fd < 0) {
                    sleep_ms(100);
                    continue;
                }
                connection peer(fd);
                for (bool kept = false; now_ms() < end; kept = true) {
                    const std::string id = "credit-" + std::to_string(caller) + "-" + std::to_string(++number);
                    if (!peer.send(head("/credit/x", id, 300, 4'000) + std::string(300, 'c'))) {
                        break;
                    }
                    const std::int64_t sent = now_ms();
                    message answer;
                    if (peer.read(answer)) {
                        ++(status_of(answer) == 200 ? served : other);
                        if (status_of(answer) != 200) {
                            notes.add("caller gets " + answer.first_line + " for " + id);
                        }
                        if (strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
                            break;
                        }
                        continue;
                    }
                    const bool run = std::any_of(ledgers.begin(), ledgers.end(),
                                                 [&id](const auto& one) { return one->has_run(id); });
                    notes.add("the connection of " + id + " ends without an answer after " +
                              std::to_string(now_ms() - sent) + " ms; " + (kept ? "kept" : "new") + " connection, " +
                              (run ? "passed on to a server" : "not seen at a server"));
                    lost += kept && run ? 1 : 0;
                    break;
                }
            }
        });
    }
    for (int upload = 0; upload < uploads; ++upload) {
        threads.emplace_back([&, upload] {
            sleep_ms(begin - now_ms());
            const std::string id = "upload-" + std::to_string(upload);
            const std::size_t size = trouble ? large_body : small_body;
            const int fd = dial(first.front);
            if (fd < 0) {
                notes.add(id + " cannot connect");
                return;
            }
            connection peer(fd);
            notes.add("caller sends " + id + ", " + std::to_string(size) + " bytes");
            bool open = peer.send(head("/upload/x", id, size, 5'000));
            const std::string block(65'536, 'u');
            const std::int64_t from = now_ms();
            for (std::size_t sent = 0; open && sent < size;) {
                const std::size_t part = std::min(block.size(), size - sent);
                open = peer.send(block.data(), part);
                sent += part;
                const auto due = from + static_cast<std::int64_t>(static_cast<double>(sent) / upload_bytes_per_ms);
                if (due > now_ms()) {
                    sleep_ms(due - now_ms());
                }
            }
            message answer;
            notes.add(open && peer.read(answer) ? "caller gets " + answer.first_line + " for " + id
                                                : "the connection of " + id + " ends without an answer");
        });
    }
    for (std::thread& one : threads) {
        one.join();
    }
    notes.add("served " + std::to_string(served) + ", other answers " + std::to_string(other) +
              ", passed on from a kept connection and cut " + std::to_string(lost) + " (allowed " +
              std::to_string(max_lost) + "); ends of processes " + std::to_string(first.ends + second.ends) +
              "; peak " + std::to_string(first.peak_kb) + " KiB and " + std::to_string(second.peak_kb) + " KiB of " +
              std::to_string(memory_mb) + " MB");
    const bool broken = lost > max_lost;
    std::printf("%s: %d credits were passed on and cut (more than %d break LOST), %d ends of processes, %d served, peak %ld KiB\n",
                broken ? "BROKEN" : "kept", lost.load(), max_lost, (first.ends + second.ends), served.load(),
                first.peak_kb.load());
    if (served == 0) {
        std::fflush(stdout);
        return 2;
    }
    return broken ? 1 : 0;
}
