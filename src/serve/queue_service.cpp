#include "serve/queue_service.h"

#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/timeline.h"
#include "peer/peer_mesh.h"
#include "serve/permit_messages.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds advanceInterval{20};
constexpr milliseconds idleInterval{1000};
constexpr milliseconds maxPermitWait{60'000};
/// An entry host may not have received a younger permit yet, so the absence of one from its
/// announcement does not mean that it has ended.
constexpr seconds minReconcileAge{1};
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// An entry host's permit request that waits for the scheduler's decision.
struct pending_permit
{
    explicit pending_permit(const asio::any_io_executor &executor)
        : decided(executor)
    {
    }

    async_signal decided;
    std::optional<result<wire::PermitResponse>> response;

    void resolve(result<wire::PermitResponse> value)
    {
        response = std::move(value);
        decided.notifyAll();
    }
};

struct granted_permit
{
    std::string id;
    std::string entryHost;
    std::string upstream;
    instant grantedAt;
};

/// One pool's queue with its pending permit requests and granted permits.
struct pool_queue
{
    pool_state scheduler;
    std::map<std::string, std::shared_ptr<pending_permit>, std::less<>> pending;
    std::map<std::uint64_t, granted_permit> granted;
};

template <typename message_type>
result<message_type> decode(const std::string &body)
{
    message_type message;
    if (!message.ParseFromString(body))
        return makeError(result_code::messageInvalid, "cannot decode a message from a peer");
    return message;
}

std::string emptyResponse()
{
    return wire::Empty().SerializeAsString();
}

} // namespace

struct queue_service::state : std::enable_shared_from_this<queue_service::state>
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
        , requestQueued(needs.context.get_executor())
    {
    }

    dependencies needs;
    async_signal requestQueued; ///< Notified when a request starts to wait in a queue.
    std::map<std::string, pool_queue, std::less<>> pools;
    bool isStopped = false;

    instant now() const { return needs.clock.now(); }

    /// The inputs of a grant, as fields of its time-line event.
    timeline::fields grantInputs(const pool_state &pool, const grant &given) const
    {
        timeline::fields fields{{"upstream", given.upstream},
                                {"entry", given.entryHost},
                                {"waiting", std::to_string(waitingCount(pool))},
                                {"running", std::to_string(runningCount(pool))}};
        const auto record = pool.upstreams.records.find(given.upstream);
        if (record == pool.upstreams.records.end())
            return fields;
        const auto attempt = record->second.running.find(given.permit);
        if (attempt == record->second.running.end())
            return fields;
        const work_item &item = attempt->second.item;
        const auto waited = std::chrono::duration_cast<milliseconds>(now() - item.arrival);
        fields.emplace_back("class", item.serviceClass);
        fields.emplace_back("waited_ms", std::to_string(waited.count()));
        fields.emplace_back("resume_from", std::to_string(item.resumeFrom));
        fields.emplace_back("upstream_running", std::to_string(record->second.running.size()));
        fields.emplace_back("excluded", std::to_string(item.excluded.size()));
        return fields;
    }

    void sendGrant(const std::string &pool, pool_queue &queue, const grant &given)
    {
        queue.granted[given.permit] = {given.id, given.entryHost, given.upstream, now()};
        needs.events.record("request.granted", given.id, pool, grantInputs(queue.scheduler, given));
        const auto waiting = queue.pending.find(given.id);
        if (waiting == queue.pending.end())
            return;
        wire::PermitResponse response;
        response.mutable_permit()->set_number(given.permit);
        response.mutable_permit()->set_upstream(given.upstream);
        waiting->second->resolve(std::move(response));
        queue.pending.erase(waiting);
    }

    void sendRefusal(const std::string &pool, pool_queue &queue, const refusal &refused)
    {
        needs.events.record("request.shed", refused.id, pool,
                            {{"code", std::string(resultInfo(refused.code).name)},
                             {"retry_after_ms", std::to_string(refused.retryAfter.count())},
                             {"waiting", std::to_string(waitingCount(queue.scheduler))},
                             {"running", std::to_string(runningCount(queue.scheduler))},
                             {"detail", refused.detail}});
        const auto waiting = queue.pending.find(refused.id);
        if (waiting == queue.pending.end())
            return;
        wire::PermitResponse response;
        response.mutable_refusal()->set_code(int(refused.code));
        response.mutable_refusal()->set_detail(refused.detail);
        response.mutable_refusal()->set_retry_after_ms(std::uint64_t(refused.retryAfter.count()));
        waiting->second->resolve(std::move(response));
        queue.pending.erase(waiting);
    }

    void applyDecisions(const std::string &pool, pool_queue &queue, const decisions &outcome)
    {
        for (const refusal &refused : outcome.refusals)
            sendRefusal(pool, queue, refused);
        for (const grant &given : outcome.grants)
            sendGrant(pool, queue, given);
    }

    void finishPermit(const std::string &pool, pool_queue &queue, const completion &done)
    {
        queue.granted.erase(done.permit);
        applyDecisions(pool, queue, finish(queue.scheduler, done, now()));
    }

    /// Ends the permit of a request that its entry host cancelled before it received the grant.
    void releaseById(const std::string &pool, pool_queue &queue, std::string_view id)
    {
        for (const auto &[number, granted] : queue.granted) {
            if (granted.id != id)
                continue;
            completion done;
            done.permit = number;
            done.upstream = granted.upstream;
            done.stopped = true;
            finishPermit(pool, queue, done);
            return;
        }
    }

    void cancelRequest(const std::string &pool, pool_queue &queue, const std::string &id)
    {
        queue.pending.erase(id);
        applyDecisions(pool, queue, cancel(queue.scheduler, id, now()));
        releaseById(pool, queue, id);
    }

    asio::awaitable<result<std::string>> onPermit(std::string body)
    {
        const auto self = shared_from_this();
        const auto request = decode<wire::PermitRequest>(body);
        if (!request)
            co_return tl::unexpected(request.error());
        const auto entry = pools.find(request->pool());
        if (entry == pools.end())
            co_return makeError(result_code::peerRejected,
                                "the pool is not configured on this host yet");
        const auto waiting = std::make_shared<pending_permit>(needs.context.get_executor());
        entry->second.pending[request->request_id()] = waiting;
        applyDecisions(entry->first, entry->second,
                       submit(entry->second.scheduler, toWorkItem(*request, now()), now()));
        if (!waiting->response)
            requestQueued.notifyAll();
        const instant deadline = now() + maxPermitWait;
        while (!waiting->response && now() < deadline && !isStopped) {
            co_await waiting->decided.wait(maxPermitWait);
            const auto cancelled = co_await asio::this_coro::cancellation_state;
            if (cancelled.cancelled() != asio::cancellation_type::none)
                break;
        }
        if (waiting->response && *waiting->response)
            co_return (*waiting->response)->SerializeAsString();
        if (waiting->response)
            co_return tl::unexpected(waiting->response->error());
        if (const auto pool = pools.find(request->pool()); pool != pools.end())
            cancelRequest(pool->first, pool->second, request->request_id());
        co_return makeError(result_code::cancelled, "the entry host cancelled the request");
    }

    asio::awaitable<result<std::string>> onRelease(std::string body)
    {
        const auto message = decode<wire::ReleaseRequest>(body);
        if (!message)
            co_return tl::unexpected(message.error());
        if (const auto pool = pools.find(message->pool()); pool != pools.end())
            finishPermit(pool->first, pool->second, toCompletion(*message));
        co_return emptyResponse();
    }

    asio::awaitable<result<std::string>> onSlow(std::string body)
    {
        const auto message = decode<wire::SlowRequest>(body);
        if (!message)
            co_return tl::unexpected(message.error());
        if (const auto pool = pools.find(message->pool()); pool != pools.end()) {
            const slow_progress progress{message->number(), message->upstream(),
                                         message->tokens_per_second()};
            applyDecisions(pool->first, pool->second,
                           reportSlow(pool->second.scheduler, progress, now()));
        }
        co_return emptyResponse();
    }

    asio::awaitable<result<std::string>> onCancel(std::string body)
    {
        const auto message = decode<wire::CancelRequest>(body);
        if (!message)
            co_return tl::unexpected(message.error());
        const auto pool = pools.find(message->pool());
        if (pool != pools.end()) {
            const auto waiting = pool->second.pending.find(message->request_id());
            if (waiting != pool->second.pending.end())
                waiting->second->resolve(makeError(result_code::cancelled, "cancelled"));
            cancelRequest(pool->first, pool->second, message->request_id());
        }
        co_return emptyResponse();
    }

    /// Handles the announcement of all permits that an entry host holds. Permits that this host has
    /// no record of are adopted. A permit of the entry host that is older than minReconcileAge and
    /// not announced is ended: its release message was lost.
    asio::awaitable<result<std::string>> onAdopt(std::string body)
    {
        const auto message = decode<wire::AdoptRequest>(body);
        if (!message)
            co_return tl::unexpected(message.error());
        if (const auto pool = pools.find(message->pool()); pool != pools.end())
            reconcile(pool->first, pool->second, *message);
        co_return emptyResponse();
    }

    void reconcile(const std::string &pool, pool_queue &queue, const wire::AdoptRequest &message)
    {
        std::map<std::uint64_t, granted_permit> lost;
        for (const auto &[number, granted] : queue.granted) {
            if (granted.entryHost == message.entry_host()
                && now() - granted.grantedAt > minReconcileAge)
                lost.emplace(number, granted);
        }
        for (const wire::RunningPermit &running : message.running()) {
            lost.erase(running.number());
            if (!queue.granted.contains(running.number()))
                adoptPermit(pool, queue, message.entry_host(), running);
        }
        for (const auto &[number, granted] : lost) {
            completion done;
            done.permit = number;
            done.upstream = granted.upstream;
            finishPermit(pool, queue, done);
        }
    }

    void adoptPermit(const std::string &pool, pool_queue &queue, const std::string &entryHost,
                     const wire::RunningPermit &running)
    {
        const adopted_attempt attempt = toAdoptedAttempt(running, entryHost);
        queue.granted[attempt.permit] = {attempt.id, entryHost, attempt.upstream, now()};
        applyDecisions(pool, queue, adoptRunning(queue.scheduler, attempt, now()));
    }

    static asio::awaitable<void> advancePeriodically(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            if (!self->hasWaiting()) {
                co_await self->requestQueued.wait(idleInterval);
                continue;
            }
            pause.expires_after(advanceInterval);
            co_await pause.async_wait(asTuple);
            for (auto &[name, queue] : self->pools) {
                if (waitingCount(queue.scheduler) > 0)
                    self->applyDecisions(name, queue, advance(queue.scheduler, self->now()));
            }
        }
    }

    bool hasWaiting() const
    {
        return std::any_of(pools.begin(), pools.end(), [](const auto &entry) {
            return waitingCount(entry.second.scheduler) > 0;
        });
    }

    static void rejectPending(pool_queue &queue, const std::string &reason, const instant now)
    {
        const auto pending = std::move(queue.pending);
        queue.pending.clear();
        for (const auto &[id, waiting] : pending) {
            // Decisions are ignored: removing a waiting request frees no capacity, so it cannot
            // lead to a grant.
            cancel(queue.scheduler, id, now);
            waiting->resolve(makeError(result_code::peerRejected, reason));
        }
    }
};

std::unique_ptr<queue_service> queue_service::makeQueueService(dependencies needs)
{
    return std::unique_ptr<queue_service>(
        new queue_service(std::make_shared<state>(std::move(needs))));
}

queue_service::queue_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

queue_service::~queue_service()
{
    stop();
}

void queue_service::start()
{
    const auto self = m_state;
    auto &mesh = self->needs.mesh;
    mesh.handle("/permit", [self](std::string body) { return self->onPermit(std::move(body)); });
    mesh.handle("/release", [self](std::string body) { return self->onRelease(std::move(body)); });
    mesh.handle("/slow", [self](std::string body) { return self->onSlow(std::move(body)); });
    mesh.handle("/cancel", [self](std::string body) { return self->onCancel(std::move(body)); });
    mesh.handle("/adopt", [self](std::string body) { return self->onAdopt(std::move(body)); });
    asio::co_spawn(self->needs.context, state::advancePeriodically(self), asio::detached);
}

void queue_service::stop()
{
    m_state->isStopped = true;
    for (auto &[name, queue] : m_state->pools)
        state::rejectPending(queue, "the host is stopping", m_state->now());
}

void queue_service::configurePool(const std::string &pool, pool_plan plan)
{
    auto [entry, isNew] = m_state->pools.try_emplace(pool);
    if (isNew)
        entry->second.scheduler.nextPermit = m_state->needs.firstPermitNumber;
    m_state->applyDecisions(entry->first, entry->second,
                            configure(entry->second.scheduler, std::move(plan), m_state->now()));
}

void queue_service::retainPools(const std::vector<std::string> &pools)
{
    for (auto entry = m_state->pools.begin(); entry != m_state->pools.end();) {
        if (std::find(pools.begin(), pools.end(), entry->first) != pools.end()) {
            ++entry;
            continue;
        }
        state::rejectPending(entry->second, "the pool was deleted", m_state->now());
        entry = m_state->pools.erase(entry);
    }
}

void queue_service::reportLoad(const std::string &pool, const load_report &report)
{
    if (const auto entry = m_state->pools.find(pool); entry != m_state->pools.end())
        m_state->applyDecisions(pool, entry->second,
                                applyLoadReport(entry->second.scheduler, report, m_state->now()));
}

void queue_service::dropEntryHost(std::string_view host)
{
    for (auto &[name, queue] : m_state->pools) {
        std::erase_if(queue.granted,
                      [host](const auto &entry) { return entry.second.entryHost == host; });
        m_state->applyDecisions(name, queue,
                                quincefall::dropEntryHost(queue.scheduler, host, m_state->now()));
    }
}

void queue_service::handOver(const std::function<bool(std::string_view pool)> &isOwned)
{
    for (auto &[name, queue] : m_state->pools) {
        if (queue.pending.empty() || isOwned(name))
            continue;
        m_state->needs.events.record("queue.handed-over", "", name,
                                     {{"waiting", std::to_string(queue.pending.size())}});
        state::rejectPending(queue, "another host owns the queue now", m_state->now());
    }
}

void queue_service::applyCacheEvent(const std::string &pool, const cache_event &event)
{
    if (const auto entry = m_state->pools.find(pool); entry != m_state->pools.end())
        quincefall::applyCacheEvent(entry->second.scheduler, event);
}

const pool_state *queue_service::find(std::string_view pool) const
{
    const auto entry = m_state->pools.find(pool);
    return entry == m_state->pools.end() ? nullptr : &entry->second.scheduler;
}

} // namespace quincefall
