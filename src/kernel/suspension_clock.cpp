#include "kernel/suspension_clock.h"

#include <ctime>

namespace quincefall {
namespace {

instant suspensionNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::duration_cast<microseconds>(
        seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace

clock_source makeSuspensionClock()
{
    return {suspensionNow, makeSystemClock().wall};
}

} // namespace quincefall
