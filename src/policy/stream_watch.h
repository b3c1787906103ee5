#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace quincefall {

/// Progress of one running answer as its entry host sees it.
struct stream_watch
{
    instant checkedAt; ///< Start of the interval that is being watched.
    std::uint32_t tokensAtCheck = 0;
    int slowIntervals = 0; ///< In a row.
};

/// What an entry host does about a running answer.
enum class stream_action {
    none,
    reportSlow, ///< Tell the queue's owner the rate of the last interval.
    move, ///< Tell it, and resume on another upstream if the retry budget allows it.
};

/// Judges an answer with @p tokens so far by the token gap its class asks for. To be called about
/// every half second once its first token was due.
stream_action watchStream(stream_watch &watch, std::uint32_t tokens, microseconds tokenGapTarget,
                          instant now);

/// Tokens per second in the interval that @p watch began, up to @p now.
double intervalRate(const stream_watch &watch, std::uint32_t tokens, instant now);

} // namespace quincefall
