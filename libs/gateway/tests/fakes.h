#pragma once

#include "gateway/errors.h"
#include "gateway/front.h"
#include "gateway/store.h"
#include "wire/loop.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Stand-ins for the store and the servers in the tests of this library.
namespace greengagechute::gateway::testing {

/// Version in the first era of a store that states none.
constexpr store_version at(std::uint64_t number) {
    return {0, number};
}
inline header_names make_header_names() {
    return {"Own-Id",        "Own-Deadline", "Own-Signature", "Own-Server",  "Own-Load",
            "Own-Answering", "Own-Not-Run",  "Retry-After",   "Own-Leaving", "Own-Key"};
}
/// In-memory store with a call latency, whose commits can be rejected or lose their result.
class memory_store : public table_store {
public:
    explicit memory_store(wire::event_loop& own_loop) : loop(own_loop) {}

    void read(const std::string& table, call_connection connection, content_handler done) override {
        ++this->reads;
        if (this->is_lost(connection)) {
            return;
        }
        this->after([this, table, done = std::move(done)] {
            if (this->away) {
                done(make_error_code(gateway_errc::store_unavailable));
                return;
            }
            done(this->changes(table, {}));
        });
    }

    void watch(const std::string& table, store_version after_version, milliseconds wait,
               call_connection connection, content_handler done) override {
        ++this->watches;
        if (this->is_lost(connection)) {
            return;
        }
        this->poll_changes(table, after_version, wire::event_loop::now() + wait, std::move(done));
    }

    void commit(const std::vector<stored_row>& expected, const std::vector<stored_row>& rows,
                call_connection connection, commit_handler done) override {
        ++this->commits;
        if (this->is_lost(connection)) {
            return;
        }
        this->after([this, expected, rows, done = std::move(done)] {
            if (this->reject_commits) {
                done(commit_outcome::rejected);
                return;
            }
            for (const stored_row& row : expected) {
                if (this->stored[{row.table, row.key}].version.number != row.version.number ||
                    (row.version.number != 0 && row.version.era != this->version.era)) {
                    done(commit_outcome::conflict);
                    return;
                }
            }
            ++this->version.number;
            for (stored_row row : rows) {
                row.version = this->version;
                this->stored[{row.table, row.key}] = row;
            }
            done(this->lose_answers ? commit_outcome::unknown : commit_outcome::stored);
        });
    }

    /// Writes a row immediately.
    void put(const std::string& table, const std::string& key, const std::string& value) {
        ++this->version.number;
        this->stored[{table, key}] = {table, key, value, this->version};
    }

    /// Removes a row; watches are told.
    void erase(const std::string& table, const std::string& key) {
        ++this->version.number;
        stored_row& row = this->stored[{table, key}];
        row = {table, key, "", this->version};
        row.removed = true;
    }

    /// Keeps the present content for `restore`.
    void take_copy() {
        this->copy = this->stored;
        this->copy_version = this->version;
    }
    /// Comes back from the copy: what was written since is lost, and versions are given out again.
    void restore() {
        this->stored = this->copy;
        this->version = {this->version.era + 1, this->copy_version.number};
    }
    store_version version_of(std::string_view table, std::string_view key) {
        return this->stored[{std::string(table), std::string(key)}].version;
    }
    const std::string& value(std::string_view table, std::string_view key) {
        return this->stored[{std::string(table), std::string(key)}].value;
    }

    milliseconds delay{1};
    /// Reads and watches fail as if the store were unavailable.
    bool away = false;
    /// Pending watches are never answered.
    bool drops_watches = false;
    /// Calls on kept connections are lost until one on a new connection is made.
    bool kept_silent = false;
    int reads = 0;
    int watches = 0;
    bool lose_answers = false;
    /// Commits are rejected without effect.
    bool reject_commits = false;
    int commits = 0;

private:
    bool is_lost(call_connection connection) {
        this->kept_silent = this->kept_silent && connection == call_connection::kept;
        return this->kept_silent;
    }

    void poll_changes(const std::string& table, store_version after_version, time_point until,
                      content_handler done) {
        this->after([this, table, after_version, until, done = std::move(done)] {
            if (this->drops_watches) {
                return;
            }
            if (this->away) {
                done(make_error_code(gateway_errc::store_unavailable));
                return;
            }
            if (after_version.number > this->version.number) {
                done(make_error_code(gateway_errc::history_lost));
                return;
            }
            auto content = this->changes(table, after_version);
            if (content.rows.empty() && wire::event_loop::now() < until) {
                this->poll_changes(table, after_version, until, done);
            } else {
                done(std::move(content));
            }
        });
    }

    /// Executes a call after `delay`.
    void after(std::function<void()> action) {
        this->loop.call_after(this->delay / 2, [this, action = std::move(action)] {
            this->loop.call_after(this->delay - this->delay / 2, action);
        });
    }

    table_content changes(const std::string& table, store_version after_version) const {
        table_content content;
        for (const auto& [name, row] : this->stored) {
            if (name.first == table && row.version.number > after_version.number) {
                content.rows.push_back(row);
                content.rows.back().version.era = this->version.era;
            }
        }
        content.version = this->version;
        return content;
    }

    wire::event_loop& loop;
    std::map<std::pair<std::string, std::string>, stored_row> stored;
    store_version version;
    std::map<std::pair<std::string, std::string>, stored_row> copy;
    store_version copy_version;
};

/// Accepts every order after 1 ms, except those of servers that refuse connections, and records the
/// highest fence.
class accepting_servers : public order_sender {
public:
    explicit accepting_servers(wire::event_loop& own_loop) : loop(own_loop) {}

    void send(const wire::endpoint&, const ranges::lease_command& what,
              order_handler done) override {
        if (this->refusing.contains(what.server.id)) {
            this->loop.call_after(milliseconds{1}, [done = std::move(done)] {
                done(ranges::command_outcome::refused, "");
            });
            return;
        }
        if (this->checks_fences && what.action == ranges::lease_command::kind::grant &&
            what.fence < this->highest_fence) {
            this->loop.call_after(milliseconds{1}, [done = std::move(done)] {
                done(ranges::command_outcome::fenced_off, "");
            });
            return;
        }
        this->highest_fence = std::max(this->highest_fence, what.fence);
        this->check(what, wire::event_loop::now());
        this->loop.call_after(
            milliseconds{1}, [done = std::move(done)] { done(ranges::command_outcome::done, ""); });
    }

    /// Runs an action later, as the answer to a call that gets none.
    void after(milliseconds delay, std::function<void()> action) {
        this->loop.call_after(delay, std::move(action));
    }

    epoch highest_fence;
    /// Grants with a fence below the highest are refused, as if all keys were in one range.
    bool checks_fences = false;
    /// Grants of keys on which another server has a lease, and grants whose fence is not above
    /// those that other servers have had.
    int overlapping_grants = 0;
    int repeated_fences = 0;
    int releases = 0;
    std::map<server_id, int> grants;
    /// Servers that refuse connections.
    std::set<server_id> refusing;

private:
    struct lease {
        server_id server;
        ranges::key_range keys;
        epoch fence;
        time_point until;
    };

    void check(const ranges::lease_command& what, time_point now) {
        const bool grant = what.action == ranges::lease_command::kind::grant;
        (grant ? ++this->grants[what.server.id] : ++this->releases);
        for (lease& other : this->leases) {
            if (other.keys.first > what.keys.last || what.keys.first > other.keys.last) {
                continue;
            }
            if (other.server == what.server.id) {
                other.until = grant ? other.until : now;
            } else if (grant) {
                this->overlapping_grants += now < other.until ? 1 : 0;
                this->repeated_fences += what.fence <= other.fence ? 1 : 0;
            }
        }
        if (grant) {
            this->leases.push_back(
                {what.server.id, what.keys, what.fence, now + what.lease_duration});
        }
    }

    wire::event_loop& loop;
    std::vector<lease> leases;
};

/// A host's connections to the store and the servers. Once `lost`, no call or answer gets through.
class host_connections : public table_store, public order_sender {
public:
    host_connections(memory_store& shared, accepting_servers& servers)
        : store(shared), orders(servers) {}

    void read(const std::string& table, call_connection connection, content_handler done) override {
        if (!this->lost && !this->store_lost) {
            this->store.read(table, connection, std::move(done));
        } else if (this->store_timeout > milliseconds{0}) {
            this->orders.after(this->store_timeout, [done = std::move(done)] {
                done(make_error_code(gateway_errc::store_unavailable));
            });
        }
    }
    void watch(const std::string& table, store_version after_version, milliseconds wait,
               call_connection connection, content_handler done) override {
        this->store.watch(table, after_version, wait, connection,
                          [this, done = std::move(done)](result<table_content> found) {
                              if (!this->lost && !this->store_lost) {
                                  done(std::move(found));
                              }
                          });
    }
    void commit(const std::vector<stored_row>& expected, const std::vector<stored_row>& rows,
                call_connection connection, commit_handler done) override {
        if (!this->lost && !this->store_lost) {
            this->store.commit(expected, rows, connection, std::move(done));
        } else if (this->store_timeout > milliseconds{0}) {
            this->orders.after(this->store_timeout,
                               [done = std::move(done)] { done(commit_outcome::unknown); });
        }
    }
    void send(const wire::endpoint& server, const ranges::lease_command& what,
              order_handler done) override {
        if (!this->lost && this->unreachable.contains(what.server.id)) {
            this->orders.after(milliseconds{1}, [done = std::move(done)] {
                done(ranges::command_outcome::not_sent, "");
            });
        } else if (!this->lost) {
            this->orders.send(server, what, std::move(done));
        }
    }

    bool lost = false;
    /// Servers on the other side of a partition.
    std::set<server_id> unreachable;
    /// No call of the store or its answer gets through.
    bool store_lost = false;
    /// Time after which such calls fail; 0 if they never end.
    milliseconds store_timeout{0};

private:
    memory_store& store;
    accepting_servers& orders;
};

}  // namespace greengagechute::gateway::testing
