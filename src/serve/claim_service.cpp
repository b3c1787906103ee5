#include "serve/claim_service.h"

#include "clients/log_follower.h"
#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/timeline.h"
#include "peer/peer_mesh.h"
#include "serve/caller_directory.h"

#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char *claimStream = "claims";
constexpr const char *claimStatusPath = "/claim-known";
constexpr const char *claimTablePath = "/claim-state";
constexpr milliseconds appendInterval{20}; ///< Between the starts of two appends of this host.
constexpr milliseconds appendTimeout{1000};
constexpr milliseconds appendRetryDelay{200};
/// An acknowledged record that is not read back within this time is appended again.
constexpr milliseconds readBackTimeout{1000};
constexpr milliseconds claimTimeout{2000}; ///< Until a claim that was not read back is abandoned.
constexpr milliseconds claimStatusTimeout{500};
constexpr milliseconds claimTableTimeout{2000};
constexpr milliseconds holderTimeoutMargin{5000}; ///< Added to a service's call timeout.
constexpr milliseconds retryAfter{1000};
constexpr milliseconds recheckInterval{100};
constexpr std::size_t maxEntriesPerAppend = 64;
constexpr std::size_t maxStoredBodyBytes = 64UL * 1024;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string encodeClaimStatus(const peer_claim_status &value)
{
    return json::serialize(json::object{
        {"ready", value.isReady}, {"known", value.hasClaim}, {"active", value.hasAttempt}});
}

result<peer_claim_status> decodeClaimStatus(const std::string &text)
{
    try {
        const json::value parsed = json::parse(text);
        return peer_claim_status{true, parsed.at("ready").as_bool(), parsed.at("known").as_bool(),
                                 parsed.at("active").as_bool()};
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
}

std::string encodeKey(const claim_key &key)
{
    return json::serialize(json::object{
        {"organisation", key.organisation}, {"service", key.service}, {"key", key.key}});
}

/// Log records are JSON, which can hold only valid UTF-8.
bool isUtf8(std::string_view text)
{
    boost::system::error_code failure;
    const json::value quoted(text);
    json::parse(json::serialize(quoted), failure);
    return !failure;
}

result<claim_key> decodeKey(const std::string &text)
{
    try {
        const json::value parsed = json::parse(text);
        return claim_key{std::string(parsed.at("organisation").as_string()),
                         std::string(parsed.at("service").as_string()),
                         std::string(parsed.at("key").as_string())};
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
}

} // namespace

struct claim_service::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
        , changed(needs.context.get_executor())
        , outboxFilled(needs.context.get_executor())
    {
        localAttempts.host = needs.hostName;
        localAttempts.incarnation = needs.incarnation;
    }

    dependencies needs;
    claim_table table;
    claim_attempts localAttempts;
    async_signal changed; ///< The claim table or the log's availability changed.
    async_signal outboxFilled; ///< The outbox may have new entries.
    std::unique_ptr<log_follower> follower;
    std::vector<std::string> members;
    std::set<std::string> mayHaveClaimed; ///< Hosts listed since the end of the log was last read.
    std::weak_ptr<state> weakSelf;
    bool isReady = false; ///< The claim table has caught up with the log.
    bool isAdopting = false;
    bool isStopped = false;

    bool isLogAvailable() const { return isReady && follower->isReachable(); }

    void applyPage(const log_page &page)
    {
        if (page.isTruncated) {
            isReady = false;
            asio::co_spawn(needs.context, adoptPeerTable(weakSelf.lock(), page.oldestOffset),
                           asio::detached);
            return;
        }
        for (const log_record &record : page.records) {
            if (record.offset != table.next)
                continue;
            const auto effects = applyClaimRecord(table, record.offset, record.data);
            handleReadBack(localAttempts, effects, needs.clock.wall());
        }
        if (table.next >= page.nextOffset) {
            isReady = true;
            mayHaveClaimed = {members.begin(), members.end()};
        }
        changed.notifyAll();
        outboxFilled.notifyAll();
    }

    /// Adopts a peer's claim table when the log has discarded records that this host has not read.
    /// The table must cover all records before @p first, the oldest one that the log still has.
    static asio::awaitable<void> adoptPeerTable(std::shared_ptr<state> self, std::uint64_t first)
    {
        if (!self || self->isAdopting)
            co_return;
        self->isAdopting = true;
        const std::vector<std::string> hosts = self->members;
        for (const std::string &host : hosts) {
            if (host == self->needs.hostName || self->table.next >= first)
                continue;
            const auto answer = co_await self->needs.mesh.call(host, claimTablePath, std::string(),
                                                               claimTableTimeout);
            auto newer = answer ? restoreClaimTable(*answer) : result<claim_table>(claim_table());
            if (!newer || newer->next < first || newer->next <= self->table.next)
                continue;
            self->table = std::move(*newer);
            self->needs.events.record("claims.adopted", "", claimStream,
                                      {{"from", host}, {"next", std::to_string(self->table.next)}});
        }
        self->isAdopting = false;
    }

    void recordReachability(bool isReachable)
    {
        needs.events.record(isReachable ? "log.reachable" : "log.unreachable", "", claimStream);
        changed.notifyAll();
    }

    static asio::awaitable<void> write(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            const auto batch = nextBatch(self->localAttempts, maxEntriesPerAppend);
            if (batch.empty()) {
                co_await self->outboxFilled.wait(seconds(1));
                continue;
            }
            const instant begin = self->needs.clock.now();
            std::vector<std::string> records{encodeBatch(batch)};
            const auto appended
                = co_await self->needs.log.append(claimStream, std::move(records), appendTimeout);
            if (appended)
                co_await awaitReadBack(self, *appended);
            const instant next = begin + (appended ? appendInterval : appendRetryDelay);
            pause.expires_after(std::max(microseconds(0), next - self->needs.clock.now()));
            co_await pause.async_wait(asTuple);
        }
    }

    /// Waits until the record at @p offset is read back. Entries leave the outbox only then, not
    /// when the append is acknowledged.
    static asio::awaitable<void> awaitReadBack(std::shared_ptr<state> self, std::uint64_t offset)
    {
        const instant limit = self->needs.clock.now() + readBackTimeout;
        while (self->table.next <= offset && !self->isStopped && self->needs.clock.now() < limit)
            co_await self->changed.wait(recheckInterval);
    }

    bool isWithinServiceTimeout(const claim_record &holder, milliseconds serviceTimeout) const
    {
        const milliseconds age(needs.clock.wall() - holder.wall);
        return age < serviceTimeout + holderTimeoutMargin;
    }

    duplicate_verdict judge(const claim_record &holder, const request &call) const
    {
        return judgeDuplicate(holder, call.digest,
                              needs.mayBeRunning(holder.host, holder.incarnation),
                              isWithinServiceTimeout(holder, call.serviceTimeout));
    }

    static outcome outcomeOf(const claim_record &holder, duplicate_verdict verdict)
    {
        if (verdict == duplicate_verdict::keyReused)
            return problem{result_code::idempotencyKeyReused,
                           "the Idempotency-Key was used before with a different request",
                           run_state::notRun,
                           {}};
        if (verdict == duplicate_verdict::replayResult)
            return holder.result;
        if (verdict == duplicate_verdict::wait)
            return problem{result_code::callInProgress,
                           "host " + holder.host + " is running the call", run_state::unknown,
                           retryAfter};
        return problem{result_code::callOutcomeUnknown,
                       "host " + holder.host + " may have run the call",
                       run_state::unknown,
                       {}};
    }

    /// Waits for the outcome of the attempt that holds the key. Unset when no attempt holds it.
    static asio::awaitable<std::optional<outcome>> awaitHolder(std::shared_ptr<state> self,
                                                               request call)
    {
        while (true) {
            const claim_record *holder = findClaim(self->table, call.key);
            if (holder == nullptr)
                co_return std::nullopt;
            const duplicate_verdict verdict = self->judge(*holder, call);
            const bool shouldStopWaiting
                = self->needs.clock.now() >= call.deadline || !self->isLogAvailable();
            if (verdict != duplicate_verdict::wait || shouldStopWaiting)
                co_return outcomeOf(*holder, verdict);
            co_await self->changed.wait(recheckInterval);
        }
    }

    static asio::awaitable<peer_claim_status> askClaimStatus(std::shared_ptr<state> self,
                                                             std::string host, claim_key key)
    {
        std::string body = encodeKey(key);
        const auto answer = co_await self->needs.mesh.call(host, claimStatusPath, std::move(body),
                                                           claimStatusTimeout);
        if (!answer)
            co_return peer_claim_status{};
        const auto status = decodeClaimStatus(*answer);
        co_return status ? *status : peer_claim_status{};
    }

    /// Makes the error of a call that could not be claimed. Its run state is "not run" only when
    /// all hosts that may have claimed the call confirm that they did not.
    static asio::awaitable<outcome> refuse(std::shared_ptr<state> self, request call)
    {
        std::vector<peer_claim_status> peers;
        const std::set<std::string> hosts = self->mayHaveClaimed;
        for (const std::string &host : hosts) {
            if (host == self->needs.hostName)
                continue;
            const auto status = co_await askClaimStatus(self, host, call.key);
            peers.push_back(status);
            if (!status.isReachable)
                break;
        }
        if (const claim_record *holder = findClaim(self->table, call.key))
            co_return outcomeOf(*holder, self->judge(*holder, call));
        const auto localStatus
            = claimStatusOf(self->table, self->localAttempts, call.key, self->isReady);
        // Without a list of hosts there are no peers to ask, so the run state is unknown.
        const bool isNotRun = !self->members.empty() && isCertainlyUnclaimed(localStatus, peers);
        co_return problem{result_code::logUnavailable, "the call could not be claimed in the log",
                          isNotRun ? run_state::notRun : run_state::unknown, retryAfter};
    }

    /// Waits until the claim of @p attempt is decided, the time limit passes or the log becomes
    /// unavailable. The last two give the same verdict.
    static asio::awaitable<send_verdict> awaitClaim(std::shared_ptr<state> self, request call,
                                                    std::string attempt)
    {
        const instant limit
            = std::min(call.deadline, self->needs.clock.now() + instant::duration(claimTimeout));
        while (true) {
            const instant now = self->needs.clock.now();
            const auto verdict = decideSend(self->localAttempts, self->table, attempt, now, limit);
            if (verdict != send_verdict::wait)
                co_return verdict;
            if (!self->isLogAvailable())
                co_return send_verdict::timedOut;
            co_await self->changed.wait(recheckInterval);
        }
    }

    /// Waits while another request with the same key is active in this process and no claim of the
    /// key has been read.
    static asio::awaitable<void> awaitLocalAttempt(std::shared_ptr<state> self, request call)
    {
        while (hasActiveAttempt(self->localAttempts, call.key) && self->isLogAvailable()
               && findClaim(self->table, call.key) == nullptr
               && self->needs.clock.now() < call.deadline)
            co_await self->changed.wait(recheckInterval);
    }

    static asio::awaitable<outcome> claim(std::shared_ptr<state> self, request call)
    {
        while (true) {
            co_await awaitLocalAttempt(self, call);
            if (auto decided = co_await awaitHolder(self, call))
                co_return std::move(*decided);
            if (!self->isLogAvailable() || self->needs.clock.now() >= call.deadline)
                co_return co_await refuse(self, call);
            if (hasActiveAttempt(self->localAttempts, call.key))
                continue;
            const std::string attempt
                = beginClaim(self->localAttempts, call.key, call.digest, self->needs.clock.wall());
            self->outboxFilled.notifyAll();
            const send_verdict verdict = co_await awaitClaim(self, call, attempt);
            if (verdict == send_verdict::send) {
                self->needs.events.record("claim.won", "", toString(call.key),
                                          {{"attempt", attempt}});
                co_return grant{attempt};
            }
            const bool isHolder = self->holds(call.key, attempt);
            abandon(self->localAttempts, attempt, self->needs.clock.wall());
            self->outboxFilled.notifyAll();
            self->needs.events.record(
                "claim.abandoned", "", toString(call.key),
                {{"attempt", attempt}, {"lost", verdict == send_verdict::lost ? "yes" : "no"}});
            if (isHolder)
                co_return problem{result_code::deadlineUnreachable,
                                  "the deadline passed before the call could be sent",
                                  run_state::notRun, retryAfter};
            if (verdict == send_verdict::timedOut)
                co_return co_await refuse(self, call);
        }
    }

    bool holds(const claim_key &key, const std::string &attempt) const
    {
        const claim_record *holder = findClaim(table, key);
        return holder != nullptr && holder->attempt == attempt;
    }

    static asio::awaitable<result<std::string>> handleStatusRequest(std::shared_ptr<state> self,
                                                                    std::string body)
    {
        const auto key = decodeKey(body);
        if (!key)
            co_return tl::unexpected(key.error());
        co_return encodeClaimStatus(
            claimStatusOf(self->table, self->localAttempts, *key, self->isReady));
    }
};

std::unique_ptr<claim_service> claim_service::makeClaimService(dependencies needs)
{
    auto shared = std::make_shared<state>(std::move(needs));
    state *raw = shared.get();
    shared->follower = log_follower::makeLogFollower(
        {raw->needs.context, raw->needs.log, claimStream, [raw] { return raw->table.next; },
         [raw](const log_page &page) { raw->applyPage(page); },
         [raw](bool isReachable) { raw->recordReachability(isReachable); }});
    std::weak_ptr<state> weakSelf = shared;
    shared->weakSelf = weakSelf;
    raw->needs.mesh.handle(
        claimTablePath, [weakSelf](std::string) -> asio::awaitable<result<std::string>> {
            const auto self = weakSelf.lock();
            if (!self || !self->isReady)
                co_return makeError(result_code::notReady,
                                    "the claim table has not caught up with the log yet");
            co_return dumpClaimTable(self->table);
        });
    raw->needs.mesh.handle(
        claimStatusPath, [weakSelf](std::string body) -> asio::awaitable<result<std::string>> {
            const auto self = weakSelf.lock();
            if (!self)
                co_return makeError(result_code::hostStopping, "the host is stopping");
            co_return co_await state::handleStatusRequest(self, std::move(body));
        });
    return std::unique_ptr<claim_service>(new claim_service(std::move(shared)));
}

claim_service::claim_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

claim_service::~claim_service()
{
    stop();
}

void claim_service::start()
{
    m_state->follower->start();
    asio::co_spawn(m_state->needs.context, state::write(m_state), asio::detached);
}

void claim_service::stop()
{
    m_state->isStopped = true;
    m_state->follower->stop();
    m_state->changed.notifyAll();
    m_state->outboxFilled.notifyAll();
}

void claim_service::setMembers(const std::vector<std::string> &names)
{
    m_state->members = names;
    m_state->mayHaveClaimed.insert(names.begin(), names.end());
}

asio::awaitable<claim_service::outcome> claim_service::claim(request call)
{
    return state::claim(m_state, std::move(call));
}

bool claim_service::mayStillSend(const std::string &attempt, instant deadline) const
{
    const auto found = m_state->localAttempts.attempts.find(attempt);
    return found != m_state->localAttempts.attempts.end()
        && found->second.phase == attempt_phase::sending && m_state->needs.clock.now() < deadline;
}

void claim_service::release(const std::string &attempt)
{
    revertToClaiming(m_state->localAttempts, attempt);
    abandon(m_state->localAttempts, attempt, m_state->needs.clock.wall());
    m_state->outboxFilled.notifyAll();
}

void claim_service::settle(const std::string &attempt, const std::optional<claim_result> &result)
{
    quincefall::settle(m_state->localAttempts, attempt, result, m_state->needs.clock.wall());
    m_state->outboxFilled.notifyAll();
}

bool claim_service::isFlushed() const
{
    return m_state->localAttempts.outbox.empty();
}

claim_result makeClaimResult(int status, std::string_view contentType, std::string_view body)
{
    claim_result stored;
    stored.status = status;
    stored.contentType = isUtf8(contentType) ? std::string(contentType) : std::string();
    stored.isBodyKept = body.size() <= maxStoredBodyBytes && isUtf8(body);
    if (stored.isBodyKept)
        stored.body = std::string(body);
    else
        stored.bodyDigest = sha256Hex(body);
    return stored;
}

} // namespace quincefall
