#include "support/golden.h"
#include "support/lease_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;
using testing::lease_fleet;
using testing::lease_tally;
using testing::order_guards;

namespace {

constexpr std::uint64_t seeds = 1000;
constexpr int ticksPerSeed = 600;

lease_tally runAll(order_guards guards)
{
    lease_tally sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        lease_fleet fleet(seed, guards);
        fleet.run(ticksPerSeed);
        sum.holders += fleet.tally().holders;
        sum.orders += fleet.tally().orders;
        sum.refused += fleet.tally().refused;
        sum.twoHolders += fleet.tally().twoHolders;
        sum.staleOrders += fleet.tally().staleOrders;
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease_interleavings_suite)

BOOST_AUTO_TEST_CASE(one_process_may_act_at_any_instant)
{
    const lease_tally sum = runAll({});
    BOOST_TEST(sum.twoHolders == 0);
    BOOST_TEST(sum.staleOrders == 0);
    BOOST_TEST(sum.holders > 2 * seeds);
    BOOST_TEST(sum.orders > 10 * seeds);
}

BOOST_AUTO_TEST_CASE(fencing_alone_stops_stale_orders)
{
    const lease_tally sum = runAll({true, false, false});
    BOOST_TEST(sum.staleOrders == 0);
    BOOST_TEST(sum.refused > 0);
}

BOOST_AUTO_TEST_CASE(clock_alone_stops_stale_orders_of_engines_that_ignore_fencing)
{
    BOOST_TEST(runAll({false, true, true}).staleOrders == 0);
}

BOOST_AUTO_TEST_CASE(checks_notice_that_every_guard_is_out)
{
    BOOST_TEST(runAll({false, false, false}).staleOrders > 0);
}

BOOST_AUTO_TEST_CASE(one_session_is_as_recorded)
{
    lease_fleet fleet(3);
    fleet.run(400);
    testing::checkGolden("ledger/leases.txt", fleet.trace());
}

BOOST_AUTO_TEST_SUITE_END()
