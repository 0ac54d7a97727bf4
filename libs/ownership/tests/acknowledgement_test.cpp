#include "ownership/acknowledgement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace gg = greengagechute;
namespace own = greengagechute::ownership;

namespace {

const gg::host_instance host{gg::host_id("first"), gg::incarnation(1)};

gg::time_point at(int milliseconds) {
    return gg::time_point{} + gg::milliseconds(milliseconds);
}

own::map_acknowledged make_acknowledgement(std::uint64_t version,
                                           std::vector<gg::server_id> lagging = {}) {
    return {host, gg::map_version(version), std::move(lagging), {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(acknowledgement)

// Guards against a changed acknowledgement that waits for the repeat period.
BOOST_AUTO_TEST_CASE(a_change_is_sent_at_once) {
    own::sent_acknowledgement last;
    BOOST_TEST(own::mark_sent_if_due(last, make_acknowledgement(1), at(0)));
    BOOST_TEST(!own::mark_sent_if_due(last, make_acknowledgement(1), at(1)));
    BOOST_TEST(own::mark_sent_if_due(last, make_acknowledgement(2), at(2)));
    BOOST_TEST(own::mark_sent_if_due(last, make_acknowledgement(2, {gg::server_id("a")}), at(3)));
    BOOST_TEST(own::mark_sent_if_due(last, make_acknowledgement(2), at(4)));
}

// Guards against a lost acknowledgement that is never repeated, and against repetitions that
// overload a coordinator with many hosts.
BOOST_AUTO_TEST_CASE(an_unchanged_one_is_repeated_less_and_less_often) {
    own::sent_acknowledgement last;
    int sent = 0;
    int previous = 0;
    int longest = 0;
    for (int now = 0; now <= 600'000; now += 100) {
        if (!own::mark_sent_if_due(last, make_acknowledgement(1), at(now))) {
            continue;
        }
        if (sent > 0 && now <= 4'000) {
            BOOST_TEST(now - previous == 1'000);
        }
        longest = std::max(longest, now - previous);
        previous = now;
        ++sent;
    }
    BOOST_TEST(longest == 30'000);
    BOOST_TEST(sent < 50);
}

BOOST_AUTO_TEST_SUITE_END()
