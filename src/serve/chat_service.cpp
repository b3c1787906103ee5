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

constexpr int mostAttempts = 4;
constexpr milliseconds failedRetryAfter{1000};
/// How long a request whose caller gave its own id runs on without a reader, and how long its
/// whole answer is kept.
constexpr milliseconds returnGrace{2000};

} // namespace

struct chat_service::state : std::enable_shared_from_this<chat_service::state>
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;
    std::unordered_map<std::string, std::shared_ptr<answer_stream>> active;
    std::unique_ptr<answer_relay> relay;
    retry_budget retries;
    std::uint64_t nextId = 1;

    std::string makeId()
    {
        return needs.hostName + "-" + std::to_string(needs.incarnation) + "-"
            + std::to_string(nextId++);
    }

    /// Watches the progress of a try: tells the queue's owner of a slow engine and leaves it when
    /// it stays slow and the retry budget allows it.
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
            return action == stream_action::move && takeRetry(self->retries);
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

    /// Counts what an attempt at an engine of @p region added to the answer.
    void countAttempt(chat_job &job, const engine_outcome &outcome, const std::string &region,
                      std::size_t bytes, instant started)
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
        return job.wasRefused ? answer_summary::outcome::refused : answer_summary::outcome::failed;
    }

    /// Counts the finished job and records its times beside its class's targets.
    void noteEnd(const chat_job &job, const answer_stream &answer)
    {
        answer_summary facts;
        facts.result = outcomeOf(job, answer);
        facts.serviceClass = job.caller.serviceClass;
        facts.policy = job.caller.policy;
        facts.tokens = answer.assembly.delivered;
        facts.droppedTokens = answer.assembly.dropped;
        facts.timeToFirstToken = job.timeToFirstToken;
        facts.total = needs.clock.now() - job.arrival;
        recordAnswerMetrics(needs.meters, facts);
        const auto inMilliseconds
            = [](microseconds span) { return std::to_string(span.count() / 1000); };
        needs.events.record(
            "request.done", job.requestId, job.pool,
            {{"outcome", toString(facts.result)},
             {"class", facts.serviceClass},
             {"attempts", std::to_string(job.attempts)},
             {"tokens", std::to_string(facts.tokens)},
             {"first_token_ms",
              facts.timeToFirstToken ? inMilliseconds(*facts.timeToFirstToken) : "none"},
             {"first_token_target_ms", std::to_string(facts.policy.firstTokenTarget.count())},
             {"token_gap_ms", inMilliseconds(meanTokenGap(facts))},
             {"token_gap_target_ms", std::to_string(facts.policy.tokenGapTarget.count())},
             {"total_ms", inMilliseconds(facts.total)}});
    }

    void noteAttempt(const chat_job &job, const permit &held, const engine_outcome &outcome)
    {
        needs.events.record(
            outcome.failure ? "attempt.failed" : "attempt.done", job.requestId, held.upstream,
            {{"attempt", std::to_string(job.attempts)},
             {"tokens", std::to_string(outcome.usage.tokens)},
             {"first_token_ms", std::to_string(outcome.usage.timeToFirstToken.count() / 1000)},
             {"reason", outcome.failure ? outcome.failure->detail : ""}});
    }

    /// Runs one try; true when the job is over.
    asio::awaitable<bool> tryOnce(chat_job &job, std::shared_ptr<answer_stream> answer)
    {
        auto query = toPermitQuery(job, answer->assembly.delivered);
        const auto held = co_await needs.permits.acquire(std::move(query), answer->isAbandoned);
        if (!held) {
            job.wasRefused = job.attempts == 0;
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
        if (job.attempts < mostAttempts)
            call.shouldMove = watchProgress(job, *held);
        const std::string region = target->region;
        const std::size_t bytesBefore = answer->assembly.text.size();
        const instant started = needs.clock.now();
        const auto outcome
            = co_await runEngineAttempt(needs.client, needs.clock, std::move(call), answer);
        needs.permits.release(*held, outcome.usage);
        countAttempt(job, outcome, region, answer->assembly.text.size() - bytesBefore, started);
        noteAttempt(job, *held, outcome);
        if (answer->assembly.isComplete)
            earnRetry(retries);
        if (!outcome.failure || answer->assembly.isComplete)
            co_return true;
        const bool hasRun = !outcome.wasRefused && !outcome.isFinal
            && outcome.failure->code != result_code::upstreamUnreachable;
        job.mayHaveRun |= hasRun;
        job.excluded.push_back(held->upstream);
        // Only tries that put load on engines draw on the budget.
        const bool mayTryAgain
            = job.attempts < mostAttempts && (!hasRun || outcome.isMoved || takeRetry(retries));
        if (!outcome.isFinal && mayTryAgain)
            co_return false;
        fail(job, *answer,
             {outcome.failure->code, outcome.failure->detail, run_state::notRun, failedRetryAfter});
        co_return true;
    }

    static asio::awaitable<void> produce(std::shared_ptr<state> self, chat_job job,
                                         std::shared_ptr<answer_stream> answer)
    {
        if (job.returnsAfter) {
            const std::string host
                = co_await self->relay->findHost(job.requestId, job.request.digest);
            self->needs.events.record("request.returned", job.requestId, host);
            if (!host.empty())
                co_await self->relay->follow(host, answer);
        }
        bool isOver = answer->assembly.isComplete;
        while (!isOver && !*answer->isAbandoned)
            isOver = co_await self->tryOnce(job, answer);
        self->noteEnd(job, *answer);
        answer->changed.notifyAll();
        // A caller on its way back through another host still finds the last events.
        if (job.hasOwnId && answer->assembly.isComplete) {
            asio::steady_timer grace(self->needs.context, returnGrace);
            co_await grace.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        self->active.erase(job.requestId);
    }

    /// The running answer of @p job's id, or a new one.
    std::shared_ptr<answer_stream> join(const chat_job &job)
    {
        if (const auto running = active.find(job.requestId); running != active.end())
            return running->second;
        auto answer = std::make_shared<answer_stream>(needs.context.get_executor());
        answer->organisation = job.caller.organisation;
        answer->model = job.request.model;
        answer->digest = job.request.digest;
        answer->assembly = makeAnswerAssembly(job.requestId, job.returnsAfter.value_or(0));
        needs.events.record("request.arrived", job.requestId, job.pool,
                            {{"organisation", job.caller.organisation},
                             {"class", job.caller.serviceClass},
                             {"tier", std::to_string(job.caller.policy.tier)},
                             {"model", job.request.model}});
        active[job.requestId] = answer;
        asio::co_spawn(needs.context, produce(shared_from_this(), job, answer), asio::detached);
        return answer;
    }

    void abandonIfUnread(const chat_job &job, answer_stream &answer)
    {
        if (answer.readers > 0 || answer.isDone() || *answer.isAbandoned)
            return;
        *answer.isAbandoned = true;
        needs.events.record("request.abandoned", job.requestId, job.pool);
        needs.permits.abandon(job.pool, job.requestId);
    }

    /// Abandons the answer once neither a caller nor a peer has read it for the grace.
    static asio::awaitable<void> abandonLater(std::shared_ptr<state> self, chat_job job,
                                              std::shared_ptr<answer_stream> answer)
    {
        asio::steady_timer grace(self->needs.context);
        std::uint64_t readsBefore = 0;
        do {
            readsBefore = answer->peerReads;
            grace.expires_after(returnGrace);
            co_await grace.async_wait(asio::as_tuple(asio::use_awaitable));
        } while (answer->peerReads != readsBefore);
        self->abandonIfUnread(job, *answer);
    }

    void leave(const chat_job &job, std::shared_ptr<answer_stream> answer)
    {
        if (--answer->readers > 0 || answer->isDone())
            return;
        if (job.hasOwnId)
            asio::co_spawn(needs.context, abandonLater(shared_from_this(), job, answer),
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
        if (!job->hasOwnId)
            setCallerId(*job, makeId());
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
    const auto answer = self->join(*job);
    if (answer->digest != job->request.digest) {
        problem reused{result_code::idempotencyKeyReused,
                       "another request with this X-Request-Id is running",
                       run_state::notRun,
                       {}};
        co_await respondProblem(exchange, std::move(reused), job->callerId);
        co_return;
    }
    if (job->returnsAfter.value_or(0) + 1 < answer->assembly.firstToken) {
        problem busy{result_code::callInProgress, "the request runs from a later token on",
                     run_state::partial, failedRetryAfter};
        co_await respondProblem(exchange, std::move(busy), job->callerId);
        co_return;
    }
    ++answer->readers;
    exchange.setDisconnectListener([answer] { answer->changed.notifyAll(); });
    if (job->request.isStreamed)
        co_await sendChatStream(exchange, *job, answer);
    else
        co_await sendWholeChat(exchange, *job, answer);
    self->leave(*job, answer);
}

} // namespace quincefall
