#include "policy/relay_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace quincefall {
namespace {

constexpr milliseconds failureLifetime{1'500};

enum class distance { sameDomain, sameRegion, otherRegion, failedRecently };

std::uint64_t scoreOf(const host_address &host, std::uint64_t key)
{
    return XXH64(host.ip.data(), host.ip.size(), key + host.port);
}

std::string regionOf(const std::string &failureDomain, const placement_site &site)
{
    const auto found = site.regions.find(failureDomain);
    return found == site.regions.end() ? std::string() : found->second;
}

} // namespace

void recordFailure(relay_failures &failures, const host_address &host, instant now)
{
    std::erase_if(failures, [now](const auto &row) { return row.second <= now; });
    failures[host] = now + failureLifetime;
}

std::vector<host_address> relaysFor(const upstream_entry &upstream,
                                    std::span<const host_announcement> peers,
                                    const fleet_load &others, const placement_site &site,
                                    const relay_failures &failures, instant now)
{
    const std::uint64_t key = nameHash(upstream.id) ^ nameHash(toString(site.self));
    std::vector<std::tuple<distance, std::uint64_t, const host_announcement *>> ranked;
    for (const host_announcement &peer : peers) {
        if (peer.peer == site.self || !mayRelay(others, peer.peer))
            continue;
        const auto failure = failures.find(peer.peer);
        distance far = distance::otherRegion;
        if (failure != failures.end() && failure->second > now)
            far = distance::failedRecently;
        else if (peer.failureDomain == upstream.failureDomain
                 || peer.failureDomain == site.failureDomain)
            far = distance::sameDomain;
        else if (regionOf(peer.failureDomain, site) == upstream.region)
            far = distance::sameRegion;
        ranked.emplace_back(far, scoreOf(peer.peer, key), &peer);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<host_address> relays;
    relays.reserve(ranked.size());
    for (const auto &[far, score, peer] : ranked)
        relays.push_back(peer->peer);
    // The whole failure domain of the first one may be cut off like this host.
    const auto other = std::find_if(ranked.begin(), ranked.end(), [&ranked](const auto &row) {
        return std::get<2>(row)->failureDomain != std::get<2>(ranked.front())->failureDomain;
    });
    if (other != ranked.end()) {
        const auto position = relays.begin() + (other - ranked.begin());
        std::rotate(relays.begin() + 1, position, position + 1);
    }
    return relays;
}

bool mayRelay(const fleet_load &others, const host_address &host)
{
    const auto found = others.hosts.find(host);
    return found != others.hosts.end() && !found->second.hint.cannotRelay;
}

} // namespace quincefall
