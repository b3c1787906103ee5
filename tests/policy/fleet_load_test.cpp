#include "policy/fleet_load.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

load_hint makeHint(std::uint16_t host, std::uint64_t started, std::uint64_t sequence, double work)
{
    load_hint hint;
    hint.host.port = host;
    hint.started = started;
    hint.sequence = sequence;
    upstream_work row{nameHash("engine"), {}, {}};
    row.inFlight[3] = work;
    row.unreadTokens[3] = work * 100;
    hint.upstreams = {row};
    hint.demands = {{nameHash("service"), work, work}};
    return hint;
}

BOOST_AUTO_TEST_SUITE(fleet_load_tests)

BOOST_AUTO_TEST_CASE(work_is_summed_over_hosts_and_replaced_by_newer_hints)
{
    fleet_load load;
    const instant now{};
    BOOST_TEST(applyHint(load, makeHint(1, 1, 1, 5), now));
    BOOST_TEST(applyHint(load, makeHint(2, 1, 1, 7), now));
    BOOST_TEST(workOfOtherHosts(load, nameHash("engine")).inFlight[3] == 12);
    BOOST_TEST(applyHint(load, makeHint(1, 1, 2, 1), now));
    BOOST_TEST(workOfOtherHosts(load, nameHash("engine")).unreadTokens[3] == 800);
    BOOST_TEST(demandOfOtherHosts(load, nameHash("service")).inFlight == 8);
}

BOOST_AUTO_TEST_CASE(a_late_datagram_does_not_replace_a_newer_one)
{
    fleet_load load;
    applyHint(load, makeHint(1, 1, 5, 5), instant{});
    BOOST_TEST(!applyHint(load, makeHint(1, 1, 4, 9), instant{}));
    // After a restart, a host's sequence numbers begin at 1 again.
    BOOST_TEST(applyHint(load, makeHint(1, 2, 1, 2), instant{}));
    BOOST_TEST(!applyHint(load, makeHint(1, 1, 9, 9), instant{}));
    BOOST_TEST(workOfOtherHosts(load, nameHash("engine")).inFlight[3] == 2);
}

BOOST_AUTO_TEST_CASE(the_work_of_a_host_without_recent_hints_is_dropped)
{
    fleet_load load;
    applyHint(load, makeHint(1, 1, 1, 5), instant{});
    applyHint(load, makeHint(2, 1, 1, 7), instant{} + seconds(3));
    dropExpiredHints(load, seconds(2), instant{} + seconds(4));
    BOOST_TEST(workOfOtherHosts(load, nameHash("engine")).inFlight[3] == 7);
    BOOST_TEST(workOfOtherHosts(load, nameHash("other")).inFlight[3] == 0);
}

BOOST_AUTO_TEST_CASE(sums_include_all_more_urgent_levels)
{
    by_urgency amounts{};
    amounts[0] = 1;
    amounts[4] = 2;
    amounts[9] = 4;
    BOOST_TEST(sumUpTo(amounts, 0) == 1);
    BOOST_TEST(sumUpTo(amounts, 4) == 3);
    BOOST_TEST(sumUpTo(amounts, 99) == 7);
    BOOST_TEST(sumUpTo(amounts, -1) == 1);
}

BOOST_AUTO_TEST_CASE(the_message_rate_of_a_large_fleet_is_bounded)
{
    BOOST_TEST(hintInterval(7).count() == 200);
    for (const unsigned hosts : {30U, 100U, 300U, 1000U})
        BOOST_TEST(hosts * 1000.0 / double(hintInterval(hosts).count()) <= 150);
}

BOOST_AUTO_TEST_CASE(the_newest_version_of_all_other_hosts_counts)
{
    fleet_load load;
    BOOST_TEST(newestDesiredVersion(load) == 0U);
    for (const std::uint16_t port : {1, 2, 3}) {
        load_hint hint;
        hint.host = {"10.0.0.1", port};
        hint.sequence = 1;
        hint.desiredVersion = port == 2 ? 21U : 19U;
        applyHint(load, hint, instant{});
    }
    BOOST_TEST(newestDesiredVersion(load) == 21U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
