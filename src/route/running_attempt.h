#pragma once

#include "kernel/byte_budget.h"
#include "policy/answer_proof.h"
#include "policy/partial_event.h"
#include "route/liveness_probe.h"
#include "route/proxy_attempt.h"

#include <memory>
#include <optional>

namespace quincefall {

/// One attempt while it runs. The upstream is looked up by id each time, since it may be removed
/// meanwhile.
struct running_attempt
{
    attempt_context &context;
    proxy_job &job;
    upstream_entry entry;
    placement chosen;
    std::shared_ptr<upstream_call> call;
    instant started;
    bool hasFirstByte = false;
    instant firstByteAt{};
    instant lastEventsAt{}; ///< When the last whole events arrived.
    instant waitingSince{}; ///< For the next piece of the answer.
    std::optional<instant> budgetDeniedAt{}; ///< When the budget allowed no other attempt.
    partial_event partial{}; ///< What the answer has brought since.
    microseconds longestGap{0}; ///< Longest pause between events.
    microseconds longestUnread{0}; ///< For which the caller kept the answer from being read.
    std::optional<upstream_load> load{}; ///< As reported with the answer.
    std::optional<std::uint64_t> resumedAfter{}; ///< Last event of the attempts before.
    std::shared_ptr<liveness_probe> probe{}; ///< Null if none is needed or none was opened.
    answer_proof proof = answer_proof::none; ///< Of the answer, once it has ended.
    std::unique_ptr<byte_share> held{}; ///< What of the answer is not passed on yet.
    bool isPassingOn = false; ///< The whole answer is being sent to the caller.
    life_sign sign = life_sign::none; ///< Of the upstream, after such an end.
    bool hasWorkEnded = false; ///< See noteWorkEnd().
    bool hasUnprovenEnd = false; ///< The answer ended in order, but nothing proves it whole.

    routed_upstream *upstream() const { return findUpstream(context.state, entry); }

    void noteActivity();

    /// Whether the upstream has sent nothing to any request of this host for @p limit or since the
    /// attempt's start. One that answers other requests is only busy, and a further attempt would
    /// add load to an overloaded service, so this request waits until busyTimeoutFactor times
    /// @p limit after the attempt's start. The last byte may also be this request's own. An
    /// upstream whose link was found cut may answer only requests that go through another host.
    bool isUnresponsive(microseconds limit) const;
    void noteFirstByte();

    /// Ends a wait for a piece of the answer or for its end.
    void noteWait();
    void noteEvents();

    /// Whether the answer has begun, but not gone on since.
    bool hasJustBegun() const { return hasFirstByte && longestGap.count() == 0; }

    attempt_work work() const;

    /// Records, once, that the upstream no longer works on the request.
    void noteWorkEnd();
    void noteOutcome(bool succeeded, bool isFault);

    /// Marks the upstream as disconnected if the attempt timed out or could not connect. Also
    /// closes the idle connections to it, since they may not work either.
    void noteDisconnect(result_code cause);

    /// Whether the attempt went over a direct link that was since found cut.
    bool isLinkFault() const;

    /// Whether the attempt timed out because this host was late, or while other upstreams were
    /// silent as well.
    bool isExcusedSilence(result_code cause) const;

    /// Records @p failure for the request and, if it counts against the upstream, in the upstream's
    /// health. Returns how the attempt ended.
    attempt_end endWithFailure(const error &failure);
};

} // namespace quincefall
