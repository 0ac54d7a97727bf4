#pragma once

#include "crashing_requests.h"
#include "proxy.h"
#include "statements.h"
#include "stores.h"
#include "wire/loop.h"
#include "wire/server.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagechute::soak {

/// What servers and callers have seen, and the promises that it breaks.
class observer {
public:
    void broken(const std::string& promise, const std::string& detail);
    /// Each names its promise, then the time since the start.
    const std::vector<std::string>& violations() const { return this->found; }

    void began(const std::string& request, bool safe, const std::string& server);
    int runs_of(const std::string& request) const;

    /// A grant that arrives shortly after its sender was resumed or a link was healed is no fault.
    void forgive(time_point now) { this->forgiven_since = now; }
    bool forgives(time_point now) const;

    /// A host, its path or the store was disturbed: what hosts know of leaving servers is not
    /// judged.
    void disturbed(time_point now) { this->last_disturbed = now; }
    bool disturbed_since(time_point time) const { return this->last_disturbed >= time; }

    /// The answer of the request had no end, so that it cannot reach its caller whole.
    void spoiled(const std::string& request) { this->without_end.insert(request); }
    bool was_spoiled(const std::string& request) const {
        return this->without_end.contains(request);
    }

    /// The store has accepted an evacuation of the zone, or its withdrawal.
    void evacuation_changed(const std::string& zone, bool evacuated, time_point now);
    /// Since when the zone is evacuated; the epoch if it is not.
    time_point evacuated_since(const std::string& zone) const;

    /// What servers have said of themselves.
    statement_ledger& statements() { return this->stated; }
    crashing_requests& crashes() { return this->crashing; }
    /// Set by the run: whether the gateway that sent the request has not been disturbed lately.
    std::function<bool(const std::string& request)> sent_in_touch;

    /// Checks the fence of a grant against all under which other servers had its keys.
    /// @param holder  names one life of a server
    void took(const std::string& service, std::uint32_t first, std::uint32_t last,
              std::uint64_t fence, const std::string& holder);

private:
    std::map<std::string, int> runs;
    std::vector<std::string> found;
    time_point began_at = wire::event_loop::now();
    time_point forgiven_since;
    time_point last_disturbed;
    std::set<std::string> without_end;
    std::map<std::string, time_point> evacuated;
    statement_ledger stated;
    crashing_requests crashing;
    struct taking {
        std::uint64_t fence = 0;
        std::string holder;
    };
    /// Highest fence of each key, by service.
    std::map<std::string, std::vector<taking>> highest;
};

/// What a faulty server does with some of its answers.
enum class server_defect {
    none,
    /// Writes a refusal once more, before the next answer or while the connection is idle.
    repeats_refusals,
    /// Begins an answer whose head or body never ends.
    endless_answers,
    /// Turns some requests away and asks for a pause.
    asks_pauses,
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
                 std::string id, std::string service, std::string zone,
                 const std::vector<std::unique_ptr<keyed_server>>& others);

    const std::string& name() const { return this->id; }
    /// Names the present life of the server.
    std::string life_name() const { return this->id + "/" + std::to_string(this->life); }
    bool up() const { return this->server != nullptr; }
    void start();
    /// Ends the process; its entry goes after a time.
    void crash();
    void set_draining();
    /// States in each answer from now on that it is leaving, before its entry says so.
    void say_leaving() { this->says_leaving = true; }
    /// Takes no new connections, and finishes what it has.
    void leave();
    /// Answers nothing until it is resumed, then goes on as if nothing had happened.
    void freeze(bool frozen);
    /// Requests may be held up on their way for a while, so pauses are not judged.
    void stop_judging_pauses();
    /// Lets the server be cold after each start, and work at a speed that changes all the time and
    /// that it states with its load.
    void set_uneven() { this->uneven = true; }
    /// The server becomes cold, without a start.
    void become_cold();
    const std::string& zone_name() const { return this->zone; }
    void set_defect(server_defect next) { this->defect = next; }
    /// Registers as the store is back from a copy, or lets the entry of the copy expire.
    void register_again();
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
    void crash_by(const std::string& target);
    void finish(const job& done, int life);
    bool holds_key(std::uint32_t key, time_point now) const;
    void remove_range(std::uint32_t first, std::uint32_t last);
    void check_others(const hold& granted, time_point now) const;
    void check_leaving(const job& next) const;
    void check_place(const job& next);
    int work_time_percent() const;
    void publish();
    /// Removes the entry after three heartbeat intervals if the server is still down.
    void expire_entry();
    /// Headers of each answer: the server's life, and what it says of itself.
    void add_statements(wire::header_list& headers) const;
    void turn_away(const job& next);
    wire::header_list refusal_headers(const std::string& request_id);
    std::string load() const;

    wire::event_loop& loop;
    row_store& store;
    observer& seen;
    std::mt19937_64& random;
    std::string id;
    std::string service;
    std::string zone;
    const std::vector<std::unique_ptr<keyed_server>>& others;
    proxy way;
    std::unique_ptr<wire::server> server;
    std::uint64_t born = 0;
    /// Counts starts, so that work of an earlier life ends without an effect.
    int life = 0;
    bool draining = false;
    bool says_leaving = false;
    time_point draining_since;
    bool frozen = false;
    time_point pauses_unjudged_until;
    server_defect defect = server_defect::none;
    bool uneven = false;
    time_point cold_until;
    /// Arrivals of the last second while it is cold.
    std::deque<time_point> cold_arrivals;
    std::vector<std::function<void()>> waiting_for_thaw;
    std::vector<hold> held;
    std::deque<job> queue;
    int running = 0;
};

}  // namespace greengagechute::soak
