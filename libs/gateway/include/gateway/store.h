#pragma once

#include "base/result.h"
#include "base/time.h"
#include "ranges/lease_manager.h"
#include "wire/stream.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::gateway {

struct stored_row {
    /// Only needed for commits.
    std::string table;
    std::string key;
    std::string value;
    /// Version of the row; 0 means that it does not exist.
    std::uint64_t version = 0;
    bool removed = false;
};

/// Rows of a table at one moment, or changes up to it.
struct table_content {
    std::vector<stored_row> rows;
    /// Newest version of the store at that moment.
    std::uint64_t version = 0;
};

enum class commit_outcome {
    stored,
    /// A row had another version; nothing was written.
    conflict,
    /// Nothing was written.
    rejected,
    /// The rows may have been written, or may be written later while the versions hold.
    unknown,
};

/// Client of the platform's tables.
class table_store {
public:
    using content_handler = std::function<void(result<table_content>)>;
    using commit_handler = std::function<void(commit_outcome)>;

    table_store() = default;
    table_store(const table_store&) = delete;
    table_store& operator=(const table_store&) = delete;
    virtual ~table_store() = default;

    /// All rows of a table. Errors: `gateway_errc::store_unavailable`.
    virtual void read(const std::string& table, content_handler done) = 0;
    /// Changes after a version, as soon as there is one; no rows if there is none within `wait`.
    /// Errors: `gateway_errc::store_unavailable`, `gateway_errc::history_lost`.
    virtual void watch(const std::string& table, std::uint64_t after, milliseconds wait,
                       content_handler done) = 0;
    /// Writes `rows` if each row of `expected` has the version that it has there.
    virtual void commit(const std::vector<stored_row>& expected,
                        const std::vector<stored_row>& rows, commit_handler done) = 0;
};

/// Sends orders about keys to servers.
class server_orders {
public:
    using order_handler =
        std::function<void(ranges::command_outcome outcome, const std::string& handover)>;

    server_orders() = default;
    server_orders(const server_orders&) = delete;
    server_orders& operator=(const server_orders&) = delete;
    virtual ~server_orders() = default;

    virtual void send(const wire::endpoint& server, const ranges::lease_command& what,
                      order_handler done) = 0;
};

}  // namespace greengagechute::gateway
