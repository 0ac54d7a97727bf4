#include "wire/loop.h"

#include <uv.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagechute::wire {

struct event_loop::state {
    struct signal_watch {
        uv_signal_t handle{};
        std::function<void()> action;
    };
    using due_key = std::pair<time_point, timer_id>;

    uv_loop_t loop{};
    uv_timer_t timer{};
    std::map<due_key, std::function<void()>> due;
    std::unordered_map<timer_id, time_point> times;
    timer_id last_id = 0;
    /// Time for which `timer` is armed.
    time_point armed = time_point::max();
    std::vector<std::unique_ptr<signal_watch>> signals;
    std::unordered_map<const void*, std::function<void()>> closers;

    void arm(time_point now) {
        if (this->due.empty()) {
            return;
        }
        const time_point first = this->due.begin()->first.first;
        if (first >= this->armed) {
            return;
        }
        this->armed = first;
        const auto wait = std::chrono::ceil<milliseconds>(first - now).count();
        uv_update_time(&this->loop);
        uv_timer_start(
            &this->timer,
            [](uv_timer_t* handle) { static_cast<state*>(handle->data)->fire(event_loop::now()); },
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, wait)), 0);
    }

    void fire(time_point now) {
        this->armed = time_point::max();
        while (!this->due.empty() && this->due.begin()->first.first <= now) {
            auto first = this->due.extract(this->due.begin());
            this->times.erase(first.key().second);
            first.mapped()();
        }
        this->arm(event_loop::now());
    }
};

event_loop::event_loop() : implementation(std::make_unique<state>()) {
    if (uv_loop_init(&this->implementation->loop) != 0) {
        throw std::runtime_error("the event loop cannot be created");
    }
    uv_timer_init(&this->implementation->loop, &this->implementation->timer);
    this->implementation->timer.data = this->implementation.get();
}

event_loop::~event_loop() {
    while (!this->implementation->closers.empty()) {
        const auto next = this->implementation->closers.begin();
        const auto close = std::move(next->second);
        this->implementation->closers.erase(next);
        close();
    }
    uv_walk(
        &this->implementation->loop,
        [](uv_handle_t* handle, void*) {
            if (uv_is_closing(handle) == 0) {
                uv_close(handle, nullptr);
            }
        },
        nullptr);
    uv_run(&this->implementation->loop, UV_RUN_DEFAULT);
    uv_loop_close(&this->implementation->loop);
}

void event_loop::run() {
    uv_run(&this->implementation->loop, UV_RUN_DEFAULT);
}

void event_loop::stop() {
    uv_stop(&this->implementation->loop);
}

time_point event_loop::now() {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

timer_id event_loop::call_after(milliseconds delay, std::function<void()> action) {
    const time_point current = now();
    const timer_id id = ++this->implementation->last_id;
    const time_point when = current + delay;
    this->implementation->due.emplace(state::due_key{when, id}, std::move(action));
    this->implementation->times.emplace(id, when);
    this->implementation->arm(current);
    return id;
}

void event_loop::cancel(timer_id id) {
    const auto found = this->implementation->times.find(id);
    if (found != this->implementation->times.end()) {
        this->implementation->due.erase({found->second, id});
        this->implementation->times.erase(found);
    }
}

void event_loop::on_signal(int number, std::function<void()> action) {
    auto watch = std::make_unique<state::signal_watch>();
    watch->action = std::move(action);
    uv_signal_init(&this->implementation->loop, &watch->handle);
    watch->handle.data = watch.get();
    uv_signal_start(
        &watch->handle,
        [](uv_signal_t* handle, int) { static_cast<state::signal_watch*>(handle->data)->action(); },
        number);
    this->implementation->signals.push_back(std::move(watch));
}

void event_loop::close_at_end(const void* owner, std::function<void()> close) {
    this->implementation->closers[owner] = std::move(close);
}

void event_loop::forget(const void* owner) {
    this->implementation->closers.erase(owner);
}

uv_loop_s* event_loop::native() {
    return &this->implementation->loop;
}

}  // namespace greengagechute::wire
