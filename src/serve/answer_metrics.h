#pragma once

#include "kernel/clock.h"
#include "ledger/resource.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quincefall {

class metrics;

/// Result and timing of one chat request, measured on its entry host.
struct answer_summary
{
    enum class outcome {
        complete,
        failed, ///< Ended with an error after at least one attempt on an upstream.
        refused, ///< The queue refused the request; no upstream was tried.
        abandoned, ///< The caller disconnected.
    };

    outcome result = outcome::failed;
    std::string serviceClass;
    service_class policy;
    std::uint32_t tokens = 0; ///< Delivered to the caller.
    std::uint64_t droppedTokens = 0; ///< Duplicates, and tokens of another request.
    std::optional<microseconds> timeToFirstToken; ///< Since the request's arrival.
    microseconds total{0}; ///< From the arrival to the end.
};

/// Name of the outcome in metric labels and time-line events.
const char *toString(answer_summary::outcome result);

/// Mean time between tokens after the first; 0 with fewer than two tokens.
microseconds meanTokenGap(const answer_summary &summary);

/// True when the time to the first token is within the target of the service class.
bool meetsFirstTokenTarget(const answer_summary &summary);

/// True when the mean time between tokens is within the target of the service class.
bool meetsTokenGapTarget(const answer_summary &summary);

/// Updates the metrics for outcome, latency, attained targets, goodput and wasted tokens.
void recordAnswerMetrics(metrics &meters, const answer_summary &summary);

} // namespace quincefall
