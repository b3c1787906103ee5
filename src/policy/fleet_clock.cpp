#include "policy/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace quincefall {
namespace {

constexpr milliseconds readingLifetime{60'000};
// Messages that were queued while this process didn't run make a clock look slow for a moment. One
// that was set back looks slow for longer.
constexpr milliseconds maxQueueingTime{3'000};
// Readings of the same clock differ by the time that messages take.
constexpr milliseconds usualDelay{20};

milliseconds sinceStart(instant now)
{
    return std::chrono::round<milliseconds>(now.time_since_epoch());
}

void applyLowerOffset(fleet_clock::reading &reading, milliseconds offset, instant now)
{
    if (!reading.lowerSince) {
        reading.lowerSince = now;
        reading.lowerOffset = offset;
        return;
    }
    reading.lowerOffset = std::max(reading.lowerOffset, offset);
    if (now - *reading.lowerSince < maxQueueingTime)
        return;
    reading.offset = reading.lowerOffset;
    reading.lowerSince.reset();
}

} // namespace

void recordWallClock(fleet_clock &clock, const host_address &host, wall_milliseconds wall,
                     instant now)
{
    const milliseconds offset = milliseconds(wall) - sinceStart(now);
    const auto [row, isNew] = clock.hosts.try_emplace(host);
    fleet_clock::reading &reading = row->second;
    reading.readAt = now;
    if (isNew || offset >= reading.offset) {
        reading.offset = offset;
        reading.lowerSince.reset();
    } else if (offset >= reading.offset - usualDelay) {
        reading.lowerSince.reset();
    } else {
        applyLowerOffset(reading, offset, now);
    }
}

void dropOldReadings(fleet_clock &clock, instant now)
{
    std::erase_if(clock.hosts,
                  [now](const auto &row) { return now - row.second.readAt > readingLifetime; });
}

std::optional<wall_milliseconds> trueTime(const fleet_clock &clock, instant now)
{
    if (clock.hosts.empty())
        return std::nullopt;
    std::vector<milliseconds> offsets;
    offsets.reserve(clock.hosts.size());
    for (const auto &[host, reading] : clock.hosts)
        offsets.push_back(reading.offset);
    const auto middle = offsets.begin() + std::ptrdiff_t(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return (sinceStart(now) + *middle).count();
}

} // namespace quincefall
