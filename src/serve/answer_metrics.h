#pragma once

#include "kernel/clock.h"
#include "ledger/resource.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quincefall {

class metrics;

/// What became of one chat request, as its entry host saw it.
struct answer_summary
{
    enum class outcome {
        complete,
        failed, ///< A final error after an upstream was tried.
        refused, ///< The queue gave a final refusal.
        abandoned, ///< The caller went away.
    };

    outcome result = outcome::failed;
    std::string serviceClass;
    service_class policy;
    std::uint32_t tokens = 0; ///< Delivered to the caller.
    std::uint64_t droppedTokens = 0; ///< Received twice, or of another request.
    std::optional<microseconds> timeToFirstToken; ///< From the arrival on.
    microseconds total{0}; ///< From the arrival to the end.
};

/// Wire spelling of an outcome.
const char *toString(answer_summary::outcome result);

/// Mean time between tokens after the first.
microseconds meanTokenGap(const answer_summary &facts);

/// True when the first token came within its class's target.
bool meetsFirstTokenTarget(const answer_summary &facts);

/// True when the mean time between tokens is within its class's target.
bool meetsTokenGapTarget(const answer_summary &facts);

/// Counts the answer: attainment, goodput and wasted tokens.
void recordAnswerMetrics(metrics &meters, const answer_summary &facts);

} // namespace quincefall
