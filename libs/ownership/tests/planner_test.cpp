#include "ownership/map_planner.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace gg = greengagechute;
namespace own = greengagechute::ownership;
namespace pl = greengagechute::placement;

namespace {

gg::host_instance host(int number) {
    return {gg::host_id("host-" + std::to_string(number)), gg::incarnation(1)};
}

/// A planner whose commits succeed at once, and hosts that apply every map.
struct planner_fixture {
    own::planner_state state;
    std::vector<own::roster_host> hosts;
    std::vector<pl::placement_server> servers;
    std::vector<own::request_moves> moves;
    std::size_t commits = 0;
    int now = 0;

    planner_fixture() {
        own::planner_settings settings;
        settings.limits.partition_count = 16;
        settings.max_moves_in_flight = 3;
        this->state =
            own::make_planner_state(gg::service_id("plan-desk"), settings, {}, this->time());
        for (int number = 0; number < 4; ++number) {
            this->hosts.push_back({host(number), gg::region_id("quebec"),
                                   gg::data_centre_id(number % 2 == 0 ? "a" : "b"), false});
            this->servers.push_back({gg::server_id("server-" + std::to_string(number)),
                                     gg::region_id("quebec"),
                                     gg::data_centre_id(number % 2 == 0 ? "a" : "b"), 6, false});
        }
    }

    gg::time_point time() const {
        return gg::time_point{} + gg::milliseconds(1'000'000 + this->now);
    }
    void apply_event(const own::planner_event& event) {
        for (const own::planner_action& action : own::step(this->state, event, this->time())) {
            if (const auto* commit = std::get_if<own::commit_map>(&action)) {
                this->commits += 1;
                this->apply_event(own::commit_resolved{commit->map});
            } else {
                this->moves.push_back(std::get<own::request_moves>(action));
            }
        }
    }
    void acknowledge(const std::vector<gg::server_id>& lagging = {}) {
        for (const own::roster_host& member : this->hosts) {
            this->apply_event(
                own::map_acknowledged{member.host, this->state.map.version, lagging, {}});
        }
    }
    void run(int duration, const std::vector<gg::server_id>& lagging = {}) {
        for (const int end = this->now + duration; this->now < end; this->now += 100) {
            this->apply_event(own::roster_changed{this->hosts});
            this->apply_event(own::servers_changed{this->servers});
            this->apply_event(own::planner_tick{});
            this->acknowledge(lagging);
        }
    }
    void end_authority_of(const gg::host_instance& lost) {
        std::erase_if(this->hosts,
                      [&lost](const own::roster_host& member) { return member.host == lost; });
        this->apply_event(own::host_authority_ended{lost});
    }
    const pl::service_map& map() const { return this->state.map; }
};

}  // namespace

// Guards against partitions without an owner, dispatchers in the data centre of their server, and a
// planner that commits new maps without end although nothing changes.
BOOST_AUTO_TEST_CASE(first_map_places_and_names) {
    planner_fixture fixture;
    fixture.run(500);
    const std::size_t commits = fixture.commits;
    fixture.run(2000);
    BOOST_TEST(fixture.commits == commits);
    BOOST_TEST(fixture.moves.empty());
    for (const pl::partition_entry& entry : fixture.map().partitions) {
        BOOST_TEST(entry.current.value() == 1U);
        BOOST_TEST(entry.owner != entry.successor);
        BOOST_TEST(entry.successor != pl::no_server);
    }
    for (const pl::server_entry& server : fixture.map().servers) {
        BOOST_TEST(server.standby_confirmed);
        const auto centre_of = [&fixture](const gg::host_instance& wanted) {
            return std::ranges::find(fixture.hosts, wanted, &own::roster_host::host)->data_centre;
        };
        BOOST_TEST((centre_of(server.dispatcher) != server.data_centre));
        BOOST_TEST((centre_of(server.standby) == centre_of(server.dispatcher)));
    }
}

// Guards against a second commit while the result of the first is unknown.
BOOST_AUTO_TEST_CASE(one_commit_at_a_time) {
    planner_fixture fixture;
    own::step(fixture.state, own::roster_changed{fixture.hosts}, fixture.time());
    own::step(fixture.state, own::servers_changed{fixture.servers}, fixture.time());
    BOOST_TEST(own::step(fixture.state, own::planner_tick{}, fixture.time()).size() == 1U);
    BOOST_TEST(own::step(fixture.state, own::planner_tick{}, fixture.time()).empty());
    const auto again =
        own::step(fixture.state, own::commit_resolved{pl::service_map{}}, fixture.time());
    BOOST_TEST(again.size() == 1U);
}

// Guards against moves before dispatcher and standby have applied the plan, and against too many
// moves at once.
BOOST_AUTO_TEST_CASE(leaving_server_is_emptied_by_planned_moves) {
    planner_fixture fixture;
    fixture.run(500);
    fixture.servers[0].leaving = true;
    const gg::server_id leaving = fixture.servers[0].server;
    fixture.acknowledge({leaving});
    fixture.run(2000, {leaving});
    BOOST_TEST(fixture.moves.empty());
    const auto index = *pl::find_server(fixture.map(), leaving);
    for (int round = 0; round < 40; ++round) {
        fixture.run(400);
        BOOST_TEST(fixture.state.moves.size() <= 3U);
        for (const own::request_moves& request : std::exchange(fixture.moves, {})) {
            BOOST_TEST((request.map <= fixture.map().version));
            for (const gg::partition_id partition : request.partitions) {
                const pl::partition_entry entry = fixture.map().partitions[partition.value()];
                if (entry.owner != index) {
                    continue;
                }
                BOOST_TEST(!entry.frozen);
                fixture.apply_event(
                    own::owner_reported{fixture.map().servers[entry.successor].server,
                                        {partition, entry.current.next()}});
            }
        }
    }
    for (const pl::partition_entry& entry : fixture.map().partitions) {
        BOOST_TEST(entry.owner != index);
        BOOST_TEST(entry.successor != index);
    }
    fixture.servers.erase(fixture.servers.begin());
    fixture.run(500);
    BOOST_TEST(fixture.map().servers[index].server.value().empty());
}

// Guards against moves of served partitions to a failed server. The placement prefers such a server
// because it is empty.
BOOST_AUTO_TEST_CASE(no_move_to_a_server_that_confirms_no_grants) {
    planner_fixture fixture;
    fixture.run(500);
    fixture.servers.push_back(
        {gg::server_id("server-4"), gg::region_id("quebec"), gg::data_centre_id("a"), 6, false});
    fixture.run(3000, {gg::server_id("server-4")});
    BOOST_TEST(fixture.moves.empty());
    fixture.run(1000);
    BOOST_TEST(!fixture.moves.empty());
}

// Guards against a recovery plan that is executed while the standby may still take over, and
// against partitions that stay unserved after the authority of dispatcher and standby has ended.
BOOST_AUTO_TEST_CASE(recovery_plan_needs_the_end_of_both_hosts) {
    planner_fixture fixture;
    fixture.run(500);
    const pl::server_entry before = fixture.map().servers[0];
    const pl::service_map old_map = fixture.map();
    fixture.end_authority_of(before.dispatcher);
    fixture.run(1000);
    BOOST_TEST((fixture.map().servers[0].dispatcher == gg::host_instance{}));
    BOOST_TEST(fixture.map().partitions[0].current.value() == 1U);
    fixture.end_authority_of(before.standby);
    fixture.run(1000);
    BOOST_TEST((fixture.map().servers[0].dispatcher != gg::host_instance{}));
    for (std::size_t number = 0; number < old_map.partitions.size(); ++number) {
        if (old_map.partitions[number].owner == 0) {
            BOOST_TEST(fixture.map().partitions[number].owner ==
                       old_map.partitions[number].successor);
            BOOST_TEST(fixture.map().partitions[number].current.value() == 2U);
        }
    }
}

// Guards against a standby that took over and does not become the dispatcher in the map, and
// against one that does because of a late announcement of an earlier role.
BOOST_AUTO_TEST_CASE(announced_dispatcher_is_named) {
    planner_fixture fixture;
    fixture.run(500);
    const pl::server_entry before = fixture.map().servers[0];
    const gg::map_version version = fixture.map().version;
    fixture.apply_event(
        own::dispatcher_announced{before.server, before.standby, gg::map_version(0)});
    fixture.run(200);
    BOOST_TEST((fixture.map().servers[0].dispatcher == before.dispatcher));
    fixture.apply_event(own::dispatcher_announced{before.server, before.standby, version});
    fixture.run(200);
    BOOST_TEST((fixture.map().servers[0].dispatcher == before.standby));
    BOOST_TEST((fixture.map().servers[0].standby != before.standby));
}

// Guards against a new standby that is confirmed while the old one has not applied the map and may
// still take over.
BOOST_AUTO_TEST_CASE(standby_is_confirmed_after_the_old_one_acts_on_the_map) {
    planner_fixture fixture;
    fixture.run(500);
    const pl::server_entry before = fixture.map().servers[0];
    for (own::roster_host& member : fixture.hosts) {
        member.draining = member.host == before.standby;
    }
    const auto tick = [&fixture] {
        fixture.apply_event(own::roster_changed{fixture.hosts});
        fixture.apply_event(own::planner_tick{});
    };
    tick();
    BOOST_TEST((fixture.map().servers[0].standby != before.standby));
    for (const own::roster_host& member : fixture.hosts) {
        if (member.host != before.standby) {
            fixture.apply_event(own::map_acknowledged{member.host, fixture.map().version, {}, {}});
        }
    }
    tick();
    BOOST_TEST(!fixture.map().servers[0].standby_confirmed);
    fixture.apply_event(own::map_acknowledged{before.standby, fixture.map().version, {}, {}});
    tick();
    BOOST_TEST(fixture.map().servers[0].standby_confirmed);
}

// Guards against a split hot key whose two partitions move to different servers before all hosts
// have applied the split.
BOOST_AUTO_TEST_CASE(split_key_keeps_the_plan_of_its_partition) {
    planner_fixture fixture;
    fixture.run(500);
    fixture.apply_event(own::hot_keys_decided{{pl::split_key{77}}});
    fixture.apply_event(own::planner_tick{});
    BOOST_TEST_REQUIRE(fixture.map().partitions.size() == 17U);
    BOOST_TEST(fixture.map().partitions[16].owner == fixture.map().partitions[0].owner);
    BOOST_TEST(fixture.map().partitions[16].successor == fixture.map().partitions[0].successor);
    fixture.apply_event(own::planner_tick{});
    BOOST_TEST(fixture.map().partitions[16].successor == fixture.map().partitions[0].successor);
}
