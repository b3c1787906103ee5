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

/// Parameters of one attempt of a chat request on an engine.
struct engine_call
{
    host_address address;
    std::string requestId;
    std::string attemptId; ///< Unique per attempt.
    std::string body;
    int priority = 1;
    milliseconds firstTokenTimeout{5000}; ///< Max time without data before the first token.
    milliseconds tokenGapTimeout{2000}; ///< Max time without data after the first token.
    /// Called with the number of this attempt's tokens after each received piece, from the first
    /// token until the finish event. True ends the attempt, so that the answer can be resumed on
    /// another engine.
    std::function<bool(std::uint32_t tokens)> shouldMove;
};

/// Result of an attempt. Without a failure the answer is complete or was abandoned.
struct engine_outcome
{
    attempt_usage usage;
    std::optional<error> failure;
    bool isRequestRejected = false; ///< Rejected with a 4xx other than 404 and 429; not retried.
    bool isEngineOverloaded = false; ///< Rejected with 429 or 503; the engine ran nothing.
    bool isMoved = false; ///< Ended because shouldMove returned true.
};

/// Runs @p call and appends the engine's tokens to @p answer, resuming after those that the answer
/// already holds.
boost::asio::awaitable<engine_outcome> runEngineAttempt(http_client &client, clock_source clock,
                                                        engine_call call,
                                                        std::shared_ptr<answer_stream> answer);

} // namespace quincefall
