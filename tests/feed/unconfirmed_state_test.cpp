#include "feed_fleet.h"

namespace quincefall::testing {
namespace {

constexpr double linkBytesPerSecond = 10e6;
constexpr milliseconds startLimit{20'000}; // Until all hosts have the first state.
constexpr int hostCount = 3;

void startFleet(feed_fleet &fleet)
{
    fleet.store().publish(1, makeDesiredText(1, 5));
    fleet.runUntilAllHave(1, startLimit);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());
}

BOOST_AUTO_TEST_SUITE(unconfirmed_state_tests)

// Hosts that could not read the newest version took their older one for the newest.
BOOST_AUTO_TEST_CASE(a_version_that_cannot_be_read_confirms_no_older_one)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, hostCount, linkBytesPerSecond);
    startFleet(fleet);
    fleet.store().publishUnreadable(2);
    fleet.runFor(applyTime * 2);
    for (int host = 0; host < hostCount; ++host) {
        BOOST_TEST(fleet.routingAt(host).desired->version == 1U);
        BOOST_TEST(fleet.desiredAgeAt(host).count() > applyTime.count());
        BOOST_TEST(!fleet.confirm(host));
    }
    fleet.store().publish(3, makeDesiredText(3, 5));
    fleet.runUntilAllHave(3, applyTime);
    for (int host = 0; host < hostCount; ++host) {
        BOOST_TEST(fleet.routingAt(host).desired->version == 3U);
        BOOST_TEST(fleet.confirm(host));
        BOOST_TEST(fleet.desiredAgeAt(host).count() < applyTime.count());
    }
}

// A page that ended before the newest version confirmed the one before.
BOOST_AUTO_TEST_CASE(a_page_with_further_records_after_it_confirms_no_version)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, hostCount, linkBytesPerSecond);
    startFleet(fleet);
    fleet.store().setPartial(true);
    fleet.runFor(applyTime * 2);
    for (int host = 0; host < hostCount; ++host) {
        BOOST_TEST(fleet.desiredAgeAt(host).count() > applyTime.count());
        BOOST_TEST(!fleet.confirm(host));
    }
    fleet.store().setPartial(false);
    BOOST_TEST(fleet.confirm(0));
}

// A host that started while the store was lost took the outdated state of another one for
// confirmed.
BOOST_AUTO_TEST_CASE(a_state_received_from_another_host_is_as_old_as_it_is_there)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, hostCount, linkBytesPerSecond);
    startFleet(fleet);
    for (int host = 0; host < hostCount; ++host)
        fleet.store().setAccess(host, false);
    fleet.runFor(applyTime);
    fleet.restart(2);
    fleet.runUntilAllHave(1, startLimit);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());
    fleet.runFor(hintInterval(hostCount) * 2);
    for (int host = 0; host < hostCount; ++host)
        BOOST_TEST(fleet.desiredAgeAt(host).count() > applyTime.count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall::testing
