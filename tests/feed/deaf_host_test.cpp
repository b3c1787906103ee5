#include "feed_fleet.h"

namespace quincefall::testing {
namespace {

constexpr double linkBytesPerSecond = 10e6;
constexpr milliseconds startLimit{20'000}; // Until all hosts have the first state.
constexpr int hostCount = 9;

BOOST_AUTO_TEST_SUITE(deaf_host_tests)

BOOST_AUTO_TEST_CASE(a_host_that_hears_no_hints_has_news_in_force_in_time)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, hostCount, linkBytesPerSecond);
    fleet.store().publish(1, makeDesiredText(1, 5));
    fleet.runUntilAllHave(1, startLimit);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());
    fleet.runFor(applyTime * 2); // Until only the readers read.
    std::vector<int> deaf;
    for (int host = 0; host < hostCount; ++host) {
        if (!fleet.store().hasRead(host, applyTime))
            deaf.push_back(host);
    }
    BOOST_TEST_REQUIRE(!deaf.empty());
    fleet.store().publish(2, makeDesiredText(2, 5));
    const milliseconds took = fleet.runUntil(
        [&] {
            for (const int host : deaf)
                fleet.hintsAt(host).hosts.clear();
            return fleet.hostsWith(2) == fleet.size();
        },
        applyTime);
    BOOST_TEST(fleet.hostsWith(2) == fleet.size());
    BOOST_TEST_MESSAGE(deaf.size() << " deaf hosts, in force after " << took.count() << " ms");
}

BOOST_AUTO_TEST_CASE(a_host_that_is_refused_at_first_has_news_in_force_in_time)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, hostCount, linkBytesPerSecond);
    fleet.store().publish(1, makeDesiredText(1, 5));
    fleet.runUntilAllHave(1, startLimit);
    BOOST_TEST_REQUIRE(fleet.hostsWith(1) == fleet.size());
    fleet.store().setAccess(hostCount - 1, false);
    fleet.runFor(applyTime);
    fleet.store().publish(2, makeDesiredText(2, 5));
    const instant busyUntil = makeSystemClock().now() + applyTime / 2;
    const milliseconds took = fleet.runUntil(
        [&] {
            for (auto &[address, entry] : fleet.hintsAt(hostCount - 1).hosts) {
                if (makeSystemClock().now() < busyUntil)
                    entry.busyUntil = busyUntil;
            }
            return fleet.hostsWith(2) == fleet.size();
        },
        applyTime);
    BOOST_TEST(fleet.hostsWith(2) == fleet.size());
    BOOST_TEST(took.count() < (applyTime / 2 + applyTime / 4).count());
    BOOST_TEST_MESSAGE("in force after " << took.count() << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall::testing
