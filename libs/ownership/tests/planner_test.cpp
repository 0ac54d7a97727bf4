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

/// A planner whose commits succeed at once, and hosts that act on every map.
struct planner_bench {
    own::planner_state state;
    std::vector<own::roster_host> hosts;
    std::vector<pl::placement_server> servers;
    std::vector<own::request_moves> moves;
    std::size_t commits = 0;
    int now = 0;

    planner_bench() {
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
    void give(const own::planner_event& event) {
        for (const own::planner_action& action : own::step(this->state, event, this->time())) {
            if (const auto* commit = std::get_if<own::commit_map>(&action)) {
                this->commits += 1;
                this->give(own::commit_resolved{commit->map});
            } else {
                this->moves.push_back(std::get<own::request_moves>(action));
            }
        }
    }
    void acknowledge(const std::vector<gg::server_id>& lagging = {}) {
        for (const own::roster_host& member : this->hosts) {
            this->give(own::map_acknowledged{member.host, this->state.map.version, lagging, {}});
        }
    }
    void run(int duration, const std::vector<gg::server_id>& lagging = {}) {
        for (const int end = this->now + duration; this->now < end; this->now += 100) {
            this->give(own::roster_changed{this->hosts});
            this->give(own::servers_changed{this->servers});
            this->give(own::planner_tick{});
            this->acknowledge(lagging);
        }
    }
    void lose(const gg::host_instance& lost) {
        std::erase_if(this->hosts,
                      [&lost](const own::roster_host& member) { return member.host == lost; });
        this->give(own::host_authority_ended{lost});
    }
    const pl::service_map& map() const { return this->state.map; }
};

}  // namespace

// Guards against partitions without an owner, dispatchers in the data centre of their server, and a
// planner that never comes to rest.
BOOST_AUTO_TEST_CASE(first_map_places_and_names) {
    planner_bench bench;
    bench.run(500);
    const std::size_t commits = bench.commits;
    bench.run(2000);
    BOOST_TEST(bench.commits == commits);
    BOOST_TEST(bench.moves.empty());
    for (const pl::partition_entry& entry : bench.map().partitions) {
        BOOST_TEST(entry.current.value() == 1U);
        BOOST_TEST(entry.owner != entry.successor);
        BOOST_TEST(entry.successor != pl::no_server);
    }
    for (const pl::server_entry& server : bench.map().servers) {
        BOOST_TEST(server.standby_confirmed);
        const auto centre_of = [&bench](const gg::host_instance& wanted) {
            return std::ranges::find(bench.hosts, wanted, &own::roster_host::host)->data_centre;
        };
        BOOST_TEST((centre_of(server.dispatcher) != server.data_centre));
        BOOST_TEST((centre_of(server.standby) == centre_of(server.dispatcher)));
    }
}

// Guards against a second commit while the outcome of the first is unknown.
BOOST_AUTO_TEST_CASE(one_commit_at_a_time) {
    planner_bench bench;
    own::step(bench.state, own::roster_changed{bench.hosts}, bench.time());
    own::step(bench.state, own::servers_changed{bench.servers}, bench.time());
    BOOST_TEST(own::step(bench.state, own::planner_tick{}, bench.time()).size() == 1U);
    BOOST_TEST(own::step(bench.state, own::planner_tick{}, bench.time()).empty());
    const auto again =
        own::step(bench.state, own::commit_resolved{pl::service_map{}}, bench.time());
    BOOST_TEST(again.size() == 1U);
}

// Guards against moves before dispatcher and standby act on the plan, and against too many at once.
BOOST_AUTO_TEST_CASE(leaving_server_is_emptied_by_planned_moves) {
    planner_bench bench;
    bench.run(500);
    bench.servers[0].leaving = true;
    const gg::server_id leaving = bench.servers[0].server;
    bench.acknowledge({leaving});
    bench.run(2000, {leaving});
    BOOST_TEST(bench.moves.empty());
    const auto index = *pl::find_server(bench.map(), leaving);
    for (int round = 0; round < 40; ++round) {
        bench.run(400);
        BOOST_TEST(bench.state.moves.size() <= 3U);
        for (const own::request_moves& request : std::exchange(bench.moves, {})) {
            BOOST_TEST((request.map <= bench.map().version));
            for (const gg::partition_id partition : request.partitions) {
                const pl::partition_entry entry = bench.map().partitions[partition.value()];
                if (entry.owner != index) {
                    continue;
                }
                BOOST_TEST(!entry.frozen);
                bench.give(own::owner_reported{bench.map().servers[entry.successor].server,
                                               {partition, entry.current.next()}});
            }
        }
    }
    for (const pl::partition_entry& entry : bench.map().partitions) {
        BOOST_TEST(entry.owner != index);
        BOOST_TEST(entry.successor != index);
    }
    bench.servers.erase(bench.servers.begin());
    bench.run(500);
    BOOST_TEST(bench.map().servers[index].server.value().empty());
}

// Guards against moves of served partitions to a server that is lost, which an empty server
// invites.
BOOST_AUTO_TEST_CASE(no_move_to_a_server_that_confirms_no_grants) {
    planner_bench bench;
    bench.run(500);
    bench.servers.push_back(
        {gg::server_id("server-4"), gg::region_id("quebec"), gg::data_centre_id("a"), 6, false});
    bench.run(3000, {gg::server_id("server-4")});
    BOOST_TEST(bench.moves.empty());
    bench.run(1000);
    BOOST_TEST(!bench.moves.empty());
}

// Guards against a recovery plan that is executed while the standby may still take over, and
// against partitions that nobody owns after both have ended.
BOOST_AUTO_TEST_CASE(recovery_plan_needs_the_end_of_both_hosts) {
    planner_bench bench;
    bench.run(500);
    const pl::server_entry before = bench.map().servers[0];
    const pl::service_map old_map = bench.map();
    bench.lose(before.dispatcher);
    bench.run(1000);
    BOOST_TEST((bench.map().servers[0].dispatcher == gg::host_instance{}));
    BOOST_TEST(bench.map().partitions[0].current.value() == 1U);
    bench.lose(before.standby);
    bench.run(1000);
    BOOST_TEST((bench.map().servers[0].dispatcher != gg::host_instance{}));
    for (std::size_t number = 0; number < old_map.partitions.size(); ++number) {
        if (old_map.partitions[number].owner == 0) {
            BOOST_TEST(bench.map().partitions[number].owner ==
                       old_map.partitions[number].successor);
            BOOST_TEST(bench.map().partitions[number].current.value() == 2U);
        }
    }
}

// Guards against a standby that took over and is not named, and against a late announcement of an
// earlier role.
BOOST_AUTO_TEST_CASE(announced_dispatcher_is_named) {
    planner_bench bench;
    bench.run(500);
    const pl::server_entry before = bench.map().servers[0];
    const gg::map_version version = bench.map().version;
    bench.give(own::dispatcher_announced{before.server, before.standby, gg::map_version(0)});
    bench.run(200);
    BOOST_TEST((bench.map().servers[0].dispatcher == before.dispatcher));
    bench.give(own::dispatcher_announced{before.server, before.standby, version});
    bench.run(200);
    BOOST_TEST((bench.map().servers[0].dispatcher == before.standby));
    BOOST_TEST((bench.map().servers[0].standby != before.standby));
}

// Guards against a new standby that is confirmed while the old one may still take over.
BOOST_AUTO_TEST_CASE(standby_is_confirmed_after_the_old_one_acts_on_the_map) {
    planner_bench bench;
    bench.run(500);
    const pl::server_entry before = bench.map().servers[0];
    for (own::roster_host& member : bench.hosts) {
        member.draining = member.host == before.standby;
    }
    const auto tick = [&bench] {
        bench.give(own::roster_changed{bench.hosts});
        bench.give(own::planner_tick{});
    };
    tick();
    BOOST_TEST((bench.map().servers[0].standby != before.standby));
    for (const own::roster_host& member : bench.hosts) {
        if (member.host != before.standby) {
            bench.give(own::map_acknowledged{member.host, bench.map().version, {}, {}});
        }
    }
    tick();
    BOOST_TEST(!bench.map().servers[0].standby_confirmed);
    bench.give(own::map_acknowledged{before.standby, bench.map().version, {}, {}});
    tick();
    BOOST_TEST(bench.map().servers[0].standby_confirmed);
}

// Guards against a hot key whose partitions pass to different servers before all hosts know of it.
BOOST_AUTO_TEST_CASE(split_key_keeps_the_plan_of_its_partition) {
    planner_bench bench;
    bench.run(500);
    bench.give(own::hot_keys_decided{{pl::split_key{77}}});
    bench.give(own::planner_tick{});
    BOOST_TEST_REQUIRE(bench.map().partitions.size() == 17U);
    BOOST_TEST(bench.map().partitions[16].owner == bench.map().partitions[0].owner);
    BOOST_TEST(bench.map().partitions[16].successor == bench.map().partitions[0].successor);
    bench.give(own::planner_tick{});
    BOOST_TEST(bench.map().partitions[16].successor == bench.map().partitions[0].successor);
}
