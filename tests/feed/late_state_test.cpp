#include "feed_fleet.h"

#include <cstdlib>

namespace quincefall::testing {
namespace {

constexpr double slowLinkBytesPerSecond = 10e6 / 8; // 10 Mbit/s.
constexpr milliseconds startLimit{20'000}; // Until all hosts have the first state.

/// Number of hosts of a fleet; FEED_TEST_HOSTS replaces it in a run by hand.
int fleetSize(int usual)
{
    const char *wanted = std::getenv("FEED_TEST_HOSTS");
    return wanted ? std::atoi(wanted) : usual;
}

/// Publishes a small first state, and waits until all hosts have it and know each other.
void startFleet(feed_fleet &fleet)
{
    fleet.store().publish(1, makeDesiredText(1, 50));
    fleet.runUntilAllHave(1, startLimit);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());
    fleet.runFor(hintInterval(unsigned(fleet.size())) * 2);
}

BOOST_AUTO_TEST_SUITE(late_state_tests)

// Hosts on slow links did not get a desired state that had grown by 1400 routes in time.
BOOST_AUTO_TEST_CASE(a_large_desired_state_reaches_all_hosts_over_slow_links)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, fleetSize(59), slowLinkBytesPerSecond);
    startFleet(fleet);

    fleet.store().publish(2, makeDesiredText(2, 2'850));
    fleet.runFor(milliseconds(1'300));
    fleet.store().publish(3, makeDesiredText(3, 2'851));
    const milliseconds took = fleet.runUntilAllHave(3, applyTime);
    BOOST_TEST(fleet.hostsWith(3) == fleet.size());
    BOOST_TEST_MESSAGE("in force everywhere after " << took.count() << " ms, sent "
                                                    << fleet.sentBytes() << " bytes");
}

// A host sent requests to an upstream that had said it leaves while the links were full of desired
// states.
BOOST_AUTO_TEST_CASE(a_leaving_upstream_is_known_everywhere_while_a_large_desired_state_spreads)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, fleetSize(82), slowLinkBytesPerSecond);
    startFleet(fleet);

    fleet.store().publish(2, makeDesiredText(2, 2'850));
    fleet.runFor(milliseconds(500));
    fleet.store().announceLeaving();
    const milliseconds took = fleet.runUntil(
        [&fleet] { return fleet.hostsThatKnowLeaving() == fleet.size(); }, leaveTime);
    BOOST_TEST(fleet.hostsThatKnowLeaving() == fleet.size());
    BOOST_TEST_MESSAGE("known everywhere after " << took.count() << " ms");
}

// A host that was slower to send its state than the timeout of a query was asked again and again.
BOOST_AUTO_TEST_CASE(a_desired_state_that_takes_longer_than_a_query_timeout_is_received)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, 2, 400e3);
    startFleet(fleet);

    fleet.store().setAccess(1, false);
    std::string text = "2\n";
    std::mt19937 random(5); // Bytes that can't be compressed.
    while (text.size() < 600'000)
        text += char(random() % 256);
    fleet.store().publish(2, std::move(text));
    fleet.runUntilAllHave(2, applyTime);
    BOOST_TEST(fleet.hostsWith(2) == fleet.size());
}

// When all hosts that read the store were killed, the others took several intervals to replace
// them.
BOOST_AUTO_TEST_CASE(news_is_in_force_in_time_when_all_readers_are_killed)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, fleetSize(59), slowLinkBytesPerSecond);
    startFleet(fleet);
    fleet.runFor(applyTime * 3); // Until only the readers read.
    const int killed = fleet.killReaders();
    BOOST_TEST(killed >= 1);
    BOOST_TEST(killed <= 6);

    fleet.store().publish(2, makeDesiredText(2, 100));
    fleet.store().announceLeaving();
    const milliseconds leaving = fleet.runUntil(
        [&fleet] { return fleet.hostsThatKnowLeaving() == fleet.size(); }, leaveTime);
    const milliseconds applied = fleet.runUntilAllHave(2, applyTime - leaving);
    BOOST_TEST(fleet.hostsThatKnowLeaving() == fleet.size());
    BOOST_TEST(fleet.hostsWith(2) == fleet.size());
    BOOST_TEST_MESSAGE(killed << " readers killed; leaving known everywhere after "
                              << leaving.count() << " ms, state in force "
                              << (leaving + applied).count() << " ms");
}

// A host that started while the store refused it never asked the others for their state.
BOOST_AUTO_TEST_CASE(a_host_that_starts_without_the_store_gets_the_state_of_others)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, 3, slowLinkBytesPerSecond);
    fleet.store().setAccess(2, false);
    fleet.store().publish(1, makeDesiredText(1, 50));
    fleet.store().announceLeaving();
    fleet.runUntil(
        [&fleet] {
            return fleet.hostsWith(1) == fleet.size()
                && fleet.hostsThatKnowLeaving() == fleet.size();
        },
        applyTime + applyTime);
    BOOST_TEST(fleet.hostsWith(1) == fleet.size());
    BOOST_TEST(fleet.hostsThatKnowLeaving() == fleet.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall::testing
