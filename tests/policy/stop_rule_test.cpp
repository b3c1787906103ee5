#include "policy/stop_rule.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

BOOST_AUTO_TEST_SUITE(stop_rule_tests)

// Calls that may run once were taken late in a planned stop and cut at its end without an answer.
BOOST_AUTO_TEST_CASE(a_call_that_may_outlast_the_host_and_may_not_be_repeated_is_not_taken)
{
    const late_request call{false, seconds(10), seconds(1)};
    BOOST_TEST(!takesLateRequest(call, seconds(7)));
    BOOST_TEST(takesLateRequest(call, seconds(10)));
    BOOST_TEST(takesLateRequest({false, seconds(2), seconds(1)}, seconds(2)));
    BOOST_TEST(!takesLateRequest({false, seconds(2), seconds(1)}, milliseconds(1999)));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_is_taken_while_it_can_be_on_time)
{
    const late_request request{true, seconds(10), seconds(1)};
    BOOST_TEST(takesLateRequest(request, seconds(1)));
    BOOST_TEST(!takesLateRequest(request, milliseconds(999)));
    BOOST_TEST(!takesLateRequest(request, seconds(-1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
