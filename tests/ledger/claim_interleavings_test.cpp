#include "support/claim_simulation.h"
#include "support/golden.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;
using testing::claim_counts;
using testing::claim_guards;
using testing::claim_simulation;

namespace {

constexpr std::uint64_t seeds = 4000;
constexpr int stepsPerSeed = 400;

claim_counts runAll(claim_guards guards)
{
    claim_counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        claim_simulation simulation(seed, guards);
        simulation.run(stepsPerSeed);
        const claim_counts &one = simulation.counts();
        if (one.ranTwice + one.falseNotRun + one.wrongResults > 0 && guards.firstClaimWins
            && guards.asksPeers && guards.abandons)
            BOOST_TEST_MESSAGE("seed " << seed << "\n" << simulation.trace());
        sum.requests += one.requests;
        sum.runs += one.runs;
        sum.toldNotRun += one.toldNotRun;
        sum.toldUnknown += one.toldUnknown;
        sum.sameResults += one.sameResults;
        sum.faults += one.faults;
        sum.ranTwice += one.ranTwice;
        sum.falseNotRun += one.falseNotRun;
        sum.wrongResults += one.wrongResults;
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_interleavings_suite)

BOOST_AUTO_TEST_CASE(no_key_runs_twice_and_not_run_is_true)
{
    const claim_counts sum = runAll({});
    BOOST_TEST(sum.ranTwice == 0);
    BOOST_TEST(sum.falseNotRun == 0);
    BOOST_TEST(sum.wrongResults == 0);
    // The runs reach every kind of answer.
    BOOST_TEST(sum.runs > seeds / 2);
    BOOST_TEST(sum.toldNotRun > seeds / 4);
    BOOST_TEST(sum.toldUnknown > seeds / 2);
    BOOST_TEST(sum.sameResults > seeds / 2);
    BOOST_TEST(sum.faults > seeds);
}

BOOST_AUTO_TEST_CASE(checks_detect_a_host_that_does_not_read_its_claim_back)
{
    claim_guards guards;
    guards.firstClaimWins = false;
    BOOST_TEST(runAll(guards).ranTwice > 0);
}

BOOST_AUTO_TEST_CASE(checks_detect_a_host_that_relies_on_an_outdated_table)
{
    claim_guards guards;
    guards.asksPeers = false;
    BOOST_TEST(runAll(guards).falseNotRun > 0);
}

BOOST_AUTO_TEST_CASE(checks_detect_a_refused_attempt_that_still_sends)
{
    claim_guards guards;
    guards.abandons = false;
    BOOST_TEST(runAll(guards).falseNotRun > 0);
}

BOOST_AUTO_TEST_CASE(trace_of_one_seed_matches_golden)
{
    claim_simulation simulation(7);
    simulation.run(250);
    testing::checkGolden("ledger/claims.txt", simulation.trace());
}

BOOST_AUTO_TEST_SUITE_END()
