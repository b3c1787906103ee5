#include "policy/feed_plan.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace quincefall {
namespace {

constexpr milliseconds interval{1'000};

host_address hostAt(int port)
{
    return {"10.0.0.1", std::uint16_t(port)};
}

struct other_host
{
    int port;
    std::uint64_t revision;
    milliseconds age;
    std::uint64_t epoch = 0;
};

fleet_load makeOthers(std::initializer_list<other_host> hosts, instant now)
{
    fleet_load others;
    for (const other_host &host : hosts) {
        load_hint hint;
        hint.host = hostAt(host.port);
        hint.sequence = 1;
        hint.upstreamsNext = {host.epoch, host.revision};
        hint.upstreamsAge = host.age;
        applyHint(others, hint, now);
    }
    return others;
}

/// Hints of all hosts with the ports 1 to @p count but @p own, which have the same revision. Those
/// of
/// @p silent were received a second ago.
fleet_load makeFleet(int count, int own, instant now, const std::set<int> &silent = {})
{
    fleet_load others;
    for (int port = 1; port <= count; ++port) {
        load_hint hint;
        hint.host = hostAt(port);
        hint.sequence = 1;
        hint.upstreamsNext = {0, 5};
        if (port != own)
            applyHint(others, hint, silent.contains(port) ? now - seconds(1) : now);
    }
    return others;
}

feed_view makeView(std::uint64_t revision, milliseconds age, milliseconds sinceRead)
{
    return {{0, revision}, age, true, true, interval, sinceRead};
}

BOOST_AUTO_TEST_SUITE(feed_plan_tests)

BOOST_AUTO_TEST_CASE(many_hosts_spread_their_calls_over_the_up_to_date_ones)
{
    const instant now = instant{} + seconds(100);
    std::map<std::uint16_t, int> asked;
    for (int own = 1; own <= 300; ++own) {
        const fleet_load others = makeOthers({{901, 9, milliseconds(0)},
                                              {902, 9, milliseconds(0)},
                                              {903, 9, milliseconds(0)},
                                              {904, 8, milliseconds(0)}},
                                             now);
        const feed_step step
            = planFeed(makeView(5, milliseconds(0), milliseconds(0)), others, hostAt(own), now);
        BOOST_TEST_REQUIRE((step.action == feed_step::kind::askHost));
        ++asked[step.host.port];
    }
    BOOST_TEST(asked.size() == 3U);
    for (const auto &[port, count] : asked)
        BOOST_TEST(count < 150);
}

BOOST_AUTO_TEST_CASE(three_hosts_of_many_read_the_store)
{
    const instant now = instant{} + seconds(100);
    int readers = 0;
    for (int own = 1; own <= 20; ++own) {
        const fleet_load others = makeFleet(20, own, now);
        const feed_step step
            = planFeed(makeView(5, milliseconds(0), seconds(2)), others, hostAt(own), now);
        readers += step.action == feed_step::kind::readStore ? 1 : 0;
    }
    BOOST_TEST(readers == 3);
}

// When the three readers of 195 hosts were killed at once, nobody read the store for five seconds.
BOOST_AUTO_TEST_CASE(readers_of_a_large_fleet_that_are_killed_at_once_are_replaced_within_a_second)
{
    constexpr int hosts = 195;
    const instant killed = instant{} + seconds(100);
    const instant now = killed + seconds(1);
    const auto countReaders = [](const std::set<int> &dead, instant at) {
        std::set<int> readers;
        for (int own = 1; own <= hosts; ++own) {
            const fleet_load others = makeFleet(hosts, own, at, dead);
            if (!dead.contains(own)
                && isReader(makeView(5, seconds(0), seconds(2)), others, hostAt(own), at))
                readers.insert(own);
        }
        return readers;
    };
    const std::set<int> readers = countReaders({}, killed);
    BOOST_TEST(readers.size() == 3U);
    BOOST_TEST(countReaders(readers, now).size() == 3U);
}

BOOST_AUTO_TEST_CASE(reader_candidates_are_the_same_few_for_all_hosts)
{
    const instant now = instant{} + seconds(100);
    std::map<std::uint16_t, int> named;
    for (int own = 1; own <= 50; ++own) {
        const fleet_load others = makeFleet(50, own, now);
        for (const host_address &candidate : readerCandidates(others, hostAt(own)))
            ++named[candidate.port];
    }
    BOOST_TEST(named.size() == 8U);
    for (const auto &[port, count] : named)
        BOOST_TEST(count == 7);
}

BOOST_AUTO_TEST_CASE(a_single_host_reads_the_store_itself)
{
    const fleet_load nobody;
    const auto due = planFeed(makeView(5, seconds(1), seconds(1)), nobody, hostAt(1), instant{});
    BOOST_TEST((due.action == feed_step::kind::readStore));
    const auto soon
        = planFeed(makeView(5, seconds(0), milliseconds(10)), nobody, hostAt(1), instant{});
    BOOST_TEST((soon.action == feed_step::kind::wait));
}

BOOST_AUTO_TEST_CASE(the_host_with_the_newest_revision_is_asked)
{
    const instant now = instant{} + seconds(100);
    const fleet_load others = makeOthers(
        {{2, 7, milliseconds(0)}, {3, 9, milliseconds(0)}, {4, 8, milliseconds(0)}}, now);
    const auto step
        = planFeed(makeView(5, milliseconds(0), milliseconds(0)), others, hostAt(1), now);
    BOOST_TEST((step.action == feed_step::kind::askHost));
    BOOST_TEST(step.host.port == 3);
}

BOOST_AUTO_TEST_CASE(a_host_that_did_not_answer_is_not_asked_again_at_once)
{
    const instant now = instant{} + seconds(100);
    fleet_load others = makeOthers({{2, 7, milliseconds(0)}, {3, 9, milliseconds(0)}}, now);
    dropHostHint(others, hostAt(3));
    const auto step
        = planFeed(makeView(5, milliseconds(0), milliseconds(0)), others, hostAt(1), now);
    BOOST_TEST(step.host.port == 2);
}

// When a fleet starts, each host has another revision.
BOOST_AUTO_TEST_CASE(hosts_without_a_list_do_not_all_ask_the_one_with_the_newest)
{
    const instant now = instant{} + seconds(100);
    fleet_load others;
    for (int port = 901; port <= 950; ++port) {
        load_hint hint;
        hint.host = hostAt(port);
        hint.sequence = 1;
        hint.upstreamsNext = {0, std::uint64_t(port)};
        applyHint(others, hint, now);
    }
    std::map<std::uint16_t, int> asked;
    for (int own = 1; own <= 300; ++own) {
        feed_view view = makeView(0, milliseconds(0), milliseconds(0));
        view.isStoreReachable = false;
        ++asked[planFeed(view, others, hostAt(own), now).host.port];
    }
    BOOST_TEST(asked.size() > 40U);
    for (const auto &[port, count] : asked)
        BOOST_TEST(count < 30);
}

// A host that refused a query was forgotten with its load until its next hint.
BOOST_AUTO_TEST_CASE(a_busy_host_keeps_its_load_and_is_asked_again_when_it_is_free)
{
    const instant now = instant{} + seconds(100);
    fleet_load others = makeOthers({{2, 7, milliseconds(0)}, {3, 9, milliseconds(0)}}, now);
    recordBusyHost(others, hostAt(3), now + milliseconds(250));
    const feed_view view = makeView(5, milliseconds(0), milliseconds(0));
    BOOST_TEST(planFeed(view, others, hostAt(1), now).host.port == 2);
    BOOST_TEST(planFeed(view, others, hostAt(1), now + milliseconds(250)).host.port == 3);
    BOOST_TEST(others.hosts.size() == 2U);

    load_hint renewed = others.hosts.at(hostAt(3)).hint;
    ++renewed.sequence;
    applyHint(others, renewed, now);
    BOOST_TEST(planFeed(view, others, hostAt(1), now).host.port == 2);
}

BOOST_AUTO_TEST_CASE(a_host_without_the_store_does_not_read_it_while_the_others_are_busy)
{
    const instant now = instant{} + seconds(100);
    fleet_load others = makeOthers({{2, 7, milliseconds(0)}}, now);
    recordBusyHost(others, hostAt(2), now + milliseconds(250));
    feed_view view = makeView(5, milliseconds(0), seconds(2));
    view.isStoreReachable = false;
    BOOST_TEST((planFeed(view, others, hostAt(1), now).action == feed_step::kind::wait));
}

BOOST_AUTO_TEST_CASE(readers_without_answers_from_the_store_are_replaced)
{
    const instant now = instant{} + seconds(100);
    const fleet_load lost = makeOthers({{2, 5, seconds(60)},
                                        {3, 5, seconds(60)},
                                        {4, 5, seconds(60)},
                                        {5, 5, seconds(60)},
                                        {6, 5, seconds(60)}},
                                       now);
    BOOST_TEST(isReader(makeView(5, seconds(0), seconds(2)), lost, hostAt(1), now));
}

// In a large fleet a reader's last read is told so late that each host read the store itself.
BOOST_AUTO_TEST_CASE(readers_whose_hints_are_seconds_apart_are_not_replaced)
{
    constexpr int hosts = 300;
    const instant now = instant{} + seconds(100);
    const milliseconds late = hintInterval(hosts);
    int readers = 0;
    for (int own = 1; own <= hosts; ++own) {
        fleet_load others = makeFleet(hosts, own, now - late);
        for (const host_address &candidate : readerCandidates(others, hostAt(own)))
            others.hosts.at(candidate).received = now;
        feed_view view = makeView(5, interval + late, seconds(2));
        view.hintInterval = late;
        for (auto &[address, entry] : others.hosts)
            entry.hint.upstreamsAge = interval;
        readers += planFeed(view, others, hostAt(own), now).action == feed_step::kind::readStore;
    }
    BOOST_TEST(readers == 3);
}

BOOST_AUTO_TEST_CASE(an_outdated_host_asks_other_hosts_between_its_reads)
{
    const instant now = instant{} + seconds(100);
    const fleet_load others = makeOthers({{2, 9, milliseconds(0)}}, now);
    const auto between
        = planFeed(makeView(5, seconds(30), milliseconds(100)), others, hostAt(1), now);
    BOOST_TEST((between.action == feed_step::kind::askHost));
    const auto due = planFeed(makeView(5, seconds(30), seconds(1)), others, hostAt(1), now);
    BOOST_TEST((due.action == feed_step::kind::readStore));
}

BOOST_AUTO_TEST_CASE(a_reader_whose_read_failed_asks_a_host_with_a_newer_revision)
{
    const instant now = instant{} + seconds(100);
    const fleet_load others = makeOthers({{2, 9, milliseconds(0)}}, now);
    feed_view refused = makeView(5, milliseconds(0), seconds(1));
    refused.isStoreReachable = false;
    const auto step = planFeed(refused, others, hostAt(1), now);
    BOOST_TEST((step.action == feed_step::kind::askHost));
    refused.revision.offset = 9;
    const auto informed = planFeed(refused, others, hostAt(1), now);
    BOOST_TEST((informed.action == feed_step::kind::readStore));
}

BOOST_AUTO_TEST_CASE(a_confirmation_by_another_host_with_the_same_revision_counts)
{
    const instant now = instant{} + seconds(100);
    const fleet_load others = makeOthers({{2, 5, milliseconds(300)}, {3, 6, milliseconds(0)}}, now);
    BOOST_TEST((latestConfirmation(makeView(5, seconds(9), seconds(9)), others)
                == now - milliseconds(300)));
    BOOST_TEST((latestConfirmation(makeView(4, seconds(9), seconds(9)), others) == instant::min()));
}

BOOST_AUTO_TEST_CASE(an_offset_of_a_newer_epoch_is_newer_even_if_it_is_lower)
{
    const instant now = instant{} + seconds(100);
    const fleet_load others = makeOthers(
        {{2, 900, milliseconds(0), 4}, {3, 40, milliseconds(0), 5}, {4, 0, seconds(60), 6}}, now);
    feed_view view = makeView(800, milliseconds(0), milliseconds(0));
    view.revision.epoch = 4;
    const auto step = planFeed(view, others, hostAt(1), now);
    BOOST_TEST((step.action == feed_step::kind::askHost));
    BOOST_TEST(step.host.port == 3);
    // A host of an older epoch confirms nothing.
    view.revision = {5, 900};
    BOOST_TEST((latestConfirmation(view, others) == instant::min()));
    BOOST_TEST((planFeed(view, others, hostAt(1), now).action == feed_step::kind::wait));
}

BOOST_AUTO_TEST_CASE(a_read_that_is_under_way_is_given_an_eighth_of_the_interval)
{
    const instant now = instant{} + seconds(100);
    const fleet_load others = makeOthers({{901, 9, milliseconds(0)}}, now);
    const feed_view view = makeView(5, milliseconds(0), milliseconds(0));
    const auto ask = [&](milliseconds knownFor) {
        return hostToAskDuringRead(view, others, hostAt(1), knownFor, now);
    };
    BOOST_TEST(!ask(milliseconds(0)).has_value());
    BOOST_TEST(!ask(interval / 8 - milliseconds(1)).has_value());
    BOOST_TEST_REQUIRE(ask(interval / 8).has_value());
    BOOST_TEST(ask(interval / 8)->port == 901);
}

BOOST_AUTO_TEST_CASE(no_host_is_asked_during_a_read_that_has_nothing_newer_or_is_busy)
{
    const instant now = instant{} + seconds(100);
    const feed_view view = makeView(5, milliseconds(0), milliseconds(0));
    fleet_load others = makeOthers({{901, 5, milliseconds(0)}, {902, 4, milliseconds(0)}}, now);
    BOOST_TEST(!hostToAskDuringRead(view, others, hostAt(1), interval, now).has_value());
    others = makeOthers({{901, 9, milliseconds(0)}}, now);
    recordBusyHost(others, hostAt(901), now + milliseconds(50));
    BOOST_TEST(!hostToAskDuringRead(view, others, hostAt(1), interval, now).has_value());
}

/// Number of @p count hosts that read the store when the revisions of all were confirmed @p age
/// ago.
int countReaders(int count, milliseconds age, instant now)
{
    int readers = 0;
    for (int own = 1; own <= count; ++own) {
        const feed_view view = makeView(5, age, interval);
        fleet_load others;
        for (int port = 1; port <= count; ++port) {
            load_hint hint;
            hint.host = hostAt(port);
            hint.sequence = 1;
            hint.upstreamsNext = {0, 5};
            hint.upstreamsAge = age;
            if (port != own)
                applyHint(others, hint, now);
        }
        readers += planFeed(view, others, hostAt(own), now).action == feed_step::kind::readStore;
    }
    return readers;
}

BOOST_AUTO_TEST_CASE(late_readers_get_help_from_as_many_hosts_before_all_read)
{
    const instant now = instant{} + seconds(100);
    for (const int count : {9, 60, 300}) {
        BOOST_TEST(countReaders(count, interval, now) == 3);
        BOOST_TEST(countReaders(count, interval * 5 / 4, now) == 6);
        BOOST_TEST(countReaders(count, interval * 3 - milliseconds(1), now) == 6);
        BOOST_TEST(countReaders(count, interval * 3, now) == count);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
