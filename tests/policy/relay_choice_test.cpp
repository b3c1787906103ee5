#include "policy/relay_choice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace quincefall {
namespace {

constexpr int domainCount = 8;

instant at(int ms)
{
    return instant{} + milliseconds(ms);
}

std::string domainOf(int index)
{
    return "zone-" + std::to_string(index % domainCount);
}

/// A fleet whose hosts and upstreams are spread evenly over the failure domains.
struct fleet
{
    explicit fleet(int hosts)
    {
        for (int index = 0; index < domainCount; ++index)
            regions[domainOf(index)] = index < domainCount / 2 ? "north" : "south";
        for (int index = 0; index < hosts; ++index) {
            const host_address address{
                "10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200), 7};
            peers.push_back({address, domainOf(index), 0});
            others.hosts[address].received = at(0);
        }
    }

    std::vector<host_address> relays(int host, const upstream_entry &upstream, instant now) const
    {
        placement_site site;
        site.failureDomain = domainOf(host);
        site.self = peers[std::size_t(host)].peer;
        site.regions = regions;
        return relaysFor(upstream, peers, others, site, failures, now);
    }

    std::map<std::string, std::string> regions;
    std::vector<host_announcement> peers;
    fleet_load others;
    relay_failures failures;
};

upstream_entry makeUpstream(int index)
{
    upstream_entry entry;
    entry.id = "engine-" + std::to_string(index);
    entry.failureDomain = domainOf(index);
    entry.region = index % domainCount < domainCount / 2 ? "north" : "south";
    return entry;
}

const host_announcement &peerOf(const fleet &hosts, const host_address &address)
{
    return *std::find_if(hosts.peers.begin(), hosts.peers.end(),
                         [&address](const auto &peer) { return peer.peer == address; });
}

BOOST_AUTO_TEST_SUITE(relay_choice_tests)

BOOST_AUTO_TEST_CASE(hosts_that_are_cut_off_themselves_relay_nothing)
{
    fleet hosts(9);
    for (int index = 0; index < 8; ++index)
        hosts.others.hosts[hosts.peers[std::size_t(index)].peer].hint.cannotRelay = true;
    const auto relays = hosts.relays(0, makeUpstream(3), at(0));
    BOOST_REQUIRE(relays.size() == 1U);
    BOOST_TEST(toString(relays.front()) == toString(hosts.peers[8].peer));
    hosts.others.hosts.erase(hosts.peers[8].peer);
    BOOST_TEST(hosts.relays(0, makeUpstream(3), at(0)).empty());
}

BOOST_AUTO_TEST_CASE(a_relayed_connection_crosses_no_more_failure_domains_than_a_direct_one)
{
    const fleet hosts(195);
    for (int index = 0; index < 60; ++index) {
        const upstream_entry upstream = makeUpstream(index);
        const std::string &domain
            = peerOf(hosts, hosts.relays(7, upstream, at(0)).front()).failureDomain;
        BOOST_TEST((domain == upstream.failureDomain || domain == domainOf(7)));
    }
}

BOOST_AUTO_TEST_CASE(the_second_relay_is_in_another_failure_domain_than_the_first)
{
    const fleet hosts(195);
    for (int index = 0; index < 60; ++index) {
        const auto relays = hosts.relays(7, makeUpstream(index), at(0));
        BOOST_TEST(peerOf(hosts, relays[0]).failureDomain
                   != peerOf(hosts, relays[1]).failureDomain);
    }
}

BOOST_AUTO_TEST_CASE(hosts_of_a_failure_domain_that_is_cut_off_share_all_other_hosts)
{
    for (const int count : {9, 82, 195, 354}) {
        fleet hosts(count);
        const int upstreams = std::max(9, count);
        for (int index = 0; index < count; index += domainCount)
            hosts.others.hosts[hosts.peers[std::size_t(index)].peer].hint.cannotRelay = true;
        std::map<host_address, int> connections;
        int total = 0;
        for (int index = 0; index < count; index += domainCount) {
            for (int upstream = 0; upstream < upstreams; ++upstream, ++total)
                ++connections[hosts.relays(index, makeUpstream(upstream), at(0)).front()];
        }
        const double mean = double(total) / (count - double(count) / domainCount);
        for (const auto &[host, used] : connections)
            BOOST_TEST(used < 3 * mean + 10, count << " hosts, " << used << " of " << total);
    }
}

BOOST_AUTO_TEST_CASE(a_host_that_failed_to_relay_is_tried_last_for_a_while)
{
    fleet hosts(9);
    const upstream_entry upstream = makeUpstream(3);
    const host_address first = hosts.relays(0, upstream, at(0)).front();
    recordFailure(hosts.failures, first, at(0));
    BOOST_TEST(toString(hosts.relays(0, upstream, at(100)).back()) == toString(first));
    BOOST_TEST(toString(hosts.relays(0, upstream, at(5'000)).front()) == toString(first));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
