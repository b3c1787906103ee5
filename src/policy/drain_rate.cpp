#include "policy/drain_rate.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr std::uint32_t minStarts = 4;

std::int64_t secondOf(instant now)
{
    return std::chrono::floor<seconds>(now.time_since_epoch()).count();
}

std::size_t bucketOf(std::int64_t second)
{
    return static_cast<std::size_t>(second) % drain_rate::bucketCount;
}

void advanceWindow(drain_rate &rate, std::int64_t second)
{
    const auto span = static_cast<std::int64_t>(drain_rate::bucketCount);
    const std::int64_t from = std::max(rate.currentSecond + 1, second - span + 1);
    for (std::int64_t cleared = from; cleared <= second; ++cleared) {
        for (auto &[tier, window] : rate.tiers)
            window.starts[bucketOf(cleared)] = 0;
    }
    rate.currentSecond = std::max(rate.currentSecond, second);
}

} // namespace

void recordStart(drain_rate &rate, int tier, instant now)
{
    const std::int64_t second = secondOf(now);
    advanceWindow(rate, second);
    if (rate.firstSecond < 0)
        rate.firstSecond = second;
    ++rate.tiers[tier].starts[bucketOf(second)];
}

double drainRateForTier(drain_rate &rate, int tier, instant now)
{
    const std::int64_t second = secondOf(now);
    advanceWindow(rate, second);
    std::uint32_t total = 0;
    std::uint32_t available = 0;
    for (const auto &[startTier, window] : rate.tiers) {
        for (const std::uint32_t starts : window.starts) {
            total += starts;
            available += startTier >= tier ? starts : 0;
        }
    }
    if (total < minStarts)
        return 0;
    const double observedSeconds
        = toMilliseconds(now.time_since_epoch()) / 1000 - static_cast<double>(rate.firstSecond);
    const double windowSeconds = toMilliseconds(now.time_since_epoch()) / 1000
        - static_cast<double>(second) + static_cast<double>(drain_rate::bucketCount - 1);
    return available / std::max(1.0, std::min(observedSeconds, windowSeconds));
}

} // namespace quincefall
