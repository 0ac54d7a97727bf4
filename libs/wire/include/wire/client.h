#pragma once

#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "wire/loop.h"
#include "wire/message.h"
#include "wire/receive_budget.h"
#include "wire/stream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagechute::wire {

using call_id = strong_id<struct call_tag, std::uint64_t>;
/// Identifies a connection among all that a client has opened.
using connection_id = strong_id<struct connection_tag, std::uint64_t>;

struct call_options {
    /// From `send` to the whole response.
    milliseconds timeout{1'000};
    /// From `send` to an established connection.
    milliseconds connect_timeout{1'000};
    /// Whether a response answers this request; others are late answers to earlier requests and are
    /// skipped. Empty accepts every response.
    std::function<bool(const response&)> accept;
    /// Headers that a response has once at most. One that repeats them may consist of the parts of
    /// two: the call fails with `wire_errc::malformed_response`.
    std::vector<std::string> unique_headers;
    /// Kept connections that the call does not use. An answer repeated on one of them could not be
    /// told from the answer to this call.
    std::vector<connection_id> excluded;
    /// Opens a connection for the call instead of using a kept one.
    bool own_connection = false;
};

struct call_result {
    /// Empty if `message` holds the whole response. If the peer closed within the response,
    /// `message` holds its head as far as that was complete.
    status error;
    response message;
    /// The request was given to an established connection, so the server may have run it.
    bool sent = false;
    /// The connection had carried an earlier exchange.
    bool reused = false;
    /// The connection that the request was given to; empty if `sent` is not set.
    std::optional<connection_id> connection;
};

using call_handler = std::function<void(call_result)>;

/// Times that decide whether an idle connection is used again.
struct idle_limits {
    /// Peers close idle connections after a time that they do not always state.
    milliseconds unstated{7'000};
    /// Share of a stated time after which a connection is not used again, in percent.
    int stated_percent = 70;
};

/// Bounds of what servers may send, so that one that never ends an answer does not exhaust memory.
struct response_limits {
    /// Memory for the head of one response, trailers included.
    std::size_t head_bytes = 32U << 10U;
    /// Bytes received for one call: the response, interim ones, and skipped ones of other requests.
    std::size_t call_bytes = 8U << 20U;
    /// Memory for the responses of all open calls, of other clients of the process too. Not null.
    std::shared_ptr<receive_budget> budget = std::make_shared<receive_budget>();
};

/// HTTP/1.1 client with connections that are used again. One exchange at a time on a connection; a
/// request is never sent a second time. The connection of a call that ends without its response is
/// reset, so that nothing of the request arrives later than the packets that are on their way. If
/// it timed out without a byte in response, the kept connections to the same peer that have not
/// been heard since are not used again: what silenced one may have silenced all.
class client {
public:
    /// @param mode  how connections without a call are closed; with `abortive`, nothing of a
    ///              request arrives late, also if this process is killed
    client(event_loop& loop, idle_limits limits, response_limits bounds = {},
           close_mode mode = close_mode::orderly);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /// `done` is called once, unless the call is cancelled.
    call_id send(const endpoint& address, const request& message, const call_options& options,
                 call_handler done);
    /// Resets the connection of the call, so that the server stops its work. No effect on a call
    /// that has ended.
    void cancel(call_id id);
    /// Connections opened so far.
    std::uint64_t opened() const;

private:
    struct connection;
    struct call;

    void begin(const std::shared_ptr<call>& started);
    void dispatch(const std::shared_ptr<connection>& channel, const std::shared_ptr<call>& started);
    void on_data(const std::shared_ptr<connection>& channel, std::string_view bytes);
    void on_end(const std::shared_ptr<connection>& channel, stream_end how);
    void complete(const std::shared_ptr<connection>& channel, std::string_view rest);
    void fail(const std::shared_ptr<connection>& channel, const status& code);
    void keep(const std::shared_ptr<connection>& channel, const response& message, time_point now);
    void drop_silent(const call& timed_out);
    void drop(const std::shared_ptr<connection>& channel, close_mode mode = close_mode::orderly);
    void end_call(const std::shared_ptr<call>& ended, call_result outcome);

    status count_received(connection& channel, std::size_t received);
    void forget_received(connection& channel);

    event_loop& loop;
    idle_limits limits;
    response_limits bounds;
    close_mode mode;
    std::uint64_t last_id = 0;
    std::uint64_t connections_opened = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<call>> calls;
    std::map<endpoint, std::vector<std::shared_ptr<connection>>> idle;
};

}  // namespace greengagechute::wire
