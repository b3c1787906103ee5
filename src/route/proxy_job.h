#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/event_split.h"
#include "policy/placement.h"
#include "policy/route_choice.h"
#include "route/wire_format.h"
#include "serve/http_server.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace quincefall {

/// How one attempt at an upstream ended.
enum class attempt_end {
    answered, ///< The caller has its final answer.
    broken, ///< The answer had begun and was broken off.
    notRun, ///< The upstream did not run the request.
    failed, ///< The upstream may have run it; no answer was begun, or it may be resumed.
    callerGone,
};

/// One request on its way to an answer.
struct proxy_job
{
    http_exchange &exchange;
    proxied_request request;
    std::shared_ptr<const desired_state> desired;
    route_choice choice; ///< Points into `desired`.
    instant arrived;
    instant deadline;
    int urgency = 0;
    bool isGapSensitive = false;
    bool isReturning = false; ///< Its caller was turned away before.

    std::set<std::string, std::less<>> tried{}; ///< Upstreams not to be chosen again, by id.
    int runs = 0; ///< Attempts that may have run.
    int sends = 0; ///< Attempts that may have arrived at an upstream.
    bool hasAttemptInHand = false; ///< A further attempt was taken from the budget already.
    bool hasBegun = false; ///< The answer's head went to the caller.
    event_splitter events{}; ///< Of a stream, over all attempts.
    std::optional<milliseconds> returnAfter{}; ///< Told to a caller that is turned away.
    std::optional<error> lastFailure{};
    std::string attemptLog{}; ///< One word an attempt: upstream, reason, estimate, time, end.

    bool isRepeatable() const { return choice.route->isRepeatable || choice.route->isResumable; }
    const std::string &service() const { return choice.service->name; }
    /// Empty where the route needs no key.
    std::string organisation() const
    {
        return choice.organisation ? choice.organisation->name : std::string();
    }
};

/// Text of an attempt's end for logs and metrics.
std::string_view toString(attempt_end end);

} // namespace quincefall
