#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace greengagechute::platform {

/// Runs a function once after a delay on the caller's thread, for example through
/// `http::event_loop::call_after`.
using call_after = std::function<void(milliseconds delay, std::function<void()> work)>;

/// A timer for tests: time passes only through `advance`.
class manual_timer {
public:
    /// Runs `work` when the time has advanced by `delay`. Work with the same end runs in the order
    /// of the calls.
    void schedule(milliseconds delay, std::function<void()> work);

    /// Runs what is due within `span`, including work that is scheduled meanwhile.
    void advance(milliseconds span);

    /// Time since the start of the timer.
    milliseconds now() const { return this->current; }

    bool idle() const { return this->pending.empty(); }

    /// A function that calls `schedule`. Valid as long as this timer.
    call_after function();

private:
    milliseconds current{0};
    std::uint64_t scheduled = 0;
    std::map<std::pair<milliseconds, std::uint64_t>, std::function<void()>> pending;
};

}  // namespace greengagechute::platform
