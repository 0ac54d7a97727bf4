#include "standin.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace review {

namespace {

const clock::time_point began = clock::now();
constexpr const char* gateway_program =
    "target/programs/greengagechute-gateway/greengagechute-gateway";

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int free_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

std::string base64(const std::string& bytes) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const auto byte = [&](std::size_t offset) {
            return at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U;
        };
        const unsigned group = byte(0) << 16U | byte(1) << 8U | byte(2);
        text += digits[group >> 18U];
        text += digits[group >> 12U & 63U];
        text += at + 1 < bytes.size() ? digits[group >> 6U & 63U] : '=';
        text += at + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

std::string from_base64(const std::string& text) {
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (digit < 0) {
            break;
        }
        group = group << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t begin = target.find(name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 1;
    return target.substr(value, target.find('&', value) - value);
}

std::uint64_t number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

milliseconds elapsed() {
    return std::chrono::duration_cast<milliseconds>(clock::now() - began);
}

void sleep_for(milliseconds time) {
    std::this_thread::sleep_for(time);
}

bool with_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

recorder::recorder(const std::string& file) : path(file) {
    std::ofstream(this->path, std::ios::trunc);
}

void recorder::line(const std::string& text) {
    const std::lock_guard guard(this->lock);
    std::ofstream out(this->path, std::ios::app);
    out << elapsed().count() << " ms  " << text << "\n";
}

std::string message::header(const std::string& name) const {
    for (const auto& [key, value] : this->headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

std::string message::method() const {
    return this->start.substr(0, this->start.find(' '));
}

std::string message::target() const {
    const std::size_t begin = this->start.find(' ') + 1;
    return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

int message::status() const {
    const std::size_t begin = this->start.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(this->start.c_str() + begin + 1);
}

connection::~connection() {
    this->close();
}

void connection::close(bool reset) {
    const int open = this->fd;
    this->fd = -1;
    if (open < 0) {
        return;
    }
    if (reset) {
        const linger at_once{1, 0};
        ::setsockopt(open, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    ::close(open);
}

bool connection::write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

long connection::read_some(std::string& bytes, std::size_t size, milliseconds timeout) {
    if (!this->buffered.empty()) {
        bytes = this->buffered.substr(0, size);
        this->buffered.erase(0, bytes.size());
        return static_cast<long>(bytes.size());
    }
    pollfd waiting{this->fd, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) {
        return -2;
    }
    bytes.resize(size);
    const ssize_t count = ::recv(this->fd, bytes.data(), size, 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return count >= 0 ? static_cast<long>(count) : -1;
}

bool connection::fill(milliseconds timeout, read_end& how) {
    std::string bytes;
    const std::string before = std::exchange(this->buffered, {});
    const long count = this->read_some(bytes, 65'536, timeout);
    this->buffered = before + bytes;
    if (count > 0) {
        return true;
    }
    how = count == 0 ? read_end::closed : count == -1 ? read_end::reset : read_end::timeout;
    return false;
}

read_end connection::read(message& read, milliseconds timeout, bool is_response) {
    read_end how = read_end::message;
    const clock::time_point until = clock::now() + timeout;
    const auto left = [until] {
        return std::max(milliseconds{0},
                        std::chrono::duration_cast<milliseconds>(until - clock::now()));
    };
    std::size_t end = std::string::npos;
    while ((end = this->buffered.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(left(), how)) {
            return how;
        }
    }
    read = {};
    std::string head = this->buffered.substr(0, end + 2);
    this->buffered.erase(0, end + 4);
    std::size_t line_end = head.find("\r\n");
    read.start = head.substr(0, line_end);
    for (std::size_t at = line_end + 2; at < head.size(); at = line_end + 2) {
        line_end = head.find("\r\n", at);
        const std::string line = head.substr(at, line_end - at);
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        read.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    const std::string length = read.header("Content-Length");
    if (!length.empty()) {
        while (this->buffered.size() < number(length)) {
            if (!this->fill(left(), how)) {
                return how;
            }
        }
        read.body = this->buffered.substr(0, number(length));
        this->buffered.erase(0, number(length));
    } else if (is_response && read.status() != 204 && read.status() != 304) {
        read.until_close = true;
        while (this->fill(left(), how)) {
        }
        read.body = std::exchange(this->buffered, {});
        return how == read_end::closed ? read_end::message : how;
    }
    return read_end::message;
}

std::shared_ptr<connection> dial(int port, const std::function<void(int)>& prepare) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare) {
        prepare(fd);
    }
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<connection>(fd);
}

void listener::open_socket(int port) {
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(this->fd, 512) != 0) {
        throw std::runtime_error("cannot listen");
    }
    ::getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size);
    this->bound = ntohs(address.sin_port);
}

listener::listener(int port, handler made) : on_connection(std::move(made)) {
    this->open_socket(port);
    this->accepting = std::thread([this] {
        while (!this->stopped) {
            if (this->closed) {
                if (this->fd >= 0) {
                    ::close(std::exchange(this->fd, -1));
                }
                sleep_for(milliseconds{2});
                continue;
            }
            if (this->fd < 0) {
                this->open_socket(this->bound);
            }
            pollfd waiting{this->fd, POLLIN, 0};
            if (::poll(&waiting, 1, 2) <= 0) {
                continue;
            }
            const int made_fd = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (made_fd < 0) {
                continue;
            }
            const int nodelay = 1;
            ::setsockopt(made_fd, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
            const auto accepted = std::make_shared<connection>(made_fd);
            {
                const std::lock_guard guard(this->lock);
                this->open.push_back(accepted);
            }
            std::thread([handle = this->on_connection, accepted] { handle(accepted); }).detach();
        }
    });
}

void listener::stop() {
    if (this->stopped.exchange(true)) {
        return;
    }
    this->accepting.join();
    if (this->fd >= 0) {
        ::close(this->fd);
    }
    const std::lock_guard guard(this->lock);
    for (const auto& one : this->open) {
        if (const auto still = one.lock()) {
            ::shutdown(still->descriptor(), SHUT_RDWR);
        }
    }
}

listener::~listener() {
    this->stop();
}

store::store() {
    this->server = std::make_unique<listener>(
        0, [this](const std::shared_ptr<connection>& caller) { this->serve(caller); });
}

void store::serve(const std::shared_ptr<connection>& caller) {
    message call;
    while (caller->read(call, milliseconds{120'000}, false) == read_end::message) {
        sleep_for(milliseconds{4});
        int status = 200;
        const std::string body = this->handle(call, status);
        if (!caller->write("HTTP/1.1 " + std::to_string(status) +
                           " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

std::string store::content(const std::string& table, std::uint64_t after, bool whole) const {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, entry] : this->rows) {
        if (name.first != table || entry.version <= after || (whole && entry.removed)) {
            continue;
        }
        nlohmann::json next{
            {"table", name.first}, {"part", ""}, {"key", name.second}, {"ver", entry.version}};
        if (entry.removed) {
            next["removed"] = true;
        } else {
            next["value"] = entry.value;
        }
        list.push_back(std::move(next));
    }
    return nlohmann::json{{"rows", std::move(list)},
                          {"ver", this->version},
                          {"nowS", static_cast<double>(elapsed().count()) / 1'000.0},
                          {"hasMore", false}}
        .dump();
}

std::string store::handle(const message& call, int& status) {
    const std::string target = call.target();
    std::unique_lock guard(this->lock);
    if (target.find("/rows-tx") != std::string::npos) {
        const auto body = nlohmann::json::parse(call.body);
        for (const auto& expected : body["expected"]) {
            const auto found = this->rows.find({expected["table"], expected["key"]});
            const bool exists = found != this->rows.end() && !found->second.removed;
            if ((exists ? found->second.version : 0) != expected["ver"].get<std::uint64_t>()) {
                status = 412;
                return nlohmann::json{{"rows", nlohmann::json::array()}, {"ver", this->version}}
                    .dump();
            }
        }
        ++this->version;
        for (const auto& next : body["setKeys"]) {
            this->rows[{next["table"], next["key"]}] = {next["value"], this->version, false};
        }
        this->changed.notify_all();
        return nlohmann::json{{"ver", this->version}, {"nowS", 0.0}}.dump();
    }
    const std::string table = parameter(target, "table");
    if (target.find("/rows-feed") == std::string::npos) {
        return this->content(table, 0, true);
    }
    const std::uint64_t after = number(parameter(target, "after"));
    this->changed.wait_for(guard, milliseconds(number(parameter(target, "waitMs"))), [&] {
        return std::any_of(this->rows.begin(), this->rows.end(), [&](const auto& entry) {
            return entry.first.first == table && entry.second.version > after;
        });
    });
    return this->content(table, after, false);
}

void store::put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard guard(this->lock);
    this->rows[{table, key}] = {base64(value), ++this->version, false};
    this->changed.notify_all();
}

void store::remove(const std::string& table, const std::string& key) {
    const std::lock_guard guard(this->lock);
    this->rows[{table, key}] = {"", ++this->version, true};
    this->changed.notify_all();
}

std::string store::get(const std::string& table, const std::string& key) {
    const std::lock_guard guard(this->lock);
    const auto found = this->rows.find({table, key});
    return found == this->rows.end() || found->second.removed ? ""
                                                              : from_base64(found->second.value);
}

gateway::gateway(const std::string& folder, int id, int store_port)
    : settings(folder + "/gateway-" + std::to_string(id) + ".conf"),
      log(folder + "/gateway-" + std::to_string(id) + ".log"),
      front(free_port()),
      readiness(free_port()),
      peers(free_port()) {
    std::ofstream file(this->settings);
    file << "nodeName=front-a-" << id << "\nrole=gateway\nmachineClass=front\nserves=front\n"
         << "ip=127.0.0.1\nzone=a\nregion=north\nzones.a=north\n"
         << "listen.front=127.0.0.1:" << this->front
         << "\nlisten.readyAddr=127.0.0.1:" << this->readiness << "\ninternalPorts=" << this->peers
         << "," << this->peers << "\nbootstrap=true\nlimits.cpuShare=0.2\nlimits.cores=1\n"
         << "limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nheartbeatS=1.5\n"
         << "bounds.stableWindowS=3\nbounds.drainS=2\nbounds.graceS=6\nbounds.lossSlackS=0.2\n"
         << "bounds.configApplyS=2\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
         << "bounds.budgetSlack=62\nbounds.recoveryS=15\nbounds.holdMaxS=10\n"
         << "bounds.thawSlackS=0.3\ngrants=per_call\nplatform.address=127.0.0.1:" << store_port
         << "\nplatform.form=table\nplatform.rowBytes=65536\nplatform.historyS=20\n";
}

gateway::~gateway() {
    if (this->running()) {
        this->signal(SIGKILL);
        this->wait_for_end(milliseconds{2'000});
    }
}

void gateway::start() {
    const std::string variable = "GREENGAGECHUTE_SETTINGS=" + this->settings;
    const std::string path =
        std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
    const char* const program =
        std::getenv("REVIEW_GATEWAY") != nullptr ? std::getenv("REVIEW_GATEWAY") : gateway_program;
    this->pid = ::fork();
    if (this->pid == 0) {
        // No gateway outlives its case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        char* const arguments[] = {const_cast<char*>(program), nullptr};
        char* const environment[] = {const_cast<char*>(variable.c_str()),
                                     const_cast<char*>(path.c_str()), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
}

void gateway::signal(int id) const {
    if (this->pid > 0) {
        ::kill(this->pid, id);
    }
}

bool gateway::running() {
    if (this->pid <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->pid = -1;
        return false;
    }
    return true;
}

bool gateway::wait_for_end(milliseconds timeout) {
    const clock::time_point until = clock::now() + timeout;
    while (this->running()) {
        if (clock::now() > until) {
            return false;
        }
        sleep_for(milliseconds{5});
    }
    return true;
}

bool gateway::ready() const {
    const auto asking = dial(this->readiness);
    message answer;
    return asking && asking->write("GET /greengagechute/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           asking->read(answer, milliseconds{500}, true) == read_end::message &&
           answer.status() == 200;
}

bool gateway::wait_until_ready(milliseconds timeout) const {
    const clock::time_point until = clock::now() + timeout;
    while (!this->ready()) {
        if (clock::now() > until) {
            return false;
        }
        sleep_for(milliseconds{50});
    }
    return true;
}

keyed_server::keyed_server(std::string own_id, std::string own_service, limits own_bounds,
                           recorder& lines)
    : id(std::move(own_id)),
      service(std::move(own_service)),
      bounds(own_bounds),
      record(lines),
      start_time(unix_ms()) {
    this->server = std::make_unique<listener>(
        0, [this](const std::shared_ptr<connection>& caller) { this->serve(caller); });
}

void keyed_server::serve(const std::shared_ptr<connection>& caller) {
    message asked;
    while (caller->read(asked, milliseconds{120'000}, false) == read_end::message) {
        const clock::time_point arrived = clock::now();
        const std::string expected = asked.header("Expect-Instance");
        std::string answer;
        if (!expected.empty() && expected != this->id) {
            answer = "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nInstance-Id: " + this->id +
                     "\r\nRequest-Id: " + asked.header("Request-Id") +
                     "\r\nContent-Length: 0\r\n\r\n";
        } else if (asked.target() == "/greengagechute/grant" ||
                   asked.target() == "/greengagechute/release") {
            answer = this->order(asked, asked.target() == "/greengagechute/grant", arrived);
        } else {
            answer = this->run(asked);
        }
        if (!caller->write(answer)) {
            return;
        }
    }
}

void keyed_server::remove(unsigned first, unsigned last) {
    std::vector<hold> kept;
    for (const hold& one : this->held) {
        if (one.last < first || one.first > last) {
            kept.push_back(one);
            continue;
        }
        if (one.first < first) {
            kept.push_back({one.first, first - 1, one.fence, one.until});
        }
        if (one.last > last) {
            kept.push_back({last + 1, one.last, one.fence, one.until});
        }
    }
    this->held = std::move(kept);
}

std::string keyed_server::order(const message& asked, bool grant, clock::time_point arrived) {
    const auto body = nlohmann::json::parse(asked.body);
    hold next;
    next.first = body["from"];
    next.last = body["target"];
    next.fence = body["fence"];
    std::unique_lock guard(this->lock);
    for (const hold& one : this->held) {
        if (grant && one.first <= next.last && next.first <= one.last && one.fence > next.fence) {
            return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        }
    }
    const bool renewed = std::any_of(this->held.begin(), this->held.end(), [&](const hold& one) {
        return one.first == next.first && one.last == next.last && one.fence == next.fence;
    });
    this->remove(next.first, next.last);
    if (grant) {
        next.until = arrived + std::chrono::duration_cast<clock::duration>(
                                   std::chrono::duration<double>(body["holdS"].get<double>()));
    }
    // A released part keeps its fence, so that an older grant is refused.
    this->held.push_back(next);
    if (!grant || !renewed) {
        this->record.line(this->id + (grant ? " is granted keys " : " releases keys ") +
                          std::to_string(next.first) + " to " + std::to_string(next.last) +
                          ", fence " + std::to_string(next.fence));
    }
    if (!grant) {
        this->ended.wait_for(guard, milliseconds{10'000}, [&] {
            const auto from = this->running.lower_bound(next.first);
            return from == this->running.end() || from->first > next.last;
        });
    }
    return "HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length: 0\r\n\r\n";
}

std::string keyed_server::run(const message& asked) {
    const std::string request = asked.header("Request-Id");
    const auto key = static_cast<unsigned>(number(asked.header("Shard-Key")));
    const auto holds_key = [this, key] {
        return std::any_of(this->held.begin(), this->held.end(), [key](const hold& one) {
            return one.first <= key && key <= one.last && one.until > clock::now();
        });
    };
    std::unique_lock guard(this->lock);
    const auto headers = [&] {
        return "\r\nRequest-Id: " + request + "\r\nInstance-Id: " + this->id +
               "\r\nServer-Load: " + std::to_string(this->busy) + "," +
               std::to_string(this->waiting) + "," + std::to_string(this->bounds.slots) + "\r\n";
    };
    const std::string none = "Content-Length: 0\r\n\r\n";
    if (!holds_key()) {
        return "HTTP/1.1 421 Misdirected" + headers() + "Not-Executed: 1\r\n" + none;
    }
    if (this->busy >= this->bounds.slots) {
        if (this->waiting >= this->bounds.queue) {
            return "HTTP/1.1 503 Full" + headers() + "Not-Executed: 1\r\n" + none;
        }
        ++this->waiting;
        this->check_queue();
        this->ended.wait(guard, [this] { return this->busy < this->bounds.slots; });
        --this->waiting;
        this->check_queue();
        if (!holds_key()) {
            return "HTTP/1.1 421 Misdirected" + headers() + "Not-Executed: 1\r\n" + none;
        }
    }
    ++this->runs;
    ++this->busy;
    ++this->running[key];
    guard.unlock();
    this->record.line(this->id + " begins " + request + ", key " + std::to_string(key));
    sleep_for(this->bounds.work);
    guard.lock();
    if (--this->running[key] == 0) {
        this->running.erase(key);
    }
    --this->busy;
    this->ended.notify_all();
    if (!holds_key()) {
        return "HTTP/1.1 500 Failed" + headers() + "Response-Signature: s." + request + "\r\n" +
               none;
    }
    return "HTTP/1.1 200 OK" + headers() + "Response-Signature: s." + request +
           "\r\nContent-Length: 2\r\n\r\nok";
}

/// Resets new connections while the queue is long. The lock is held.
void keyed_server::check_queue() {
    const bool is_long = this->bounds.long_queue > 0 && this->waiting >= this->bounds.long_queue;
    if (is_long != this->resetting) {
        this->resetting = is_long;
        this->server->reset_new(is_long);
        this->record.line(this->id +
                          (is_long ? " resets new connections, " : " takes connections, ") +
                          std::to_string(this->waiting) + " requests wait");
    }
}

std::vector<keyed_server::hold> keyed_server::holds() const {
    const std::lock_guard guard(this->lock);
    std::vector<hold> valid;
    for (const hold& one : this->held) {
        if (one.until > clock::now()) {
            valid.push_back(one);
        }
    }
    return valid;
}

scratch_folder::scratch_folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    this->name = pattern;
}

scratch_folder::~scratch_folder() {
    this->remove();
}

void scratch_folder::remove() const {
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP") == nullptr) {
        std::filesystem::remove_all(this->name, ignored);
    }
}

void leave(int code, const scratch_folder& scratch) {
    scratch.remove();
    std::_Exit(code);
}

std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::string server_row(const std::string& service, int port, std::uint64_t born,
                       std::uint64_t sequence, int slots, const std::string& state) {
    return nlohmann::json{
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"born", born},
        {"info", {{"service", service}, {"version", "v1"}, {"zone", "a"}, {"slots", slots}}},
        {"status", {{"state", state}, {"sequence", sequence}, {"warmupLeftS", 0.0}}}}
        .dump();
}

std::string configuration(int version, const std::vector<std::string>& services,
                          const std::vector<std::string>& sharded,
                          const std::vector<route>& routes) {
    nlohmann::json document;
    document["version"] = version;
    document["limits"] = {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 1048576},
                          {"headerTimeoutS", 5.0},
                          {"idleTimeoutS", 30.0}};
    document["services"]["columns"] = {"name", "healthPath", "maxConnections", "sharded"};
    document["services"]["rows"] = nlohmann::json::array();
    for (const std::string& name : services) {
        document["services"]["rows"].push_back({name, "/health", 130, false});
    }
    for (const std::string& name : sharded) {
        document["services"]["rows"].push_back({name, "/health", 130, true});
    }
    document["routes"]["columns"] = {"name",     "host",           "prefix",   "service",    "kind",
                                     "timeoutS", "targetLatencyS", "priority", "maxAttempts"};
    document["routes"]["rows"] = nlohmann::json::array();
    for (const route& one : routes) {
        document["routes"]["rows"].push_back({one.name, one.host, one.prefix, one.service, one.kind,
                                              one.timeout_s, 0.4, 2, one.max_attempts});
    }
    return document.dump();
}

}  // namespace review
