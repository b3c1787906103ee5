#include "route/running_attempt.h"

#include "observe/log_setup.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

// An upstream that answers other requests but not this one is given up after this many timeouts.
constexpr int busyTimeoutFactor = 4;
// An attempt that the request's deadline ends sooner than this does not count against its upstream.
constexpr milliseconds minAttemptTimeForFault{700};
// An upstream that crashes under a prompt does so soon after the first byte of the answer.
constexpr milliseconds crashTimeAfterFirstByte{500};

} // namespace

void running_attempt::noteActivity()
{
    noteBytes(context.guard, entry, started);
    context.paths->noteContact(entry, call->isRelayed());
}

bool running_attempt::isUnresponsive(microseconds limit) const
{
    if (isLinkFault())
        return true;
    const routed_upstream *target = upstream();
    const instant now = context.clock.now();
    const bool answersOtherRequests
        = target && target->lastByteAt > started && now - target->lastByteAt < limit;
    return !answersOtherRequests || now - started > limit * busyTimeoutFactor;
}

void running_attempt::noteFirstByte()
{
    if (hasFirstByte)
        return;
    hasFirstByte = true;
    const instant now = context.clock.now();
    if (routed_upstream *target = upstream())
        recordFirstByte(context.state.pools[entry.service], *target, work(), now - started, now);
    firstByteAt = now;
}

void running_attempt::noteWait()
{
    const instant now = context.clock.now();
    job.longestWait = std::max(job.longestWait, now - waitingSince);
    waitingSince = now;
}

void running_attempt::noteEvents()
{
    const instant now = context.clock.now();
    noteWait();
    const microseconds gap = lastEventsAt == instant{} ? microseconds(0) : now - lastEventsAt;
    if (routed_upstream *target = upstream(); target && lastEventsAt == instant{})
        recordSuccess(target->health);
    longestGap = std::max(longestGap, gap);
    const auto &engine = job.choice.service->engine;
    if (engine && gap > slowGapThreshold(*engine)) {
        if (routed_upstream *target = upstream())
            recordSlowGap(*target, now);
    }
    lastEventsAt = now;
    partial = {};
    if (!job.events.pending.empty())
        partial.lastBytesAt = now;
    if (now - firstByteAt >= crashTimeAfterFirstByte)
        noteGoingOn(context.guard, job);
}

attempt_work running_attempt::work() const
{
    return {chosen.unreadTokens, chosen.estimatedFirstByteMs, chosen.delayMs, job.urgency,
            job.isGapSensitive};
}

void running_attempt::noteWorkEnd()
{
    if (!std::exchange(hasWorkEnded, true))
        recordEnd(context.state.pools[entry.service], upstream(), work());
}

void running_attempt::noteOutcome(bool succeeded, bool isFault)
{
    routed_upstream *target = upstream();
    if (!target)
        return;
    recordOutcome(*target, succeeded, context.clock.now());
    if (isFault)
        recordFailure(target->health, context.clock.now());
}

void running_attempt::noteDisconnect(result_code cause)
{
    routed_upstream *target = upstream();
    const bool isConnectionFault
        = cause == result_code::upstreamTimeout || cause == result_code::upstreamUnreachable;
    if (!target || !isConnectionFault)
        return;
    if (call->isRelayed())
        context.paths->noteRelayFault(entry);
    if (target->isRelayed)
        return;
    context.paths->closeIdle(entry.address);
    if (!target->isDisconnected)
        logWarning("upstream cut off",
                   {{"upstream", entry.id},
                    {"request", job.request.id},
                    {"cause", job.lastFailure->detail},
                    {"failures", std::to_string(target->health.failures)}});
    recordDisconnect(*target);
}

bool running_attempt::isLinkFault() const
{
    const routed_upstream *target = upstream();
    return target && target->isRelayed && call->isConnected() && !call->isRelayed();
}

bool running_attempt::isExcusedSilence(result_code cause) const
{
    const routed_upstream *target = upstream();
    if (cause != result_code::upstreamTimeout || !target)
        return false;
    return call->isHostLate()
        || detectSharedSilence(context.silences, context.state.pools[entry.service], *target,
                               context.clock.now());
}

attempt_end running_attempt::endWithFailure(const error &failure)
{
    job.lastFailure = failure;
    if (held->isEvicted()) {
        job.lastFailure = error{result_code::upstreamFailed,
                                "the host holds too many bytes of answers, most of them of "
                                "upstream "
                                    + entry.id};
        return attempt_end::failed;
    }
    if (job.isHeldBack && failure.code == result_code::cancelled) {
        job.lastFailure = error{result_code::requestHeldBack,
                                "the request became held back while it was at " + entry.id};
        return attempt_end::failed;
    }
    if (job.isCut && failure.code == result_code::cancelled) {
        job.lastFailure = error{result_code::upstreamTimeout,
                                "the host stopped while the request was at " + entry.id};
        return attempt_end::failed;
    }
    if (job.exchange.isCallerDisconnected() || failure.code == result_code::cancelled)
        return attempt_end::callerGone;
    const bool isDeadline = context.clock.now() >= job.deadline;
    const bool countsAgainstUpstream
        = !isDeadline || context.clock.now() - started > minAttemptTimeForFault;
    if (countsAgainstUpstream && !isLinkFault() && !isExcusedSilence(failure.code)) {
        noteOutcome(false, true);
        noteDisconnect(failure.code);
    }
    return failure.code == result_code::upstreamUnreachable ? attempt_end::notRun
                                                            : attempt_end::failed;
}

} // namespace quincefall
