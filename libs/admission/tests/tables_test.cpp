#include "admission/quarantine.h"
#include "admission/retry_budget.h"
#include "admission/shared_reads.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <chrono>
#include <deque>
#include <utility>
#include <vector>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;
using admission::read_role;
using gg::milliseconds;

namespace {

const gg::time_point start{std::chrono::hours(1)};
const gg::service_id service("s");

gg::request_id request(std::uint64_t number) {
    return gg::request_id(number);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against a configured ratio of retries that is ignored or exceeded.
BOOST_AUTO_TEST_CASE(retry_ratio_is_configurable) {
    admission::retry_budget budget = admission::make_retry_budget(true, start);
    budget.per_thousand = 170;
    for (int count = 0; count < 100; ++count) {
        admission::record_first_try(budget, start);
    }
    int granted = 0;
    while (granted < 100 && admission::try_acquire_retry(budget, start)) {
        ++granted;
    }
    BOOST_TEST(granted == 17);
}

// Guards against retries that exceed a tenth of the first tries in any window and so overload a
// failing service.
RC_BOOST_PROP(retries_stay_within_a_tenth_of_first_tries, ()) {
    admission::retry_budget budget = admission::make_retry_budget(true, start);
    gg::time_point now = start;
    std::deque<gg::time_point> first_tries;
    std::deque<gg::time_point> retries;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        1'000, rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 20)));
    for (const auto& [operation, pause] : steps) {
        now += milliseconds(pause);
        if (operation > 0) {
            admission::record_first_try(budget, now);
            first_tries.push_back(now);
            continue;
        }
        if (!admission::try_acquire_retry(budget, now)) {
            continue;
        }
        retries.push_back(now);
        const auto drop_old = [now](std::deque<gg::time_point>& times) {
            while (!times.empty() && times.front() <= now - admission::retry_window) {
                times.pop_front();
            }
        };
        drop_old(first_tries);
        drop_old(retries);
        RC_ASSERT(retries.size() * 10 <= first_tries.size());
    }
}

// Guards against a budget that allows no retries, and against a disabled one that still limits
// them.
BOOST_AUTO_TEST_CASE(budget_is_a_tenth) {
    admission::retry_budget budget = admission::make_retry_budget(true, start);
    for (int count = 0; count < 100; ++count) {
        admission::record_first_try(budget, start + milliseconds(count));
    }
    int allowed = 0;
    for (int count = 0; count < 100; ++count) {
        allowed += admission::try_acquire_retry(budget, start + milliseconds(500)) ? 1 : 0;
    }
    BOOST_TEST(allowed == 10);
    BOOST_TEST(!admission::try_acquire_retry(budget, start + milliseconds(5'000)));
    admission::retry_budget baseline = admission::make_retry_budget(false, start);
    BOOST_TEST(admission::try_acquire_retry(baseline, start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quarantine)

// Guards against a request that crashes a third server, and against a quarantine that never ends.
BOOST_AUTO_TEST_CASE(second_loss_starts_a_quarantine) {
    auto table = admission::make_quarantine_table({});
    const auto crash = admission::fingerprint_of(service, "k", "POST", "/crash", "body");
    BOOST_TEST(crash != admission::fingerprint_of(service, "k", "POST", "/crash", "other"));
    const auto first = admission::record_loss(table, crash, start);
    BOOST_TEST(first.losses == 1U);
    BOOST_TEST(!admission::is_quarantined(table, crash, start));
    const auto second = admission::record_loss(table, crash, start);
    BOOST_TEST(second.losses == 2U);
    BOOST_TEST(admission::is_quarantined(table, crash, start + milliseconds(599'999)));
    BOOST_TEST(!admission::is_quarantined(table, crash, start + milliseconds(600'000)));
    BOOST_TEST(admission::record_loss(table, crash, start + milliseconds(600'000)).losses == 1U);
}

// Guards against a new dispatcher that counts losses from zero, and against notices whose remaining
// time exceeds the quarantine or is negative.
BOOST_AUTO_TEST_CASE(notices_carry_the_count) {
    auto table = admission::make_quarantine_table({});
    admission::import_notice(table, {7, 1, milliseconds(600'000)}, start);
    BOOST_TEST(admission::record_loss(table, 7, start).losses == 2U);
    admission::import_notice(table, {7, 1, milliseconds(1)}, start);
    BOOST_TEST(admission::is_quarantined(table, 7, start + milliseconds(100)));
    admission::import_notice(table, {8, 2, std::chrono::hours(1'000)}, start);
    BOOST_TEST(!admission::is_quarantined(table, 8, start + milliseconds(600'000)));
    admission::import_notice(table, {9, 2, milliseconds(-1)}, start);
    BOOST_TEST(!admission::is_quarantined(table, 9, start));
}

// Guards against one loss that counts as often as hosts report it.
BOOST_AUTO_TEST_CASE(each_lost_server_counts_once) {
    admission::quarantine_limits limits;
    limits.losses = 3;
    auto table = admission::make_quarantine_table(limits);
    for (const std::uint64_t server : {1U, 1U, 2U, 1U, 2U}) {
        static_cast<void>(admission::record_loss(table, 7, server, start));
    }
    BOOST_TEST(admission::losses_of(table, 7, start) == 2U);
    BOOST_TEST(!admission::is_quarantined(table, 7, start));
    BOOST_TEST(admission::record_loss(table, 7, 3, start).has_value());
    BOOST_TEST(admission::is_quarantined(table, 7, start));
}

// Guards against a sound request that is refused for good, and against one that crashes servers and
// is tried again at short intervals for ever.
BOOST_AUTO_TEST_CASE(quarantined_request_is_tried_again_ever_later) {
    admission::quarantine_limits limits;
    limits.losses = 3;
    limits.duration = milliseconds(100);
    limits.longest = milliseconds(300);
    limits.probation = milliseconds(1'000);
    limits.stagger = milliseconds(10);
    auto table = admission::make_quarantine_table(limits);
    gg::time_point now = start;
    std::uint64_t server = 0;
    while (!admission::is_quarantined(table, 7, now)) {
        static_cast<void>(admission::record_loss(table, 7, ++server, now));
    }
    BOOST_TEST(server == 3U);
    for (const int expected : {110, 210, 310, 310}) {
        const milliseconds left = admission::time_left(table, 7, now);
        BOOST_TEST(left.count() == expected);
        now += left;
        BOOST_TEST(!admission::is_quarantined(table, 7, now));
        static_cast<void>(admission::record_loss(table, 7, ++server, now));
    }
    BOOST_TEST(admission::forgive(table, 7));
    BOOST_TEST(!admission::is_quarantined(table, 7, now));
    BOOST_TEST(admission::losses_of(table, 7, now) == 0U);
    static_cast<void>(admission::record_loss(table, 8, 1, now));
    BOOST_TEST(admission::losses_of(table, 8, now + milliseconds(1'100)) == 0U);
}

// Guards against a table that grows without limit, and against evicting a quarantined request when
// many other losses are reported.
BOOST_AUTO_TEST_CASE(table_is_bounded) {
    admission::quarantine_limits limits;
    limits.entries = 8;
    auto table = admission::make_quarantine_table(limits);
    admission::import_notice(table, {1, 2, milliseconds(600'000)}, start);
    for (std::uint64_t fingerprint = 2; fingerprint < 100; ++fingerprint) {
        static_cast<void>(admission::record_loss(table, fingerprint, start));
    }
    BOOST_TEST(table.entries.size() == 8U);
    BOOST_TEST(admission::is_quarantined(table, 1, start));
    admission::expire(table, start + milliseconds(600'000));
    BOOST_TEST(table.entries.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(shared_reads)

// Guards against equal reads that are sent more than once, and against a response that is shared
// with a different read.
BOOST_AUTO_TEST_CASE(equal_reads_share_an_answer) {
    auto table = admission::make_shared_read_table({});
    const auto key = admission::read_key(table, service, "k", "GET", "/a", "");
    BOOST_TEST(key != admission::read_key(table, service, "k", "GET", "/b", ""));
    BOOST_TEST(key != admission::read_key(table, service, "k", "GET", "/a", "en"));
    BOOST_CHECK(admission::join_read(table, key, request(1)) == read_role::leader);
    BOOST_CHECK(admission::join_read(table, key, request(2)) == read_role::follower);
    BOOST_TEST(admission::record_received_bytes(table, key, 100).empty());
    BOOST_CHECK(admission::join_read(table, key, request(3)) == read_role::follower);
    BOOST_TEST(!admission::leave_read(table, key, request(1)));
    BOOST_TEST(admission::record_delivered_bytes(table, key, request(2), 100) == 0U);
    BOOST_TEST(admission::record_delivered_bytes(table, key, request(3), 60) == 60U);
    BOOST_CHECK(admission::join_read(table, key, request(4)) == read_role::unshared);
    admission::complete_read(table, key);
    BOOST_TEST(table.buffered_bytes == 40U);
    BOOST_TEST(admission::record_delivered_bytes(table, key, request(3), 40) == 100U);
    BOOST_TEST(table.reads.empty());
    BOOST_TEST(table.buffered_bytes == 0U);
}

// Guards against a stale response: a read that starts after an acknowledged write must not join one
// that may have run before it.
BOOST_AUTO_TEST_CASE(reads_after_a_write_do_not_join_earlier_reads) {
    auto table = admission::make_shared_read_table({});
    const auto before = admission::read_key(table, service, "k", "GET", "/a", "");
    BOOST_CHECK(admission::join_read(table, before, request(1)) == read_role::leader);
    admission::record_write(table, service, "k");
    const auto after = admission::read_key(table, service, "k", "GET", "/a", "");
    BOOST_CHECK(admission::join_read(table, after, request(2)) == read_role::leader);
}

// Guards against unbounded buffers for slow callers, and against a read that continues after its
// last caller left.
BOOST_AUTO_TEST_CASE(slow_callers_are_dropped) {
    admission::shared_read_limits limits;
    limits.bytes_per_read = 100;
    auto table = admission::make_shared_read_table(limits);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        static_cast<void>(admission::join_read(table, 1, request(number)));
    }
    BOOST_TEST(admission::record_received_bytes(table, 1, 100).empty());
    static_cast<void>(admission::record_delivered_bytes(table, 1, request(2), 100));
    static_cast<void>(admission::record_delivered_bytes(table, 1, request(3), 50));
    const auto dropped = admission::record_received_bytes(table, 1, 50);
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped.front().value() == 1U);
    BOOST_TEST(table.buffered_bytes == 100U);
    BOOST_TEST(!admission::leave_read(table, 1, request(2)));
    BOOST_TEST(admission::leave_read(table, 1, request(3)));
    BOOST_TEST(table.buffered_bytes == 0U);
    static_cast<void>(admission::join_read(table, 2, request(4)));
    BOOST_TEST(admission::fail_read(table, 2).size() == 1U);
    table.limits.enabled = false;
    BOOST_CHECK(admission::join_read(table, 3, request(5)) == read_role::unshared);
}

// Guards against a total of buffered bytes that differs from the sum over the reads: too high, it
// would prevent sharing; too low, it would exceed the memory limit.
RC_BOOST_PROP(buffered_bytes_match_the_reads, ()) {
    admission::shared_read_limits limits;
    limits.bytes_per_read = 60;
    limits.total_bytes = 100;
    auto table = admission::make_shared_read_table(limits);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 60)));
    for (const auto& [operation, argument] : steps) {
        const auto key = static_cast<std::uint64_t>(argument % 3);
        const gg::request_id caller = request(static_cast<std::uint64_t>(argument % 5));
        const auto bytes = static_cast<std::uint64_t>(argument);
        switch (operation) {
            case 0:
            case 1:
                static_cast<void>(admission::join_read(table, key, caller));
                break;
            case 2:
            case 3:
                static_cast<void>(admission::record_received_bytes(table, key, bytes));
                break;
            case 4:
                static_cast<void>(admission::record_delivered_bytes(table, key, caller, bytes));
                break;
            case 5:
                static_cast<void>(admission::leave_read(table, key, caller));
                break;
            case 6:
                admission::complete_read(table, key);
                break;
            default:
                static_cast<void>(admission::fail_read(table, key));
                break;
        }
        std::size_t buffered = 0;
        for (const auto& [number, read] : table.reads) {
            const std::size_t own = read.received - read.buffered_from;
            buffered += own;
            RC_ASSERT(!read.callers.empty());
            RC_ASSERT(read.callers.size() == 1U || own <= limits.bytes_per_read);
        }
        RC_ASSERT(table.buffered_bytes == buffered);
    }
}

BOOST_AUTO_TEST_SUITE_END()
