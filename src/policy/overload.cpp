#include "policy/overload.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Of the objective that the wait may take; the rest goes to reading the request itself.
constexpr double waitShare = 0.8;
// Of the time left that a returning caller's wait may take; the rest makes its answer.
constexpr double returningWaitShare = 0.4;
// Callers honour a Retry-After up to a third of the time they have left.
constexpr double longestReturnShare = 0.32;
constexpr double idleShare = 0.4; // Of the upstreams.
constexpr double shortestReturnMs = 100;
// Callers of a route set waits that differ by a tenth or so; a shorter one was used up before.
constexpr double returningShare = 0.8;
constexpr double patienceRise = 0.2;
constexpr double patienceFall = 0.005;

} // namespace

overload_decision decideOverload(const overload_input &view)
{
    overload_decision decision;
    const double allowed
        = view.isCallerRetry ? view.remainingMs * returningWaitShare : view.targetMs * waitShare;
    decision.isAdmitted = view.targetMs <= 0 || view.delayMs <= allowed;
    const double drained = std::max(shortestReturnMs, view.delayMs - allowed / 2);
    const double latest = std::max(1.0, view.remainingMs * longestReturnShare);
    decision.retryAfter = milliseconds(std::llround(std::min(drained, latest)));
    return decision;
}

bool allowsCacheMiss(double idle, double upstreams)
{
    return idle > 0 && idle >= upstreams * idleShare;
}

bool detectCallerRetry(caller_timeouts &patience, const std::string &route, milliseconds wait)
{
    const auto sample = double(wait.count());
    const auto [row, isNew] = patience.maxTimeoutMs.try_emplace(route, sample);
    double &longest = row->second;
    const bool isShort = !isNew && sample < longest * returningShare;
    longest += (sample > longest ? patienceRise : patienceFall) * (sample - longest);
    return isShort;
}

} // namespace quincefall
