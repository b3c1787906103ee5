#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace quincefall {

/// Progress of one running answer, as seen by its entry host.
struct stream_watch
{
    instant checkedAt; ///< Start of the current interval.
    std::uint32_t tokensAtCheck = 0; ///< Tokens received at `checkedAt`.
    int slowIntervals = 0; ///< Consecutive ones below the target rate.
};

/// What an entry host should do about a running answer.
enum class stream_action {
    none,
    reportSlow, ///< Report the rate of the last interval to the queue's owner.
    move, ///< Report it, and resume on another upstream if the retry budget allows it.
};

/// Compares the rate of an answer with @p tokens so far to the token-gap target of its class. To be
/// called about every half second from the time when its first token was due.
stream_action watchStream(stream_watch &watch, std::uint32_t tokens, microseconds tokenGapTarget,
                          instant now);

/// Tokens per second from the start of the current interval of @p watch to @p now.
double intervalRate(const stream_watch &watch, std::uint32_t tokens, instant now);

} // namespace quincefall
