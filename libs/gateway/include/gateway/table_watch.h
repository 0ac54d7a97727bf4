#pragma once

#include "base/time.h"
#include "gateway/store.h"
#include "telemetry/logger.h"
#include "wire/loop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace greengagechute::gateway {

/// Below the shortest history of the store, 20 s on the users' platform.
inline constexpr milliseconds default_max_wait{15'000};

/// What a watch learned.
struct table_update {
    table_content content;
    /// `content` holds all rows, not only changes.
    bool whole = false;
    /// The store could not be reached just before.
    bool after_outage = false;
    /// The changes have happened since then.
    time_point since;
};

/// Follows a table: reads it whole, then waits for changes.
class table_watch {
public:
    using update_handler = std::function<void(const table_update&)>;

    /// @param gather  pause after a change in which further ones are gathered into one call
    table_watch(wire::event_loop& loop, table_store& store, telemetry::logger& log,
                std::string table, milliseconds gather, update_handler handler);

    void start();
    void set_batch_delay(milliseconds pause) { this->gather = pause; }
    /// Longest time for which the store keeps a call without a change.
    void set_max_wait(milliseconds longest) { this->wait = longest; }
    /// Makes no further calls while paused, once the table has been read; a call under way still
    /// delivers what it finds.
    void set_paused(bool wanted);
    /// The table up to a version of the store is known from elsewhere.
    /// @param when  the store had no later version then
    void advance_to(std::uint64_t known, time_point when);
    /// Replaces a call that is under way by one that is answered at once. After an interruption of
    /// the way to the store, an answer may wait for seconds until its packets are sent again.
    void poll_now();
    /// The last call has failed.
    bool failing() const { return this->failures > 0; }
    /// When the store last answered; empty if it has not, or has failed since.
    std::optional<time_point> last_confirmed() const {
        return this->reachable() ? this->last_answer : std::nullopt;
    }
    bool reachable() const { return this->failures == 0 && this->has_content; }

private:
    void read();
    void watch();
    void failed(const status& error);
    /// @return  what is known of the update before its content is passed on
    table_update answered(std::uint64_t newest);

    wire::event_loop& loop;
    table_store& store;
    telemetry::logger& log;
    std::string table;
    milliseconds gather;
    milliseconds wait;
    update_handler handler;
    std::uint64_t version = 0;
    std::optional<time_point> last_answer;
    /// The content was complete then.
    time_point complete_at;
    int failures = 0;
    /// Counts the calls; answers to earlier ones are not waited for any more.
    std::uint64_t last_call = 0;
    bool under_way = false;
    bool asks_at_once = false;
    bool has_content = false;
    bool paused = false;
    /// No call is under way and none is due, because of the pause.
    bool resting = false;
    /// No call has been answered since the last pause.
    bool rested = false;
};

}  // namespace greengagechute::gateway
