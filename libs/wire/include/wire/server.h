#pragma once

#include "base/result.h"
#include "base/time.h"
#include "wire/loop.h"
#include "wire/message.h"
#include "wire/stream.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace greengagechute::wire {

struct server_limits {
    message_limits message;
    /// Longest time from the first byte of a request to the last one of its headers and body.
    milliseconds header_timeout{10'000};
    /// Longest time without a request.
    milliseconds idle_timeout{60'000};
    /// Requests of one connection that are answered at the same time.
    std::size_t pipeline = 8;
};

/// Why a connection ended.
enum class close_reason {
    /// The caller closed or lost it.
    caller,
    /// No request arrived within the idle limit.
    idle,
    /// A request was not complete within its limit.
    unfinished_request,
    /// The answer of a request ended it.
    answered,
    /// The server is shutting down.
    stopped,
};

std::string_view to_text(close_reason reason);

/// The end of a connection, as this side saw it.
struct closed_connection {
    close_reason reason = close_reason::caller;
    /// Requests that were read and not answered.
    std::size_t unanswered = 0;
    /// Bytes that arrived after this side had closed and were discarded.
    std::size_t discarded = 0;
};

class server_connection;

/// One request of a caller and the place of its answer. Answers leave in the order of the requests.
class incoming {
public:
    const request& message() const { return this->content; }
    request& message() { return this->content; }
    /// Time at which the last byte arrived.
    time_point arrived() const { return this->arrival; }
    /// No earlier request of the connection awaits its answer.
    bool is_first() const;
    /// No other request of the connection has been read and awaits its answer.
    bool is_alone() const;
    /// Called when the caller leaves before the answer is given.
    void on_left(std::function<void()> handler) { this->left = std::move(handler); }
    /// Called when this becomes the first unanswered request.
    void on_first(std::function<void()> handler) { this->first = std::move(handler); }
    /// Gives the answer. Only the first call has an effect.
    void answer(response message, bool close = false);
    bool answered() const { return this->done; }

private:
    friend class server_connection;
    std::weak_ptr<server_connection> owner;
    request content;
    time_point arrival;
    std::function<void()> left;
    std::function<void()> first;
    bool done = false;
    bool close_after = false;
    response reply;
};

using request_handler = std::function<void(const std::shared_ptr<incoming>&)>;

/// HTTP/1.1 server.
class server {
public:
    server(event_loop& loop, request_handler handler);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    status open(const endpoint& address);
    std::uint16_t port() const;
    /// Open connections follow as well; a lower idle limit applies from their next request.
    void set_limits(const server_limits& limits);
    /// Called when a connection has ended; not called by the destructor.
    void on_closed(std::function<void(const closed_connection&)> handler);
    /// Each answer from now on closes its connection.
    void start_closing();
    /// Takes no further connection or request; requests that were read get their answers.
    void stop_reading();
    /// Closes the connections that await nothing; true if none is left and the callers have taken
    /// the answers of those that have ended.
    bool close_idle();
    std::size_t connections() const;

private:
    friend class server_connection;
    struct state;
    std::shared_ptr<state> implementation;
};

}  // namespace greengagechute::wire
