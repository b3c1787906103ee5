#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Whether an upstream may take work, judged by the attempts it ran for us.
struct upstream_health
{
    enum class condition {
        good,
        failing, ///< Attempts fail; it gets single probes after growing pauses.
        slow, ///< Makes tokens at less than half of the usual rate; it gets single probes.
    };

    condition state = condition::good;
    int failures = 0; ///< In a row; those of one moment count once.
    instant lastFailure = instant::min();
    instant probeFrom = instant::min(); ///< When the next probe may start.
    double tokenRate = 0; ///< Tokens per second of a stream, smoothed; 0 until known.
};

/// Usual rate of a stream in the pool, in tokens per second.
struct typical_rate
{
    double tokensPerSecond = 0;
    double samples = 0;
};

/// Records a failed attempt.
void recordFailure(upstream_health &health, instant now);

/// Records a complete answer, which ends a series of failures.
void recordSuccess(upstream_health &health);

/// Records the rate of one stream, from a complete answer or from a slow one while it runs.
void recordRate(upstream_health &health, typical_rate &usual, double tokensPerSecond, instant now);

/// The upstream's rate as a share of the usual rate, 1 at most.
double relativeRate(const upstream_health &health, const typical_rate &usual);

/// Puts off the next probe, since one has started or ended.
void delayProbe(upstream_health &health, instant now);

} // namespace quincefall
