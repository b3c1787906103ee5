#include "policy/ownership.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace quincefall;

BOOST_AUTO_TEST_SUITE(ownership_test)

BOOST_AUTO_TEST_CASE(losingOneHostMovesOnlyItsKeys)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "d"};
    for (int number = 0; number < 200; ++number) {
        const std::string key = "pool-" + std::to_string(number);
        const std::string_view before = rendezvousOwner(key, all);
        if (before != "c")
            BOOST_TEST(rendezvousOwner(key, fewer) == before);
    }
}

BOOST_AUTO_TEST_CASE(noHostMeansNoOwner)
{
    BOOST_TEST(rendezvousOwner("pool", {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
