#include "dispatch/owner_selection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace greengagechute::dispatch {

namespace {

const region_id north("north");
const region_id south("south");

owner_facts server_in(const region_id& region) {
    owner_facts made;
    made.region = region;
    return made;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(owner_selection)

// Guards against owners that requests for their keys may not be sent to.
BOOST_AUTO_TEST_CASE(owners_lie_where_all_routes_may_go) {
    const std::vector<owner_facts> servers{server_in(north), server_in(south),
                                           server_in(region_id())};
    BOOST_TEST((select_owners(servers, std::set{south}) == std::vector{false, true, false}));
    BOOST_TEST((select_owners(servers, std::nullopt) == std::vector{true, true, true}));
}

// Guards against keys without any owner when the only region that all routes may go to has no
// server left, or there is no such region: routes that may go anywhere are still served.
BOOST_AUTO_TEST_CASE(owners_lie_anywhere_if_no_common_region_is_left) {
    std::vector<owner_facts> servers{server_in(north), server_in(south)};
    BOOST_TEST((select_owners(servers, std::set<region_id>()) == std::vector{true, true}));
    servers[1].evacuated = true;
    BOOST_TEST((select_owners(servers, std::set{south}) == std::vector{true, false}));
}

// Guards against owners in an evacuated data centre, also if nothing else is left.
BOOST_AUTO_TEST_CASE(evacuated_and_leaving_servers_own_nothing) {
    std::vector<owner_facts> servers{server_in(north), server_in(north), server_in(south)};
    servers[0].evacuated = true;
    servers[1].leaving = true;
    BOOST_TEST((select_owners(servers, std::nullopt) == std::vector{false, false, true}));
    servers[2].evacuated = true;
    BOOST_TEST((select_owners(servers, std::nullopt) == std::vector{false, false, false}));
}

// Guards against flooding cold owners with the requests of all hosts for their keys, and against
// giving all keys to the first few servers that turn warm after a start of the whole service.
BOOST_AUTO_TEST_CASE(cold_servers_own_keys_only_while_most_are_cold) {
    std::vector<owner_facts> servers(10, server_in(north));
    for (std::size_t index = 0; index < 6; ++index) {
        servers[index].cold = true;
    }
    const auto selected = [&servers] {
        const std::vector<bool> chosen = select_owners(servers, std::nullopt);
        return std::count(chosen.begin(), chosen.end(), true);
    };
    BOOST_TEST(selected() == 10);
    servers[0].cold = false;
    BOOST_TEST(selected() == 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::dispatch
