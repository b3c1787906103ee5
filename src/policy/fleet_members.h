#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// What a host announces of itself.
struct host_announcement
{
    host_address peer; ///< Where other hosts reach it.
    std::string failureDomain;
    wall_milliseconds announced = 0; ///< On the announcing host's wall clock.
};

/// Hosts that announced themselves lately, without @p own. Wall clocks may differ by seconds, so
/// the limit is several intervals of announcing.
std::vector<host_announcement> liveHosts(std::span<const host_announcement> announced,
                                         const host_address &own, wall_milliseconds now);

/// Interval between announcements of one host.
inline constexpr seconds announceInterval{60};

} // namespace quincefall
