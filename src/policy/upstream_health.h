#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Health of an upstream, derived from the attempts that were sent to it.
struct upstream_health
{
    enum class condition {
        good,
        failing, ///< Attempts fail; it gets single probes with exponential backoff.
        /// Generates tokens at less than half of the typical rate; it gets single probes. For gaps
        /// between events see routed_upstream::slowUntil.
        slow,
    };

    condition state = condition::good;
    int failures = 0; ///< In a row; those within a short time count once.
    instant lastFailure = instant::min();
    instant probeFrom = instant::min(); ///< When the next probe may start.
    double tokenRate = 0; ///< Tokens per second of a stream, smoothed; 0 until known.
};

/// Typical token rate of a stream in the pool.
struct typical_rate
{
    double tokensPerSecond = 0;
    double samples = 0;
};

/// Records a failed attempt.
void recordFailure(upstream_health &health, instant now);

/// Records that the upstream answered, which ends a series of failures.
void recordSuccess(upstream_health &health);

/// Records the token rate of one stream, at its end or, if it is slow, while it runs.
void recordRate(upstream_health &health, typical_rate &typical, double tokensPerSecond,
                instant now);

/// The upstream's token rate relative to the typical rate; at most 1, and 1 while either is
/// unknown.
double relativeRate(const upstream_health &health, const typical_rate &typical);

/// Postpones the next probe. To be called when a probe starts or ends.
void delayProbe(upstream_health &health, instant now);

} // namespace quincefall
