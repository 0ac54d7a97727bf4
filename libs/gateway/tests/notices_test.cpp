#include "front_fixture.h"
#include "gateway/server_notices.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Tests of what servers state about themselves in their answers: that they are leaving, and for how
// long they want no requests.

namespace gg = greengagechute;
namespace gateway = greengagechute::gateway;
namespace wire = greengagechute::wire;

using namespace std::chrono_literals;
using gateway::testing::fake_server;
using gateway::testing::front_fixture;

namespace {

constexpr gg::time_point start{1h};

/// What a server puts into its answers.
struct statement {
    int code = 200;
    std::vector<wire::header> headers;
};

/// Answers with the statement; a refusal states that the request has not run.
void answer(const std::shared_ptr<wire::incoming>& asked, const statement& stated) {
    wire::response message;
    message.code = stated.code;
    message.reason = "Reason";
    message.headers = stated.headers;
    message.headers.push_back({"Own-Signature", "s"});
    const std::string* id = wire::find_header(asked->message().headers, "Own-Id");
    message.headers.push_back({"Own-Id", id != nullptr ? *id : ""});
    if (stated.code == 503) {
        message.headers.push_back({"Own-Not-Run", "1"});
    }
    asked->answer(std::move(message));
}

statement leaving() {
    return {200, {{"Own-Leaving", "1"}}};
}

statement pause(const std::string& seconds) {
    return {503, {{"Retry-After", seconds}}};
}

/// A front with two servers, `s1` whose answers the test sets and `s2` that answers all.
struct two_servers : front_fixture {
    statement stated;
    fake_server first{this->loop, [this](const std::shared_ptr<wire::incoming>& asked) {
                          answer(asked, this->stated);
                      }};
    fake_server second{this->loop,
                       [](const std::shared_ptr<wire::incoming>& asked) { answer(asked, {}); }};

    void run_for(gg::milliseconds time) {
        this->loop.call_after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }

    /// Sends requests until the first server has got one more.
    void ask_until_first_answers(const std::string& target) {
        const int before = this->first.requests;
        for (int count = 0; count < 50 && this->first.requests == before; ++count) {
            this->ask("GET", target);
        }
        BOOST_REQUIRE(this->first.requests == before + 1);
    }

    void ask_often(const std::string& target) {
        for (int count = 0; count < 20; ++count) {
            this->ask("GET", target, "300");
        }
    }

    void set_entry(const std::string& id, const std::string& service, std::uint64_t born,
                   const wire::endpoint& address, std::uint64_t version) {
        gateway::server_entry made;
        made.life = {gg::server_id(id), born};
        made.service = gg::service_id(service);
        made.address = address;
        made.data_centre = gg::data_centre_id("dc");
        made.slots = 2;
        const gg::time_point now = wire::event_loop::now();
        this->servers.apply({{made.life.id, made, gateway::testing::at(version)}},
                            gateway::testing::at(version), now);
        this->front->set_servers(this->servers, now, now);
    }
    void remove_entry(const std::string& id, std::uint64_t version) {
        const gg::time_point now = wire::event_loop::now();
        this->servers.apply({{gg::server_id(id), std::nullopt, gateway::testing::at(version)}},
                            gateway::testing::at(version), now);
        this->front->set_servers(this->servers, now, now);
    }
};

}  // namespace

// Guards against a pause that is not kept, that a later and shorter one ends early, or that never
// ends, and against a leaving server that gets work again: random statements at random times.
BOOST_AUTO_TEST_CASE(statements_hold_in_random_schedules) {
    constexpr int schedules = 2'000;
    constexpr int events = 40;
    constexpr gg::milliseconds max_use{1'500};
    std::mt19937_64 random(20'261'210);
    const auto below = [&random](std::uint64_t limit) {
        return static_cast<std::int64_t>(random() % limit);
    };
    for (int schedule = 0; schedule < schedules; ++schedule) {
        gateway::server_notices known;
        gg::time_point now = start;
        gg::time_point paused_until = start;
        std::optional<gg::time_point> left;
        for (int event = 0; event < events; ++event) {
            now += gg::milliseconds(below(700));
            BOOST_REQUIRE(is_pause_asked(known, now) == (now < paused_until));
            BOOST_REQUIRE(accepts_work(known, now) == (!left && now >= paused_until));
            BOOST_REQUIRE(accepts_owned_work(known, max_use, now) ==
                          (now >= paused_until && (!left || now <= *left + max_use)));
            if (below(4) != 0) {
                continue;
            }
            gateway::server_statement stated;
            stated.leaving = below(8) == 0;
            stated.pause = gg::milliseconds(below(3) == 0 ? 0 : below(3'000));
            record(known, stated, now);
            left = stated.leaving && !left ? now : left;
            paused_until = std::max(paused_until, now + stated.pause);
        }
    }
}

// Guards against headers of servers that are taken for something else: a pause without end, a
// negative one, or one that is overlooked because the header came twice.
BOOST_AUTO_TEST_CASE(odd_statements_are_bounded) {
    const auto pause_of = [](const std::vector<std::string>& values) {
        return gateway::interpret({}, values);
    };
    BOOST_CHECK(pause_of({"1.5"}).pause == 1'500ms);
    BOOST_CHECK(pause_of({"0.0004"}).pause == 1ms);
    BOOST_TEST(!pause_of({"1.5"}).odd_pause);
    BOOST_CHECK(pause_of({}).pause == 0ms);
    BOOST_TEST(!pause_of({}).odd_pause);
    for (const char* odd : {"-1", "", "soon", "nan", "inf", "-inf", "1e3", "1,5", "1 s", "0x10",
                            "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        BOOST_CHECK_MESSAGE(pause_of({odd}).pause == 0ms, odd);
        BOOST_TEST(pause_of({odd}).odd_pause, odd);
    }
    for (const char* large : {"61", "1000000000000", "99999999999999999999999999999999999999"}) {
        BOOST_CHECK_MESSAGE(pause_of({large}).pause == gateway::max_granted_pause, large);
        BOOST_TEST(pause_of({large}).odd_pause, large);
    }
    BOOST_CHECK(pause_of({"1", "3", "2"}).pause == 3s);
    BOOST_TEST(pause_of({"1", "3", "2"}).odd_pause);
    BOOST_CHECK(pause_of({"x", "2"}).pause == 2s);
    BOOST_TEST(gateway::interpret({"1"}, {}).leaving);
    BOOST_TEST(gateway::interpret({"yes"}, {}).leaving);
    BOOST_TEST(!gateway::interpret({"0"}, {}).leaving);
    BOOST_TEST(!gateway::interpret({}, {}).leaving);
    const gateway::server_statement both = gateway::interpret({"1"}, {"2"});
    BOOST_TEST(both.leaving);
    BOOST_CHECK(both.pause == 2s);
}

// Guards against requests to a server that has said in an answer that it is leaving, on kept
// connections too, and after what could make the host forget: a removal of its entry and its
// return, an older entry, and a new configuration.
BOOST_AUTO_TEST_CASE(leaving_server_gets_no_requests) {
    two_servers test;
    test.set_entry("s1", "plain", 7, test.first.address(), 1);
    test.set_entry("s2", "plain", 7, test.second.address(), 2);
    test.stated = leaving();
    test.ask_until_first_answers("/safe/x");
    const int before = test.first.requests;
    test.ask_often("/safe/x");
    BOOST_TEST(test.first.requests == before);
    BOOST_REQUIRE(test.front->leaving_servers().size() == 1U);
    BOOST_TEST(test.front->leaving_servers().front().id.value() == "s1");

    test.remove_entry("s1", 3);
    test.set_entry("s1", "plain", 7, test.first.address(), 4);
    test.ask_often("/safe/x");
    BOOST_TEST(test.first.requests == before);

    // The notice is about the instance: the next one under the same id, and another server at the
    // same address, get requests.
    test.stated = {};
    test.set_entry("s1", "plain", 8, test.first.address(), 5);
    test.remove_entry("s2", 6);
    test.ask_until_first_answers("/safe/x");
    test.stated = leaving();
    test.ask_until_first_answers("/safe/x");
    test.remove_entry("s1", 7);
    test.stated = {};
    test.set_entry("s3", "plain", 9, test.first.address(), 8);
    test.ask_until_first_answers("/safe/x");
}

// Guards against requests that reach a leaving owner later than the platform allows after it has
// said so, and against keys that are not served while they can still be.
BOOST_AUTO_TEST_CASE(leaving_owner_is_used_for_a_short_time) {
    two_servers test;
    test.set_entry("s1", "keys", 1, test.first.address(), 1);
    test.set_owner("s1");
    test.stated = leaving();
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "7").message.code == 200);
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "7").message.code == 200);
    test.run_for(1'600ms);
    const int before = test.first.requests;
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "7").message.code == 503);
    BOOST_TEST(test.first.requests == before);
    // Its keys have moved.
    test.set_entry("s2", "keys", 1, test.second.address(), 2);
    test.set_owner("s2");
    BOOST_TEST(test.ask("GET", "/keys/x", "300", "7").message.code == 200);
    BOOST_TEST(test.second.requests == 1);
}

// Guards against a statement that is overlooked because the answer that has it was cut after its
// head.
BOOST_AUTO_TEST_CASE(statement_in_a_cut_answer_counts) {
    two_servers test;
    wire::listener cutting(test.loop, [&test](const std::shared_ptr<wire::stream>& opened) {
        wire::stream_handlers handlers;
        handlers.data = [&test, opened](std::string_view) {
            ++test.first.requests;
            opened->write(
                "HTTP/1.1 200 OK\r\nOwn-Id: r1\r\nOwn-Signature: s\r\nOwn-Leaving: 1\r\n"
                "Content-Length: 9\r\n\r\nabc");
            opened->finish();
        };
        opened->set_handlers(std::move(handlers));
    });
    BOOST_REQUIRE(!cutting.open({"127.0.0.1", 0}));
    test.set_entry("s1", "plain", 1, {"127.0.0.1", cutting.port()}, 1);
    test.set_entry("s2", "plain", 1, test.second.address(), 2);
    test.ask_until_first_answers("/safe/x");
    // Failures alone do not keep the last server of a service from getting requests.
    test.remove_entry("s2", 3);
    const int before = test.first.requests;
    BOOST_TEST(test.ask("GET", "/safe/x", "300").message.code == 503);
    BOOST_TEST(test.first.requests == before);
}

// Guards against requests within the pause that a server has asked for, of any kind, and against a
// server that gets none after it.
BOOST_AUTO_TEST_CASE(paused_server_gets_no_requests_until_the_end) {
    two_servers test;
    test.set_entry("s1", "plain", 1, test.first.address(), 1);
    test.set_entry("s2", "plain", 1, test.second.address(), 2);
    test.stated = pause("0.8");
    test.ask_until_first_answers("/safe/x");
    const gg::time_point asked = wire::event_loop::now();
    const int before = test.first.requests;
    test.stated = {};
    BOOST_TEST(test.ask("GET", "/safe/x").message.code == 200);
    BOOST_TEST(test.ask("POST", "/unsafe/x").message.code == 200);
    test.remove_entry("s2", 3);
    while (wire::event_loop::now() < asked + 600ms) {
        BOOST_TEST(test.ask("GET", "/safe/x", "50").message.code == 503);
        BOOST_TEST(test.ask("POST", "/unsafe/x", "50").message.code == 503);
        test.run_for(20ms);
    }
    BOOST_TEST(test.first.requests == before);
    test.run_for(250ms);
    test.ask_until_first_answers("/safe/x");
}

// Guards against requests within the pause of a server that has started again under its id: its
// answers do not say which start they are of, and its entry may be learned after them.
BOOST_AUTO_TEST_CASE(pause_stated_before_the_next_start_is_known_holds) {
    two_servers test;
    test.set_entry("s1", "plain", 1, test.first.address(), 1);
    test.stated = pause("0.8");
    test.ask_until_first_answers("/safe/x");
    const gg::time_point asked = wire::event_loop::now();
    const int before = test.first.requests;
    test.stated = {};
    test.set_entry("s1", "plain", 2, test.first.address(), 2);
    while (wire::event_loop::now() < asked + 600ms) {
        BOOST_TEST(test.ask("GET", "/safe/x", "50").message.code == 503);
        test.run_for(20ms);
    }
    BOOST_TEST(test.first.requests == before);
    test.run_for(250ms);
    test.ask_until_first_answers("/safe/x");
}

// Guards against requests that wait for a pause although it ends too late for them, against a time
// to return that lies within the pause, and against requests refused although they can still wait.
BOOST_AUTO_TEST_CASE(requests_wait_for_a_pause_only_if_it_ends_in_time) {
    for (const bool owned : {false, true}) {
        two_servers test;
        const std::string target = owned ? "/keys/x" : "/safe/x";
        test.set_entry("s1", owned ? "keys" : "plain", 1, test.first.address(), 1);
        if (owned) {
            test.set_owner("s1");
        }
        test.stated = pause("0.6");
        test.ask("GET", target, "300", "7");
        const gg::time_point asked = wire::event_loop::now();
        const int before = test.first.requests;
        test.stated = {};

        const auto refused = test.ask("GET", target, "300", "7");
        BOOST_TEST(refused.message.code == 503);
        BOOST_CHECK(wire::event_loop::now() < asked + 100ms);
        const std::string* back = wire::find_header(refused.message.headers, "Retry-After");
        BOOST_REQUIRE(back != nullptr);
        BOOST_TEST(std::stod(*back) > 0.45);
        BOOST_TEST(std::stod(*back) < 1.0);
        BOOST_TEST(test.first.requests == before);

        BOOST_TEST(test.ask("GET", target, "1500", "7").message.code == 200);
        BOOST_CHECK(wire::event_loop::now() >= asked + 590ms);
    }
}

// Guards against one of two statements in the same answer being overlooked.
BOOST_AUTO_TEST_CASE(server_may_leave_and_ask_for_a_pause) {
    two_servers test;
    test.set_entry("s1", "keys", 1, test.first.address(), 1);
    test.set_owner("s1");
    test.stated = {503, {{"Retry-After", "0.3"}, {"Own-Leaving", "1"}}};
    test.ask("GET", "/keys/x", "200", "7");
    const int before = test.first.requests;
    BOOST_TEST(test.ask("GET", "/keys/x", "200", "7").message.code == 503);
    BOOST_TEST(test.first.requests == before);
    BOOST_TEST(test.front->leaving_servers().size() == 1U);
    test.stated = leaving();
    test.run_for(350ms);
    BOOST_TEST(test.ask("GET", "/keys/x", "200", "7").message.code == 200);
    test.run_for(1'500ms);
    BOOST_TEST(test.ask("GET", "/keys/x", "200", "7").message.code == 503);
    BOOST_TEST(test.first.requests == before + 1);
}
