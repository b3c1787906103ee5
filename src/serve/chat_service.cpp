#include "serve/chat_service.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "operate/config_service.h"
#include "policy/retry_budget.h"
#include "policy/stream_watch.h"
#include "serve/answer_metrics.h"
#include "serve/answer_relay.h"
#include "serve/chat_job.h"
#include "serve/chat_sender.h"
#include "serve/engine_attempt.h"
#include "serve/http_server.h"
#include "serve/respond.h"

#include <unordered_map>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr int maxAttempts = 4;
constexpr milliseconds failedRetryAfter{1000};
/// Time in which a caller that chose its request id can reconnect. A request continues without a
/// reader for this time, and a complete answer is kept for it.
constexpr milliseconds reconnectGrace{2000};

} // namespace

struct chat_service::state : std::enable_shared_from_this<chat_service::state>
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;
    std::unordered_map<std::string, std::shared_ptr<answer_stream>> active; ///< By request id.
    std::unique_ptr<answer_relay> relay;
    retry_budget retries;
    std::uint64_t nextId = 1;

    std::string makeRequestId()
    {
        return needs.hostName + "-" + std::to_string(needs.incarnation) + "-"
            + std::to_string(nextId++);
    }

    /// Monitors the token rate of an attempt. Reports a slow engine to the queue's owner; returns
    /// true, which ends the attempt, when the engine stays slow and the retry budget allows it.
    std::function<bool(std::uint32_t)> watchProgress(const chat_job &job, const permit &held)
    {
        const auto watch = std::make_shared<stream_watch>();
        const milliseconds gap = job.caller.policy.tokenGapTarget;
        return [self = shared_from_this(), watch, gap, held](std::uint32_t tokens) {
            const instant now = self->needs.clock.now();
            if (watch->checkedAt == instant()) {
                *watch = {now, tokens, 0};
                return false;
            }
            const double rate = intervalRate(*watch, tokens, now);
            const stream_action action = watchStream(*watch, tokens, gap, now);
            if (action == stream_action::none)
                return false;
            self->needs.permits.reportSlow(held, rate);
            return action == stream_action::move && tryWithdrawRetry(self->retries);
        };
    }

    void fail(const chat_job &job, answer_stream &answer, problem failure)
    {
        failure.run = job.mayHaveRun ? run_state::unknown : run_state::notRun;
        if (answer.assembly.delivered > 0)
            failure.run = run_state::partial;
        answer.failure = std::move(failure);
        answer.changed.notifyAll();
    }

    /// Updates the metrics after an attempt that began at @p started on an engine in @p region and
    /// added @p bytes to the answer.
    void recordAttemptMetrics(chat_job &job, const engine_outcome &outcome,
                              const std::string &region, std::size_t bytes, instant started)
    {
        if (!job.timeToFirstToken && outcome.usage.tokens > 0)
            job.timeToFirstToken = started + outcome.usage.timeToFirstToken - job.arrival;
        if (region != needs.region && bytes > 0)
            needs.meters.add(metric::crossRegionBytes, {}, double(bytes));
        if (outcome.failure)
            needs.meters.add(metric::retries, {{"cause", resultInfo(outcome.failure->code).name}});
    }

    static answer_summary::outcome outcomeOf(const chat_job &job, const answer_stream &answer)
    {
        if (answer.assembly.isComplete)
            return answer_summary::outcome::complete;
        if (*answer.isAbandoned)
            return answer_summary::outcome::abandoned;
        return job.wasRefusedByQueue ? answer_summary::outcome::refused
                                     : answer_summary::outcome::failed;
    }

    /// Updates the metrics for a finished job and records its times with the class's targets.
    void recordEnd(const chat_job &job, const answer_stream &answer)
    {
        answer_summary summary;
        summary.result = outcomeOf(job, answer);
        summary.serviceClass = job.caller.serviceClass;
        summary.policy = job.caller.policy;
        summary.tokens = answer.assembly.delivered;
        summary.droppedTokens = answer.assembly.dropped;
        summary.timeToFirstToken = job.timeToFirstToken;
        summary.total = needs.clock.now() - job.arrival;
        recordAnswerMetrics(needs.meters, summary);
        const auto inMilliseconds
            = [](microseconds span) { return std::to_string(span.count() / 1000); };
        needs.events.record(
            "request.done", job.requestId, job.pool,
            {{"outcome", toString(summary.result)},
             {"class", summary.serviceClass},
             {"attempts", std::to_string(job.attempts)},
             {"tokens", std::to_string(summary.tokens)},
             {"first_token_ms",
              summary.timeToFirstToken ? inMilliseconds(*summary.timeToFirstToken) : "none"},
             {"first_token_target_ms", std::to_string(summary.policy.firstTokenTarget.count())},
             {"token_gap_ms", inMilliseconds(meanTokenGap(summary))},
             {"token_gap_target_ms", std::to_string(summary.policy.tokenGapTarget.count())},
             {"total_ms", inMilliseconds(summary.total)}});
    }

    void recordAttempt(const chat_job &job, const permit &held, const engine_outcome &outcome)
    {
        needs.events.record(
            outcome.failure ? "attempt.failed" : "attempt.done", job.requestId, held.upstream,
            {{"attempt", std::to_string(job.attempts)},
             {"tokens", std::to_string(outcome.usage.tokens)},
             {"first_token_ms", std::to_string(outcome.usage.timeToFirstToken.count() / 1000)},
             {"reason", outcome.failure ? outcome.failure->detail : ""}});
    }

    /// Acquires a permit and runs one attempt. Returns true when the job has ended.
    asio::awaitable<bool> runAttempt(chat_job &job, std::shared_ptr<answer_stream> answer)
    {
        auto query = toPermitQuery(job, answer->assembly.delivered);
        const auto held = co_await needs.permits.acquire(std::move(query), answer->isAbandoned);
        if (!held) {
            job.wasRefusedByQueue = job.attempts == 0;
            fail(job, *answer, held.error());
            co_return true;
        }
        const upstream *target = findUpstream(needs.config.state(), job.pool, held->upstream);
        if (target == nullptr) {
            attempt_usage unused;
            unused.stopped = true;
            needs.permits.release(*held, unused);
            job.excluded.push_back(held->upstream);
            co_return false;
        }
        ++job.attempts;
        auto call = toEngineCall(job, target->address);
        if (job.attempts < maxAttempts)
            call.shouldMove = watchProgress(job, *held);
        const std::string region = target->region;
        const std::size_t bytesBefore = answer->assembly.text.size();
        const instant started = needs.clock.now();
        const auto outcome
            = co_await runEngineAttempt(needs.client, needs.clock, std::move(call), answer);
        needs.permits.release(*held, outcome.usage);
        recordAttemptMetrics(job, outcome, region, answer->assembly.text.size() - bytesBefore,
                             started);
        recordAttempt(job, *held, outcome);
        if (answer->assembly.isComplete)
            depositRetry(retries);
        if (!outcome.failure || answer->assembly.isComplete)
            co_return true;
        const bool hasRun = !outcome.isEngineOverloaded && !outcome.isRequestRejected
            && outcome.failure->code != result_code::upstreamUnreachable;
        job.mayHaveRun |= hasRun;
        job.excluded.push_back(held->upstream);
        // Only attempts that put load on an engine are charged to the retry budget.
        const bool mayRetry = job.attempts < maxAttempts
            && (!hasRun || outcome.isMoved || tryWithdrawRetry(retries));
        if (!outcome.isRequestRejected && mayRetry)
            co_return false;
        fail(job, *answer,
             {outcome.failure->code, outcome.failure->detail, run_state::notRun, failedRetryAfter});
        co_return true;
    }

    static asio::awaitable<void> runJob(std::shared_ptr<state> self, chat_job job,
                                        std::shared_ptr<answer_stream> answer)
    {
        if (job.resumeAfterToken) {
            const std::string host
                = co_await self->relay->findHost(job.requestId, job.request.digest);
            self->needs.events.record("request.returned", job.requestId, host);
            if (!host.empty())
                co_await self->relay->copyAnswer(host, answer);
        }
        bool isOver = answer->assembly.isComplete;
        while (!isOver && !*answer->isAbandoned)
            isOver = co_await self->runAttempt(job, answer);
        self->recordEnd(job, *answer);
        answer->changed.notifyAll();
        // A caller that reconnects through another host can still read the last events.
        if (job.isIdFromCaller && answer->assembly.isComplete) {
            asio::steady_timer grace(self->needs.context, reconnectGrace);
            co_await grace.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        self->active.erase(job.requestId);
    }

    /// Returns the running answer for the job's request id; starts the job when there is none.
    std::shared_ptr<answer_stream> joinOrStart(const chat_job &job)
    {
        if (const auto running = active.find(job.requestId); running != active.end())
            return running->second;
        auto answer = std::make_shared<answer_stream>(needs.context.get_executor());
        answer->organisation = job.caller.organisation;
        answer->model = job.request.model;
        answer->digest = job.request.digest;
        answer->assembly = makeAnswerAssembly(job.requestId, job.resumeAfterToken.value_or(0));
        needs.events.record("request.arrived", job.requestId, job.pool,
                            {{"organisation", job.caller.organisation},
                             {"class", job.caller.serviceClass},
                             {"tier", std::to_string(job.caller.policy.tier)},
                             {"model", job.request.model}});
        active[job.requestId] = answer;
        asio::co_spawn(needs.context, runJob(shared_from_this(), job, answer), asio::detached);
        return answer;
    }

    void abandonIfUnread(const chat_job &job, answer_stream &answer)
    {
        if (answer.readers > 0 || answer.isDone() || *answer.isAbandoned)
            return;
        *answer.isAbandoned = true;
        needs.events.record("request.abandoned", job.requestId, job.pool);
        needs.permits.cancelAcquire(job.pool, job.requestId);
    }

    /// Abandons the answer unless a caller is attached after a period of reconnectGrace in which no
    /// peer read it.
    static asio::awaitable<void> abandonAfterGrace(std::shared_ptr<state> self, chat_job job,
                                                   std::shared_ptr<answer_stream> answer)
    {
        asio::steady_timer grace(self->needs.context);
        std::uint64_t readsBefore = 0;
        do {
            readsBefore = answer->peerReads;
            grace.expires_after(reconnectGrace);
            co_await grace.async_wait(asio::as_tuple(asio::use_awaitable));
        } while (answer->peerReads != readsBefore);
        self->abandonIfUnread(job, *answer);
    }

    void detachReader(const chat_job &job, std::shared_ptr<answer_stream> answer)
    {
        if (--answer->readers > 0 || answer->isDone())
            return;
        if (job.isIdFromCaller)
            asio::co_spawn(needs.context, abandonAfterGrace(shared_from_this(), job, answer),
                           asio::detached);
        else
            abandonIfUnread(job, *answer);
    }

    result<chat_job> makeJob(const http_exchange &exchange, caller_identity caller)
    {
        const chat_headers headers{exchange.header("X-Request-Id"),
                                   exchange.header("Last-Event-ID")};
        auto job = makeChatJob(needs.config.state(), std::move(caller), exchange.body(), headers);
        if (!job)
            return job;
        if (!job->isIdFromCaller)
            setCallerRequestId(*job, makeRequestId());
        job->arrival = needs.clock.now();
        return job;
    }
};

std::shared_ptr<answer_stream> chat_service::findActive(const std::weak_ptr<state> &watched,
                                                        const std::string &id)
{
    const auto self = watched.lock();
    if (!self)
        return nullptr;
    const auto running = self->active.find(id);
    return running == self->active.end() ? nullptr : running->second;
}

std::unique_ptr<chat_service> chat_service::makeChatService(dependencies needs)
{
    return std::unique_ptr<chat_service>(
        new chat_service(std::make_shared<state>(std::move(needs))));
}

chat_service::chat_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

chat_service::~chat_service() = default;

void chat_service::start()
{
    const std::weak_ptr<state> watched = m_state;
    const auto &needs = m_state->needs;
    m_state->relay = answer_relay::makeAnswerRelay(
        {needs.context, needs.mesh, needs.hostName, needs.liveHosts,
         [watched](const std::string &id) { return findActive(watched, id); }});
    m_state->relay->start();
}

asio::awaitable<void> chat_service::handle(http_exchange &exchange, caller_identity caller)
{
    const auto self = m_state;
    const auto job = self->makeJob(exchange, std::move(caller));
    if (!job) {
        const problem failure{job.error().code, job.error().detail, run_state::notRun, {}};
        co_await respondProblem(exchange, failure, std::string());
        co_return;
    }
    const auto answer = self->joinOrStart(*job);
    if (answer->digest != job->request.digest) {
        problem reused{result_code::idempotencyKeyReused,
                       "another request with this X-Request-Id is running",
                       run_state::notRun,
                       {}};
        co_await respondProblem(exchange, std::move(reused), job->callerRequestId);
        co_return;
    }
    if (job->resumeAfterToken.value_or(0) + 1 < answer->assembly.firstTokenNumber) {
        problem busy{result_code::callInProgress,
                     "the request already runs on this host from a later token", run_state::partial,
                     failedRetryAfter};
        co_await respondProblem(exchange, std::move(busy), job->callerRequestId);
        co_return;
    }
    ++answer->readers;
    exchange.setDisconnectListener([answer] { answer->changed.notifyAll(); });
    if (job->request.isStreamed)
        co_await sendChatStream(exchange, *job, answer);
    else
        co_await sendChatJson(exchange, *job, answer);
    self->detachReader(*job, answer);
}

} // namespace quincefall
