#pragma once

#include "kernel/clock.h"

#include <optional>

namespace quincefall {

/// An event of a stream of which a part has arrived.
struct partial_event
{
    std::optional<instant> lastBytesAt{}; ///< Empty until its first byte.
    microseconds arriving{0}; ///< Time from byte to byte; see recordPartialBytes().
};

/// Records bytes that leave the event incomplete. A pause before them counts for @p longestPause at
/// most: an upstream that wakes after a silence has time to complete the event, whereas one that
/// sends a byte now and then uses up any limit.
void recordPartialBytes(partial_event &event, microseconds longestPause, instant now);

} // namespace quincefall
