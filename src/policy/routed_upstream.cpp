#include "policy/routed_upstream.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

constexpr double healthSmoothing = 0.15; // Weight of one attempt in the failure share.
constexpr double healthHalfLifeMs = 4'000; // A failure share without news halves in this time.
constexpr double excessSmoothing = 0.3; // Weight of one answer in the wait beyond the estimate.
constexpr double excessHalfLifeMs = 700; // Queues at an engine drain in about this time.
constexpr double callSmoothing = 0.05;
constexpr double rateSmoothing = 0.05;
constexpr double mostRateStep = 3; // A part that was kept after all looks like fast reading.
constexpr double idleDelayMs = 5; // Expected wait up to which an engine counts as idle.
constexpr double readSmoothing = 0.05;
constexpr double streamFall = 0.3;
constexpr double streamRise = 0.01;
constexpr double firstRate = 50; // Tokens per ms before any was seen; a large engine's.
constexpr double sampleTokens = 1'000; // Shorter prompts say little about the rate.
constexpr milliseconds reportLife{2'000}; // Requests last about this long.
constexpr seconds partLife{40}; // Parts used no later than this are thought to be kept.
constexpr std::size_t mostParts = 4'096; // For each upstream; about 100 kB.
constexpr seconds slowMemory{3}; // Slow times last some seconds; streams tell of them each second.
constexpr double uncountedTokens = 1;

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

void learn(double &value, double sample, double weight)
{
    value = value <= 0 ? sample : value + weight * (sample - value);
}

void learnReading(service_pool &pool, const attempt_work &work, double waitedMs)
{
    if (pool.promptTokensPerMs <= 0)
        pool.promptTokensPerMs = firstRate;
    // Only an engine without other work shows how fast it reads.
    if (work.unreadTokens > sampleTokens && work.delayMs < idleDelayMs && waitedMs > 1) {
        const double sample = work.unreadTokens / waitedMs;
        learn(pool.promptTokensPerMs, std::min(sample, pool.promptTokensPerMs * mostRateStep),
              rateSmoothing);
    }
    if (!work.isGapSensitive)
        learn(pool.readMs, work.unreadTokens / pool.promptTokensPerMs, readSmoothing);
}

void dropOldParts(routed_upstream &upstream, instant now)
{
    std::erase_if(upstream.keptParts,
                  [now](const auto &part) { return now - part.second > partLife; });
    if (upstream.keptParts.size() > mostParts)
        upstream.keptParts.clear();
}

} // namespace

void recordStart(service_pool &pool, routed_upstream &upstream, const prompt_outline &prompt,
                 const attempt_work &work, instant now)
{
    if (work.isGapSensitive)
        pool.sensitiveInFlight += 1;
    if (ownInFlight(upstream) == 0)
        upstream.busySince = now;
    upstream.inFlight[levelOf(work)] += 1;
    upstream.unreadTokens[levelOf(work)] += work.unreadTokens;
    for (const prompt_part &part : prompt.parts)
        upstream.keptParts[part.id] = now;
    if (upstream.keptParts.size() > mostParts)
        dropOldParts(upstream, now);
}

void recordFirstByte(service_pool &pool, routed_upstream &upstream, const attempt_work &work,
                     std::optional<microseconds> waited, instant now)
{
    double &unread = upstream.unreadTokens[levelOf(work)];
    unread = std::max(0.0, unread - work.unreadTokens);
    if (!waited)
        return;
    const double waitedMs = toMilliseconds(*waited);
    const double excess = std::max(0.0, waitedMs - work.estimatedMs);
    const double before = recentExcessMs(upstream, now);
    upstream.excessMs = before + excessSmoothing * (excess - before);
    upstream.excessAt = now;
    if (work.unreadTokens <= uncountedTokens)
        learn(pool.callMs, waitedMs, callSmoothing);
    else
        learnReading(pool, work, waitedMs);
}

void recordStream(service_pool &pool, microseconds took)
{
    const double tookMs = toMilliseconds(took);
    // Most streams share their engine with others' reading; the short ones tell of an idle one.
    const double weight = tookMs < pool.streamMs ? streamFall : streamRise;
    learn(pool.streamMs, tookMs, weight);
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
    upstream.ownAtReport = ownInFlight(upstream);
}

void recordLongPause(routed_upstream &upstream, instant now)
{
    const bool isRepeated
        = upstream.longPauseAt != instant::min() && now - upstream.longPauseAt < slowMemory;
    upstream.longPauseAt = now;
    if (!isRepeated)
        return;
    upstream.slowUntil = now + slowMemory;
    upstream.health.probeFrom = upstream.slowUntil;
}

void recordOutcome(routed_upstream &upstream, bool succeeded, instant now)
{
    const double before
        = decayed(upstream.failureShare, upstream.failureShareAt, healthHalfLifeMs, now);
    upstream.failureShare = before + healthSmoothing * ((succeeded ? 0.0 : 1.0) - before);
    upstream.failureShareAt = now;
    if (succeeded)
        recordSuccess(upstream.health);
}

void forgetRun(routed_upstream &upstream)
{
    upstream.keptParts.clear();
    upstream.reported = {};
    upstream.reportedAt = instant::min();
    upstream.excessAt = instant::min();
    upstream.failureShareAt = instant::min();
    upstream.health = {};
    upstream.isCutOff = false;
}

double failureShareOf(const routed_upstream &upstream, instant now)
{
    return decayed(upstream.failureShare, upstream.failureShareAt, healthHalfLifeMs, now);
}

double loadOf(const routed_upstream &upstream, fleet_load &others, instant now)
{
    const by_urgency &told = workOfOtherHosts(others, nameHash(upstream.listed.id)).inFlight;
    double foreign = sumUpTo(told, urgencyLevels);
    if (upstream.reportedAt != instant::min() && now - upstream.reportedAt < reportLife) {
        const double reported = double(upstream.reported.running) + upstream.reported.waiting;
        foreign = std::max(foreign, reported - upstream.ownAtReport);
    }
    return ownInFlight(upstream) + std::max(0.0, foreign);
}

double ownInFlight(const routed_upstream &upstream)
{
    return sumUpTo(upstream.inFlight, urgencyLevels);
}

double silenceMs(const routed_upstream &upstream, instant now)
{
    if (ownInFlight(upstream) == 0 || upstream.busySince == instant::min())
        return 0;
    return toMilliseconds(now - std::max(upstream.lastHeard, upstream.busySince));
}

double recentExcessMs(const routed_upstream &upstream, instant now)
{
    return decayed(upstream.excessMs, upstream.excessAt, excessHalfLifeMs, now);
}

double unreadTokensOf(const routed_upstream &upstream, const prompt_outline &prompt, instant now)
{
    double unread = prompt.promptTokens;
    for (const prompt_part &part : prompt.parts) {
        const auto kept = upstream.keptParts.find(part.id);
        if (kept == upstream.keptParts.end() || now - kept->second > partLife)
            break;
        unread -= part.tokens;
    }
    return std::max(0.0, unread);
}

} // namespace quincefall
