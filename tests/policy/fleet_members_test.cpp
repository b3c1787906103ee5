#include "policy/fleet_members.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

constexpr wall_milliseconds now = 1'000'000'000;

host_announcement makeHost(std::uint16_t port, wall_milliseconds announced)
{
    return {{"10.0.0.1", port}, "a", announced};
}

BOOST_AUTO_TEST_SUITE(fleet_members_tests)

BOOST_AUTO_TEST_CASE(old_announcements_and_the_own_one_do_not_count)
{
    const std::vector<host_announcement> announced{makeHost(1, now), makeHost(2, now - 100'000),
                                                   makeHost(3, now - 200'000)};
    const auto live = liveHosts(announced, {}, announced.front().peer, now);
    BOOST_TEST_REQUIRE(live.size() == 1U);
    BOOST_TEST(live.front().peer.port == 2);
}

BOOST_AUTO_TEST_CASE(hosts_that_send_hints_stay_live_when_the_own_clock_steps)
{
    const std::vector<host_announcement> announced{makeHost(1, now), makeHost(2, now)};
    const std::set<host_address> hintSenders{announced[1].peer, {"10.0.0.1", 3}};
    const wall_milliseconds ahead = now + 3'600'000;
    const auto live = liveHosts(announced, hintSenders, announced.front().peer, ahead);
    BOOST_TEST_REQUIRE(live.size() == 2U);
    BOOST_TEST(live[0].peer.port == 2);
    BOOST_TEST(live[1].peer.port == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
