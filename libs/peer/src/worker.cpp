#include "worker.h"

#include <utility>

namespace greengagechute::peer {

worker::worker() : thread([this] { this->run(); }) {}

worker::~worker() {
    this->finish();
}

void worker::post(std::function<void()> work) {
    const std::scoped_lock guard(this->lock);
    if (this->finishing) {
        return;
    }
    this->pending.push_back(std::move(work));
    this->changed.notify_one();
}

void worker::finish() {
    {
        const std::scoped_lock guard(this->lock);
        this->finishing = true;
        this->changed.notify_one();
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void worker::run() {
    std::unique_lock guard(this->lock);
    for (;;) {
        this->changed.wait(guard, [this] { return this->finishing || !this->pending.empty(); });
        if (this->pending.empty()) {
            return;
        }
        {
            const std::function<void()> work = std::move(this->pending.front());
            this->pending.pop_front();
            guard.unlock();
            work();
        }
        guard.lock();
    }
}

}  // namespace greengagechute::peer
