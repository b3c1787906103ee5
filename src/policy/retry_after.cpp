#include "policy/retry_after.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr seconds minRetryAfter{1};
constexpr seconds maxRetryAfter{120};
constexpr double minDrainRate = 0.1; // Starts per second.

} // namespace

milliseconds retryAfter(retry_schedule &schedule, int tier, microseconds wait,
                        microseconds acceptable, double drainPerSecond, instant now)
{
    const double rate = std::max(drainPerSecond, minDrainRate);
    const microseconds spacing(static_cast<std::int64_t>(1e6 / rate));
    instant &next = schedule.nextRetry[tier];
    const instant earliest = now + std::max<microseconds>(wait - acceptable, minRetryAfter);
    const instant chosen = std::clamp<instant>(next, earliest, now + maxRetryAfter);
    next = chosen + spacing;
    return std::chrono::ceil<milliseconds>(chosen - now);
}

} // namespace quincefall
