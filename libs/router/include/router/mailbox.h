#pragma once

#include "http/event_loop.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace greengagechute::router {

/// A bounded queue of typed messages to the task that owns an event loop.
template <typename message>
class mailbox {
public:
    using handler = std::function<void(message)>;

    /// @param capacity  messages that may wait; above it `push` refuses
    mailbox(http::event_loop& loop_of_task, std::size_t capacity_of_queue)
        : loop(loop_of_task), capacity(capacity_of_queue) {}
    mailbox(const mailbox&) = delete;
    mailbox& operator=(const mailbox&) = delete;
    ~mailbox() = default;

    /// Sets the receiver; before the loop runs.
    void set_handler(handler receiver) { this->on_message = std::move(receiver); }

    /// Queues a message. Thread-safe.
    /// @return  false, and nothing is queued, if the mailbox is full
    bool push(message content) {
        const std::scoped_lock lock(this->mutex);
        if (this->waiting.size() >= this->capacity) {
            ++this->refused_count;
            return false;
        }
        this->waiting.push_back(std::move(content));
        if (!this->drain_posted) {
            this->drain_posted = true;
            this->loop.post([this] { this->drain(); });
        }
        return true;
    }

    /// Messages refused because the mailbox was full. Thread-safe.
    std::size_t refused() const {
        const std::scoped_lock lock(this->mutex);
        return this->refused_count;
    }

private:
    void drain() {
        std::deque<message> batch;
        {
            const std::scoped_lock lock(this->mutex);
            batch.swap(this->waiting);
            this->drain_posted = false;
        }
        for (message& content : batch) {
            this->on_message(std::move(content));
        }
    }

    http::event_loop& loop;
    const std::size_t capacity;
    handler on_message;
    mutable std::mutex mutex;
    std::deque<message> waiting;
    bool drain_posted = false;
    std::size_t refused_count = 0;
};

}  // namespace greengagechute::router
