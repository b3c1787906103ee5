#include "policy/probation.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

constexpr instant start = instant{} + seconds(100);

service_pool makePool()
{
    service_pool pool;
    for (const char *id : {"engine-0", "engine-1"})
        pool.upstreams[id].listed.id = id;
    return pool;
}

BOOST_AUTO_TEST_SUITE(probation_tests)

BOOST_AUTO_TEST_CASE(no_request_probes_an_upstream_that_accepts_no_connection)
{
    service_pool pool = makePool();
    routed_upstream &disconnected = pool.upstreams.at("engine-0");
    recordFailure(disconnected.health, start);
    recordDisconnect(disconnected);
    const instant due = start + seconds(5);
    BOOST_TEST(!shouldProbe(pool, disconnected, {true, 2'000}, due));
    BOOST_TEST(takeDueReconnects(pool, start).empty());
    const auto connects = takeDueReconnects(pool, due);
    BOOST_TEST_REQUIRE(connects.size() == 1U);
    BOOST_TEST(connects.front()->listed.id == "engine-0");
    BOOST_TEST(takeDueReconnects(pool, due).empty());
    recordReconnect(disconnected, false, due);
    BOOST_TEST(!shouldProbe(pool, disconnected, {true, 2'000}, due + seconds(3)));
    BOOST_TEST(takeDueReconnects(pool, due + seconds(1)).size() == 1U);
    recordReconnect(disconnected, true, due + seconds(1));
    BOOST_TEST(shouldProbe(pool, disconnected, {true, 2'000}, due + seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_is_not_connected_to)
{
    service_pool pool = makePool();
    recordDisconnect(pool.upstreams.at("engine-0"));
    pool.upstreams.at("engine-0").listed.isLeaving = true;
    BOOST_TEST(takeDueReconnects(pool, start).empty());
}

BOOST_AUTO_TEST_CASE(requests_with_long_targets_probe_first_and_any_after_a_while)
{
    service_pool pool = makePool();
    routed_upstream &failing = pool.upstreams.at("engine-0");
    recordFailure(failing.health, start);
    const instant due = failing.health.probeFrom;
    BOOST_TEST(!shouldProbe(pool, failing, {true, 2'000}, start));
    BOOST_TEST(!shouldProbe(pool, failing, {true, 500}, due));
    BOOST_TEST(!shouldProbe(pool, failing, {false, 2'000}, due));
    BOOST_TEST(shouldProbe(pool, failing, {true, 2'000}, due));
    BOOST_TEST(shouldProbe(pool, failing, {true, 500}, due + seconds(2)));
    BOOST_TEST(!shouldProbe(pool, pool.upstreams.at("engine-1"), {true, 2'000}, due));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_some_requests_is_probed_without_backoff)
{
    service_pool pool = makePool();
    routed_upstream &flaky = pool.upstreams.at("engine-0");
    for (int count = 0; count < 6; ++count)
        recordOutcome(flaky, false, start);
    BOOST_TEST(isWithheld(flaky, start));
    BOOST_TEST(!shouldProbe(pool, pool.upstreams.at("engine-1"), {true, 2'000}, start));
    BOOST_TEST(shouldProbe(pool, flaky, {true, 500}, start));
}

BOOST_AUTO_TEST_CASE(a_probe_that_fails_leaves_time_for_another_upstream)
{
    BOOST_TEST((probeTimeout(milliseconds(2'000)) == milliseconds(800)));
    BOOST_TEST((probeTimeout(milliseconds(500)) == milliseconds(400)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
