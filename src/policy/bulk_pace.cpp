#include "policy/bulk_pace.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr milliseconds maxBusyTime{250}; // Callers' requests share the link.

microseconds sendTime(const bulk_pace &pace, std::size_t bytes)
{
    return std::chrono::ceil<microseconds>(
        std::chrono::duration<double>(double(bytes) / pace.bytesPerSecond));
}

} // namespace

bool startBulk(bulk_pace &pace, std::size_t bytes, instant now)
{
    const bool isIdle = pace.sentBy <= now;
    const instant end = std::max(pace.sentBy, now) + sendTime(pace, bytes);
    if (!isIdle && end - now > maxBusyTime)
        return false;
    pace.sentBy = end;
    return true;
}

bool isBusy(const bulk_pace &pace, instant now)
{
    return pace.sentBy > now && pace.sentBy - now >= maxBusyTime;
}

void cancelBulk(bulk_pace &pace, std::size_t bytes, instant now)
{
    if (pace.sentBy > now)
        pace.sentBy = std::max<instant>(now, pace.sentBy - sendTime(pace, bytes));
}

} // namespace quincefall
