#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A point on a process's monotonic clock. Values of different processes are not comparable.
using instant = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Milliseconds since the Unix epoch on the wall clock. Used for times that leave the process, such
/// as event timestamps; time limits within a process use `instant`.
using wall_milliseconds = std::int64_t;

/// The clocks of a process. Injected so that tests can control the time.
struct clock_source
{
    std::function<instant()> now;
    std::function<wall_milliseconds()> wall;
};

/// The time of the operating system's monotonic clock, for code whose timers use that clock.
instant steadyNow();

/// Clocks of the operating system.
clock_source makeSystemClock();

/// Time set by a test; starts at zero on both clocks.
struct manual_time
{
    instant now{};
    wall_milliseconds wall = 0;

    void advance(microseconds step);
};

/// Clocks that read @p time, which must outlive them.
clock_source makeManualClock(const manual_time &time);

/// Converts @p span to fractional milliseconds, for display and metrics.
double toMilliseconds(microseconds span);

} // namespace quincefall
