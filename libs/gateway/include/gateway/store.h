#pragma once

#include "base/result.h"
#include "base/time.h"
#include "gateway/store_version.h"
#include "ranges/lease_manager.h"
#include "wire/stream.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::gateway {

/// Row of a table in the store.
struct stored_row {
    /// Required for commits; not set in answers to reads.
    std::string table;
    std::string key;
    std::string value;
    /// Version of the row; its number is 0 if the row does not exist.
    store_version version;
    bool removed = false;
};

/// Snapshot of a table, or the changes up to a version.
struct table_content {
    std::vector<stored_row> rows;
    /// Store version of the snapshot or of the newest change covered.
    store_version version;
    /// Rows of the answer that had no readable key.
    std::size_t skipped_rows = 0;
};

enum class commit_outcome {
    /// All rows were written.
    stored,
    /// A row's version differed from the expected one; nothing was written.
    conflict,
    /// The store rejected the commit or the call was not sent; nothing was written.
    rejected,
    /// The outcome is not known: the rows may have been written, or may still be written as long as
    /// the expected versions match.
    unknown,
};

/// Connection on which a call to the store is made.
enum class call_connection {
    /// One that was kept from an earlier call, if there is one.
    kept,
    /// A new one, for calls after a sign that kept connections may have gone silent.
    fresh,
};

/// Client of the platform's versioned table store.
class table_store {
public:
    using content_handler = std::function<void(result<table_content>)>;
    using commit_handler = std::function<void(commit_outcome)>;

    table_store() = default;
    table_store(const table_store&) = delete;
    table_store& operator=(const table_store&) = delete;
    virtual ~table_store() = default;

    /// Reads all rows of a table. Errors: `gateway_errc::store_unavailable`.
    virtual void read(const std::string& table, call_connection connection,
                      content_handler done) = 0;
    /// Long-polls for changes after a store version: answers as soon as there is one, or with no
    /// rows after `wait`. In a later era than that of `after`, the answer need not hold all
    /// changes. Errors: `gateway_errc::store_unavailable`, `gateway_errc::history_lost`.
    virtual void watch(const std::string& table, store_version after, milliseconds wait,
                       call_connection connection, content_handler done) = 0;
    /// Atomically writes `rows` if the stored version of each row in `expected` matches the version
    /// given there. Values in `expected` are ignored. Versions of an earlier era never match.
    virtual void commit(const std::vector<stored_row>& expected,
                        const std::vector<stored_row>& rows, call_connection connection,
                        commit_handler done) = 0;
};

/// Sends grants and releases of keys to servers.
class order_sender {
public:
    /// @param handover  state that the server hands over to the next owner of the keys
    using order_handler =
        std::function<void(ranges::command_outcome outcome, const std::string& handover)>;

    order_sender() = default;
    order_sender(const order_sender&) = delete;
    order_sender& operator=(const order_sender&) = delete;
    virtual ~order_sender() = default;

    virtual void send(const wire::endpoint& server, const ranges::lease_command& what,
                      order_handler done) = 0;
};

}  // namespace greengagechute::gateway
