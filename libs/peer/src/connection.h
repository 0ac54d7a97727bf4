#pragma once

#include "base/time.h"
#include "peer/codec.h"
#include "peer/errors.h"

#include <nng/nng.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace greengagechute::peer {

struct connection_settings {
    std::string address;
    std::size_t queue_length = 0;
    std::size_t queue_bytes = 0;
    milliseconds connect_timeout{0};
    milliseconds reconnect_interval{0};
};

/// The PUSH socket towards one peer with its bounded queue, until its first connection breaks.
///
/// A socket is not used after it has lost a pipe: nng 1.5.2 may put a pipe that is being closed
/// back into the list of ready pipes and later send on freed memory.
///
/// The socket itself buffers nothing, so that messages that wait can be dropped when the connection
/// breaks instead of being delivered long after.
class connection {
public:
    /// What a connection calls. The functions run on the thread of a sender or of nng.
    struct callbacks {
        /// Makes the frame for messages that are sent next. Called under the lock, so that frames
        /// are sent in the order of their sequence numbers.
        std::function<std::string(std::span<const packed_message>)> make_frame;
        /// A frame was given to nng. Called under the lock.
        std::function<void(std::size_t messages, std::size_t bytes)> sent;
        /// Frames that this connection has allocated and still has to free or to give to nng.
        std::function<void(int change)> frames_held;
        /// No byte of the message was sent. Called without the lock.
        std::function<void(const packed_message&)> dropped;
        /// The connection broke and must be replaced. Runs on a thread of nng.
        std::function<void()> lost;
    };

    connection(connection_settings limits, callbacks functions);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Opens the socket and starts to connect.
    /// @param queue_at_once  whether messages may wait during the first attempt
    /// Errors: `peer_errc::malformed_address` if nng does not accept the address.
    std::error_code open(bool queue_at_once);

    /// Queues all messages or none, and hands what the socket takes to it.
    /// Errors: `peer_errc::not_connected`, `queue_full`.
    std::error_code send(std::vector<packed_message> messages);

    bool connected() const;
    /// The connection was lost.
    bool broken() const;

private:
    enum class link_state { connecting, down, up, lost };

    static void pipe_changed(nng_pipe pipe, nng_pipe_ev event, void* self);
    static void send_finished(void* self);
    static void attempt_expired(void* self);

    void wait_until_idle() const;
    void went_up(std::uint32_t pipe);
    void went_down(std::uint32_t pipe);
    void give_up_attempt();
    void resume_queue();

    void flush();
    nng_msg* make_message(const std::string& frame) const;
    void free_unsent(nng_aio* aio) const;
    bool try_send(const std::string& frame);
    void send_when_ready(const std::string& frame);
    std::size_t next_batch() const;
    void remove_sent(std::size_t messages, std::size_t bytes);
    std::vector<packed_message> take_queue();
    void report_dropped(const std::vector<packed_message>& messages);

    connection_settings settings;
    callbacks functions;
    mutable std::mutex lock;
    link_state state = link_state::connecting;
    /// The first `waiting_messages` of them are in the frame that waits for the socket.
    std::deque<packed_message> queue;
    std::size_t queued_bytes = 0;
    std::size_t waiting_messages = 0;
    std::size_t waiting_bytes = 0;
    /// Id of the open pipe; 0 if there is none.
    std::uint32_t open_pipe = 0;
    bool closing = false;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    /// Without a callback and with a zero timeout: succeeds or fails at once.
    nng_aio* immediate_send = nullptr;
    nng_aio* waiting_send = nullptr;
    nng_aio* attempt_timer = nullptr;
};

}  // namespace greengagechute::peer
