#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// What a host announces of itself.
struct host_announcement
{
    host_address peer; ///< Where other hosts reach it.
    std::string failureDomain;
    wall_milliseconds announcedAt = 0; ///< On the announcing host's wall clock.
};

/// Hosts that announced themselves lately, without @p own, and those in @p heard, which sent a hint
/// lately. Wall clocks may differ by seconds, so the limit is several intervals of announcing.
///
/// Answers a wall clock that steps: a host whose own clock is far ahead must not take all others
/// for gone, and their part of the budget for its own.
std::vector<host_announcement> liveHosts(std::span<const host_announcement> announced,
                                         const std::set<host_address> &heard,
                                         const host_address &own, wall_milliseconds now);

/// Interval between announcements of one host.
inline constexpr seconds announceInterval{60};

} // namespace quincefall
