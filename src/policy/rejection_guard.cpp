#include "policy/rejection_guard.h"

#include "policy/fleet_load.h"
#include "policy/fleet_share.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Hosts differ for a moment in which others they take for alive, and some requests are under way
// when an upstream becomes brittle.
constexpr double usedShare = 0.5;
// A rejection comes at once. Two round trips between regions, and a busy upstream.
constexpr milliseconds confirmationTime{250};
constexpr milliseconds pauseAfterRejection{1'000}; // The time over which rejections are counted.
constexpr milliseconds shareLifetime{500};
constexpr milliseconds retryPause{20}; // While all of this host's part is in use.

std::ptrdiff_t countUnconfirmed(const rejection_guard &guard, instant now)
{
    return std::count_if(guard.unconfirmed.begin(), guard.unconfirmed.end(),
                         [now](instant sent) { return now - sent < confirmationTime; });
}

} // namespace

void setMaxRejections(rejection_guard &guard, std::optional<double> maxRejections)
{
    if (guard.maxRejections == maxRejections)
        return;
    guard.maxRejections = maxRejections;
    guard.sharedAt = instant::min();
}

void updateShare(rejection_guard &guard, std::string_view upstream, unsigned slots,
                 const host_address &self, const fleet_load &others, instant now)
{
    if (!guard.maxRejections
        || (guard.sharedAt != instant::min() && now - guard.sharedAt < shareLifetime))
        return;
    const double allowed = std::max(1.0, *guard.maxRejections * usedShare);
    const double places = std::max(1U, slots);
    const fleet_share share
        = shareAmongHosts(nameHash(upstream), std::min(allowed, places), self, others);
    guard.maxInFlight = share.hasPart ? std::max(1.0, std::floor(places / share.hosts)) : 0;
    guard.maxUnconfirmed = share.hasPart ? std::max(1.0, std::floor(allowed / share.hosts)) : 0;
    guard.sharedAt = now;
}

std::optional<microseconds> timeUntilRoom(const rejection_guard &guard, double inFlight,
                                          instant now)
{
    if (!guard.maxRejections)
        return microseconds(0);
    if (guard.maxInFlight <= 0)
        return std::nullopt;
    if (guard.pausedUntil > now)
        return guard.pausedUntil - now;
    if (inFlight >= guard.maxInFlight)
        return retryPause;
    if (double(countUnconfirmed(guard, now)) < guard.maxUnconfirmed)
        return microseconds(0);
    return retryPause;
}

void recordSent(rejection_guard &guard, instant now)
{
    std::erase_if(guard.unconfirmed,
                  [now](instant sent) { return now - sent >= confirmationTime; });
    guard.unconfirmed.push_back(now);
}

void recordAccepted(rejection_guard &guard)
{
    if (!guard.unconfirmed.empty())
        guard.unconfirmed.erase(guard.unconfirmed.begin());
}

void recordRejected(rejection_guard &guard, instant now)
{
    guard.pausedUntil = now + pauseAfterRejection;
}

} // namespace quincefall
