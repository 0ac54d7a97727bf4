#pragma once

#include "base/result.h"
#include "wire/errors.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::wire {

struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// The text without the spaces and tabs around it.
std::string_view trimmed(std::string_view text);

/// Value of the first header of that name, in any case; nullptr if there is none.
const std::string* find_header(const header_list& headers, std::string_view name);
/// Values of all headers of that name, in any case and in their order.
std::vector<std::string> header_values(const header_list& headers, std::string_view name);
void set_header(header_list& headers, std::string_view name, std::string value);
void remove_header(header_list& headers, std::string_view name);

/// Removes the headers that concern one connection only, those that `Connection` names among them,
/// and those that describe the framing of the body.
void remove_connection_headers(header_list& headers);

/// A request with its whole body. Target and body are the bytes that were received.
struct request {
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    /// The message had a body, possibly of no bytes.
    bool has_body = false;
    /// The sender lets the connection go on after the response.
    bool keep_alive = true;
};

/// A response with its whole body.
struct response {
    int code = 0;
    std::string reason;
    header_list headers;
    std::string body;
    /// The connection may carry another exchange.
    bool keep_alive = true;
    /// The body ended with the connection, not by a length or a last chunk.
    bool until_close = false;
};

/// Bytes of a request. Sets Content-Length where the request has a body.
std::string serialize(const request& message);

/// Bytes of a response.
/// @param to_head  the request was a HEAD: no body follows, and a length that the message has stays
/// @param close    adds `Connection: close`
std::string serialize(const response& message, bool to_head, bool close);

/// Limits of one message. 0 means no limit.
struct message_limits {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
};

/// Reads requests from a byte stream, one at a time. http-parser does the parsing.
class request_parser {
public:
    request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;
    ~request_parser();

    void set_limits(const message_limits& limits);
    /// Consumes bytes up to the end of one message.
    /// @param used  bytes consumed
    /// @return true if a message is complete; fetch it with `take` before the next call
    bool feed(std::string_view bytes, std::size_t& used);
    /// Set if the bytes are no acceptable request; nothing more can be read.
    status error() const;
    /// Part of a message has been read.
    bool in_message() const;
    /// The headers of the current message are complete and ask for an interim response 100.
    bool wants_continue() const;
    request take();

private:
    struct state;
    std::unique_ptr<state> implementation;
};

/// Reads responses from a byte stream, one at a time; interim responses are skipped. Bytes outside
/// the grammar of HTTP/1.1 and transfer codings other than chunked are errors.
class response_parser {
public:
    response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;
    ~response_parser();

    /// Limits the memory for a head, interim heads and trailers included. 0 means no limit.
    void set_head_limit(std::size_t bytes);
    /// Memory that the current response takes.
    std::size_t kept_bytes() const;
    /// The next response answers a HEAD request and has no body.
    void expect_no_body(bool enabled);
    bool feed(std::string_view bytes, std::size_t& used);
    /// The peer closed in order: true if that completes the response.
    bool feed_end();
    status error() const;
    bool in_message() const;
    response take();
    /// The head of the current response has been read.
    bool is_head_read() const;
    /// Status and headers of a response whose body has not been read whole; no headers if its head
    /// is not complete.
    response take_head();
    /// The body of an incomplete response as far as it was read since the last call, for callers
    /// that pass it on in parts. `take` then returns the rest.
    std::string take_body_part();

private:
    struct state;
    std::unique_ptr<state> implementation;
};

}  // namespace greengagechute::wire
