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

/// What a request says of its prompt; without parts nothing can be shared.
struct prompt_outline
{
    std::vector<prompt_part> parts; ///< In order; the last belongs to the request or its session.
    double promptTokens = 0;
    double maxAnswerTokens = 0; ///< Upper bound.
};

} // namespace quincefall
