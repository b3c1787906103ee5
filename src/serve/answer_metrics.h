#pragma once

#include "kernel/clock.h"
#include "ledger/resource.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quincefall {

class metrics;

/// What became of one chat request, as its entry host saw it.
struct answer_facts
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
    std::optional<microseconds> firstToken; ///< From the arrival on.
    microseconds total{0}; ///< From the arrival to the end.
};

/// Wire spelling of an outcome.
const char *toString(answer_facts::outcome result);

/// Mean time between tokens after the first.
microseconds tokenGap(const answer_facts &facts);

/// True when the first token came within its class's target.
bool meetsFirstToken(const answer_facts &facts);

/// True when the mean time between tokens is within its class's target.
bool meetsTokenGap(const answer_facts &facts);

/// Counts the answer: attainment, goodput and wasted tokens.
void countAnswer(metrics &meters, const answer_facts &facts);

} // namespace quincefall
