#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <optional>
#include <string_view>

namespace quincefall {

struct fleet_load;

/// What an upstream last said of the requests a second that it takes from all hosts together.
struct limit_statement
{
    std::optional<double> perSecond; ///< Empty if it names no limit any longer.
    instant saidAt = instant::min(); ///< When a host received the answer that says so.
};

/// One host's part of the requests that a limited upstream takes.
///
/// Guards an upstream in need: hosts do not coordinate, so each one sends only its part. Where the
/// limit is low, only a few hosts have a part, the same in the view of all of them; parts of less
/// than a request would let all of them send one at the same moment.
struct limit_bucket
{
    std::optional<double> perSecond; ///< Of all hosts together; empty without a limit.
    double share = 0; ///< Requests a second of this host.
    double burst = 1; ///< Requests that may be saved up.
    instant sharedAt = instant::min(); ///< When `share` was computed.
    double tokens = 0;
    instant refilledAt = instant::min();
};

/// Sets or ends the limit.
void setLimit(limit_bucket &bucket, std::optional<double> perSecond, instant now);

/// Updates this host's part, by the hosts that are alive according to @p others.
void updateShare(limit_bucket &bucket, std::string_view upstream, const host_address &self,
                 const fleet_load &others, instant now);

/// Time until the upstream may get a request from this host: 0 if it may now, empty if this host
/// has no part of the limit.
std::optional<microseconds> timeUntilRoom(const limit_bucket &bucket, instant now);

/// Takes one request from this host's part.
void takeRequest(limit_bucket &bucket, instant now);

} // namespace quincefall
