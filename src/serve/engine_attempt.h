#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "serve/answer_stream.h"
#include "serve/permit_client.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace quincefall {

class http_client;

/// One try of a chat request on one engine.
struct engine_call
{
    host_address address;
    std::string requestId;
    std::string attemptId; ///< Different for each try.
    std::string body;
    int priority = 1;
    milliseconds firstTokenLimit{5000}; ///< Longest silence before the first token.
    milliseconds tokenLimit{2000}; ///< Longest silence between tokens.
    /// Called with the tokens of this try as they come, from the first on; true ends the try, so
    /// that the answer goes on elsewhere.
    std::function<bool(std::uint32_t tokens)> shouldMove;
};

/// How a try ended. Without an error the answer is complete or nobody wants it any more.
struct engine_outcome
{
    attempt_usage usage;
    std::optional<error> failure;
    bool isFinal = false; ///< The engine refused the request itself; another try is useless.
    bool wasRefused = false; ///< The engine was too busy and did not run it.
    bool isMoved = false; ///< Ended by shouldMove.
};

/// Runs @p call and adds the engine's tokens to @p answer, continuing after those it has.
boost::asio::awaitable<engine_outcome> runEngineAttempt(http_client &client, clock_source clock,
                                                        engine_call call,
                                                        std::shared_ptr<answer_stream> answer);

} // namespace quincefall
