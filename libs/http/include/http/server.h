#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/event_loop.h"
#include "http/types.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::http {

/// Bounds on what a server accepts from outside.
struct server_limits {
    /// Largest total size of the request line and headers, in bytes. Above it: 431, connection
    /// closed.
    std::size_t header_bytes = 16UL * 1024;
    /// Largest request body, in bytes. Above it: 413, connection closed.
    std::size_t body_bytes = 1024UL * 1024;
    /// Largest number of open connections.
    std::size_t connections = 4096;
    /// Time allowed to receive a whole request, and for an idle connection.
    milliseconds idle_timeout{30'000};
    /// Names, in lower case, of headers to read in addition to the common HTTP headers.
    std::vector<std::string> custom_headers = default_custom_headers();
};

/// Writes one response. Belongs to the loop's thread. Calls after the connection closed do nothing.
class response_writer {
public:
    response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    virtual ~response_writer() = default;

    /// Sends status and headers. With `length`, the body has exactly that many bytes; without it
    /// the body is sent in chunked transfer coding.
    virtual void start(int status, const header_list& headers,
                       std::optional<std::size_t> length = std::nullopt) = 0;
    /// Queues a part of the body.
    virtual void write(std::string_view part) = 0;
    /// Ends the body; the connection may be kept for the next request.
    virtual void finish() = 0;
    /// Closes the connection without ending the body, so that the client sees an incomplete
    /// response.
    virtual void abort() = 0;
    /// Bytes queued and not yet given to the socket.
    virtual std::size_t pending() const = 0;
    /// `callback` runs each time the queue becomes empty.
    virtual void on_drained(std::function<void()> callback) = 0;
    /// `callback` runs once if the client closes the connection before the response was finished.
    virtual void on_closed(std::function<void()> callback) = 0;
};

/// Sends a whole response in one call.
void respond(response_writer& writer, int status, const header_list& headers,
             std::string_view body);

/// An HTTP/1.1 server on an event loop, with keep-alive.
class server {
public:
    using handler = std::function<void(request, std::shared_ptr<response_writer>)>;

    /// Listens on `listen`; port 0 picks a free port.
    /// Errors: `http_errc::listen_failed`.
    static result<std::unique_ptr<server>> create(event_loop& loop, const endpoint& listen,
                                                  const server_limits& limits, handler on_request);
    virtual ~server() = default;

    /// The port in use.
    virtual std::uint16_t port() const = 0;
    /// Refuses new connections and ends idle ones; responses in progress go on.
    virtual void stop_accepting() = 0;
    /// Number of requests received whose response is not finished.
    virtual std::size_t active_requests() const = 0;
};

}  // namespace greengagechute::http
