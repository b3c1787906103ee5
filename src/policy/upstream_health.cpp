#include "policy/upstream_health.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr milliseconds failureDedupWindow{100}; // Streams that break together count as one failure.
constexpr milliseconds minProbeBackoff{250};
constexpr milliseconds maxProbeBackoff{4'000};
constexpr int maxDoublings = 4;
constexpr seconds probeInterval{2};
constexpr double rateSmoothing = 0.3;
constexpr double typicalRateSmoothing = 0.02;
constexpr double slowThreshold = 0.5; // Of the typical rate.
constexpr double recoveredThreshold = 0.7; // Of the typical rate.
constexpr double minSamples = 20;

milliseconds probeBackoff(int failures)
{
    const int doublings = std::min(failures - 1, maxDoublings);
    return std::min(minProbeBackoff * (1 << doublings), maxProbeBackoff);
}

void updateTypicalRate(typical_rate &typical, double tokensPerSecond)
{
    typical.samples += 1;
    const double weight = std::max(typicalRateSmoothing, 1 / typical.samples);
    typical.tokensPerSecond += weight * (tokensPerSecond - typical.tokensPerSecond);
}

} // namespace

void recordFailure(upstream_health &health, instant now)
{
    if (health.lastFailure != instant::min() && now - health.lastFailure < failureDedupWindow)
        return;
    health.lastFailure = now;
    ++health.failures;
    health.state = upstream_health::condition::failing;
    health.probeFrom = now + probeBackoff(health.failures);
}

void recordSuccess(upstream_health &health)
{
    health.failures = 0;
    if (health.state == upstream_health::condition::failing)
        health.state = upstream_health::condition::good;
}

double relativeRate(const upstream_health &health, const typical_rate &typical)
{
    if (health.tokenRate <= 0 || typical.samples < minSamples || typical.tokensPerSecond <= 0)
        return 1;
    return std::min(1.0, health.tokenRate / typical.tokensPerSecond);
}

void recordRate(upstream_health &health, typical_rate &typical, double tokensPerSecond, instant now)
{
    const bool slow = health.state == upstream_health::condition::slow;
    const bool recovered = slow && tokensPerSecond >= recoveredThreshold * typical.tokensPerSecond;
    if (health.tokenRate <= 0 || recovered)
        health.tokenRate = tokensPerSecond;
    health.tokenRate += rateSmoothing * (tokensPerSecond - health.tokenRate);
    if (!slow || recovered)
        updateTypicalRate(typical, tokensPerSecond);
    const double relative = relativeRate(health, typical);
    if (slow && relative >= recoveredThreshold) {
        health.state = upstream_health::condition::good;
    } else if (health.state == upstream_health::condition::good && relative < slowThreshold) {
        health.state = upstream_health::condition::slow;
        health.probeFrom = now + probeInterval;
    }
}

void delayProbe(upstream_health &health, instant now)
{
    health.probeFrom = std::max(health.probeFrom, now + probeInterval);
}

} // namespace quincefall
