#include "serve/load_poller.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

BOOST_AUTO_TEST_SUITE(load_poller_test)

BOOST_AUTO_TEST_CASE(cacheEventsAreParsed)
{
    std::uint64_t next = 3;
    const auto events = parseCacheEvents(
        "e1",
        R"({"next":6,"events":[{"seq":3,"action":"stored","prefix":"00000000000000ff"},
            {"seq":5,"action":"evicted","prefix":"ffffffffffffffff"}]})",
        next);
    BOOST_REQUIRE(events.has_value());
    BOOST_TEST(next == 6);
    BOOST_TEST(events->at(0).prefixHash == 255);
    BOOST_TEST(events->at(0).stored);
    BOOST_TEST(events->at(1).sequence == 5);
    BOOST_TEST(!events->at(1).stored);
}

BOOST_AUTO_TEST_CASE(malformedResponsesAreRejected)
{
    std::uint64_t next = 3;
    for (const std::string_view body :
         {"", "[]", R"({"next":9})", R"({"next":9,"events":[{"seq":1,"prefix":"zz"}]})"}) {
        BOOST_TEST(!parseCacheEvents("e1", body, next).has_value());
        BOOST_TEST(!parseLoadReport("e1", body).has_value());
    }
    BOOST_TEST(next == 3);
}

BOOST_AUTO_TEST_SUITE_END()
