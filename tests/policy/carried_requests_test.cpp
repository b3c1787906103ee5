#include "policy/carried_requests.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace quincefall {

BOOST_AUTO_TEST_SUITE(carried_requests_tests)

BOOST_AUTO_TEST_CASE(a_connection_knows_each_request_that_it_carried)
{
    carried_requests carried;
    BOOST_TEST(!hasCarried(carried, "9c41"));
    recordCarried(carried, "9c41");
    recordCarried(carried, "77aa");
    BOOST_TEST(hasCarried(carried, "9c41"));
    BOOST_TEST(hasCarried(carried, "77aa"));
    BOOST_TEST(!hasCarried(carried, "9c4"));
}

BOOST_AUTO_TEST_CASE(requests_without_an_id_are_not_told_apart)
{
    carried_requests carried;
    recordCarried(carried, "");
    BOOST_TEST(!hasCarried(carried, ""));
}

BOOST_AUTO_TEST_CASE(no_id_is_forgotten_before_the_connection_is_given_up)
{
    carried_requests carried;
    for (std::size_t number = 0; number < maxCarriedRequests; ++number) {
        BOOST_TEST(mayCarryMore(carried));
        recordCarried(carried, std::to_string(number));
    }
    BOOST_TEST(!mayCarryMore(carried));
    for (std::size_t number = 0; number < maxCarriedRequests; ++number)
        BOOST_TEST(hasCarried(carried, std::to_string(number)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace quincefall
