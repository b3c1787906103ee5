#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <cstdint>
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
/// that it sent a moment ago and that were neither answered nor rejected yet. While the upstream
/// seems at most half full, the bound is a part of its slots. Otherwise, and for some seconds after
/// a rejection that any host reports, it is a part of what the upstream withstands; where that is
/// not a request for each host, hosts take turns. After a rejection the host pauses for a second.
struct rejection_guard
{
    std::optional<double> maxRejections; ///< A second, of all hosts together; empty if not brittle.
    unsigned slots = 1;
    double load = 0; ///< Requests of all hosts there, as far as known.
    instant rejectionHeardAt = instant::min(); ///< Last rejection that a host reported.
    double maxInFlight = 0; ///< This host's part of the upstream's slots; 0 if it has no turn.
    double maxUnconfirmed = 0; ///< Its part of the requests of which a rejection may still come.
    std::uint64_t turn = 0; ///< For which the parts were computed.
    instant sharedAt = instant::min(); ///< When the parts were computed.
    std::vector<instant> unconfirmed; ///< When these were sent.
    instant pausedUntil = instant::min();
};

/// Sets or ends the brittleness.
void setMaxRejections(rejection_guard &guard, std::optional<double> maxRejections);

/// Length of a turn, by the wall clock.
inline constexpr milliseconds rejectionTurn{2'000};

/// Updates this host's part for the turn with the number @p turn, by the hosts that are alive
/// according to @p others.
void updateShare(rejection_guard &guard, std::string_view upstream, std::uint64_t turn,
                 const host_address &self, const fleet_load &others, instant now);

/// Time until the upstream may get a request from this host, which has @p inFlight there: 0 if it
/// may now.
microseconds timeUntilRoom(const rejection_guard &guard, double inFlight, instant now);

/// Record that a request was sent, that the upstream began to answer one, and that it rejected one.
void recordSent(rejection_guard &guard, instant now);
void recordAccepted(rejection_guard &guard);
void recordRejected(rejection_guard &guard, instant now);

/// For which a host sends nothing to a brittle upstream that has rejected a request. Rejections are
/// counted over this time.
inline constexpr milliseconds pauseAfterRejection{1'000};

} // namespace quincefall
