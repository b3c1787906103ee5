#include "kernel/byte_budget.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

BOOST_AUTO_TEST_SUITE(byte_budget_tests)

BOOST_AUTO_TEST_CASE(one_large_message_does_not_evict_the_small_ones)
{
    const auto budget = byte_budget::makeByteBudget(100);
    int evicted = 0;
    const auto small = byte_budget::addShare(budget, [&evicted] { ++evicted; });
    const auto large = byte_budget::addShare(budget, [&evicted] { ++evicted; });
    BOOST_TEST(small->resize(20));
    BOOST_TEST(large->resize(80));
    BOOST_TEST(!large->resize(81));
    BOOST_TEST(!large->resize(1));
    BOOST_TEST(small->resize(100));
    BOOST_TEST(evicted == 0);
    BOOST_TEST(budget->heldBytes() == 100U);
    BOOST_TEST(budget->evictions() == 1U);
}

BOOST_AUTO_TEST_CASE(a_small_message_that_grows_evicts_the_largest_ones)
{
    const auto budget = byte_budget::makeByteBudget(100);
    std::string evicted;
    const auto older = byte_budget::addShare(budget, [&evicted] { evicted += "older "; });
    const auto newer = byte_budget::addShare(budget, [&evicted] { evicted += "newer "; });
    const auto small = byte_budget::addShare(budget, [&evicted] { evicted += "small "; });
    BOOST_TEST(older->resize(40));
    BOOST_TEST(newer->resize(40));
    BOOST_TEST(small->resize(20));
    BOOST_TEST(small->resize(21));
    BOOST_TEST(evicted == "newer ");
    BOOST_TEST(newer->isEvicted());
    BOOST_TEST(small->resize(39));
    BOOST_TEST(budget->heldBytes() == 79U);
}

BOOST_AUTO_TEST_CASE(what_a_finished_message_held_is_free_again)
{
    const auto budget = byte_budget::makeByteBudget(100);
    for (int message = 0; message < 5; ++message)
        BOOST_TEST(byte_budget::addShare(budget, nullptr)->resize(100));
    BOOST_TEST(budget->heldBytes() == 0U);
    BOOST_TEST(budget->evictions() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
