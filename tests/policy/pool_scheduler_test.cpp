#include "policy/pool_scheduler.h"

#include "support/golden.h"
#include "support/pool_session.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace quincefall;
using quincefall::testing::checkGolden;
using quincefall::testing::makeThreeTierPlan;
using quincefall::testing::pool_session;

namespace {

pool_session makeSession(int upstreams, std::uint32_t slots)
{
    pool_session session;
    session.applyDecisions(
        configure(session.state, makeThreeTierPlan(upstreams, slots), session.now));
    return session;
}

std::string oldestRunning(const pool_session &session)
{
    const auto oldest = std::min_element(
        session.running.begin(), session.running.end(),
        [](const auto &a, const auto &b) { return a.second.permit < b.second.permit; });
    return oldest->first;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pool_scheduler_test)

BOOST_AUTO_TEST_CASE(tiersAreStrictAndDeadlinesOrderATier)
{
    pool_session session;
    pool_plan plan = makeThreeTierPlan(1, 1);
    plan.classes[2].guaranteedShare = 0;
    session.applyDecisions(configure(session.state, plan, session.now));
    session.submitRequest("first", "rosters", "a");
    session.submitRequest("low", "questions", "a");
    session.submitRequest("middle", "reports", "a");
    session.submitRequest("high", "rosters", "a");
    for (const char *const next : {"high", "middle", "low"}) {
        session.finishRequest(oldestRunning(session), 10, seconds(1));
        BOOST_TEST(oldestRunning(session) == next);
    }
    BOOST_TEST(session.state.rule.higherTierShedForLower == 0U);
}

BOOST_AUTO_TEST_CASE(oneOrganisationsBurstLeavesOthersTheirShare)
{
    pool_session session = makeSession(1, 2);
    for (int number = 0; number < 50; ++number)
        session.submitRequest("big-" + std::to_string(number), "rosters", "big");
    for (int number = 0; number < 5; ++number)
        session.submitRequest("small-" + std::to_string(number), "rosters", "small");
    for (int number = 0; number < 12; ++number)
        session.finishRequest(oldestRunning(session), 200, seconds(1));
    for (int number = 0; number < 5; ++number)
        BOOST_TEST(session.granted.contains("small-" + std::to_string(number)));
}

BOOST_AUTO_TEST_CASE(burstOfALowerClass)
{
    pool_session session = makeSession(1, 2);
    for (int number = 1; number <= 3; ++number)
        session.submitRequest("q" + std::to_string(number), "questions", "a");
    session.submitRequest("d1", "rosters", "a");
    session.submitRequest("d2", "rosters", "a");
    for (int number = 4; number <= 20; ++number) {
        session.submitRequest("q" + std::to_string(number), "questions", "a");
        if (number % 4 != 0)
            continue;
        session.advanceBy(milliseconds(500));
        session.finishRequest(oldestRunning(session), 50, seconds(1));
        session.submitRequest("d" + std::to_string(number), "rosters", "a");
    }
    for (int step = 0; step < 12; ++step) {
        session.advanceBy(milliseconds(1000));
        if (!session.running.empty())
            session.finishRequest(oldestRunning(session), 50, seconds(1));
    }
    session.writeCounters();
    BOOST_TEST(session.refusalsByClass["rosters"] == 0);
    BOOST_TEST(session.state.rule.higherTierShedForLower == 0U);
    checkGolden("policy/burst_of_a_lower_class.txt", session.transcript.str());
}

BOOST_AUTO_TEST_CASE(burstOfTheTopClass)
{
    pool_session session = makeSession(2, 2);
    session.submitRequest("q0", "questions", "a");
    int next = 1;
    for (int step = 0; step < 48; ++step) {
        for (int each = 0; each < 3; ++each)
            session.submitRequest("d" + std::to_string(next++), "rosters", "a");
        if (step % 8 == 0)
            session.submitRequest("q" + std::to_string(next), "questions", "a");
        session.advanceBy(milliseconds(500));
        session.finishRequest(oldestRunning(session), 50, seconds(1));
    }
    session.writeCounters();
    BOOST_TEST(session.state.rule.higherTierShedForLower == 0U);
    BOOST_TEST(session.grantsByClass["questions"] >= 4); // One per half of its maxWait of 8 s.
    checkGolden("policy/burst_of_the_top_class.txt", session.transcript.str());
}

BOOST_AUTO_TEST_CASE(aClassRefusedOnArrivalStillStartsOncePerHalfOfItsMaxWait)
{
    pool_session session = makeSession(2, 2);
    session.verbose = false;
    instant lastStart = session.now;
    int next = 0;
    for (int step = 0; step < 600; ++step) {
        session.submitRequest("d" + std::to_string(next++), "rosters", "a");
        session.submitRequest("q" + std::to_string(next++), "questions", "a");
        const int before = session.grantsByClass["questions"];
        session.advanceBy(milliseconds(100));
        if (step % 5 == 0)
            session.finishRequest(oldestRunning(session), 50, seconds(2));
        if (session.grantsByClass["questions"] > before)
            lastStart = session.now;
        // Half of the maxWait of 8 s, plus the time until a slot becomes free.
        BOOST_REQUIRE(session.now - lastStart <= milliseconds(4600));
    }
    BOOST_TEST(session.refusalsByClass["questions"] > 100);
}

BOOST_AUTO_TEST_CASE(aLateRequestYieldsToOnesThatCanBeOnTime)
{
    pool_session session = makeSession(1, 1);
    session.submitRequest("r0", "rosters", "a");
    for (int number = 1; number <= 20; ++number) {
        const std::string id = "r" + std::to_string(number);
        session.submitRequest(id, "rosters", "a");
        completion done;
        done.permit = session.running.begin()->second.permit;
        done.upstream = "engine-1";
        done.tokens = 100;
        done.timeToFirstToken = milliseconds(300);
        session.running.clear();
        session.applyDecisions(finish(session.state, done, session.now));
    }
    session.submitRequest("late", "rosters", "a");
    session.advanceBy(milliseconds(500)); // 200 ms are left, 300 ms are needed.
    session.submitRequest("on time", "rosters", "a");
    session.finishRequest("r20", 100, seconds(1));
    BOOST_TEST(session.granted.contains("on time"));
    BOOST_TEST(!session.granted.contains("late"));
}

BOOST_AUTO_TEST_CASE(aBrokenAnswerResumesBeforeOthersAtAnyAge)
{
    pool_session session = makeSession(1, 1);
    session.submitRequest("first", "rosters", "a");
    session.advanceBy(seconds(30));
    session.submitRequest("other", "rosters", "a");
    work_item broken;
    broken.id = "broken";
    broken.serviceClass = "rosters";
    broken.organisation = "a";
    broken.arrival = session.now - seconds(25);
    broken.resumeFrom = 70;
    session.applyDecisions(submit(session.state, broken, session.now));
    session.advanceBy(milliseconds(100));
    session.finishRequest("first", 10, seconds(1));
    BOOST_TEST(session.granted.contains("broken"));
}

BOOST_AUTO_TEST_CASE(stragglerIsProbedUntilItRecovers)
{
    pool_session session = makeSession(3, 2);
    int next = 0;
    double stragglerRate = 50;
    int onStraggler = 0;
    const auto runRound = [&] {
        for (int each = 0; each < 4; ++each)
            session.submitRequest("r" + std::to_string(next++), "questions", "a");
        std::map<std::string, grant> running;
        running.swap(session.running);
        session.now += milliseconds(1000);
        for (const auto &[id, permit] : running) {
            const bool slow = permit.upstream == "engine-2";
            const double rate = slow ? stragglerRate : 50;
            onStraggler += slow ? 1 : 0;
            completion done{permit.permit, permit.upstream, 101, milliseconds(100), {}};
            done.duration
                = microseconds(static_cast<std::int64_t>(100 / rate * 1e6)) + done.timeToFirstToken;
            session.writeLine("finish " + id + " on " + permit.upstream);
            session.applyDecisions(finish(session.state, done, session.now));
        }
    };
    const auto grantsToStraggler = [&](int rounds) {
        const int before = onStraggler;
        for (int round = 0; round < rounds; ++round)
            runRound();
        return onStraggler - before;
    };
    BOOST_TEST(grantsToStraggler(8) > 6);
    stragglerRate = 5;
    grantsToStraggler(2);
    BOOST_TEST(grantsToStraggler(8) <= 4); // One probe per 2 s.
    stragglerRate = 50;
    grantsToStraggler(4);
    BOOST_TEST(grantsToStraggler(8) > 6);
    checkGolden("policy/straggler.txt", session.transcript.str());
}

BOOST_AUTO_TEST_CASE(aLeavingUpstreamGetsNoNewRequestsAndExclusionsHold)
{
    pool_session session = makeSession(2, 1);
    pool_plan plan = makeThreeTierPlan(2, 1);
    plan.upstreams[0].leaving = true;
    session.applyDecisions(configure(session.state, plan, session.now));
    session.submitRequest("one", "rosters", "a");
    BOOST_TEST(session.running["one"].upstream == "engine-2");
    work_item again;
    again.id = "again";
    again.serviceClass = "rosters";
    again.arrival = session.now;
    again.excluded = {"engine-2"};
    session.applyDecisions(submit(session.state, again, session.now));
    session.submitRequest("two", "rosters", "a");
    session.finishRequest("one", 10, seconds(1));
    BOOST_TEST(session.running["two"].upstream == "engine-2");
    session.advanceBy(seconds(4));
    BOOST_TEST(!session.granted.contains("again"));
    BOOST_TEST(waitingCount(session.state) == 0U);
}

BOOST_AUTO_TEST_CASE(aNewOwnerCountsThePermitsOfAnEarlierOne)
{
    pool_session session = makeSession(1, 2);
    session.applyDecisions(adoptRunning(
        session.state, {"old", "entry-2", 1ULL << 40U, "engine-1", "rosters", "a", seconds(1)},
        session.now));
    session.submitRequest("one", "rosters", "a");
    session.submitRequest("two", "rosters", "a");
    BOOST_TEST(!session.granted.contains("two"));
    session.applyDecisions(dropEntryHost(session.state, "entry-2", session.now));
    BOOST_TEST(session.granted.contains("two"));
}

BOOST_AUTO_TEST_CASE(noRequestIsLostOrGrantedTwiceWhenAnOwnerIsReplaced)
{
    pool_session session = makeSession(1, 2);
    for (const char *const id : {"d1", "d2", "d3", "q1"})
        session.submitRequest(id, id[0] == 'd' ? "rosters" : "questions", "a");
    session.advanceBy(milliseconds(300));
    session.writeLine("the owner is lost; the entry host reports its running and waiting requests "
                      "to the next owner");
    session.state = {};
    session.state.nextPermit = 1ULL << 40U;
    session.now += milliseconds(500);
    session.applyDecisions(configure(session.state, makeThreeTierPlan(1, 2), session.now));
    for (const char *const id : {"d1", "d2"}) {
        const grant &permit = session.running[id];
        session.writeLine("adopt " + permit.id + " on " + permit.upstream);
        session.applyDecisions(adoptRunning(
            session.state,
            {id, "entry-1", permit.permit, permit.upstream, "rosters", "a", milliseconds(800)},
            session.now));
    }
    session.submitRequest("q1", "questions", "a");
    session.submitRequest("d3", "rosters", "a");
    session.submitRequest("d3", "rosters", "a");
    BOOST_TEST(session.running.size() == 2U);
    session.finishRequest("d1", 50, seconds(1));
    BOOST_TEST(session.granted.contains("d3"));
    session.finishRequest("d2", 50, seconds(1));
    session.finishRequest("d3", 50, seconds(1));
    session.finishRequest("q1", 50, seconds(1));
    session.writeCounters();
    BOOST_TEST(runningCount(session.state) == 0U);
    BOOST_TEST(session.grantsByClass["rosters"] == 3);
    checkGolden("policy/lost_owner.txt", session.transcript.str());
}

BOOST_AUTO_TEST_CASE(requestsCrossRegionsOnlyAfterHalfOfTheirTargetAndWithinTheLinkBudget)
{
    pool_plan plan = makeThreeTierPlan(2, 4);
    plan.upstreams[0].region = "pirkanmaa";
    plan.linkBytesPerSecond = 20'000;
    for (const bool partitioned : {false, true}) {
        plan.regionsPartitioned = partitioned;
        pool_session session;
        session.now += seconds(10);
        session.applyDecisions(configure(session.state, plan, session.now));
        for (int number = 0; number < 8; ++number) {
            work_item item;
            item.id = std::to_string(number);
            item.entryRegion = "uusimaa";
            item.serviceClass = "questions";
            item.arrival = session.now;
            session.applyDecisions(submit(session.state, item, session.now));
        }
        BOOST_TEST(session.running.size() == 4U); // All on the local upstream.
        session.advanceBy(milliseconds(499));
        BOOST_TEST(session.running.size() == 4U);
        session.advanceBy(milliseconds(1));
        // Each request is charged for 200 tokens of 180 bytes; the second one uses up the 40 kB
        // that were saved.
        BOOST_TEST(session.running.size() == (partitioned ? 4U : 6U));
    }
}

BOOST_AUTO_TEST_CASE(requestsPreferTheHolderOfTheirPrefixUnlessItIsMuchMoreLoaded)
{
    pool_session session = makeSession(2, 4);
    const auto start = [&session](const std::string &id, std::uint64_t prefix) {
        work_item item;
        item.id = id;
        item.serviceClass = "questions";
        item.prefixHash = prefix;
        item.arrival = session.now;
        session.applyDecisions(submit(session.state, item, session.now));
        return session.running[id].upstream;
    };
    applyCacheEvent(session.state, {"engine-2", 7, 42, true});
    BOOST_TEST(start("a", 42) == "engine-2");
    BOOST_TEST(start("b", 42) == "engine-2"); // One more request on 4 slots is within the bound.
    BOOST_TEST(start("c", 42) == "engine-1");
    BOOST_TEST(start("d", 1) == "engine-1");
}

BOOST_AUTO_TEST_CASE(randomSessionsKeepTheInvariants)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&random](unsigned limit) { return random() % limit; };
        pool_session session = makeSession(3, 4);
        session.verbose = false;
        const char *const classes[] = {"rosters", "reports", "questions"};
        std::size_t submitted = 0;
        for (int step = 0; step < 3000; ++step) {
            const unsigned choice = below(10);
            if (choice < 5) {
                const std::string organisation(1, static_cast<char>('a' + below(4)));
                session.submitRequest("r" + std::to_string(submitted++), classes[below(3)],
                                      organisation);
            } else if (choice < 8 && !session.running.empty()) {
                session.finishRequest(oldestRunning(session), 1 + below(400), seconds(1));
            } else {
                session.advanceBy(milliseconds(below(400)));
            }
            for (const auto &[name, record] : session.state.upstreams.records)
                BOOST_REQUIRE_LE(record.running.size(), 4U);
            BOOST_REQUIRE_EQUAL(session.state.rule.higherTierShedForLower, 0U);
        }
        session.advanceBy(seconds(10));
        while (!session.running.empty())
            session.finishRequest(oldestRunning(session), 10, seconds(1));
        BOOST_TEST(waitingCount(session.state) == 0U);
        std::size_t decided = 0;
        for (const auto &[name, count] : session.grantsByClass)
            decided += static_cast<std::size_t>(count);
        BOOST_TEST(decided == session.granted.size()); // No id is granted twice.
        for (const auto &[name, count] : session.refusalsByClass)
            decided += static_cast<std::size_t>(count);
        BOOST_TEST(decided == submitted);
    }
}

BOOST_AUTO_TEST_SUITE_END()
