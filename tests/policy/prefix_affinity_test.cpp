#include "policy/prefix_affinity.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

BOOST_AUTO_TEST_SUITE(prefix_affinity_test)

BOOST_AUTO_TEST_CASE(aGapInTheEventsDropsTheHintsOfThatUpstreamOnly)
{
    prefix_hints hints;
    applyCacheEvent(hints, {"engine-1", 5, 100, true});
    applyCacheEvent(hints, {"engine-1", 6, 200, true});
    applyCacheEvent(hints, {"engine-2", 1, 100, true});
    applyCacheEvent(hints, {"engine-1", 6, 200, false}); // Repeated, so it is ignored.
    BOOST_TEST(holdersOf(hints, 200)->contains("engine-1"));
    applyCacheEvent(hints, {"engine-1", 8, 300, true});
    BOOST_TEST(holdersOf(hints, 200) == nullptr);
    BOOST_TEST(holdersOf(hints, 100)->size() == 1U);
    BOOST_TEST(holdersOf(hints, 300)->contains("engine-1"));
    applyCacheEvent(hints, {"engine-1", 9, 300, false});
    BOOST_TEST(holdersOf(hints, 300) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
