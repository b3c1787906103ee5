#include "policy/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <numbers>
#include <vector>

namespace quincefall {
namespace {

// An engine step that prefills a long prompt between two tokens takes about this long.
constexpr double mixedStepMs = 100;
// A gap of more than this many such steps for each token of an event is slow.
constexpr double slowGapSteps = 2;
constexpr double maxSlowShare = 0.25; // A larger share of slow upstreams has another cause.
// Requests are gap-sensitive only if their prompts are well below the largest of the service.
constexpr double shortPromptShare = 1.0 / 3;
// Low, so that shorter prompts of other routes hardly lower the maximum.
constexpr double largestPromptDecay = 0.005;
constexpr double demandWindowMs = 4'000; // Bursts last some seconds.
constexpr double reservedUtilisation = 0.5; // Share of a reserved engine's time for prefill.
constexpr double reservedSlotShare = 0.6; // Share of a reserved upstream's slots in use.
constexpr double reservationHalfLifeMs = 8'000; // Bursts return after some seconds.
constexpr double maxReservedShare = 0.5;
constexpr std::size_t minUpstreamsForReservation = 3;
// Arbitrary. Keeps the order of reservation independent of the hashes for shared prefixes.
constexpr std::uint64_t reservationHashSeed = 0x6170617274;
// Probability that a preferred upstream lacks a prefix which this host has not sent to it. Other
// hosts may have sent it.
constexpr double preferredMissProbability = 0.3;
// A repeated prefill weighs more than its own time: it delays all other requests on the engine.
constexpr double repeatedPrefillWeight = 40;
constexpr double partUseHalfLifeMs = 4'000; // A prefix stays popular for some seconds.
constexpr double minHotUses = 3; // At one host; fewer may be chance.
constexpr double preferredUtilisation = 0.5; // Share of an engine's time for one prefix's prompts.
constexpr double maxPreferredShare = 0.25; // Of the upstreams.
constexpr std::size_t maxPartUses = 8'192; // About 300 kB.
// Cost of running long prompts and gap-sensitive requests on the same engine.
constexpr double mixingPenaltyMs = 5'000;
// Share of an engine's time for prefill; the rest generates tokens of the running requests.
constexpr double maxPrefillUtilisation = 0.75;
constexpr double minConcurrency = 4;
constexpr double defaultPrefillMs = 100; // Until a prompt has been prefilled.
constexpr double defaultStreamMs = 600; // Until a stream has ended.
constexpr double maxIdleDelayMs = 60; // About one prompt whose shared prefix is cached.
constexpr double defaultPrefillTokensPerMs = 50; // Until a prefill has been timed.
constexpr double fullLoadSlowdown = 0.25; // Share by which a full upstream prolongs a call.
constexpr double defaultCallMs = 20; // Until a call has been answered.
// Usual time without a byte: between two events with a prefill in between, or during one call.
constexpr double normalByteGapMs = 300;
// High enough that prompts leave their preferred upstream after half a second of unexplained
// silence, in spite of the cost of prefilling the shared prefix again.
constexpr double silencePenaltyWeight = 10;
constexpr double failureCostMs = 800; // Cost of an attempt that is certain to fail.
// Probability that an upstream that asked another host for time turns this host's request away.
constexpr double othersPauseFailureProbability = 0.5;

using upstream_set = std::set<const routed_upstream *>;

double prefillRate(const service_pool &pool)
{
    return pool.prefillTokensPerMs > 0 ? pool.prefillTokensPerMs : defaultPrefillTokensPerMs;
}

std::uint64_t rendezvousScore(std::string_view upstream, std::uint64_t key)
{
    return XXH64(upstream.data(), upstream.size(), key);
}

/// Key of the parts that other requests may share, 0 if there are none. It is the id of the last
/// such part, which identifies those before it too.
std::uint64_t sharedPrefixKey(const prompt_outline &prompt)
{
    return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

bool isSlow(const routed_upstream &upstream, instant now)
{
    return upstream.slowUntil > now;
}

/// Whether so few upstreams are slow that the cause is the upstreams and not this host's links.
bool areFewUpstreamsSlow(const service_pool &pool, instant now)
{
    const auto slow = std::count_if(pool.upstreams.begin(), pool.upstreams.end(),
                                    [now](const auto &row) { return isSlow(row.second, now); });
    return double(slow) <= maxSlowShare * double(pool.upstreams.size());
}

double distanceMs(const routed_upstream &upstream, const placement_site &site)
{
    if (upstream.listed.failureDomain == site.failureDomain)
        return 0;
    return upstream.listed.region == site.region ? site.crossDomainMs : site.crossRegionMs;
}

zone_distance zoneDistance(const routed_upstream &upstream, const placement_site &site)
{
    if (upstream.listed.failureDomain == site.failureDomain)
        return zone_distance::home;
    return upstream.listed.region == site.region ? zone_distance::region : zone_distance::far;
}

/// Estimated wait for a free slot.
double slotWaitMs(const service_pool &pool, const routed_upstream &upstream, fleet_load &others,
                  instant now)
{
    const double callMs = pool.callMs > 0 ? pool.callMs : defaultCallMs;
    const double slots = std::max(1U, upstream.listed.slots);
    const double load = loadOf(upstream, others, now);
    const double over = std::max(0.0, load + 1 - slots);
    // The second term makes a busier upstream slightly slower even with free slots, which also
    // spreads requests over otherwise equal upstreams.
    return callMs * (over / slots + load / slots * fullLoadSlowdown);
}

/// Estimated wait for the prefills that come before a request of this urgency.
double queueMs(const service_pool &pool, const routed_upstream &upstream, int urgency,
               fleet_load &others, instant now)
{
    const upstream_work &remote = workOfOtherHosts(others, nameHash(upstream.listed.id));
    const double tokens
        = sumUpTo(upstream.unreadTokens, urgency) + sumUpTo(remote.unreadTokens, urgency);
    return std::max(tokens / prefillRate(pool), recentFirstByteExcessMs(upstream, now));
}

/// Cost of an upstream that has sent nothing for longer than its pending prefills explain.
double silencePenaltyMs(const service_pool &pool, const routed_upstream &upstream,
                        fleet_load &others, instant now)
{
    const upstream_work &remote = workOfOtherHosts(others, nameHash(upstream.listed.id));
    const double tokens = sumUpTo(upstream.unreadTokens, urgencyLevels)
        + sumUpTo(remote.unreadTokens, urgencyLevels);
    const double expectedMs = normalByteGapMs + tokens / prefillRate(pool);
    return std::max(0.0, msSinceLastByte(upstream, now) - expectedMs) * silencePenaltyWeight;
}

/// Estimated wait until the engine's requests of this urgency or higher are within its soft
/// concurrency limit.
double concurrencyDelayMs(const service_pool &pool, const routed_upstream &upstream, int urgency,
                          fleet_load &others)
{
    const upstream_work &remote = workOfOtherHosts(others, nameHash(upstream.listed.id));
    const double load = sumUpTo(upstream.inFlight, urgency) + sumUpTo(remote.inFlight, urgency);
    const double over = load + 1 - softConcurrencyLimit(pool, upstream.listed.slots);
    return std::max(0.0, over) * std::max(pool.prefillMs, 1.0) / maxPrefillUtilisation;
}

/// Reorders the upstreams so that the first ones are evenly divided among the failure domains.
void interleaveDomains(std::vector<routed_upstream *> &upstreams)
{
    std::map<std::string_view, unsigned> counts;
    std::vector<std::pair<unsigned, routed_upstream *>> ranked;
    ranked.reserve(upstreams.size());
    for (routed_upstream *upstream : upstreams)
        ranked.emplace_back(counts[upstream->listed.failureDomain]++, upstream);
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::transform(ranked.begin(), ranked.end(), upstreams.begin(),
                   [](const auto &row) { return row.second; });
}

/// The upstreams reserved for gap-sensitive requests: the first by a hash that is the same on all
/// hosts.
upstream_set reservedUpstreams(std::vector<routed_upstream *> usable, unsigned count,
                               bool isByDomain)
{
    const auto score = [](const routed_upstream *upstream) {
        return rendezvousScore(upstream->listed.id, reservationHashSeed);
    };
    std::sort(usable.begin(), usable.end(),
              [&score](const auto *left, const auto *right) { return score(left) > score(right); });
    if (isByDomain)
        interleaveDomains(usable);
    usable.resize(std::min<std::size_t>(count, usable.size()));
    return {usable.begin(), usable.end()};
}

std::vector<routed_upstream *> usableUpstreams(service_pool &pool, const placement_request &request,
                                               bool includesWithheld, instant now)
{
    std::vector<routed_upstream *> usable;
    const bool excludesSlow = areFewUpstreamsSlow(pool, now);
    for (auto &[id, upstream] : pool.upstreams) {
        const bool isExcluded
            = isWithheld(upstream, now) || (excludesSlow && isSlow(upstream, now));
        if (isEligible(upstream, request, now) && (includesWithheld || !isExcluded))
            usable.push_back(&upstream);
    }
    return usable;
}

/// The first @p count upstreams of the request's group, reserved or not, by a hash of its shared
/// prefix.
upstream_set preferredUpstreams(const std::vector<routed_upstream *> &usable,
                                const upstream_set &reserved, const placement_request &request,
                                unsigned count)
{
    const std::uint64_t key = sharedPrefixKey(*request.prompt);
    if (key == 0)
        return {};
    std::vector<std::pair<std::uint64_t, const routed_upstream *>> ranked;
    for (const routed_upstream *upstream : usable) {
        if (reserved.contains(upstream) == request.isGapSensitive)
            ranked.emplace_back(rendezvousScore(upstream->listed.id, key), upstream);
    }
    const auto end = ranked.begin() + std::ptrdiff_t(std::min<std::size_t>(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    upstream_set preferred;
    std::for_each(ranked.begin(), end,
                  [&preferred](const auto &row) { preferred.insert(row.second); });
    return preferred;
}

/// Tokens of the shared prefix: all parts but the last one.
double sharedTokens(const prompt_outline &prompt)
{
    double tokens = 0;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        tokens += prompt.parts[index].tokens;
    return tokens;
}

/// Scope of the request's shared prefix; the same on all hosts unless two scopes cost about as
/// much.
prefix_scope scopeOf(const service_pool &pool, const placement_request &request,
                     const placement_site &site, unsigned slots, instant now)
{
    const zone_view &view = *request.zones;
    const double tokens = sharedTokens(*request.prompt);
    std::map<std::string_view, double> domains;
    for (const auto &[domain, region] : site.regions)
        domains[region] += 1;
    scope_input input;
    input.usesPerDomain = view.homeHosts
        * expectedPrefixUses(pool.prefixUses, sharedPrefixKey(*request.prompt), tokens, now);
    // It delays all requests of an engine that is in full use.
    input.prefillMs = tokens / prefillRate(pool) * softConcurrencyLimit(pool, slots);
    input.domainTransferMs
        = site.crossDomainMs + transferCostMs(view.terms, zone_distance::region, view.bytes);
    input.regionTransferMs
        = site.crossRegionMs + transferCostMs(view.terms, zone_distance::far, view.bytes);
    input.domains = std::max(1.0, domains[site.region]);
    input.regions = double(std::max<std::size_t>(1, domains.size()));
    return choosePrefixScope(input);
}

std::string_view placeIn(prefix_scope scope, const upstream_entry &upstream)
{
    switch (scope) {
    case prefix_scope::domain:
        return upstream.failureDomain;
    case prefix_scope::region:
        return upstream.region;
    case prefix_scope::fleet:
        break;
    }
    return {};
}

/// As preferredUpstreams(), with a part of @p count in each domain or region of the scope. Those
/// abroad count too, since their own hosts prefer them.
upstream_set preferredInScope(const std::vector<routed_upstream *> &usable,
                              const upstream_set &reserved, const placement_request &request,
                              prefix_scope scope, unsigned count)
{
    std::map<std::string_view, std::vector<routed_upstream *>> places;
    for (routed_upstream *upstream : usable)
        places[placeIn(scope, upstream->listed)].push_back(upstream);
    const auto part
        = unsigned((count + places.size() - 1) / std::max<std::size_t>(1, places.size()));
    upstream_set preferred;
    for (const auto &[name, upstreams] : places)
        preferred.merge(preferredUpstreams(upstreams, reserved, request, part));
    return preferred;
}

double recentUses(const part_use &use, instant now)
{
    if (use.at == instant::min())
        return 0;
    return use.count * std::exp2(-toMilliseconds(now - use.at) / partUseHalfLifeMs);
}

void recordPart(service_pool &pool, const prompt_outline &prompt, instant now)
{
    const std::uint64_t key = sharedPrefixKey(prompt);
    if (key == 0)
        return;
    if (pool.partUses.size() >= maxPartUses)
        std::erase_if(pool.partUses,
                      [now](const auto &row) { return recentUses(row.second, now) < 1; });
    if (pool.partUses.size() >= maxPartUses)
        pool.partUses.clear();
    part_use &use = pool.partUses[key];
    use.count = recentUses(use, now) + 1;
    use.at = now;
}

service_demand fleetDemand(const service_pool &pool, const routed_upstream &any, fleet_load &others,
                           instant now)
{
    service_demand demand = ownDemand(pool, now);
    const service_demand remote = demandOfOtherHosts(others, nameHash(any.listed.service));
    demand.prefillMsPerSecond += remote.prefillMsPerSecond;
    demand.inFlight += remote.inFlight;
    return demand;
}

struct candidate_estimate
{
    double uncachedTokens = 0;
    double firstByteMs = 0;
    double delayMs = 0;
    double queueCost = 0; ///< Part of `cost` that ends when the upstream has no other work.
    double cost = 0;
};

candidate_estimate estimateCall(const service_pool &pool, const routed_upstream &upstream,
                                fleet_load &others, instant now)
{
    candidate_estimate value;
    value.delayMs = slotWaitMs(pool, upstream, others, now);
    value.firstByteMs = value.delayMs + std::max(pool.callMs, 1.0);
    value.queueCost = value.delayMs;
    value.cost = value.firstByteMs;
    return value;
}

candidate_estimate estimatePrompt(const service_pool &pool, const routed_upstream &upstream,
                                  const placement_request &request, bool isPreferred,
                                  fleet_load &others, instant now)
{
    candidate_estimate value;
    const double promptTokens = request.prompt->promptTokens;
    const double ownTokens = promptTokens - sharedTokens(*request.prompt);
    const double uncachedTokens = uncachedTokensOf(upstream, *request.prompt, now);
    const double repeatedTokens = std::max(0.0, uncachedTokens - ownTokens)
        * (isPreferred ? preferredMissProbability : 1.0);
    value.uncachedTokens = std::min(uncachedTokens, ownTokens) + repeatedTokens;
    const double rate = prefillRate(pool);
    value.delayMs = queueMs(pool, upstream, request.urgency, others, now);
    if (!request.isGapSensitive)
        value.delayMs += concurrencyDelayMs(pool, upstream, request.urgency, others);
    value.firstByteMs = value.delayMs + value.uncachedTokens / rate;
    const double weight = request.prefersLatency ? 1 : repeatedPrefillWeight;
    const double slotWait = slotWaitMs(pool, upstream, others, now);
    value.queueCost = value.delayMs + slotWait;
    value.cost = value.firstByteMs + (weight - 1) * repeatedTokens / rate + slotWait;
    return value;
}

candidate_estimate estimate(const service_pool &pool, const routed_upstream &upstream,
                            const placement_request &request, const placement_site &site,
                            bool isPreferred, bool isReserved, fleet_load &others, instant now)
{
    const bool hasPrompt = request.prompt && request.prompt->promptTokens > 0;
    candidate_estimate value = hasPrompt
        ? estimatePrompt(pool, upstream, request, isPreferred, others, now)
        : estimateCall(pool, upstream, others, now);
    const double failureProbability
        = std::max(failureRateOf(upstream, now),
                   upstream.othersPausedUntil > now ? othersPauseFailureProbability : 0.0);
    // Otherwise the distance is a part of what the failure domain is chosen by.
    const double transferMs = request.zones ? 0 : distanceMs(upstream, site);
    value.cost += transferMs + failureProbability * failureCostMs
        + silencePenaltyMs(pool, upstream, others, now);
    if (hasPrompt && isReserved != request.isGapSensitive)
        value.cost += mixingPenaltyMs;
    return value;
}

/// The best candidate of one failure domain, or of all where none is chosen.
struct domain_best
{
    routed_upstream *upstream = nullptr;
    candidate_estimate value;
    zone_offer offer;
};

domain_best &bestOf(std::vector<domain_best> &domains, const routed_upstream &upstream,
                    const placement_request &request, const placement_site &site)
{
    const std::string_view name
        = request.zones ? std::string_view(upstream.listed.failureDomain) : std::string_view();
    const auto found = std::find_if(domains.begin(), domains.end(), [name](const auto &domain) {
        return domain.offer.failureDomain == name;
    });
    if (found != domains.end())
        return *found;
    domain_best &added = domains.emplace_back();
    added.value.cost = std::numeric_limits<double>::infinity();
    added.offer.failureDomain = name;
    if (request.zones) {
        added.offer.distance = zoneDistance(upstream, site);
        added.offer.transferMs = distanceMs(upstream, site)
            + transferCostMs(request.zones->terms, added.offer.distance, request.zones->bytes);
    }
    return added;
}

zone_decision chooseDomain(std::vector<domain_best> &domains, const placement_request &request)
{
    if (!request.zones)
        return {};
    std::vector<zone_offer> offers;
    for (domain_best &domain : domains) {
        domain.offer.costMs = domain.value.cost;
        domain.offer.delayMs = domain.value.queueCost;
        offers.push_back(domain.offer);
    }
    return chooseZone(offers, *request.zones,
                      request.prompt ? sharedPrefixKey(*request.prompt) : 0);
}

/// Upstreams of other software versions than the request's still count for the reservation, which
/// is the same for all requests.
placement chooseAmong(service_pool &pool, const std::vector<routed_upstream *> &usable,
                      const placement_request &request, const placement_site &site,
                      fleet_load &others, instant now)
{
    std::vector<routed_upstream *> candidates;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(candidates),
                 [&request](const routed_upstream *upstream) {
                     return hasWantedVersion(*upstream, request);
                 });
    placement best;
    best.reason = "least";
    best.candidates = double(candidates.size());
    upstream_set reserved;
    upstream_set preferred;
    if (request.prompt && request.prompt->promptTokens > 0 && !usable.empty()) {
        const routed_upstream &any = *usable.front();
        const double needed
            = reservedCountNeeded(fleetDemand(pool, any, others, now), any.listed.slots);
        reserved = reservedUpstreams(usable, updateReservedCount(pool, usable.size(), needed, now),
                                     request.zones != nullptr);
        const unsigned hosts = unsigned(others.hosts.size()) + 1;
        const unsigned count = preferredUpstreamCount(pool, *request.prompt, hosts, now);
        preferred = request.zones
            ? preferredInScope(candidates, reserved, request,
                               scopeOf(pool, request, site, any.listed.slots, now), count)
            : preferredUpstreams(candidates, reserved, request, count);
    }
    if (candidates.empty())
        return best;
    std::vector<domain_best> domains;
    for (routed_upstream *upstream : candidates) {
        const bool isReserved
            = reserved.empty() ? request.isGapSensitive : reserved.contains(upstream);
        const candidate_estimate value = estimate(
            pool, *upstream, request, site, preferred.contains(upstream), isReserved, others, now);
        const bool isIdle = value.delayMs <= maxIdleDelayMs;
        best.idleCandidates += isIdle ? 1 : 0;
        domain_best &domain = bestOf(domains, *upstream, request, site);
        domain.offer.room += isIdle ? 1 : 0;
        if (value.cost >= domain.value.cost)
            continue;
        domain.upstream = upstream;
        domain.value = value;
    }
    const zone_decision zone = chooseDomain(domains, request);
    const domain_best &chosen = domains[zone.offer];
    best.upstream = chosen.upstream;
    best.estimatedFirstByteMs = chosen.value.firstByteMs;
    best.delayMs = chosen.value.delayMs;
    best.unreadTokens = chosen.value.uncachedTokens;
    best.distance = chosen.upstream ? zoneDistance(*chosen.upstream, site) : zone_distance::home;
    best.zoneReason = zone.reason;
    if (best.upstream && preferred.contains(best.upstream))
        best.reason = "home";
    return best;
}

} // namespace

bool isEligible(const routed_upstream &upstream, const placement_request &request, instant now)
{
    return !upstream.listed.isLeaving && upstream.pausedUntil <= now
        && timeUntilRoom(upstream.limit, now) == microseconds(0)
        && timeUntilRoom(upstream.rejections, ownInFlight(upstream), now).count() == 0
        && (!request.tried || !request.tried->contains(upstream.listed.id))
        && (!request.only || request.only->contains(upstream.listed.id));
}

bool hasWantedVersion(const routed_upstream &upstream, const placement_request &request)
{
    const std::string &version = upstream.listed.softwareVersion;
    return !request.softwareVersion || version.empty() || version == *request.softwareVersion;
}

microseconds slowGapThreshold(const engine_rule &engine)
{
    const double pauseMs = mixedStepMs * engine.tokensPerEvent * slowGapSteps;
    return microseconds(std::llround(pauseMs * 1000));
}

bool isGapSensitive(const route_rule &route, const engine_rule &engine, const service_pool &pool,
                    double promptTokens)
{
    if (!route.isStream || route.gapTarget.count() <= 0)
        return false;
    const double allowedStepMs = double(route.gapTarget.count()) / engine.tokensPerEvent;
    return allowedStepMs < mixedStepMs
        && promptTokens < pool.largestPromptTokens * shortPromptShare;
}

unsigned preferredUpstreamCount(const service_pool &pool, const prompt_outline &prompt,
                                unsigned hosts, instant now)
{
    const auto use = pool.partUses.find(sharedPrefixKey(prompt));
    if (use == pool.partUses.end())
        return 1;
    const double count = recentUses(use->second, now);
    if (count < minHotUses)
        return 1;
    // In steady state, a count with this half-life equals the arrivals in half-life / ln 2.
    const double arrivalsPerMs = count * hosts / (partUseHalfLifeMs / std::numbers::ln2);
    const double ownTokens = prompt.promptTokens - sharedTokens(prompt);
    const double engines = arrivalsPerMs * ownTokens / prefillRate(pool) / preferredUtilisation;
    const double maxCount = std::max(1.0, double(pool.upstreams.size()) * maxPreferredShare);
    return unsigned(std::clamp(std::ceil(engines), 1.0, maxCount));
}

void recordDemand(service_pool &pool, const placement_request &request, instant now)
{
    const double tokens = request.prompt->promptTokens;
    if (tokens > pool.largestPromptTokens)
        pool.largestPromptTokens = tokens;
    else
        pool.largestPromptTokens += largestPromptDecay * (tokens - pool.largestPromptTokens);
    recordPart(pool, *request.prompt, now);
    if (request.zones && sharedPrefixKey(*request.prompt) != 0)
        recordPrefixUse(pool.prefixUses, sharedPrefixKey(*request.prompt),
                        sharedTokens(*request.prompt), now);
    if (!request.isGapSensitive)
        return;
    double rate = pool.sensitivePrefillMsPerSecond;
    if (pool.sensitiveUpdatedAt != instant::min())
        rate *= std::exp(-toMilliseconds(now - pool.sensitiveUpdatedAt) / demandWindowMs);
    pool.sensitivePrefillMsPerSecond = rate + tokens / prefillRate(pool) / (demandWindowMs / 1000);
    pool.sensitiveUpdatedAt = now;
}

service_demand ownDemand(const service_pool &pool, instant now)
{
    service_demand demand;
    demand.inFlight = pool.sensitiveInFlight;
    if (pool.sensitiveUpdatedAt != instant::min())
        demand.prefillMsPerSecond = pool.sensitivePrefillMsPerSecond
            * std::exp(-toMilliseconds(now - pool.sensitiveUpdatedAt) / demandWindowMs);
    return demand;
}

double reservedCountNeeded(const service_demand &demand, unsigned slots)
{
    const double forPrefill = demand.prefillMsPerSecond / 1000 / reservedUtilisation;
    const double forSlots = demand.inFlight / (std::max(1U, slots) * reservedSlotShare);
    return std::max(forPrefill, forSlots);
}

unsigned updateReservedCount(service_pool &pool, std::size_t usable, double needed, instant now)
{
    if (usable < minUpstreamsForReservation || needed <= 0)
        return 0;
    double level = pool.reservedLevel;
    if (pool.reservedLevelAt != instant::min())
        level *= std::exp2(-toMilliseconds(now - pool.reservedLevelAt) / reservationHalfLifeMs);
    pool.reservedLevel = std::max(needed, level);
    pool.reservedLevelAt = now;
    const double maxCount = std::max(1.0, std::floor(double(usable) * maxReservedShare));
    return unsigned(std::clamp(std::ceil(pool.reservedLevel), 1.0, maxCount));
}

double softConcurrencyLimit(const service_pool &pool, unsigned slots)
{
    const double prefillMs = pool.prefillMs > 0 ? pool.prefillMs : defaultPrefillMs;
    const double streamMs = pool.streamMs > 0 ? pool.streamMs : defaultStreamMs;
    // Little's law: requests per ms at maximum prefill utilisation, times the ms that each one
    // stays.
    const double residenceMs = prefillMs + streamMs / (1 - maxPrefillUtilisation);
    return std::clamp(maxPrefillUtilisation / prefillMs * residenceMs, minConcurrency,
                      double(slots));
}

std::optional<microseconds> timeUntilUsable(const service_pool &pool, instant now)
{
    std::optional<microseconds> shortest;
    for (const auto &[id, upstream] : pool.upstreams) {
        if (upstream.listed.isLeaving)
            continue;
        const auto untilRoom = timeUntilRoom(upstream.limit, now);
        const auto untilPlace = timeUntilRoom(upstream.rejections, ownInFlight(upstream), now);
        if (!untilRoom)
            continue;
        const microseconds paused
            = upstream.pausedUntil > now ? upstream.pausedUntil - now : microseconds(0);
        const microseconds left = std::max({paused, *untilRoom, untilPlace});
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

void updateRejections(routed_upstream &upstream, std::optional<double> maxRejections,
                      std::uint64_t turn, const host_address &self, fleet_load &others, instant now)
{
    rejection_guard &guard = upstream.rejections;
    setMaxRejections(guard, maxRejections);
    guard.slots = upstream.listed.slots;
    guard.load = loadOf(upstream, others, now);
    if (upstream.othersPausedUntil > now)
        guard.rejectionHeardAt = now;
    updateShare(guard, upstream.listed.id, turn, self, others, now);
}

std::optional<double> maxRejectionsOf(const service_pool &pool)
{
    std::optional<double> lowest;
    for (const auto &[id, upstream] : pool.upstreams) {
        if (upstream.maxRejections)
            lowest = std::min(lowest.value_or(*upstream.maxRejections), *upstream.maxRejections);
    }
    return lowest;
}

void updateAcceptance(service_pool &pool, const placement_request &request,
                      const placement_site &site, fleet_load &others, instant now)
{
    const auto maxRejections = maxRejectionsOf(pool);
    for (auto &[id, upstream] : pool.upstreams) {
        updateShare(upstream.limit, id, site.self, others, now);
        if (maxRejections || upstream.rejections.maxRejections)
            updateRejections(upstream, maxRejections, request.turn, site.self, others, now);
    }
}

placement chooseUpstream(service_pool &pool, const placement_request &request,
                         const placement_site &site, fleet_load &others, instant now)
{
    updateAcceptance(pool, request, site, others, now);
    for (auto &[id, upstream] : pool.upstreams) {
        if (!isEligible(upstream, request, now) || !hasWantedVersion(upstream, request)
            || !shouldProbe(pool, upstream, request.probe, now))
            continue;
        placement probe = chooseAmong(pool, {&upstream}, request, site, others, now);
        probe.reason = "probe";
        probe.zoneReason = "probe";
        delayProbe(upstream.health, now);
        return probe;
    }
    const auto usable = usableUpstreams(pool, request, false, now);
    const bool hasCandidate
        = std::any_of(usable.begin(), usable.end(), [&request](const routed_upstream *upstream) {
              return hasWantedVersion(*upstream, request);
          });
    if (hasCandidate)
        return chooseAmong(pool, usable, request, site, others, now);
    placement last
        = chooseAmong(pool, usableUpstreams(pool, request, true, now), request, site, others, now);
    last.reason = "last";
    return last;
}

} // namespace quincefall
