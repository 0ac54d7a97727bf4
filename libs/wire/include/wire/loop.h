#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

struct uv_loop_s;

namespace greengagechute::wire {

/// Identifies a scheduled call; 0 is none.
using timer_id = std::uint64_t;

/// Event loop of one thread, over libuv. All objects of this library belong to one loop and are
/// used from its thread only.
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Runs until `stop`.
    void run();
    void stop();

    /// Present time on CLOCK_BOOTTIME, which also counts while the machine is suspended, so that a
    /// lease is never judged younger than it is.
    static time_point now();

    /// Calls `action` once, after `delay`.
    timer_id call_after(milliseconds delay, std::function<void()> action);
    /// No effect if the call has been made.
    void cancel(timer_id id);

    /// Calls `action` for each arrival of the signal.
    void on_signal(int number, std::function<void()> action);

    /// Calls `close` when the loop is destroyed, unless `forget` was called for `owner` before.
    void close_at_end(const void* owner, std::function<void()> close);
    void forget(const void* owner);

    /// For the other classes of this library.
    uv_loop_s* native();

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::wire
