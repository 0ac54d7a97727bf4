#pragma once

#include "proxy.h"
#include "stores.h"
#include "wire/loop.h"
#include "wire/server.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace greengagechute::soak {

/// What servers and callers have seen, and the promises that it breaks.
class observer {
public:
    void broken(const std::string& promise, const std::string& detail);
    const std::vector<std::string>& violations() const { return this->found; }

    void began(const std::string& request, bool safe, const std::string& server);
    int runs_of(const std::string& request) const;

    /// A grant that arrives shortly after its sender was resumed or a link was healed is no fault.
    void forgive(time_point now) { this->forgiven_since = now; }
    bool forgives(time_point now) const;

private:
    std::map<std::string, int> runs;
    std::vector<std::string> found;
    time_point forgiven_since;
};

/// Keys that a server holds.
struct hold {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    time_point until;
};

/// A stand-in for a server of the users: runs requests in slots, holds keys by grants, registers in
/// the store under its own id.
class keyed_server {
public:
    keyed_server(wire::event_loop& loop, row_store& store, observer& seen, std::mt19937_64& random,
                 std::string id, std::string service,
                 const std::vector<std::unique_ptr<keyed_server>>& others);

    const std::string& name() const { return this->id; }
    bool up() const { return this->server != nullptr; }
    void start();
    /// Ends the process; its entry goes after a time.
    void crash();
    void set_draining();
    /// Takes no new connections, and finishes what it has.
    void leave();
    /// Answers nothing until it is resumed, then goes on as if nothing had happened.
    void freeze(bool frozen);
    proxy& path() { return this->way; }
    const std::vector<hold>& holds() const { return this->held; }

private:
    struct job {
        std::shared_ptr<wire::incoming> request;
        std::string request_id;
        bool safe = true;
        bool keyed = false;
        std::uint32_t key = 0;
    };

    void handle(const std::shared_ptr<wire::incoming>& request);
    void order(const std::shared_ptr<wire::incoming>& request, time_point arrived, bool grant);
    void accept(const std::shared_ptr<wire::incoming>& request);
    void run(job next);
    void finish(const job& done, int life);
    bool holds_key(std::uint32_t key, time_point now) const;
    void remove_range(std::uint32_t first, std::uint32_t last);
    void check_others(const hold& granted, time_point now) const;
    void publish();
    std::string load() const;

    wire::event_loop& loop;
    row_store& store;
    observer& seen;
    std::mt19937_64& random;
    std::string id;
    std::string service;
    const std::vector<std::unique_ptr<keyed_server>>& others;
    proxy way;
    std::unique_ptr<wire::server> server;
    std::uint64_t born = 0;
    /// Counts starts, so that work of an earlier life ends without an effect.
    int life = 0;
    bool draining = false;
    bool frozen = false;
    std::vector<std::function<void()>> waiting_for_thaw;
    std::vector<hold> held;
    std::deque<job> queue;
    int running = 0;
};

}  // namespace greengagechute::soak
