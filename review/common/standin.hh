// Stand-ins for the platform's store, servers and callers, and the process of a gateway. Blocking
// sockets and one thread a connection: a case decides each byte that is sent.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Time since the start of the case.
milliseconds elapsed();
void sleep_for(milliseconds time);
/// False if the environment variable TROUBLE is 0: the case then runs without its disruption.
bool with_trouble();

/// Writes the record of the case: what was sent, answered and run.
class recorder {
public:
    explicit recorder(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex lock;
    std::string path;
};

/// Head and body of an HTTP/1.1 message.
struct message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The body has neither a length nor chunks: it ends with the connection.
    bool until_close = false;

    /// Empty if there is no such header.
    std::string header(const std::string& name) const;
    /// Second word of a request's first line.
    std::string target() const;
    std::string method() const;
    int status() const;
};

enum class read_end { message, closed, reset, timeout };

class connection {
public:
    explicit connection(int descriptor) : fd(descriptor) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    bool write(const std::string& bytes);
    /// Reads one message. A body that ends with the connection is read to its end.
    read_end read(message& read, milliseconds timeout, bool is_response);
    /// Reads up to `size` bytes; the number read, 0 at the end, -1 on a reset, -2 on a timeout.
    long read_some(std::string& bytes, std::size_t size, milliseconds timeout);
    void close(bool reset = false);
    int descriptor() const { return this->fd; }

private:
    bool fill(milliseconds timeout, read_end& how);

    int fd;
    std::string buffered;
};

/// Opens a connection to a port of 127.0.0.1; nullptr if that fails.
/// @param prepare  sets options of the socket before it connects
std::shared_ptr<connection> dial(int port, const std::function<void(int)>& prepare = {});

/// Accepts connections on a port of 127.0.0.1 and calls the handler on a thread for each of them.
class listener {
public:
    using handler = std::function<void(const std::shared_ptr<connection>&)>;
    /// @param port  0 for any free one
    listener(int port, handler on_connection);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    int port() const { return this->bound; }
    /// Whether new connections are reset; open ones go on.
    void reset_new(bool enabled) { this->closed = enabled; }
    /// Refuses new connections and closes the open ones.
    void stop();

private:
    void open_socket(int port);

    int fd = -1;
    int bound = 0;
    handler on_connection;
    std::atomic<bool> closed{false};
    std::atomic<bool> stopped{false};
    std::mutex lock;
    std::vector<std::weak_ptr<connection>> open;
    std::thread accepting;
};

/// The platform's store: rows with versions, conditional writes, long polls.
class store {
public:
    store();
    int port() const { return this->server->port(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Value of a row; empty if there is none.
    std::string get(const std::string& table, const std::string& key);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    void serve(const std::shared_ptr<connection>& caller);
    std::string handle(const message& call, int& status);
    std::string content(const std::string& table, std::uint64_t after, bool whole) const;

    std::mutex lock;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, row> rows;
    std::uint64_t version = 0;
    std::unique_ptr<listener> server;
};

/// A gateway as a process of its own, started with the command of the deploy file.
class gateway {
public:
    /// @param number  tells the gateways of a case apart
    gateway(const std::string& folder, int number, int store_port);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    void start();
    void signal(int number) const;
    /// Waits for the end of the process; false if it still runs after that time.
    bool wait_for_end(milliseconds timeout);
    bool running();
    bool ready() const;
    /// Waits until the gateway is ready.
    bool wait_until_ready(milliseconds timeout) const;
    int front_port() const { return this->front; }
    int peer_port() const { return this->peers; }

private:
    std::string settings;
    std::string log;
    int front = 0;
    int readiness = 0;
    int peers = 0;
    pid_t pid = -1;
};

/// A server of a service that is divided by key: holds keys by grants, and runs a request only
/// while it holds the request's key.
class keyed_server {
public:
    struct hold {
        unsigned first = 0;
        unsigned last = 0;
        std::uint64_t fence = 0;
        clock::time_point until;
    };
    struct limits {
        /// How long a request runs.
        milliseconds work{100};
        /// Requests that run at the same time.
        int slots = 6;
        /// Requests that wait for a slot; others are turned away.
        int queue = 24;
        /// New connections are reset while as many requests wait; 0 means never.
        int long_queue = 0;
    };
    keyed_server(std::string id, std::string service, limits bounds, recorder& record);
    keyed_server(const keyed_server&) = delete;
    keyed_server& operator=(const keyed_server&) = delete;

    const std::string& name() const { return this->id; }
    int port() const { return this->server->port(); }
    std::uint64_t born() const { return this->start_time; }
    /// Keys that it holds now.
    std::vector<hold> holds() const;
    /// Number of requests begun.
    int begun() const { return this->runs; }

private:
    void serve(const std::shared_ptr<connection>& caller);
    std::string order(const message& asked, bool grant, clock::time_point arrived);
    std::string run(const message& asked);
    void remove(unsigned first, unsigned last);
    void check_queue();

    std::string id;
    std::string service;
    limits bounds;
    recorder& record;
    std::uint64_t start_time;
    mutable std::mutex lock;
    std::vector<hold> held;
    std::map<unsigned, int> running;
    int busy = 0;
    int waiting = 0;
    bool resetting = false;
    std::condition_variable ended;
    std::atomic<int> runs{0};
    std::unique_ptr<listener> server;
};

/// Folder for settings and logs of the case; removed at the end.
class scratch_folder {
public:
    scratch_folder();
    ~scratch_folder();
    const std::string& path() const { return this->name; }
    void remove() const;

private:
    std::string name;
};

/// Row of a server in the table `servers`.
std::string server_row(const std::string& service, int port, std::uint64_t born,
                       std::uint64_t sequence, int slots, const std::string& state = "ready");
std::uint64_t unix_ms();

/// Entry of a route in a configuration.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::string kind;
    int max_attempts = 2;
    double timeout_s = 3;
};
/// Row `config` of the table `op`.
std::string configuration(int version, const std::vector<std::string>& services,
                          const std::vector<std::string>& sharded,
                          const std::vector<route>& routes);

/// Ends the case without waiting for the threads of its stand-ins. Its gateways end with it.
[[noreturn]] void leave(int code, const scratch_folder& scratch);

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

}  // namespace review
