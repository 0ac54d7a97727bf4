#include "dispatch/cold_allowance.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace greengagechute::dispatch {

namespace {

using namespace std::chrono_literals;

constexpr time_point start = time_point{} + 100s;
constexpr double requests_per_s = 4.1;
/// Bound of the users: one and a half times the rate and eight requests in any second.
constexpr double max_in_a_second = 1.5 * requests_per_s + 8;

cold_server make_server(const std::string& id, const std::string& data_centre,
                        const std::string& region) {
    return {{server_id(id), 1}, data_centre_id(data_centre), region_id(region), requests_per_s};
}

borrower make_host(const std::string& id, const std::string& data_centre,
                   const std::string& region) {
    return {host_id(id), data_centre_id(data_centre), region_id(region)};
}

std::vector<borrower> make_hosts(int count) {
    std::vector<borrower> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        hosts.push_back(make_host("h" + std::to_string(number), "a", "r"));
    }
    return hosts;
}

/// The one host that holds the allowance of the server; empty if none does.
std::string holder_of(const loan_book& book, const cold_server& server) {
    const auto found = book.loans.find(server.server);
    return found == book.loans.end() ? std::string() : found->second.host.value();
}

loan_book make_book() {
    loan_book book;
    book.lends_from = start;
    return book;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_allowance)

// Guards against flooding a cold server: 1,400 hosts that all have requests for it all the time,
// some of them lost and coordinators replaced at any moment, together send no more in any second
// than the users' bound.
RC_BOOST_PROP(sum_over_all_hosts_is_bounded, ()) {
    constexpr int hosts = 1'400;
    std::vector<borrower> live = make_hosts(hosts);
    const cold_server server = make_server("s", "a", "r");
    loan_book book = make_book();
    std::map<std::string, held_loan> held;
    std::deque<time_point> sent;
    const auto lose_holder_at = start + milliseconds(*rc::gen::inRange(0, 5'000));
    const auto replace_at = start + milliseconds(*rc::gen::inRange(0, 5'000));
    const auto held_for = milliseconds(*rc::gen::inRange(0, 400));
    bool lost = false;
    bool replaced = false;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        if (!replaced && now >= replace_at) {
            replaced = true;
            book = make_loan_book(0ms, now);
        }
        lend(book, {server}, live, now);
        const std::string holder = holder_of(book, server);
        if (!holder.empty()) {
            const auto end = loan_end(book, server.server, host_id(holder));
            RC_ASSERT(end.has_value());
            // The report was sent before the coordinator answered it.
            extend(held[holder], requests_per_s, *end - held_for, now);
        }
        if (!lost && !holder.empty() && now >= lose_holder_at) {
            // The coordinator no longer hears the host, which goes on with its loan.
            lost = true;
            std::erase_if(live,
                          [&holder](const borrower& host) { return host.host.value() == holder; });
        }
        for (auto& [host, loan] : held) {
            while (has_credit(loan, now)) {
                take(loan, now);
                sent.push_back(now);
            }
        }
        while (!sent.empty() && sent.front() <= now - 1s) {
            sent.pop_front();
        }
        RC_ASSERT(static_cast<double>(sent.size()) <= max_in_a_second);
    }
}

// Guards against an allowance that nobody may use: the load of a cold server would stay away for
// the whole of its cold time.
BOOST_AUTO_TEST_CASE(holder_sends_at_the_rate_of_the_allowance) {
    held_loan loan;
    extend(loan, requests_per_s, start + 10s, start);
    int sent = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        if (has_credit(loan, now)) {
            take(loan, now);
            ++sent;
        }
    }
    BOOST_TEST(sent >= 38);
    BOOST_TEST(sent <= 41);
    BOOST_TEST(!has_credit(loan, start + 10s));
}

// Guards against a burst after a pause in which nothing was sent.
BOOST_AUTO_TEST_CASE(unused_allowance_is_not_saved) {
    held_loan loan;
    extend(loan, requests_per_s, start + 10s, start);
    BOOST_TEST(has_credit(loan, start + 9s));
    take(loan, start + 9s);
    BOOST_TEST(!has_credit(loan, start + 9s));
}

// Guards against two holders at once when the holder is lost or the coordinator is replaced.
BOOST_AUTO_TEST_CASE(allowance_is_lent_again_after_the_loan_has_ended) {
    loan_book book = make_book();
    const cold_server server = make_server("s", "a", "r");
    std::vector<borrower> hosts = make_hosts(3);
    lend(book, {server}, hosts, start);
    const std::string first = holder_of(book, server);
    std::erase_if(hosts, [&first](const borrower& host) { return host.host.value() == first; });
    lend(book, {server}, hosts, start + loan_duration - 1ms);
    BOOST_TEST(holder_of(book, server) == first);
    lend(book, {server}, hosts, start + loan_duration);
    BOOST_TEST(!holder_of(book, server).empty());
    BOOST_TEST(holder_of(book, server) != first);

    loan_book next = make_loan_book(2s, start);
    lend(next, {server}, hosts, start + 2s + loan_duration - 1ms);
    BOOST_TEST(holder_of(next, server).empty());
    lend(next, {server}, hosts, start + 2s + loan_duration);
    BOOST_TEST(!holder_of(next, server).empty());
}

// Guards against lending an allowance to a host that the traffic between regions keeps from using
// it, and against lending the allowances of a whole data centre to one host.
BOOST_AUTO_TEST_CASE(near_hosts_get_allowances_and_share_them) {
    loan_book book = make_book();
    std::vector<borrower> hosts{make_host("far", "c", "q"), make_host("region", "b", "r")};
    std::vector<cold_server> servers{make_server("s", "a", "r")};
    lend(book, servers, hosts, start);
    BOOST_TEST(holder_of(book, servers[0]) == "region");
    hosts.push_back(make_host("near1", "a", "r"));
    hosts.push_back(make_host("near2", "a", "r"));
    std::map<std::string, int> loans;
    book = make_book();
    servers.clear();
    for (int number = 0; number < 40; ++number) {
        servers.push_back(make_server("s" + std::to_string(number), "a", "r"));
    }
    lend(book, servers, hosts, start);
    for (const cold_server& server : servers) {
        ++loans[holder_of(book, server)];
    }
    BOOST_TEST(loans["near1"] + loans["near2"] == 40);
    BOOST_TEST(std::min(loans["near1"], loans["near2"]) > 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::dispatch
