#define BOOST_TEST_MODULE peer_transport
#include "peer/transport.h"

#include "peer/errors.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace gg = greengagechute;
namespace peer = greengagechute::peer;

namespace {

constexpr gg::milliseconds patience{5'000};

// Collects what a transport delivers.
class inbox {
public:
    void add(const peer::sender& from, peer::message content) {
        const std::scoped_lock guard(this->lock);
        this->senders.push_back(from);
        this->messages.push_back(std::move(content));
        this->changed.notify_all();
    }

    bool wait_for(std::size_t number, gg::milliseconds longest = patience) {
        std::unique_lock guard(this->lock);
        return this->changed.wait_for(guard, longest,
                                      [&] { return this->messages.size() >= number; });
    }

    std::size_t size() {
        const std::scoped_lock guard(this->lock);
        return this->messages.size();
    }

    peer::sender sender_at(std::size_t index) {
        const std::scoped_lock guard(this->lock);
        return this->senders.at(index);
    }

    // Request ids of all `forward_cancel` messages, in order.
    std::vector<std::uint64_t> requests() {
        const std::scoped_lock guard(this->lock);
        std::vector<std::uint64_t> ids;
        for (const peer::message& content : this->messages) {
            if (const auto* cancel = std::get_if<peer::forward_cancel>(&content)) {
                ids.push_back(cancel->request.value());
            }
        }
        return ids;
    }

private:
    std::mutex lock;
    std::condition_variable changed;
    std::vector<peer::sender> senders;
    std::vector<peer::message> messages;
};

peer::transport_settings make_settings(const std::string& host, std::uint64_t instance = 1) {
    peer::transport_settings settings;
    settings.self = {gg::host_id(host), gg::incarnation(instance)};
    settings.listen = "127.0.0.1:0";
    settings.key = "a shared key of the daemons";
    return settings;
}

std::unique_ptr<peer::transport> make_transport(const peer::transport_settings& settings,
                                                inbox& received,
                                                peer::transport::drop_handler on_dropped = {}) {
    auto created = peer::transport::create(
        settings,
        [&received](const peer::sender& from, peer::message content) {
            received.add(from, std::move(content));
        },
        std::move(on_dropped));
    BOOST_TEST_REQUIRE(created.has_value());
    return std::move(created).value();
}

peer::message cancel_of(std::uint64_t request) {
    return peer::forward_cancel{gg::request_id(request)};
}

template <typename condition>
bool wait_until(condition holds, gg::milliseconds longest = patience) {
    const auto end = std::chrono::steady_clock::now() + longest;
    while (std::chrono::steady_clock::now() < end) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(gg::milliseconds(2));
    }
    return holds();
}

gg::milliseconds since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration_cast<gg::milliseconds>(std::chrono::steady_clock::now() - start);
}

// A listener that accepts connections in the kernel but never answers: a frozen peer.
class silent_listener {
public:
    silent_listener() : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_TEST_REQUIRE(
            bind(this->descriptor, reinterpret_cast<sockaddr*>(&local), sizeof(local)) == 0);
        BOOST_TEST_REQUIRE(::listen(this->descriptor, 16) == 0);
        socklen_t length = sizeof(local);
        getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&local), &length);
        this->port = ntohs(local.sin_port);
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;
    ~silent_listener() { close(this->descriptor); }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    int descriptor;
    std::uint16_t port = 0;
};

// An address at which nothing listens.
std::string closed_address() {
    const silent_listener listener;
    return listener.address();
}

// Opens a connection and waits until it is up.
void connect(peer::transport& from, const std::string& to) {
    BOOST_TEST_REQUIRE(!from.send(to, cancel_of(0)));
    BOOST_TEST_REQUIRE(wait_until([&] { return from.connected(to); }));
}

}  // namespace

// Guards against a first message that is lost although the peer is there, against reordering, and
// against a wrong sender.
BOOST_AUTO_TEST_CASE(messages_arrive_in_order_with_their_sender) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    const auto from = make_transport(make_settings("a", 9), unused);
    constexpr std::uint64_t count = 100;
    for (std::uint64_t request = 0; request < count; ++request) {
        BOOST_TEST_REQUIRE(!from->send(to->address(), cancel_of(request)));
    }
    BOOST_TEST_REQUIRE(received.wait_for(count));
    const std::vector<std::uint64_t> requests = received.requests();
    for (std::uint64_t request = 0; request < count; ++request) {
        BOOST_TEST_REQUIRE(requests.at(request) == request);
    }
    BOOST_TEST(
        (received.sender_at(0).host == gg::host_instance{gg::host_id("a"), gg::incarnation(9)}));
    BOOST_TEST(received.sender_at(0).address == from->address());
    BOOST_TEST(wait_until([&] { return from->counters().messages_sent == count; }));
    BOOST_TEST(to->counters().messages_received == count);
    BOOST_TEST(
        wait_until([&] { return to->counters().bytes_received == from->counters().bytes_sent; }));
}

// Guards against a caller that is not told that a message to an absent peer was never sent.
BOOST_AUTO_TEST_CASE(messages_to_an_absent_peer_are_handed_back) {
    inbox unused;
    inbox dropped;
    const std::string absent = closed_address();
    const auto from = make_transport(make_settings("a"), unused,
                                     [&dropped](const std::string& address, peer::message content) {
                                         dropped.add({{}, address}, std::move(content));
                                     });
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(!from->send(absent, cancel_of(1)));
    BOOST_TEST(!from->send(absent, cancel_of(2)));
    BOOST_TEST_REQUIRE(dropped.wait_for(2));
    BOOST_TEST(since(start).count() < 2'000);
    BOOST_TEST((dropped.requests() == std::vector<std::uint64_t>{1, 2}));
    BOOST_TEST(dropped.sender_at(0).address == absent);
    BOOST_TEST(from->send(absent, cancel_of(3)) == peer::peer_errc::not_connected);
    BOOST_TEST(!from->connected(absent));
    BOOST_TEST(from->counters().dropped == 2U);
    BOOST_TEST(from->counters().not_connected == 1U);
}

// Guards against orders from a process that does not know the key, and against an unauthenticated
// listener outside loopback.
BOOST_AUTO_TEST_CASE(wrong_keys_are_refused) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    peer::transport_settings settings = make_settings("a");
    settings.key = "another key";
    const auto from = make_transport(settings, unused);
    BOOST_TEST(!from->send(to->address(), cancel_of(1)));
    BOOST_TEST(wait_until([&] { return to->counters().refused_unauthenticated == 1; }));
    BOOST_TEST(received.size() == 0U);

    settings.key.clear();
    const auto plain = make_transport(settings, unused);
    BOOST_TEST(plain->send("10.255.255.1:7400", cancel_of(1)) == peer::peer_errc::key_required);
    settings.listen = "0.0.0.0:0";
    const auto refused = peer::transport::create(settings, [](const auto&, const auto&) {});
    BOOST_TEST(refused.error() == peer::peer_errc::key_required);
}

// Guards against addresses that would need a name service, and against listening twice.
BOOST_AUTO_TEST_CASE(invalid_addresses_are_refused) {
    inbox unused;
    const auto from = make_transport(make_settings("a"), unused);
    for (const char* address : {"", "localhost:7400", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                                "127.0.0.1:70000", "127.0.0.1:1x", "::1:7400", "[127.0.0.1]:1"}) {
        BOOST_TEST(from->send(address, cancel_of(1)) == peer::peer_errc::malformed_address);
    }
    peer::transport_settings settings = make_settings("b");
    settings.listen = from->address();
    const auto second = peer::transport::create(settings, [](const auto&, const auto&) {});
    BOOST_TEST(second.error() == peer::peer_errc::listen_failed);
}

// Guards against the same host's numbers of an earlier connection being accepted again: a second
// process with the same identity starts at sequence 1.
BOOST_AUTO_TEST_CASE(replayed_messages_are_refused) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    {
        const auto from = make_transport(make_settings("a", 9), unused);
        // Each message is awaited, so that each has a frame and a sequence number of its own.
        for (std::uint64_t request = 0; request < 3; ++request) {
            BOOST_TEST(!from->send(to->address(), cancel_of(request)));
            BOOST_TEST_REQUIRE(received.wait_for(request + 1));
        }
    }
    const auto replay = make_transport(make_settings("a", 9), unused);
    for (std::uint64_t request = 0; request < 3; ++request) {
        BOOST_TEST(!replay->send(to->address(), cancel_of(10 + request)));
        BOOST_TEST_REQUIRE(
            wait_until([&] { return to->counters().refused_replayed == request + 1; }));
    }
    BOOST_TEST(!replay->send(to->address(), cancel_of(13)));
    BOOST_TEST_REQUIRE(received.wait_for(4));
    BOOST_TEST(to->counters().refused_replayed == 3U);
    BOOST_TEST((received.requests() == std::vector<std::uint64_t>{0, 1, 2, 13}));
}

// Guards against a `send` that waits for a peer that does not read, and against a queue without
// bound.
BOOST_AUTO_TEST_CASE(a_full_queue_is_refused_at_once) {
    std::mutex blocked;
    std::unique_lock hold(blocked);
    auto created = peer::transport::create(make_settings("b"),
                                           [&blocked](const peer::sender&, const peer::message&) {
                                               const std::scoped_lock wait(blocked);
                                           });
    BOOST_TEST_REQUIRE(created.has_value());
    peer::transport_settings settings = make_settings("a");
    settings.queue_length = 8;
    inbox unused;
    const auto from = make_transport(settings, unused);
    const std::string to = (*created)->address();
    connect(*from, to);
    const peer::message large = peer::map_update{std::string(1024UL * 1024, 'm')};
    const auto start = std::chrono::steady_clock::now();
    std::error_code last;
    constexpr int most = 64;
    for (int sent = 0; sent < most && !last; ++sent) {
        last = from->send(to, large);
    }
    BOOST_TEST(last == peer::peer_errc::queue_full);
    BOOST_TEST(since(start).count() < 2'000);
    BOOST_TEST(from->counters().queue_full == 1U);
    BOOST_TEST(from->connected(to));
    hold.unlock();
    BOOST_TEST(wait_until([&] { return !from->send(to, cancel_of(1)); }));
}

// Guards against a message that the receiver would refuse by closing the connection.
BOOST_AUTO_TEST_CASE(messages_above_the_size_bound_are_refused) {
    inbox received;
    inbox unused;
    peer::transport_settings settings = make_settings("b");
    settings.message_bytes = 4096;
    const auto to = make_transport(settings, received);
    settings.self.host = gg::host_id("a");
    const auto from = make_transport(settings, unused);
    BOOST_TEST(from->send(to->address(), peer::map_update{std::string(4096, 'm')}) ==
               peer::peer_errc::message_too_large);
    BOOST_TEST(!from->send(to->address(), peer::map_update{std::string(3900, 'm')}));
    BOOST_TEST(received.wait_for(1));
}

// Guards against old messages that reach a restarted peer, and against a connection that is not
// opened again.
BOOST_AUTO_TEST_CASE(a_restarted_peer_gets_only_new_messages) {
    inbox before;
    inbox after;
    inbox unused;
    inbox dropped;
    auto to = make_transport(make_settings("b", 1), before);
    const std::string address = to->address();
    const auto from = make_transport(make_settings("a"), unused,
                                     [&dropped](const std::string& name, peer::message content) {
                                         dropped.add({{}, name}, std::move(content));
                                     });
    connect(*from, address);
    BOOST_TEST_REQUIRE(before.wait_for(1));
    to.reset();
    BOOST_TEST_REQUIRE(wait_until([&] { return !from->connected(address); }));
    BOOST_TEST(from->send(address, cancel_of(1)) == peer::peer_errc::not_connected);

    peer::transport_settings settings = make_settings("b", 2);
    settings.listen = address;
    const auto start = std::chrono::steady_clock::now();
    to = make_transport(settings, after);
    BOOST_TEST_REQUIRE(wait_until([&] { return from->connected(address); }));
    BOOST_TEST_MESSAGE("connected again after " << since(start).count() << " ms");
    BOOST_TEST(since(start).count() < 2'000);
    BOOST_TEST(!from->send(address, cancel_of(2)));
    BOOST_TEST_REQUIRE(after.wait_for(1));
    BOOST_TEST((after.requests() == std::vector<std::uint64_t>{2}));
}

// Guards against waiting messages that are delivered long after a peer stopped reading and broke
// the connection.
BOOST_AUTO_TEST_CASE(waiting_messages_are_handed_back_when_the_connection_breaks) {
    std::mutex blocked;
    std::unique_lock hold(blocked);
    inbox dropped;
    inbox unused;
    inbox after;
    auto to = peer::transport::create(make_settings("b", 1), [&blocked](const peer::sender&,
                                                                        const peer::message&) {
                  const std::scoped_lock wait(blocked);
              }).value();
    const std::string address = to->address();
    const auto from = make_transport(make_settings("a"), unused,
                                     [&dropped](const std::string& name, peer::message content) {
                                         dropped.add({{}, name}, std::move(content));
                                     });
    connect(*from, address);
    const peer::message large = peer::map_update{std::string(1024UL * 1024, 'm')};
    std::size_t accepted = 0;
    std::error_code last;
    while (!last && accepted < 64) {
        last = from->send(address, large);
        accepted += last ? 0 : 1;
    }
    BOOST_TEST_REQUIRE(last == peer::peer_errc::queue_full);
    hold.unlock();
    to.reset();
    BOOST_TEST_REQUIRE(wait_until([&] { return !from->connected(address); }));
    peer::transport_settings settings = make_settings("b", 2);
    settings.listen = address;
    const auto restarted = make_transport(settings, after);
    BOOST_TEST_REQUIRE(wait_until([&] { return from->connected(address); }));
    BOOST_TEST(!from->send(address, cancel_of(7)));
    BOOST_TEST_REQUIRE(after.wait_for(1));
    BOOST_TEST(after.size() == 1U);
    BOOST_TEST(wait_until([&] { return dropped.size() == from->counters().dropped; }));
    BOOST_TEST(dropped.size() > 0U);
    // Guards against frames that are neither freed nor given to nng.
    BOOST_TEST(wait_until([&] { return from->counters().frames_held == 0; }));
    BOOST_TEST_MESSAGE(accepted << " accepted, " << dropped.size() << " handed back");
}

// Guards against a broken or frozen peer that delays messages to another one.
BOOST_AUTO_TEST_CASE(a_broken_peer_does_not_delay_another) {
    inbox received;
    inbox unused;
    const silent_listener frozen;
    const std::string absent = closed_address();
    const auto to = make_transport(make_settings("b"), received);
    const auto from = make_transport(make_settings("a"), unused);
    connect(*from, to->address());
    BOOST_TEST_REQUIRE(received.wait_for(1));
    gg::milliseconds slowest{0};
    constexpr std::uint64_t count = 200;
    for (std::uint64_t request = 1; request <= count; ++request) {
        const auto start = std::chrono::steady_clock::now();
        static_cast<void>(from->send(frozen.address(), cancel_of(request)));
        static_cast<void>(from->send(absent, cancel_of(request)));
        BOOST_TEST_REQUIRE(!from->send(to->address(), cancel_of(request)));
        BOOST_TEST_REQUIRE(received.wait_for(request + 1));
        slowest = std::max(slowest, since(start));
    }
    BOOST_TEST_MESSAGE("slowest of " << count << " messages: " << slowest.count() << " ms");
    BOOST_TEST(slowest.count() < 100);
}

// Guards against a forgotten address that keeps its connection or cannot be used again.
BOOST_AUTO_TEST_CASE(a_forgotten_address_can_be_used_again) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    const auto from = make_transport(make_settings("a"), unused);
    connect(*from, to->address());
    from->forget(to->address());
    from->forget("127.0.0.1:1");
    BOOST_TEST(!from->connected(to->address()));
    BOOST_TEST(!from->send(to->address(), cancel_of(2)));
    BOOST_TEST(received.wait_for(2));
}

// Guards against a receiver that stops noticing closed connections after senders end in the middle
// of a transfer: nng reaps all connections of a process on one thread.
BOOST_AUTO_TEST_CASE(senders_may_end_in_the_middle_of_a_transfer) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    const peer::message large = peer::map_update{std::string(256UL * 1024, 'm')};
    constexpr std::uint64_t rounds = 60;
    constexpr int messages_per_round = 10;
    for (std::uint64_t round = 1; round <= rounds; ++round) {
        const auto from = make_transport(make_settings("a", round), unused);
        for (int sent = 0; sent < messages_per_round; ++sent) {
            static_cast<void>(from->send(to->address(), large));
        }
        BOOST_TEST(wait_until([&] { return from->connected(to->address()); }));
    }
    const auto last = make_transport(make_settings("c"), unused);
    const std::size_t before = received.size();
    BOOST_TEST(!last->send(to->address(), cancel_of(1)));
    BOOST_TEST(received.wait_for(before + 1));
    BOOST_TEST_MESSAGE(received.size() << " of " << rounds * messages_per_round
                                       << " messages arrived before their sender ended");
}

// Guards against data races between senders, and between senders and `forget`.
BOOST_AUTO_TEST_CASE(several_threads_may_send) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    peer::transport_settings settings = make_settings("a");
    settings.queue_length = 10'000;
    const auto from = make_transport(settings, unused);
    connect(*from, to->address());
    const std::string absent = closed_address();
    constexpr int threads = 4;
    constexpr std::uint64_t count = 1'000;
    std::vector<std::thread> senders;
    senders.reserve(threads);
    for (int thread = 0; thread < threads; ++thread) {
        senders.emplace_back([&] {
            for (std::uint64_t request = 0; request < count; ++request) {
                static_cast<void>(from->send(to->address(), cancel_of(request)));
                if (request % 100 == 0) {
                    static_cast<void>(from->send(absent, cancel_of(request)));
                    from->forget(absent);
                }
            }
        });
    }
    for (std::thread& sender : senders) {
        sender.join();
    }
    BOOST_TEST(received.wait_for(1 + threads * count));
    BOOST_TEST(to->counters().refused_replayed == 0U);
}

// Guards against a group of messages of which only some are sent or that arrives out of order.
BOOST_AUTO_TEST_CASE(groups_are_sent_whole_or_not_at_all) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    peer::transport_settings settings = make_settings("a");
    settings.queue_length = 4;
    const auto from = make_transport(settings, unused);
    std::vector<peer::message> group;
    for (std::uint64_t request = 0; request < 5; ++request) {
        group.push_back(cancel_of(request));
    }
    BOOST_TEST(from->send_all(to->address(), group) == peer::peer_errc::queue_full);
    group.pop_back();
    BOOST_TEST(!from->send_all(to->address(), group));
    BOOST_TEST_REQUIRE(received.wait_for(4));
    BOOST_TEST((received.requests() == std::vector<std::uint64_t>{0, 1, 2, 3}));
    BOOST_TEST(!from->send_all(to->address(), {}));
    group[3] = peer::map_update{std::string(settings.message_bytes, 'm')};
    BOOST_TEST(from->send_all(to->address(), group) == peer::peer_errc::message_too_large);
    BOOST_TEST(!from->send(to->address(), cancel_of(9)));
    BOOST_TEST_REQUIRE(received.wait_for(5));
    BOOST_TEST(received.size() == 5U);
}

// Prints the rate and the round trip time on loopback; asserts only that everything arrives.
BOOST_AUTO_TEST_CASE(throughput) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    const auto from = make_transport(make_settings("a"), unused);
    connect(*from, to->address());
    peer::forward_request request;
    request.method = "GET";
    request.body = std::string(512, 'b');
    constexpr std::size_t count = 50'000;
    const auto start = std::chrono::steady_clock::now();
    std::size_t sent = 0;
    while (sent < count && since(start) < gg::milliseconds(20'000)) {
        if (from->send(to->address(), request)) {
            std::this_thread::sleep_for(gg::microseconds(50));
        } else {
            ++sent;
        }
    }
    BOOST_TEST_REQUIRE(received.wait_for(sent + 1));
    const double seconds = std::max(0.001, static_cast<double>(since(start).count()) / 1000.0);
    BOOST_TEST_MESSAGE(sent << " messages of 512 bytes in " << seconds
                            << " s: " << static_cast<double>(sent) / seconds << " messages/s");
    BOOST_TEST(sent == count);
}

// Prints the processor time per message at a steady rate; asserts only that everything arrives.
BOOST_AUTO_TEST_CASE(cost_at_a_steady_rate) {
    inbox received;
    inbox unused;
    const auto to = make_transport(make_settings("b"), received);
    peer::transport_settings settings = make_settings("a");
    settings.queue_length = 12'000;
    const auto from = make_transport(settings, unused);
    connect(*from, to->address());
    peer::forward_request request;
    request.method = "GET";
    request.body = std::string(512, 'b');
    constexpr std::size_t messages_per_tick = 12;
    constexpr std::size_t ticks = 1'000;
    const std::clock_t processor = std::clock();
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t tick = 0; tick < ticks; ++tick) {
        std::this_thread::sleep_until(start + tick * gg::milliseconds(1));
        for (std::size_t sent = 0; sent < messages_per_tick; ++sent) {
            BOOST_TEST_REQUIRE(!from->send(to->address(), request));
        }
    }
    BOOST_TEST(received.wait_for(ticks * messages_per_tick + 1));
    const double used = static_cast<double>(std::clock() - processor) / CLOCKS_PER_SEC;
    BOOST_TEST_MESSAGE("12,000 messages/s: "
                       << used * 1e6 / static_cast<double>(ticks * messages_per_tick)
                       << " microseconds of processor time per message, both sides");
}
