#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace greengagechute::http {

/// A single-threaded event loop over libwebsockets. Each task owns one.
///
/// All servers and clients of a loop are created, used and destroyed on the loop's thread or while
/// it does not run. Only `post` and `stop` may be called from other threads.
class event_loop {
public:
    using timer_id = std::uint64_t;

    /// @param descriptors  most descriptors that the loop may have open; 0 means the limit of the
    ///                     process. A new connection beyond it fails. With a bound, each event
    ///                     searches the open descriptors, so a loop with many callers has none.
    explicit event_loop(std::size_t descriptors = 0);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Serves events until `stop` is called.
    void run();

    /// Makes `run` return soon. Thread-safe; may be called before `run`.
    void stop();

    /// Runs `work` on the loop's thread, in the order of the calls. Thread-safe.
    void post(std::function<void()> work);

    /// Runs `work` on the loop's thread once after `delay`. Loop's thread only, or before `run`.
    timer_id call_after(milliseconds delay, std::function<void()> work);

    /// Cancels a timer that has not fired yet; otherwise does nothing.
    void cancel(timer_id timer);

    struct implementation;
    /// For the library's own servers and clients.
    implementation& internals() { return *this->details; }

private:
    std::unique_ptr<implementation> details;
};

}  // namespace greengagechute::http
