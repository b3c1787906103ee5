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
        lease_simulation simulation(seed, guards);
        simulation.run(ticksPerSeed);
        sum.holders += simulation.counts().holders;
        sum.orders += simulation.counts().orders;
        sum.refused += simulation.counts().refused;
        sum.twoHolders += simulation.counts().twoHolders;
        sum.staleOrders += simulation.counts().staleOrders;
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease_interleavings_suite)

BOOST_AUTO_TEST_CASE(at_most_one_process_may_act_at_any_time)
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

BOOST_AUTO_TEST_CASE(checks_detect_stale_orders_when_all_guards_are_off)
{
    BOOST_TEST(runAll({false, false, false}).staleOrders > 0);
}

BOOST_AUTO_TEST_CASE(trace_of_one_seed_matches_golden)
{
    lease_simulation simulation(3);
    simulation.run(400);
    testing::checkGolden("ledger/leases.txt", simulation.trace());
}

BOOST_AUTO_TEST_SUITE_END()
