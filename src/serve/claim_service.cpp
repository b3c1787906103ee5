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
constexpr const char *knowledgePath = "/claim-known";
constexpr const char *statePath = "/claim-state";
constexpr milliseconds appendInterval{20}; ///< Between the starts of two appends of a host.
constexpr milliseconds appendTimeout{1000};
constexpr milliseconds failurePause{200};
constexpr milliseconds readBackLimit{1000}; ///< Until an acknowledged record is written again.
constexpr milliseconds claimLimit{2000}; ///< Until a claim that is not read back is given up.
constexpr milliseconds knowledgeTimeout{500};
constexpr milliseconds stateTimeout{2000};
constexpr milliseconds patienceMargin{5000};
constexpr milliseconds retryAfter{1000};
constexpr milliseconds waitStep{100};
constexpr std::size_t entriesPerAppend = 64;
constexpr std::size_t keptBodyBytes = 64UL * 1024;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string encodeKnowledge(const peer_claim_status &value)
{
    return json::serialize(json::object{
        {"ready", value.isReady}, {"known", value.hasClaim}, {"active", value.hasAttempt}});
}

result<peer_claim_status> decodeKnowledge(const std::string &text)
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

/// Records are JSON, which holds valid UTF-8 only.
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
        , filled(needs.context.get_executor())
    {
        own.host = needs.hostName;
        own.incarnation = needs.incarnation;
    }

    dependencies needs;
    claim_table book;
    claim_attempts own;
    async_signal changed; ///< The book or the log's reach changed.
    async_signal filled; ///< The outbox has entries.
    std::unique_ptr<log_follower> follower;
    std::vector<std::string> members;
    std::set<std::string> mayHaveClaimed; ///< Hosts listed since the log's tail was last reached.
    std::weak_ptr<state> weak; ///< To itself.
    bool isReady = false;
    bool isAdopting = false;
    bool isStopped = false;

    bool hasLog() const { return isReady && follower->isReachable(); }

    void take(const log_page &page)
    {
        if (page.isTruncated) {
            isReady = false;
            asio::co_spawn(needs.context, adoptState(weak.lock(), page.oldestOffset),
                           asio::detached);
            return;
        }
        for (const log_record &record : page.records) {
            if (record.offset != book.next)
                continue;
            const auto effects = applyClaimRecord(book, record.offset, record.data);
            handleReadBack(own, effects, needs.clock.wall());
        }
        if (book.next >= page.nextOffset) {
            isReady = true;
            mayHaveClaimed = {members.begin(), members.end()};
        }
        changed.notifyAll();
        filled.notifyAll();
    }

    /// Takes a peer's book when the log no longer keeps the records after this one.
    static asio::awaitable<void> adoptState(std::shared_ptr<state> self, std::uint64_t first)
    {
        if (!self || self->isAdopting)
            co_return;
        self->isAdopting = true;
        const std::vector<std::string> hosts = self->members;
        for (const std::string &host : hosts) {
            if (host == self->needs.hostName || self->book.next >= first)
                continue;
            const auto answer
                = co_await self->needs.mesh.call(host, statePath, std::string(), stateTimeout);
            auto newer = answer ? restoreClaimTable(*answer) : result<claim_table>(claim_table());
            if (!newer || newer->next < first || newer->next <= self->book.next)
                continue;
            self->book = std::move(*newer);
            self->needs.events.record("claims.adopted", "", claimStream,
                                      {{"from", host}, {"next", std::to_string(self->book.next)}});
        }
        self->isAdopting = false;
    }

    void noteReach(bool isReachable)
    {
        needs.events.record(isReachable ? "log.reachable" : "log.unreachable", "", claimStream);
        changed.notifyAll();
    }

    static asio::awaitable<void> write(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            const auto batch = nextBatch(self->own, entriesPerAppend);
            if (batch.empty()) {
                co_await self->filled.wait(seconds(1));
                continue;
            }
            const instant begin = self->needs.clock.now();
            std::vector<std::string> records{encodeBatch(batch)};
            const auto appended
                = co_await self->needs.log.append(claimStream, std::move(records), appendTimeout);
            if (appended)
                co_await awaitReadBack(self, *appended);
            const instant next = begin + (appended ? appendInterval : failurePause);
            pause.expires_after(std::max(microseconds(0), next - self->needs.clock.now()));
            co_await pause.async_wait(asTuple);
        }
    }

    /// Entries leave the outbox when they are read back, not when the append is acknowledged.
    static asio::awaitable<void> awaitReadBack(std::shared_ptr<state> self, std::uint64_t offset)
    {
        const instant limit = self->needs.clock.now() + readBackLimit;
        while (self->book.next <= offset && !self->isStopped && self->needs.clock.now() < limit)
            co_await self->changed.wait(waitStep);
    }

    bool isWithinPatience(const claim_record &holder, milliseconds serviceTimeout) const
    {
        const milliseconds age(needs.clock.wall() - holder.wall);
        return age < serviceTimeout + patienceMargin;
    }

    duplicate_verdict judge(const claim_record &holder, const request &wanted) const
    {
        return judgeDuplicate(holder, wanted.digest, needs.isAlive(holder.host, holder.incarnation),
                              isWithinPatience(holder, wanted.serviceTimeout));
    }

    static outcome answerOf(const claim_record &holder, duplicate_verdict verdict)
    {
        if (verdict == duplicate_verdict::keyReused)
            return problem{result_code::idempotencyKeyReused,
                           "the key came with another request before",
                           run_state::notRun,
                           {}};
        if (verdict == duplicate_verdict::replayResult)
            return holder.result;
        if (verdict == duplicate_verdict::wait)
            return problem{result_code::callInProgress, "host " + holder.host + " runs the call",
                           run_state::unknown, retryAfter};
        return problem{result_code::callOutcomeUnknown,
                       "host " + holder.host + " may have run the call",
                       run_state::unknown,
                       {}};
    }

    /// Waits for the outcome of the attempt that holds the key. Unset when the key became free.
    static asio::awaitable<std::optional<outcome>> follow(std::shared_ptr<state> self,
                                                          request wanted)
    {
        while (true) {
            const claim_record *holder = findClaim(self->book, wanted.key);
            if (holder == nullptr)
                co_return std::nullopt;
            const duplicate_verdict verdict = self->judge(*holder, wanted);
            const bool isOver = self->needs.clock.now() >= wanted.deadline || !self->hasLog();
            if (verdict != duplicate_verdict::wait || isOver)
                co_return answerOf(*holder, verdict);
            co_await self->changed.wait(waitStep);
        }
    }

    static asio::awaitable<peer_claim_status> ask(std::shared_ptr<state> self, std::string host,
                                                  claim_key key)
    {
        std::string body = encodeKey(key);
        const auto answer = co_await self->needs.mesh.call(host, knowledgePath, std::move(body),
                                                           knowledgeTimeout);
        if (!answer)
            co_return peer_claim_status{};
        const auto known = decodeKnowledge(*answer);
        co_return known ? *known : peer_claim_status{};
    }

    /// Refuses a call that could not be claimed; "not run" only when every host confirms it.
    static asio::awaitable<outcome> refuse(std::shared_ptr<state> self, request wanted)
    {
        std::vector<peer_claim_status> peers;
        const std::set<std::string> hosts = self->mayHaveClaimed;
        for (const std::string &host : hosts) {
            if (host == self->needs.hostName)
                continue;
            const auto known = co_await ask(self, host, wanted.key);
            peers.push_back(known);
            if (!known.isReachable)
                break;
        }
        if (const claim_record *holder = findClaim(self->book, wanted.key))
            co_return answerOf(*holder, self->judge(*holder, wanted));
        const auto mine = claimStatusOf(self->book, self->own, wanted.key, self->isReady);
        // Without a list of hosts nobody can be asked, and nothing is certain.
        const bool isNotRun = !self->members.empty() && isCertainlyUnclaimed(mine, peers);
        co_return problem{result_code::logUnavailable, "the call could not be claimed in the log",
                          isNotRun ? run_state::notRun : run_state::unknown, retryAfter};
    }

    /// Waits until the claim of @p attempt is read back; false when it will not be waited for.
    static asio::awaitable<send_verdict> awaitClaim(std::shared_ptr<state> self, request wanted,
                                                    std::string attempt)
    {
        const instant limit
            = std::min(wanted.deadline, self->needs.clock.now() + instant::duration(claimLimit));
        while (true) {
            const instant now = self->needs.clock.now();
            const auto verdict = decideSend(self->own, self->book, attempt, now, limit);
            if (verdict != send_verdict::wait)
                co_return verdict;
            if (!self->hasLog())
                co_return send_verdict::timedOut;
            co_await self->changed.wait(waitStep);
        }
    }

    /// Waits for another request of this process with the same key.
    static asio::awaitable<void> awaitOwn(std::shared_ptr<state> self, request wanted)
    {
        while (hasActiveAttempt(self->own, wanted.key) && self->hasLog()
               && findClaim(self->book, wanted.key) == nullptr
               && self->needs.clock.now() < wanted.deadline)
            co_await self->changed.wait(waitStep);
    }

    static asio::awaitable<outcome> claim(std::shared_ptr<state> self, request wanted)
    {
        while (true) {
            co_await awaitOwn(self, wanted);
            if (auto known = co_await follow(self, wanted))
                co_return std::move(*known);
            if (!self->hasLog() || self->needs.clock.now() >= wanted.deadline)
                co_return co_await refuse(self, wanted);
            if (hasActiveAttempt(self->own, wanted.key))
                continue;
            const std::string attempt
                = beginClaim(self->own, wanted.key, wanted.digest, self->needs.clock.wall());
            self->filled.notifyAll();
            const send_verdict verdict = co_await awaitClaim(self, wanted, attempt);
            if (verdict == send_verdict::send) {
                self->needs.events.record("claim.won", "", toString(wanted.key),
                                          {{"attempt", attempt}});
                co_return grant{attempt};
            }
            const bool isHolder = self->holds(wanted.key, attempt);
            abandon(self->own, attempt, self->needs.clock.wall());
            self->filled.notifyAll();
            self->needs.events.record(
                "claim.abandoned", "", toString(wanted.key),
                {{"attempt", attempt}, {"lost", verdict == send_verdict::lost ? "yes" : "no"}});
            if (isHolder)
                co_return problem{result_code::deadlineUnreachable,
                                  "the deadline passed before the call could be sent",
                                  run_state::notRun, retryAfter};
            if (verdict == send_verdict::timedOut)
                co_return co_await refuse(self, wanted);
        }
    }

    bool holds(const claim_key &key, const std::string &attempt) const
    {
        const claim_record *holder = findClaim(book, key);
        return holder != nullptr && holder->attempt == attempt;
    }

    static asio::awaitable<result<std::string>> describe(std::shared_ptr<state> self,
                                                         std::string body)
    {
        const auto key = decodeKey(body);
        if (!key)
            co_return tl::unexpected(key.error());
        co_return encodeKnowledge(claimStatusOf(self->book, self->own, *key, self->isReady));
    }
};

std::unique_ptr<claim_service> claim_service::makeClaimService(dependencies needs)
{
    auto shared = std::make_shared<state>(std::move(needs));
    state *raw = shared.get();
    shared->follower = log_follower::makeLogFollower(
        {raw->needs.context, raw->needs.log, claimStream, [raw] { return raw->book.next; },
         [raw](const log_page &page) { raw->take(page); },
         [raw](bool isReachable) { raw->noteReach(isReachable); }});
    std::weak_ptr<state> weak = shared;
    shared->weak = weak;
    raw->needs.mesh.handle(statePath, [weak](std::string) -> asio::awaitable<result<std::string>> {
        const auto self = weak.lock();
        if (!self || !self->isReady)
            co_return makeError(result_code::notReady, "no book yet");
        co_return dumpClaimTable(self->book);
    });
    raw->needs.mesh.handle(knowledgePath,
                           [weak](std::string body) -> asio::awaitable<result<std::string>> {
                               const auto self = weak.lock();
                               if (!self)
                                   co_return makeError(result_code::hostStopping, "the host stops");
                               co_return co_await state::describe(self, std::move(body));
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
    m_state->filled.notifyAll();
}

void claim_service::noteMembers(const std::vector<std::string> &names)
{
    m_state->members = names;
    m_state->mayHaveClaimed.insert(names.begin(), names.end());
}

asio::awaitable<claim_service::outcome> claim_service::claim(request wanted)
{
    return state::claim(m_state, std::move(wanted));
}

bool claim_service::mayStillSend(const std::string &attempt, instant deadline) const
{
    const auto found = m_state->own.attempts.find(attempt);
    return found != m_state->own.attempts.end() && found->second.phase == attempt_phase::sending
        && m_state->needs.clock.now() < deadline;
}

void claim_service::release(const std::string &attempt)
{
    revertToClaiming(m_state->own, attempt);
    abandon(m_state->own, attempt, m_state->needs.clock.wall());
    m_state->filled.notifyAll();
}

void claim_service::settle(const std::string &attempt, const std::optional<claim_result> &result)
{
    quincefall::settle(m_state->own, attempt, result, m_state->needs.clock.wall());
    m_state->filled.notifyAll();
}

bool claim_service::isFlushed() const
{
    return m_state->own.outbox.empty();
}

claim_result makeClaimResult(int status, std::string_view contentType, std::string_view body)
{
    claim_result kept;
    kept.status = status;
    kept.contentType = isUtf8(contentType) ? std::string(contentType) : std::string();
    kept.isBodyKept = body.size() <= keptBodyBytes && isUtf8(body);
    if (kept.isBodyKept)
        kept.body = std::string(body);
    else
        kept.bodyDigest = sha256Hex(body);
    return kept;
}

} // namespace quincefall
