#define BOOST_TEST_MODULE http
#include "http/client.h"
#include "http/errors.h"
#include "http/server.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace gg = greengagechute;
namespace http = greengagechute::http;
using gg::milliseconds;

namespace {

struct answer {
    int status = 0;
    http::header_list headers;
    std::string body;
    bool complete = false;
    std::error_code cause;
    http::sent_state sent = http::sent_state::never_sent;
};

/// One loop with a client; servers are added by the tests.
struct fixture {
    http::event_loop loop;
    http::server* observed = nullptr;
    std::unique_ptr<http::client> client = http::client::create(this->loop, {});

    std::unique_ptr<http::server> serve(http::server::handler handler,
                                        const http::server_limits& limits = {}) {
        auto created =
            http::server::create(this->loop, {"127.0.0.1", 0}, limits, std::move(handler));
        BOOST_REQUIRE(created.has_value());
        return std::move(created).value();
    }

    http::exchange_handlers record(answer& into, const std::function<void()>& done) {
        http::exchange_handlers handlers;
        handlers.on_head = [&into](int status, const http::header_list& headers) {
            into.status = status;
            into.headers = headers;
        };
        handlers.on_body = [&into](std::string_view part) { into.body.append(part); };
        handlers.on_complete = [&into, done] {
            into.complete = true;
            done();
        };
        handlers.on_failed = [&into, done](std::error_code cause, http::sent_state sent) {
            into.cause = cause;
            into.sent = sent;
            done();
        };
        return handlers;
    }

    /// Sends one request and serves the loop until it has ended.
    answer exchange(std::uint16_t port, const http::request& message,
                    milliseconds timeout = milliseconds(3000)) {
        answer received;
        this->client->send({"127.0.0.1", port}, message, timeout,
                           this->record(received, [this] { this->loop.stop(); }));
        this->loop.run();
        return received;
    }

    /// Serves the loop until the condition holds, at most 3 s. Returns whether it holds.
    bool run_until(const std::function<bool()>& condition) {
        for (int i = 0; i < 600 && !condition(); ++i) {
            this->run_for(milliseconds(5));
        }
        return condition();
    }

    void run_for(milliseconds time) {
        this->loop.call_after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

http::request get(const std::string& path) {
    return {"GET", path, "", {}, ""};
}

http::request post(const std::string& path, const std::string& body) {
    return {"POST", path, "", {}, body};
}

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void set_receive_timeout(int socket) {
    timeval limit{};
    limit.tv_sec = 5;
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void send_text(int socket, const std::string& text) {
    const auto sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    static_cast<void>(sent);
}

/// Reads until `end` appears or the peer closes.
std::string read_until(int socket, const std::string& end) {
    std::string text;
    char byte = 0;
    while (text.find(end) == std::string::npos && recv(socket, &byte, 1, 0) == 1) {
        text += byte;
    }
    return text;
}

/// A peer that answers each accepted connection as a test says, byte by byte.
class raw_peer {
public:
    using script = std::function<void(int socket, int connection)>;

    explicit raw_peer(const script& on_connection) : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(
            bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        listen(this->listener, 16);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->worker = std::thread([this, on_connection] {
            for (;;) {
                const int socket = accept(this->listener, nullptr, nullptr);
                if (socket < 0) {
                    return;
                }
                set_receive_timeout(socket);
                on_connection(socket, ++this->connections);
                close(socket);
            }
        });
    }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;
    ~raw_peer() {
        shutdown(this->listener, SHUT_RDWR);
        this->worker.join();
        close(this->listener);
    }

    std::uint16_t port = 0;
    std::atomic<int> connections = 0;

private:
    int listener;
    std::thread worker;
};

int connect_raw(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    BOOST_REQUIRE(connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
                  0);
    set_receive_timeout(socket);
    return socket;
}

/// Runs `work` on a thread while the loop serves.
void serve_while(fixture& f, const std::function<void()>& work) {
    std::thread worker([&] {
        work();
        f.loop.stop();
    });
    f.loop.run();
    worker.join();
}

/// Sends raw bytes to a server and returns all that it answers until it closes.
std::string raw_exchange(fixture& f, std::uint16_t port, const std::string& text) {
    std::string received;
    serve_while(f, [&] {
        const int socket = connect_raw(port);
        send_text(socket, text);
        received = read_until(socket, "never in a response");
        close(socket);
    });
    return received;
}

std::string repeat(const std::string& text, std::size_t count) {
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

/// Checks that the response of a server that closes behind it is a failure, and not for a timeout.
void check_is_refused(const std::string& response) {
    fixture f;
    raw_peer peer([&](int socket, int) {
        read_until(socket, "\r\n\r\n");
        send_text(socket, response);
    });
    const answer received = f.exchange(peer.port, get("/"));
    const std::string beginning = response.substr(0, 100);
    BOOST_TEST(!received.complete, beginning);
    BOOST_TEST(bool(received.cause), beginning);
    BOOST_TEST(received.cause != http::http_errc::timeout, beginning);
    BOOST_TEST((received.sent == http::sent_state::may_have_been_sent), beginning);
}

}  // namespace

// Guards against lost headers, bodies or methods on the way to the handler and back.
BOOST_AUTO_TEST_CASE(round_trip_keeps_request_and_response) {
    fixture f;
    http::request seen;
    auto server = f.serve([&](const http::request& message, const auto& writer) {
        seen = message;
        http::respond(*writer, 201, {{"X-Outcome", "answered"}, {"Content-Type", "text/plain"}},
                      "hello " + message.body);
    });
    const answer received = f.exchange(server->port(), {"POST",
                                                        "/v1/ledger/a%20b",
                                                        "x=1&y=a%26b",
                                                        {{"X-Key", "k 1"}, {"X-Request-Id", "7"}},
                                                        "you"});
    BOOST_TEST(received.complete);
    BOOST_TEST(!received.cause);
    BOOST_TEST(received.status == 201);
    BOOST_TEST(received.body == "hello you");
    BOOST_TEST(http::find_header(received.headers, "x-outcome") == "answered");
    BOOST_TEST(http::find_header(received.headers, "content-type") == "text/plain");
    BOOST_TEST(seen.method == "POST");
    BOOST_TEST(seen.path == "/v1/ledger/a%20b");
    BOOST_TEST(seen.query == "x=1&y=a%26b");
    BOOST_TEST(http::find_header(seen.headers, "X-Key") == "k 1");
    BOOST_TEST(http::find_header(seen.headers, "x-request-id") == "7");
}

// Guards against a request with an empty body whose connection is closed instead of answered.
BOOST_AUTO_TEST_CASE(empty_body_is_a_request) {
    fixture f;
    auto server = f.serve([&](const http::request& message, const auto& writer) {
        f.loop.call_after(milliseconds(10), [writer, method = message.method] {
            http::respond(*writer, 200, {}, method);
        });
    });
    for (int i = 0; i < 3; ++i) {
        for (const std::string method : {"POST", "PUT", "PATCH", "DELETE"}) {
            http::request message = get("/");
            message.method = method;
            const answer received = f.exchange(server->port(), message);
            BOOST_TEST(received.complete, method);
            BOOST_TEST(received.body == method, method);
        }
    }
}

// Guards against a header name that the parser confuses with another, on either side.
BOOST_AUTO_TEST_CASE(all_default_headers_are_readable_on_both_sides) {
    fixture f;
    http::header_list sent{{"Content-Type", "a/b"}, {"Accept", "*/*"},        {"Cookie", "a=b"},
                           {"User-Agent", "test"},  {"Authorization", "B c"}, {"Referer", "r"}};
    for (const std::string& name : http::default_custom_headers()) {
        sent.push_back({name, "value of " + name});
    }
    http::header_list seen;
    auto server = f.serve([&](const http::request& message, const auto& writer) {
        seen = message.headers;
        http::respond(*writer, 200, message.headers, "");
    });
    http::request message = get("/");
    message.headers = sent;
    const answer received = f.exchange(server->port(), message);
    BOOST_TEST(received.complete);
    for (const http::header& field : sent) {
        BOOST_TEST(http::find_header(seen, field.name) == field.value, field.name);
        BOOST_TEST(http::find_header(received.headers, field.name) == field.value, field.name);
    }
}

// Guards against a connection that is closed without a response when the body has an explicit
// length of 0, as in a POST whose parameters are in the path.
BOOST_FIXTURE_TEST_CASE(request_with_an_explicitly_empty_body_is_answered, fixture) {
    const auto server = this->serve([](const http::request& message, const auto& writer) {
        http::respond(*writer, 200, {}, message.method);
    });
    for (int repeat = 0; repeat < 2; ++repeat) {
        const answer received = this->exchange(server->port(), post("/empty", ""));
        BOOST_TEST(received.complete);
        BOOST_TEST(received.body == "POST");
    }
}

// Guards against a truncated or reordered stream, and against buffering a whole large body.
BOOST_AUTO_TEST_CASE(large_body_is_streamed_with_back_pressure) {
    constexpr std::size_t part_bytes = 256UL * 1024;
    constexpr std::size_t parts = 80;
    for (const bool with_length : {true, false}) {
        fixture f;
        std::size_t written = 0;
        std::size_t most_pending = 0;
        auto server = f.serve([&](const http::request&, const auto& writer) {
            const auto write_next = [&, writer] {
                if (written == parts) {
                    writer->finish();
                    return;
                }
                writer->write(std::string(part_bytes, static_cast<char>('a' + written % 26)));
                ++written;
                most_pending = std::max(most_pending, writer->pending());
            };
            writer->on_drained(write_next);
            writer->start(200, {}, with_length ? std::optional(parts * part_bytes) : std::nullopt);
            write_next();
        });
        const answer received = f.exchange(server->port(), get("/"));
        BOOST_TEST(received.complete);
        BOOST_TEST(!received.cause);
        BOOST_TEST_REQUIRE(received.body.size() == parts * part_bytes);
        bool in_order = true;
        for (std::size_t i = 0; i < parts; ++i) {
            in_order = in_order && received.body[i * part_bytes] == static_cast<char>('a' + i % 26);
        }
        BOOST_TEST(in_order);
        BOOST_TEST(most_pending <= 2 * part_bytes);
    }
}

// Guards against an exchange that reads on while its consumer is stopped, and one that never
// continues.
BOOST_AUTO_TEST_CASE(paused_exchange_slows_the_server) {
    constexpr std::size_t total = 32UL * 1024 * 1024;
    fixture f;
    std::shared_ptr<http::response_writer> kept;
    auto server = f.serve([&](const http::request&, const auto& writer) {
        kept = writer;
        writer->start(200, {}, total);
        writer->write(std::string(total, 'x'));
        writer->finish();
    });
    answer received;
    http::exchange_handlers handlers = f.record(received, [&] { f.loop.stop(); });
    http::client::exchange_id id = 0;
    std::size_t size = 0;
    bool paused = false;
    handlers.on_body = [&](std::string_view part) {
        size += part.size();
        if (!paused) {
            paused = true;
            f.client->pause(id);
        }
    };
    id = f.client->send({"127.0.0.1", server->port()}, get("/"), milliseconds(10'000), handlers);
    BOOST_TEST(f.run_until([&] { return paused; }));
    f.run_for(milliseconds(300));
    const std::size_t size_when_paused = size;
    BOOST_TEST(size_when_paused < total / 2);
    f.run_for(milliseconds(100));
    BOOST_TEST(size == size_when_paused);
    f.client->resume(id);
    f.loop.run();
    BOOST_TEST(received.complete);
    BOOST_TEST(size == total);
}

// Guards against a connection that stays stopped for the exchanges behind one that was paused when
// it ended.
BOOST_AUTO_TEST_CASE(exchange_paused_at_its_end_does_not_stop_the_next) {
    fixture f;
    auto server = f.serve(
        [](const http::request&, const auto& writer) { http::respond(*writer, 200, {}, "ok"); });
    for (int i = 0; i < 3; ++i) {
        answer received;
        http::exchange_handlers handlers = f.record(received, [&] { f.loop.stop(); });
        http::client::exchange_id id = 0;
        handlers.on_body = [&](std::string_view) { f.client->pause(id); };
        id = f.client->send({"127.0.0.1", server->port()}, get("/"), milliseconds(1000), handlers);
        f.run_for(milliseconds(20));
        f.client->resume(id);
        BOOST_TEST(f.run_until([&] { return received.complete; }));
        BOOST_TEST(!received.cause);
    }
}

// Guards against a slow reader that holds up others or makes the queue of its response disappear.
BOOST_AUTO_TEST_CASE(slow_reader_does_not_delay_others) {
    constexpr std::size_t total = 16UL * 1024 * 1024;
    fixture f;
    std::shared_ptr<http::response_writer> slow;
    auto server = f.serve([&](const http::request& message, const auto& writer) {
        if (message.path == "/slow") {
            slow = writer;
            writer->start(200, {}, total);
            writer->write(std::string(total, 'x'));
            return;
        }
        http::respond(*writer, 200, {}, "fast");
    });
    const int socket = connect_raw(server->port());
    send_text(socket, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(f.run_until([&] { return slow != nullptr; }));
    BOOST_TEST(slow->pending() > 0U);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(f.exchange(server->port(), get("/fast")).body == "fast");
    }
    BOOST_TEST(slow->pending() > 0U);
    bool closed = false;
    slow->on_closed([&] { closed = true; });
    close(socket);
    BOOST_TEST(f.run_until([&] { return closed; }));
    BOOST_TEST(server->active_requests() == 0U);
}

// Guards against taking an answer that broke off for a whole one.
BOOST_AUTO_TEST_CASE(aborted_response_is_incomplete) {
    for (const bool with_length : {true, false}) {
        fixture f;
        auto server = f.serve([&](const http::request&, const auto& writer) {
            writer->start(200, {}, with_length ? std::optional<std::size_t>(100) : std::nullopt);
            writer->write("part");
            f.loop.call_after(milliseconds(20), [writer] { writer->abort(); });
        });
        const answer received = f.exchange(server->port(), get("/"));
        BOOST_TEST(!received.complete);
        BOOST_TEST(received.body == "part");
        BOOST_TEST(received.cause == http::http_errc::incomplete_response);
        BOOST_TEST((received.sent == http::sent_state::may_have_been_sent));
        BOOST_TEST(server->active_requests() == 0U);
    }
}

// Guards against a response without its last bytes or its end marker, in each place where a
// connection can end.
BOOST_AUTO_TEST_CASE(response_without_its_end_is_incomplete) {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> broken{
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123456789",
        "HTTP/1.1 200 OK\r\n\r\nno length",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length",
        chunked,
        chunked + "5",
        chunked + "5\r\n123",
        chunked + "5\r\n12345",
        chunked + "5\r\n12345\r\n",
        chunked + "5\r\n12345\r\n0",
        chunked + "5\r\n12345\r\n0\r\n",
    };
    for (const std::string& text : broken) {
        fixture f;
        raw_peer peer([&](int socket, int) {
            read_until(socket, "\r\n\r\n");
            send_text(socket, text);
        });
        const answer received = f.exchange(peer.port, get("/"));
        BOOST_TEST(!received.complete, text + " " + received.cause.message());
        BOOST_TEST(received.cause == http::http_errc::incomplete_response, text);
        BOOST_TEST((received.sent == http::sent_state::may_have_been_sent), text);
    }
}

// Guards against the part of a response that a server sent before it reset the connection, while
// the upload was still being written, being taken for the whole.
BOOST_AUTO_TEST_CASE(response_cut_by_a_reset_is_incomplete) {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> heads{head + "\r\n", head + "Connection: close\r\n\r\n",
                                         head + "Content-Length: 50000\r\n\r\n",
                                         head + "Transfer-Encoding: chunked\r\n\r\n9C40\r\n"};
    const std::string upload(8U << 20U, 'b');
    for (const std::string& begun : heads) {
        for (const std::size_t size : {10UL, 30'000UL}) {
            fixture f;
            raw_peer peer([&](int socket, int) {
                read_until(socket, "\r\n\r\n");
                send_text(socket, begun + std::string(size, 'a'));
                const linger reset{1, 0};
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            });
            const answer received = f.exchange(peer.port, post("/", upload));
            BOOST_TEST(!received.complete, begun << size << " bytes");
            BOOST_TEST(bool(received.cause), begun << size << " bytes");
            BOOST_TEST(received.cause != http::http_errc::timeout, begun << size << " bytes");
            BOOST_TEST((received.sent == http::sent_state::may_have_been_sent));
        }
    }
}

// Guards against losing a response that a server sends whole before it has read the upload, which
// it then leaves unread or cuts by a reset.
BOOST_AUTO_TEST_CASE(whole_response_is_read_during_the_upload) {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> responses{
        head + "Content-Length: 2\r\n\r\nok",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"};
    const std::string upload(8U << 20U, 'b');
    for (const std::string& response : responses) {
        for (const bool resets : {false, true}) {
            fixture f;
            raw_peer peer([&](int socket, int) {
                read_until(socket, "\r\n\r\n");
                // By then nothing more of the upload fits the connection.
                std::this_thread::sleep_for(milliseconds(50));
                send_text(socket, response);
                if (resets) {
                    shutdown(socket, SHUT_WR);
                    const linger reset{1, 0};
                    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                    return;
                }
                pollfd closed{socket, POLLRDHUP, 0};
                poll(&closed, 1, 5000);
            });
            const answer received = f.exchange(peer.port, post("/", upload));
            BOOST_TEST(received.complete, response << (resets ? "reset: " : "left unread: ")
                                                   << received.cause.message());
            BOOST_TEST(received.body == "ok", response);
        }
    }
}

// Guards against a response that is not HTTP and against a connection that closes without one.
BOOST_AUTO_TEST_CASE(unusable_response_is_a_failure) {
    const std::vector<std::string> broken{
        "",
        "HTTP/1.1 2",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "SSH-2.0-OpenSSH\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\n12345",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n12345",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Key: " + std::string(40'000, 'k') + "\r\nContent-Length: 0\r\n\r\n",
        std::string(100'000, 'x'),
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 20 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 0200 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 +200 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200-X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\x01\r\nContent-Length: 0\r\n\r\n",
        "HTTP/2.0 200 X\r\nContent-Length: 0\r\n\r\n",
        "\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
    };
    for (const std::string& text : broken) {
        check_is_refused(text);
    }
}

// Guards against chunks that do not end as HTTP/1.1 has it.
BOOST_AUTO_TEST_CASE(response_with_broken_chunks_is_refused) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body :
         {"2\r\nokXX0\r\n\r\n", "2\r\nok\r\r0\r\n\r\n", "2\r\nok\nX0\r\n\r\n", "2\r\nok\n0\r\n\r\n",
          "2\r\nok0\r\n\r\n", "2\rXok\r\n0\r\n\r\n", "2\nok\r\n0\r\n\r\n", "2 x\r\nok\r\n0\r\n\r\n",
          "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\n\rX",
          "2\r\nok\r\n0\rX\r\n"}) {
        check_is_refused(head + body);
    }
}

// Guards against sizes of chunks that are taken for others: none for the last chunk, and one that
// does not fit 32 bits for its lower bits.
BOOST_AUTO_TEST_CASE(response_with_invalid_chunk_sizes_is_refused) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body : {"2\r\nok\r\n\r\n\r\n", "100000002\r\nok\r\n0\r\n\r\n",
                                   "10000000000000002\r\nok\r\n0\r\n\r\n"}) {
        check_is_refused(head + body);
    }
}

// Guards against a response in whose head the name of a field holds a blank or a control byte: the
// line may say how the body is framed.
BOOST_AUTO_TEST_CASE(response_with_an_invalid_header_name_is_refused) {
    const std::string line = "HTTP/1.1 200 OK\r\n";
    const std::string rest = "Content-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    const auto check = [&](const std::string& name) {
        check_is_refused(line + name + ": chunked\r\n" + rest);
    };
    for (const char* name : {"X Load", "X-Load ", "X-Load\t", "X-Load\x01", "X\x1FLoad",
                             "X-Load\x7F", "Transfer-Encoding ", "Transfer-Encoding\t",
                             "Transfer\x01-Encoding", "Content-Length "}) {
        check(name);
    }
    check(std::string("X\0Load", 6));
}

// Guards against blanks and carriage returns that are skipped in a status line.
BOOST_AUTO_TEST_CASE(response_with_a_broken_status_line_is_refused) {
    for (const std::string line : {"HTTP/1.1  200 OK\r\n", "HTTP/1.1 200 O\rK\r\n"}) {
        check_is_refused(line + "Content-Length: 2\r\n\r\nok");
    }
}

// Guards against refusing status lines that other servers send: an older version, or no reason.
BOOST_AUTO_TEST_CASE(unusual_status_line_is_read) {
    for (const std::string line : {"HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200"}) {
        fixture f;
        raw_peer peer([&](int socket, int) {
            read_until(socket, "\r\n\r\n");
            send_text(socket, line + "\r\nContent-Length: 2\r\n\r\nok");
        });
        const answer received = f.exchange(peer.port, get("/"));
        BOOST_TEST(received.complete, line << ": " << received.cause.message());
        BOOST_TEST(received.status == 200, line);
        BOOST_TEST(received.body == "ok", line);
    }
}

// Guards against a response that broke off within its head and takes the status or the headers of
// the next one on its connection.
BOOST_AUTO_TEST_CASE(response_joined_with_another_is_refused) {
    const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    check_is_refused("HTTP/1.1 503 Ser" + next);
    check_is_refused("HTTP/1.1 503 Busy\r\nX-Ke" + next);
    check_is_refused("HTTP/1.1 503 Busy\r\nX-Key: a" + next);
}

// Guards against an interim response being taken for the final one.
BOOST_AUTO_TEST_CASE(interim_responses_are_skipped) {
    fixture f;
    raw_peer peer([&](int socket, int) {
        read_until(socket, "\r\n\r\n");
        send_text(socket,
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Key: early\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nX-Key: final\r\nContent-Length: 2\r\n\r\nok");
    });
    const answer received = f.exchange(peer.port, get("/"));
    BOOST_TEST(received.complete, received.cause.message());
    BOOST_TEST(received.status == 200);
    BOOST_TEST(http::find_header(received.headers, "x-key") == "final");
    BOOST_TEST(received.body == "ok");
}

// Guards against bytes behind a response, which nobody asked for, being read as the next one.
BOOST_AUTO_TEST_CASE(bytes_behind_a_response_are_not_the_next_response) {
    const std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    fixture f;
    raw_peer peer([&](int socket, int connection) {
        read_until(socket, "\r\n\r\n");
        send_text(socket, begin + std::to_string(connection) + "." + begin + "!!");
        read_until(socket, "\r\n\r\n");
    });
    for (const char* expected : {"1.", "2.", "3."}) {
        const answer received = f.exchange(peer.port, get("/"));
        BOOST_TEST(received.complete, received.cause.message());
        BOOST_TEST(received.body == expected);
    }
}

// Guards against a body in a transfer coding that is not read, passed on as if it were plain.
BOOST_AUTO_TEST_CASE(response_in_an_unknown_transfer_coding_is_malformed) {
    const auto check = [](const std::string& coding, const std::string& body) {
        fixture f;
        raw_peer peer([&](int socket, int) {
            read_until(socket, "\r\n\r\n");
            send_text(socket,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body);
        });
        const answer received = f.exchange(peer.port, get("/"));
        BOOST_TEST(!received.complete, coding);
        BOOST_TEST(received.cause == http::http_errc::malformed_response, coding);
    };
    for (const char* coding :
         {"gzip", "identity", "xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip"}) {
        check(coding, "2\r\nok\r\n0\r\n\r\n");
        check(coding, "plain");
    }
}

// Guards against a connection that goes silent, and against timeouts rounded to seconds.
BOOST_AUTO_TEST_CASE(silent_server_is_a_timeout) {
    fixture f;
    raw_peer peer([&](int socket, int) { read_until(socket, "never sent"); });
    const auto started = std::chrono::steady_clock::now();
    const answer received = f.exchange(peer.port, get("/"), milliseconds(150));
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
    BOOST_TEST(received.cause == http::http_errc::timeout);
    BOOST_TEST((received.sent == http::sent_state::may_have_been_sent));
    BOOST_TEST(elapsed.count() >= 150);
    BOOST_TEST(elapsed.count() < 400);
    f.client.reset();
    f.run_for(milliseconds(10));
}

// Guards against calling a request ambiguous that never left the client.
BOOST_AUTO_TEST_CASE(refused_connection_is_never_sent) {
    fixture f;
    std::uint16_t unused = 0;
    {
        auto server = f.serve([](const http::request&, const auto&) {});
        unused = server->port();
    }
    const answer received = f.exchange(unused, post("/", "x"));
    BOOST_TEST(received.cause == http::http_errc::connect_failed);
    BOOST_TEST((received.sent == http::sent_state::never_sent));
}

// Guards against one connection per request.
BOOST_AUTO_TEST_CASE(connection_is_reused) {
    fixture f;
    raw_peer peer([&](int socket, int) {
        while (!read_until(socket, "\r\n\r\n").empty()) {
            send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    for (int i = 0; i < 10; ++i) {
        const answer received = f.exchange(peer.port, get("/" + std::to_string(i)));
        BOOST_TEST(received.complete);
        BOOST_TEST(received.body == "ok");
    }
    BOOST_TEST(peer.connections == 1);
    f.client.reset();
    f.run_for(milliseconds(10));
}

// Guards against a request that waits behind another on the same connection although a further
// connection is allowed, and against more connections than allowed.
BOOST_AUTO_TEST_CASE(one_exchange_at_a_time_on_a_connection) {
    for (const std::size_t allowed : {1U, 4U}) {
        fixture f;
        http::client_limits limits;
        limits.connections_per_endpoint = allowed;
        f.client = http::client::create(f.loop, limits);
        std::size_t most = 0;
        auto server = f.serve([&](const http::request&, const auto& writer) {
            most = std::max(most, f.observed->active_requests());
            f.loop.call_after(milliseconds(20), [writer] { http::respond(*writer, 200, {}, "x"); });
        });
        f.observed = server.get();
        std::vector<answer> answers(12);
        std::size_t ended = 0;
        for (answer& each : answers) {
            f.client->send({"127.0.0.1", server->port()}, post("/", "body"), milliseconds(3000),
                           f.record(each, [&] {
                               if (++ended == answers.size()) {
                                   f.loop.stop();
                               }
                           }));
        }
        f.loop.run();
        for (const answer& each : answers) {
            BOOST_TEST(each.complete);
        }
        BOOST_TEST(most == allowed);
    }
}

// Guards against unbounded input.
BOOST_AUTO_TEST_CASE(limits_are_enforced) {
    fixture f;
    http::server_limits limits;
    limits.header_bytes = 2000;
    limits.body_bytes = 1000;
    std::size_t handled = 0;
    auto server = f.serve(
        [&](const http::request&, const auto& writer) {
            ++handled;
            http::respond(*writer, 200, {}, "");
        },
        limits);
    http::request message = get("/");
    message.headers.push_back({"X-Key", std::string(3000, 'k')});
    BOOST_TEST(f.exchange(server->port(), message).status == 431);
    const std::string long_path = "GET /" + std::string(3000, 'p') + " HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_TEST(raw_exchange(f, server->port(), long_path).find(" 431 ") != std::string::npos);
    BOOST_TEST(f.exchange(server->port(), post("/", std::string(1001, 'b'))).status == 413);
    BOOST_TEST(f.exchange(server->port(), post("/", std::string(3'000'000, 'b'))).status == 413);
    const std::string chunked =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    BOOST_TEST(raw_exchange(f, server->port(), chunked).find(" 411 ") != std::string::npos);
    BOOST_TEST(handled == 0U);
    BOOST_TEST(f.exchange(server->port(), post("/", std::string(1000, 'b'))).status == 200);
    BOOST_TEST(handled == 1U);
}

// Guards against a header block that fits no parser buffer, in one header or in many. libwebsockets
// closes the connection without a response then.
BOOST_AUTO_TEST_CASE(header_block_beyond_the_parser_is_refused) {
    fixture f;
    std::size_t handled = 0;
    auto server = f.serve([&](const http::request&, const auto& writer) {
        ++handled;
        http::respond(*writer, 200, {}, "");
    });
    const std::string begin = "GET / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> blocks{
        begin + "X-Key: " + std::string(300'000, 'k') + "\r\n\r\n",
        begin + "X-Other: " + std::string(300'000, 'k') + "\r\n\r\n",
        begin + repeat("X-Key: kkkkkkkkkkkkkkkkkkkkkkkkkkkk\r\n", 10'000) + "\r\n",
        "GET /" + std::string(300'000, 'p') + " HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    for (const std::string& block : blocks) {
        const std::string received = raw_exchange(f, server->port(), block);
        const bool refused = received.empty() || received.find(" 431 ") != std::string::npos;
        BOOST_TEST(refused, block.substr(0, 40) + " -> " + received.substr(0, 60));
        BOOST_TEST(f.exchange(server->port(), get("/")).complete);
        handled -= 1;
    }
    BOOST_TEST(handled == 0U);
}

// Guards against a process that ends or a server that stops because of bytes that are not HTTP.
BOOST_AUTO_TEST_CASE(malformed_input_does_not_stop_the_server) {
    fixture f;
    auto server = f.serve(
        [](const http::request&, const auto& writer) { http::respond(*writer, 200, {}, "ok"); });
    const std::vector<std::string> inputs{
        std::string(1, '\0'),
        "\r\n\r\n\r\n",
        "NONSENSE\r\n\r\n",
        "BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET\r\n\r\n",
        "GET  HTTP/1.1\r\n\r\n",
        "GET / HTTP/9.9\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /%zz%00%ff HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /../../../etc HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /?&&&=&%& HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhello",
        "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET / HTTP/1.1\r\n" + repeat(":\r\n", 100) + "\r\n",
        "GET / HTTP/1.1\r\n" + repeat("A", 200) + "\r\nConnection: close\r\n\r\n",
    };
    for (const std::string& input : inputs) {
        serve_while(f, [&] {
            const int socket = connect_raw(server->port());
            send_text(socket, input);
            shutdown(socket, SHUT_WR);
            read_until(socket, "never in a response");
            close(socket);
        });
        BOOST_TEST(f.exchange(server->port(), get("/")).body == "ok", input.substr(0, 60));
    }
}

// Guards against work that goes on for a caller who has given up.
BOOST_AUTO_TEST_CASE(cancel_closes_the_connection_without_callbacks) {
    fixture f;
    bool closed = false;
    std::shared_ptr<http::response_writer> kept;
    auto server = f.serve([&](const http::request&, const auto& writer) {
        kept = writer;
        writer->on_closed([&] { closed = true; });
    });
    answer received;
    const auto id = f.client->send({"127.0.0.1", server->port()}, get("/"), milliseconds(1000),
                                   f.record(received, [&] { f.loop.stop(); }));
    BOOST_TEST(f.run_until([&] { return server->active_requests() == 1U; }));
    f.client->cancel(id);
    BOOST_TEST(f.run_until([&] { return closed; }));
    BOOST_TEST(server->active_requests() == 0U);
    BOOST_TEST(!received.complete);
    BOOST_TEST(!received.cause);
    http::respond(*kept, 200, {}, "too late");
    f.run_for(milliseconds(20));
}

// Guards against a credit that becomes ambiguous only because an idle connection had been closed.
BOOST_AUTO_TEST_CASE(idle_connection_closed_by_the_peer_is_not_used) {
    fixture f;
    raw_peer peer([&](int socket, int) {
        read_until(socket, "\r\n\r\n");
        send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    for (int i = 0; i < 5; ++i) {
        // The peer closes while the loop does not run, so only a look at the socket can tell.
        const answer received = f.exchange(peer.port, post("/", ""));
        BOOST_TEST(received.complete);
        std::this_thread::sleep_for(milliseconds(20));
    }
    BOOST_TEST(peer.connections == 5);
}

// Guards against a client that keeps a connection longer than the settings say.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed_after_keep_alive) {
    fixture f;
    http::client_limits limits;
    limits.keep_alive = milliseconds(50);
    f.client = http::client::create(f.loop, limits);
    std::atomic<bool> closed = false;
    raw_peer peer([&](int socket, int) {
        read_until(socket, "\r\n\r\n");
        send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        closed = read_until(socket, "never sent").empty();
    });
    BOOST_TEST(f.exchange(peer.port, get("/")).complete);
    BOOST_TEST(f.run_until([&] { return closed.load(); }));
}

// Guards against a connection that a client holds without sending a request.
BOOST_AUTO_TEST_CASE(server_closes_idle_connections) {
    fixture f;
    http::server_limits limits;
    limits.idle_timeout = milliseconds(50);
    auto server = f.serve(
        [](const http::request&, const auto& writer) { http::respond(*writer, 200, {}, "ok"); },
        limits);
    BOOST_TEST(raw_exchange(f, server->port(), "").empty());
    BOOST_TEST(raw_exchange(f, server->port(), "GET / HT").empty());
    const std::string begun = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab";
    BOOST_TEST(raw_exchange(f, server->port(), begun).empty());
}

// Guards against requests that are lost when a client sends them without waiting for responses.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
    fixture f;
    auto server = f.serve([&](const http::request& message, const auto& writer) {
        const std::string path = message.path;
        f.loop.call_after(milliseconds(5),
                          [writer, path] { http::respond(*writer, 200, {}, path); });
    });
    const std::string received =
        raw_exchange(f, server->port(),
                     "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::size_t first = received.find("\r\n\r\n/1");
    const std::size_t second = received.find("\r\n\r\n/2");
    const std::size_t third = received.find("\r\n\r\n/3");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(second != std::string::npos);
    BOOST_TEST(third != std::string::npos);
    BOOST_TEST(first < second);
    BOOST_TEST(second < third);
}

// Guards against the endless loop of libwebsockets when bytes follow a request body.
BOOST_AUTO_TEST_CASE(bytes_after_a_body_do_not_stop_the_server) {
    fixture f;
    auto server = f.serve([&](const http::request& message, const auto& writer) {
        const std::string path = message.path;
        f.loop.call_after(milliseconds(5),
                          [writer, path] { http::respond(*writer, 200, {}, path); });
    });
    const std::string begin = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ";
    for (const std::string& rest :
         {std::string("3\r\n\r\nabcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"),
          std::string("3\r\n\r\nabcd"), std::string("0\r\n\r\nabcd\r\n\r\n"),
          std::string("0\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")}) {
        serve_while(f, [&] {
            const int socket = connect_raw(server->port());
            send_text(socket, begin + rest);
            std::this_thread::sleep_for(milliseconds(30));
            close(socket);
        });
        BOOST_TEST(f.exchange(server->port(), get("/x")).body == "/x", rest);
    }
}

// Guards against a body in a response that must not have one, which would be read as the next
// response.
BOOST_AUTO_TEST_CASE(responses_without_body_end_at_their_head) {
    fixture f;
    auto server = f.serve([](const http::request& message, const auto& writer) {
        http::respond(*writer, message.path == "/204" ? 204 : 200, {}, "body");
    });
    for (const std::string method : {"HEAD", "DELETE", "PUT", "PATCH", "OPTIONS", "GET"}) {
        http::request message = get("/");
        message.method = method;
        const answer received = f.exchange(server->port(), message);
        BOOST_TEST(received.complete, method);
        BOOST_TEST(received.body == (method == "HEAD" ? "" : "body"), method);
    }
    for (int i = 0; i < 3; ++i) {
        const answer received = f.exchange(server->port(), get("/204"));
        BOOST_TEST(received.complete);
        BOOST_TEST(received.status == 204);
    }
}

// Guards against a shutdown that interrupts a request or goes on accepting.
BOOST_AUTO_TEST_CASE(stopped_server_finishes_what_it_has) {
    fixture f;
    auto server = f.serve([&](const http::request&, const auto& writer) {
        f.loop.call_after(milliseconds(50), [writer] { http::respond(*writer, 200, {}, "done"); });
    });
    answer first;
    f.client->send({"127.0.0.1", server->port()}, get("/"), milliseconds(1000),
                   f.record(first, [&] { f.loop.stop(); }));
    f.run_for(milliseconds(20));
    server->stop_accepting();
    f.loop.run();
    BOOST_TEST(first.complete);
    BOOST_TEST(first.body == "done");
    const answer second = f.exchange(server->port(), post("/", "x"));
    BOOST_TEST(second.cause == http::http_errc::connect_failed);
    BOOST_TEST((second.sent == http::sent_state::never_sent));
}

// Guards against a server whose end also closes the connections of another on the same loop.
BOOST_AUTO_TEST_CASE(servers_of_a_loop_are_independent) {
    fixture f;
    auto first = f.serve(
        [](const http::request&, const auto& writer) { http::respond(*writer, 200, {}, "first"); });
    auto second = f.serve([&](const http::request&, const auto& writer) {
        f.loop.call_after(milliseconds(100),
                          [writer] { http::respond(*writer, 200, {}, "second"); });
    });
    BOOST_TEST(f.exchange(first->port(), get("/")).body == "first");
    answer received;
    f.client->send({"127.0.0.1", second->port()}, get("/"), milliseconds(1000),
                   f.record(received, [&] { f.loop.stop(); }));
    f.run_for(milliseconds(30));
    first.reset();
    f.loop.run();
    BOOST_TEST(received.body == "second");
}

// Guards against a loop that polls without pause while it waits for a timer.
BOOST_AUTO_TEST_CASE(waiting_for_a_timer_takes_no_processor_time) {
    fixture f;
    const std::clock_t started = std::clock();
    for (int i = 0; i < 100; ++i) {
        f.run_for(milliseconds(2));
    }
    const double used = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    BOOST_TEST(used < 0.05);
}

// Guards against sharing a port with another server unnoticed.
BOOST_AUTO_TEST_CASE(address_in_use_is_an_error) {
    fixture f;
    auto server = f.serve([](const http::request&, const auto&) {});
    const auto second = http::server::create(f.loop, {"127.0.0.1", server->port()}, {},
                                             [](const http::request&, const auto&) {});
    BOOST_TEST(second.error() == http::http_errc::listen_failed);
    const auto invalid = http::server::create(f.loop, {"not an address", 0}, {},
                                              [](const http::request&, const auto&) {});
    BOOST_TEST(invalid.error() == http::http_errc::listen_failed);
}

// Guards against line breaks in a header that would forge another header or request.
BOOST_AUTO_TEST_CASE(request_that_cannot_be_expressed_is_not_sent) {
    fixture f;
    auto server = f.serve(
        [](const http::request&, const auto& writer) { http::respond(*writer, 200, {}, "ok"); });
    http::request message = get("/");
    message.headers.push_back({"X-Key", "a\r\nX-Caller: forged"});
    BOOST_TEST(f.exchange(server->port(), message).cause == http::http_errc::invalid_request);
    BOOST_TEST(f.exchange(server->port(), get("/a b")).cause == http::http_errc::invalid_request);
    const http::request too_long = get("/" + std::string(3000, 'p'));
    BOOST_TEST(f.exchange(server->port(), too_long).cause == http::http_errc::invalid_request);
    const answer received = f.exchange(server->port(), get("/a b"));
    BOOST_TEST((received.sent == http::sent_state::never_sent));
}

// Guards against an address that is read without its port, with rest, or with its brackets.
BOOST_AUTO_TEST_CASE(endpoints_are_parsed) {
    BOOST_TEST((http::parse_endpoint("127.0.0.1:80") == http::endpoint{"127.0.0.1", 80}));
    BOOST_TEST((http::parse_endpoint("[::1]:8080") == http::endpoint{"::1", 8080}));
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x", "127.0.0.1:65536"}) {
        BOOST_TEST(!http::parse_endpoint(text).has_value(), text);
    }
}

// Guards against a bound of descriptors that breaks the reuse of connections, or that loses an
// exchange for which there is no descriptor.
BOOST_AUTO_TEST_CASE(loop_keeps_its_bound_of_descriptors) {
    fixture upstream;
    std::vector<std::shared_ptr<http::response_writer>> held;
    const auto server = upstream.serve(
        [&](const http::request& message, const std::shared_ptr<http::response_writer>& writer) {
            if (message.path == "/held") {
                held.push_back(writer);
                return;
            }
            http::respond(*writer, 200, {}, "ok");
        });
    std::thread serving([&] { upstream.loop.run(); });
    {
        constexpr std::size_t descriptors = 16;
        http::event_loop bounded(descriptors);
        http::client_limits limits;
        limits.connections_per_endpoint = 64;
        const auto client = http::client::create(bounded, limits);
        const auto send = [&](const std::string& path, answer& into, std::size_t& ended) {
            client->send({"127.0.0.1", server->port()}, get(path), milliseconds(500),
                         upstream.record(into, [&ended] { ++ended; }));
        };
        const auto run_until_ended = [&](const std::size_t& ended, std::size_t count) {
            for (int turn = 0; turn < 600 && ended < count; ++turn) {
                bounded.call_after(milliseconds(5), [&bounded] { bounded.stop(); });
                bounded.run();
            }
        };
        constexpr std::size_t in_sequence = 50;
        for (std::size_t count = 0; count < in_sequence; ++count) {
            answer received;
            std::size_t ended = 0;
            send("/", received, ended);
            run_until_ended(ended, 1);
            BOOST_TEST(received.complete);
        }
        constexpr std::size_t at_a_time = 40;
        std::vector<answer> answers(at_a_time);
        std::size_t ended = 0;
        for (answer& received : answers) {
            send("/held", received, ended);
        }
        run_until_ended(ended, at_a_time);
        BOOST_TEST(ended == at_a_time);
        const auto refused = std::count_if(answers.begin(), answers.end(), [](const answer& each) {
            return each.cause == http::http_errc::connect_failed &&
                   each.sent == http::sent_state::never_sent;
        });
        BOOST_TEST(refused >= static_cast<std::ptrdiff_t>(at_a_time - descriptors));
        BOOST_TEST(refused < static_cast<std::ptrdiff_t>(at_a_time));
    }
    upstream.loop.stop();
    serving.join();
}

// Guards against work that is posted by other threads and lost or reordered.
BOOST_AUTO_TEST_CASE(posted_work_runs_in_order) {
    fixture f;
    constexpr int count = 10'000;
    std::vector<int> seen;
    serve_while(f, [&] {
        std::atomic<bool> finished = false;
        for (int i = 0; i < count; ++i) {
            f.loop.post([&, i] {
                seen.push_back(i);
                finished = i + 1 == count;
            });
        }
        while (!finished) {
            std::this_thread::yield();
        }
    });
    BOOST_TEST_REQUIRE(seen.size() == static_cast<std::size_t>(count));
    BOOST_TEST(std::is_sorted(seen.begin(), seen.end()));
}

// Guards against timers that fire early, out of order or after they were cancelled.
BOOST_AUTO_TEST_CASE(timers_fire_in_order_with_millisecond_resolution) {
    fixture f;
    const auto started = std::chrono::steady_clock::now();
    std::vector<int> fired;
    milliseconds elapsed(0);
    f.loop.call_after(milliseconds(30), [&] { fired.push_back(30); });
    f.loop.call_after(milliseconds(10), [&] {
        fired.push_back(10);
        elapsed =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
    });
    const auto cancelled = f.loop.call_after(milliseconds(20), [&] { fired.push_back(20); });
    f.loop.cancel(cancelled);
    f.run_for(milliseconds(60));
    BOOST_TEST(fired == (std::vector<int>{10, 30}), boost::test_tools::per_element());
    BOOST_TEST(elapsed.count() >= 10);
    BOOST_TEST(elapsed.count() < 30);
}
