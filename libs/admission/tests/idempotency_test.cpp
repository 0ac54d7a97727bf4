#include "admission/idempotency.h"

#include "base/uuid.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;
using admission::admission_errc;
using admission::begin_action;
using gg::milliseconds;

namespace {

const gg::wall_time wall_start{milliseconds(1'764'820'000'000)};
const gg::time_point start{std::chrono::hours(1)};

/// An idempotency table with a wall clock and a monotonic clock that are set by the test.
struct fixture {
    explicit fixture(const admission::idempotency_limits& limits = {})
        : table(admission::make_empty_idempotency_table(limits)) {}

    std::string new_id(milliseconds ahead = milliseconds(0)) {
        return gg::make_uuid7(this->wall + ahead, this->generator);
    }

    admission::begin_result begin(const std::string& id, std::uint64_t request,
                                  std::uint64_t fingerprint = 1) {
        return admission::begin(this->table, id, gg::request_id(request), fingerprint, this->wall,
                                this->now);
    }

    std::vector<gg::request_id> complete(const std::string& id, gg::outcome state,
                                         const std::string& body = "done") {
        return admission::complete(this->table, id, state, {200, {{"A", "b"}}, body}, this->now);
    }

    void advance(milliseconds time) {
        this->wall += time;
        this->now += time;
    }

    gg::wall_time wall = wall_start;
    gg::time_point now = start;
    std::mt19937_64 generator{3};
    admission::idempotency_table table;
};

bool is_refused(const admission::begin_result& result, admission_errc code, gg::outcome state) {
    return result.action == begin_action::refuse && result.code == code && result.state == state;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(idempotency)

// Guards against a request that runs a second time when its caller retries it.
BOOST_AUTO_TEST_CASE(duplicates_wait_or_get_the_stored_response) {
    fixture test;
    const std::string id = test.new_id();
    BOOST_CHECK(test.begin(id, 1).action == begin_action::run);
    BOOST_CHECK(test.begin(id, 2).action == begin_action::joined);
    BOOST_TEST(admission::leave(test.table, id, gg::request_id(1)) == 1U);
    const auto waiting = test.complete(id, gg::outcome::answered);
    BOOST_TEST_REQUIRE(waiting.size() == 1U);
    BOOST_TEST(waiting.front().value() == 2U);
    const auto again = test.begin(id, 3);
    BOOST_CHECK(again.action == begin_action::replay);
    BOOST_TEST(again.answer.status == 200);
    BOOST_TEST(again.answer.body == "done");
    BOOST_CHECK(is_refused(test.begin(id, 4, 99), admission_errc::id_reused, gg::outcome::not_run));
    BOOST_TEST(test.complete(id, gg::outcome::unknown).empty());
}

// Guards against a refused request whose retry is rejected, and against a retry that runs although
// the outcome of the first attempt is unknown.
BOOST_AUTO_TEST_CASE(only_work_that_did_not_run_may_run_again) {
    fixture test;
    const std::string id = test.new_id();
    static_cast<void>(test.begin(id, 1));
    BOOST_TEST(admission::withdraw(test.table, id).size() == 1U);
    BOOST_CHECK(test.begin(id, 2).action == begin_action::run);
    static_cast<void>(test.complete(id, gg::outcome::unknown));
    BOOST_TEST(admission::withdraw(test.table, id).empty());
    BOOST_CHECK(is_refused(test.begin(id, 3), admission_errc::earlier_outcome_unknown,
                           gg::outcome::unknown));
}

// Guards against a dispatcher that, after a takeover without records, runs requests which its
// predecessor may have run.
BOOST_AUTO_TEST_CASE(unseen_ids_from_before_a_takeover_are_unknown) {
    fixture test;
    test.table = admission::make_idempotency_table({}, test.wall);
    BOOST_CHECK(is_refused(test.begin(test.new_id(milliseconds(-1)), 1),
                           admission_errc::id_not_known, gg::outcome::unknown));
    BOOST_CHECK(is_refused(test.begin(test.new_id(milliseconds(250)), 2),
                           admission_errc::id_not_known, gg::outcome::unknown));
    test.advance(milliseconds(1));
    BOOST_CHECK(test.begin(test.new_id(milliseconds(250)), 3).action == begin_action::run);
    BOOST_CHECK(is_refused(test.begin(test.new_id(milliseconds(251)), 4),
                           admission_errc::id_in_future, gg::outcome::not_run));
}

// Guards against accepting ids without a valid timestamp, and against forwarding an id before the
// clock of the entry host reaches its timestamp: a dispatcher that takes over would consider it
// new and run it again.
BOOST_AUTO_TEST_CASE(entry_hosts_delay_ids_with_future_timestamps) {
    fixture test;
    const auto wait = [&](milliseconds ahead) {
        return admission::forwarding_delay(test.new_id(ahead), test.wall);
    };
    BOOST_TEST(wait(milliseconds(-5'000)).value().count() == 0);
    BOOST_TEST(wait(milliseconds(0)).value().count() == 0);
    BOOST_TEST(wait(milliseconds(1)).value().count() == 1);
    BOOST_TEST(wait(milliseconds(2'000)).value().count() == 2'000);
    BOOST_TEST(wait(milliseconds(2'001)).error() == admission_errc::id_in_future);
    BOOST_TEST(admission::forwarding_delay("1", test.wall).error() == admission_errc::invalid_id);
    BOOST_CHECK(is_refused(test.begin("1", 1), admission_errc::invalid_id, gg::outcome::not_run));
}

// Guards against running an id again after its record was evicted for its age or lack of room.
BOOST_AUTO_TEST_CASE(evicted_records_are_never_run_again) {
    admission::idempotency_limits limits;
    limits.records = 2;
    limits.age = milliseconds(1'000);
    fixture test(limits);
    const std::string first = test.new_id();
    static_cast<void>(test.begin(first, 1));
    static_cast<void>(test.complete(first, gg::outcome::answered));
    test.advance(milliseconds(10));
    const std::string second = test.new_id();
    static_cast<void>(test.begin(second, 2));
    const std::string third = test.new_id();
    BOOST_CHECK(test.begin(third, 3).action == begin_action::run);
    BOOST_CHECK(
        is_refused(test.begin(first, 4), admission_errc::id_not_known, gg::outcome::unknown));
    BOOST_CHECK(is_refused(test.begin(test.new_id(), 5), admission_errc::too_many_ids,
                           gg::outcome::not_run));
    static_cast<void>(test.complete(third, gg::outcome::answered));
    test.advance(milliseconds(1'000));
    BOOST_CHECK(
        is_refused(test.begin(third, 6), admission_errc::id_not_known, gg::outcome::unknown));
    BOOST_TEST(test.table.entries.size() == 1U);
    BOOST_TEST(test.table.response_bytes == 0U);
}

// Guards against unbounded memory for stored responses and for duplicates that wait.
BOOST_AUTO_TEST_CASE(stored_responses_and_duplicates_are_limited) {
    admission::idempotency_limits limits;
    limits.response_bytes = 100;
    limits.total_response_bytes = 150;
    limits.joined = 2;
    fixture test(limits);
    const std::vector<std::string> ids{test.new_id(), test.new_id(), test.new_id()};
    for (const std::string& id : ids) {
        static_cast<void>(test.begin(id, 1));
    }
    static_cast<void>(test.complete(ids[0], gg::outcome::answered, std::string(101, 'x')));
    static_cast<void>(test.complete(ids[1], gg::outcome::answered, std::string(90, 'x')));
    const auto too_large = test.begin(ids[0], 2);
    BOOST_CHECK(is_refused(too_large, admission_errc::answer_not_kept, gg::outcome::answered));
    BOOST_TEST(too_large.answer.status == 200);
    BOOST_CHECK(test.begin(ids[1], 2).action == begin_action::replay);
    static_cast<void>(test.complete(ids[2], gg::outcome::answered, std::string(90, 'x')));
    BOOST_CHECK(
        is_refused(test.begin(ids[1], 3), admission_errc::answer_not_kept, gg::outcome::answered));
    BOOST_TEST(test.table.response_bytes == 92U);
    const std::string busy = test.new_id();
    for (std::uint64_t request = 1; request <= 3; ++request) {
        BOOST_CHECK(test.begin(busy, request).action != begin_action::refuse);
    }
    // The request is in flight, so the outcome must not be "not run".
    BOOST_CHECK(
        is_refused(test.begin(busy, 4), admission_errc::too_many_ids, gg::outcome::unknown));
}

// Guards against a planned hand-over that loses outcomes, or that refuses new requests as a
// takeover without records does.
BOOST_AUTO_TEST_CASE(records_are_handed_over) {
    fixture old;
    const std::string done = old.new_id();
    const std::string running = old.new_id();
    static_cast<void>(old.begin(done, 1));
    static_cast<void>(old.complete(done, gg::outcome::answered));
    static_cast<void>(old.begin(running, 2));
    fixture next;
    next.table = admission::make_idempotency_table({}, next.wall);
    admission::import_records(next.table, admission::export_records(old.table), next.now);
    BOOST_CHECK(next.begin(done, 3).action == begin_action::replay);
    BOOST_CHECK(is_refused(next.begin(running, 4), admission_errc::earlier_outcome_unknown,
                           gg::outcome::unknown));
    BOOST_CHECK(next.begin(old.new_id(milliseconds(-5'000)), 5).action == begin_action::run);
    admission::idempotency_limits small;
    small.records = 1;
    fixture last(small);
    admission::import_records(last.table, admission::export_records(old.table), last.now);
    BOOST_CHECK(
        is_refused(last.begin(done, 6), admission_errc::id_not_known, gg::outcome::unknown));
}

// Guards against an id that runs twice, in any sequence of retries, withdrawals, takeovers,
// hand-overs and evictions.
RC_BOOST_PROP(each_id_runs_at_most_once, ()) {
    admission::idempotency_limits limits;
    limits.records = 4;
    limits.age = milliseconds(500);
    fixture test(limits);
    std::vector<std::string> ids;
    std::set<std::string> in_flight;
    std::set<std::string> ran;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 1'000)));
    std::uint64_t request = 0;
    for (const auto& [operation, argument] : steps) {
        const auto position = static_cast<std::size_t>(argument);
        if (operation == 0 || ids.empty()) {
            ids.push_back(test.new_id(milliseconds(argument * 4 - 2'000)));
        }
        const std::string id = ids[position % ids.size()];
        if (operation <= 3) {
            if (test.begin(id, ++request).action == begin_action::run) {
                RC_ASSERT(ran.count(id) == 0U);
                ran.insert(id);
                in_flight.insert(id);
            }
        } else if (operation == 4 && in_flight.erase(id) == 1U) {
            RC_ASSERT(!test.complete(id, gg::outcome::answered).empty());
        } else if (operation == 5 && in_flight.erase(id) == 1U) {
            RC_ASSERT(!admission::withdraw(test.table, id).empty());
            ran.erase(id);
        } else if (operation == 6) {
            test.advance(milliseconds(argument));
        } else if (operation == 7) {
            const auto exported = admission::export_records(test.table);
            test.table = admission::make_idempotency_table(limits, test.wall);
            in_flight.clear();
            if (argument % 2 == 0) {
                admission::import_records(test.table, exported, test.now);
            }
        }
        RC_ASSERT(test.table.entries.size() <= limits.records);
    }
}

BOOST_AUTO_TEST_SUITE_END()
