#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

// Tests of a front whose servers end while they run a request.

namespace {

using namespace std::chrono_literals;
using namespace greengagechute;
using namespace greengagechute::gateway;
using namespace greengagechute::gateway::testing;

constexpr int not_run = 503;

/// Servers of `plain` that answer requests, but end when they begin to run one for `/safe/crash`.
struct crashing_fixture : front_fixture {
    std::vector<std::unique_ptr<fake_server>> running;
    int ended = 0;

    explicit crashing_fixture(int count) {
        for (int number = 0; number < count; ++number) {
            this->start_server("s" + std::to_string(number));
        }
    }

    void start_server(const std::string& id) {
        const std::size_t place = this->running.size();
        this->running.push_back(std::make_unique<fake_server>(
            this->loop, [this, place](const std::shared_ptr<wire::incoming>& asked) {
                if (!asked->message().target.ends_with("/crash")) {
                    reply(asked, 200, "whole", true);
                    return;
                }
                ++this->ended;
                this->loop.call_after(1ms, [this, place] { this->running[place].reset(); });
            }));
        this->add(id, "plain", this->running.back()->address());
    }

    void run_for(milliseconds time) {
        this->loop.call_after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

}  // namespace

// Guards against a request that ends one server after the other, as often as its caller sends it.
BOOST_AUTO_TEST_CASE(request_that_ended_three_servers_is_refused) {
    crashing_fixture test(12);
    for (int count = 0; count < 6; ++count) {
        test.ask("GET", "/safe/crash");
        test.run_for(50ms);
    }
    BOOST_TEST(test.ended == 3);
    BOOST_TEST(test.ask("GET", "/safe/crash").message.code == not_run);
    BOOST_TEST(test.ask("GET", "/safe/sound").message.code == 200);
}
