#include "http/event_loop.h"

#include "event_loop_internals.h"
#include "lws_headers.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace greengagechute::http {

namespace {

/// The timeouts of libwebsockets have a resolution of one second. Servers and clients use timers of
/// the loop, and this value keeps the library's own ones out of the way.
constexpr unsigned int unused_timeout_seconds = 1'000'000;
/// Header blocks that can be parsed at a time.
constexpr unsigned short header_pool = 65'535;

/// libwebsockets calls this before it waits for events, so the work is done here and not after
/// lws_service has returned.
void on_wake(lws_sorted_usec_list_t* entry) {
    auto* wake = reinterpret_cast<event_loop::implementation::deferred_wake*>(entry);
    wake->owner->wake_armed = false;
    wake->owner->run_deferred();
}

int timer_callback(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t) {
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        auto* loop = static_cast<event_loop::implementation*>(lws_get_opaque_user_data(wsi));
        loop->on_timer();
    }
    return 0;
}

const std::array<lws_protocols, 2> timer_protocols{{
    {"timer", timer_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

lws_context* create_context(std::size_t descriptors) {
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.max_http_header_data = header_storage_bytes;
    info.max_http_header_pool = header_pool;
    info.pt_serv_buf_size = static_cast<unsigned int>(2 * buffer_bytes);
    info.timeout_secs = unused_timeout_seconds;
    info.connect_timeout_secs = unused_timeout_seconds;
    info.timeout_secs_ah_idle = unused_timeout_seconds;
    info.keepalive_timeout = static_cast<int>(unused_timeout_seconds);
    info.fd_limit_per_thread = static_cast<unsigned int>(descriptors);
    return lws_create_context(&info);
}

}  // namespace

void event_loop::implementation::defer(std::function<void()> work) {
    this->deferred.push_back(std::move(work));
    if (this->in_service && !this->wake_armed) {
        this->wake_armed = true;
        lws_sul_schedule(this->context, 0, &this->wake.entry, on_wake, 1);
    }
}

void event_loop::implementation::keep_until_destroyed(lws_vhost* vhost,
                                                      std::shared_ptr<void> state) {
    this->retired.push_back(std::move(state));
    if (this->in_service) {
        this->doomed.push_back(vhost);
        return;
    }
    lws_vhost_destroy(vhost);
}

void event_loop::implementation::run_deferred() {
    while (!this->deferred.empty()) {
        std::vector<std::function<void()>> batch;
        batch.swap(this->deferred);
        for (std::function<void()>& work : batch) {
            work();
        }
    }
}

void event_loop::implementation::destroy_doomed() {
    std::vector<lws_vhost*> batch;
    batch.swap(this->doomed);
    for (lws_vhost* vhost : batch) {
        lws_vhost_destroy(vhost);
    }
}

void event_loop::implementation::run_posted() {
    std::vector<std::function<void()>> batch;
    {
        const std::scoped_lock lock(this->mutex);
        batch.swap(this->posted);
        this->wake_requested = false;
    }
    for (std::function<void()>& work : batch) {
        work();
    }
}

void event_loop::implementation::run_timers() {
    while (!this->timers.empty()) {
        const auto first = this->timers.begin();
        if (first->first.first > std::chrono::steady_clock::now()) {
            return;
        }
        const std::function<void()> work = std::move(first->second);
        this->timer_times.erase(first->first.second);
        this->timers.erase(first);
        work();
    }
}

void event_loop::implementation::open_timer() {
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = timer_protocols.data();
    info.vhost_name = "timer";
    this->timer_vhost = lws_create_vhost(this->context, &info);
    this->timer_descriptor = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    lws_adopt_desc_t adopt{};
    adopt.vh = this->timer_vhost;
    adopt.type = LWS_ADOPT_RAW_FILE_DESC;
    adopt.fd.filefd = this->timer_descriptor;
    adopt.vh_prot_name = "timer";
    adopt.opaque = this;
    if (this->timer_vhost == nullptr || this->timer_descriptor < 0 ||
        lws_adopt_descriptor_vhost_via_info(&adopt) == nullptr) {
        throw std::runtime_error("libwebsockets cannot watch a timer");
    }
}

/// Arms the descriptor for the earliest timer. If that timer is cancelled later, the loop wakes
/// once for nothing, which costs less than arming again for each cancelled timer.
void event_loop::implementation::arm_timer() {
    if (this->timers.empty() || this->timers.begin()->first.first >= this->timer_armed_for) {
        return;
    }
    this->timer_armed_for = this->timers.begin()->first.first;
    const auto due = std::chrono::duration_cast<std::chrono::nanoseconds>(
        this->timer_armed_for.time_since_epoch());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(due);
    itimerspec time{};
    time.it_value.tv_sec = seconds.count();
    time.it_value.tv_nsec = (due - seconds).count();
    timerfd_settime(this->timer_descriptor, TFD_TIMER_ABSTIME, &time, nullptr);
}

void event_loop::implementation::on_timer() {
    std::uint64_t expirations = 0;
    static_cast<void>(!read(this->timer_descriptor, &expirations, sizeof(expirations)));
    this->timer_armed_for = time_point::max();
    this->run_timers();
    this->arm_timer();
}

void event_loop::implementation::cancel_wake() {
    if (this->wake_armed) {
        lws_sul_cancel(&this->wake.entry);
        this->wake_armed = false;
    }
}

event_loop::event_loop(std::size_t descriptors) : details(std::make_unique<implementation>()) {
    this->details->wake.owner = this->details.get();
    this->details->context = create_context(descriptors);
    if (this->details->context == nullptr) {
        throw std::runtime_error("libwebsockets cannot create a context");
    }
    this->details->open_timer();
    this->details->write_buffer.resize(LWS_PRE + buffer_bytes);
}

event_loop::~event_loop() {
    this->details->run_deferred();
    this->details->destroy_doomed();
    this->details->cancel_wake();
    lws_context_destroy(this->details->context);
}

void event_loop::run() {
    implementation& loop = *this->details;
    while (!loop.stopping.load()) {
        loop.run_posted();
        loop.run_timers();
        loop.run_deferred();
        if (loop.stopping.load()) {
            break;
        }
        loop.arm_timer();
        loop.in_service = true;
        const int code = lws_service(loop.context, 0);
        loop.in_service = false;
        loop.run_deferred();
        loop.cancel_wake();
        loop.destroy_doomed();
        if (code < 0) {
            throw std::runtime_error("libwebsockets stopped serving events");
        }
    }
    loop.stopping.store(false);
}

void event_loop::stop() {
    this->details->stopping.store(true);
    lws_cancel_service(this->details->context);
}

void event_loop::post(std::function<void()> work) {
    bool wake = false;
    {
        const std::scoped_lock lock(this->details->mutex);
        this->details->posted.push_back(std::move(work));
        wake = !this->details->wake_requested;
        this->details->wake_requested = true;
    }
    if (wake) {
        lws_cancel_service(this->details->context);
    }
}

event_loop::timer_id event_loop::call_after(milliseconds delay, std::function<void()> work) {
    const timer_id timer = this->details->next_timer++;
    const time_point due = std::chrono::steady_clock::now() + delay;
    this->details->timers.emplace(implementation::timer_key{due, timer}, std::move(work));
    this->details->timer_times.emplace(timer, due);
    return timer;
}

void event_loop::cancel(timer_id timer) {
    const auto found = this->details->timer_times.find(timer);
    if (found == this->details->timer_times.end()) {
        return;
    }
    this->details->timers.erase({found->second, timer});
    this->details->timer_times.erase(found);
}

}  // namespace greengagechute::http
