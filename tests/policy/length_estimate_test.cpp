#include "policy/length_estimate.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

BOOST_AUTO_TEST_SUITE(length_estimate_test)

BOOST_AUTO_TEST_CASE(estimatesFollowTheAnswersRecordedByClassAndModel)
{
    length_estimates estimates;
    BOOST_TEST(expectedTokens(estimates, "rosters", "m", 200) == 200);
    for (int number = 0; number < 100; ++number)
        recordAnswer(estimates, "rosters", "m", 100 + number % 2 * 100, milliseconds(120));
    BOOST_TEST(expectedTokens(estimates, "rosters", "m", 1) == 150);
    BOOST_TEST(expectedTokens(estimates, "reports", "m", 1) == 1);
    const microseconds time = timeToFirstToken(estimates, "rosters", "m", 0.8);
    BOOST_TEST((time >= milliseconds(120) && time < milliseconds(160)));
}

BOOST_AUTO_TEST_CASE(oldSamplesLoseWeight)
{
    length_estimates estimates;
    for (int number = 0; number < 10'000; ++number)
        recordAnswer(estimates, "rosters", "m", 100, milliseconds(100));
    for (int number = 0; number < 10'000; ++number)
        recordAnswer(estimates, "rosters", "m", 400, milliseconds(400));
    BOOST_TEST(expectedTokens(estimates, "rosters", "m", 1) > 390);
    BOOST_TEST((timeToFirstToken(estimates, "rosters", "m", 0.5) >= milliseconds(400)));
}

BOOST_AUTO_TEST_SUITE_END()
