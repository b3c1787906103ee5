#include "policy/upstream_health.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr milliseconds sameMoment{100};
constexpr milliseconds shortestPause{250};
constexpr milliseconds longestPause{4'000};
constexpr int mostDoublings = 4;
constexpr seconds probeInterval{2};
constexpr double smoothing = 0.3;
constexpr double usualSmoothing = 0.02;
constexpr double slowBelow = 0.5;
constexpr double goodAbove = 0.7;
constexpr double enoughSamples = 20;

milliseconds pauseAfter(int failures)
{
    const int doublings = std::min(failures - 1, mostDoublings);
    return std::min(shortestPause * (1 << doublings), longestPause);
}

void learnUsualRate(typical_rate &usual, double tokensPerSecond)
{
    usual.samples += 1;
    const double weight = std::max(usualSmoothing, 1 / usual.samples);
    usual.tokensPerSecond += weight * (tokensPerSecond - usual.tokensPerSecond);
}

} // namespace

void recordFailure(upstream_health &health, instant now)
{
    if (health.lastFailure != instant::min() && now - health.lastFailure < sameMoment)
        return;
    health.lastFailure = now;
    ++health.failures;
    health.state = upstream_health::condition::failing;
    health.probeFrom = now + pauseAfter(health.failures);
}

void recordSuccess(upstream_health &health)
{
    health.failures = 0;
    if (health.state == upstream_health::condition::failing)
        health.state = upstream_health::condition::good;
}

double relativeRate(const upstream_health &health, const typical_rate &usual)
{
    if (health.tokenRate <= 0 || usual.samples < enoughSamples || usual.tokensPerSecond <= 0)
        return 1;
    return std::min(1.0, health.tokenRate / usual.tokensPerSecond);
}

void recordRate(upstream_health &health, typical_rate &usual, double tokensPerSecond, instant now)
{
    const bool slow = health.state == upstream_health::condition::slow;
    const bool recovered = slow && tokensPerSecond >= goodAbove * usual.tokensPerSecond;
    if (health.tokenRate <= 0 || recovered)
        health.tokenRate = tokensPerSecond;
    health.tokenRate += smoothing * (tokensPerSecond - health.tokenRate);
    if (!slow || recovered)
        learnUsualRate(usual, tokensPerSecond);
    const double share = relativeRate(health, usual);
    if (slow && share >= goodAbove) {
        health.state = upstream_health::condition::good;
    } else if (health.state == upstream_health::condition::good && share < slowBelow) {
        health.state = upstream_health::condition::slow;
        health.probeFrom = now + probeInterval;
    }
}

void delayProbe(upstream_health &health, instant now)
{
    health.probeFrom = std::max(health.probeFrom, now + probeInterval);
}

} // namespace quincefall
