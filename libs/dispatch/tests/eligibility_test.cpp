#include "dispatch/eligibility.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace greengagechute::dispatch {

namespace {

using namespace std::chrono_literals;

const region_id north("north");
const region_id south("south");
constexpr time_point start = time_point{} + 100s;

}  // namespace

BOOST_AUTO_TEST_SUITE(eligibility)

// Guards against a server whose region is not known running a request that is bound to regions.
BOOST_AUTO_TEST_CASE(unknown_region_runs_unbound_requests_only) {
    BOOST_TEST(is_allowed({}, region_id()));
    BOOST_TEST(!is_allowed({north}, region_id()));
    BOOST_TEST(is_allowed({south, north}, north));
    BOOST_TEST(!is_allowed({south}, north));
}

// Guards against owners that some routes of their service may not go to, although there are regions
// that all of them may go to.
BOOST_AUTO_TEST_CASE(common_regions_are_those_of_all_bound_routes) {
    BOOST_TEST(!common_regions({}).has_value());
    BOOST_TEST(!common_regions({{}, {}}).has_value());
    BOOST_TEST((*common_regions({{}, {north, south}, {south}}) == std::set{south}));
    BOOST_TEST(common_regions({{north}, {south}})->empty());
}

// Guards against sending to an evacuated data centre because the server there is cold or far.
BOOST_AUTO_TEST_CASE(rules_go_before_warmth) {
    server_place server{north, start, start + 3s};
    BOOST_TEST((check(server, {south}, start) == verdict::region_not_allowed));
    BOOST_TEST((check(server, {}, start) == verdict::evacuated));
    server.evacuated_since.reset();
    BOOST_TEST((check(server, {north}, start) == verdict::cold));
    BOOST_TEST((check(server, {north}, start + 3s) == verdict::eligible));
}

// Guards against using an evacuated owner for longer than the operator's bound, and against
// refusing requests for its keys before they could be handed over.
BOOST_AUTO_TEST_CASE(evacuated_owner_is_used_for_the_handover_only) {
    const server_place owner{north, start, {}};
    BOOST_TEST((check_owner(owner, {}, 1'500ms, start + 1'499ms) == verdict::eligible));
    BOOST_TEST((check_owner(owner, {}, 1'500ms, start + 1'500ms) == verdict::evacuated));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace greengagechute::dispatch
