#pragma once

#include "http/event_loop.h"

#include <libwebsockets.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagechute::http {

struct event_loop::implementation {
    using timer_key = std::pair<time_point, timer_id>;

    /// A timer of libwebsockets. `entry` is the first member, so that its callback finds the rest.
    struct deferred_wake {
        lws_sorted_usec_list_t entry;
        implementation* owner;
    };

    lws_context* context = nullptr;
    /// Shared by all connections of servers: libwebsockets copies what it cannot write at once.
    std::vector<unsigned char> write_buffer;

    std::mutex mutex;
    std::vector<std::function<void()>> posted;
    bool wake_requested = false;
    std::atomic<bool> stopping = false;

    std::vector<std::function<void()>> deferred;
    std::map<timer_key, std::function<void()>> timers;
    std::unordered_map<timer_id, time_point> timer_times;
    timer_id next_timer = 1;
    deferred_wake wake{{}, nullptr};
    bool wake_armed = false;
    /// Wakes the loop for its timers. libwebsockets rounds its own timers down to milliseconds and
    /// would poll without pause in the last one.
    int timer_descriptor = -1;
    time_point timer_armed_for = time_point::max();
    lws_vhost* timer_vhost = nullptr;
    /// Created with the first server.
    lws_vhost* server_vhost = nullptr;
    bool in_service = false;

    /// Runs `work` on the loop's thread after the current callback of libwebsockets has returned.
    /// Loop's thread only.
    void defer(std::function<void()> work);
    /// Destroys a vhost, after the current callback of libwebsockets if one is running.
    /// libwebsockets may finish this later, so `state` is kept until the loop is destroyed or the
    /// vhost is gone.
    void keep_until_destroyed(lws_vhost* vhost, std::shared_ptr<void> state);
    /// Vhosts to destroy after lws_service has returned.
    std::vector<lws_vhost*> doomed;
    /// The state of servers and clients that were destroyed.
    std::vector<std::shared_ptr<void>> retired;

    void run_deferred();
    void destroy_doomed();
    void run_posted();
    void run_timers();
    /// Opens the timer descriptor and has libwebsockets watch it.
    void open_timer();
    void arm_timer();
    void cancel_wake();
    void on_timer();
};

}  // namespace greengagechute::http
