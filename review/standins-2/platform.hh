// Stand-ins for the platform's store, the servers and the machines of a small deployment, after PROTOCOL.md and
// DEPLOY.md. All addresses are loopback addresses.
#pragma once

#include "http.hh"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace review {

using nlohmann::json;

inline std::string to_base64(const std::string& text) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '=' : digits[(group >> (18U - 6U * k)) & 63U];
        }
    }
    return out;
}

/// The platform's store: rows, transactions under conditions, and the feed of changes.
class store {
public:
    store() {
        const auto [fd, opened] = listen_on_free_port();
        this->port = opened;
        std::thread([this, fd = fd] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0) {
                    std::thread([this, accepted] { this->serve(accepted); }).detach();
                }
            }
        }).detach();
    }

    void put(const std::string& table, const std::string& key, const json& value) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->set(table, "", key, to_base64(value.dump()), ++this->version);
        this->changed.notify_all();
    }

    int port = 0;

private:
    struct row {
        std::string table;
        std::string part;
        std::string key;
        std::string value;
        std::uint64_t version = 0;
    };
    using row_key = std::array<std::string, 3>;

    void set(const std::string& table, const std::string& part, const std::string& key,
             const std::string& value, std::uint64_t when) {
        this->rows[{table, part, key}] = {table, part, key, value, when};
    }

    static json shown(const row& one) {
        return {{"table", one.table}, {"part", one.part}, {"key", one.key}, {"value", one.value}, {"ver", one.version}};
    }

    json answer_with(json rows) const {
        return {{"rows", std::move(rows)}, {"ver", this->version}, {"nowS", static_cast<double>(now_ms()) / 1000.0}};
    }

    static std::map<std::string, std::string> query_of(const std::string& target) {
        std::map<std::string, std::string> fields;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t next = target.find('&', at + 1);
            const std::string field = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const std::size_t equals = field.find('=');
            fields[field.substr(0, equals)] = equals == std::string::npos ? "" : field.substr(equals + 1);
            at = next;
        }
        return fields;
    }

    void serve(int accepted) {
        connection peer(accepted);
        message asked;
        while (peer.read(asked)) {
            const std::size_t space = asked.first_line.find(' ');
            const std::string target = asked.first_line.substr(space + 1, asked.first_line.rfind(' ') - space - 1);
            const std::string path = target.substr(0, target.find('?'));
            auto query = query_of(target);
            std::string status = "200 OK";
            json answer;
            std::unique_lock<std::mutex> lock(this->mutex);
            if (path == "/greengagechute/rows-get") {
                json found = json::array();
                for (const auto& [key, one] : this->rows) {
                    if (one.table == query["table"] && one.part == query["part"] && one.key >= query["from"]) {
                        found.push_back(shown(one));
                    }
                }
                answer = this->answer_with(std::move(found));
                answer["hasMore"] = false;
            } else if (path == "/greengagechute/rows-feed") {
                const std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
                const auto changes = [&] {
                    json found = json::array();
                    for (const auto& [key, one] : this->rows) {
                        if (one.table == query["table"] && one.version > after) {
                            found.push_back(shown(one));
                        }
                    }
                    return found;
                };
                const auto until =
                    clock_type::now() + std::chrono::milliseconds(std::atoi(query["waitMs"].c_str()));
                json found = changes();
                while (found.empty() && this->changed.wait_until(lock, until) == std::cv_status::no_timeout) {
                    found = changes();
                }
                answer = this->answer_with(std::move(found));
            } else if (path == "/greengagechute/rows-tx") {
                const json wanted = json::parse(asked.body, nullptr, false);
                bool holds = true;
                json present = json::array();
                for (const json& one : wanted.value("expected", json::array())) {
                    const auto found = this->rows.find({one["table"], one["part"], one["key"]});
                    holds = holds && (found == this->rows.end() ? 0 : found->second.version) == one["ver"];
                    if (found != this->rows.end()) {
                        present.push_back(shown(found->second));
                    }
                }
                if (holds) {
                    ++this->version;
                    for (const json& one : wanted["setKeys"]) {
                        this->set(one["table"], one["part"], one["key"], one["value"], this->version);
                    }
                    this->changed.notify_all();
                    answer = this->answer_with(json::array());
                } else {
                    status = "412 Precondition Failed";
                    answer = this->answer_with(std::move(present));
                }
            } else {
                status = "404 Not Found";
            }
            lock.unlock();
            if (!peer.send(response(status, {{"Content-Type", "application/json"}}, answer.dump()))) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<row_key, row> rows;
    std::uint64_t version = 0;
};

/// A sound server. It answers each request that it runs with a signature, after `work_ms`.
class server {
public:
    /// @param answer_size  bytes of an answer, by the path of the request
    server(store& registry, record& notes, std::string own_id, const std::string& service,
           std::function<std::size_t(const std::string&)> answer_size,
           std::function<int(const std::string&)> work_ms)
        : id(std::move(own_id)), log(notes), size_of(std::move(answer_size)), work_of(std::move(work_ms)) {
        const auto [fd, opened] = listen_on_free_port();
        std::thread([this, fd = fd] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0) {
                    std::thread([this, accepted] { this->serve(accepted); }).detach();
                }
            }
        }).detach();
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        registry.put("servers", this->id,
                     {{"address", "127.0.0.1:" + std::to_string(opened)},
                      {"born", static_cast<std::uint64_t>(born)},
                      {"info", {{"service", service}, {"version", "v1"}, {"zone", "zone-a"}, {"slots", 24}}},
                      {"status", {{"state", "ready"}, {"sequence", 1}, {"warmupLeftS", 0}}}});
    }

    /// Answers `path` with a failure of its own.
    void fail_on(const std::string& path) { this->failing_path = path; }

    /// For 5 of every 8 seconds, before this share of its further answers on a connection, the server sends the
    /// beginning of a second copy of its last answer there, which breaks off at a random byte.
    void send_partial_copies(double share) { this->copy_share = share; }

    /// Whether the server has begun to run the request.
    bool has_run(const std::string& request) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->run.contains(request);
    }

private:
    void serve(int accepted) {
        connection peer(accepted);
        message asked;
        std::string last_answer;
        std::mt19937 random(static_cast<unsigned>(peer.native()) + std::hash<std::string>()(this->id));
        while (peer.read(asked)) {
            const std::size_t space = asked.first_line.find(' ');
            const std::string path = asked.first_line.substr(space + 1, asked.first_line.rfind(' ') - space - 1);
            const std::string request = asked.header("Request-Id");
            const std::string expected = asked.header("Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                if (!peer.send(response("421 Misdirected Request",
                                        {{"Not-Executed", "1"}, {"Instance-Id", this->id}, {"Request-Id", request}}, ""))) {
                    return;
                }
                continue;
            }
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->run.insert(request);
            }
            this->log.add("server " + this->id + " runs " + request + " " + path + " body " +
                          std::to_string(asked.body_size));
            sleep_ms(this->work_of(path));
            const bool fails = !this->failing_path.empty() && path == this->failing_path;
            std::string copy;
            constexpr std::int64_t period_ms = 8'000;
            constexpr std::int64_t faulty_ms = 5'000;
            if (!last_answer.empty() && now_ms() % period_ms < faulty_ms &&
                std::uniform_real_distribution<double>(0, 1)(random) < this->copy_share) {
                copy = last_answer.substr(
                    0, std::uniform_int_distribution<std::size_t>(1, last_answer.size() - 1)(random));
                this->log.add("server " + this->id + " sends " + std::to_string(copy.size()) + " of " +
                              std::to_string(last_answer.size()) + " bytes of its last answer again before the answer to " +
                              request);
            }
            if (fails) {
                this->log.add("server " + this->id + " answers 500 to " + request);
            }
            last_answer = response(fails ? "500 Internal Server Error" : "200 OK",
                                   {{"Server-Load", "1,0,24"},
                                    {"Request-Id", request},
                                    {"Response-Signature", this->id + "." + request}},
                                   std::string(this->size_of(path), 'x'));
            if (!peer.send(copy + last_answer)) {
                return;
            }
        }
    }

    std::string id;
    record& log;
    std::function<std::size_t(const std::string&)> size_of;
    std::function<int(const std::string&)> work_of;
    std::mutex mutex;
    std::set<std::string> run;
    std::string failing_path;
    double copy_share = 0;
};

/// A machine that runs the gateway. As DEPLOY.md has it, a process that exceeds `memoryMb` is killed, and one that
/// ends is started again after a short delay.
class machine {
public:
    machine(record& notes, std::string program_path, std::string folder, std::string machine_name, int store_port,
            int memory, double cpu_share = 0.2, int link_mbps = 1'000)
        : log(notes), program(std::move(program_path)), name(std::move(machine_name)), memory_mb(memory) {
        this->front = free_port();
        this->ready = free_port();
        const int peers = free_port();
        this->settings = folder + "/" + this->name + ".conf";
        this->output = folder + "/" + this->name + ".log";
        std::ofstream file(this->settings);
        file << "nodeName=" << this->name << "\nrole=gateway\nmachineClass=front\nserves=front\nip=127.0.0.1\n"
             << "zone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front=127.0.0.1:" << this->front
             << "\nlisten.readyAddr=127.0.0.1:" << this->ready << "\ninternalPorts=" << peers << "," << peers
             << "\nbootstrap=true\nlossCounts=false\nlimits.cpuShare=" << cpu_share << "\nlimits.cores=1\nlimits.memoryMb=" << memory
             << "\nlimits.maxFds=4100\nlimits.linkMbps=" << link_mbps << ".0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n"
             << "heartbeatS=0.87\nbounds.drainS=2\nbounds.graceS=6\nbounds.lossSlackS=0.2\nbounds.configApplyS=2\n"
             << "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=62\nbounds.holdMaxS=10\n"
             << "grants=per_call\nplatform.address=127.0.0.1:" << store_port
             << "\nplatform.form=table\nplatform.rowBytes=65536\n";
        file.close();
        this->start();
        this->watcher = std::thread([this] { this->watch(); });
    }
    ~machine() {
        this->stopping = true;
        this->watcher.join();
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
        }
    }

    bool is_ready() const {
        const int fd = dial(this->ready);
        if (fd < 0) {
            return false;
        }
        connection peer(fd);
        message answer;
        return peer.send("GET /greengagechute/ready HTTP/1.1\r\nHost: ready\r\n\r\n") && peer.read(answer) &&
               status_of(answer) == 200;
    }

    int front = 0;
    std::atomic<int> ends{0};
    std::atomic<long> peak_kb{0};

private:
    void start() {
        const pid_t child = ::fork();
        if (child == 0) {
            const int out = ::open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("GREENGAGECHUTE_SETTINGS", this->settings.c_str(), 1);
            ::execl(this->program.c_str(), this->program.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        this->pid = child;
    }

    long resident_kb() const {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        std::string word;
        while (file >> word) {
            if (word == "VmRSS:") {
                long kb = 0;
                file >> kb;
                return kb;
            }
        }
        return 0;
    }

    void watch() {
        while (!this->stopping) {
            const long used = this->resident_kb();
            if (used > this->peak_kb) {
                this->peak_kb = used;
            }
            if (used > this->memory_mb * 1024L) {
                this->log.add(this->name + " exceeds memoryMb: " + std::to_string(used) + " KiB; the platform kills it");
                ::kill(this->pid, SIGKILL);
            }
            int how = 0;
            if (::waitpid(this->pid, &how, WNOHANG) == this->pid) {
                ++this->ends;
                this->log.add(this->name + " has ended (" +
                              (WIFSIGNALED(how) ? "signal " + std::to_string(WTERMSIG(how))
                                                : "exit " + std::to_string(WEXITSTATUS(how))) +
                              ")");
                sleep_ms(500);
                this->start();
            }
            sleep_ms(2);
        }
    }

    record& log;
    std::string program;
    std::string name;
    std::string settings;
    std::string output;
    int memory_mb;
    int ready = 0;
    pid_t pid = -1;
    std::atomic<bool> stopping{false};
    std::thread watcher;
};

}  // namespace review
