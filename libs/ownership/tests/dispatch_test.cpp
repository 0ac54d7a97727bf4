#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace gg = greengagechute;
namespace own = greengagechute::ownership;
using namespace greengagechute::ownership::test;

namespace {

const gg::partition_id zero(0);

own::held_partition held(std::uint32_t partition, std::uint64_t epoch) {
    return {gg::partition_id(partition), gg::epoch(epoch)};
}

}  // namespace

// Guards against a dispatcher that never grants the partitions of the first map.
BOOST_AUTO_TEST_CASE(dispatcher_grants_the_partitions_of_the_map) {
    dispatcher_fixture fixture;
    fixture.run(300);
    BOOST_TEST((fixture.state.phase == own::dispatch_phase::active));
    BOOST_TEST(
        (fixture.server.partitions == std::vector<own::held_partition>{held(0, 1), held(1, 1)}));
    BOOST_TEST((own::sendable(fixture.state, zero, at(fixture.now)) == held(0, 1)));
    BOOST_TEST(!own::sendable(fixture.state, gg::partition_id(2), at(fixture.now)).has_value());
    BOOST_TEST(!own::sendable(fixture.state, zero, at(fixture.now + 800)).has_value());
}

// Guards against two dispatchers: the standby may have taken over an earlier run of the server, and
// the server has lost its dispatcher epoch at the restart.
BOOST_AUTO_TEST_CASE(first_grant_needs_consent) {
    dispatcher_fixture fixture;
    fixture.consents = false;
    fixture.run(1000);
    BOOST_TEST((fixture.state.phase == own::dispatch_phase::acquiring));
    BOOST_TEST((fixture.server.holder == gg::host_instance{}));
}

// Guards against a host that renews grants or hands over partitions after its right to act expired.
BOOST_AUTO_TEST_CASE(no_grant_without_standing) {
    dispatcher_fixture fixture;
    fixture.run(300);
    for (int count = 0; count < 40; ++count, fixture.now += 50) {
        const auto actions = own::step(fixture.state, own::tick{}, false, at(fixture.now));
        BOOST_TEST(!find<own::send_grant>(actions).has_value());
        BOOST_TEST(!find<own::send_hand_over>(actions).has_value());
        BOOST_TEST(!find<own::send_consent_request>(actions).has_value());
    }
}

// Guards against a successor that gets partitions before the last grant of the failed server has
// ended, and against a recovery without the consent of the standby, which may be taking over.
BOOST_AUTO_TEST_CASE(recovery_waits_for_the_grant_and_the_consent) {
    dispatcher_fixture fixture;
    fixture.run(300);
    const gg::time_point granted_until = fixture.state.granted_until;
    bool asked = false;
    for (bool handed_over = false; !handed_over;) {
        const auto actions = fixture.apply_event(own::tick{});
        const auto request = find<own::send_consent_request>(actions);
        if (request) {
            asked = true;
            fixture.apply_event(
                own::consent_replied{request->dispatcher_epoch, true, standby_host, request->map});
        }
        const auto sent = find<own::send_hand_over>(actions);
        if (sent) {
            handed_over = true;
            BOOST_TEST(find<own::server_lost>(actions).has_value());
            BOOST_TEST((sent->partition == held(0, 2)));
            BOOST_TEST((sent->successor == second_server));
            BOOST_TEST((at(fixture.now) >= granted_until));
            BOOST_TEST((at(fixture.now) >= fixture.state.granted_until));
            BOOST_TEST((at(fixture.now) < fixture.state.granted_until + gg::milliseconds(100)));
        }
        fixture.now += 10;
        BOOST_TEST_REQUIRE(fixture.now < 3000);
    }
    BOOST_TEST(asked);
    BOOST_TEST(fixture.now < 2000);
}

// Guards against a recovery with a consent for an earlier epoch, from another host, or refused.
BOOST_AUTO_TEST_CASE(recovery_needs_the_consent_of_the_named_standby) {
    dispatcher_fixture fixture;
    fixture.run(300);
    for (; fixture.now < 4000; fixture.now += 50) {
        const auto actions = fixture.apply_event(own::tick{});
        const auto request = find<own::send_consent_request>(actions);
        if (request) {
            fixture.apply_event(
                own::consent_replied{gg::epoch(0), true, standby_host, request->map});
            fixture.apply_event(
                own::consent_replied{request->dispatcher_epoch, true, other_host, request->map});
            fixture.apply_event(
                own::consent_replied{request->dispatcher_epoch, false, standby_host, request->map});
        }
        BOOST_TEST(!find<own::send_hand_over>(actions).has_value());
    }
}

// Guards against a recovery that starts too early because the server accepted a later grant and its
// reply was lost.
BOOST_AUTO_TEST_CASE(wait_counts_from_the_largest_end_ever_sent) {
    dispatcher_fixture fixture;
    fixture.run(300);
    fixture.now = 400;
    const auto report = own::report_state(fixture.server, own::server_time(400));
    fixture.apply_event(own::server_replied{report, at(400)});
    const auto lost_reply = fixture.apply_event(own::tick{});
    fixture.now = 450;
    const auto more = fixture.apply_event(own::tick{});
    BOOST_TEST(
        (find<own::send_grant>(lost_reply).has_value() || find<own::send_grant>(more).has_value()));
    BOOST_TEST((fixture.state.granted_until >= at(400) + gg::milliseconds(808)));
}

// Guards against new work for a partition during its planned move, and against a hand-over before
// the server has confirmed a grant without the partition.
BOOST_AUTO_TEST_CASE(planned_move_releases_before_it_passes_on) {
    dispatcher_fixture fixture;
    fixture.run(300);
    const auto stopped = fixture.apply_event(own::move_requested{{zero}, gg::map_version(1)});
    BOOST_TEST(find<own::stop_partition>(stopped).has_value());
    BOOST_TEST(!own::sendable(fixture.state, zero, at(fixture.now)).has_value());
    BOOST_TEST(!find<own::send_hand_over>(fixture.run(400)).has_value());
    const auto idle = fixture.apply_event(own::partition_idle{zero});
    BOOST_TEST(find<own::send_grant>(idle).has_value());
    BOOST_TEST(!find<own::send_hand_over>(idle).has_value());
    const auto confirmed = fixture.deliver(idle);
    const auto sent = find<own::send_hand_over>(confirmed);
    BOOST_TEST_REQUIRE(sent.has_value());
    BOOST_TEST((sent->partition == held(0, 2)));
    BOOST_TEST((fixture.server.partitions == std::vector<own::held_partition>{held(1, 1)}));
    BOOST_TEST(find<own::send_hand_over>(fixture.run(300)).has_value());
    fixture.apply_event(own::hand_over_acknowledged{held(0, 2)});
    BOOST_TEST(!find<own::send_hand_over>(fixture.run(400)).has_value());
    // The host that acknowledged may fail before the map contains the move.
    BOOST_TEST(find<own::send_hand_over>(fixture.run(1000)).has_value());
}

// Guards against a move to another successor than that of the map by which the standby would
// recover the partition. Such a move follows a request that is based on an earlier plan.
BOOST_AUTO_TEST_CASE(outdated_move_requests_are_ignored) {
    dispatcher_fixture fixture;
    fixture.run(300);
    gg::placement::service_map next = make_map();
    next.version = gg::map_version(2);
    next.partitions[0].successor = gg::placement::no_server;
    fixture.apply_event(own::map_changed{next});
    next.version = gg::map_version(3);
    next.partitions[0].successor = 1;
    fixture.apply_event(own::map_changed{next});
    const auto outdated = fixture.apply_event(own::move_requested{{zero}, gg::map_version(1)});
    BOOST_TEST(!find<own::stop_partition>(outdated).has_value());
    const auto current = fixture.apply_event(own::move_requested{{zero}, gg::map_version(3)});
    BOOST_TEST(find<own::stop_partition>(current).has_value());
    next.version = gg::map_version(4);
    next.partitions[0].successor = gg::placement::no_server;
    fixture.apply_event(own::map_changed{next});
    BOOST_TEST(!own::has_applied(fixture.state, gg::map_version(4)));
    BOOST_TEST(own::has_applied(fixture.state, gg::map_version(3)));
}

// Guards against a partition that is granted again when its hand-over arrives twice or late.
BOOST_AUTO_TEST_CASE(received_partitions_are_granted_once) {
    dispatcher_fixture fixture;
    fixture.run(300);
    const auto received = fixture.apply_event(own::partition_received{held(2, 2), second_server});
    BOOST_TEST(find<own::acknowledge_hand_over>(received).has_value());
    BOOST_TEST(find<own::report_owner>(received).has_value());
    fixture.deliver(received);
    BOOST_TEST((own::sendable(fixture.state, gg::partition_id(2), at(fixture.now)) == held(2, 2)));
    gg::placement::service_map next = make_map();
    next.version = gg::map_version(2);
    next.partitions[2] = {1, 0, gg::epoch(3)};
    fixture.deliver(fixture.apply_event(own::map_changed{next}));
    BOOST_TEST(fixture.server.partitions.size() == 2U);
    const auto late = fixture.apply_event(own::partition_received{held(2, 2), second_server});
    BOOST_TEST(find<own::acknowledge_hand_over>(late).has_value());
    BOOST_TEST(!find<own::send_grant>(late).has_value());
    BOOST_TEST(!find<own::report_owner>(late).has_value());
}

// Guards against the loss of a received partition through a map that still contains its lower
// epoch.
BOOST_AUTO_TEST_CASE(older_map_entry_does_not_take_a_partition) {
    dispatcher_fixture fixture;
    fixture.run(300);
    fixture.deliver(fixture.apply_event(own::partition_received{held(2, 2), second_server}));
    gg::placement::service_map next = make_map();
    next.version = gg::map_version(2);
    fixture.deliver(fixture.apply_event(own::map_changed{next}));
    BOOST_TEST((own::sendable(fixture.state, gg::partition_id(2), at(fixture.now)) == held(2, 2)));
    BOOST_TEST(find<own::report_owner>(fixture.run(1200)).has_value());
}

// Guards against a grant to a restarted server while a grant to its former run may be in force, or
// while the standby may have taken over.
BOOST_AUTO_TEST_CASE(restarted_server_waits_for_the_former_grant) {
    dispatcher_fixture fixture;
    fixture.run(300);
    const gg::time_point granted_until = fixture.state.granted_until;
    fixture.server = {};
    fixture.server.boot = own::boot_id(78);
    const auto actions = fixture.run(500);
    BOOST_TEST(find<own::server_lost>(actions).has_value());
    BOOST_TEST(find<own::send_consent_request>(actions).has_value());
    BOOST_TEST(fixture.server.partitions.empty());
    while (at(fixture.now) < granted_until) {
        fixture.run(50);
    }
    fixture.run(300);
    BOOST_TEST(fixture.server.partitions.size() == 2U);
    BOOST_TEST(fixture.server.dispatcher_epoch.value() >= 2U);
}

// Guards against a dispatcher that keeps sending grants or work after the standby took over.
BOOST_AUTO_TEST_CASE(taken_over_dispatcher_ends) {
    dispatcher_fixture fixture;
    fixture.run(300);
    own::server_report report = own::report_state(fixture.server, own::server_time(fixture.now));
    report.dispatcher_epoch = gg::epoch(2);
    report.holder = standby_host;
    const auto actions = fixture.apply_event(own::server_replied{report, at(fixture.now)});
    BOOST_TEST(find<own::authority_ended>(actions).has_value());
    BOOST_TEST(fixture.run(1000).empty());
    BOOST_TEST(!own::sendable(fixture.state, zero, at(fixture.now)).has_value());
    BOOST_TEST(!own::answers_watch(fixture.state, true));
}

// Guards against a standby that can't take over again after it promised not to: the promise holds
// until the server accepts a higher dispatcher epoch, so the dispatcher must claim one.
BOOST_AUTO_TEST_CASE(returning_server_gets_a_new_epoch) {
    dispatcher_fixture fixture;
    fixture.run(300);
    const gg::epoch before = fixture.server.dispatcher_epoch;
    BOOST_TEST(find<own::send_consent_request>(fixture.run(550, false)).has_value());
    fixture.run(300);
    BOOST_TEST((fixture.server.dispatcher_epoch > before));
    BOOST_TEST((fixture.state.phase == own::dispatch_phase::active));
}
