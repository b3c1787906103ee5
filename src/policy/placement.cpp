#include "policy/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numbers>
#include <vector>

namespace quincefall {
namespace {

// Measured on engines that read prompts between tokens: a step with a long prompt takes about this.
constexpr double mixedStepMs = 100;
constexpr double longPauseSteps = 2; // Steps as long as this for every token of an event.
constexpr double mostSlowShare = 0.25; // More at once are slow for another reason.
// A route is kept apart only if its own prompts are well below the largest of the service.
constexpr double shortPromptShare = 1.0 / 3;
constexpr double promptSmoothing = 0.005; // Prompts of all routes pass; the largest stay.
constexpr double demandWindowMs = 4'000; // Bursts last some seconds.
constexpr double apartUtilisation = 0.5; // Reading time that an engine kept apart may spend.
constexpr double apartSlotShare = 0.6; // Of an upstream's slots that may be in use.
constexpr double apartHalfLifeMs = 8'000; // Bursts return after some seconds.
constexpr double longestApartShare = 0.5;
constexpr std::size_t fewestForApart = 3;
constexpr std::uint64_t apartKey = 0x6170617274; // Sets their hash apart from those of parts.
// Chance that a part's home does not hold it although this host has not used it there.
constexpr double homeMissShare = 0.3;
// Weight of reading a part again: it delays all others on the engine too.
constexpr double rereadWeight = 40;
constexpr double partHalfLifeMs = 4'000; // A subject that gets much traffic gets it for seconds.
constexpr double fewestHotUses = 3; // Of one host: fewer may be chance.
constexpr double homeUtilisation = 0.5; // Reading time that one part may ask of a home.
constexpr double mostHomesShare = 0.25; // Of the upstreams.
constexpr std::size_t mostPartUses = 8'192; // About 300 kB.
// What it costs a long prompt and a gap-sensitive request to meet on one engine.
constexpr double mixingMs = 5'000;
// Share of its time that an engine may read: the rest makes the tokens of what runs.
constexpr double usefulUtilisation = 0.75;
constexpr double fewestInFlight = 4;
constexpr double firstReadMs = 100; // Before any prompt was read.
constexpr double firstStreamMs = 600; // Before any stream ended.
constexpr double idleDelayMs = 60; // About one prompt whose shared part is kept.
constexpr double firstRate = 50; // Tokens per ms before any was seen.
constexpr double loadShare = 0.25; // Of a call's time that a full upstream adds to it.
constexpr double firstCallMs = 20; // Before any call was seen.
// Between two events of an engine that reads a prompt in between, or of one call.
constexpr double usualSilenceMs = 300;
// Moves prompts off their home when half a second is unexplained; reading again weighs that much.
constexpr double suspicionWeight = 10;
constexpr double failureMs = 800; // Cost of an attempt that fails for certain.

using upstream_set = std::set<const routed_upstream *>;

double readRate(const service_pool &pool)
{
    return pool.promptTokensPerMs > 0 ? pool.promptTokensPerMs : firstRate;
}

std::uint64_t rendezvousScore(std::string_view upstream, std::uint64_t key)
{
    return XXH64(upstream.data(), upstream.size(), key);
}

/// Key of the parts that other requests share: the last shared part names all before it.
std::uint64_t sharedKey(const prompt_outline &prompt)
{
    return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

bool mayTake(const routed_upstream &upstream, const placement_request &request)
{
    return !upstream.listed.isLeaving
        && (!request.tried || !request.tried->contains(upstream.listed.id));
}

bool isSlow(const routed_upstream &upstream, instant now)
{
    return upstream.slowUntil > now;
}

/// Whether so few upstreams are slow that it is they, and not this host's links.
bool areSlowOnesFew(const service_pool &pool, instant now)
{
    const auto slow = std::count_if(pool.upstreams.begin(), pool.upstreams.end(),
                                    [now](const auto &row) { return isSlow(row.second, now); });
    return double(slow) <= mostSlowShare * double(pool.upstreams.size());
}

double distanceMs(const routed_upstream &upstream, const placement_site &site)
{
    if (upstream.listed.failureDomain == site.failureDomain)
        return 0;
    return upstream.listed.region == site.region ? site.domainMs : site.regionMs;
}

/// Wait for a free slot.
double slotWaitMs(const service_pool &pool, const routed_upstream &upstream, fleet_load &others,
                  instant now)
{
    const double callMs = pool.callMs > 0 ? pool.callMs : firstCallMs;
    const double slots = std::max(1U, upstream.listed.slots);
    const double load = loadOf(upstream, others, now);
    const double over = std::max(0.0, load + 1 - slots);
    // Below full, a busier upstream is a little slower; it also spreads work among equals.
    return callMs * (over / slots + load / slots * loadShare);
}

/// Wait for the prompts that are read before one of this urgency.
double queueMs(const service_pool &pool, const routed_upstream &upstream, int urgency,
               fleet_load &others, instant now)
{
    const upstream_work &foreign = workOfOtherHosts(others, nameHash(upstream.listed.id));
    const double tokens
        = sumUpTo(upstream.unreadTokens, urgency) + sumUpTo(foreign.unreadTokens, urgency);
    return std::max(tokens / readRate(pool), recentExcessMs(upstream, now));
}

/// What it may cost that an upstream is silent for longer than its work explains.
double suspicionMs(const service_pool &pool, const routed_upstream &upstream, fleet_load &others,
                   instant now)
{
    const upstream_work &foreign = workOfOtherHosts(others, nameHash(upstream.listed.id));
    const double tokens = sumUpTo(upstream.unreadTokens, urgencyLevels)
        + sumUpTo(foreign.unreadTokens, urgencyLevels);
    const double explained = usualSilenceMs + tokens / readRate(pool);
    return std::max(0.0, silenceMs(upstream, now) - explained) * suspicionWeight;
}

/// Wait until no more requests of this urgency are under way than the engine keeps in step.
double crowdMs(const service_pool &pool, const routed_upstream &upstream, int urgency,
               fleet_load &others)
{
    const upstream_work &foreign = workOfOtherHosts(others, nameHash(upstream.listed.id));
    const double load = sumUpTo(upstream.inFlight, urgency) + sumUpTo(foreign.inFlight, urgency);
    const double over = load + 1 - usefulInFlight(pool, upstream.listed.slots);
    return std::max(0.0, over) * std::max(pool.readMs, 1.0) / usefulUtilisation;
}

/// The upstreams kept for gap-sensitive requests: the first by a hash that all hosts share.
upstream_set apartOf(std::vector<routed_upstream *> usable, unsigned count)
{
    const auto score = [](const routed_upstream *upstream) {
        return rendezvousScore(upstream->listed.id, apartKey);
    };
    std::sort(usable.begin(), usable.end(),
              [&score](const auto *left, const auto *right) { return score(left) > score(right); });
    usable.resize(std::min<std::size_t>(count, usable.size()));
    return {usable.begin(), usable.end()};
}

std::vector<routed_upstream *> usableOf(service_pool &pool, const placement_request &request,
                                        bool withWithheld, instant now)
{
    std::vector<routed_upstream *> usable;
    const bool leavesOutSlow = areSlowOnesFew(pool, now);
    for (auto &[id, upstream] : pool.upstreams) {
        const bool isLeftOut
            = isWithheld(upstream, now) || (leavesOutSlow && isSlow(upstream, now));
        if (mayTake(upstream, request) && (withWithheld || !isLeftOut))
            usable.push_back(&upstream);
    }
    return usable;
}

/// The first @p count engines of the request's group by a hash of its shared part.
upstream_set homesOf(const std::vector<routed_upstream *> &usable, const upstream_set &apart,
                     const placement_request &request, unsigned count)
{
    const std::uint64_t key = sharedKey(*request.prompt);
    if (key == 0)
        return {};
    std::vector<std::pair<std::uint64_t, const routed_upstream *>> ranked;
    for (const routed_upstream *upstream : usable) {
        if (apart.contains(upstream) == request.isGapSensitive)
            ranked.emplace_back(rendezvousScore(upstream->listed.id, key), upstream);
    }
    const auto end = ranked.begin() + std::ptrdiff_t(std::min<std::size_t>(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    upstream_set homes;
    std::for_each(ranked.begin(), end, [&homes](const auto &row) { homes.insert(row.second); });
    return homes;
}

/// Tokens of the parts before the last one.
double sharedTokens(const prompt_outline &prompt)
{
    double tokens = 0;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        tokens += prompt.parts[index].tokens;
    return tokens;
}

double recentUses(const part_use &use, instant now)
{
    if (use.at == instant::min())
        return 0;
    return use.count * std::exp2(-toMilliseconds(now - use.at) / partHalfLifeMs);
}

void recordPart(service_pool &pool, const prompt_outline &prompt, instant now)
{
    const std::uint64_t key = sharedKey(prompt);
    if (key == 0)
        return;
    if (pool.partUses.size() >= mostPartUses)
        std::erase_if(pool.partUses,
                      [now](const auto &row) { return recentUses(row.second, now) < 1; });
    if (pool.partUses.size() >= mostPartUses)
        pool.partUses.clear();
    part_use &use = pool.partUses[key];
    use.count = recentUses(use, now) + 1;
    use.at = now;
}

service_demand fleetDemand(const service_pool &pool, const routed_upstream &any, fleet_load &others,
                           instant now)
{
    service_demand demand = ownDemand(pool, now);
    const service_demand foreign = demandOfOtherHosts(others, nameHash(any.listed.service));
    demand.prefillMsPerSecond += foreign.prefillMsPerSecond;
    demand.inFlight += foreign.inFlight;
    return demand;
}

struct candidate_estimate
{
    double unread = 0;
    double firstByteMs = 0;
    double delayMs = 0;
    double cost = 0;
};

candidate_estimate estimateCall(const service_pool &pool, const routed_upstream &upstream,
                                fleet_load &others, instant now)
{
    candidate_estimate value;
    value.delayMs = slotWaitMs(pool, upstream, others, now);
    value.firstByteMs = value.delayMs + std::max(pool.callMs, 1.0);
    value.cost = value.firstByteMs;
    return value;
}

candidate_estimate estimatePrompt(const service_pool &pool, const routed_upstream &upstream,
                                  const placement_request &request, bool isHome, fleet_load &others,
                                  instant now)
{
    candidate_estimate value;
    const double all = request.prompt->promptTokens;
    const double alone = all - sharedTokens(*request.prompt);
    const double unread = unreadTokensOf(upstream, *request.prompt, now);
    const double reread = std::max(0.0, unread - alone) * (isHome ? homeMissShare : 1.0);
    value.unread = std::min(unread, alone) + reread;
    const double rate = readRate(pool);
    value.delayMs = queueMs(pool, upstream, request.urgency, others, now);
    if (!request.isGapSensitive)
        value.delayMs += crowdMs(pool, upstream, request.urgency, others);
    value.firstByteMs = value.delayMs + value.unread / rate;
    const double weight = request.isSoonestWanted ? 1 : rereadWeight;
    value.cost = value.firstByteMs + (weight - 1) * reread / rate
        + slotWaitMs(pool, upstream, others, now);
    return value;
}

candidate_estimate estimate(const service_pool &pool, const routed_upstream &upstream,
                            const placement_request &request, const placement_site &site,
                            bool isHome, bool isApart, fleet_load &others, instant now)
{
    const bool hasPrompt = request.prompt && request.prompt->promptTokens > 0;
    candidate_estimate value = hasPrompt
        ? estimatePrompt(pool, upstream, request, isHome, others, now)
        : estimateCall(pool, upstream, others, now);
    value.cost += distanceMs(upstream, site) + failureShareOf(upstream, now) * failureMs
        + suspicionMs(pool, upstream, others, now);
    if (hasPrompt && isApart != request.isGapSensitive)
        value.cost += mixingMs;
    return value;
}

placement chooseAmong(service_pool &pool, const std::vector<routed_upstream *> &usable,
                      const placement_request &request, const placement_site &site,
                      fleet_load &others, instant now)
{
    placement best;
    best.candidates = double(usable.size());
    upstream_set apart;
    upstream_set homes;
    if (request.prompt && request.prompt->promptTokens > 0 && !usable.empty()) {
        const routed_upstream &any = *usable.front();
        const double needed = apartNeeded(fleetDemand(pool, any, others, now), any.listed.slots);
        apart = apartOf(usable, keepApart(pool, usable.size(), needed, now));
        const unsigned hosts = unsigned(others.hosts.size()) + 1;
        homes = homesOf(usable, apart, request, homesNeeded(pool, *request.prompt, hosts, now));
    }
    double lowest = std::numeric_limits<double>::infinity();
    for (routed_upstream *upstream : usable) {
        const bool isApart = apart.empty() ? request.isGapSensitive : apart.contains(upstream);
        const candidate_estimate value = estimate(pool, *upstream, request, site,
                                                  homes.contains(upstream), isApart, others, now);
        best.idleCandidates += value.delayMs <= idleDelayMs ? 1 : 0;
        if (value.cost >= lowest)
            continue;
        lowest = value.cost;
        best.upstream = upstream;
        best.estimatedMs = value.firstByteMs;
        best.delayMs = value.delayMs;
        best.unreadTokens = value.unread;
    }
    best.reason = best.upstream && homes.contains(best.upstream) ? "home" : "least";
    return best;
}

} // namespace

microseconds longPause(const engine_rule &engine)
{
    const double pauseMs = mixedStepMs * engine.tokensPerEvent * longPauseSteps;
    return microseconds(std::llround(pauseMs * 1000));
}

bool isGapSensitive(const route_rule &route, const engine_rule &engine, const service_pool &pool,
                    double promptTokens)
{
    if (!route.isStream || route.gapTarget.count() <= 0)
        return false;
    const double allowedStepMs = double(route.gapTarget.count()) / engine.tokensPerEvent;
    return allowedStepMs < mixedStepMs && promptTokens < pool.largestPrompt * shortPromptShare;
}

unsigned homesNeeded(const service_pool &pool, const prompt_outline &prompt, unsigned hosts,
                     instant now)
{
    const auto use = pool.partUses.find(sharedKey(prompt));
    if (use == pool.partUses.end())
        return 1;
    const double count = recentUses(use->second, now);
    if (count < fewestHotUses)
        return 1;
    // A count that halves each half-life stands for this time of arrivals.
    const double perMs = count * hosts / (partHalfLifeMs / std::numbers::ln2);
    const double ownTokens = prompt.promptTokens - sharedTokens(prompt);
    const double engines = perMs * ownTokens / readRate(pool) / homeUtilisation;
    const double most = std::max(1.0, double(pool.upstreams.size()) * mostHomesShare);
    return unsigned(std::clamp(std::ceil(engines), 1.0, most));
}

void recordDemand(service_pool &pool, const placement_request &request, instant now)
{
    const double tokens = request.prompt->promptTokens;
    if (tokens > pool.largestPrompt)
        pool.largestPrompt = tokens;
    else
        pool.largestPrompt += promptSmoothing * (tokens - pool.largestPrompt);
    recordPart(pool, *request.prompt, now);
    if (!request.isGapSensitive)
        return;
    double rate = pool.sensitiveMsPerSecond;
    if (pool.sensitiveAt != instant::min())
        rate *= std::exp(-toMilliseconds(now - pool.sensitiveAt) / demandWindowMs);
    pool.sensitiveMsPerSecond = rate + tokens / readRate(pool) / (demandWindowMs / 1000);
    pool.sensitiveAt = now;
}

service_demand ownDemand(const service_pool &pool, instant now)
{
    service_demand demand;
    demand.inFlight = pool.sensitiveInFlight;
    if (pool.sensitiveAt != instant::min())
        demand.prefillMsPerSecond = pool.sensitiveMsPerSecond
            * std::exp(-toMilliseconds(now - pool.sensitiveAt) / demandWindowMs);
    return demand;
}

double apartNeeded(const service_demand &demand, unsigned slots)
{
    const double reading = demand.prefillMsPerSecond / 1000 / apartUtilisation;
    const double places = demand.inFlight / (std::max(1U, slots) * apartSlotShare);
    return std::max(reading, places);
}

unsigned keepApart(service_pool &pool, std::size_t usable, double needed, instant now)
{
    if (usable < fewestForApart || needed <= 0)
        return 0;
    double level = pool.apartLevel;
    if (pool.apartAt != instant::min())
        level *= std::exp2(-toMilliseconds(now - pool.apartAt) / apartHalfLifeMs);
    pool.apartLevel = std::max(needed, level);
    pool.apartAt = now;
    const double most = std::max(1.0, std::floor(double(usable) * longestApartShare));
    return unsigned(std::clamp(std::ceil(pool.apartLevel), 1.0, most));
}

double usefulInFlight(const service_pool &pool, unsigned slots)
{
    const double readMs = pool.readMs > 0 ? pool.readMs : firstReadMs;
    const double streamMs = pool.streamMs > 0 ? pool.streamMs : firstStreamMs;
    // By Little's law: requests a ms at that share of reading, times the time that each stays.
    const double stayMs = readMs + streamMs / (1 - usefulUtilisation);
    return std::clamp(usefulUtilisation / readMs * stayMs, fewestInFlight, double(slots));
}

placement chooseUpstream(service_pool &pool, const placement_request &request,
                         const placement_site &site, fleet_load &others, instant now)
{
    for (auto &[id, upstream] : pool.upstreams) {
        if (!mayTake(upstream, request) || !shouldProbe(pool, upstream, request.probe, now))
            continue;
        placement probe = chooseAmong(pool, {&upstream}, request, site, others, now);
        probe.reason = "probe";
        delayProbe(upstream.health, now);
        return probe;
    }
    const auto usable = usableOf(pool, request, false, now);
    if (!usable.empty())
        return chooseAmong(pool, usable, request, site, others, now);
    placement last
        = chooseAmong(pool, usableOf(pool, request, true, now), request, site, others, now);
    last.reason = "last";
    return last;
}

} // namespace quincefall
