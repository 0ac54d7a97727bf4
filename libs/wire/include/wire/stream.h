#pragma once

#include "base/result.h"
#include "base/time.h"
#include "wire/loop.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace greengagechute::wire {

/// An IPv4 address and a port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Parses "IP:PORT". Errors: `wire_errc::invalid_endpoint`.
result<endpoint> parse_endpoint(std::string_view text);

/// How a connection ended.
enum class stream_end {
    /// The peer closed its side in order.
    closed_by_peer,
    /// The peer's machine answered that nothing listens there.
    refused,
    /// Reset, timed out or any other error.
    failed,
};

/// What happens to bytes that arrive after this side has closed.
enum class late_input {
    /// Read and dropped, so that they do not turn the close into a reset that could overtake the
    /// last bytes sent.
    discard,
    /// Left in the socket. The peer's system learns from a reset that they were not read.
    leave_unread,
};

/// How a connection is closed.
enum class close_mode {
    /// The system still delivers the bytes that it has taken, also seconds later when a broken path
    /// works again.
    orderly,
    /// The connection is reset: bytes that have not reached the peer's system are lost. The peer
    /// may not learn of the end if the reset is lost.
    abortive,
};

/// Calls made by a stream. None is made after `ended`, or after `stream::close`.
struct stream_handlers {
    std::function<void()> connected;
    std::function<void(std::string_view)> data;
    /// All bytes given to `write` have left.
    std::function<void()> drained;
    std::function<void(stream_end)> ended;
};

/// A TCP connection.
class stream {
public:
    /// Opens a connection; `connected` or `ended` follows.
    /// @param mode  with `abortive`, each end of this side's resets the connection, also the end of
    ///              the process
    static std::shared_ptr<stream> connect(event_loop& loop, const endpoint& address,
                                           stream_handlers handlers,
                                           close_mode mode = close_mode::orderly);

    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    ~stream();

    void set_handlers(stream_handlers handlers);
    void write(std::string bytes);
    /// Bytes given to `write` that have not left yet.
    std::size_t pending() const;
    /// Stops and resumes calls of `data`.
    void set_reading(bool enabled);
    /// Closes at once; bytes that the system has not taken yet are lost.
    void close(close_mode mode = close_mode::orderly);
    /// Lets the connection end with a reset unless `finish` completes: also if this process is
    /// killed. For answers that end with the connection, since their receiver takes an orderly end
    /// for the end of the answer.
    void reset_unless_finished();
    /// Sends what is pending, closes the sending side, and closes the connection a short time
    /// later.
    /// @param closed  called when the connection is closed, with the number of discarded bytes
    void finish(late_input input = late_input::discard,
                std::function<void(std::size_t)> closed = {});

private:
    friend class listener;
    struct state;
    explicit stream(std::shared_ptr<state> initial);
    static std::shared_ptr<stream> adopt(const std::shared_ptr<state>& initial);

    std::shared_ptr<state> implementation;
};

/// Accepts connections at one address.
class listener {
public:
    using accept_handler = std::function<void(std::shared_ptr<stream>)>;

    listener(event_loop& loop, accept_handler handler);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    /// Errors: `wire_errc::listen_failed`.
    status open(const endpoint& address);
    void close();
    /// The bound port; for tests that listen on port 0.
    std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::wire
