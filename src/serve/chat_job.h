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

/// State of one chat request from its arrival to its end.
struct chat_job
{
    std::string requestId; ///< Organisation and caller request id; unique in the fleet.
    std::string callerRequestId; ///< X-Request-Id of the caller, or a generated id.
    caller_identity caller;
    chat_request request;
    std::string pool;
    instant arrival;
    std::vector<std::string> excluded; ///< Upstreams that must not be tried again.
    int attempts = 0;
    std::optional<microseconds> timeToFirstToken; ///< Since the arrival.
    bool wasRefusedByQueue = false; ///< Before any attempt.
    bool mayHaveRun = false; ///< An engine may have run the request, at least in part.
    bool isIdFromCaller = false; ///< The caller chose the id and may reconnect with it.
    /// Number of the last token that a reconnecting caller has received (Last-Event-ID).
    std::optional<std::uint32_t> resumeAfterToken;
};

/// Headers that makeChatJob reads; empty when missing.
struct chat_headers
{
    std::string_view requestId;
    std::string_view lastEventId;
};

/// Makes the job of a request with the given body. When the headers have no request id, the
/// function's caller must set one with setCallerRequestId. Fails with malformedRequest, or with
/// notFound for an unknown model.
result<chat_job> makeChatJob(const config_state &config, caller_identity caller,
                             std::string_view body, const chat_headers &headers);

/// Sets callerRequestId, and requestId as the organisation's name followed by it.
void setCallerRequestId(chat_job &job, std::string callerRequestId);

/// The permit query of an attempt that continues after token @p delivered.
permit_query toPermitQuery(const chat_job &job, std::uint32_t delivered);

/// The next attempt of @p job, on the engine at @p address.
engine_call toEngineCall(const chat_job &job, const host_address &address);

} // namespace quincefall
