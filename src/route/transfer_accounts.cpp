#include "route/transfer_accounts.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr double answerBytesSmoothing = 0.05; // Weight of one answer.
constexpr double bytesPerMegabit = 125'000;
// The rest of a link between regions is left to other traffic and to fluctuation.
constexpr double maxLinkShare = 0.7;
constexpr seconds countLifetime{1}; // Counting looks at each host, requests are frequent.

void countHosts(transfer_accounts &accounts, const placement_site &site,
                const routing_state &routing, instant now)
{
    if (accounts.countedAt != instant::min() && now - accounts.countedAt < countLifetime)
        return;
    accounts.countedAt = now;
    accounts.hostsOfDomain = 1;
    accounts.hostsOfRegion = 1;
    for (const host_announcement &host : routing.peers) {
        const auto region = site.regions.find(host.failureDomain);
        const bool isInRegion = region != site.regions.end() && region->second == site.region;
        accounts.hostsOfRegion += isInRegion ? 1 : 0;
        accounts.hostsOfDomain += host.failureDomain == site.failureDomain ? 1 : 0;
    }
    accounts.hintAgeMs = 0;
    const auto &hints = routing.otherHostsLoad.hosts;
    for (const auto &[host, entry] : hints)
        accounts.hintAgeMs += toMilliseconds(now - entry.received) / double(hints.size());
}

} // namespace

bool differsByDomain(const service_rule &service, const routing_state &routing)
{
    if (service.autoscale && !service.autoscale->domainPrices.empty())
        return true;
    const auto pool = routing.pools.find(service.name);
    return pool != routing.pools.end()
        && std::any_of(pool->second.upstreams.begin(), pool->second.upstreams.end(),
                       [](const auto &row) { return row.second.reported.slowdown.has_value(); });
}

zone_view zoneViewOf(transfer_accounts &accounts, const transfer_terms &terms,
                     const placement_site &site, const routing_state &routing, const proxy_job &job,
                     instant now)
{
    zone_view view;
    view.terms = terms;
    const auto answer = accounts.answerBytes.find(job.choice.route->name);
    view.bytes = job.bodyBytes + (answer == accounts.answerBytes.end() ? 0 : answer->second);
    countHosts(accounts, site, routing, now);
    view.homeHosts = accounts.hostsOfDomain;
    view.hintAgeMs = accounts.hintAgeMs;
    view.objectiveMs = double(job.choice.route->targetLatency.count());
    // The link carries the answers for all hosts of the region.
    accounts.regionLink.bytesPerSecond
        = terms.regionLinkMbps * bytesPerMegabit * maxLinkShare / accounts.hostsOfRegion;
    view.hasLinkRoom = mayUseLink(accounts.regionLink, job.urgency == 0, now);
    view.request = nameHash(job.request.id);
    return view;
}

void recordTransferStart(transfer_accounts &accounts, metrics &numbers, const placement &chosen,
                         const zone_view &view)
{
    numbers.add(metric::zoneRequests,
                {{"destination", toString(chosen.distance)}, {"reason", chosen.zoneReason}});
    if (chosen.distance == zone_distance::far)
        chargeLink(accounts.regionLink, view.bytes);
}

void recordTransferEnd(transfer_accounts &accounts, metrics &numbers, const placement &chosen,
                       const zone_view &view, const proxy_job &job)
{
    const double bytes = job.bodyBytes + job.answerBytes;
    numbers.add(metric::zoneBytes, {{"destination", toString(chosen.distance)}}, bytes);
    if (chosen.distance == zone_distance::far)
        chargeLink(accounts.regionLink, bytes - view.bytes);
    double &average = accounts.answerBytes[job.choice.route->name];
    average = average <= 0 ? job.answerBytes
                           : average + answerBytesSmoothing * (job.answerBytes - average);
}

} // namespace quincefall
