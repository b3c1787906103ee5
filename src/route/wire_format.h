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

/// The head of a caller's request, in this product's terms.
struct proxied_request
{
    std::string id; ///< Of one attempt of the caller.
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string path;
    std::string authority;
    std::string key;
    std::optional<milliseconds> deadline; ///< How long the caller waits.
    prompt_outline prompt;
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller has.
    std::vector<http_header> passedOn; ///< Header fields that go to the upstream untouched.
};

/// What the host adds to a request for one attempt at an upstream.
struct attempt_head
{
    std::string upstreamId; ///< Another upstream at the same address rejects the request.
    std::string organisation; ///< Empty when no key was needed.
    int urgency = 0; ///< 0 is first.
    milliseconds left{0}; ///< Time that the upstream may use.
    std::optional<std::uint64_t> resumeAfter;
};

/// The head of an upstream's answer.
struct answer_head
{
    int status = 0;
    std::string requestId; ///< Echo of the request's id; empty if missing.
    bool isStamped = false; ///< Carries the mark of an upstream that ran a request.
    bool wasNotRun = false; ///< The upstream says that it did not run the request.
    bool isOtherUpstream = false; ///< Another upstream has the address now.
    std::optional<upstream_load> load;
    std::optional<milliseconds> keepAlive; ///< Longest idle time of the connection.
    std::vector<http_header> passedOn; ///< Header fields that go to the caller untouched.
};

/// How requests and answers are spelled on the connections of one platform.
struct wire_format
{
    int lowestUrgency = 0; ///< Largest urgency that upstreams understand.
    std::function<result<proxied_request>(const http_exchange &exchange)> readRequest;
    /// Whole head of the message to the upstream, up to and with the empty line.
    std::function<std::string(const proxied_request &request, const attempt_head &attempt,
                              std::size_t bodySize)>
        writeAttempt;
    std::function<answer_head(int status, std::span<const http_header> fields)> readAnswer;
};

} // namespace quincefall
