#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"
#include "ledger/config_state.h"
#include "serve/caller_directory.h"
#include "serve/chat_request.h"
#include "serve/engine_attempt.h"
#include "serve/permit_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// All that one request needs until its answer is complete.
struct chat_job
{
    std::string requestId; ///< Unique in the fleet.
    std::string callerId; ///< As the caller knows it.
    caller_identity caller;
    chat_request request;
    std::string pool;
    instant arrival;
    std::vector<std::string> excluded;
    int attempts = 0;
    std::optional<microseconds> timeToFirstToken; ///< From the arrival on.
    bool wasRefused = false; ///< By the queue, for good.
    bool mayHaveRun = false; ///< An engine may have executed a part of it.
    bool hasOwnId = false; ///< The caller gave the id and may come back with it.
    std::optional<std::uint32_t> returnsAfter; ///< Last token that a returning caller has.
};

/// Headers of a chat request that matter to its job; empty when missing.
struct chat_headers
{
    std::string_view requestId;
    std::string_view lastEventId;
};

/// Makes the job of a request with the given body. Fails with malformedRequest or notFound. Without
/// a request id of the caller's own, setCallerId must follow.
result<chat_job> makeChatJob(const config_state &config, caller_identity caller,
                             std::string_view body, const chat_headers &headers);

/// Sets the id that the caller knows and, with its organisation, the one unique in the fleet.
void setCallerId(chat_job &job, std::string callerId);

/// The question for the queue's owner, continuing after @p delivered tokens.
permit_query toPermitQuery(const chat_job &job, std::uint32_t delivered);

/// The next try of @p job on the engine at @p address.
engine_call toEngineCall(const chat_job &job, const host_address &address);

} // namespace quincefall
