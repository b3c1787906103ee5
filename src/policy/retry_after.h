#pragma once

#include "kernel/clock.h"

#include <map>

namespace quincefall {

/// Hands out times to come back, so that refused callers return at the rate of the drain and not
/// all at once.
struct retry_schedule
{
    std::map<int, instant> nextRetry; ///< By tier; the earliest time not yet handed out.
};

/// Time after which a refused request of @p tier should come back, in whole milliseconds.
/// @p wait is the expected wait of the queue as it is, @p acceptable the wait that the caller
/// should meet on return, @p drainPerSecond the rate at which the tier's requests start.
milliseconds retryAfter(retry_schedule &schedule, int tier, microseconds wait,
                        microseconds acceptable, double drainPerSecond, instant now);

} // namespace quincefall
