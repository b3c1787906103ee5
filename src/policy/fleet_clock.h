#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <map>
#include <optional>

namespace quincefall {

/// True time, estimated from the wall clocks of all hosts, this one included, by their median.
/// All instants are of a clock that also advances while the machine is suspended.
///
/// Answers the load of a fleet under traffic on which the time of day of some machines jumps: each
/// host still assigns its requests to the right window, as long as most clocks are right.
struct fleet_clock
{
    struct reading
    {
        milliseconds offset{0}; ///< Wall clock less the monotonic clock of this host.
        instant readAt;
        /// Since when all readings were lower than `offset`, and the highest of them.
        std::optional<instant> lowerSince;
        milliseconds lowerOffset{0};
    };

    std::map<host_address, reading> hosts;
};

/// Records that the wall clock of @p host was at @p wall when it sent what arrived at @p now.
void recordWallClock(fleet_clock &clock, const host_address &host, wall_milliseconds wall,
                     instant now);

/// Drops the readings of hosts that were not heard of for a while.
void dropOldReadings(fleet_clock &clock, instant now);

/// Unix time at @p now; empty before the first reading.
std::optional<wall_milliseconds> trueTime(const fleet_clock &clock, instant now);

} // namespace quincefall
