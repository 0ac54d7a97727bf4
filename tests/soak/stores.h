#pragma once

#include "wire/loop.h"
#include "wire/server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

    void handle(const std::shared_ptr<wire::incoming>& request);
    void transact(const std::shared_ptr<wire::incoming>& request);
    void change(const row_name& name, std::string value, bool removed);
    void answer_watchers();
    std::string content(const std::string& table, std::uint64_t after, bool whole) const;

    wire::event_loop& loop;
    std::map<row_name, row> rows;
    std::uint64_t version = 0;
    std::vector<watcher> watchers;
    store_mode mode = store_mode::normal;
    wire::server server;
};

void reply(const std::shared_ptr<wire::incoming>& request, int code, std::string body,
           wire::header_list headers = {});

}  // namespace greengagechute::soak
