#define BOOST_TEST_MODULE ownership
#include "ownership/grant.h"

#include "ownership/errors.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace gg = greengagechute;
namespace own = greengagechute::ownership;

namespace {

const gg::host_instance first_host{gg::host_id("first"), gg::incarnation(1)};
const gg::host_instance second_host{gg::host_id("second"), gg::incarnation(2)};
const own::held_partition seven{gg::partition_id(7), gg::epoch(3)};

own::server_state make_server() {
    own::server_state state;
    state.boot = own::boot_id(5);
    return state;
}

own::grant make_grant(const gg::host_instance& holder, std::uint64_t epoch, std::uint64_t base,
                      std::uint64_t set_version, std::int64_t end) {
    own::grant offered_grant;
    offered_grant.holder = holder;
    offered_grant.dispatcher_epoch = gg::epoch(epoch);
    offered_grant.expected_epoch = gg::epoch(base);
    offered_grant.set_version = set_version;
    offered_grant.partitions = {seven};
    offered_grant.boot = own::boot_id(5);
    offered_grant.end = own::server_time(end);
    return offered_grant;
}

}  // namespace

// Guards against a server that runs work without a grant, after its end, or at another epoch.
BOOST_AUTO_TEST_CASE(work_needs_a_matching_grant) {
    own::server_state server = make_server();
    const auto check = [&server](const own::held_partition& wanted, std::uint64_t epoch, int now) {
        return own::check_run(server, wanted, gg::epoch(epoch), own::server_time(now));
    };
    BOOST_TEST(check(seven, 0, 0) == own::ownership_errc::no_grant);
    BOOST_TEST(own::apply_grant(server, make_grant(first_host, 1, 0, 1, 800), own::server_time(0))
                   .accepted);
    BOOST_TEST(!check(seven, 1, 799));
    BOOST_TEST(check(seven, 1, 800) == own::ownership_errc::grant_ended);
    BOOST_TEST(check(seven, 2, 10) == own::ownership_errc::wrong_dispatcher_epoch);
    BOOST_TEST(check({gg::partition_id(7), gg::epoch(2)}, 1, 10) ==
               own::ownership_errc::wrong_partition_epoch);
    BOOST_TEST(check({gg::partition_id(8), gg::epoch(3)}, 1, 10) ==
               own::ownership_errc::partition_not_held);
    BOOST_TEST(own::may_run(server, seven, gg::epoch(1), own::server_time(10)));
}

// Guards against delayed grants of the same dispatcher that shorten the grant in force or restore
// an old set.
BOOST_AUTO_TEST_CASE(renewals_are_ordered) {
    own::server_state server = make_server();
    own::apply_grant(server, make_grant(first_host, 1, 0, 2, 800), own::server_time(0));
    BOOST_TEST(!own::apply_grant(server, make_grant(first_host, 1, 0, 1, 900), own::server_time(10))
                    .accepted);
    BOOST_TEST(own::apply_grant(server, make_grant(first_host, 1, 0, 2, 700), own::server_time(10))
                   .accepted);
    BOOST_TEST(server.end.value() == 800);
    BOOST_TEST(
        !own::apply_grant(server, make_grant(first_host, 1, 0, 3, 900), own::server_time(900))
             .accepted);
}

// Guards against two hosts whose grants the same server accepts.
BOOST_AUTO_TEST_CASE(claim_is_compare_and_set) {
    own::server_state server = make_server();
    own::apply_grant(server, make_grant(first_host, 1, 0, 4, 800), own::server_time(0));
    const auto claim = [&server](std::uint64_t epoch, std::uint64_t base, std::uint64_t set) {
        return own::apply_grant(server, make_grant(second_host, epoch, base, set, 900),
                                own::server_time(10))
            .accepted;
    };
    BOOST_TEST(!claim(1, 1, 5));
    BOOST_TEST(!claim(2, 0, 5));
    BOOST_TEST(!claim(2, 1, 4));
    BOOST_TEST(claim(2, 1, 5));
    BOOST_TEST(!own::apply_grant(server, make_grant(first_host, 1, 0, 9, 900), own::server_time(20))
                    .accepted);
    BOOST_TEST((server.holder == second_host));
}

// Guards against a restarted server that accepts a grant for its former run.
BOOST_AUTO_TEST_CASE(grant_for_another_run_is_refused) {
    own::server_state server = make_server();
    server.boot = own::boot_id(6);
    BOOST_TEST(!own::apply_grant(server, make_grant(first_host, 1, 0, 1, 800), own::server_time(0))
                    .accepted);
}

// Guards against duplicate error codes and codes outside the range of the library.
BOOST_AUTO_TEST_CASE(error_codes_are_unique_and_in_range) {
    std::set<int> numbers;
    for (const gg::error_entry& entry : own::error_table()) {
        BOOST_TEST((entry.number >= 400 && entry.number < 500));
        BOOST_TEST(numbers.insert(entry.number).second);
    }
}
