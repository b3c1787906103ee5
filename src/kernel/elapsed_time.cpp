#include "kernel/elapsed_time.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr std::uint64_t longestMs = 1'000'000'000'000; // Three decades.

} // namespace

milliseconds elapsed(wall_milliseconds since, wall_milliseconds now)
{
    if (since >= now)
        return milliseconds(0);
    const std::uint64_t spanMs = std::uint64_t(now) - std::uint64_t(since);
    return milliseconds(std::int64_t(std::min(spanMs, longestMs)));
}

} // namespace quincefall
