#pragma once

#include "clients/http_client.h"
#include "policy/prompt.h"
#include "policy/routed_upstream.h"
#include "serve/http_server.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// The head of a caller's request, independent of the platform's field names.
struct proxied_request
{
    std::string id; ///< Identifies one attempt of the caller.
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string path;
    std::string authority;
    std::string key;
    std::optional<milliseconds> deadline; ///< Time that the caller still waits.
    prompt_outline prompt;
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has.
    bool hasUnreadablePosition = false; ///< The caller names an event that can't be read.
    std::string resumedId; ///< Id of the attempt that brought the stream's first event.
    std::vector<http_header> forwardedFields; ///< Header fields for the upstream, unchanged.
};

/// Fields that the host adds to a request for one attempt at an upstream.
struct attempt_head
{
    std::string upstreamId; ///< Another upstream at the same address rejects the request.
    std::string organisation; ///< Empty when no key was needed.
    int urgency = 0; ///< 0 is the most urgent.
    milliseconds timeLeft{0}; ///< Time that the upstream may use.
    std::optional<std::uint64_t> resumeAfter;
};

/// The head of an upstream's answer.
struct answer_head
{
    int status = 0;
    std::string requestId; ///< Echo of the request's id; empty if missing.
    bool hasRunStamp = false; ///< Has the signature that an upstream adds when it ran a request.
    bool isEventStream = false; ///< By its content type.
    bool isEncoded = false; ///< Has a content coding other than `identity`.
    bool wasNotRun = false; ///< The upstream reports that it did not run the request.
    bool isRefusal = false; ///< Callers take the status for a promise that the request was not run.
    bool isMisdirected = false; ///< Another upstream now uses the address.
    bool isLeaving = false; ///< The upstream says that it takes no new work.
    std::optional<microseconds> pause; ///< Time for which it wants no requests; above 0.
    std::optional<double> limit; ///< Requests a second that it takes from all hosts together.
    bool hasUnreadableLimit = false;
    std::optional<double> maxRejections; ///< A second, of all hosts, above which it fails.
    bool hasUnreadableMaxRejections = false;
    std::optional<upstream_load> load;
    std::optional<milliseconds> keepAlive; ///< Idle time limit of the connection.
    std::vector<http_header> forwardedFields; ///< Header fields for the caller, unchanged.
};

/// Encodes and decodes the HTTP heads of one platform.
struct wire_format
{
    int lowestUrgency = 0; ///< Largest urgency value that upstreams accept.
    std::function<result<proxied_request>(const http_exchange &exchange)> readRequest;
    /// The whole head of the request to the upstream, including the empty line at its end.
    std::function<std::string(const proxied_request &request, const attempt_head &attempt,
                              std::size_t bodySize)>
        writeAttempt;
    /// A call that an upstream answers at any time and that runs nothing.
    std::function<std::string(const upstream_entry &upstream)> writeLivenessCall;
    /// When the process started that answered such a call with @p body, Unix time in milliseconds;
    /// 0 if it does not say.
    std::function<std::int64_t(std::string_view body)> readProcessStart;
    std::function<answer_head(int status, std::span<const http_header> fields)> readAnswer;
};

} // namespace quincefall
