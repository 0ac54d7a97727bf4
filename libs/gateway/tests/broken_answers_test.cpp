// Answers that a front must not pass on: servers in trouble break them off, or send what is none of
// HTTP's.

#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace gg = greengagechute;
namespace wire = greengagechute::wire;

using namespace std::chrono_literals;
using namespace greengagechute::gateway::testing;

namespace {

/// Sends a request to a server that answers with the given bytes, and closes or leaves the
/// connection open. Checks that its caller is told of a failure at once, and that a request that
/// may be repeated is answered by another server.
void check_answer_is_refused(const std::string& bytes) {
    for (const bool closes : {false, true}) {
        BOOST_TEST_INFO_SCOPE((closes ? "closed behind: " : "left open behind: ") << bytes);
        front_fixture test;
        wire::listener listening(test.loop, [&](const std::shared_ptr<wire::stream>& opened) {
            wire::stream_handlers handlers;
            handlers.data = [&bytes, closes, opened](std::string_view) {
                opened->write(bytes);
                if (closes) {
                    opened->finish();
                }
            };
            opened->set_handlers(std::move(handlers));
        });
        BOOST_REQUIRE(!listening.open({"127.0.0.1", 0}));
        test.add("s1", "plain", {"127.0.0.1", listening.port()});
        const gg::time_point before = wire::event_loop::now();
        BOOST_TEST(test.ask("POST", "/unsafe/x", "1500").message.code == 502);
        BOOST_CHECK(wire::event_loop::now() - before < 1s);
        fake_server sound(test.loop, [](const auto& asked) { reply(asked, 200, "ok", true); });
        test.add("s2", "plain", sound.address());
        BOOST_TEST(test.ask("GET", "/safe/x", "1500").message.code == 200);
    }
}

}  // namespace

// Guards against a caller that gets, as a whole answer, the part that a server sent before it reset
// the connection while the upload was still being written.
BOOST_AUTO_TEST_CASE(answer_cut_by_a_reset_during_the_upload_is_a_failure) {
    const std::string upload(4U << 20U, 'b');
    for (const std::size_t size : {10UL, 30'000UL}) {
        front_fixture test;
        const std::string part =
            "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\n\r\n" + std::string(size, 'a');
        wire::listener listening(test.loop, [&](const std::shared_ptr<wire::stream>& opened) {
            wire::stream_handlers handlers;
            handlers.data = [&part, opened](std::string_view) {
                opened->write(part);
                opened->close(wire::close_mode::abortive);
            };
            opened->set_handlers(std::move(handlers));
        });
        BOOST_REQUIRE(!listening.open({"127.0.0.1", 0}));
        test.add("s1", "plain", {"127.0.0.1", listening.port()});
        BOOST_TEST(test.ask("POST", "/unsafe/x", "1500", "", upload).message.code == 502, size);
        fake_server sound(test.loop, [](const auto& asked) { reply(asked, 200, "ok", true); });
        test.add("s2", "plain", sound.address());
        BOOST_TEST(test.ask("POST", "/safe/x", "1500", "", upload).message.body == "ok", size);
    }
}

// Guards against a caller that gets an answer with a status that is none of HTTP's, and against one
// that waits until its deadline because the answer was taken for an interim one.
BOOST_AUTO_TEST_CASE(answer_with_an_invalid_status_is_a_failure) {
    for (const char* status : {"000", "099", "600", "999"}) {
        check_answer_is_refused(std::string("HTTP/1.1 ") + status +
                                " X\r\nOwn-Id: r1\r\nOwn-Signature: s\r\n"
                                "Content-Length: 0\r\n\r\n");
    }
}

// Guards against a caller that gets an answer in whose head the name of a field holds a blank or a
// control byte: the line would be passed on, or would hide the framing of the body.
BOOST_AUTO_TEST_CASE(answer_with_an_invalid_header_name_is_a_failure) {
    const std::string head = "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\n";
    const std::string length = "Content-Length: 12\r\n";
    const std::string body = "\r\n2\r\nok\r\n0\r\n\r\n";
    const auto check = [&](const std::string& before, const std::string& name,
                           const std::string& after) {
        check_answer_is_refused(head + before + name + ": chunked\r\n" + after + body);
    };
    for (const std::string name :
         {"Own Load", "Own-Load ", "Own\tLoad", "Own-Load\x01", "Own\x1FLoad", "Own-Load\x7F",
          "Transfer-Encoding ", "Transfer-Encoding\t", "Transfer\x01-Encoding"}) {
        check(length, name, "");
        check("", name, length);
        check("", name, "");
    }
    for (const std::string& name : {std::string("Own\0Load", 8), std::string("\0", 1)}) {
        check(length, name, "");
    }
}

// Guards against a caller that gets an answer whose status line or whose ends of lines are none of
// HTTP/1.1's, such as one with its head for a body.
BOOST_AUTO_TEST_CASE(answer_with_broken_lines_is_a_failure) {
    const std::string rest = "Own-Id: r1\r\nOwn-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string line :
         {"HTTP/1.1  200 OK\r\n", "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 200 O\x01K\r\n",
          "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200\rX", "\r\nHTTP/1.1 200 OK\r\n"}) {
        check_answer_is_refused(line + rest);
    }
    const std::string head = "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\n";
    check_answer_is_refused(head + "Content-Length: 2\r\n\rXok");
    check_answer_is_refused(head + "\r: 5\r\nContent-Length: 2\r\n\r\nok");
}

// Guards against a caller that gets a body made of chunks whose sizes or ends are none of
// HTTP/1.1's.
BOOST_AUTO_TEST_CASE(answer_with_broken_chunks_is_a_failure) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* body :
         {"2\r\nokXX0\r\n\r\n", "2\r\nok\r\r0\r\n\r\n", "2\rXok\r\n0\r\n\r\n",
          "2 x\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\n\rX", "2\r\nok\r\n0\rXOwn-Sum: 5\r\n\r\n"}) {
        check_answer_is_refused(head + body);
    }
}

// Guards against a body in a transfer coding that is not read, passed on as if it were plain: the
// caller is not told of the coding.
BOOST_AUTO_TEST_CASE(answer_in_an_unknown_transfer_coding_is_a_failure) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\nTransfer-Encoding: ";
    const auto check = [&head](const std::string& coding, const std::string& body) {
        check_answer_is_refused(head + coding + "\r\n\r\n" + body);
    };
    for (const char* coding :
         {"gzip", "identity", "", "xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip"}) {
        check(coding, "2\r\nok\r\n0\r\n\r\n");
        check(coding, "plain");
    }
}
