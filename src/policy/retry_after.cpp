#include "policy/retry_after.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr seconds shortestReturn{1};
constexpr seconds longestReturn{120};
constexpr double slowestDrain = 0.1; // Starts per second.

} // namespace

milliseconds retryAfter(retry_schedule &schedule, int tier, microseconds wait,
                        microseconds acceptable, double drainPerSecond, instant now)
{
    const double rate = std::max(drainPerSecond, slowestDrain);
    const microseconds spacing(static_cast<std::int64_t>(1e6 / rate));
    instant &next = schedule.nextRetry[tier];
    const instant drained = now + std::max<microseconds>(wait - acceptable, shortestReturn);
    const instant chosen = std::clamp<instant>(next, drained, now + longestReturn);
    next = chosen + spacing;
    return std::chrono::ceil<milliseconds>(chosen - now);
}

} // namespace quincefall
