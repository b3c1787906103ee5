#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

/// One part of a prompt. Requests with the same leading parts share them in an engine's cache.
struct prompt_part
{
    std::uint64_t id = 0;
    double tokens = 0;
};

/// A prompt's size and parts as its request declares them. Without parts nothing can be shared.
struct prompt_outline
{
    std::vector<prompt_part>
        parts; ///< In order; the last is specific to the request or its session.
    double promptTokens = 0;
    double maxAnswerTokens = 0; ///< Upper bound.
};

} // namespace quincefall
