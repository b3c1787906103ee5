#include "route/proxy_attempt.h"

#include "observe/log_setup.h"
#include "policy/usage_ledger.h"
#include "route/answer_end.h"
#include "route/running_attempt.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;

// Time without a first byte after which a repeatable request is tried at another upstream, as a
// multiple of its route's latency target. At twice the target the request is late for certain, and
// an upstream that is only slow rarely takes that long.
constexpr double firstByteTimeoutInTargets = 2.0;
constexpr milliseconds minFirstByteTimeout{400};
// A sound engine may send nothing for a second or so. To start its running work again elsewhere
// would do that work twice.
constexpr milliseconds minStreamTimeout{1'500};
// Time without a byte after the first event, as a multiple of the longest pause that the route
// allows. Replaces the timeout for the first byte once an event arrived, except in an attempt that
// starts after the caller's answer has begun.
constexpr double gapTimeoutInTargets = 2.0;
// A pause within an event counts for no more than this part of the time that the event may take.
constexpr int longestPauseDivisor = 2;
// Of an answer that is passed on only when it is complete, and of one event of a stream.
constexpr std::size_t maxWholeAnswerBytes = 4UL * 1024 * 1024;
constexpr std::size_t maxEventBytes = 256UL * 1024;

/// Reserves a further attempt for a request whose attempt brought an error.
bool reserveFurtherAttempt(attempt_context &context, proxy_job &job)
{
    further_attempt_request request;
    request.mayHaveRun = true;
    request.runs = job.runs + 1;
    return context.reserveFurtherAttempt(job, request, {}) == attempt_refusal::none;
}

/// Whether an attempt is given up whose upstream has brought nothing, or if it @p isTrickling
/// nothing whole, for @p limit. Reserves the attempt that follows it.
bool mayGiveUp(running_attempt &attempt, microseconds limit, bool isTrickling = false)
{
    proxy_job &job = attempt.job;
    const instant now = attempt.context.clock.now();
    const bool isLinkFault = attempt.isLinkFault();
    // Each draw uses up a part of the budget, also one that is lost.
    if (attempt.budgetDeniedAt && now - *attempt.budgetDeniedAt < limit && !isLinkFault)
        return false;
    further_attempt_request request;
    request.isRunning = true;
    request.mayHaveRun = true;
    request.runs = job.runs + 1;
    request.isLinkFault = isLinkFault;
    request.isTrickling = isTrickling;
    const auto refusal = attempt.context.reserveFurtherAttempt(job, request, limit);
    if (refusal == attempt_refusal::budget)
        attempt.budgetDeniedAt = now;
    return refusal == attempt_refusal::none;
}

/// Id of the event after which an upstream is to continue; empty for a stream from its start.
std::optional<std::uint64_t> resumePosition(const proxy_job &job)
{
    return job.events.lastId ? nextRunPosition(job.events) : job.request.resumeAfter;
}

/// Whether the attempt may bring events of a stream only if the upstream is still the process that
/// is listed. One that has started again may be of another software version.
bool needsListedProcess(const running_attempt &attempt)
{
    const proxy_job &job = attempt.job;
    const service_pool &pool = attempt.context.state.pools[attempt.entry.service];
    return job.choice.route->isResumable && (job.streamVersion || pool.versions.listed.size() > 1);
}

upstream_call::message makeMessage(const running_attempt &attempt)
{
    const proxy_job &job = attempt.job;
    attempt_head head;
    head.upstreamId = attempt.entry.id;
    head.organisation = job.organisation();
    head.urgency = job.urgency;
    head.timeLeft = std::chrono::floor<milliseconds>(job.end() - attempt.started);
    head.resumeAfter = resumePosition(job);
    upstream_call::message message;
    message.head = attempt.context.wire.writeAttempt(job.request, head, job.exchange.body().size());
    message.body = job.exchange.body();
    message.requestId = job.request.id;
    message.isNonRepeatable = !job.isRepeatable();
    if (needsListedProcess(attempt))
        message.processStart = attempt.entry.started;
    message.hasNoAnswerBody = job.request.method == "HEAD";
    return message;
}

std::vector<response_header> toAnswerHeaders(std::vector<http_header> &fields)
{
    std::vector<response_header> headers;
    headers.reserve(fields.size());
    for (auto &[name, value] : fields)
        headers.push_back({std::move(name), std::move(value)});
    return headers;
}

asio::awaitable<bool> beginResponse(running_attempt &attempt, answer_head &head)
{
    proxy_job &job = attempt.job;
    job.hasStartedResponse = true;
    const auto headers = toAnswerHeaders(head.forwardedFields);
    const bool isBegun = co_await job.exchange.beginStream(head.status, headers);
    co_return isBegun;
}

asio::awaitable<bool> writeEvents(running_attempt &attempt, answer_head &head,
                                  const std::string &events)
{
    proxy_job &job = attempt.job;
    if (!job.hasStartedResponse && !co_await beginResponse(attempt, head))
        co_return false;
    if (events.empty())
        co_return true;
    const bool isWritten = co_await job.exchange.write(events);
    co_return isWritten;
}

/// Ends an attempt whose answer ended in order, and may have ended too early.
attempt_end endUnproven(running_attempt &attempt)
{
    attempt.hasUnprovenEnd = true;
    attempt.context.numbers.add(metric::unprovenEnds, {{"service", attempt.entry.service}});
    attempt.job.lastFailure
        = error{result_code::streamIncomplete,
                "only its connection ended the answer of upstream " + attempt.entry.id};
    return attempt_end::failed;
}

/// Opens the probe and returns the head of the request, which names the time that is left then.
asio::awaitable<std::string> openProbe(running_attempt &attempt)
{
    attempt.probe = co_await attempt.context.probes->open(attempt.entry);
    co_return makeMessage(attempt).head;
}

microseconds gapTimeout(const proxy_job &job)
{
    const auto allowed = std::chrono::duration_cast<microseconds>(job.choice.route->gapTarget
                                                                  * gapTimeoutInTargets);
    return std::max<microseconds>(allowed, minStreamTimeout);
}

microseconds firstByteTimeout(const running_attempt &attempt)
{
    const milliseconds target = attempt.job.choice.route->targetLatency;
    if (attempt.chosen.reason == "probe")
        return probeTimeout(target);
    const auto allowed
        = std::chrono::duration_cast<microseconds>(target * firstByteTimeoutInTargets);
    const bool isStream = attempt.job.choice.route->isStream;
    return std::max<microseconds>(allowed, isStream ? minStreamTimeout : minFirstByteTimeout);
}

/// Why a stream that sends bytes but no whole event is given up; empty to go on. To be called with
/// each piece that completes no event.
std::optional<error> faultOfPartialEvent(running_attempt &attempt)
{
    const proxy_job &job = attempt.job;
    if (job.events.pending.size() > maxEventBytes)
        return error{result_code::upstreamFailed, "an event of the stream has no end"};
    const microseconds limit = std::max<microseconds>(gapTimeout(job), firstByteTimeout(attempt));
    recordPartialBytes(attempt.partial, limit / longestPauseDivisor, attempt.context.clock.now());
    if (!job.isRepeatable() || attempt.partial.arriving <= limit)
        return std::nullopt;
    if (mayGiveUp(attempt, limit, true))
        return error{result_code::upstreamTimeout, "the upstream sends bytes but no whole event"};
    attempt.partial.arriving = microseconds(0);
    return std::nullopt;
}

/// A whole answer in place of a stream counts as one long event.
asio::awaitable<result<std::string>> readWholeBody(running_attempt &attempt)
{
    const bool replacesStream = attempt.job.choice.route->isStream;
    std::string body;
    while (true) {
        const auto piece = co_await attempt.call->read();
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (piece->empty())
            co_return body;
        attempt.noteWait();
        attempt.job.answerBytes += double(piece->size());
        attempt.held->noteArrival(piece->size());
        body.append(*piece);
        if (body.size() > maxWholeAnswerBytes)
            co_return makeError(result_code::upstreamFailed, "the answer is too long");
        if (!attempt.held->resize(body.capacity()))
            co_return makeError(result_code::upstreamFailed, "the answer was dropped");
        if (replacesStream) {
            if (auto fault = faultOfPartialEvent(attempt))
                co_return tl::unexpected(std::move(*fault));
        }
    }
}

/// Passes on an answer that is not a stream, once all of it has arrived. One that nothing proves
/// whole is left to a further attempt. A request that may not run again has no other answer, so its
/// caller gets what there is, without the end.
asio::awaitable<attempt_end> relayWholeAnswer(running_attempt &attempt, answer_head &head)
{
    auto body = co_await readWholeBody(attempt);
    if (!body)
        co_return attempt.endWithFailure(body.error());
    const answer_proof proof = co_await proveWholeAnswer(attempt, head.status, *body);
    if (attempt.held->isEvicted())
        co_return attempt.endWithFailure({result_code::upstreamFailed, "the answer was dropped"});
    const bool isWhole = proof != answer_proof::none;
    if (!isWhole && attempt.job.isRepeatable())
        co_return endUnproven(attempt);
    attempt.isPassingOn = true;
    attempt.call->finish();
    attempt.job.exchange.releaseBody();
    if (!isWhole) {
        const bool isWritten = co_await writeEvents(attempt, head, *body);
        co_return isWritten ? endUnproven(attempt) : attempt_end::callerGone;
    }
    attempt.noteOutcome(head.status < 500, false);
    if (head.status < 500)
        noteAnswered(attempt.context.guard, attempt.job);
    const auto headers = toAnswerHeaders(head.forwardedFields);
    co_await attempt.job.exchange.respond(head.status, headers, std::move(*body));
    co_return attempt_end::answered;
}

/// Binds the stream to the upstream's software version before the caller gets its first event.
void bindStream(running_attempt &attempt)
{
    proxy_job &job = attempt.job;
    if (!job.choice.route->isResumable || job.streamVersion)
        return;
    job.streamVersion = attempt.entry.softwareVersion;
    if (attempt.context.streams)
        attempt.context.streams->recordBegin(job.stream, attempt.entry, job.scope());
}

/// Ends an attempt of which nothing more can be part of the stream.
attempt_end refuseSeam(running_attempt &attempt, std::string_view fault)
{
    const proxy_job &job = attempt.job;
    logWarning("stream seam refused",
               {{"request", job.request.id},
                {"upstream", attempt.entry.id},
                {"after", attempt.resumedAfter ? std::to_string(*attempt.resumedAfter) : "none"},
                {"last", job.events.lastId ? std::to_string(*job.events.lastId) : "none"},
                {"cause", std::string(fault)}});
    attempt.context.numbers.add(metric::seamsRefused, {{"service", attempt.entry.service}});
    return attempt.endWithFailure(
        {result_code::streamMismatch,
         "upstream " + attempt.entry.id
             + " did not send the rest of the stream: " + std::string(fault)});
}

void noteStreamBegin(running_attempt &attempt)
{
    if (attempt.call->endsWithConnection())
        return;
    attempt.probe.reset();
    recordFraming(attempt.context.state.pools[attempt.entry.service].framing, true,
                  attempt.context.clock.now());
}

/// Lets a later run, also of another host, confirm the end of this one. A run that did not send the
/// last event, may have been killed behind it or did not get the whole request has no end that
/// could be confirmed.
void noteRunEnd(running_attempt &attempt)
{
    proxy_job &job = attempt.job;
    if (!job.events.hasEndedHere)
        job.runEnds.clear();
    noteUnprovenEnd(job.events);
    if (!job.events.lastId || job.events.runId != job.events.lastId
        || attempt.sign != life_sign::answered
        || attempt.call->sendProgress() != send_progress::received)
        return;
    job.earlierProbe = attempt.probe;
    if (job.runEnds.size() < maxRunEnds)
        job.runEnds.push_back(nameHash(attempt.entry.id));
    if (attempt.context.streams && job.hasStreamName()) {
        const std::uint64_t before = nextRunPosition(job.events).value_or(0);
        attempt.context.streams->recordRunEnd(job.stream, attempt.entry,
                                              {*job.events.lastId, before, job.runEnds,
                                               std::chrono::ceil<milliseconds>(job.longestWait)});
    }
}

/// Passes on each event once it is complete.
asio::awaitable<attempt_end> relayStream(running_attempt &attempt, answer_head &head)
{
    proxy_job &job = attempt.job;
    noteStreamBegin(attempt);
    if (!job.isRepeatable() && attempt.call->hasSentRequest())
        job.exchange.releaseBody();
    while (true) {
        const auto piece = co_await attempt.call->read();
        if (!piece)
            co_return attempt.endWithFailure(piece.error());
        if (piece->empty())
            break;
        job.answerBytes += double(piece->size());
        attempt.held->noteArrival(piece->size());
        const std::string events = extractEvents(job.events, *piece);
        if (!attempt.held->resize(job.events.pending.capacity()))
            co_return attempt.endWithFailure(
                {result_code::upstreamFailed, "the event was dropped"});
        if (events.empty() && !job.events.fault.empty())
            co_return refuseSeam(attempt, job.events.fault);
        if (events.empty()) {
            if (const auto fault = faultOfPartialEvent(attempt))
                co_return attempt.endWithFailure(*fault);
            continue;
        }
        const instant readAt = attempt.context.clock.now();
        attempt.noteActivity();
        attempt.noteEvents();
        if (!job.hasStartedResponse && job.isRepeatable())
            attempt.call->setInactivityTimeout(gapTimeout(job), [&attempt, &job] {
                return attempt.isUnresponsive(gapTimeout(job))
                    && mayGiveUp(attempt, gapTimeout(job));
            });
        bindStream(attempt);
        if (!co_await writeEvents(attempt, head, events))
            co_return attempt_end::callerGone;
        attempt.longestUnread
            = std::max(attempt.longestUnread, attempt.context.clock.now() - readAt);
        if (!job.events.fault.empty())
            co_return refuseSeam(attempt, job.events.fault);
    }
    const bool isUnframed = attempt.call->endsWithConnection();
    const bool isResumable = job.choice.route->isResumable;
    if (const auto fault = faultOfEnd(job.events, isUnframed || isResumable); !fault.empty())
        co_return refuseSeam(attempt, fault);
    if (co_await proveStream(attempt) == answer_proof::none) {
        noteRunEnd(attempt);
        co_return endUnproven(attempt);
    }
    attempt.noteOutcome(true, false);
    noteAnswered(attempt.context.guard, job);
    recordSteps(attempt.context.state.pools[attempt.entry.service].eventSteps, job.events);
    if (!job.isGapSensitive && job.events.firstId)
        recordStream(attempt.context.state.pools[attempt.entry.service],
                     attempt.context.clock.now() - attempt.firstByteAt);
    const std::string rest = std::move(job.events.pending);
    if (!co_await writeEvents(attempt, head, rest))
        co_return attempt_end::callerGone;
    const bool isEnded = co_await job.exchange.endStream();
    if (isEnded && attempt.context.streams)
        attempt.context.streams->recordEnd(job.stream);
    co_return isEnded ? attempt_end::answered : attempt_end::callerGone;
}

asio::awaitable<attempt_end> handleRejection(running_attempt &attempt, const answer_head &head)
{
    if (routed_upstream *target = attempt.upstream(); target && head.wasNotRun)
        recordRejected(target->rejections, attempt.context.clock.now());
    // The body is read to its end so that the connection can be reused.
    const bool isDropped = co_await attempt.call->dropRest();
    attempt.job.lastFailure = error{result_code::overloaded,
                                    "upstream " + attempt.entry.id + " answered "
                                        + std::to_string(head.status) + " without running it"};
    if (head.isMisdirected || !isDropped)
        attempt.noteOutcome(false, true);
    co_return attempt_end::notRun;
}

answer_notice noticeOf(const answer_head &head, instant now)
{
    answer_notice said{head.isLeaving, head.pause.value_or(microseconds(0)), {}, {}};
    // Other hosts have to hear of a rejection before they send more.
    if (head.wasNotRun && head.maxRejections)
        said.pause = std::max<microseconds>(said.pause, pauseAfterRejection);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (head.limit || (isSuccess && !head.hasUnreadableLimit))
        said.limit = limit_statement{head.limit, now};
    if (head.maxRejections || (isSuccess && !head.hasUnreadableMaxRejections))
        said.maxRejections = limit_statement{head.maxRejections, now};
    return said;
}

/// Reports that the request has begun to run, once however many attempts it takes.
void noteRun(running_attempt &attempt)
{
    if (!std::exchange(attempt.job.hasBegunToRun, true) && attempt.context.runListener)
        attempt.context.runListener(attempt.job.organisation());
}

/// Reports a request whose answer was lost as begun to run, if it has been there for long enough.
void noteLostAnswer(running_attempt &attempt)
{
    const microseconds waited = attempt.context.clock.now() - attempt.started;
    if (hasLikelyBegun(waited, attempt.chosen.estimatedFirstByteMs))
        noteRun(attempt);
}

asio::awaitable<attempt_end> handleAnswer(running_attempt &attempt, answer_head &head)
{
    proxy_job &job = attempt.job;
    attempt.load = head.load;
    if (head.load) {
        if (routed_upstream *target = attempt.upstream())
            recordLoad(*target, *head.load, attempt.context.clock.now());
    }
    // Another upstream that answers at the address speaks of itself.
    const bool isNews = !head.isMisdirected
        && applyAnswerNotice(attempt.context.state, attempt.entry,
                             noticeOf(head, attempt.context.clock.now()),
                             attempt.context.clock.now());
    if (isNews && attempt.context.noticeListener)
        attempt.context.noticeListener();
    if (head.wasNotRun || head.isMisdirected)
        co_return co_await handleRejection(attempt, head);
    if (head.hasRunStamp)
        noteRun(attempt);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !head.hasRunStamp)
        co_return attempt.endWithFailure(
            {result_code::upstreamFailed, "the answer has no response stamp"});
    if (head.status >= 500 && reserveFurtherAttempt(attempt.context, job)) {
        const bool isDropped = co_await attempt.call->dropRest();
        attempt.noteOutcome(false, !isDropped);
        job.lastFailure = error{result_code::upstreamFailed,
                                "the upstream answered " + std::to_string(head.status)};
        co_return attempt_end::failed;
    }
    // Passed on, the status would promise the caller that the request was not run.
    if (head.isRefusal && !job.choice.route->isRepeatable)
        co_return attempt.endWithFailure({result_code::upstreamFailed,
                                          "the upstream answered " + std::to_string(head.status)
                                              + " without saying that it did not run the request"});
    // A caller that takes a stream up gets an upstream's error as it is.
    if (job.hasStartedResponse || (isSuccess && job.events.continues)) {
        const stream_head said{head.status, head.hasRunStamp, head.isEventStream, head.isEncoded};
        if (const auto fault = faultOfContinuation(job.events, said); !fault.empty())
            co_return refuseSeam(attempt, fault);
    }
    if (isSuccess && job.choice.route->isStream && head.isEventStream)
        co_return co_await relayStream(attempt, head);
    co_return co_await relayWholeAnswer(attempt, head);
}

asio::awaitable<attempt_end> sendAndRelay(running_attempt &attempt)
{
    proxy_job &job = attempt.job;
    if (job.isRepeatable())
        attempt.call->setInactivityTimeout(firstByteTimeout(attempt), [&attempt, &job] {
            return attempt.isUnresponsive(firstByteTimeout(attempt))
                && mayGiveUp(attempt, firstByteTimeout(attempt));
        });
    auto message = makeMessage(attempt);
    if (needsProbe(attempt))
        message.makeHead = [&attempt] { return openProbe(attempt); };
    auto head
        = co_await attempt.call->begin(std::move(message), attempt.context.wire, job.deadline);
    if (!head && head.error().code == result_code::streamVersionGone) {
        job.lastFailure = head.error();
        co_return attempt_end::notRun;
    }
    if (!head)
        co_return attempt.endWithFailure(head.error());
    attempt.noteActivity();
    attempt.noteFirstByte();
    noteAnnouncedEnd(attempt);
    co_return co_await handleAnswer(attempt, *head);
}

std::string formatMilliseconds(microseconds time)
{
    return std::to_string(std::lround(toMilliseconds(time))) + "ms";
}

/// Appends which events the attempt brought, so that the seams of a stream can be read from a log.
void logEvents(std::string &log, const running_attempt &attempt)
{
    const event_splitter &events = attempt.job.events;
    if (attempt.resumedAfter)
        log += ":after=" + std::to_string(*attempt.resumedAfter);
    if (events.firstId)
        log += ":events=" + std::to_string(*events.firstId) + "-" + std::to_string(*events.lastId);
    if (events.repeated > 0)
        log += ":repeated=" + std::to_string(events.repeated);
    if (!events.pending.empty())
        log += ":partial=" + std::to_string(events.pending.size());
    if (attempt.hasFirstByte && attempt.call->endsWithConnection()) {
        const auto &framing = attempt.context.state.pools[attempt.entry.service].framing;
        const auto others = framingKind(framing, attempt.context.clock.now());
        log += ":unframed:others=" + std::string(toString(others));
        log += attempt.call->announcesEnd() ? ":announced" : "";
        log += ":proof=" + std::string(toString(attempt.proof));
        log += ":life=" + std::string(toString(attempt.sign));
        log += ":left=" + formatMilliseconds(attempt.job.end() - attempt.context.clock.now());
        log += ":unread="
            + formatMilliseconds(std::max(attempt.longestUnread, attempt.call->longestUnread()));
        log += ":request=" + std::string(toString(attempt.call->sendProgress()));
        if (const routed_upstream *target = attempt.upstream(); !target || target->listed.isLeaving)
            log += ":leaving";
    }
    if (attempt.hasUnprovenEnd)
        log += ":unproven";
}

void logAttempt(const running_attempt &attempt, attempt_end end)
{
    const microseconds took = attempt.context.clock.now() - attempt.started;
    std::string &log = attempt.job.attemptLog;
    log += log.empty() ? "" : ",";
    log += attempt.entry.id + ":" + std::string(attempt.chosen.reason) + ":"
        + std::to_string(std::lround(attempt.chosen.estimatedFirstByteMs))
        + "ms:" + formatMilliseconds(took) + ":" + std::string(toString(end));
    if (const std::uint64_t number = attempt.call->connectionNumber(); number > 0)
        log += ":conn=" + std::to_string(number) + (attempt.call->isReused() ? "/reused" : "/new");
    if (const int others = attempt.call->otherAnswers(); others > 0)
        log += ":dropped=" + std::to_string(others);
    if (attempt.hasFirstByte)
        log += ":first=" + formatMilliseconds(attempt.firstByteAt - attempt.started);
    if (attempt.longestGap.count() > 0)
        log += ":gap=" + formatMilliseconds(attempt.longestGap);
    logEvents(log, attempt);
    if (const auto &load = attempt.load)
        log += ":load=" + std::to_string(load->running) + "/" + std::to_string(load->waiting);
    if (!attempt.chosen.zoneReason.empty())
        log += ":zone=" + std::string(toString(attempt.chosen.distance)) + "/"
            + std::string(attempt.chosen.zoneReason);
}

/// Makes an answer that another one has displaced end soon, which releases its memory.
void evict(running_attempt &attempt)
{
    logWarning("answer dropped for its size",
               {{"request", attempt.job.request.id},
                {"upstream", attempt.entry.id},
                {"bytes", std::to_string(std::lround(attempt.job.answerBytes))},
                {"passing_on", attempt.isPassingOn ? "yes" : "no"}});
    if (attempt.isPassingOn)
        attempt.job.exchange.abort(); // Its caller reads too slowly.
    else
        attempt.call->cancel();
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
    job.answerBytes = 0;
    job.reservedAttempt.reset();
    attempt.resumedAfter = resumePosition(job);
    attempt.waitingSince = attempt.started;
    service_pool &pool = context.state.pools[attempt.entry.service];
    if (job.isTakenUp() && !job.events.lastId)
        job.events.lastId = job.request.resumeAfter;
    beginAttempt(job.events, largestStep(pool.eventSteps));
    recordStart(pool, *chosen.upstream, job.request.prompt, attempt.work(), attempt.started);
    attempt.call = upstream_call::makeUpstreamCall(context.paths, attempt.entry);
    job.exchange.setDisconnectListener([call = attempt.call] { call->cancel(); });
    job.call = attempt.call;
    attempt.held = byte_budget::addShare(context.answerBytes, [&attempt] { evict(attempt); });
    addAttempt(context.guard, job, attempt.call);
    attempt_end end = co_await sendAndRelay(attempt);
    job.exchange.setDisconnectListener(nullptr);
    attempt.call->finish();
    const bool isUnanswered = removeAttempt(context.guard, job);
    const bool hasLostConnection = attempt.call->hasLostConnection() || attempt.hasUnprovenEnd;
    if (end == attempt_end::failed && hasLostConnection) {
        noteLostAnswer(attempt);
        co_await noteLostConnection(context.guard, job, attempt.entry,
                                    {attempt.started, attempt.hasJustBegun(), !isUnanswered,
                                     attempt.call->hasLostConnection()});
    }
    routed_upstream *target = attempt.upstream();
    if (target && !attempt.hasFirstByte)
        recordFirstByte(pool, *target, attempt.work(), std::nullopt, context.clock.now());
    attempt.noteWorkEnd();
    const bool isUnsent = job.lastFailure
        && (job.lastFailure->code == result_code::upstreamUnreachable
            || job.lastFailure->code == result_code::streamVersionGone);
    job.sends += end == attempt_end::notRun && isUnsent ? 0 : 1;
    job.runs += end == attempt_end::notRun ? 0 : 1;
    if (attempt.hasFirstByte && attempt.call->endsWithConnection())
        context.numbers.add(metric::unframedAnswers, {{"service", attempt.entry.service}});
    logAttempt(attempt, end);
    job.events.pending = std::string(); // Its memory is counted for the attempt only.
    co_return end;
}

} // namespace quincefall
