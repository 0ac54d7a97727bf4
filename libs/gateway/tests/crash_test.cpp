#include "front_fixture.h"
#include "gateway/crash_guard.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Tests of requests under which servers end: of the decisions alone, and of a front.

namespace {

using namespace std::chrono_literals;
using namespace greengagechute;
using namespace greengagechute::gateway;
using namespace greengagechute::gateway::testing;

constexpr int not_run = 503;
constexpr int outcome_unknown = 502;
const time_point start{std::chrono::hours(1)};
const request_fingerprint poison(1);

ranges::server_instance instance(int number, std::uint64_t start_time_ms = 1) {
    return {server_id("s" + std::to_string(number)), start_time_ms};
}

/// A host's view: the request was under way at a server that then refused connections.
void lose_server(crash_guard& guard, request_fingerprint content, int server, time_point now) {
    record_interruption(guard.attribution, {content, instance(server), now});
    static_cast<void>(note_ended(guard, instance(server), end_evidence::unreachable, now));
}

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

// Guards against a sound request that is refused because a server closes connections: it accepts
// new ones, so it has not ended.
BOOST_AUTO_TEST_CASE(closed_connections_of_a_live_server_are_no_losses) {
    front_fixture test;
    std::vector<std::unique_ptr<wire::listener>> listeners;
    int arrivals = 0;
    for (int number = 0; number < 4; ++number) {
        listeners.push_back(std::make_unique<wire::listener>(
            test.loop, [&](const std::shared_ptr<wire::stream>& opened) {
                wire::stream_handlers handlers;
                handlers.data = [&, opened](std::string_view) {
                    ++arrivals;
                    test.loop.call_after(0ms, [opened] { opened->close(); });
                };
                opened->set_handlers(std::move(handlers));
            }));
        BOOST_REQUIRE(!listeners.back()->open({"127.0.0.1", 0}));
        test.add("s" + std::to_string(number), "plain", {"127.0.0.1", listeners.back()->port()});
    }
    constexpr int requests = 5;
    for (int count = 0; count < requests; ++count) {
        BOOST_TEST(test.ask("GET", "/safe/x").message.code == outcome_unknown);
        test.loop.call_after(1'100ms, [&test] { test.loop.stop(); });
        test.loop.run();
    }
    BOOST_TEST(arrivals >= requests);
}

// Guards against a planned end of servers that counts as a crash.
BOOST_AUTO_TEST_CASE(leaving_servers_are_no_losses) {
    crashing_fixture test(4);
    for (int number = 0; number < 4; ++number) {
        server_entry leaving = *test.servers.find(server_id("s" + std::to_string(number)));
        // The last host to know it still sends to them.
        leaving.draining = number < 3;
        test.servers.apply({{leaving.life.id, leaving, {}}}, {}, wire::event_loop::now());
    }
    test.front->set_servers(test.servers, wire::event_loop::now(), wire::event_loop::now());
    test.ask("GET", "/safe/crash");
    test.run_for(100ms);
    BOOST_TEST(test.ended == 1);
    BOOST_TEST(test.front->take_losses().size() == 1U);
    // All servers left are draining.
    test.ask("GET", "/safe/crash", "100");
    BOOST_TEST(test.front->take_losses().empty());
}

// Guards against a crash that takes the machine with it and does not count: the connection closes,
// and the machine does not answer a new one.
BOOST_AUTO_TEST_CASE(machine_that_stops_answering_is_a_loss) {
    front_fixture test;
    // A full queue of connections that nobody accepts: the system drops further ones.
    const int queue = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): socket address types.
    BOOST_REQUIRE(::bind(queue, reinterpret_cast<sockaddr*>(&address), size) == 0);
    BOOST_REQUIRE(::listen(queue, 0) == 0);
    BOOST_REQUIRE(::getsockname(queue, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    std::vector<int> fillers;
    const auto fill = [&] {
        fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        static_cast<void>(
            ::connect(fillers.back(), reinterpret_cast<sockaddr*>(&address), sizeof address));
    };
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    test.add("s", "plain", {"127.0.0.1", ntohs(address.sin_port)});
    test.loop.call_after(100ms, [&] {
        const int accepted = ::accept(queue, nullptr, nullptr);
        BOOST_REQUIRE(accepted >= 0);
        fill();
        fill();
        ::close(accepted);
    });
    test.ask("GET", "/safe/x", "1000");
    test.loop.call_after(700ms, [&test] { test.loop.stop(); });
    test.loop.run();
    BOOST_TEST(test.front->take_losses().size() == 1U);
    for (const int filler : fillers) {
        ::close(filler);
    }
    ::close(queue);
}

// Guards against requests that wait until their deadline for a server that has started again, and
// against a crash that closes no connection and so never counts.
BOOST_AUTO_TEST_CASE(requests_at_a_replaced_server_end_at_once) {
    front_fixture test;
    fake_server silent(test.loop, [](const std::shared_ptr<wire::incoming>&) {});
    test.add("s", "plain", silent.address());
    test.loop.call_after(200ms, [&] {
        server_entry next = *test.servers.find(server_id("s"));
        next.life.start_time_ms = 2;
        test.servers.apply({{next.life.id, next, at(1)}}, at(1), wire::event_loop::now());
        test.front->set_servers(test.servers, wire::event_loop::now(), wire::event_loop::now());
    });
    const time_point asked_at = wire::event_loop::now();
    BOOST_TEST(test.ask("GET", "/safe/x", "2000").message.code == outcome_unknown);
    BOOST_TEST((wire::event_loop::now() - asked_at < 600ms));
    const std::vector<request_loss> losses = test.front->take_losses();
    BOOST_REQUIRE(losses.size() == 1U);
    BOOST_TEST(losses.front().server.id.value() == "s");
    BOOST_TEST(losses.front().server.start_time_ms == 1U);
}

// Guards against timeouts that count as crashes: a server that was frozen answers the next request,
// one that was started again after a timeout may have crashed.
BOOST_AUTO_TEST_CASE(timeout_counts_only_if_the_server_was_replaced) {
    crash_guard guard = make_crash_guard(default_quarantine);
    for (int server = 0; server < 3; ++server) {
        record_interruption(guard.attribution,
                            {poison, instance(server), start, interruption::unanswered});
        BOOST_TEST(note_ended(guard, instance(server), end_evidence::unreachable, start).empty());
    }
    BOOST_TEST(may_repeat(guard, poison, start));
    BOOST_TEST(note_ended(guard, instance(0), end_evidence::replaced, start + 2s).size() == 1U);
    BOOST_TEST(note_ended(guard, instance(1), end_evidence::replaced, start + 11s).empty());
}

// Guards against a cut of a host's network, in which connections to many servers break and new ones
// are refused, that counts as the end of each.
BOOST_AUTO_TEST_CASE(cut_network_is_no_loss) {
    crash_guard guard = make_crash_guard(default_quarantine);
    for (int server = 0; server < 6; ++server) {
        record_interruption(guard.attribution,
                            {poison, instance(server), start + milliseconds{10 * server}});
    }
    const time_point later = start + 500ms;
    for (int server = 0; server < 6; ++server) {
        BOOST_TEST(note_ended(guard, instance(server), end_evidence::unreachable, later).empty());
    }
    // A process that was replaced has ended, whatever the network did.
    BOOST_TEST(note_ended(guard, instance(2), end_evidence::replaced, later).size() == 1U);
    BOOST_TEST(note_ended(guard, instance(2), end_evidence::replaced, later).empty());
}

// Guards against losses of a sound request that add up over a bad day, although servers have run it
// to the end in between.
BOOST_AUTO_TEST_CASE(request_that_a_server_has_run_is_no_suspect) {
    crash_guard guard = make_crash_guard(default_quarantine);
    for (int server = 0; server < 12; ++server) {
        const time_point now = start + std::chrono::seconds{server};
        lose_server(guard, poison, server, now);
        BOOST_TEST((time_until_allowed(guard, poison, now) == 0ms));
        if (server % 2 == 1) {
            BOOST_TEST(note_survived(guard, poison, now));
        }
    }
}

// Guards against one loss that counts for each host that saw it, and against losses at several
// hosts that are not added up.
BOOST_AUTO_TEST_CASE(losses_of_hosts_are_added_up_by_server) {
    suspect_ledger ledger = make_suspect_ledger(default_quarantine);
    BOOST_TEST(!record_report(ledger, {{poison, instance(1)}}, {}, start));
    BOOST_TEST(!record_report(ledger, {{poison, instance(1)}}, {}, start));
    BOOST_TEST(!has_news(ledger, 0));
    BOOST_TEST(record_report(ledger, {{poison, instance(1, 2)}}, {}, start));
    BOOST_TEST(record_report(ledger, {{poison, instance(3)}}, {}, start));
    BOOST_TEST(has_news(ledger, 0));
    crash_guard guard = make_crash_guard(default_quarantine);
    apply(guard, current_suspects(ledger, start), start);
    BOOST_TEST((time_until_allowed(guard, poison, start) == default_quarantine.duration));
    BOOST_TEST(record_report(ledger, {}, {poison}, start));
    apply(guard, current_suspects(ledger, start), start);
    BOOST_TEST((time_until_allowed(guard, poison, start) == 0ms));
}

namespace {

/// Hosts, servers and one coordinator over simulated time. One request crashes each server that
/// runs it; sound ones, one of them hot, are under way when servers crash, reset or are cut off.
class crash_schedule {
public:
    explicit crash_schedule(unsigned seed) : random(seed) {
        for (int host = 0; host < hosts; ++host) {
            admission::quarantine_limits limits = default_quarantine;
            limits.stagger = std::chrono::seconds{10 * host};
            this->guards.push_back(make_crash_guard(limits));
        }
        this->ledger.version = 1;
    }

    void run(milliseconds length, bool faults) {
        for (const time_point end = this->now + length; this->now < end; this->now += step) {
            if (this->draw(6) == 0) {
                this->send(poison);
            }
            for (int count = 0; count < 6; ++count) {
                this->send(request_fingerprint(this->draw(3) == 0 ? 2U : 3U + this->random() % 20));
            }
            if (faults && this->draw(40) == 0) {
                this->crash(this->draw(servers));
            }
            if (faults && this->draw(60) == 0) {
                this->interrupt_host(this->draw(hosts), this->draw(2) == 0);
            }
            this->finish();
            if (++this->steps % steps_of_report == 0) {
                this->report();
            }
        }
    }

    /// Hosts that refuse a sound request.
    int refusing_hosts() const {
        int refusing = 0;
        for (const crash_guard& guard : this->guards) {
            for (std::uint64_t content = 2; content < 23; ++content) {
                refusing += time_until_allowed(guard, request_fingerprint(content), this->now) > 0ms
                                ? 1
                                : 0;
            }
        }
        return refusing;
    }

    int sound_sent = 0;
    int sound_refused = 0;
    /// Times at which the poison reached a server.
    std::vector<time_point> poison_sent;

private:
    static constexpr int hosts = 5;
    static constexpr int servers = 12;
    static constexpr milliseconds step{50};
    static constexpr int steps_of_report = 9;

    struct running {
        int host = 0;
        int server = 0;
        request_fingerprint content;
        time_point done;
    };

    int draw(int below) { return static_cast<int>(this->random() % static_cast<unsigned>(below)); }

    void send(request_fingerprint content) {
        const int host = this->draw(hosts);
        const bool sound = content != poison;
        if (time_until_allowed(this->guards[static_cast<std::size_t>(host)], content, this->now) >
            0ms) {
            this->sound_refused += sound ? 1 : 0;
            return;
        }
        const int server = this->draw(servers);
        this->under_way.push_back({host, server, content, this->now + milliseconds{130}});
        this->sound_sent += sound ? 1 : 0;
        if (!sound) {
            this->poison_sent.push_back(this->now);
            this->crash(server);
        }
    }

    void crash(int server) {
        const ranges::server_instance ended = instance(server, this->lives[server]++);
        std::erase_if(this->under_way, [&](const running& one) {
            if (one.server == server) {
                record_interruption(this->guards[static_cast<std::size_t>(one.host)].attribution,
                                    {one.content, ended, this->now});
            }
            return one.server == server;
        });
        for (crash_guard& guard : this->guards) {
            static_cast<void>(note_ended(guard, ended, end_evidence::unreachable, this->now));
        }
    }

    /// All connections of a host break; servers accept new ones, or the network refuses them.
    void interrupt_host(int host, bool refused) {
        crash_guard& guard = this->guards[static_cast<std::size_t>(host)];
        std::erase_if(this->under_way, [&](const running& one) {
            if (one.host == host) {
                record_interruption(
                    guard.attribution,
                    {one.content, instance(one.server, this->lives[one.server]), this->now});
            }
            return one.host == host;
        });
        for (int server = 0; server < servers; ++server) {
            const ranges::server_instance life = instance(server, this->lives[server]);
            if (refused) {
                static_cast<void>(note_ended(guard, life, end_evidence::unreachable, this->now));
            } else {
                dismiss(guard.attribution, life);
            }
        }
    }

    void finish() {
        std::erase_if(this->under_way, [&](const running& one) {
            if (one.done <= this->now) {
                static_cast<void>(note_survived(this->guards[static_cast<std::size_t>(one.host)],
                                                one.content, this->now));
            }
            return one.done <= this->now;
        });
    }

    void report() {
        for (crash_guard& guard : this->guards) {
            record_report(this->ledger, std::exchange(guard.unreported, {}),
                          std::exchange(guard.cleared, {}), this->now);
        }
        expire(this->ledger, this->now);
        for (crash_guard& guard : this->guards) {
            apply(guard, current_suspects(this->ledger, this->now), this->now);
        }
    }

    std::mt19937 random;
    time_point now = start;
    std::vector<crash_guard> guards;
    suspect_ledger ledger = make_suspect_ledger(default_quarantine);
    std::map<int, std::uint64_t> lives;
    std::vector<running> under_way;
    int steps = 0;
};

}  // namespace

// Guards against both errors at once, in random schedules: a crashing request that is sent on after
// it has ended three servers and hosts had a second to learn it, and sound requests that are
// refused although servers crashed, reset or were cut off under them by chance.
BOOST_AUTO_TEST_CASE(crashing_requests_are_told_from_sound_ones_in_random_schedules) {
    constexpr unsigned schedules = 200;
    int sent = 0;
    int refused = 0;
    for (unsigned seed = 0; seed < schedules; ++seed) {
        crash_schedule schedule(seed);
        schedule.run(60s, true);
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_REQUIRE(schedule.poison_sent.size() >= 3U);
            const time_point learned = schedule.poison_sent[2] + 1s;
            const auto late =
                std::count_if(schedule.poison_sent.begin(), schedule.poison_sent.end(),
                              [learned](time_point when) { return when > learned; });
            BOOST_TEST(late <= 3);
            // Whatever was refused by mistake is served again.
            schedule.run(180s, false);
            BOOST_TEST(schedule.refusing_hosts() == 0);
        }
        sent += schedule.sound_sent;
        refused += schedule.sound_refused;
    }
    BOOST_TEST(refused * 500 < sent);
}
