#include "kernel/clock.h"

namespace quincefall {

instant steadyNow()
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

clock_source makeSystemClock()
{
    return {steadyNow, [] {
                const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
                return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
            }};
}

void manual_time::advance(microseconds step)
{
    now += step;
    wall += std::chrono::duration_cast<milliseconds>(step).count();
}

clock_source makeManualClock(const manual_time &time)
{
    return {[&time] { return time.now; }, [&time] { return time.wall; }};
}

double toMilliseconds(microseconds span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace quincefall
