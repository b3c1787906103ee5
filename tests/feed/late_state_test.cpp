#include "feed_fleet.h"

namespace quincefall::testing {
namespace {

constexpr double slowLinkBytesPerSecond = 10e6 / 8; // 10 Mbit/s.
constexpr milliseconds startTime{2'500}; // Until all hosts know each other and the first state.
constexpr milliseconds applyTime{4'000}; // In which a desired state has to be in force everywhere.

BOOST_AUTO_TEST_SUITE(late_state_tests)

// Hosts on slow links did not get a desired state that had grown by 1400 routes in time.
BOOST_AUTO_TEST_CASE(a_large_desired_state_reaches_all_hosts_over_slow_links)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, 59, slowLinkBytesPerSecond);
    fleet.store().publish(1, makeDesiredText(1, 50));
    fleet.runFor(startTime);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());

    fleet.store().publish(2, makeDesiredText(2, 2'850));
    fleet.runFor(milliseconds(1'300));
    fleet.store().publish(3, makeDesiredText(3, 2'851));
    const milliseconds took = fleet.runUntilAllHave(3, applyTime);
    BOOST_TEST(fleet.hostsWith(3) == fleet.size());
    BOOST_TEST_MESSAGE("in force everywhere after " << took.count() << " ms, sent "
                                                    << fleet.sentBytes() << " bytes");
}

// A host that was slower to send its state than the timeout of a query was asked again and again.
BOOST_AUTO_TEST_CASE(a_desired_state_that_takes_longer_than_a_query_timeout_is_received)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, 2, 400e3);
    fleet.store().publish(1, makeDesiredText(1, 50));
    fleet.runFor(startTime);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());

    fleet.store().setAccess(1, false);
    std::string text = "2\n";
    std::mt19937 random(5); // Bytes that can't be compressed.
    while (text.size() < 600'000)
        text += char(random() % 256);
    fleet.store().publish(2, std::move(text));
    fleet.runUntilAllHave(2, applyTime);
    BOOST_TEST(fleet.hostsWith(2) == fleet.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall::testing
