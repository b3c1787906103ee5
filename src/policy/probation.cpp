#include "policy/probation.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

constexpr double maxFailureRate = 0.35; // An upstream with a higher one is withheld.
// Share of the pool's largest latency target; requests with a shorter target don't probe at first.
constexpr double longTargetShare = 0.8;
// Four times the shortest backoff; see upstream_health.cpp.
constexpr milliseconds maxProbeDelay{1'000};
constexpr double probeTimeoutShare = 0.4; // Leaves most of the target to the next attempt.
// Two trips between regions and the prefill of a long prompt.
constexpr milliseconds minProbeTimeout{400};

} // namespace

bool isWithheld(const routed_upstream &upstream, instant now)
{
    return upstream.health.state == upstream_health::condition::failing
        || failureRateOf(upstream, now) > maxFailureRate;
}

void recordDisconnect(routed_upstream &upstream)
{
    upstream.isDisconnected = true;
}

std::size_t countDisconnected(const std::map<std::string, service_pool, std::less<>> &pools)
{
    std::size_t count = 0;
    for (const auto &[service, pool] : pools)
        count += std::size_t(
            std::count_if(pool.upstreams.begin(), pool.upstreams.end(),
                          [](const auto &row) { return row.second.isDisconnected; }));
    return count;
}

void recordReconnect(routed_upstream &upstream, bool isOpen, instant now)
{
    upstream.isDisconnected = !isOpen;
    if (isOpen) {
        upstream.isRelayed = false;
        upstream.relay.reset();
    }
    upstream.health.probeFrom = isOpen ? now : now + reconnectInterval;
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
    const bool isReachable = !upstream.isDisconnected || upstream.isRelayed;
    if (!request.isRetryable || !isReachable || !isDue || !isWithheld(upstream, now))
        return false;
    const bool hasLongTarget = request.targetMs >= pool.maxTargetMs * longTargetShare;
    // An upstream that fails only some of its requests has no backoff between probes.
    const bool hasScheduledProbe = upstream.health.probeFrom != instant::min();
    return hasLongTarget || !hasScheduledProbe || now - upstream.health.probeFrom > maxProbeDelay;
}

microseconds probeTimeout(microseconds target)
{
    const auto share = std::chrono::duration_cast<microseconds>(target * probeTimeoutShare);
    return std::max<microseconds>(share, minProbeTimeout);
}

} // namespace quincefall
