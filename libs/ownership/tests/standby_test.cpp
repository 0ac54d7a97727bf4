#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace gg = greengagechute;
namespace own = greengagechute::ownership;
using namespace greengagechute::ownership::test;

namespace {

struct standby_fixture {
    own::server_state server;
    own::standby_state state =
        own::make_standby_state(first_server, standby_host, {}, make_map(), at(0));

    standby_fixture() {
        this->server.boot = own::boot_id(77);
        this->server.dispatcher_epoch = gg::epoch(4);
        this->server.holder = dispatcher_host;
        this->server.set_version = 9;
        this->server.partitions = {{gg::partition_id(0), gg::epoch(1)}};
        this->server.end = own::server_time(100);
    }

    std::vector<own::standby_action> apply_event(const own::standby_event& event, int now) {
        return own::step(this->state, event, true, at(now));
    }

    std::vector<own::standby_action> reply(const own::server_report& report, int now) {
        return this->apply_event(own::server_replied{report, at(now)}, now);
    }

    bool consent(std::uint64_t epoch, int now, bool reachable = false) {
        const auto actions =
            this->apply_event(own::consent_requested{dispatcher_host, gg::epoch(epoch), reachable,
                                                     gg::map_version(1)},
                              now);
        return find<own::reply_consent>(actions)->granted;
    }
};

}  // namespace

// Guards against a takeover while the dispatcher answers, and against one that begins late.
BOOST_AUTO_TEST_CASE(standby_takes_over_a_silent_dispatcher) {
    standby_fixture fixture;
    fixture.apply_event(own::watch_answered{gg::epoch(4)}, 100);
    BOOST_TEST(!find<own::send_status_request>(fixture.apply_event(own::tick{}, 540)).has_value());
    BOOST_TEST(find<own::send_status_request>(fixture.apply_event(own::tick{}, 560)).has_value());
    const auto claimed =
        fixture.reply(own::report_state(fixture.server, own::server_time(570)), 570);
    const auto sent = find<own::send_grant>(claimed);
    BOOST_TEST_REQUIRE(sent.has_value());
    BOOST_TEST(sent->offered_grant.dispatcher_epoch.value() == 5U);
    BOOST_TEST(sent->offered_grant.expected_epoch.value() == 4U);
    BOOST_TEST(sent->offered_grant.set_version == 10U);
    const auto report =
        own::apply_grant(fixture.server, sent->offered_grant, own::server_time(571));
    BOOST_TEST(report.accepted);
    const auto done = find<own::became_dispatcher>(fixture.reply(report, 572));
    BOOST_TEST_REQUIRE(done.has_value());
    BOOST_TEST(done->state.held.size() == 1U);
    // The map assigns partition 1 to the server, but the server did not hold it.
    BOOST_TEST_REQUIRE(done->state.outgoing.size() == 1U);
    BOOST_TEST(done->state.outgoing.front().partition.partition.value() == 1U);
    BOOST_TEST(!done->state.outgoing.front().released);
}

// Guards against a takeover with an outdated set of partitions: the dispatcher changed the set
// after the standby had read it.
BOOST_AUTO_TEST_CASE(takeover_fails_if_the_set_changed) {
    standby_fixture fixture;
    fixture.apply_event(own::tick{}, 500);
    const auto claimed =
        fixture.reply(own::report_state(fixture.server, own::server_time(510)), 510);
    fixture.server.set_version += 1;
    const auto report = own::apply_grant(
        fixture.server, find<own::send_grant>(claimed)->offered_grant, own::server_time(511));
    BOOST_TEST(!report.accepted);
    const auto again = find<own::send_grant>(fixture.reply(report, 512));
    BOOST_TEST_REQUIRE(again.has_value());
    BOOST_TEST(again->offered_grant.set_version == 11U);
}

// Guards against a standby that takes over at a dispatcher epoch for which it gave consent.
BOOST_AUTO_TEST_CASE(promise_binds_until_a_higher_epoch_is_accepted) {
    standby_fixture fixture;
    BOOST_TEST(fixture.consent(4, 100));
    fixture.apply_event(own::tick{}, 600);
    BOOST_TEST(!find<own::send_grant>(
                    fixture.reply(own::report_state(fixture.server, own::server_time(610)), 610))
                    .has_value());
    fixture.server.dispatcher_epoch = gg::epoch(5);
    BOOST_TEST(find<own::send_grant>(
                   fixture.reply(own::report_state(fixture.server, own::server_time(620)), 620))
                   .has_value());
}

// Guards against a takeover with an older map than that by which the dispatcher handed partitions
// over with the consent (found by ownership_explorer_test with seed 160822).
BOOST_AUTO_TEST_CASE(takeover_needs_the_map_of_the_consent) {
    standby_fixture fixture;
    const own::consent_requested asked{dispatcher_host, gg::epoch(4), false, gg::map_version(2)};
    BOOST_TEST(find<own::reply_consent>(fixture.apply_event(asked, 100))->granted);
    fixture.server.dispatcher_epoch = gg::epoch(5);
    fixture.apply_event(own::tick{}, 600);
    BOOST_TEST(!find<own::send_grant>(
                    fixture.reply(own::report_state(fixture.server, own::server_time(610)), 610))
                    .has_value());
    gg::placement::service_map next = make_map();
    next.version = gg::map_version(2);
    fixture.apply_event(own::map_changed{next}, 620);
    fixture.apply_event(own::tick{}, 630);
    BOOST_TEST(find<own::send_grant>(
                   fixture.reply(own::report_state(fixture.server, own::server_time(640)), 640))
                   .has_value());
}

// Guards against consent while the standby takes over, or while the server replies to the standby.
BOOST_AUTO_TEST_CASE(consent_is_refused_during_a_takeover) {
    standby_fixture fixture;
    BOOST_TEST(!fixture.consent(4, 100, true));
    fixture.apply_event(own::watch_answered{gg::epoch(5)}, 100);
    BOOST_TEST(!fixture.consent(4, 110));
    fixture.server.dispatcher_epoch = gg::epoch(5);
    fixture.apply_event(own::tick{}, 600);
    const auto claimed =
        fixture.reply(own::report_state(fixture.server, own::server_time(610)), 610);
    BOOST_TEST(find<own::send_grant>(claimed).has_value());
    BOOST_TEST(!fixture.consent(5, 620));
    gg::placement::service_map next = make_map();
    next.version = gg::map_version(2);
    next.servers[0].standby = other_host;
    fixture.apply_event(own::map_changed{next}, 630);
    BOOST_TEST(!own::has_applied(fixture.state, gg::map_version(2)));
    fixture.apply_event(own::tick{}, 610 + 809);
    fixture.apply_event(own::map_changed{next}, 1420);
    BOOST_TEST(own::has_applied(fixture.state, gg::map_version(2)));
    BOOST_TEST(!fixture.state.confirmed);
}

// Guards against a takeover by a standby that the map does not confirm, or whose right to act has
// expired.
BOOST_AUTO_TEST_CASE(unconfirmed_standby_does_not_act) {
    gg::placement::service_map map = make_map();
    map.servers[0].standby_confirmed = false;
    own::standby_state state = own::make_standby_state(first_server, standby_host, {}, map, at(0));
    BOOST_TEST(
        !find<own::send_status_request>(own::step(state, own::tick{}, true, at(2000))).has_value());
    standby_fixture fixture;
    BOOST_TEST(
        !find<own::send_status_request>(own::step(fixture.state, own::tick{}, false, at(2000)))
             .has_value());
}

// Guards against a late reply to an abandoned claim that makes the standby the dispatcher after it
// gave consent.
BOOST_AUTO_TEST_CASE(abandoned_claim_is_not_revived) {
    standby_fixture fixture;
    fixture.apply_event(own::tick{}, 500);
    const auto claimed =
        fixture.reply(own::report_state(fixture.server, own::server_time(510)), 510);
    const auto report = own::apply_grant(
        fixture.server, find<own::send_grant>(claimed)->offered_grant, own::server_time(511));
    fixture.apply_event(own::tick{}, 510 + 809);
    BOOST_TEST(!fixture.consent(4, 1400));
    BOOST_TEST(fixture.consent(5, 1410));
    BOOST_TEST(!find<own::became_dispatcher>(fixture.reply(report, 1420)).has_value());
    BOOST_TEST(!find<own::send_grant>(fixture.reply(report, 1430)).has_value());
}
