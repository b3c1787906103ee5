#include "policy/probation.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

constexpr double withheldShare = 0.35; // Of failed attempts, from which an upstream is avoided.
// Of the largest objective among the pool's requests, from which a request has time to spare.
constexpr double spareTargetShare = 0.8;
constexpr milliseconds longestOverdue{1'000}; // Four first pauses; see upstream_health.
constexpr milliseconds connectPause{500}; // Links come back after seconds.
constexpr double probeTargetShare = 0.4; // Leaves the larger part of the objective to the next try.
constexpr milliseconds shortestProbe{400}; // Two trips between regions and a long prompt.

} // namespace

bool isWithheld(const routed_upstream &upstream, instant now)
{
    return upstream.health.state == upstream_health::condition::failing
        || failureRateOf(upstream, now) > withheldShare;
}

void recordDisconnect(routed_upstream &upstream)
{
    upstream.isDisconnected = true;
}

void recordReconnect(routed_upstream &upstream, bool isOpen, instant now)
{
    upstream.isDisconnected = !isOpen;
    upstream.health.probeFrom = isOpen ? now : now + connectPause;
}

std::vector<routed_upstream *> takeDueReconnects(service_pool &pool, instant now)
{
    std::vector<routed_upstream *> due;
    for (auto &[id, upstream] : pool.upstreams) {
        if (!upstream.isDisconnected || upstream.listed.isLeaving
            || upstream.health.probeFrom > now)
            continue;
        delayProbe(upstream.health, now);
        due.push_back(&upstream);
    }
    return due;
}

bool shouldProbe(service_pool &pool, const routed_upstream &upstream,
                 const probe_candidate &request, instant now)
{
    pool.maxTargetMs = std::max(pool.maxTargetMs, request.targetMs);
    const bool isDue = upstream.health.probeFrom <= now;
    if (!request.isRetryable || upstream.isDisconnected || !isDue || !isWithheld(upstream, now))
        return false;
    const bool hasTime = request.targetMs >= pool.maxTargetMs * spareTargetShare;
    // One that fails only some of its requests has no pause between probes.
    const bool hasPause = upstream.health.probeFrom != instant::min();
    return hasTime || !hasPause || now - upstream.health.probeFrom > longestOverdue;
}

microseconds probeTimeout(microseconds target)
{
    const auto share = std::chrono::duration_cast<microseconds>(target * probeTargetShare);
    return std::max<microseconds>(share, shortestProbe);
}

} // namespace quincefall
