#include "support/golden.h"
#include "support/lease_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;
using testing::lease_counts;
using testing::lease_simulation;
using testing::order_guards;

namespace {

constexpr std::uint64_t seeds = 1000;
constexpr int ticksPerSeed = 600;

lease_counts runAll(order_guards guards)
{
    lease_counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        lease_simulation fleet(seed, guards);
        fleet.run(ticksPerSeed);
        sum.holders += fleet.counts().holders;
        sum.orders += fleet.counts().orders;
        sum.refused += fleet.counts().refused;
        sum.twoHolders += fleet.counts().twoHolders;
        sum.staleOrders += fleet.counts().staleOrders;
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease_interleavings_suite)

BOOST_AUTO_TEST_CASE(one_process_may_act_at_any_instant)
{
    const lease_counts sum = runAll({});
    BOOST_TEST(sum.twoHolders == 0);
    BOOST_TEST(sum.staleOrders == 0);
    BOOST_TEST(sum.holders > 2 * seeds);
    BOOST_TEST(sum.orders > 10 * seeds);
}

BOOST_AUTO_TEST_CASE(fencing_alone_stops_stale_orders)
{
    const lease_counts sum = runAll({true, false, false});
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
    lease_simulation fleet(3);
    fleet.run(400);
    testing::checkGolden("ledger/leases.txt", fleet.trace());
}

BOOST_AUTO_TEST_SUITE_END()
