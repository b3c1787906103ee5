#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <optional>
#include <string_view>
#include <vector>

namespace quincefall {

struct fleet_load;

/// This host's part of the requests that a brittle upstream may have to reject.
///
/// A brittle upstream fails when it rejects more than a given number of requests in a second, from
/// all hosts together. Whether it has room is not known: other hosts' requests are seen late, and
/// it may let fewer wait than before. So each host bounds what it could have rejected: the requests
/// that it sent a moment ago and that were neither answered nor rejected yet. After a rejection it
/// sends nothing more for a second. The sum over all hosts stays below the number.
struct rejection_guard
{
    std::optional<double> maxRejections; ///< A second, of all hosts together; empty if not brittle.
    double maxInFlight = 0; ///< This host's part of the upstream's slots.
    double maxUnconfirmed = 0; ///< Requests of which a rejection may still come.
    instant sharedAt = instant::min(); ///< When the parts were computed.
    std::vector<instant> unconfirmed; ///< When these were sent.
    instant pausedUntil = instant::min();
};

/// Sets or ends the brittleness.
void setMaxRejections(rejection_guard &guard, std::optional<double> maxRejections);

/// Updates this host's part, by the hosts that are alive according to @p others.
void updateShare(rejection_guard &guard, std::string_view upstream, unsigned slots,
                 const host_address &self, const fleet_load &others, instant now);

/// Time until the upstream may get a request from this host, which has @p inFlight there: 0 if it
/// may now, empty if this host has no part.
std::optional<microseconds> timeUntilRoom(const rejection_guard &guard, double inFlight,
                                          instant now);

/// Record that a request was sent, that the upstream began to answer one, and that it rejected one.
void recordSent(rejection_guard &guard, instant now);
void recordAccepted(rejection_guard &guard);
void recordRejected(rejection_guard &guard, instant now);

} // namespace quincefall
