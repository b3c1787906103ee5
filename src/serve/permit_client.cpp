#include "serve/permit_client.h"

#include "kernel/asio_headers.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "peer.pb.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds ownerRetryPause{20};
constexpr milliseconds callMargin{2000};
constexpr milliseconds messageTimeout{1000};
constexpr milliseconds announceInterval{5000};
constexpr milliseconds noOwnerRetryAfter{1000};
constexpr int maxSendAttempts = 3;
constexpr double microsecondsPerSecond = 1e6;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

wire::PermitRequest toMessage(const permit_query &query, const std::string &host,
                              const std::string &region, instant now)
{
    wire::PermitRequest message;
    message.set_pool(query.pool);
    message.set_request_id(query.requestId);
    message.set_entry_host(host);
    message.set_entry_region(region);
    message.set_organisation(query.organisation);
    message.set_service_class(query.serviceClass);
    message.set_model(query.model);
    message.set_prefix_hash(query.prefixHash);
    message.set_prompt_tokens(query.promptTokens);
    message.set_resume_from(query.resumeFrom);
    message.set_waited_us(std::uint64_t((now - query.arrival).count()));
    for (const std::string &upstream : query.excluded)
        message.add_excluded(upstream);
    return message;
}

problem toProblem(const wire::Refusal &refusal)
{
    return {result_code(refusal.code()), refusal.detail(), run_state::notRun,
            milliseconds(refusal.retry_after_ms())};
}

} // namespace

struct permit_client::state : std::enable_shared_from_this<permit_client::state>
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;
    std::map<std::uint64_t, permit> heldPermits;
    std::map<std::string, std::string> announcedOwner; ///< Owner of the last announcement, by pool.
    bool isStopped = false;

    permit recordPermit(const permit_query &query, const wire::Permit &granted)
    {
        permit held;
        held.pool = query.pool;
        held.requestId = query.requestId;
        held.organisation = query.organisation;
        held.serviceClass = query.serviceClass;
        held.upstream = granted.upstream();
        held.number = granted.number();
        held.grantedAt = needs.clock.now();
        heldPermits[held.number] = held;
        return held;
    }

    /// Sends a message to the pool's owner, in up to maxSendAttempts attempts. If all of them fail,
    /// the next periodic announcement corrects the owner's state.
    static asio::awaitable<void> sendWithRetry(std::shared_ptr<state> self, std::string pool,
                                               std::string path, std::string body)
    {
        asio::steady_timer pause(self->needs.context);
        for (int attempt = 0; attempt < maxSendAttempts && !self->isStopped; ++attempt) {
            const std::string owner = self->needs.owners.ownerOf(pool);
            if (!owner.empty()) {
                const auto sent = co_await self->needs.mesh.call(owner, path, body, messageTimeout);
                if (sent)
                    co_return;
            }
            pause.expires_after(ownerRetryPause);
            co_await pause.async_wait(asTuple);
        }
    }

    void sendToOwner(const std::string &pool, std::string path, std::string body)
    {
        asio::co_spawn(needs.context,
                       sendWithRetry(shared_from_this(), pool, std::move(path), std::move(body)),
                       asio::detached);
    }

    void announcePool(const std::string &pool)
    {
        wire::AdoptRequest message;
        message.set_pool(pool);
        message.set_entry_host(needs.hostName);
        for (const auto &[number, held] : heldPermits) {
            if (held.pool != pool)
                continue;
            wire::RunningPermit *row = message.add_running();
            row->set_request_id(held.requestId);
            row->set_number(number);
            row->set_upstream(held.upstream);
            row->set_service_class(held.serviceClass);
            row->set_organisation(held.organisation);
            row->set_running_us(std::uint64_t((needs.clock.now() - held.grantedAt).count()));
        }
        sendToOwner(pool, "/adopt", message.SerializeAsString());
    }

    /// Announces the held permits to all owners or, with @p onlyNew, to new owners only.
    void announceAll(bool onlyNew)
    {
        for (auto &[pool, owner] : announcedOwner) {
            std::string current = needs.owners.ownerOf(pool);
            const bool isNew = current != owner;
            if (current.empty() || (onlyNew && !isNew))
                continue;
            if (isNew)
                needs.events.record("queue.owner", "", pool,
                                    {{"owner", current}, {"before", owner}});
            owner = std::move(current);
            announcePool(pool);
        }
    }

    void recordMetrics(const std::string &serviceClass,
                       const tl::expected<permit, problem> &outcome, microseconds waited)
    {
        const double waitSeconds = double(waited.count()) / microsecondsPerSecond;
        if (outcome)
            needs.meters.observe(metric::queueWait, {{"class", serviceClass}}, waitSeconds);
        else if (outcome.error().code != result_code::cancelled)
            needs.meters.add(metric::sheds, {{"code", resultInfo(outcome.error().code).name}});
    }

    /// Sends the query to the current owner until one grants or refuses it; see acquire.
    static asio::awaitable<tl::expected<permit, problem>>
    askOwners(std::shared_ptr<state> self, permit_query query, std::shared_ptr<bool> isCancelled);

    static asio::awaitable<void> announcePeriodically(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            pause.expires_after(announceInterval);
            co_await pause.async_wait(asTuple);
            if (!self->isStopped)
                self->announceAll(false);
        }
    }
};

std::unique_ptr<permit_client> permit_client::makePermitClient(dependencies needs)
{
    return std::unique_ptr<permit_client>(
        new permit_client(std::make_shared<state>(std::move(needs))));
}

permit_client::permit_client(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

permit_client::~permit_client()
{
    stop();
}

void permit_client::start()
{
    asio::co_spawn(m_state->needs.context, state::announcePeriodically(m_state), asio::detached);
}

void permit_client::stop()
{
    m_state->isStopped = true;
}

asio::awaitable<tl::expected<permit, problem>>
permit_client::acquire(permit_query query, std::shared_ptr<bool> isCancelled)
{
    const auto self = m_state;
    const std::string serviceClass = query.serviceClass;
    const instant asked = self->needs.clock.now();
    auto outcome = co_await state::askOwners(self, std::move(query), std::move(isCancelled));
    self->recordMetrics(serviceClass, outcome, self->needs.clock.now() - asked);
    co_return outcome;
}

asio::awaitable<tl::expected<permit, problem>>
permit_client::state::askOwners(std::shared_ptr<state> self, permit_query query,
                                std::shared_ptr<bool> isCancelled)
{
    auto &needs = self->needs;
    asio::steady_timer pause(needs.context);
    // The wait of a resumed answer counts from now, since its caller already has a part of it.
    const instant begin = query.resumeFrom > 0 ? needs.clock.now() : query.arrival;
    const instant deadline = begin + query.maxWait;
    while (!*isCancelled) {
        const std::string owner = needs.owners.ownerOf(query.pool);
        result<std::string> reply
            = makeError(result_code::peerUnreachable, "the queue has no owner");
        if (!owner.empty()) {
            self->announcedOwner.try_emplace(query.pool, owner);
            const auto message = toMessage(query, needs.hostName, needs.region, needs.clock.now());
            const milliseconds limit = query.maxWait + callMargin;
            reply = co_await needs.mesh.call(owner, "/permit", message.SerializeAsString(), limit);
        }
        wire::PermitResponse answer;
        if (reply && answer.ParseFromString(*reply)) {
            if (answer.has_permit())
                co_return self->recordPermit(query, answer.permit());
            co_return tl::unexpected(toProblem(answer.refusal()));
        }
        if (reply.has_value() || reply.error().code == result_code::cancelled)
            break;
        needs.events.record("permit.asked-again", query.requestId, query.pool,
                            {{"owner", owner}, {"reason", reply.error().detail}});
        if (needs.clock.now() >= deadline)
            co_return tl::unexpected(problem{result_code::deadlineUnreachable,
                                             "no owner of the queue answered in time",
                                             run_state::notRun, noOwnerRetryAfter});
        pause.expires_after(ownerRetryPause);
        co_await pause.async_wait(asTuple);
    }
    co_return tl::unexpected(
        problem{result_code::cancelled, "the caller disconnected", run_state::notRun, {}});
}

void permit_client::cancelAcquire(const std::string &pool, const std::string &requestId)
{
    wire::CancelRequest message;
    message.set_pool(pool);
    message.set_request_id(requestId);
    message.set_entry_host(m_state->needs.hostName);
    m_state->sendToOwner(pool, "/cancel", message.SerializeAsString());
}

void permit_client::release(const permit &held, const attempt_usage &usage)
{
    m_state->heldPermits.erase(held.number);
    wire::ReleaseRequest message;
    message.set_pool(held.pool);
    message.set_number(held.number);
    message.set_upstream(held.upstream);
    message.set_tokens(usage.tokens);
    message.set_first_token_us(std::uint64_t(usage.timeToFirstToken.count()));
    message.set_duration_us(std::uint64_t(usage.duration.count()));
    message.set_failed(usage.failed);
    message.set_stopped(usage.stopped);
    m_state->sendToOwner(held.pool, "/release", message.SerializeAsString());
}

void permit_client::reportSlow(const permit &held, double tokensPerSecond)
{
    wire::SlowRequest message;
    message.set_pool(held.pool);
    message.set_number(held.number);
    message.set_upstream(held.upstream);
    message.set_tokens_per_second(tokensPerSecond);
    m_state->sendToOwner(held.pool, "/slow", message.SerializeAsString());
}

void permit_client::announceHeldPermits()
{
    m_state->announceAll(true);
}

} // namespace quincefall
