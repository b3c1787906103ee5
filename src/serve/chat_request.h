#pragma once

#include "kernel/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quincefall {

/// What the router reads out of a chat completion request.
struct chat_request
{
    std::string model;
    bool isStreamed = false;
    std::uint64_t prefixHash = 0; ///< XXH64 of the prompt's first 256 bytes.
    std::uint32_t promptTokens = 0; ///< Estimate, at four bytes a token.
    std::uint64_t digest = 0; ///< XXH64 of engineBody; tells requests with the same id apart.
    std::string engineBody; ///< The request for the engine, which always streams.
};

/// Reads the body of POST /v1/chat/completions. Fails with malformedRequest.
result<chat_request> parseChatRequest(std::string_view body);

/// True for the ids that callers may give their requests: 1..64 letters, digits, '.', '_', '-'.
bool isRequestId(std::string_view text);

} // namespace quincefall
