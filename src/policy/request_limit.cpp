#include "policy/request_limit.h"

#include "policy/fleet_load.h"
#include "policy/fleet_share.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Hosts differ for a moment in which others they take for alive, and some requests are under way
// when the limit is named.
constexpr double usedShare = 0.9;
// Hosts that have a part, for each request a second. Each may save up one request, so this also
// bounds how many arrive at the same moment.
constexpr double hostsPerRequest = 2;
// A limit of 0 still gets a request now and then, whose answer tells when the need is over.
constexpr double minPerSecond = 0.1;
constexpr milliseconds shareLifetime{500};

double tokensAt(const limit_bucket &bucket, instant now)
{
    if (bucket.refilledAt == instant::min())
        return 0;
    const double seconds = toMilliseconds(now - bucket.refilledAt) / 1000;
    return std::min(bucket.tokens + bucket.share * seconds, bucket.burst);
}

} // namespace

void setLimit(limit_bucket &bucket, std::optional<double> perSecond, instant now)
{
    if (bucket.perSecond == perSecond)
        return;
    bucket.tokens = bucket.perSecond && perSecond ? tokensAt(bucket, now) : 0;
    bucket.refilledAt = now;
    bucket.perSecond = perSecond;
    bucket.sharedAt = instant::min();
}

void updateShare(limit_bucket &bucket, std::string_view upstream, const host_address &self,
                 const fleet_load &others, instant now)
{
    if (!bucket.perSecond
        || (bucket.sharedAt != instant::min() && now - bucket.sharedAt < shareLifetime))
        return;
    const double limit = std::max(*bucket.perSecond, minPerSecond);
    const fleet_share part
        = shareAmongHosts(nameHash(upstream), limit * hostsPerRequest, self, others);
    bucket.tokens = tokensAt(bucket, now);
    bucket.refilledAt = now;
    bucket.share = part.hasPart ? limit * usedShare / part.hosts : 0;
    bucket.burst = std::max(1.0, limit * hostsPerRequest / part.hosts);
    bucket.sharedAt = now;
}

std::optional<microseconds> timeUntilRoom(const limit_bucket &bucket, instant now)
{
    if (!bucket.perSecond)
        return microseconds(0);
    if (bucket.share <= 0)
        return std::nullopt;
    const double missing = std::max(0.0, 1 - tokensAt(bucket, now));
    return microseconds(std::llround(missing / bucket.share * 1e6));
}

void takeRequest(limit_bucket &bucket, instant now)
{
    if (!bucket.perSecond)
        return;
    bucket.tokens = tokensAt(bucket, now) - 1;
    bucket.refilledAt = now;
}

} // namespace quincefall
