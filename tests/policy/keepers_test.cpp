#include "policy/keepers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace quincefall {
namespace {

std::vector<host_address> makeHosts(int count)
{
    std::vector<host_address> hosts;
    hosts.reserve(std::size_t(count));
    for (int index = 0; index < count; ++index)
        hosts.push_back(
            {"10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200), 7});
    return hosts;
}

fleet_load othersOf(const std::vector<host_address> &hosts, const host_address &own)
{
    fleet_load load;
    for (const host_address &host : hosts) {
        if (host != own)
            load.hosts[host] = {};
    }
    return load;
}

BOOST_AUTO_TEST_SUITE(keepers_tests)

BOOST_AUTO_TEST_CASE(all_hosts_name_the_same_keepers_and_share_the_objects)
{
    const auto hosts = makeHosts(354);
    std::map<host_address, int> kept;
    for (std::uint64_t key = 1; key <= 2'000; ++key) {
        const auto keepers
            = keepersOf(key * 7'919, othersOf(hosts, hosts[key % 354]), hosts[key % 354]);
        const auto other = keepersOf(key * 7'919, othersOf(hosts, hosts[3]), hosts[3]);
        BOOST_TEST_REQUIRE((keepers == other));
        BOOST_TEST_REQUIRE(keepers.size() == 4U);
        BOOST_TEST_REQUIRE(std::set(keepers.begin(), keepers.end()).size() == 4U);
        for (const host_address &keeper : keepers)
            ++kept[keeper];
    }
    for (const host_address &host : hosts)
        BOOST_TEST(kept[host] < 60); // 23 on average.
}

BOOST_AUTO_TEST_CASE(a_host_knows_whether_it_is_a_keeper)
{
    const auto hosts = makeHosts(9);
    for (std::uint64_t key = 1; key <= 50; ++key) {
        int count = 0;
        for (const host_address &host : hosts) {
            const fleet_load others = othersOf(hosts, host);
            const auto keepers = keepersOf(key, others, host);
            const bool isNamed = std::find(keepers.begin(), keepers.end(), host) != keepers.end();
            BOOST_TEST(isKeeper(key, others, host) == isNamed);
            count += isNamed ? 1 : 0;
        }
        BOOST_TEST(count == 4);
    }
}

BOOST_AUTO_TEST_CASE(hosts_that_are_known_by_their_announcements_name_the_same_keepers)
{
    const auto hosts = makeHosts(9);
    for (std::uint64_t key = 1; key <= 50; ++key)
        BOOST_TEST(
            (keepersAmong(key, hosts) == keepersOf(key, othersOf(hosts, hosts[0]), hosts[0])));
}

// The streams of the last host of a rolling restart were kept by hosts that were about to exit.
BOOST_AUTO_TEST_CASE(hosts_that_stop_keep_nothing_unless_all_others_do)
{
    const auto hosts = makeHosts(4);
    fleet_load others = othersOf(hosts, hosts[0]);
    others.hosts[hosts[1]].hint.cannotRelay = true;
    const auto staying = [&others, &hosts](bool isStopping) {
        const auto found = stayingHosts(others, hosts[0], isStopping);
        return std::set(found.begin(), found.end());
    };
    BOOST_TEST((staying(false) == std::set{hosts[0], hosts[2], hosts[3]}));
    BOOST_TEST((staying(true) == std::set{hosts[2], hosts[3]}));
    for (const host_address &host : {hosts[2], hosts[3]})
        others.hosts[host].hint.cannotRelay = true;
    BOOST_TEST((staying(true) == std::set(hosts.begin(), hosts.end())));
    BOOST_TEST((staying(false) == std::set(hosts.begin(), hosts.end())));
}

BOOST_AUTO_TEST_CASE(a_few_hosts_store_for_all_where_streams_began)
{
    for (const int count : {1, 9, 63, 200}) {
        const auto hosts = makeHosts(count);
        std::set<host_address> writers;
        for (std::uint64_t stream = 1; stream <= 500; ++stream)
            writers.insert(streamWriter(stream * 7'919, hosts));
        BOOST_TEST(writers.size() <= 1U + unsigned(count) / 64);
        for (const host_address &host : hosts)
            BOOST_TEST(isStreamWriter(host, hosts) == writers.contains(host));
    }
}

BOOST_AUTO_TEST_CASE(a_host_without_others_keeps_all_objects)
{
    const auto hosts = makeHosts(1);
    BOOST_TEST((keepersOf(5, {}, hosts[0]) == hosts));
    BOOST_TEST(isKeeper(5, {}, hosts[0]));
}

BOOST_AUTO_TEST_CASE(the_oldest_hosts_are_those_that_started_first)
{
    const auto hosts = makeHosts(4);
    fleet_load others = othersOf(hosts, hosts[0]);
    others.hosts[hosts[1]].hint.started = 30;
    others.hosts[hosts[2]].hint.started = 10;
    others.hosts[hosts[3]].hint.started = 20;
    BOOST_TEST((oldestHosts(others, 2) == std::vector{hosts[2], hosts[3]}));
    BOOST_TEST(oldestHosts(others, 5).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
