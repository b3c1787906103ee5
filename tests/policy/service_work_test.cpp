#include "policy/service_work.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

void addEngine(service_pool &pool, const std::string &id, const std::string &domain,
               bool isInterruptible = false, bool isLeaving = false)
{
    upstream_entry &entry = pool.upstreams[id].listed;
    entry.id = id;
    entry.failureDomain = domain;
    entry.isInterruptible = isInterruptible;
    entry.isLeaving = isLeaving;
}

BOOST_AUTO_TEST_SUITE(service_work_tests)

BOOST_AUTO_TEST_CASE(work_counts_for_the_domain_of_the_host_that_has_it)
{
    service_pool pool;
    addEngine(pool, "a", "north");
    addEngine(pool, "b", "south");
    addEngine(pool, "c", "south");
    pool.upstreams["a"].inFlight[3] = 2;
    pool.upstreams["a"].unreadTokens[3] = 700;
    load_hint hint;
    hint.host.port = 9;
    hint.started = 1;
    hint.sequence = 1;
    upstream_work row{nameHash("a"), {}, {}};
    row.inFlight[0] = 5;
    row.unreadTokens[0] = 90;
    upstream_work elsewhere{nameHash("of another service"), {}, {}};
    elsewhere.inFlight[0] = 50;
    hint.upstreams = {row, elsewhere};
    fleet_load others;
    applyHint(others, hint, instant());

    const service_work work = sumWork(pool, others, {{hint.host, "south"}}, "north");
    BOOST_TEST(work.inFlight == 7);
    BOOST_TEST(work.busyEngines == 1);
    BOOST_TEST(work.callers.at("north") == 2);
    BOOST_TEST(work.callers.at("south") == 5);
}

BOOST_AUTO_TEST_CASE(engines_are_counted_by_domain_and_kind)
{
    service_pool pool;
    addEngine(pool, "a", "north");
    addEngine(pool, "b", "north", true);
    addEngine(pool, "c", "north", true, true);
    addEngine(pool, "d", "south", false, true);
    const auto domains = countEngines(pool);
    BOOST_TEST((domains.at("north").serving == engine_counts{1, 1}));
    BOOST_TEST(domains.at("north").interruptibleLeaving == 1U);
    BOOST_TEST(domains.at("south").serving.total() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
