#define BOOST_TEST_MODULE wire
#include "mutation.h"
#include "wire/client.h"
#include "wire/loop.h"
#include "wire/message.h"
#include "wire/server.h"
#include "wire/stream.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace gg = greengagechute;
namespace wire = greengagechute::wire;

namespace {

/// Largest resident memory of this process since `reset_peak_memory`, in bytes.
std::size_t peak_memory() {
    std::ifstream file("/proc/self/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(6)) << 10U;
        }
    }
    return 0;
}

void reset_peak_memory() {
    // Frees what earlier cases have left, and starts a new peak (proc(5), clear_refs).
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

constexpr gg::milliseconds test_limit{5'000};

/// Reads one request from `bytes`, given in pieces of `step` bytes.
bool parse(wire::request_parser& parser, std::string_view bytes, std::size_t step,
           wire::request& read) {
    while (!bytes.empty() && !parser.error()) {
        std::size_t used = 0;
        if (parser.feed(bytes.substr(0, step), used)) {
            read = parser.take();
            return true;
        }
        bytes.remove_prefix(used);
        if (used == 0) {
            break;
        }
    }
    return false;
}

/// Reads a response that its server closes behind, given in pieces of `step` bytes.
std::optional<wire::response> read_response(std::string_view bytes, std::size_t step) {
    wire::response_parser parser;
    bool complete = false;
    for (std::size_t at = 0; at < bytes.size() && !complete && !parser.error(); at += step) {
        std::size_t used = 0;
        complete = parser.feed(bytes.substr(at, step), used);
    }
    return complete || parser.feed_end() ? std::optional(parser.take()) : std::nullopt;
}

/// Checks that a response is refused, given whole or byte by byte.
void check_response_is_refused(const std::string& bytes) {
    for (const std::size_t step : {bytes.size(), std::size_t{1}}) {
        BOOST_TEST(!read_response(bytes, step).has_value(), bytes);
    }
}

/// Checks that a response with the body "ok" is read, given whole or byte by byte, and that its
/// connection may go on but for HTTP/1.0.
void check_response_is_read(const std::string& bytes) {
    const bool keep_alive = !bytes.starts_with("HTTP/1.0");
    for (const std::size_t step : {bytes.size(), std::size_t{1}}) {
        const auto message = read_response(bytes, step);
        BOOST_REQUIRE_MESSAGE(message.has_value(), bytes);
        BOOST_TEST(message->code == 200, bytes);
        BOOST_TEST(message->body == "ok", bytes);
        BOOST_TEST(message->keep_alive == keep_alive, bytes);
    }
}

bool is_refused(std::string_view bytes) {
    wire::request_parser parser;
    wire::request read;
    return !parse(parser, bytes, bytes.size(), read) && parser.error();
}

/// A peer that sends fixed bytes for each request that it reads.
class scripted_peer {
public:
    scripted_peer(wire::event_loop& loop, std::vector<std::string> replies, bool close_after)
        : script(std::move(replies)),
          close(close_after),
          listening(loop, [this](const std::shared_ptr<wire::stream>& opened) {
              this->accepted.push_back(opened);
              wire::stream_handlers handlers;
              handlers.data = [this, opened = opened.get()](std::string_view bytes) {
                  this->received.append(bytes);
                  if (this->next < this->script.size()) {
                      opened->write(this->script[this->next++]);
                      if (this->close) {
                          opened->finish();
                      }
                  }
              };
              opened->set_handlers(std::move(handlers));
          }) {
        BOOST_REQUIRE(!this->listening.open({"127.0.0.1", 0}));
    }

    wire::endpoint address() const { return {"127.0.0.1", this->listening.port()}; }

    std::string received;
    std::vector<std::shared_ptr<wire::stream>> accepted;

private:
    std::vector<std::string> script;
    std::size_t next = 0;
    bool close;
    wire::listener listening;
};

wire::request get(const std::string& target) {
    wire::request message;
    message.method = "GET";
    message.target = target;
    message.headers.push_back({"Host", "h"});
    return message;
}

/// Sends one request and waits for its end.
wire::call_result call(wire::event_loop& loop, wire::client& client, const wire::endpoint& address,
                       const wire::request& message, const wire::call_options& options = {}) {
    wire::call_result result;
    client.send(address, message, options, [&loop, &result](wire::call_result outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    const auto limit = loop.call_after(test_limit, [&loop] { loop.stop(); });
    loop.run();
    loop.cancel(limit);
    return result;
}

/// Sends bytes to a server and returns what it answers until `until` is found or it closes.
std::string exchange(wire::event_loop& loop, const wire::endpoint& address,
                     const std::string& bytes, const std::string& until) {
    std::string received;
    wire::stream_handlers handlers;
    handlers.data = [&](std::string_view data) {
        received.append(data);
        if (!until.empty() && received.find(until) != std::string::npos) {
            loop.stop();
        }
    };
    handlers.ended = [&loop](wire::stream_end) { loop.stop(); };
    const auto opened = wire::stream::connect(loop, address, std::move(handlers));
    opened->write(bytes);
    const auto limit = loop.call_after(test_limit, [&loop] { loop.stop(); });
    loop.run();
    loop.cancel(limit);
    return received;
}

constexpr gg::milliseconds idle_limit{100};

/// A caller whose socket is used directly, so that it also sees what a stream does not report.
class blocking_caller {
public:
    explicit blocking_caller(std::uint16_t port) : descriptor(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): socket address types.
        const auto* target = reinterpret_cast<const sockaddr*>(&address);
        BOOST_REQUIRE(::connect(this->descriptor, target, sizeof address) == 0);
        timeval limit{1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    blocking_caller(const blocking_caller&) = delete;
    blocking_caller& operator=(const blocking_caller&) = delete;
    ~blocking_caller() { ::close(this->descriptor); }

    void write(std::string_view bytes) const {
        BOOST_REQUIRE(::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(bytes.size()));
    }
    /// Waits for up to 1 s.
    std::string read() const {
        std::array<char, 4'096> buffer{};
        const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
        return count <= 0 ? std::string() : std::string(buffer.data(), static_cast<size_t>(count));
    }
    /// Reads to the end of the connection. Returns the number of bytes, and whether the peer closed
    /// in order.
    std::pair<std::size_t, bool> read_to_end() const {
        std::array<char, 65'536> buffer{};
        std::size_t received = 0;
        for (;;) {
            const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                return {received, count == 0};
            }
            received += static_cast<std::size_t>(count);
        }
    }
    bool closed_by_peer() const {
        char byte = 0;
        return ::recv(this->descriptor, &byte, 1, MSG_DONTWAIT) == 0;
    }
    bool reset_by_peer() const {
        int code = 0;
        socklen_t size = sizeof code;
        ::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &code, &size);
        return code == ECONNRESET || code == EPIPE;
    }

private:
    int descriptor;
};

/// A peer that accepts connections and reads nothing until it is asked to, like one at the end of a
/// path that holds packets back. Its socket holds only a few kilobytes.
class unread_peer {
public:
    unread_peer() : descriptor(::socket(AF_INET, SOCK_STREAM, 0)) {
        const int buffer = 2'048;
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): socket address types.
        BOOST_REQUIRE(::bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
        BOOST_REQUIRE(::listen(this->descriptor, 8) == 0);
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
        this->bound_port = ntohs(address.sin_port);
    }
    unread_peer(const unread_peer&) = delete;
    unread_peer& operator=(const unread_peer&) = delete;
    ~unread_peer() { ::close(this->descriptor); }

    wire::endpoint address() const { return {"127.0.0.1", this->bound_port}; }

    /// Sends bytes on the oldest connection and resets it, with an orderly end of this side before
    /// on request. What the caller has sent stays unread.
    void send_and_reset(std::string_view bytes, bool end_in_order) const {
        const int opened = ::accept(this->descriptor, nullptr, nullptr);
        BOOST_REQUIRE(opened >= 0);
        BOOST_REQUIRE(::send(opened, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(bytes.size()));
        if (end_in_order) {
            BOOST_REQUIRE(::shutdown(opened, SHUT_WR) == 0);
        }
        const linger option{1, 0};
        ::setsockopt(opened, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::close(opened);
    }

    /// Reads the oldest connection until it ends or is silent for 1 s; returns the bytes read.
    std::size_t read_all() const {
        const int opened = ::accept(this->descriptor, nullptr, nullptr);
        BOOST_REQUIRE(opened >= 0);
        timeval limit{1, 0};
        ::setsockopt(opened, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::size_t sum = 0;
        std::array<char, 4'096> buffer{};
        for (ssize_t count = 1; count > 0;
             sum += static_cast<std::size_t>(std::max<ssize_t>(0, count))) {
            count = ::recv(opened, buffer.data(), buffer.size(), 0);
        }
        ::close(opened);
        return sum;
    }

private:
    int descriptor;
    std::uint16_t bound_port = 0;
};

}  // namespace

// Guards against rewritten paths: an encoded slash and dot segments must arrive as they were sent.
BOOST_AUTO_TEST_CASE(target_and_headers_are_exact) {
    const std::string bytes =
        "GET /a%2Fb/../c//d/%7Ex?q=%2f&z HTTP/1.1\r\nHost: h\r\nX-Own:  two words \r\n\r\n";
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
        wire::request_parser parser;
        wire::request read;
        BOOST_REQUIRE(parse(parser, bytes, step, read));
        BOOST_TEST(read.target == "/a%2Fb/../c//d/%7Ex?q=%2f&z");
        BOOST_REQUIRE(wire::find_header(read.headers, "x-own") != nullptr);
    }
}

// Guards against chunked bodies being refused or their framing being passed on.
BOOST_AUTO_TEST_CASE(chunked_body_is_joined) {
    const std::string bytes =
        "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    wire::request_parser parser;
    wire::request read;
    BOOST_REQUIRE(parse(parser, bytes, 5, read));
    BOOST_TEST(read.body == "abcde");
    wire::remove_connection_headers(read.headers);
    BOOST_TEST(wire::serialize(read) ==
               "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
}

// Guards against a second request hidden in the first one.
BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused) {
    BOOST_TEST(
        is_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    BOOST_TEST(
        is_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                   "Content-Length: 4\r\n\r\nabcd"));
    BOOST_TEST(
        is_refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                   "0\r\n\r\n"));
    BOOST_TEST(is_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"));
    BOOST_TEST(is_refused("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"));
    BOOST_TEST(is_refused("GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(is_refused("nonsense\r\n\r\n"));
}

// Guards against headers of one connection, or named by `Connection`, being passed on.
BOOST_AUTO_TEST_CASE(connection_headers_are_removed) {
    wire::header_list headers{{"Host", "h"},          {"Connection", "close, X-Hop, Host"},
                              {"X-Hop", "1"},         {"Keep-Alive", "timeout=5"},
                              {"X-End", "2"},         {"Transfer-Encoding", "chunked"},
                              {"Content-Length", "3"}};
    wire::remove_connection_headers(headers);
    BOOST_REQUIRE(headers.size() == 2U);
    BOOST_TEST(headers[0].name == "Host");
    BOOST_TEST(headers[1].name == "X-End");
}

// Guards against oversized messages being buffered without end.
BOOST_AUTO_TEST_CASE(limits_apply) {
    wire::request_parser parser;
    parser.set_limits({64, 4});
    wire::request read;
    BOOST_TEST(!parse(parser, "GET /" + std::string(100, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n", 200,
                      read));
    BOOST_TEST(parser.error() == make_error_code(wire::wire_errc::header_too_large));
    wire::request_parser second;
    second.set_limits({0, 4});
    BOOST_TEST(
        !parse(second, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde", 200, read));
    BOOST_TEST(second.error() == make_error_code(wire::wire_errc::body_too_large));
}

// Guards against an answer made of two: a server sends the beginning of an answer to an earlier
// request, which breaks off at any byte, and then the answer to the present one. The status, the
// headers and the body must all come from the answer with the present id, or the response is not
// taken for it.
BOOST_AUTO_TEST_CASE(answer_that_breaks_off_lends_nothing_to_the_next) {
    const auto make = [](const std::string& status, const std::string& id, const std::string& body,
                         bool chunked) {
        const std::string head = "HTTP/1.1 " + status + "\r\nOwn-Load: 1,0,3\r\nOwn-Id: " + id +
                                 "\r\nOwn-Signature: s-" + id + "\r\n";
        return chunked ? head + "Transfer-Encoding: chunked\r\n\r\n" + "4\r\n" + body +
                             "\r\n0\r\nOwn-Sum: 5\r\n\r\n"
                       : head + "Content-Length: 4\r\n\r\n" + body;
    };
    const std::vector<std::string> statuses{"200 OK",
                                            "204 No Content",
                                            "404 Not Found",
                                            "500 Internal Server Error",
                                            "503 Service Unavailable\r\nOwn-Not-Run: 1",
                                            "103 Early Hints\r\nLink: x"};
    for (const std::string& first_status : statuses) {
        for (const std::string& second_status : statuses) {
            for (const bool chunked : {false, true}) {
                const std::string first = make(first_status, "earlier", "1111", chunked);
                const std::string second = make(second_status, "present", "2222", chunked);
                wire::response_parser whole;
                std::size_t used = 0;
                const bool readable = whole.feed(second, used);
                const wire::response expected = readable ? whole.take() : wire::response{};
                for (std::size_t cut = 1; cut < first.size(); ++cut) {
                    const std::string bytes = first.substr(0, cut) + second;
                    wire::response_parser parser;
                    std::string_view rest = bytes;
                    while (!rest.empty() && parser.feed(rest, used)) {
                        rest.remove_prefix(used);
                        const wire::response read = parser.take();
                        const auto ids = wire::header_values(read.headers, "Own-Id");
                        const bool taken = ids == std::vector<std::string>{"present"};
                        if (taken) {
                            BOOST_REQUIRE_MESSAGE(
                                readable && read.code == expected.code &&
                                    read.body == expected.body &&
                                    wire::header_values(read.headers, "Own-Signature") ==
                                        std::vector<std::string>{"s-present"} &&
                                    wire::header_values(read.headers, "Own-Not-Run") ==
                                        wire::header_values(expected.headers, "Own-Not-Run"),
                                first_status << " cut at " << cut << " joined " << second_status);
                        }
                        BOOST_REQUIRE_MESSAGE(
                            !ids.empty(), first_status << " cut at " << cut << " has lost its id");
                    }
                }
            }
        }
    }
}

// Guards against two answers whose heads are joined at the end of a line.
BOOST_AUTO_TEST_CASE(response_that_repeats_a_unique_header_fails_the_call) {
    wire::event_loop loop;
    wire::server server(loop, [](const std::shared_ptr<wire::incoming>& asked) {
        wire::response answer;
        answer.code = 200;
        answer.headers = {{"Own-Id", "earlier"}, {"Own-Id", "present"}};
        asked->answer(std::move(answer));
    });
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    wire::client caller(loop, {});
    wire::request message;
    message.method = "GET";
    message.target = "/";
    message.headers = {{"Host", "h"}};
    wire::call_options options;
    options.unique_headers = {"Own-Id"};
    std::error_code error;
    caller.send({"127.0.0.1", server.port()}, message, options,
                [&error, &loop](const wire::call_result& outcome) {
                    error = outcome.error;
                    loop.stop();
                });
    loop.run();
    BOOST_CHECK(error == wire::wire_errc::malformed_response);
}

// Guards against an answer whose status is none of HTTP's, as servers in trouble send: as an
// interim answer it would be skipped, and a later answer taken in its place; as a final one, passed
// on.
BOOST_AUTO_TEST_CASE(responses_with_invalid_statuses_are_malformed) {
    for (const char* status : {"000", "0", "1", "99", "101", "600", "700", "999"}) {
        wire::response_parser parser;
        std::size_t used = 0;
        const std::string text = std::string("HTTP/1.1 ") + status +
                                 " X\r\nContent-Length: 0\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        BOOST_TEST(!parser.feed(text, used), status);
        BOOST_TEST(parser.error() == make_error_code(wire::wire_errc::malformed_response));
    }
    for (const char* status : {"200", "299", "404", "500", "599"}) {
        wire::response_parser parser;
        std::size_t used = 0;
        BOOST_TEST(parser.feed(
                       std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n", used),
                   status);
    }
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte, as
// servers in trouble send: the line would be passed on, or would hide how the body is framed.
BOOST_AUTO_TEST_CASE(responses_with_invalid_header_names_are_malformed) {
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const std::string rest = ": 5\r\nContent-Length: 2\r\n\r\nok";
    std::vector<std::string> names{
        "", " ", "\t", "Own Load", "Own-Load ", "Own-Load\t", "Content-Length "};
    for (char c = 0; c < ' '; ++c) {
        names.push_back(std::string("Own") + c + "Load");
        if (c != '\r' && c != '\n') {
            // Alone, these make an empty line, which ends the head.
            names.push_back(std::string(1, c));
        }
        names.push_back(std::string("Own-Load") + c);
    }
    names.emplace_back("Own-Load\x7F");
    const auto check = [](const std::string& bytes) {
        wire::response_parser parser;
        std::size_t used = 0;
        BOOST_TEST(!parser.feed(bytes, used), bytes);
        BOOST_TEST(parser.error() == make_error_code(wire::wire_errc::malformed_response), bytes);
    };
    const auto final_head = [&](const std::string& name) { return status_line + name + rest; };
    const auto interim_head = [](const std::string& name) {
        return "HTTP/1.1 103 Early Hints\r\n" + name + ": 5\r\n\r\n";
    };
    for (const std::string& name : names) {
        check(final_head(name));
        check(interim_head(name) + final_head("Own-Load"));
    }
}

// Guards against an answer whose status line is none of HTTP/1.1's, or whose head has a carriage
// return that ends no line: what follows it would be read as another part of the answer, such as
// the head as the body.
BOOST_AUTO_TEST_CASE(responses_with_broken_lines_are_malformed) {
    const std::string rest = "Content-Length: 2\r\n\r\nok";
    const std::string line = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> broken{
        "HTTP/1.1  200 OK\r\n" + rest,
        "HTTP/1.1 0200 OK\r\n" + rest,
        "HTTP/1.1 00200 OK\r\n" + rest,
        "HTTP/1.1 2000 OK\r\n" + rest,
        "HTTP/1.1 20 OK\r\n" + rest,
        "HTTP/1.1 200OK\r\n" + rest,
        "HTTP/1.1 200\tOK\r\n" + rest,
        "HTTP/1.1 +200 OK\r\n" + rest,
        "HTTP/1.1 200 O\x01K\r\n" + rest,
        "HTTP/1.1 200 OK\x7F\r\n" + rest,
        std::string("HTTP/1.1 200 O\0K\r\n", 18) + rest,
        "HTTP/1.1 200 O\rK\r\n" + rest,
        "HTTP/1.1 200 OK\r" + rest,
        "HTTP/1.1 200\r" + rest,
        "HTTP/1.1 200\rX" + rest,
        "HTTP/0.9 200 OK\r\n" + rest,
        "HTTP/2.0 200 OK\r\n" + rest,
        "HTTP/1. 200 OK\r\n" + rest,
        "http/1.1 200 OK\r\n" + rest,
        "\r\n" + line + rest,
        "\r" + line + rest,
        line + "\r: 5\r\n" + rest,
        line + "Own-Load: 5\r6\r\n" + rest,
        line + "Own-Load: 5\r\r\n" + rest,
        line + "Content-Length: 2\r\n\rXok",
        "HTTP/1.1 103 Early Hints\r\n\rX" + line + rest,
        "HTTP/1.1 103 Early Hints\r\n\r\n\r\n" + line + rest,
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 0200 OK\r\n" + rest,
    };
    for (const std::string& bytes : broken) {
        check_response_is_refused(bytes);
    }
    const std::vector<std::string> sound{
        line + rest,
        "HTTP/1.0 200 OK\r\n" + rest,
        "HTTP/1.1 200 \r\n" + rest,
        "HTTP/1.1 200\r\n" + rest,
        "HTTP/1.1 200 \xC3\x84\tB\r\n" + rest,
        "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + line + rest,
    };
    for (const std::string& bytes : sound) {
        check_response_is_read(bytes);
    }
}

// Guards against chunks whose size or end is none of HTTP/1.1's: a server that states a wrong size,
// or breaks off and goes on with something else, sends bytes that are not its body.
BOOST_AUTO_TEST_CASE(responses_with_broken_chunks_are_malformed) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string last = "0\r\n\r\n";
    const std::vector<std::string> broken{
        // The end of the data.
        "2\r\nokXX" + last,
        "2\r\nok\r\r" + last,
        "2\r\nok\nX" + last,
        "2\r\nokX\n" + last,
        "2\r\nok\n" + last,
        "2\r\nok" + last,
        "2\r\nok\r\n\r\n" + last,
        "3\r\nok\r\n" + last,
        // The line with the size.
        "2\rXok\r\n" + last,
        "2\nok\r\n" + last,
        "2 x\r\nok\r\n" + last,
        "2 2\r\nok\r\n" + last,
        " 2\r\nok\r\n" + last,
        "-2\r\nok\r\n" + last,
        "0x2\r\nok\r\n" + last,
        "2;a\x01\r\nok\r\n" + last,
        "2;a\rXok\r\n" + last,
        ";a=b\r\nok\r\n" + last,
        "\r\nok\r\n" + last,
        "10000000000000002\r\nok\r\n" + last,
        // The last chunk.
        "2\r\nok\r\n\r\n",
        "2\r\nok\r\n0\r\n\rX",
        "2\r\nok\r\n0\rX\r\n",
        "2\r\nok\r\n0\rXOwn-Sum: 5\r\n\r\n",
        "2\r\nok\r\n0\r\nOwn-Sum: 5\r\n\rX",
        "2\r\nok\r\n0\n\n",
        "2\r\nok\r\n0\r\n",
    };
    for (const std::string& body : broken) {
        check_response_is_refused(head + body);
    }
    const std::vector<std::string> sound{"2\r\nok\r\n" + last,
                                         "1\r\no\r\n1\r\nk\r\n" + last,
                                         "02\r\nok\r\n00\r\n\r\n",
                                         "000000000000000000002\r\nok\r\n" + last,
                                         "2  \r\nok\r\n" + last,
                                         "2;a=b\r\nok\r\n" + last,
                                         "2 ; a=\"b\"\r\nok\r\n" + last,
                                         "2\r\nok\r\n0\r\nOwn-Sum: 5\r\n\r\n",
                                         "2\r\nok\r\n0\r\nOwn-Sum: 5\n\n"};
    for (const std::string& body : sound) {
        check_response_is_read(head + body);
    }
}

// Guards against a body in a transfer coding that is not read. The answer to HEAD has no body, and
// may name the coding that a body would have.
BOOST_AUTO_TEST_CASE(responses_in_unknown_transfer_codings_are_malformed) {
    const auto read = [](const std::string& coding, bool to_head) {
        wire::response_parser parser;
        parser.expect_no_body(to_head);
        std::size_t used = 0;
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
        return parser.feed(to_head ? head : head + "2\r\nok\r\n0\r\n\r\n", used) ||
               parser.feed_end();
    };
    for (const char* coding :
         {"gzip", "identity", "", "xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip"}) {
        BOOST_TEST(!read(coding, false), coding);
        BOOST_TEST(read(coding, true), coding);
    }
    for (const char* coding : {"chunked", "Chunked", " chunked "}) {
        BOOST_TEST(read(coding, false), coding);
        BOOST_TEST(read(coding, true), coding);
    }
}

// Guards against an answer cut short being taken for a whole one, and against interim answers.
BOOST_AUTO_TEST_CASE(responses_end_as_they_are_framed) {
    wire::response_parser interim;
    std::size_t used = 0;
    const std::string both =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    BOOST_REQUIRE(interim.feed(both, used));
    BOOST_TEST(interim.take().body == "ok");

    wire::response_parser cut;
    BOOST_TEST(!cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", used));
    BOOST_TEST(!cut.feed_end());

    wire::response_parser open;
    BOOST_TEST(!open.feed("HTTP/1.1 200 OK\r\n\r\nabc", used));
    BOOST_REQUIRE(open.feed_end());
    const wire::response read = open.take();
    BOOST_TEST(read.until_close);
    BOOST_TEST(!read.keep_alive);
}

// Guards against taking the part of an answer that a server sent before it reset the connection
// for the whole: without a length, only an orderly end completes the answer. An answer that ended
// in order is whole, even if a reset follows because the upload goes on.
BOOST_AUTO_TEST_CASE(answer_without_length_is_whole_only_after_an_orderly_end) {
    constexpr std::size_t upload = 8U << 20U;
    constexpr gg::milliseconds until_answer{50};
    for (const bool in_order : {false, true}) {
        for (const std::size_t size : {10UL, 30'000UL}) {
            wire::event_loop loop;
            const unread_peer peer;
            wire::client client(loop, {});
            wire::request message = get("/");
            message.method = "POST";
            message.body.assign(upload, 'b');
            const std::string body(size, 'a');
            // This thread sends both, so that the client sees the body and the reset together. The
            // inner timer starts in the loop, and so ends after the client has begun its upload.
            loop.call_after(gg::milliseconds{0}, [&] {
                loop.call_after(until_answer, [&] {
                    peer.send_and_reset("HTTP/1.1 200 OK\r\n\r\n" + body, in_order);
                });
            });
            const auto result = call(loop, client, peer.address(), message);
            if (in_order) {
                BOOST_TEST(!result.error, size << " bytes: " << result.error.message());
                BOOST_TEST((result.message.body == body), size << " bytes");
            } else {
                BOOST_TEST(result.error == make_error_code(wire::wire_errc::reset),
                           size << " bytes: " << result.error.message());
            }
        }
    }
}

// Guards against framing an answer whose end is not known: a crashed server closes like one that
// has finished.
BOOST_AUTO_TEST_CASE(unframed_response_is_passed_on_unframed) {
    wire::response message;
    message.code = 200;
    message.reason = "OK";
    message.body = "abc";
    message.until_close = true;
    BOOST_TEST(wire::serialize(message, false, true) ==
               "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
}

// Guards against answers out of order on a pipelined connection.
BOOST_AUTO_TEST_CASE(pipelined_answers_keep_their_order) {
    wire::event_loop loop;
    std::vector<std::shared_ptr<wire::incoming>> asked;
    wire::server server(loop, [&asked](const std::shared_ptr<wire::incoming>& request) {
        asked.push_back(request);
        if (asked.size() == 2) {
            for (const std::size_t index : {1U, 0U}) {
                wire::response reply;
                reply.code = 200;
                reply.reason = "OK";
                reply.body = asked[index]->message().target;
                asked[index]->answer(std::move(reply));
            }
        }
    });
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const std::string received = exchange(
        loop, {"127.0.0.1", server.port()},
        "GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n", "/two");
    BOOST_TEST(received.find("/one") < received.find("/two"));
}

// Guards against a request that is read and then cut by a server that ends.
BOOST_AUTO_TEST_CASE(closing_server_answers_what_it_has_read) {
    wire::event_loop loop;
    wire::server* ending = nullptr;
    wire::server server(loop, [&](const std::shared_ptr<wire::incoming>& request) {
        ending->start_closing();
        ending->stop_reading();
        loop.call_after(gg::milliseconds{20}, [request] {
            wire::response reply;
            reply.code = 200;
            reply.reason = "OK";
            reply.body = request->message().target;
            request->answer(std::move(reply));
        });
    });
    ending = &server;
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const std::string received =
        exchange(loop, {"127.0.0.1", server.port()},
                 "GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n", "");
    BOOST_TEST(received.find("/one") != std::string::npos);
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
    BOOST_TEST(received.find("/two") == std::string::npos);
}

// Guards against a request that arrives after an idle close being read and discarded.
BOOST_AUTO_TEST_CASE(request_that_crosses_an_idle_close_is_left_unread) {
    wire::event_loop loop;
    wire::server server(loop, [](const std::shared_ptr<wire::incoming>&) {});
    server.set_limits({{}, gg::milliseconds{1'000}, idle_limit});
    std::vector<wire::closed_connection> closed;
    server.on_closed([&closed](const wire::closed_connection& ended) { closed.push_back(ended); });
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const blocking_caller caller(server.port());
    loop.call_after(idle_limit * 2, [&] {
        BOOST_TEST(caller.closed_by_peer());
        caller.write("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
    });
    // The caller learns that its request was not read within `lossSlackS`, 0.2 s.
    bool reset = false;
    loop.call_after(idle_limit * 2 + gg::milliseconds{200}, [&] {
        reset = caller.reset_by_peer();
        loop.stop();
    });
    loop.run();
    BOOST_TEST(reset);
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST((closed[0].reason == wire::close_reason::idle));
    BOOST_TEST(closed[0].discarded == 0U);
}

// Guards against a request that arrived in time being cut because the process was delayed.
BOOST_AUTO_TEST_CASE(request_that_waits_in_the_socket_is_answered_after_the_idle_limit) {
    wire::event_loop loop;
    wire::server server(loop, [](const std::shared_ptr<wire::incoming>& request) {
        wire::response reply;
        reply.code = 200;
        reply.reason = "OK";
        request->answer(std::move(reply));
    });
    server.set_limits({{}, gg::milliseconds{1'000}, idle_limit});
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const blocking_caller caller(server.port());
    loop.call_after(idle_limit / 2, [&caller] {
        caller.write("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
        std::this_thread::sleep_for(idle_limit);
    });
    loop.call_after(idle_limit * 2, [&loop] { loop.stop(); });
    loop.run();
    BOOST_TEST(caller.read().starts_with("HTTP/1.1 200 OK"));
}

// Guards against an open connection being closed at the idle limit of an older configuration.
BOOST_AUTO_TEST_CASE(raised_idle_limit_applies_to_open_connections) {
    wire::event_loop loop;
    wire::server server(loop, [](const std::shared_ptr<wire::incoming>&) {});
    server.set_limits({{}, gg::milliseconds{1'000}, idle_limit});
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const blocking_caller caller(server.port());
    loop.call_after(idle_limit / 2, [&server] {
        server.set_limits({{}, gg::milliseconds{1'000}, idle_limit * 3});
    });
    loop.call_after(idle_limit * 2, [&caller] { BOOST_TEST(!caller.closed_by_peer()); });
    bool closed = false;
    loop.call_after(idle_limit * 4, [&] {
        closed = caller.closed_by_peer();
        loop.stop();
    });
    loop.run();
    BOOST_TEST(closed);
}

// Guards against an open connection refusing what the configuration in force allows.
BOOST_AUTO_TEST_CASE(raised_size_limits_apply_to_open_connections) {
    wire::event_loop loop;
    int requests = 0;
    wire::server* changed = nullptr;
    wire::server server(loop, [&](const std::shared_ptr<wire::incoming>& request) {
        ++requests;
        wire::server_limits limits;
        limits.message.body_bytes = 100;
        changed->set_limits(limits);
        wire::response reply;
        reply.code = 200;
        reply.reason = "OK";
        reply.body = request->message().body.size() > 10 ? "large" : "small";
        request->answer(std::move(reply));
    });
    changed = &server;
    wire::server_limits limits;
    limits.message.body_bytes = 10;
    server.set_limits(limits);
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const std::string received =
        exchange(loop, {"127.0.0.1", server.port()},
                 "GET /one HTTP/1.1\r\nHost: h\r\n\r\nPOST /two HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 20\r\n\r\n01234567890123456789",
                 "large");
    BOOST_TEST(requests == 2);
    BOOST_TEST(received.find("large") != std::string::npos);
}

// Guards against a pipelined request that waits for an interim response that is never sent.
BOOST_AUTO_TEST_CASE(pipelined_request_gets_its_interim_response) {
    wire::event_loop loop;
    wire::server server(loop, [&loop](const std::shared_ptr<wire::incoming>& request) {
        loop.call_after(gg::milliseconds{20}, [request] {
            wire::response reply;
            reply.code = 200;
            reply.reason = "OK";
            request->answer(std::move(reply));
        });
    });
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const std::string received = exchange(loop, {"127.0.0.1", server.port()},
                                          "GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
                                          "POST /two HTTP/1.1\r\nHost: h\r\n"
                                          "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
                                          "100 Continue");
    BOOST_TEST(received.find("200 OK") < received.find("100 Continue"));
    BOOST_TEST(received.find("100 Continue") != std::string::npos);
}

// Guards against an answer being cut at the idle limit while a slow caller still takes it.
BOOST_AUTO_TEST_CASE(answer_that_is_still_being_sent_is_not_cut_at_the_idle_limit) {
    wire::event_loop loop;
    constexpr std::size_t large = 16U << 20U;
    wire::server server(loop, [](const std::shared_ptr<wire::incoming>& request) {
        wire::response reply;
        reply.code = 200;
        reply.reason = "OK";
        reply.body.assign(large, 'x');
        request->answer(std::move(reply));
    });
    server.set_limits({{}, gg::milliseconds{1'000}, idle_limit});
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    const blocking_caller caller(server.port());
    caller.write("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
    std::size_t received = 0;
    std::thread reader([&caller, &received] {
        std::this_thread::sleep_for(idle_limit * 4);
        for (std::string bytes = caller.read(); !bytes.empty(); bytes = caller.read()) {
            received += bytes.size();
        }
    });
    loop.call_after(gg::milliseconds{3'000}, [&loop] { loop.stop(); });
    loop.run();
    reader.join();
    BOOST_TEST(received > large);
}

// Guards against an answer that gets the id of the next one: its last chunk breaks off, and the
// head that follows on the connection is read as its trailer.
BOOST_AUTO_TEST_CASE(trailers_of_a_response_are_not_headers) {
    wire::response_parser parser;
    std::size_t used = 0;
    BOOST_REQUIRE(
        parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                    "Own-Id: present\r\n\r\n",
                    used));
    const wire::response read = parser.take();
    BOOST_TEST(read.body == "ok");
    BOOST_TEST(wire::find_header(read.headers, "Own-Id") == nullptr);
}

// Guards against header lines that a caller adds behind the body of its request, and which would be
// sent on as part of the head: a second host, or a name that only this host may set.
BOOST_AUTO_TEST_CASE(trailers_of_a_request_are_not_headers) {
    const std::string bytes =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\nHost: other\r\nExpected: x\r\n\r\n";
    for (const std::size_t step : {bytes.size(), std::size_t{1}}) {
        wire::request_parser parser;
        wire::request read;
        BOOST_REQUIRE(parse(parser, bytes, step, read));
        BOOST_TEST(read.body == "abc");
        BOOST_TEST(wire::header_values(read.headers, "Host").size() == 1U);
        BOOST_TEST(wire::find_header(read.headers, "Expected") == nullptr);
    }
}

// Guards against memory that grows without bound while a faulty server sends bytes without end.
BOOST_AUTO_TEST_CASE(answers_without_end_are_given_up) {
    const std::string line = "X-Endless: " + std::string(1'000, 'x') + "\r\n";
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> endless{
        {"HTTP/1.1 200 OK\r\n", line},
        {"HTTP/1.1 200 OK\r\n\r\n", line},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", line},
        {"", interim},
        {"", other},
    };
    for (const auto& [begin, repeated] : endless) {
        wire::event_loop loop;
        std::size_t sent = 0;
        std::vector<std::shared_ptr<wire::stream>> opened;
        std::string block;
        while (block.size() < 65'536) {
            block += repeated;
        }
        wire::listener listening(loop, [&, first = begin](std::shared_ptr<wire::stream> accepted) {
            wire::stream_handlers handlers;
            const auto write = [&sent, &block, stream = accepted.get()] {
                sent += block.size();
                stream->write(block);
            };
            handlers.data = [write, first, stream = accepted.get()](std::string_view) {
                stream->write(first);
                write();
            };
            handlers.drained = write;
            accepted->set_handlers(std::move(handlers));
            opened.push_back(std::move(accepted));
        });
        BOOST_REQUIRE(!listening.open({"127.0.0.1", 0}));
        wire::client client(
            loop, {}, {32U << 10U, 1U << 20U, std::make_shared<wire::receive_budget>(4U << 20U)});
        wire::call_options options;
        options.timeout = gg::milliseconds{3'000};
        options.accept = [](const wire::response& message) {
            return wire::find_header(message.headers, "Id") == nullptr;
        };
        const auto result = call(loop, client, {"127.0.0.1", listening.port()}, get("/"), options);
        BOOST_TEST(result.error == make_error_code(wire::wire_errc::response_too_large));
        BOOST_TEST(result.sent);
        // What the sockets hold comes on top of the limit.
        BOOST_TEST(sent < 16U << 20U);
    }
}

// Guards against a process that runs out of memory, and against calls to sound servers that fail,
// while a faulty peer sends bytes without end: in each part of an answer, to requests, orders,
// calls of the store and reports to other hosts, each of which has a client of its own.
BOOST_AUTO_TEST_CASE(memory_is_bounded_while_a_server_sends_bytes_without_end) {
    constexpr int calls = 64;
    [[maybe_unused]] constexpr std::size_t max_growth = 64U << 20U;
    const std::string line = "X-Endless: " + std::string(1'000, 'x') + "\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> endless{
        {head, line},
        {head, "a:\r\n"},
        {"HTTP/1.1 200 ", "x"},
        {head + "X: ", "x"},
        {head, "x"},
        {head + "\r\n", line},
        {chunked, "4\r\nabcd\r\n"},
        {chunked, "400\r\n" + std::string(1'024, 'x') + "\r\n"},
        {chunked + "0\r\n", line},
        {chunked + "0\r\n", "a:\r\n"},
        {head + "Content-Length: 99999999999\r\n\r\n", line},
        {head + "Content-Length: 9000000\r\n\r\n", line},
        {"", "HTTP/1.1 102 Processing\r\nX-Some: value\r\n\r\n"},
        {"", "no answer"},
    };
    for (const auto& [begin, repeated] : endless) {
        wire::event_loop loop;
        std::string block;
        while (block.size() < 65'536) {
            block += repeated;
        }
        std::vector<std::shared_ptr<wire::stream>> opened;
        wire::listener faulty(loop, [&, first = begin](std::shared_ptr<wire::stream> accepted) {
            wire::stream_handlers handlers;
            const auto write = [&block, stream = accepted.get()] { stream->write(block); };
            handlers.data = [write, first, stream = accepted.get()](std::string_view) {
                stream->write(first);
                write();
            };
            handlers.drained = write;
            accepted->set_handlers(std::move(handlers));
            opened.push_back(std::move(accepted));
        });
        BOOST_REQUIRE(!faulty.open({"127.0.0.1", 0}));
        wire::server sound(loop, [](const std::shared_ptr<wire::incoming>& request) {
            wire::response reply;
            reply.code = 200;
            reply.body.assign(10'000, 'x');
            request->answer(std::move(reply));
        });
        BOOST_REQUIRE(!sound.open({"127.0.0.1", 0}));
        wire::response_limits limits;
        wire::client requests(loop, {}, limits);
        wire::client orders(loop, {}, limits, wire::close_mode::abortive);
        wire::client store_calls(loop, {}, limits);
        wire::client reports(loop, {}, limits);
        const std::vector<std::pair<wire::client*, int>> calls_by_client{
            {&requests, calls}, {&orders, calls}, {&store_calls, calls / 4}, {&reports, calls / 4}};
        constexpr int all_calls = 2 * calls + 2 * (calls / 4);
        reset_peak_memory();
        const std::size_t before = peak_memory();
        int failed = 0;
        int served = 0;
        std::size_t most_kept = 0;
        wire::call_options options;
        options.timeout = gg::milliseconds{20'000};
        const auto count_call = [&] {
            if (failed + served == 2 * all_calls) {
                loop.stop();
            }
        };
        for (const auto& entry : calls_by_client) {
            wire::client* const client = entry.first;
            for (int count = 0; count < entry.second; ++count) {
                client->send({"127.0.0.1", faulty.port()}, get("/"), options,
                             [&](const wire::call_result& outcome) {
                                 BOOST_TEST(outcome.error);
                                 ++failed;
                                 count_call();
                             });
                loop.call_after(gg::milliseconds{count}, [&, client] {
                    client->send({"127.0.0.1", sound.port()}, get("/"), options,
                                 [&](const wire::call_result& outcome) {
                                     BOOST_TEST(!outcome.error);
                                     ++served;
                                     count_call();
                                 });
                    most_kept = std::max(most_kept, limits.budget->used());
                });
            }
        }
        loop.call_after(gg::milliseconds{30'000}, [&loop] { loop.stop(); });
        loop.run();
        BOOST_TEST(failed == all_calls);
        BOOST_TEST(served == all_calls);
        BOOST_TEST(limits.budget->used() == 0U);
        BOOST_TEST(most_kept <= wire::receive_budget::default_bytes);
        const std::size_t growth = peak_memory() - before;
        BOOST_TEST_MESSAGE("peak memory grew by " << (growth >> 20U)
                                                  << " MiB: " << begin.substr(0, 60) << " / "
                                                  << repeated.substr(0, 20));
#if !defined(__SANITIZE_ADDRESS__)
        // The address sanitizer keeps freed memory.
        BOOST_TEST(growth < max_growth);
#endif
    }
}

// Guards against one faulty server that takes the memory of all others, and against memory that is
// not given back.
BOOST_AUTO_TEST_CASE(one_peer_gets_no_more_than_a_part_of_the_budget) {
    wire::receive_budget budget(1'000);
    const wire::endpoint faulty{"127.0.0.1", 1};
    const wire::endpoint sound{"127.0.0.1", 2};
    BOOST_CHECK(budget.resize(faulty, 0, 300) == wire::budget_result::granted);
    BOOST_CHECK(budget.resize(faulty, 0, 300) == wire::budget_result::granted);
    BOOST_CHECK(budget.resize(faulty, 300, 301) == wire::budget_result::peer_exceeded);
    BOOST_TEST(budget.used() == 600U);
    BOOST_CHECK(budget.resize(sound, 0, 400) == wire::budget_result::granted);
    BOOST_CHECK(budget.resize(sound, 400, 401) == wire::budget_result::total_exceeded);
    BOOST_CHECK(budget.resize(faulty, 300, 0) == wire::budget_result::granted);
    BOOST_CHECK(budget.resize(sound, 400, 600) == wire::budget_result::granted);
    BOOST_CHECK(budget.resize(faulty, 300, 0) == wire::budget_result::granted);
    BOOST_CHECK(budget.resize(sound, 600, 0) == wire::budget_result::granted);
    BOOST_TEST(budget.used() == 0U);
}

// Guards against a process that ends while a slow caller has yet to take the end of its answer.
BOOST_AUTO_TEST_CASE(server_is_not_idle_until_its_last_answer_has_left) {
    wire::event_loop loop;
    constexpr std::size_t large = 16U << 20U;
    wire::server server(loop, [&loop](const std::shared_ptr<wire::incoming>& request) {
        wire::response reply;
        reply.code = 200;
        reply.reason = "OK";
        reply.body.assign(large, 'x');
        request->answer(std::move(reply));
        loop.stop();
    });
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    server.start_closing();
    const blocking_caller caller(server.port());
    caller.write("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.run();
    BOOST_TEST(!server.close_idle());
    std::size_t received = 0;
    std::thread reader([&caller, &received] {
        for (std::string bytes = caller.read(); !bytes.empty(); bytes = caller.read()) {
            received += bytes.size();
        }
    });
    loop.call_after(test_limit, [&loop] { loop.stop(); });
    const std::function<void()> wait = [&] {
        if (server.close_idle()) {
            loop.stop();
            return;
        }
        loop.call_after(gg::milliseconds{10}, wait);
    };
    wait();
    loop.run();
    reader.join();
    BOOST_TEST(server.close_idle());
    BOOST_TEST(received > large);
}

// Guards against a caller that leaves without its request being given up.
BOOST_AUTO_TEST_CASE(leaving_caller_is_reported) {
    wire::event_loop loop;
    bool left = false;
    std::shared_ptr<wire::stream> caller;
    wire::server server(loop, [&](const std::shared_ptr<wire::incoming>& request) {
        request->on_left([&] {
            left = true;
            loop.stop();
        });
        caller->close();
    });
    BOOST_REQUIRE(!server.open({"127.0.0.1", 0}));
    caller = wire::stream::connect(loop, {"127.0.0.1", server.port()}, {});
    caller->write("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto limit = loop.call_after(test_limit, [&loop] { loop.stop(); });
    loop.run();
    loop.cancel(limit);
    BOOST_TEST(left);
}

// Guards against a late answer to an earlier request being taken for the answer to this one.
BOOST_AUTO_TEST_CASE(answer_of_another_request_is_skipped) {
    wire::event_loop loop;
    scripted_peer peer(loop,
                       {"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
                        "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew"},
                       false);
    wire::client client(loop, {});
    wire::call_options options;
    options.accept = [](const wire::response& message) {
        const std::string* id = wire::find_header(message.headers, "Id");
        return id != nullptr && *id == "new";
    };
    const auto result = call(loop, client, peer.address(), get("/"), options);
    BOOST_TEST(!result.error);
    BOOST_TEST(result.message.body == "new");
}

// Guards against bytes after a complete answer reaching the next request.
BOOST_AUTO_TEST_CASE(connection_with_extra_bytes_is_not_used_again) {
    wire::event_loop loop;
    scripted_peer peer(loop,
                       {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"},
                       false);
    wire::client client(loop, {});
    BOOST_TEST(call(loop, client, peer.address(), get("/1")).message.body == "a");
    const auto second = call(loop, client, peer.address(), get("/2"));
    BOOST_TEST(second.message.body == "b");
    BOOST_TEST(!second.reused);
    BOOST_TEST(client.opened() == 2U);
}

// Guards against a call that uses a connection from which it is excluded, and against a connection
// that is lost to other calls by that.
BOOST_AUTO_TEST_CASE(excluded_connection_stays_available_to_other_calls) {
    wire::event_loop loop;
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    scripted_peer peer(loop, {reply, reply, reply, reply}, false);
    wire::client client(loop, {});
    const auto first = call(loop, client, peer.address(), get("/1"));
    BOOST_REQUIRE(first.connection.has_value());
    wire::call_options options;
    options.excluded = {*first.connection};
    const auto second = call(loop, client, peer.address(), get("/2"), options);
    BOOST_TEST(!second.reused);
    BOOST_CHECK(second.connection != first.connection);
    options.excluded = {*second.connection};
    const auto third = call(loop, client, peer.address(), get("/3"), options);
    BOOST_TEST(third.reused);
    BOOST_CHECK(third.connection == first.connection);
    BOOST_TEST(client.opened() == 2U);
}

// Guards against calls that time out one after the other: all kept connections to a peer went
// silent together, and each call that follows a failed one is sent on another of them.
BOOST_AUTO_TEST_CASE(silent_connections_cost_one_call) {
    wire::event_loop loop;
    wire::client client(loop, {});
    std::vector<std::shared_ptr<wire::stream>> accepted;
    std::set<const wire::stream*> silenced;
    wire::listener peer(loop, [&](const std::shared_ptr<wire::stream>& opened) {
        accepted.push_back(opened);
        wire::stream_handlers handlers;
        handlers.data = [&, own = opened.get()](std::string_view) {
            if (!silenced.contains(own)) {
                loop.call_after(gg::milliseconds{5}, [own] {
                    own->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                });
            }
        };
        opened->set_handlers(std::move(handlers));
    });
    BOOST_REQUIRE(!peer.open({"127.0.0.1", 0}));
    const wire::endpoint address{"127.0.0.1", peer.port()};
    constexpr int connections = 4;
    int answered = 0;
    for (int count = 0; count < connections; ++count) {
        client.send(address, get("/"), {}, [&](const wire::call_result& outcome) {
            BOOST_TEST(!outcome.error);
            if (++answered == connections) {
                loop.stop();
            }
        });
    }
    loop.run();
    BOOST_REQUIRE(client.opened() == connections);
    for (const auto& one : accepted) {
        silenced.insert(one.get());
    }
    wire::call_options options;
    options.timeout = gg::milliseconds{100};
    BOOST_TEST((call(loop, client, address, get("/"), options).error ==
                wire::make_error_code(wire::wire_errc::timeout)));
    const wire::call_result next = call(loop, client, address, get("/"), options);
    BOOST_TEST(!next.error);
    BOOST_TEST(!next.reused);
}

// Guards against odd bytes of a caller or a server that end the process or stop a parser.
BOOST_AUTO_TEST_CASE(mutated_messages_are_read_or_refused) {
    const std::string asked =
        "POST /a%2Fb?q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\n";
    const std::string answered =
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 4\r\n\r\nabcd";
    constexpr int mutations = 10'000;
    std::mt19937_64 random(20'261'209);
    int read = 0;
    for (int count = 0; count < mutations; ++count) {
        const std::size_t step = 1 + random() % 64;
        wire::request_parser requests;
        wire::request request;
        const std::string odd_request = gg::testing::mutated(asked, random);
        if (parse(requests, odd_request, step, request)) {
            ++read;
            // What was read can be sent on, and reads the same.
            wire::remove_connection_headers(request.headers);
            wire::request_parser again;
            wire::request same;
            BOOST_REQUIRE_MESSAGE(parse(again, serialize(request), step, same), odd_request);
            BOOST_TEST(same.target == request.target);
            BOOST_TEST(same.body == request.body);
        }
        wire::response_parser responses;
        std::string odd_response = gg::testing::mutated(answered, random);
        std::string_view rest = odd_response;
        while (!rest.empty() && !responses.error()) {
            std::size_t used = 0;
            if (responses.feed(rest.substr(0, step), used)) {
                ++read;
                BOOST_TEST(serialize(responses.take(), false, false).size() > 0U);
            }
            rest.remove_prefix(std::min(used, rest.size()));
        }
        static_cast<void>(responses.feed_end());
    }
    BOOST_TEST(read > mutations / 10);
}

// Guards against a failed call being reported as sent, or a sent one as not sent.
BOOST_AUTO_TEST_CASE(failures_tell_whether_the_request_left) {
    wire::event_loop loop;
    wire::endpoint unused;
    {
        scripted_peer gone(loop, {}, false);
        unused = gone.address();
    }
    wire::client client(loop, {});
    const auto refused = call(loop, client, unused, get("/"));
    BOOST_TEST(refused.error == make_error_code(wire::wire_errc::refused));
    BOOST_TEST(!refused.sent);

    scripted_peer silent(loop, {}, false);
    wire::call_options options;
    options.timeout = gg::milliseconds{50};
    const auto unanswered = call(loop, client, silent.address(), get("/"), options);
    BOOST_TEST(unanswered.error == make_error_code(wire::wire_errc::timeout));
    BOOST_TEST(unanswered.sent);

    scripted_peer cutting(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"}, true);
    const auto cut = call(loop, client, cutting.address(), get("/"));
    BOOST_TEST(cut.error == make_error_code(wire::wire_errc::truncated));
}

// Guards against a request that reaches the peer after its call was given up: the system goes on
// sending the bytes of a connection that was closed in the ordinary way, and delivers them seconds
// later when the path to the peer works again.
BOOST_AUTO_TEST_CASE(given_up_call_leaves_no_bytes_behind) {
    constexpr std::size_t body_size = 65'536;
    const auto message = [] {
        wire::request sent = get("/");
        sent.method = "POST";
        sent.body = std::string(body_size, 'b');
        return sent;
    };
    wire::event_loop loop;
    wire::client client(loop, {});
    wire::call_options options;
    options.timeout = gg::milliseconds{100};
    unread_peer late;
    const auto outcome = call(loop, client, late.address(), message(), options);
    BOOST_TEST(outcome.error == make_error_code(wire::wire_errc::timeout));
    BOOST_TEST(late.read_all() < body_size);

    // The same for a call that is cancelled, and for calls that are open when the client ends.
    unread_peer cancelled;
    const auto id = client.send(cancelled.address(), message(), {}, {});
    loop.call_after(gg::milliseconds{100}, [&] { client.cancel(id); });
    unread_peer ended;
    auto other = std::make_unique<wire::client>(loop, wire::idle_limits{});
    other->send(ended.address(), message(), {}, {});
    loop.call_after(gg::milliseconds{100}, [&] { other.reset(); });
    loop.call_after(gg::milliseconds{200}, [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(cancelled.read_all() < body_size);
    BOOST_TEST(ended.read_all() < body_size);
}

// Guards against a grant that arrives after the process that sent it was killed: its system goes on
// sending what the process has written.
BOOST_AUTO_TEST_CASE(killed_process_leaves_no_bytes_of_abortive_connections_behind) {
    constexpr std::size_t body_size = 65'536;
    const auto bytes_after_kill = [](wire::close_mode mode) {
        unread_peer peer;
        const pid_t child = ::fork();
        if (child == 0) {
            wire::event_loop loop;
            wire::client client(loop, {}, {}, mode);
            wire::request message = get("/");
            message.body = std::string(body_size, 'b');
            client.send(peer.address(), message, {}, {});
            loop.call_after(gg::milliseconds{100}, [] { ::kill(::getpid(), SIGKILL); });
            loop.run();
        }
        int state = 0;
        BOOST_REQUIRE(::waitpid(child, &state, 0) == child);
        return peer.read_all();
    };
    BOOST_TEST(bytes_after_kill(wire::close_mode::abortive) < body_size);
    BOOST_TEST(bytes_after_kill(wire::close_mode::orderly) > body_size);
}

// Guards against an answer that is cut by the kill of this process and looks complete: without a
// length, its receiver takes the orderly end of the connection for its own. Also guards against a
// reset of the connection of an answer that has left whole.
BOOST_AUTO_TEST_CASE(answer_without_length_cut_by_a_kill_ends_with_a_reset) {
    constexpr std::size_t body_size = 8U << 20U;
    for (const bool killed : {true, false}) {
        std::array<int, 2> ports{};
        BOOST_REQUIRE(::pipe(ports.data()) == 0);
        const pid_t child = ::fork();
        if (child == 0) {
            wire::event_loop loop;
            wire::server server(loop, [&](const std::shared_ptr<wire::incoming>& request) {
                wire::response reply;
                reply.code = 200;
                reply.reason = "OK";
                reply.until_close = true;
                reply.body.assign(body_size, 'x');
                request->answer(std::move(reply));
                if (killed) {
                    loop.call_after(gg::milliseconds{100}, [] { ::kill(::getpid(), SIGKILL); });
                }
            });
            if (server.open({"127.0.0.1", 0})) {
                ::_exit(1);
            }
            const std::uint16_t port = server.port();
            if (::write(ports[1], &port, sizeof port) != sizeof port) {
                ::_exit(1);
            }
            loop.call_after(test_limit, [&loop] { loop.stop(); });
            loop.run();
            ::_exit(0);
        }
        std::uint16_t port = 0;
        BOOST_REQUIRE(::read(ports[0], &port, sizeof port) == sizeof port);
        const blocking_caller caller(port);
        caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        if (killed) {
            BOOST_REQUIRE(::waitpid(child, nullptr, 0) == child);
        }
        const auto [received, orderly] = caller.read_to_end();
        BOOST_TEST(orderly == !killed);
        BOOST_TEST((received < body_size) == killed);
        if (!killed) {
            ::kill(child, SIGKILL);
            BOOST_REQUIRE(::waitpid(child, nullptr, 0) == child);
        }
        ::close(ports[0]);
        ::close(ports[1]);
    }
}

BOOST_AUTO_TEST_CASE(endpoints_are_checked) {
    BOOST_TEST(wire::parse_endpoint("10.1.0.10:8161").has_value());
    for (const char* text : {"", "10.1.0.10", "10.1.0.10:", "10.1.0:1", "h:1", "10.1.0.10:99999"}) {
        BOOST_TEST(!wire::parse_endpoint(text).has_value(), text);
    }
}
