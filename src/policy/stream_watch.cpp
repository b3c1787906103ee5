#include "policy/stream_watch.h"

namespace quincefall {
namespace {

constexpr milliseconds minInterval{400};
constexpr int intervalsBeforeMove = 2; // Consecutive slow ones.

} // namespace

double intervalRate(const stream_watch &watch, std::uint32_t tokens, instant now)
{
    const double elapsed = toMilliseconds(now - watch.checkedAt) / 1000;
    return elapsed <= 0 ? 0 : (tokens - watch.tokensAtCheck) / elapsed;
}

stream_action watchStream(stream_watch &watch, std::uint32_t tokens, microseconds tokenGapTarget,
                          instant now)
{
    if (now - watch.checkedAt < minInterval)
        return stream_action::none;
    const double targetRate = 1000 / toMilliseconds(tokenGapTarget);
    const bool slow = intervalRate(watch, tokens, now) < targetRate;
    watch.slowIntervals = slow ? watch.slowIntervals + 1 : 0;
    watch.checkedAt = now;
    watch.tokensAtCheck = tokens;
    if (!slow)
        return stream_action::none;
    return watch.slowIntervals >= intervalsBeforeMove ? stream_action::move
                                                      : stream_action::reportSlow;
}

} // namespace quincefall
