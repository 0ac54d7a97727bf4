#pragma once

#include "base/time.h"
#include "gateway/store.h"
#include "telemetry/logger.h"
#include "wire/loop.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace greengagechute::gateway {

/// Longest time for which the store holds a watch call by default. It must be shorter than the
/// store's history, or changes could be lost; the shortest history is 20 s, on the
/// users' platform.
inline constexpr milliseconds default_max_wait{15'000};

/// Content delivered by a `table_watch`.
struct table_update {
    table_content content;
    /// `content` holds all rows, not only changes.
    bool whole = false;
    /// The previous call failed, or the store came back from an older copy.
    bool after_outage = false;
    /// Earliest time at which the changes can have happened; the time of the answer if the call
    /// waited for them, and no pause or failure was before it.
    time_point since;
    /// Time from the call that brought the content to its answer.
    milliseconds waited{0};
};

/// Follows a table of the store: reads it completely, then long-polls for changes. Failed calls are
/// retried with exponential backoff.
class table_watch {
public:
    using update_handler = std::function<void(const table_update&)>;

    /// @param batch_delay  pause after a change, so that the next call returns further ones
    /// together
    table_watch(wire::event_loop& loop, table_store& store, telemetry::logger& log,
                std::string table, milliseconds batch_delay, update_handler handler);

    void start();
    void set_batch_delay(milliseconds pause) { this->batch_delay = pause; }
    /// Sets for how long the store may hold a call if there is no change. Applies from the next
    /// call.
    void set_max_wait(milliseconds longest) { this->max_wait = longest; }
    /// Pauses or resumes the watch. While it is paused, no further watch calls are made; the
    /// initial read and a pending call still deliver their result.
    void set_paused(bool wanted);
    /// Continues after a store version whose content is known from another source.
    /// @param when  time at which the store had no later version
    void advance_to(store_version known, time_point when);
    /// Reads the table again if its content is of an earlier era of the store.
    void reload_before(std::uint64_t era);
    /// Notes that another source knows of no change of the table up to `when`.
    void confirm(time_point when) { this->complete_at = std::max(this->complete_at, when); }
    /// Replaces a pending call, or the pause before the next one, by a call on a new connection
    /// that the store answers immediately; no effect while such a call is pending. The answer to
    /// the pending call may be delayed for seconds by TCP retransmission timeouts, its connection
    /// may have gone silent, or the store may have forgotten it.
    void poll_now();
    /// Polls if the content has not been confirmed for longer than `max_age`, by the store or by
    /// another source. A failing watch asks anyway.
    void poll_if_unconfirmed(milliseconds max_age, time_point now);
    /// Whether the last call failed.
    bool failing() const { return this->failures > 0; }
    /// Time at which the content was last known to be complete; the epoch if it never was.
    time_point confirmed_at() const { return this->complete_at; }
    /// When the store last answered; empty if it has not answered yet or a later call failed.
    std::optional<time_point> last_confirmed() const {
        return this->reachable() ? this->last_answer : std::nullopt;
    }
    /// Whether the table has been read and the last call succeeded.
    bool reachable() const { return this->failures == 0 && this->has_content; }

private:
    void read();
    void watch();
    void on_failure(const status& error);
    /// Makes the next call after a delay, unless another call has been made by then.
    void continue_after(milliseconds delay);
    void log_skipped(const table_content& content);
    /// Resets the failure count.
    /// @return  an update without content
    table_update on_answer(const store_version& newest);

    wire::event_loop& loop;
    table_store& store;
    telemetry::logger& log;
    std::string table;
    milliseconds batch_delay;
    milliseconds max_wait;
    update_handler handler;
    store_version version;
    /// When the last call was made.
    time_point asked_at;
    std::optional<time_point> last_answer;
    /// Time of the first of the failures since the last answer.
    time_point failing_since;
    /// Time at which the content was last known to be complete.
    time_point complete_at;
    int failures = 0;
    /// Number of the last call; answers to earlier ones are ignored.
    std::uint64_t last_call = 0;
    bool poll_requested = false;
    /// The pending call was made to be answered immediately.
    bool polling = false;
    bool has_content = false;
    bool paused = false;
    /// No call is pending or scheduled because the watch is paused.
    bool idle = false;
    /// No call has been answered since the last time the watch went idle.
    bool was_paused = false;
};

}  // namespace greengagechute::gateway
