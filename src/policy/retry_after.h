#pragma once

#include "kernel/clock.h"

#include <map>

namespace quincefall {

/// Assigns retry times to refused callers, spaced by the drain rate, so that they do not all return
/// at once.
struct retry_schedule
{
    std::map<int, instant> nextRetry; ///< By tier; the earliest time not yet assigned.
};

/// Time after which a refused request of @p tier should be retried, rounded up to milliseconds.
/// @p wait is the expected wait in the queue now, @p acceptable the wait that the caller should
/// find on its return, and @p drainPerSecond the rate at which requests of the tier start.
milliseconds retryAfter(retry_schedule &schedule, int tier, microseconds wait,
                        microseconds acceptable, double drainPerSecond, instant now);

} // namespace quincefall
