#include "policy/overload.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Share of the objective that the wait may take; the rest is for the prefill of the request itself.
constexpr double maxWaitShare = 0.8;
// Share of the remaining time that the wait of a retry may take; the rest is for its answer.
constexpr double maxRetryWaitShare = 0.4;
// Callers honour a Retry-After of up to a third of their remaining time.
constexpr double maxRetryAfterShare = 0.32;
constexpr double minIdleShare = 0.4; // Of the upstreams, for a cache miss to be allowed.
constexpr double minRetryAfterMs = 100;
// The timeouts of a route's callers differ by about a tenth. A much shorter one is what remains
// after an earlier, refused attempt.
constexpr double retryTimeoutRatio = 0.8;
// Weights of a longer and of a shorter timeout in the estimate of the longest one.
constexpr double estimateRise = 0.2;
constexpr double estimateDecay = 0.005;

} // namespace

overload_decision decideOverload(const overload_input &request)
{
    overload_decision decision;
    const double allowed = request.isCallerRetry ? request.remainingMs * maxRetryWaitShare
                                                 : request.targetMs * maxWaitShare;
    decision.isAdmitted = request.targetMs <= 0 || request.delayMs <= allowed;
    const double afterDrain = std::max(minRetryAfterMs, request.delayMs - allowed / 2);
    const double maxRetryAfter = std::max(1.0, request.remainingMs * maxRetryAfterShare);
    decision.retryAfter = milliseconds(std::llround(std::min(afterDrain, maxRetryAfter)));
    return decision;
}

bool allowsCacheMiss(double idle, double upstreams)
{
    return idle > 0 && idle >= upstreams * minIdleShare;
}

bool detectCallerRetry(caller_timeouts &timeouts, const std::string &route, milliseconds timeout)
{
    const auto sample = double(timeout.count());
    const auto [row, isNew] = timeouts.maxTimeoutMs.try_emplace(route, sample);
    double &estimate = row->second;
    const bool isShort = !isNew && sample < estimate * retryTimeoutRatio;
    estimate += (sample > estimate ? estimateRise : estimateDecay) * (sample - estimate);
    return isShort;
}

} // namespace quincefall
