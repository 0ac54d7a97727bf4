#pragma once

#include "base/time.h"
#include "gateway/store.h"
#include "telemetry/logger.h"
#include "wire/loop.h"

#include <functional>
#include <string>

namespace greengagechute::gateway {

/// What a watch learned.
struct table_update {
    table_content content;
    /// `content` holds all rows, not only changes.
    bool whole = false;
    /// The store could not be reached just before.
    bool after_outage = false;
};

/// Follows a table: reads it whole, then waits for changes.
class table_watch {
public:
    using update_handler = std::function<void(const table_update&)>;

    /// @param gather  pause after a change in which further ones are gathered into one call
    table_watch(wire::event_loop& loop, table_store& store, telemetry::logger& log,
                std::string table, milliseconds gather, update_handler handler);

    void start();
    void set_gather(milliseconds pause) { this->gather = pause; }
    bool reachable() const { return this->failures == 0 && this->has_content; }

private:
    void read();
    void watch();
    void failed(const status& error);
    /// @return  whether the store could not be reached just before
    bool answered(std::uint64_t newest);

    wire::event_loop& loop;
    table_store& store;
    telemetry::logger& log;
    std::string table;
    milliseconds gather;
    update_handler handler;
    std::uint64_t version = 0;
    int failures = 0;
    bool has_content = false;
};

}  // namespace greengagechute::gateway
