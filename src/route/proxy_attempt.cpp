#include "route/proxy_attempt.h"

#include "observe/log_setup.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

namespace asio = boost::asio;

// Silence after which a repeatable request is tried elsewhere, in latency targets of its route.
// Twice the target is late for certain; an upstream that is only slow rarely takes that long.
constexpr double silentTargets = 2.0;
constexpr milliseconds shortestSilence{400};
// The same between events, in pauses that the route allows.
constexpr double silentGaps = 2.0;
constexpr milliseconds shortestGapSilence{800};
// An upstream that answers others but not this request is given up after this many limits.
constexpr int busyPatience = 4;
// An attempt that ended in silence sooner than this says nothing about its upstream.
constexpr milliseconds tellingSilence{700};

/// One attempt while it runs. The upstream is looked up by id each time, since it may leave.
struct running_attempt
{
    attempt_context &context;
    proxy_job &job;
    upstream_entry entry;
    placement chosen;
    std::shared_ptr<upstream_call> call;
    instant started;
    bool hasFirstByte = false;
    instant firstByte{};
    instant lastEvents{}; ///< When the last whole events came.
    microseconds longestGap{0}; ///< Between events.
    std::optional<upstream_load> load{}; ///< As the answer told it.

    routed_upstream *upstream() const { return findUpstream(context.state, entry); }

    void noteHeard()
    {
        if (routed_upstream *target = upstream())
            target->lastHeard = context.clock.now();
    }

    /// Whether the upstream has been silent towards all requests of this host. One that answers
    /// others is only busy: to ask another one then adds load where there is too much already.
    bool isSilent(microseconds limit) const
    {
        const routed_upstream *target = upstream();
        const instant now = context.clock.now();
        const bool isHeard
            = target && target->lastHeard > started && now - target->lastHeard < limit;
        return !isHeard || now - started > limit * busyPatience;
    }

    void noteFirstByte()
    {
        if (hasFirstByte)
            return;
        hasFirstByte = true;
        const instant now = context.clock.now();
        if (routed_upstream *target = upstream())
            recordFirstByte(context.state.pools[entry.service], *target, work(), now - started,
                            now);
        firstByte = now;
    }

    void noteEvents()
    {
        const instant now = context.clock.now();
        const microseconds gap = lastEvents == instant{} ? microseconds(0) : now - lastEvents;
        if (routed_upstream *target = upstream(); target && lastEvents == instant{})
            recordSuccess(target->health);
        longestGap = std::max(longestGap, gap);
        const auto &engine = job.choice.service->engine;
        if (engine && gap > longPause(*engine)) {
            if (routed_upstream *target = upstream())
                recordLongPause(*target, now);
        }
        lastEvents = now;
    }

    attempt_work work() const
    {
        return {chosen.unreadTokens, chosen.estimatedMs, chosen.delayMs, job.urgency,
                job.isGapSensitive};
    }

    void noteOutcome(bool succeeded, bool isFault)
    {
        routed_upstream *target = upstream();
        if (!target)
            return;
        recordOutcome(*target, succeeded, context.clock.now());
        if (isFault)
            recordFailure(target->health, context.clock.now());
    }

    /// A connection that went silent or did not open says that others may not work either.
    void noteCutOff(result_code cause)
    {
        routed_upstream *target = upstream();
        const bool isSilence
            = cause == result_code::upstreamTimeout || cause == result_code::upstreamUnreachable;
        if (!target || !isSilence)
            return;
        context.connections->closeIdle(entry.address);
        if (!target->isCutOff)
            logWarning("upstream cut off",
                       {{"upstream", entry.id},
                        {"request", job.request.id},
                        {"cause", job.lastFailure->detail},
                        {"failures", std::to_string(target->health.failures)}});
        recordCutOff(*target);
    }

    /// Takes a failed step into the books and tells what it means for the request.
    attempt_end fail(const error &failure)
    {
        job.lastFailure = failure;
        if (job.exchange.isGone() || failure.code == result_code::cancelled)
            return attempt_end::callerGone;
        const bool isDeadline = context.clock.now() >= job.deadline;
        const bool isTelling = !isDeadline || context.clock.now() - started > tellingSilence;
        if (isTelling) {
            noteOutcome(false, true);
            noteCutOff(failure.code);
        }
        return failure.code == result_code::upstreamUnreachable ? attempt_end::notRun
                                                                : attempt_end::failed;
    }
};

/// Whether the request may run once more after the attempt that runs now.
bool mayRunAgain(const proxy_job &job)
{
    return job.isRepeatable() && job.runs + 1 < job.choice.route->maxAttempts;
}

/// Takes one more attempt from the budget if the request may run again.
bool reserveAnother(attempt_context &context, proxy_job &job)
{
    if (!mayRunAgain(job) || !context.takeFurther(job))
        return false;
    job.hasAttemptInHand = true;
    return true;
}

upstream_call::message makeMessage(const running_attempt &attempt)
{
    const proxy_job &job = attempt.job;
    attempt_head head;
    head.upstreamId = attempt.entry.id;
    head.organisation = job.organisation();
    head.urgency = job.urgency;
    head.left = std::chrono::floor<milliseconds>(job.deadline - attempt.started);
    head.resumeAfter = job.events.lastId ? job.events.lastId : job.request.resumeAfter;
    upstream_call::message message;
    message.head = attempt.context.wire.writeAttempt(job.request, head, job.exchange.body().size());
    message.body = job.exchange.body();
    message.requestId = job.request.id;
    message.isOnce = !job.isRepeatable();
    message.hasNoAnswerBody = job.request.method == "HEAD";
    return message;
}

std::vector<answer_header> toAnswerHeaders(std::vector<http_header> &fields)
{
    std::vector<answer_header> headers;
    headers.reserve(fields.size());
    for (auto &[name, value] : fields)
        headers.push_back({std::move(name), std::move(value)});
    return headers;
}

asio::awaitable<result<std::string>> readWhole(upstream_call &call)
{
    std::string body;
    while (true) {
        const auto piece = co_await call.read();
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (piece->empty())
            co_return body;
        body.append(*piece);
    }
}

/// Passes on an answer that is not a stream once it is whole.
asio::awaitable<attempt_end> relayWhole(running_attempt &attempt, answer_head &head)
{
    auto body = co_await readWhole(*attempt.call);
    if (!body)
        co_return attempt.fail(body.error());
    attempt.noteOutcome(head.status < 500, false);
    const auto headers = toAnswerHeaders(head.passedOn);
    co_await attempt.job.exchange.respond(head.status, headers, std::move(*body));
    co_return attempt_end::answered;
}

asio::awaitable<bool> writeEvents(proxy_job &job, answer_head &head, const std::string &events)
{
    if (!job.hasBegun) {
        job.hasBegun = true;
        const auto headers = toAnswerHeaders(head.passedOn);
        if (!co_await job.exchange.beginStream(head.status, headers))
            co_return false;
    }
    if (events.empty())
        co_return true;
    const bool isWritten = co_await job.exchange.write(events);
    co_return isWritten;
}

microseconds gapSilence(const proxy_job &job)
{
    const auto allowed
        = std::chrono::duration_cast<microseconds>(job.choice.route->gapTarget * silentGaps);
    return std::max<microseconds>(allowed, shortestGapSilence);
}

/// Passes on whole events as they come.
asio::awaitable<attempt_end> relayStream(running_attempt &attempt, answer_head &head)
{
    proxy_job &job = attempt.job;
    job.events.pending.clear();
    while (true) {
        const auto piece = co_await attempt.call->read();
        if (!piece)
            co_return attempt.fail(piece.error());
        if (piece->empty())
            break;
        attempt.noteHeard();
        const std::string events = takeEvents(job.events, *piece);
        if (events.empty())
            continue;
        attempt.noteEvents();
        if (!job.hasBegun && job.isRepeatable())
            attempt.call->watchSilence(gapSilence(job), [&attempt, &job] {
                return attempt.isSilent(gapSilence(job)) && reserveAnother(attempt.context, job);
            });
        if (!co_await writeEvents(job, head, events))
            co_return attempt_end::callerGone;
    }
    attempt.noteOutcome(true, false);
    if (!job.isGapSensitive)
        recordStream(attempt.context.state.pools[attempt.entry.service],
                     attempt.context.clock.now() - attempt.firstByte);
    const std::string rest = std::move(job.events.pending);
    if (!co_await writeEvents(job, head, rest))
        co_return attempt_end::callerGone;
    const bool isEnded = co_await job.exchange.endStream();
    co_return isEnded ? attempt_end::answered : attempt_end::callerGone;
}

asio::awaitable<attempt_end> rejectAttempt(running_attempt &attempt, const answer_head &head)
{
    // Read to its end, so that the connection can be used again.
    const auto dropped = co_await readWhole(*attempt.call);
    attempt.job.lastFailure = error{result_code::overloaded,
                                    "upstream " + attempt.entry.id + " answered "
                                        + std::to_string(head.status) + " without running it"};
    if (head.isOtherUpstream || !dropped)
        attempt.noteOutcome(false, true);
    co_return attempt_end::notRun;
}

asio::awaitable<attempt_end> takeAnswer(running_attempt &attempt, answer_head &head)
{
    proxy_job &job = attempt.job;
    attempt.load = head.load;
    if (head.load) {
        if (routed_upstream *target = attempt.upstream())
            recordLoad(*target, *head.load, attempt.context.clock.now());
    }
    if (head.wasNotRun || head.isOtherUpstream)
        co_return co_await rejectAttempt(attempt, head);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !head.isStamped)
        co_return attempt.fail({result_code::upstreamFailed, "answer without the upstream's mark"});
    if (head.status >= 500 && reserveAnother(attempt.context, job)) {
        const auto dropped = co_await readWhole(*attempt.call);
        attempt.noteOutcome(false, !dropped);
        job.lastFailure
            = error{result_code::upstreamFailed, "status " + std::to_string(head.status)};
        co_return attempt_end::failed;
    }
    if (job.hasBegun && !isSuccess)
        co_return attempt.fail({result_code::upstreamFailed, "the stream could not be resumed"});
    if (isSuccess && job.choice.route->isStream)
        co_return co_await relayStream(attempt, head);
    co_return co_await relayWhole(attempt, head);
}

microseconds firstByteSilence(const running_attempt &attempt)
{
    const milliseconds target = attempt.job.choice.route->targetLatency;
    if (attempt.chosen.reason == "probe")
        return probeSilence(target);
    const auto allowed = std::chrono::duration_cast<microseconds>(target * silentTargets);
    return std::max<microseconds>(allowed, shortestSilence);
}

asio::awaitable<attempt_end> sendAndRelay(running_attempt &attempt)
{
    proxy_job &job = attempt.job;
    if (job.isRepeatable())
        attempt.call->watchSilence(firstByteSilence(attempt), [&attempt, &job] {
            return attempt.isSilent(firstByteSilence(attempt))
                && reserveAnother(attempt.context, job);
        });
    auto message = makeMessage(attempt);
    auto head
        = co_await attempt.call->begin(std::move(message), attempt.context.wire, job.deadline);
    if (!head)
        co_return attempt.fail(head.error());
    attempt.noteHeard();
    attempt.noteFirstByte();
    co_return co_await takeAnswer(attempt, *head);
}

std::string milliText(microseconds time)
{
    return std::to_string(std::lround(toMilliseconds(time))) + "ms";
}

void logAttempt(const running_attempt &attempt, attempt_end end)
{
    const microseconds took = attempt.context.clock.now() - attempt.started;
    std::string &log = attempt.job.attemptLog;
    log += log.empty() ? "" : ",";
    log += attempt.entry.id + ":" + std::string(attempt.chosen.reason) + ":"
        + std::to_string(std::lround(attempt.chosen.estimatedMs)) + "ms:" + milliText(took) + ":"
        + std::string(toString(end));
    if (attempt.hasFirstByte)
        log += ":first=" + milliText(attempt.firstByte - attempt.started);
    if (attempt.longestGap.count() > 0)
        log += ":gap=" + milliText(attempt.longestGap);
    if (const auto &load = attempt.load)
        log += ":load=" + std::to_string(load->running) + "/" + std::to_string(load->waiting);
}

} // namespace

std::string_view toString(attempt_end end)
{
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::broken:
        return "broken";
    case attempt_end::notRun:
        return "not-run";
    case attempt_end::failed:
        return "failed";
    case attempt_end::callerGone:
        break;
    }
    return "caller-gone";
}

asio::awaitable<attempt_end> runAttempt(attempt_context &context, proxy_job &job, placement chosen)
{
    running_attempt attempt{context, job,     chosen.upstream->listed,
                            chosen,  nullptr, context.clock.now()};
    service_pool &pool = context.state.pools[attempt.entry.service];
    recordStart(pool, *chosen.upstream, job.request.prompt, attempt.work(), attempt.started);
    attempt.call = upstream_call::makeUpstreamCall(context.connections, attempt.entry.address);
    job.exchange.setGoneListener([call = attempt.call] { call->cancel(); });
    attempt_end end = co_await sendAndRelay(attempt);
    job.exchange.setGoneListener(nullptr);
    attempt.call->finish();
    routed_upstream *target = attempt.upstream();
    if (target && !attempt.hasFirstByte)
        recordFirstByte(pool, *target, attempt.work(), std::nullopt, context.clock.now());
    recordEnd(pool, target, attempt.work());
    const bool isUnreachable
        = job.lastFailure && job.lastFailure->code == result_code::upstreamUnreachable;
    job.sends += end == attempt_end::notRun && isUnreachable ? 0 : 1;
    job.runs += end == attempt_end::notRun ? 0 : 1;
    logAttempt(attempt, end);
    co_return end;
}

} // namespace quincefall
