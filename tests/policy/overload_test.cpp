#include "policy/overload.h"

#include "route_model.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

/// A burst of long prompts that exceeds the engines' prefill capacity, with two engines lost in it.
model::scenario makeBurst(std::uint64_t seed)
{
    model::scenario day;
    day.hosts = 9;
    day.engines = 9;
    day.enginesLost = 2;
    day.kinds = model::typicalKinds(45);
    day.bursts = {{"plan", 500, 9'500, 2.3}};
    day.seed = seed;
    return day;
}

BOOST_AUTO_TEST_SUITE(overload_tests)

BOOST_AUTO_TEST_CASE(a_first_attempt_is_refused_when_it_would_be_late)
{
    const auto late = decideOverload({2'500, 2'000, 10'000, false});
    BOOST_TEST(!late.isAdmitted);
    BOOST_TEST(late.retryAfter.count() > 100);
    BOOST_TEST(late.retryAfter.count() <= 3'334);
    BOOST_TEST(decideOverload({1'000, 2'000, 10'000, false}).isAdmitted);
}

BOOST_AUTO_TEST_CASE(a_callers_retry_is_admitted_although_it_is_late)
{
    BOOST_TEST(decideOverload({2'500, 2'000, 7'000, true}).isAdmitted);
    BOOST_TEST(!decideOverload({3'500, 2'000, 7'000, true}).isAdmitted);
}

BOOST_AUTO_TEST_CASE(a_route_without_a_target_never_refuses)
{
    BOOST_TEST(decideOverload({60'000, 0, 100, false}).isAdmitted);
}

BOOST_AUTO_TEST_CASE(cache_misses_are_allowed_only_while_engines_are_idle)
{
    BOOST_TEST(allowsCacheMiss(5, 9));
    BOOST_TEST(!allowsCacheMiss(2, 9));
    BOOST_TEST(!allowsCacheMiss(0, 0));
}

BOOST_AUTO_TEST_CASE(a_much_shorter_timeout_indicates_a_callers_retry)
{
    caller_timeouts timeouts;
    for (int index = 0; index < 40; ++index)
        BOOST_TEST(!detectCallerRetry(timeouts, "plan", milliseconds(9'600 + index * 20)));
    BOOST_TEST(detectCallerRetry(timeouts, "plan", milliseconds(7'000)));
    BOOST_TEST(!detectCallerRetry(timeouts, "query", milliseconds(7'000)));
}

BOOST_AUTO_TEST_CASE(refusals_raise_the_share_of_timely_answers_in_a_burst)
{
    double with = 0;
    double without = 0;
    unsigned failedWith = 0;
    unsigned failedWithout = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        model::scenario day = makeBurst(seed);
        const model::scenario_result refusing = model::runScenario(day);
        day.hasAdmissionControl = false;
        const model::scenario_result taking = model::runScenario(day);
        for (const auto &[name, kind] : refusing.kinds) {
            with += kind.onTimeShare();
            failedWith += kind.failed;
        }
        for (const auto &[name, kind] : taking.kinds) {
            without += kind.onTimeShare();
            failedWithout += kind.failed;
        }
    }
    BOOST_TEST(with > without);
    BOOST_TEST(failedWith < failedWithout);
}

BOOST_AUTO_TEST_CASE(an_urgent_kind_is_not_refused_for_less_urgent_ones)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const model::scenario_result day = model::runScenario(makeBurst(seed));
        const double plan = day.kinds.at("plan").servedShare();
        BOOST_TEST(day.kinds.at("digest").servedShare() >= plan);
        BOOST_TEST(day.kinds.at("query").servedShare() >= plan);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
