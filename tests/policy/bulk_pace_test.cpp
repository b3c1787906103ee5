#include "policy/bulk_pace.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

constexpr double linkBytesPerSecond = 10e6 / 8; // 10 Mbit/s.
constexpr std::size_t stateBytes = 45'000; // Of 2850 routes, compressed.
constexpr instant start = instant{} + seconds(100);

int startAll(bulk_pace &pace, int queries, std::size_t bytes, instant now)
{
    int started = 0;
    for (int query = 0; query < queries; ++query)
        started += startBulk(pace, bytes, now) ? 1 : 0;
    return started;
}

BOOST_AUTO_TEST_SUITE(bulk_pace_tests)

// 118 hosts asked each of three readers at once; sent all at once, none arrived for four seconds.
BOOST_AUTO_TEST_CASE(queries_at_once_get_what_the_link_sends_in_a_quarter_of_a_second)
{
    bulk_pace pace{linkBytesPerSecond};
    int started = 0;
    for (int round = 0; round < 4; ++round)
        started += startAll(pace, 118, stateBytes, start + round * milliseconds(250));
    BOOST_TEST(started >= 4 * 6);
    BOOST_TEST(started <= int(1.25 * linkBytesPerSecond / stateBytes));
}

BOOST_AUTO_TEST_CASE(an_answer_larger_than_that_is_sent_alone)
{
    bulk_pace pace{linkBytesPerSecond};
    BOOST_TEST(startAll(pace, 10, 16'000'000, start) == 1);
    BOOST_TEST(startAll(pace, 10, 16'000'000, start + seconds(12)) == 0);
    BOOST_TEST(startAll(pace, 10, 16'000'000, start + seconds(13)) == 1);
}

BOOST_AUTO_TEST_CASE(an_answer_that_broke_off_makes_room_for_the_next)
{
    bulk_pace pace{linkBytesPerSecond};
    BOOST_TEST(startBulk(pace, 16'000'000, start));
    cancelBulk(pace, 16'000'000, start + milliseconds(100));
    BOOST_TEST(startBulk(pace, 16'000'000, start + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
