#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace greengagechute::peer {

/// A thread that runs functions in the order in which they were posted.
class worker {
public:
    worker();
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Does nothing after `finish`. Thread-safe.
    void post(std::function<void()> work);

    /// Waits until everything that was posted has run, and ends the thread.
    void finish();

private:
    void run();

    std::mutex lock;
    std::condition_variable changed;
    std::deque<std::function<void()>> pending;
    bool finishing = false;
    std::thread thread;
};

}  // namespace greengagechute::peer
