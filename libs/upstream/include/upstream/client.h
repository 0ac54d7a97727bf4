#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/client.h"
#include "ownership/grant.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengagechute::upstream {

/// A request for a server, with the authority under which it is sent.
struct work {
    service_id service;
    server_id server;
    std::string key;
    /// What the server has to hold.
    std::optional<ownership::held_partition> partition;
    epoch dispatcher_epoch;
    /// Time left; also the time allowed for the exchange.
    milliseconds deadline{0};
    request_id request;
    std::string idempotency_key;
    std::string method;
    /// Path and query.
    std::string target;
    http::header_list headers;
    std::string body;
};

/// What happens to work. Exactly one of `on_complete`, `on_not_run` and `on_failed` is called,
/// once, unless the work is cancelled. `on_head` and `on_body` are called for answers only.
struct work_handlers {
    std::function<void(int status, const http::header_list& headers)> on_head;
    std::function<void(std::string_view part)> on_body;
    std::function<void()> on_complete;
    /// The server states that the work did not run.
    std::function<void(const std::string& reason)> on_not_run;
    std::function<void(std::error_code cause, http::sent_state state)> on_failed;
};

/// Orders and work for servers. All calls and callbacks belong to one event loop's thread.
class client {
public:
    using run_id = std::uint64_t;
    using report_callback = std::function<void(result<ownership::server_report>)>;

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    /// Sends a grant. A refusal by the server is a report with `accepted == false`.
    /// Errors: those of `http::client::send`, `upstream_errc::malformed_message`,
    /// `unexpected_status`.
    virtual void send_grant(const http::endpoint& server, const ownership::grant& order,
                            report_callback done) = 0;
    virtual void request_status(const http::endpoint& server, report_callback done) = 0;
    virtual run_id run(const http::endpoint& server, work order, work_handlers handlers) = 0;
    /// Ends the exchange without further callbacks; the server sees a closed connection.
    virtual void cancel(run_id run) = 0;
    /// Asks the server to stop work whose exchange has ended already. Best effort.
    virtual void cancel_work(const http::endpoint& server, request_id request) = 0;
    /// Stops reading the answer until `resume`.
    virtual void pause(run_id run) = 0;
    virtual void resume(run_id run) = 0;
};

struct client_settings {
    /// Time allowed for a grant or a status request.
    milliseconds order_timeout{300};
};

/// The interface over HTTP/1.1.
/// @param work_connections   for work; must outlive the returned client
/// @param order_connections  for grants and status requests, so that they never wait behind work
std::unique_ptr<client> make_http_client(http::client& work_connections,
                                         http::client& order_connections,
                                         const client_settings& settings);

}  // namespace greengagechute::upstream
