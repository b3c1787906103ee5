#include "policy/retry_budget.h"
#include "policy/stream_watch.h"
#include "policy/upstream_health.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

BOOST_AUTO_TEST_SUITE(upstream_health_test)

BOOST_AUTO_TEST_CASE(simultaneousFailuresCountOnceAndBackoffGrows)
{
    upstream_health health;
    instant now{seconds(10)};
    for (int stream = 0; stream < 16; ++stream)
        recordFailure(health, now + milliseconds(stream));
    BOOST_TEST(health.failures == 1);
    BOOST_TEST((health.probeFrom - now <= milliseconds(300)));
    for (int failure = 0; failure < 10; ++failure) {
        now += seconds(10);
        recordFailure(health, now);
    }
    BOOST_TEST((health.probeFrom - now == seconds(4)));
    recordSuccess(health);
    BOOST_TEST((health.state == upstream_health::condition::good));
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedToATenthOfTheSuccesses)
{
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        if (tryWithdrawRetry(budget))
            ++retries;
        else
            depositRetry(budget);
    }
    BOOST_TEST(retries <= 10 + 100);
    BOOST_TEST(retries >= 90);
}

BOOST_AUTO_TEST_CASE(aSlowAnswerIsReportedAndThenMoved)
{
    stream_watch watch;
    instant now{};
    const milliseconds gap{73};
    now += milliseconds(500);
    BOOST_TEST((watchStream(watch, 25, gap, now) == stream_action::none));
    now += milliseconds(500);
    BOOST_TEST((watchStream(watch, 28, gap, now) == stream_action::reportSlow));
    now += milliseconds(500);
    BOOST_TEST((watchStream(watch, 31, gap, now) == stream_action::move));
    now += milliseconds(500);
    BOOST_TEST((watchStream(watch, 56, gap, now) == stream_action::none));
}

BOOST_AUTO_TEST_SUITE_END()
