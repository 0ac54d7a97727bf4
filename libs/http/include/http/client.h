#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/event_loop.h"
#include "http/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::http {

struct client_limits {
    /// Largest number of connections to one endpoint. Further requests wait in order.
    std::size_t connections_per_endpoint = 16;
    /// Time an idle connection is kept.
    milliseconds keep_alive{30'000};
    /// Time allowed to connect.
    milliseconds connect_timeout{1'000};
    /// Largest total size of response headers, in bytes.
    std::size_t header_bytes = 16UL * 1024;
    /// Names, in lower case, of headers to read in addition to the common HTTP headers.
    std::vector<std::string> custom_headers = default_custom_headers();
};

/// Whether the peer may have received any byte of a request that failed.
enum class sent_state {
    /// No byte of the request was written to a connection.
    never_sent,
    may_have_been_sent,
};

/// What happens to an exchange. All functions run on the loop's thread. Exactly one of
/// `on_complete` and `on_failed` is called, once, unless the exchange is cancelled.
struct exchange_handlers {
    std::function<void(int status, const header_list& headers)> on_head;
    std::function<void(std::string_view part)> on_body;
    /// The whole body was received: its length or its end marker was verified.
    std::function<void()> on_complete;
    std::function<void(std::error_code cause, sent_state state)> on_failed;
};

/// An HTTP/1.1 client on an event loop. Connections are kept alive and carry one exchange at a
/// time. A response outside the grammar of HTTP/1.1 is malformed, and a body that has neither a
/// length nor chunks is never whole. Interim responses are skipped.
class client {
public:
    using exchange_id = std::uint64_t;

    static std::unique_ptr<client> create(event_loop& loop, const client_limits& limits);
    virtual ~client() = default;

    /// Starts an exchange. A failure is always reported through `on_failed`, never from this call.
    /// Method, path and query together have at most 2,000 bytes.
    /// @param timeout  time allowed until the response is complete
    /// Errors: `http_errc::connect_failed`, `connection_closed`, `incomplete_response`, `timeout`,
    /// `malformed_response`, `invalid_request`.
    virtual exchange_id send(const endpoint& target, request message, milliseconds timeout,
                             exchange_handlers handlers) = 0;
    /// Ends an exchange without further callbacks and closes its connection.
    virtual void cancel(exchange_id exchange) = 0;
    /// Stops reading the response body, so that the peer is slowed down, until `resume`.
    virtual void pause(exchange_id exchange) = 0;
    virtual void resume(exchange_id exchange) = 0;
};

}  // namespace greengagechute::http
