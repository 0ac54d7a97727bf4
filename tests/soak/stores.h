#pragma once

#include "wire/loop.h"
#include "wire/server.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagechute::soak {

/// How the store treats calls.
enum class store_mode {
    normal,
    /// Refuses every call: nothing is done.
    busy,
    /// Answers nothing, and does nothing.
    silent,
    /// Carries writes out without answering them.
    lossy,
};

/// A stand-in for the users' platform's store: rows with versions, conditional writes, long polls.
class row_store {
public:
    explicit row_store(wire::event_loop& loop);

    std::uint16_t port() const { return this->server.port(); }
    void set_mode(store_mode next) { this->mode = next; }
    /// Writes a row as the operator or a server does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void erase(const std::string& table, const std::string& key);
    bool is_away() const { return this->away.has_value(); }
    bool has(const std::string& table, const std::string& key) const;
    /// Is away in that mode for a time, then comes back in a new era with the newest copy of at
    /// least that age. A call while it is away, or before the first
    /// copy, has no effect.
    /// @param returned  called when it is back
    void restore(milliseconds age, milliseconds outage, store_mode during,
                 std::function<void()> returned);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct watcher {
        std::shared_ptr<wire::incoming> request;
        std::string table;
        std::uint64_t after = 0;
    };
    using row_name = std::pair<std::string, std::string>;
    struct copy {
        time_point made;
        std::map<row_name, row> rows;
        std::uint64_t version = 0;
    };

    void handle(const std::shared_ptr<wire::incoming>& request);
    void transact(const std::shared_ptr<wire::incoming>& request);
    void change(const row_name& name, std::string value, bool removed);
    void answer_watchers();
    void keep_copy();
    void return_with(time_point newest);
    store_mode current_mode() const { return this->away.value_or(this->mode); }
    /// Every answer states the era.
    void answer(const std::shared_ptr<wire::incoming>& request, int code, std::string body) const;
    std::string content(const std::string& table, std::uint64_t after, bool whole) const;

    wire::event_loop& loop;
    std::map<row_name, row> rows;
    std::uint64_t version = 0;
    std::vector<watcher> watchers;
    store_mode mode = store_mode::normal;
    std::uint64_t era = 1;
    std::deque<copy> copies;
    /// The mode until a restored store is back.
    std::optional<store_mode> away;
    wire::server server;
};

void reply(const std::shared_ptr<wire::incoming>& request, int code, std::string body,
           wire::header_list headers = {});

}  // namespace greengagechute::soak
