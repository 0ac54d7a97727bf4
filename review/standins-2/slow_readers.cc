// Callers fetch large answers and read them slowly, while others send credits on kept connections.
// Usage: slow_readers PROGRAM FOLDER RECORD TROUBLE
#include "platform.hh"

using namespace review;

namespace {

constexpr int memory_mb = 512;
constexpr double cpu_share = 0.5;
constexpr int link_mbps = 200;
constexpr int stable_window_ms = 4'000;
constexpr std::size_t answer_bytes = 6'000'000;
/// At this interval the answers take 192 of the link's 200 Mbit/s.
constexpr int fetch_interval_ms = 250;
constexpr int fetches = 180;
/// What a slow caller reads, and the receive buffer of its machine.
constexpr int slow_bytes_per_s = 65'536;
constexpr int receive_buffer = 65'536;
constexpr int callers = 12;
constexpr int max_lost = 3;
constexpr int run_ms = 60'000;

json configuration() {
    return {{"version", 1},
            {"routes",
             {{"columns", {"name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "backends",
                           "maxAttempts", "service"}},
              {"rows",
               {{"r-publish", "registry.example", "/publish/", "unsafe", 4, 1.2, 1, nullptr, 2, "publish"},
                {"r-fetch", "registry.example", "/fetch/", "safe", 8, 5, 2, nullptr, 2, "archive"}}}}},
            {"services",
             {{"columns", {"name", "healthPath", "maxConnections", "protocol", "tls", "sharded", "warmS", "grants"}},
              {"rows",
               {{"publish", "/health", 500, "h1", false, nullptr, nullptr, nullptr},
                {"archive", "/health", 500, "h1", false, nullptr, nullptr, nullptr}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67'108'864}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}}}};
}

std::string head(const std::string& method, const std::string& path, const std::string& id, std::size_t body,
                 int deadline_ms) {
    return method + " " + path + " HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           (body > 0 ? "\r\nContent-Length: " + std::to_string(body) : "") + "\r\n\r\n";
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
    std::vector<std::unique_ptr<server>> publishers;
    std::vector<std::unique_ptr<server>> archives;
    for (int i = 1; i <= 2; ++i) {
        publishers.push_back(std::make_unique<server>(
            platform, notes, "i-publish-" + std::to_string(i), "publish", [](const std::string&) { return 5000; },
            [](const std::string&) { return 420; }));
    }
    for (int i = 1; i <= 4; ++i) {
        archives.push_back(std::make_unique<server>(
            platform, notes, "i-archive-" + std::to_string(i), "archive",
            [](const std::string&) { return answer_bytes; }, [](const std::string&) { return 100; }));
    }
    machine first(notes, program, folder, "front-a-1", platform.port, memory_mb, cpu_share, link_mbps);
    machine second(notes, program, folder, "front-a-2", platform.port, memory_mb, cpu_share, link_mbps);
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
    const std::int64_t end = begin + run_ms;
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::atomic<int> other{0};
    std::atomic<int> whole{0};
    std::atomic<int> fetch_cut{0};
    std::atomic<bool> stop{false};
    const auto over = [&] { return stop || now_ms() >= end; };

    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            int number = 0;
            while (!over()) {
                const int fd = dial(first.front);
                if (fd < 0) {
                    sleep_ms(100);
                    continue;
                }
                connection peer(fd);
                for (bool kept = false; !over(); kept = true) {
                    const std::string id = "publish-" + std::to_string(caller) + "-" + std::to_string(++number);
                    if (!peer.send(head("POST", "/publish/x", id, 1'200, 8'000) + std::string(1'200, 'c'))) {
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
                    const bool run = std::any_of(publishers.begin(), publishers.end(),
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
    for (int fetch = 0; fetch < fetches; ++fetch) {
        threads.emplace_back([&, fetch] {
            const std::int64_t due = begin + fetch * fetch_interval_ms;
            while (now_ms() < due && !over()) {
                sleep_ms(20);
            }
            if (over()) {
                return;
            }
            const std::string id = "fetch-" + std::to_string(fetch);
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
            const sockaddr_in address = loopback(first.front);
            if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
                ::close(fd);
                return;
            }
            connection peer(fd);
            notes.add("caller sends " + id);
            peer.send(head("GET", "/fetch/x", id, 0, 15'000));
            std::size_t received = 0;
            std::vector<char> bytes(slow_bytes_per_s / 10);
            while (!over() && received < answer_bytes) {
                const ssize_t count = ::recv(fd, bytes.data(), bytes.size(), 0);
                if (count <= 0) {
                    ++fetch_cut;
                    notes.add("the connection of " + id + " ends after " + std::to_string(received) + " bytes");
                    return;
                }
                received += static_cast<std::size_t>(count);
                if (trouble) {
                    sleep_ms(count * 1'000 / slow_bytes_per_s);
                }
            }
            whole += received >= answer_bytes ? 1 : 0;
        });
    }
    while (!over()) {
        if (first.ends > 0) {
            sleep_ms(500);
            stop = true;
        }
        sleep_ms(20);
    }
    for (std::thread& one : threads) {
        one.join();
    }
    notes.add("served " + std::to_string(served) + ", other answers " + std::to_string(other) +
              ", passed on from a kept connection and cut " + std::to_string(lost) + " (allowed " +
              std::to_string(max_lost) + "); fetches whole " + std::to_string(whole) + ", cut " + std::to_string(fetch_cut) +
              "; ends of processes " + std::to_string(first.ends + second.ends) + "; peak " +
              std::to_string(first.peak_kb) + " KiB and " + std::to_string(second.peak_kb) + " KiB of " +
              std::to_string(memory_mb) + " MB");
    const bool broken = lost > max_lost;
    std::printf("%s: %d requests were passed on and cut (more than %d break LOST), %d ends of processes, %d served, %d fetches whole, peak %ld KiB\n",
                broken ? "BROKEN" : "kept", lost.load(), max_lost, (first.ends + second.ends), served.load(), whole.load(),
                first.peak_kb.load());
    std::fflush(stdout);
    return served == 0 ? 2 : broken ? 1 : 0;
}
