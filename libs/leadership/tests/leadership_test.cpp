#define BOOST_TEST_MODULE leadership
#include "leadership/grant_authority.h"
#include "leadership/succession.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace leadership = greengagechute::leadership;
using namespace std::chrono_literals;

namespace {

constexpr gg::time_point start{std::chrono::hours{1}};
constexpr leadership::lease_spans spans{2'690ms, 4'730ms};

gg::host_id host(int number) {
    return gg::host_id("host-" + std::to_string(number));
}

leadership::host_set hosts(int count) {
    leadership::host_set members;
    for (int number = 0; number < count; ++number) {
        members.insert(host(number));
    }
    return members;
}

leadership::grant_authority make_authority(int members) {
    leadership::grant_authority authority;
    authority.self = host(0);
    authority.members = hosts(members);
    return authority;
}

}  // namespace

// Guards against a coordinator that acts on the word of half of the hosts, as the other half may
// follow its successor.
BOOST_AUTO_TEST_CASE(more_than_half_of_the_members_prove_that_a_coordinator_is_not_replaced) {
    leadership::grant_authority authority = make_authority(4);
    leadership::record_follower(authority, host(1), start);
    BOOST_TEST(!leadership::may_grant(authority, start));
    leadership::record_follower(authority, host(9), start);
    BOOST_TEST(!leadership::may_grant(authority, start));
    leadership::record_follower(authority, host(2), start);
    BOOST_TEST(leadership::may_grant(authority, start));
    BOOST_TEST(leadership::may_grant(authority, start + 1'000ms));
    BOOST_TEST(!leadership::may_grant(authority, start + 1'001ms));
    // A proof that arrives late is no newer than when it was given.
    leadership::record_follower(authority, host(2), start - 500ms);
    BOOST_TEST(!leadership::may_grant(authority, start + 1'001ms));
}

// Guards against a coordinator whose members are not known: a successor would not need them.
BOOST_AUTO_TEST_CASE(without_members_only_the_store_proves_it) {
    leadership::grant_authority authority = make_authority(0);
    BOOST_TEST(!leadership::may_grant(authority, start));
    leadership::record_confirmation(authority, start);
    BOOST_TEST(leadership::may_grant(authority, start + 1'000ms));
    BOOST_TEST(!leadership::may_grant(authority, start + 1'001ms));
}

// Guards against counting only one of the two sets that the store may hold after a write of unknown
// outcome.
BOOST_AUTO_TEST_CASE(both_possible_sets_of_members_must_follow) {
    leadership::grant_authority authority = make_authority(3);
    authority.proposed = hosts(6);
    leadership::record_follower(authority, host(1), start);
    BOOST_TEST(!leadership::may_grant(authority, start));
    leadership::record_follower(authority, host(4), start);
    leadership::record_follower(authority, host(5), start);
    BOOST_TEST(leadership::may_grant(authority, start));
}

// Guards against long leases that a successor does not know of.
BOOST_AUTO_TEST_CASE(outage_leases_need_hosts_that_know_of_the_outage) {
    leadership::grant_authority authority = make_authority(3);
    leadership::record_follower(authority, host(1), start);
    BOOST_TEST(!leadership::may_grant_outage_leases(authority, start));
    leadership::set_store_available(authority, false, start + 100ms);
    BOOST_TEST(leadership::may_grant(authority, start + 200ms));
    BOOST_TEST(!leadership::may_grant_outage_leases(authority, start + 200ms));
    leadership::record_follower(authority, host(1), start + 300ms);
    BOOST_TEST(leadership::may_grant_outage_leases(authority, start + 300ms));
    leadership::set_store_available(authority, true, start + 400ms);
    BOOST_TEST(!leadership::may_grant_outage_leases(authority, start + 400ms));
}

// Guards against a successor that counts on leases to end while most hosts may follow a former
// coordinator, and against one that waits longer than needed.
BOOST_AUTO_TEST_CASE(leases_of_predecessors_end_after_most_members_have_left_them) {
    const leadership::authority_settings settings;
    leadership::succession term;
    leadership::record_follower(term, host(0), false, start);
    leadership::record_follower(term, host(1), true, start + 100ms);
    BOOST_TEST(!leadership::predecessor_leases_end(term, settings, spans).has_value());
    leadership::set_members(term, hosts(5), start + 200ms);
    leadership::record_follower(term, host(8), false, start + 300ms);
    BOOST_TEST(!leadership::predecessor_leases_end(term, settings, spans).has_value());
    leadership::record_follower(term, host(2), false, start + 400ms);
    BOOST_CHECK(leadership::predecessors_stopped_at(term, settings) == start + 1'400ms);
    BOOST_CHECK(leadership::predecessor_leases_end(term, settings, spans) ==
                start + 1'400ms + spans.outage);
    leadership::record_follower(term, host(3), false, start + 500ms);
    BOOST_CHECK(leadership::predecessor_leases_end(term, settings, spans) ==
                start + 1'500ms + spans.regular);
}

// Guards against waiting for hosts that nobody has counted: before the first coordinator, and after
// one of an earlier release.
BOOST_AUTO_TEST_CASE(without_stored_members_the_longest_leases_are_waited_for) {
    const leadership::authority_settings settings;
    leadership::succession term;
    leadership::record_follower(term, host(0), false, start);
    leadership::set_members(term, {}, start);
    BOOST_CHECK(leadership::predecessor_leases_end(term, settings, spans) ==
                start + settings.max_proof_age + spans.outage);
}

// Guards against a host that forgets an outage while leases that it stood for are in force: it was
// told of the outage some time ago, or its former process was.
BOOST_AUTO_TEST_CASE(outages_are_remembered_for_as_long_as_their_leases) {
    const leadership::authority_settings settings;
    const gg::milliseconds longest = settings.max_proof_age + spans.outage;
    const auto was_told = [&](std::optional<gg::time_point> told, gg::time_point now) {
        return leadership::was_told_of_outage(told, start, settings, spans, now);
    };
    BOOST_TEST(was_told(std::nullopt, start + longest - 1ms));
    BOOST_TEST(!was_told(std::nullopt, start + longest));
    BOOST_TEST(was_told(start + 20s, start + 20s + longest - 1ms));
    BOOST_TEST(!was_told(start + 20s, start + 20s + longest));
}

// Guards against a lease that is in force when the successor takes it for ended. Random hosts
// change from one coordinator to the other at random times, while answers and reports are held up
// or lost, the store goes away and comes back for the former coordinator, and hosts restart.
BOOST_AUTO_TEST_CASE(no_lease_outlives_the_bound_of_the_successor_in_random_schedules) {
    struct model_host {
        bool follows_successor = false;
        std::optional<gg::time_point> stamp;
        std::optional<gg::time_point> told_at;
        gg::time_point started_at;
    };
    struct message {
        gg::time_point arrives;
        int from = 0;
        std::optional<gg::time_point> stamp;
        bool has_store = true;
        bool told_of_outage = false;
    };
    const leadership::authority_settings settings;
    int bounded = 0;
    int outage_grants = 0;
    for (unsigned seed = 0; seed < 2'000; ++seed) {
        std::mt19937_64 random(seed);
        const auto chance = [&random](int in_1000) {
            return static_cast<int>(random() % 1'000) < in_1000;
        };
        const auto some = [&random](gg::milliseconds most) {
            return gg::milliseconds(
                static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most.count() + 1)));
        };
        const int count = 1 + static_cast<int>(random() % 7);
        leadership::grant_authority former = make_authority(count);
        std::vector<model_host> parts(static_cast<std::size_t>(count));
        for (model_host& part : parts) {
            part.started_at = start - some(9'000ms);
        }
        std::vector<message> answers;
        std::vector<message> reports;
        std::vector<message> reports_to_successor;
        const gg::time_point elected_at = start + some(6'000ms);
        leadership::succession term;
        bool members_read = false;
        bool store_reachable = true;
        gg::time_point last_lease_end = start;
        for (gg::time_point now = start; now < start + 20s; now += 50ms) {
            store_reachable = chance(20) ? !store_reachable : store_reachable;
            leadership::set_store_available(former, store_reachable, now);
            if (former.outage_since) {
                parts[0].told_at = now;
            }
            if (store_reachable && now < elected_at) {
                leadership::record_confirmation(former, now - some(300ms));
            }
            for (int number = 0; number < count; ++number) {
                model_host& part = parts[static_cast<std::size_t>(number)];
                // The former coordinator itself learns of the successor when it reports to it.
                if (now >= elected_at && !part.follows_successor && chance(number == 0 ? 5 : 40)) {
                    part.follows_successor = true;
                }
                if (number != 0 && chance(5)) {
                    // A host that has just started learns the term from the store.
                    part = {now >= elected_at, std::nullopt, std::nullopt, now};
                }
                const bool told = leadership::was_told_of_outage(part.told_at, part.started_at,
                                                                 settings, spans, now);
                if (part.follows_successor) {
                    reports_to_successor.push_back(
                        {now + some(400ms), number, std::nullopt, true, told});
                } else if (number != 0 && chance(300)) {
                    reports.push_back({now + some(chance(100) ? 3'000ms : 100ms), number,
                                       part.stamp, true, told});
                    answers.push_back({now + some(400ms), number, now, !former.outage_since});
                }
            }
            for (const message& answer : answers) {
                model_host& part = parts[static_cast<std::size_t>(answer.from)];
                if (answer.arrives <= now && answer.arrives + 50ms > now &&
                    !part.follows_successor && *answer.stamp > part.started_at) {
                    part.stamp = std::max(part.stamp.value_or(start), *answer.stamp);
                    part.told_at = answer.has_store ? part.told_at : now;
                }
            }
            for (const message& report : reports) {
                if (report.arrives <= now && report.arrives + 50ms > now && report.stamp) {
                    leadership::record_follower(former, host(report.from), *report.stamp);
                }
            }
            if (!parts[0].follows_successor && leadership::may_grant(former, now)) {
                const bool longer = leadership::may_grant_outage_leases(former, now);
                outage_grants += longer ? 1 : 0;
                last_lease_end =
                    std::max(last_lease_end, now + (longer ? spans.outage : spans.regular));
            }
            if (now >= elected_at + 100ms && !members_read) {
                members_read = true;
                leadership::set_members(term, hosts(count), now);
            }
            for (const message& report : reports_to_successor) {
                if (report.arrives <= now && report.arrives + 50ms > now) {
                    leadership::record_follower(term, host(report.from), report.told_of_outage,
                                                now);
                }
            }
            const auto bound = leadership::predecessor_leases_end(term, settings, spans);
            bounded += bound ? 1 : 0;
            BOOST_REQUIRE_MESSAGE(!bound || now < *bound || last_lease_end <= now,
                                  "seed " << seed << " at " << (now - start).count());
        }
    }
    BOOST_TEST(bounded > 100'000);
    BOOST_TEST(outage_grants > 1'000);
}
