#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace quincefall {

/// Number of requests started in each tier, in a sliding window of one-second buckets.
struct drain_rate
{
    static constexpr std::size_t bucketCount = 8;

    struct window
    {
        std::array<std::uint32_t, bucketCount> starts{};
    };

    std::map<int, window> tiers;
    std::int64_t currentSecond = 0;
    std::int64_t firstSecond = -1; ///< Second of the first start; -1 before it.
};

/// Records one start of a request of @p tier.
void recordStart(drain_rate &rate, int tier, instant now);

/// Starts per second that are available to @p tier: all starts except those of higher tiers. Zero
/// until the window holds enough starts for an estimate.
double drainRateForTier(drain_rate &rate, int tier, instant now);

} // namespace quincefall
