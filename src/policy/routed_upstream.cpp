#include "policy/routed_upstream.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

constexpr double failureRateSmoothing = 0.15; // Weight of one attempt.
constexpr double failureRateHalfLifeMs = 4'000;
constexpr double excessSmoothing = 0.3; // Weight of one answer.
constexpr double excessHalfLifeMs = 700; // Queues at an engine drain in about this time.
constexpr double callSmoothing = 0.05;
constexpr double prefillRateSmoothing = 0.05;
constexpr double maxRateStep = 3; // An unexpected cache hit looks like a fast prefill.
constexpr double maxIdleDelayMs = 5; // With a longer queueing delay an engine is busy.
constexpr double prefillSmoothing = 0.05;
constexpr double streamFallWeight = 0.3;
constexpr double streamRiseWeight = 0.01;
constexpr double defaultPrefillTokensPerMs = 50; // A large engine's rate.
constexpr double minSampleTokens = 1'000; // Shorter prompts say little about the prefill rate.
constexpr milliseconds reportLifetime{2'000}; // Requests last about this long.
// A part counts as cached for this time after its last use.
constexpr seconds cachedPartLifetime{40};
constexpr std::size_t maxCachedParts = 4'096; // For each upstream; about 100 kB.
// An engine stays slow for some seconds, during which its streams show slow gaps about every
// second.
constexpr seconds slowPeriod{3};
constexpr double maxNegligibleTokens = 1; // Attempts with no more count as calls without a prompt.

double decayed(double value, instant since, double halfLifeMs, instant now)
{
    if (since == instant::min())
        return 0;
    return value * std::exp2(-toMilliseconds(now - since) / halfLifeMs);
}

std::size_t levelOf(const attempt_work &work)
{
    return std::min(urgencyLevels - 1, std::size_t(std::max(0, work.urgency)));
}

void updateAverage(double &value, double sample, double weight)
{
    value = value <= 0 ? sample : value + weight * (sample - value);
}

void updatePrefillRate(service_pool &pool, const attempt_work &work, double waitedMs)
{
    if (pool.prefillTokensPerMs <= 0)
        pool.prefillTokensPerMs = defaultPrefillTokensPerMs;
    // On an idle engine the time to the first byte is the prefill time.
    if (work.unreadTokens > minSampleTokens && work.delayMs < maxIdleDelayMs && waitedMs > 1) {
        const double sample = work.unreadTokens / waitedMs;
        updateAverage(pool.prefillTokensPerMs,
                      std::min(sample, pool.prefillTokensPerMs * maxRateStep),
                      prefillRateSmoothing);
    }
    if (!work.isGapSensitive)
        updateAverage(pool.prefillMs, work.unreadTokens / pool.prefillTokensPerMs,
                      prefillSmoothing);
}

void dropExpiredParts(routed_upstream &upstream, instant now)
{
    std::erase_if(upstream.cachedParts,
                  [now](const auto &part) { return now - part.second > cachedPartLifetime; });
    if (upstream.cachedParts.size() > maxCachedParts)
        upstream.cachedParts.clear();
}

} // namespace

void recordStart(service_pool &pool, routed_upstream &upstream, const prompt_outline &prompt,
                 const attempt_work &work, instant now)
{
    takeRequest(upstream.limit, now);
    recordSent(upstream.rejections, now);
    if (work.isGapSensitive)
        pool.sensitiveInFlight += 1;
    if (ownInFlight(upstream) == 0)
        upstream.busySince = now;
    upstream.inFlight[levelOf(work)] += 1;
    upstream.unreadTokens[levelOf(work)] += work.unreadTokens;
    for (const prompt_part &part : prompt.parts)
        upstream.cachedParts[part.id] = now;
    if (upstream.cachedParts.size() > maxCachedParts)
        dropExpiredParts(upstream, now);
}

void recordFirstByte(service_pool &pool, routed_upstream &upstream, const attempt_work &work,
                     std::optional<microseconds> waited, instant now)
{
    double &pending = upstream.unreadTokens[levelOf(work)];
    pending = std::max(0.0, pending - work.unreadTokens);
    if (!waited)
        return;
    recordAccepted(upstream.rejections);
    const double waitedMs = toMilliseconds(*waited);
    const double excess = std::max(0.0, waitedMs - work.estimatedFirstByteMs);
    const double before = recentFirstByteExcessMs(upstream, now);
    upstream.firstByteExcessMs = before + excessSmoothing * (excess - before);
    upstream.firstByteExcessAt = now;
    if (work.unreadTokens <= maxNegligibleTokens)
        updateAverage(pool.callMs, waitedMs, callSmoothing);
    else
        updatePrefillRate(pool, work, waitedMs);
}

void recordStream(service_pool &pool, microseconds took)
{
    const double tookMs = toMilliseconds(took);
    // Most streams are prolonged by prefills of other requests. Short times come from idle engines
    // and therefore weigh more.
    const double weight = tookMs < pool.streamMs ? streamFallWeight : streamRiseWeight;
    updateAverage(pool.streamMs, tookMs, weight);
}

void recordEnd(service_pool &pool, routed_upstream *upstream, const attempt_work &work)
{
    if (work.isGapSensitive)
        pool.sensitiveInFlight = std::max(0.0, pool.sensitiveInFlight - 1);
    if (!upstream)
        return;
    double &count = upstream->inFlight[levelOf(work)];
    count = std::max(0.0, count - 1);
    if (count == 0)
        upstream->unreadTokens[levelOf(work)] = 0;
}

void recordLoad(routed_upstream &upstream, const upstream_load &load, instant now)
{
    upstream.reported = load;
    upstream.reportedAt = now;
    upstream.ownInFlightAtReport = ownInFlight(upstream);
}

void recordSlowGap(routed_upstream &upstream, instant now)
{
    const bool isRepeated
        = upstream.lastSlowGap != instant::min() && now - upstream.lastSlowGap < slowPeriod;
    upstream.lastSlowGap = now;
    if (!isRepeated)
        return;
    upstream.slowUntil = now + slowPeriod;
    upstream.health.probeFrom = upstream.slowUntil;
}

void recordOutcome(routed_upstream &upstream, bool succeeded, instant now)
{
    const double before
        = decayed(upstream.failureRate, upstream.failureRateAt, failureRateHalfLifeMs, now);
    upstream.failureRate = before + failureRateSmoothing * ((succeeded ? 0.0 : 1.0) - before);
    upstream.failureRateAt = now;
    if (succeeded)
        recordSuccess(upstream.health);
}

void resetAfterRestart(routed_upstream &upstream)
{
    upstream.cachedParts.clear();
    upstream.reported = {};
    upstream.reportedAt = instant::min();
    upstream.firstByteExcessAt = instant::min();
    upstream.failureRateAt = instant::min();
    upstream.health = {};
    upstream.isDisconnected = false;
    upstream.isRelayed = false;
    upstream.relay.reset();
    upstream.linkCheckedAt = instant::min();
}

double failureRateOf(const routed_upstream &upstream, instant now)
{
    return decayed(upstream.failureRate, upstream.failureRateAt, failureRateHalfLifeMs, now);
}

double loadOf(const routed_upstream &upstream, fleet_load &others, instant now)
{
    const by_urgency &hinted = workOfOtherHosts(others, nameHash(upstream.listed.id)).inFlight;
    double remote = sumUpTo(hinted, urgencyLevels);
    if (upstream.reportedAt != instant::min() && now - upstream.reportedAt < reportLifetime) {
        const double reported = double(upstream.reported.running) + upstream.reported.waiting;
        remote = std::max(remote, reported - upstream.ownInFlightAtReport);
    }
    return ownInFlight(upstream) + std::max(0.0, remote);
}

double ownInFlight(const routed_upstream &upstream)
{
    return sumUpTo(upstream.inFlight, urgencyLevels);
}

double msSinceLastByte(const routed_upstream &upstream, instant now)
{
    if (ownInFlight(upstream) == 0 || upstream.busySince == instant::min())
        return 0;
    return toMilliseconds(now - std::max(upstream.lastByteAt, upstream.busySince));
}

double recentFirstByteExcessMs(const routed_upstream &upstream, instant now)
{
    return decayed(upstream.firstByteExcessMs, upstream.firstByteExcessAt, excessHalfLifeMs, now);
}

double uncachedTokensOf(const routed_upstream &upstream, const prompt_outline &prompt, instant now)
{
    double uncached = prompt.promptTokens;
    for (const prompt_part &part : prompt.parts) {
        const auto cached = upstream.cachedParts.find(part.id);
        if (cached == upstream.cachedParts.end() || now - cached->second > cachedPartLifetime)
            break;
        uncached -= part.tokens;
    }
    return std::max(0.0, uncached);
}

} // namespace quincefall
