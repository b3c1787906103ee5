#include "feed_fleet.h"

namespace quincefall::testing {
namespace {

constexpr double linkBytesPerSecond = 10e6;
constexpr milliseconds startLimit{20'000}; // Until all hosts have the first state.

BOOST_AUTO_TEST_SUITE(confirm_tests)

BOOST_AUTO_TEST_CASE(a_host_that_confirms_what_it_has_has_what_the_store_had_then)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, 3, linkBytesPerSecond);
    fleet.store().publish(1, makeDesiredText(1, 5));
    fleet.runUntilAllHave(1, startLimit);
    std::uint64_t version = 1;
    for (int host = 0; host < 3; ++host) {
        ++version;
        fleet.store().publish(version, makeDesiredText(version, 5));
        BOOST_TEST(fleet.confirm(host));
        BOOST_TEST(fleet.routingAt(host).desired->version == version);
    }
    fleet.store().announceLeaving();
    BOOST_TEST(fleet.confirm(2));
    BOOST_TEST(fleet.routingAt(2).membership.listings.at("upstream-1").entry.isLeaving);
}

BOOST_AUTO_TEST_CASE(a_host_without_a_path_to_the_store_confirms_nothing)
{
    boost::asio::io_context context;
    feed_fleet fleet(context, 3, linkBytesPerSecond);
    fleet.store().publish(1, makeDesiredText(1, 5));
    fleet.runUntilAllHave(1, startLimit);
    for (int host = 0; host < 3; ++host) {
        fleet.store().setAccess(host, false);
        BOOST_TEST(!fleet.confirm(host));
        fleet.store().setAccess(host, true);
        BOOST_TEST(fleet.confirm(host));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall::testing
