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
constexpr milliseconds shareLifetime{500};
constexpr microseconds retryPause{20'000}; // While all of this host's part is in use.
constexpr microseconds turnPause{500'000}; // While other hosts have a turn.
constexpr seconds rejectionMemory{30}; // Longer than upstreams are brittle.
constexpr double roomyShare = 0.5; // Of the slots in use, up to which a rejection is not expected.
constexpr double burstShare = 0.25; // Of the slots, for the requests that one host sends at once.

std::ptrdiff_t countUnconfirmed(const rejection_guard &guard, instant now)
{
    return std::count_if(guard.unconfirmed.begin(), guard.unconfirmed.end(),
                         [now](instant sent) { return now - sent < confirmationTime; });
}

bool seemsHalfEmpty(const rejection_guard &guard, instant now)
{
    const bool hasRejected = guard.rejectionHeardAt != instant::min()
        && now - guard.rejectionHeardAt < rejectionMemory;
    return !hasRejected && guard.load + 1 <= guard.slots * roomyShare;
}

} // namespace

void setMaxRejections(rejection_guard &guard, std::optional<double> maxRejections)
{
    if (guard.maxRejections == maxRejections)
        return;
    guard.maxRejections = maxRejections;
    guard.sharedAt = instant::min();
}

void updateShare(rejection_guard &guard, std::string_view upstream, std::uint64_t turn,
                 const host_address &self, const fleet_load &others, instant now)
{
    const bool isCurrent = guard.sharedAt != instant::min() && now - guard.sharedAt < shareLifetime
        && guard.turn == turn;
    if (!guard.maxRejections || isCurrent)
        return;
    const double allowed = std::max(1.0, *guard.maxRejections * usedShare);
    const double places = std::max(1U, guard.slots);
    const fleet_share share
        = shareAmongHosts(nameHash(upstream) + turn, std::min(allowed, places), self, others);
    guard.turn = turn;
    guard.maxInFlight = share.hasPart ? std::max(1.0, std::floor(places / share.hosts)) : 0;
    guard.maxUnconfirmed = share.hasPart ? std::max(1.0, std::floor(allowed / share.hosts)) : 0;
    guard.sharedAt = now;
}

microseconds timeUntilRoom(const rejection_guard &guard, double inFlight, instant now)
{
    if (!guard.maxRejections)
        return microseconds(0);
    if (guard.pausedUntil > now)
        return guard.pausedUntil - now;
    const double unconfirmed = double(countUnconfirmed(guard, now));
    if (seemsHalfEmpty(guard, now))
        return unconfirmed < std::max(1.0, std::floor(guard.slots * burstShare)) ? microseconds(0)
                                                                                 : retryPause;
    if (guard.maxInFlight <= 0)
        return turnPause;
    const bool hasRoom = inFlight < guard.maxInFlight && unconfirmed < guard.maxUnconfirmed;
    return hasRoom ? microseconds(0) : retryPause;
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
    guard.rejectionHeardAt = now;
}

} // namespace quincefall
