#include "connection.h"

#include <nng/protocol/pipeline0/push.h>
#include <poll.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <new>
#include <utility>

namespace greengagechute::peer {

namespace {

// Bounds of a frame with several messages. A message above the bound travels alone.
constexpr std::size_t batch_bytes = 64UL * 1024;
constexpr std::size_t batch_messages = 256;

// Time allowed for the frame in progress when a connection is closed.
constexpr milliseconds longest_write{200};

nng_aio* allocate_aio(void (*callback)(void*), void* argument) {
    nng_aio* aio = nullptr;
    if (nng_aio_alloc(&aio, callback, argument) != 0) {
        throw std::bad_alloc();
    }
    return aio;
}

}  // namespace

connection::connection(connection_settings limits, callbacks given)
    : settings(std::move(limits)), functions(std::move(given)) {}

connection::~connection() {
    {
        const std::scoped_lock guard(this->lock);
        this->closing = true;
    }
    nng_aio_stop(this->attempt_timer);
    nng_aio_stop(this->waiting_send);
    this->wait_until_idle();
    nng_close(this->socket);
    nng_aio_free(this->attempt_timer);
    nng_aio_free(this->waiting_send);
    nng_aio_free(this->immediate_send);
    this->report_dropped(this->take_queue());
}

// nng 1.5.2 can wait forever for a pipe that is closed between two writes of one message.
void connection::wait_until_idle() const {
    pollfd ready{-1, POLLIN, 0};
    if (this->connected() && nng_socket_get_int(this->socket, NNG_OPT_SENDFD, &ready.fd) == 0) {
        poll(&ready, 1, static_cast<int>(longest_write.count()));
    }
}

std::error_code connection::open(bool queue_at_once) {
    this->state = queue_at_once ? link_state::connecting : link_state::down;
    this->immediate_send = allocate_aio(nullptr, nullptr);
    this->waiting_send = allocate_aio(&connection::send_finished, this);
    this->attempt_timer = allocate_aio(&connection::attempt_expired, this);
    nng_aio_set_timeout(this->immediate_send, NNG_DURATION_ZERO);
    nng_aio_set_timeout(this->waiting_send, NNG_DURATION_INFINITE);
    if (nng_push0_open(&this->socket) != 0) {
        throw std::bad_alloc();
    }
    const auto interval = static_cast<nng_duration>(this->settings.reconnect_interval.count());
    nng_socket_set_int(this->socket, NNG_OPT_SENDBUF, 0);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, interval);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, interval);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_ADD_POST, &connection::pipe_changed, this);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_REM_POST, &connection::pipe_changed, this);
    const std::string url = "tcp://" + this->settings.address;
    if (nng_dial(this->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        return make_error_code(peer_errc::malformed_address);
    }
    nng_sleep_aio(static_cast<nng_duration>(this->settings.connect_timeout.count()),
                  this->attempt_timer);
    return {};
}

std::error_code connection::send(std::vector<packed_message> messages) {
    const std::scoped_lock guard(this->lock);
    const bool usable = this->state == link_state::connecting || this->state == link_state::up;
    if (!usable || this->closing) {
        return peer_errc::not_connected;
    }
    if (this->queue.size() + messages.size() > this->settings.queue_length ||
        this->queued_bytes >= this->settings.queue_bytes) {
        return peer_errc::queue_full;
    }
    for (packed_message& next : messages) {
        this->queued_bytes += next.body.size();
        this->queue.push_back(std::move(next));
    }
    this->flush();
    return {};
}

bool connection::connected() const {
    const std::scoped_lock guard(this->lock);
    return this->state == link_state::up;
}

bool connection::broken() const {
    const std::scoped_lock guard(this->lock);
    return this->state == link_state::lost;
}

void connection::pipe_changed(nng_pipe pipe, nng_pipe_ev event, void* self) {
    const auto id = static_cast<std::uint32_t>(nng_pipe_id(pipe));
    if (event == NNG_PIPE_EV_ADD_POST) {
        static_cast<connection*>(self)->went_up(id);
    } else {
        static_cast<connection*>(self)->went_down(id);
    }
}

void connection::send_finished(void* self) {
    static_cast<connection*>(self)->resume_queue();
}

void connection::attempt_expired(void* self) {
    static_cast<connection*>(self)->give_up_attempt();
}

void connection::went_up(std::uint32_t pipe) {
    const std::scoped_lock guard(this->lock);
    if (this->closing || this->state == link_state::lost) {
        return;
    }
    this->state = link_state::up;
    this->open_pipe = pipe;
    this->flush();
}

void connection::went_down(std::uint32_t pipe) {
    std::vector<packed_message> messages;
    {
        const std::scoped_lock guard(this->lock);
        // A pipe that failed before it was open is removed at any later time.
        if (pipe != this->open_pipe || this->state == link_state::lost) {
            return;
        }
        this->state = link_state::lost;
        if (this->waiting_messages == 0) {
            messages = this->take_queue();
        }
    }
    // If a frame waits, the callback of the cancelled send drops the queue, since only it knows
    // whether the frame was taken.
    nng_aio_cancel(this->waiting_send);
    this->report_dropped(messages);
    this->functions.lost();
}

void connection::give_up_attempt() {
    std::vector<packed_message> messages;
    {
        const std::scoped_lock guard(this->lock);
        if (this->state != link_state::connecting || this->closing) {
            return;
        }
        this->state = link_state::down;
        messages = this->take_queue();
    }
    this->report_dropped(messages);
}

void connection::resume_queue() {
    std::vector<packed_message> messages;
    {
        const std::scoped_lock guard(this->lock);
        const std::size_t finished = std::exchange(this->waiting_messages, 0);
        if (nng_aio_result(this->waiting_send) == 0) {
            this->functions.frames_held(-1);
            this->remove_sent(finished, this->waiting_bytes);
        } else {
            this->free_unsent(this->waiting_send);
        }
        if (this->closing) {
            return;
        }
        if (this->state == link_state::lost) {
            messages = this->take_queue();
        }
        this->flush();
    }
    this->report_dropped(messages);
}

// Sends frames until the queue is empty or the socket is busy. What is queued while the socket is
// busy shares the next frame.
void connection::flush() {
    if (this->state != link_state::up) {
        return;
    }
    while (!this->queue.empty() && this->waiting_messages == 0) {
        const std::size_t count = this->next_batch();
        std::vector<packed_message> batch(
            std::make_move_iterator(this->queue.begin()),
            std::make_move_iterator(this->queue.begin() + static_cast<std::ptrdiff_t>(count)));
        const std::string frame = this->functions.make_frame(batch);
        // The messages stay in the queue until nng has taken the frame.
        std::move(batch.begin(), batch.end(), this->queue.begin());
        if (this->try_send(frame)) {
            this->remove_sent(count, frame.size());
        } else {
            this->waiting_messages = count;
            this->waiting_bytes = frame.size();
            this->send_when_ready(frame);
        }
    }
}

std::size_t connection::next_batch() const {
    std::size_t count = 1;
    std::size_t bytes = this->queue.front().body.size();
    while (count < this->queue.size() && count < batch_messages) {
        bytes += this->queue[count].body.size();
        if (bytes > batch_bytes) {
            break;
        }
        ++count;
    }
    return count;
}

void connection::remove_sent(std::size_t messages, std::size_t bytes) {
    for (std::size_t index = 0; index < messages; ++index) {
        this->queued_bytes -= this->queue.front().body.size();
        this->queue.pop_front();
    }
    this->functions.sent(messages, bytes);
}

nng_msg* connection::make_message(const std::string& frame) const {
    nng_msg* content = nullptr;
    if (nng_msg_alloc(&content, frame.size()) != 0) {
        throw std::bad_alloc();
    }
    std::memcpy(nng_msg_body(content), frame.data(), frame.size());
    this->functions.frames_held(1);
    return content;
}

// After a failed send the message still belongs to the caller.
void connection::free_unsent(nng_aio* aio) const {
    if (nng_msg* const unsent = nng_aio_get_msg(aio)) {
        nng_msg_free(unsent);
        nng_aio_set_msg(aio, nullptr);
        this->functions.frames_held(-1);
    }
}

bool connection::try_send(const std::string& frame) {
    nng_aio_set_msg(this->immediate_send, this->make_message(frame));
    nng_send_aio(this->socket, this->immediate_send);
    nng_aio_wait(this->immediate_send);
    if (nng_aio_result(this->immediate_send) != 0) {
        this->free_unsent(this->immediate_send);
        return false;
    }
    this->functions.frames_held(-1);
    return true;
}

void connection::send_when_ready(const std::string& frame) {
    nng_aio_set_msg(this->waiting_send, this->make_message(frame));
    nng_send_aio(this->socket, this->waiting_send);
}

std::vector<packed_message> connection::take_queue() {
    this->queued_bytes = 0;
    std::vector<packed_message> messages(std::make_move_iterator(this->queue.begin()),
                                         std::make_move_iterator(this->queue.end()));
    this->queue.clear();
    return messages;
}

void connection::report_dropped(const std::vector<packed_message>& messages) {
    for (const packed_message& next : messages) {
        this->functions.dropped(next);
    }
}

}  // namespace greengagechute::peer
