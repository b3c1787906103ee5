#include "policy/upstream_links.h"

#include "policy/probation.h"
#include "policy/routed_upstream.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace quincefall {
namespace {

const host_address relay{"10.2.0.1", 7};

instant at(int ms)
{
    return instant{} + milliseconds(ms);
}

using pool_map = std::map<std::string, service_pool, std::less<>>;

routed_upstream &addUpstream(pool_map &pools, const std::string &service, const std::string &id)
{
    routed_upstream &upstream = pools[service].upstreams[id];
    upstream.listed.id = id;
    upstream.listed.service = service;
    return upstream;
}

/// Gives the upstream a request at @p since that is not answered.
void startRequest(routed_upstream &upstream, instant since)
{
    upstream.inFlight[0] = 1;
    upstream.busySince = since;
}

BOOST_AUTO_TEST_SUITE(upstream_links_tests)

BOOST_AUTO_TEST_CASE(a_host_cut_from_all_upstreams_knows_after_two_links)
{
    pool_map pools;
    upstream_links links;
    recordContact(links, at(1'000));
    routed_upstream &first = addUpstream(pools, "engines", "e1");
    routed_upstream &second = addUpstream(pools, "desk", "d1");
    recordRelay(first, relay, at(1'500));
    BOOST_TEST(!recordCutLink(links, first, at(1'100)));
    BOOST_TEST(!links.isIsolated);
    recordRelay(second, relay, at(1'600));
    BOOST_TEST(recordCutLink(links, second, at(1'200)));
    BOOST_TEST(links.isIsolated);
    BOOST_TEST(needsRelay(links, addUpstream(pools, "engines", "e2")));
    BOOST_TEST(recordContact(links, at(2'000)));
    BOOST_TEST(!needsRelay(links, addUpstream(pools, "engines", "e2")));
    BOOST_TEST(needsRelay(links, first));
}

BOOST_AUTO_TEST_CASE(a_host_that_hears_from_an_upstream_is_not_cut_from_all)
{
    pool_map pools;
    upstream_links links;
    for (int number = 0; number < 8; ++number) {
        routed_upstream &upstream = addUpstream(pools, "engines", std::to_string(number));
        recordContact(links, at(1'000 + number * 100));
        recordRelay(upstream, relay, at(1'000 + number * 100));
        BOOST_TEST(!recordCutLink(links, upstream, at(600 + number * 100)));
    }
    BOOST_TEST(!links.isIsolated);
    BOOST_TEST(countRelayed(pools) == 8U);
}

BOOST_AUTO_TEST_CASE(failures_of_a_cut_link_do_not_count_against_the_upstream)
{
    pool_map pools;
    routed_upstream &upstream = addUpstream(pools, "engines", "e1");
    for (int number = 0; number < 5; ++number) {
        recordOutcome(upstream, false, at(number * 200));
        recordFailure(upstream.health, at(number * 200));
    }
    BOOST_TEST(isWithheld(upstream, at(1'000)));
    recordRelay(upstream, relay, at(1'000));
    BOOST_TEST(!isWithheld(upstream, at(1'000)));
    BOOST_TEST(upstream.isDisconnected);
    // Failures of the upstream itself still count once it is relayed.
    recordFailure(upstream.health, at(1'100));
    recordRelay(upstream, {"10.2.0.2", 7}, at(1'200));
    BOOST_TEST(isWithheld(upstream, at(1'200)));
}

BOOST_AUTO_TEST_CASE(a_host_that_lost_its_links_and_all_relays_takes_no_new_callers)
{
    pool_map pools;
    upstream_links links;
    routed_upstream &upstream = addUpstream(pools, "engines", "e1");
    addUpstream(pools, "desk", "d1");
    BOOST_TEST(reachesUpstreams(links, pools));
    recordRelay(upstream, relay, at(0));
    links.isIsolated = true;
    BOOST_TEST(reachesUpstreams(links, pools));
    upstream.relay.reset();
    BOOST_TEST(!reachesUpstreams(links, pools));
    recordContact(links, at(100));
    BOOST_TEST(reachesUpstreams(links, pools));
}

BOOST_AUTO_TEST_CASE(a_direct_link_that_works_again_ends_the_relay)
{
    pool_map pools;
    routed_upstream &upstream = addUpstream(pools, "engines", "e1");
    recordRelay(upstream, relay, at(0));
    BOOST_TEST(takeDueReconnects(pools["engines"], at(100)).empty());
    BOOST_TEST(takeDueReconnects(pools["engines"], at(600)).size() == 1U);
    recordReconnect(upstream, false, at(1'000));
    BOOST_TEST(upstream.isRelayed);
    recordReconnect(upstream, true, at(1'500));
    BOOST_TEST(!upstream.isRelayed);
    BOOST_TEST(!upstream.relay.has_value());
}

BOOST_AUTO_TEST_CASE(links_that_fail_silently_are_checked_when_a_host_hears_nothing)
{
    pool_map pools;
    upstream_links links;
    recordContact(links, at(1'000));
    for (const char *id : {"e1", "e2", "e3", "e4", "e5"})
        startRequest(addUpstream(pools, "engines", id), at(1'000));
    BOOST_TEST(takeDueLinkChecks(pools, links, at(1'400)).empty());
    BOOST_TEST(takeDueLinkChecks(pools, links, at(1'600)).size() == 3U);
    BOOST_TEST(takeDueLinkChecks(pools, links, at(1'700)).size() == 2U);
    BOOST_TEST(takeDueLinkChecks(pools, links, at(1'800)).empty());
}

BOOST_AUTO_TEST_CASE(an_upstream_that_prefills_while_others_answer_is_not_checked)
{
    pool_map pools;
    upstream_links links;
    startRequest(addUpstream(pools, "engines", "e1"), at(1'000));
    recordContact(links, at(2'300));
    BOOST_TEST(takeDueLinkChecks(pools, links, at(2'400)).empty());
    BOOST_TEST(takeDueLinkChecks(pools, links, at(2'600)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_isolated_host_and_an_idle_one_check_no_links)
{
    pool_map pools;
    upstream_links links;
    addUpstream(pools, "engines", "e1");
    BOOST_TEST(takeDueLinkChecks(pools, links, at(60'000)).empty());
    startRequest(addUpstream(pools, "engines", "e2"), at(0));
    links.isIsolated = true;
    BOOST_TEST(takeDueLinkChecks(pools, links, at(60'000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
