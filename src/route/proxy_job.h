#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/attempt_budget.h"
#include "policy/attempt_choice.h"
#include "policy/crash_quarantine.h"
#include "policy/event_split.h"
#include "policy/placement.h"
#include "policy/route_choice.h"
#include "route/stream_directory.h"
#include "route/wire_format.h"
#include "serve/http_server.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quincefall {

class liveness_probe;
class upstream_call;

/// How one attempt at an upstream ended.
enum class attempt_end {
    answered, ///< The caller has its final answer.
    broken, ///< Not produced at present; a stream that was broken off ends as `failed`.
    notRun, ///< The upstream did not run the request.
    failed, ///< The upstream may have run it; no usable answer, or one broken off.
    callerGone,
};

/// One request of a caller, from its arrival to its answer.
struct proxy_job
{
    http_exchange &exchange;
    proxied_request request;
    std::shared_ptr<const desired_state> desired;
    route_choice choice; ///< Points into `desired`.
    instant arrived;
    instant deadline;
    instant cutAt = instant::max(); ///< When the host, which is stopping, breaks it off.
    bool isCut = false; ///< The host broke it off.
    instant desiredConfirmedAt = instant::min(); ///< Of `desired`, before the request came.
    std::weak_ptr<upstream_call> call{}; ///< Of the attempt that runs.
    std::vector<request_trait> traits{}; ///< That may crash upstreams.
    int urgency = 0;
    bool isGapSensitive = false;
    bool isCallerRetry = false; ///< Its short deadline shows an earlier refusal.

    std::set<std::string, std::less<>> tried{}; ///< Ids of upstreams not to choose again.
    int runs = 0; ///< Attempts that an upstream may have run.
    bool hasBegunToRun = false; ///< An upstream has begun to answer it, in any attempt.
    int sends = 0; ///< Attempts that may have reached an upstream.
    double bodyBytes = 0; ///< Of the request.
    double answerBytes = 0; ///< Received in the current attempt.
    std::optional<attempt_withdrawal> reservedAttempt{}; ///< Taken from the budget, not begun.
    bool mayCrashUpstreams = false; ///< One crashed, and this request may be the cause.
    bool isHeldBack = false; ///< A trait of the request became held while an attempt ran.
    bool hasStartedResponse = false; ///< The answer's head was sent to the caller.
    event_splitter events{}; ///< Position in a stream, kept across attempts.
    /// Digest of the last whole answer that only its connection ended; empty if there is none.
    std::optional<std::uint64_t> unframedAnswer{};
    microseconds longestWait{0}; ///< For a piece of the answer, of all attempts.
    /// nameHash() of the upstreams of the runs that ended behind the same last piece and sent it,
    /// in their order.
    std::vector<std::uint64_t> runEnds{};
    /// Ids of these upstreams, if one of them is to be asked again; else empty.
    std::set<std::string, std::less<>> confirming{};
    /// Of the last of these upstreams; null if its run was at another host.
    std::shared_ptr<liveness_probe> earlierProbe{};
    std::uint64_t stream = 0; ///< Digest of the attempt that brought the stream's first event.
    std::optional<std::string> streamVersion{}; ///< At which alone it goes on; empty until begun.
    std::optional<milliseconds> retryAfter{}; ///< Retry-After of a refusal.
    std::optional<error> lastFailure{};
    /// Why no attempt followed when one could be used.
    attempt_refusal noFurtherAttempt = attempt_refusal::none;
    /// One entry for each attempt: UPSTREAM:REASON:ESTIMATE:DURATION:END, where known followed by
    /// :conn=, :dropped=, :first=, :gap=, :after=, :events=, :repeated=, :partial=,
    /// :unframed:others=:proof=:life=:left=:unread=:request=:leaving, :load= and, where transfers
    /// are weighed, :zone=. docs/OPERATIONS.md explains them.
    std::string attemptLog{};

    /// The end of the time in which an attempt can bring an answer.
    instant end() const { return std::min(deadline, cutAt); }
    /// Also true on resumable routes.
    bool isRepeatable() const { return choice.route->isRepeatable || choice.route->isResumable; }
    /// Where the stream may have begun, by the route of now.
    stream_scope scope() const
    {
        return {request.authority, request.path, longestStream(*choice.route)};
    }
    /// Whether the caller takes up a stream of which it has events.
    bool isTakenUp() const
    {
        return choice.route->isResumable && request.resumeAfter.value_or(0) > 0;
    }
    /// Whether `stream` names this stream alone: a caller that takes a stream up may not say which.
    bool hasStreamName() const
    {
        return choice.route->isResumable && (!isTakenUp() || !request.resumedId.empty());
    }
    const std::string &service() const { return choice.service->name; }
    /// Empty where the route needs no key.
    std::string organisation() const
    {
        return choice.organisation ? choice.organisation->name : std::string();
    }
};

/// Name of an attempt's end in logs and metrics.
std::string_view toString(attempt_end end);

} // namespace quincefall
