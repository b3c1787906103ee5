#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// A host's announcement of itself.
struct host_announcement
{
    host_address peer; ///< Address for connections from other hosts.
    std::string failureDomain;
    wall_milliseconds announcedAt = 0; ///< On the announcing host's wall clock.
};

/// Hosts other than @p own that announced themselves recently, and those in @p hintSenders, which
/// sent a load hint recently. Wall clocks of hosts may differ by seconds, so an announcement counts
/// as recent for several announce intervals.
///
/// Guards against steps of the wall clock: a host whose clock is far ahead must not treat all other
/// hosts as gone and claim their part of the budget for itself.
std::vector<host_announcement> liveHosts(std::span<const host_announcement> announced,
                                         const std::set<host_address> &hintSenders,
                                         const host_address &own, wall_milliseconds now);

/// Interval between announcements of one host.
inline constexpr seconds announceInterval{60};

} // namespace quincefall
