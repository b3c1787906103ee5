#include "policy/upstream_links.h"

#include "policy/probation.h"
#include "policy/routed_upstream.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

// A single cut link may have its cause at the upstream's end.
constexpr std::size_t minCutLinks = 2;
// Longer than the prefill of a long prompt, during which an engine sends nothing.
constexpr milliseconds maxHostSilence{500};
constexpr milliseconds maxUpstreamSilence{1'500};
constexpr milliseconds linkCheckInterval{2'000}; // Of one upstream.
constexpr std::size_t maxLinkChecks = 3; // At the same time, of a host without any contact.

struct silent_upstream
{
    routed_upstream *upstream = nullptr;
    double silentMs = 0;
};

std::vector<silent_upstream> findSilent(std::map<std::string, service_pool, std::less<>> &pools,
                                        instant now)
{
    std::vector<silent_upstream> silent;
    for (auto &[service, pool] : pools) {
        for (auto &[id, upstream] : pool.upstreams) {
            const double silentMs = msSinceLastByte(upstream, now);
            const bool isCheckDue = upstream.linkCheckedAt == instant::min()
                || now - upstream.linkCheckedAt >= linkCheckInterval;
            if (silentMs > toMilliseconds(maxHostSilence) && isCheckDue && !upstream.isDisconnected)
                silent.push_back({&upstream, silentMs});
        }
    }
    std::sort(silent.begin(), silent.end(),
              [](const auto &left, const auto &right) { return left.silentMs > right.silentMs; });
    return silent;
}

} // namespace

bool recordContact(upstream_links &links, instant now)
{
    links.lastContactAt = now;
    links.cut.clear();
    return std::exchange(links.isIsolated, false);
}

void recordRelay(routed_upstream &upstream, const host_address &relay, instant now)
{
    upstream.relay = relay;
    if (std::exchange(upstream.isRelayed, true))
        return;
    recordDisconnect(upstream);
    upstream.health = {};
    upstream.health.probeFrom = now + reconnectInterval;
    upstream.failureRateAt = instant::min();
}

bool recordCutLink(upstream_links &links, const routed_upstream &upstream, instant triedAt)
{
    if (triedAt < links.lastContactAt)
        return false;
    links.cut.insert(upstream.listed.id);
    return links.cut.size() >= minCutLinks && !std::exchange(links.isIsolated, true);
}

bool needsRelay(const upstream_links &links, const routed_upstream &upstream)
{
    return upstream.isRelayed || links.isIsolated;
}

bool reachesUpstreams(const upstream_links &links,
                      const std::map<std::string, service_pool, std::less<>> &pools)
{
    const auto hasRelay = [](const auto &row) { return row.second.relay.has_value(); };
    return !links.isIsolated || std::any_of(pools.begin(), pools.end(), [&](const auto &pool) {
        const auto &upstreams = pool.second.upstreams;
        return std::any_of(upstreams.begin(), upstreams.end(), hasRelay);
    });
}

std::size_t countRelayed(const std::map<std::string, service_pool, std::less<>> &pools)
{
    std::size_t count = 0;
    for (const auto &[service, pool] : pools)
        count += std::size_t(std::count_if(pool.upstreams.begin(), pool.upstreams.end(),
                                           [](const auto &row) { return row.second.isRelayed; }));
    return count;
}

std::vector<upstream_entry>
takeDueLinkChecks(std::map<std::string, service_pool, std::less<>> &pools,
                  const upstream_links &links, instant now)
{
    std::vector<upstream_entry> due;
    if (links.isIsolated)
        return due;
    const bool isHostSilent
        = links.lastContactAt == instant::min() || now - links.lastContactAt > maxHostSilence;
    for (const silent_upstream &silent : findSilent(pools, now)) {
        const bool isLongSilent = silent.silentMs > toMilliseconds(maxUpstreamSilence);
        if (!isLongSilent && (!isHostSilent || due.size() >= maxLinkChecks))
            continue;
        silent.upstream->linkCheckedAt = now;
        due.push_back(silent.upstream->listed);
    }
    return due;
}

} // namespace quincefall
