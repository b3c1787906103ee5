#include "route/duty_holder.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/duty_tenure.h"
#include "policy/keepers.h"

#include <algorithm>
#include <random>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Until the hints of the other hosts arrive, each host would take itself for a keeper, and all
// would read the store.
constexpr milliseconds shortestStart{1'500};
constexpr milliseconds longestStart{6'000};
constexpr milliseconds candidacyInterval{1'000}; // Between two looks whether this host is a keeper.
constexpr milliseconds holderInterval{250}; // Between two looks of the holder at its tenure.
constexpr milliseconds failurePause{400}; // After the store did not answer.
constexpr milliseconds longestRead{20'000};
constexpr milliseconds stopPoll{20};
constexpr int maxStopPolls = 50;
constexpr int maxWrites = 3; // Of one commit.

std::string toText(const std::optional<host_address> &host)
{
    return host ? toString(*host) : std::string();
}

std::optional<host_address> readAddress(const std::string &text)
{
    auto parsed = parseAddress(text);
    return parsed ? std::optional(std::move(*parsed)) : std::nullopt;
}

/// A record that can't be read counts as that of an unknown host.
tenure_record toTenureRecord(const wire::DutyRecord &message)
{
    tenure_record record;
    record.host = readAddress(message.host()).value_or(host_address());
    record.nonce = message.nonce();
    record.predecessor = readAddress(message.predecessor());
    record.isReleased = message.released();
    return record;
}

/// A write of the record for which several callers may wait.
struct commit_round
{
    explicit commit_round(asio::io_context &context)
        : done(context, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer done; ///< Cancelled when `outcome` is known.
    std::optional<result<std::uint64_t>> outcome;
};

} // namespace

struct duty_holder::state : std::enable_shared_from_this<duty_holder::state>
{
    state(asio::io_context &io, routing_state &target, state_source store, clock_source clocks,
          const options &settings)
        : context(io)
        , timer(io)
        , routing(target)
        , source(std::move(store))
        , clock(std::move(clocks))
        , tenure(makeTenure(settings.self, {settings.lease, settings.checksFence}))
        , started(clock.wall())
        , nonces(std::random_device()())
    {
    }

    asio::io_context &context;
    asio::steady_timer timer;
    routing_state &routing;
    state_source source;
    clock_source clock;
    duty_tenure tenure;
    wall_milliseconds started;
    std::mt19937_64 nonces;
    wire::DutyRecord record;
    std::function<void()> takeoverListener;
    std::function<void(const wire::DutyRecord &record)> readListener;
    counts numbers;
    std::shared_ptr<commit_round> nextRound; ///< Not begun yet; null if nobody waits for it.
    bool isWriting = false;
    instant expectedCommit = instant::min();
    bool mustReadNewest = true; ///< The next read can't continue the last one.
    bool isStoreAnswering = true;
    bool isWatched = false; ///< watch() runs.
    bool isStopped = false;

    instant now() const { return clock.now(); }

    asio::awaitable<void> pause(microseconds time)
    {
        timer.expires_after(time);
        co_await timer.async_wait(asTuple);
    }

    void noteStoreAnswer(const error *failure)
    {
        if (failure)
            applyOutage(tenure);
        const bool isAnswering = failure == nullptr;
        if (isAnswering == isStoreAnswering)
            return;
        isStoreAnswering = isAnswering;
        if (isAnswering)
            logInfo("duty record reached again");
        else
            logWarning("duty record not reached", {{"cause", failure->detail}});
    }

    /// Notices suspensions while this host holds the duties, also while a commit waits.
    static asio::awaitable<void> watch(std::shared_ptr<state> self)
    {
        asio::steady_timer interval(self->context);
        while (self->tenure.isHolder && !self->isStopped) {
            noteRunning(self->tenure, self->now());
            interval.expires_after(holderInterval);
            co_await interval.async_wait(asTuple);
        }
        self->isWatched = false;
    }

    /// Logs and counts a change of the tenure since @p wasHolder was read.
    void noteChange(bool wasHolder)
    {
        if (tenure.isHolder == wasHolder)
            return;
        if (!tenure.isHolder) {
            ++numbers.losses;
            logWarning("duties lost",
                       {{"to", tenure.newest ? toString(tenure.newest->host) : "nobody"}});
            return;
        }
        ++numbers.takeovers;
        logInfo("duties taken over",
                {{"fence", std::to_string(fencingToken(tenure.end))},
                 {"from", toText(tenure.newest->predecessor)}});
        if (!std::exchange(isWatched, true))
            startTask(context, "duty watch", watch(shared_from_this()));
        if (takeoverListener)
            takeoverListener();
    }

    void applyPage(const duty_page &page)
    {
        const bool wasHolder = tenure.isHolder;
        const bool isNew = !tenure.hasRead || page.next != tenure.end;
        std::optional<tenure_record> newest;
        wire::DutyRecord found;
        if (page.record) {
            if (!found.ParseFromString(*page.record))
                logWarning("duty record ignored", {{"bytes", std::to_string(page.record->size())}});
            newest = toTenureRecord(found);
            if (isNew && readListener)
                readListener(found);
        }
        applyRead(tenure, newest, page.next, now());
        // A holder's own record is newer than what it stored last.
        if (isNew && !(wasHolder && tenure.isHolder))
            record = std::move(found);
        noteChange(wasHolder);
    }

    asio::awaitable<result<void>> readNewest()
    {
        const auto page = co_await source.duties(std::nullopt, {});
        noteStoreAnswer(page ? nullptr : &page.error());
        if (!page)
            co_return tl::unexpected(page.error());
        mustReadNewest = false;
        applyPage(*page);
        co_return result<void>();
    }

    std::string encode(const tenure_record &written)
    {
        wire::DutyRecord message = record;
        message.set_host(toString(written.host));
        message.set_started_ms(std::uint64_t(started));
        message.set_nonce(written.nonce);
        message.set_predecessor(toText(written.predecessor));
        message.set_released(written.isReleased);
        return message.SerializeAsString();
    }

    /// Sends the record once. After a failure it may be stored all the same.
    asio::awaitable<result<void>> write(tenure_record written)
    {
        const bool wasHolder = tenure.isHolder;
        beginWrite(tenure, written, now());
        const auto end = co_await source.appendDuty(encode(written), tenure.end);
        if (!end)
            co_return tl::unexpected(end.error());
        applyStored(tenure, written, *end, now());
        if (!written.isReleased)
            noteChange(wasHolder);
        co_return result<void>();
    }

    /// Writes until the record is known to be stored, or that another host took over.
    asio::awaitable<result<std::uint64_t>> writeOwn()
    {
        for (int writes = 0; writes < maxWrites && tenure.isHolder; ++writes) {
            const std::uint64_t nonce = nonces();
            const auto written = co_await write(makeRecord(tenure, nonce, false));
            if (!written) {
                if (auto read = co_await readNewest(); !read)
                    co_return makeError(result_code::logUnavailable, read.error().detail);
            }
            // After a suspension the stored record may be an old one.
            const bool isStored = tenure.newest && tenure.newest->nonce == nonce;
            if (tenure.isHolder && isStored && !tenure.needsCommit)
                co_return fencingToken(tenure.end);
        }
        if (!tenure.isHolder)
            co_return makeError(result_code::leaseNotHeld, "another host holds the duties");
        co_return makeError(result_code::logUnavailable, "the duty record was not stored");
    }

    static asio::awaitable<void> runRounds(std::shared_ptr<state> self)
    {
        while (const auto round = std::exchange(self->nextRound, nullptr)) {
            round->outcome = co_await self->writeOwn();
            ++(*round->outcome ? self->numbers.commits : self->numbers.failedCommits);
            round->done.cancel();
        }
        self->isWriting = false;
    }

    /// What callers changed may be too late for a write that has begun, so they wait for the next.
    static asio::awaitable<result<std::uint64_t>> commit(std::shared_ptr<state> self)
    {
        if (!self->tenure.isHolder)
            co_return makeError(result_code::leaseNotHeld, "this host does not hold the duties");
        if (!self->nextRound)
            self->nextRound = std::make_shared<commit_round>(self->context);
        const auto round = self->nextRound;
        if (!self->isWriting) {
            self->isWriting = true;
            startTask(self->context, "duty commit", runRounds(self));
        }
        while (!round->outcome)
            co_await round->done.async_wait(asTuple);
        co_return *round->outcome;
    }

    static asio::awaitable<void> holdOnce(std::shared_ptr<state> self)
    {
        const instant due = renewalDue(self->tenure, self->expectedCommit);
        const bool isDue = self->tenure.needsCommit || self->now() >= due;
        if (!isDue || self->isWriting) {
            co_await self->pause(holderInterval);
            co_return;
        }
        const auto done = co_await commit(self);
        if (!done && done.error().code != result_code::leaseNotHeld)
            co_await self->pause(failurePause);
    }

    asio::awaitable<void> claim()
    {
        const auto written = co_await write(makeRecord(tenure, nonces(), false));
        // Another host was faster, or the answer was lost.
        mustReadNewest = !written;
        if (!written)
            applyOutage(tenure);
    }

    asio::awaitable<void> awaitNext(microseconds untilClaim)
    {
        const auto wait = std::min(
            longestRead,
            std::chrono::ceil<milliseconds>(std::min<microseconds>(untilClaim, longestRead)));
        const instant sentAt = now();
        const auto page = co_await source.duties(tenure.end, wait);
        if (page && page->next != tenure.end)
            applyPage(*page);
        else if (page)
            applySilence(tenure, std::min<microseconds>(wait, now() - sentAt));
        else if (page.error().code == result_code::logTruncated)
            mustReadNewest = true;
        noteStoreAnswer(page || mustReadNewest ? nullptr : &page.error());
        if (!page)
            co_await pause(failurePause);
    }

    asio::awaitable<void> followOnce()
    {
        if (mustReadNewest) {
            if (const auto read = co_await readNewest(); !read)
                co_await pause(failurePause);
            co_return;
        }
        const microseconds untilClaim = timeUntilClaim(tenure, now());
        if (untilClaim > microseconds(0))
            co_await awaitNext(untilClaim);
        else
            co_await claim();
    }

    bool hearsOfMostPeers() const
    {
        return routing.hasReadPeers
            && routing.otherHostsLoad.hosts.size() * 2 >= routing.peers.size();
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        const instant start = self->now();
        co_await self->pause(shortestStart);
        while (!self->isStopped && !self->hearsOfMostPeers() && self->now() - start < longestStart)
            co_await self->pause(holderInterval);
        while (!self->isStopped) {
            if (self->tenure.isHolder) {
                co_await holdOnce(self);
            } else if (isKeeper(dutiesKey, self->routing.otherHostsLoad, self->tenure.self)) {
                co_await self->followOnce();
            } else {
                self->mustReadNewest = true;
                self->tenure.silence = microseconds(0);
                co_await self->pause(candidacyInterval);
            }
        }
    }

    static asio::awaitable<void> release(std::shared_ptr<state> self)
    {
        self->isStopped = true;
        self->timer.cancel();
        asio::steady_timer poll(self->context);
        for (int polls = 0; polls < maxStopPolls && self->isWriting; ++polls) {
            poll.expires_after(stopPoll);
            co_await poll.async_wait(asTuple);
        }
        if (!self->tenure.isHolder)
            co_return;
        const auto done = co_await self->write(makeRecord(self->tenure, self->nonces(), true));
        endTenure(self->tenure, self->now());
        logInfo("duties released", {{"stored", done ? "yes" : done.error().detail}});
    }
};

std::unique_ptr<duty_holder> duty_holder::makeDutyHolder(asio::io_context &context,
                                                         routing_state &state, state_source source,
                                                         clock_source clock, options settings)
{
    return std::unique_ptr<duty_holder>(new duty_holder(std::make_shared<duty_holder::state>(
        context, state, std::move(source), std::move(clock), settings)));
}

duty_holder::duty_holder(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

duty_holder::~duty_holder()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

void duty_holder::start()
{
    startService(m_state->context, "duty holder",
                 [shared = m_state] { return state::run(shared); });
}

asio::awaitable<void> duty_holder::stop()
{
    co_await state::release(m_state);
}

bool duty_holder::isHolder() const
{
    return !m_state->isStopped && mayAct(m_state->tenure, m_state->now());
}

wire::DutyRecord &duty_holder::record()
{
    return m_state->record;
}

asio::awaitable<result<std::uint64_t>> duty_holder::commit()
{
    auto done = co_await state::commit(m_state);
    co_return done;
}

void duty_holder::expectCommit(microseconds time)
{
    m_state->expectedCommit = m_state->now() + time;
}

void duty_holder::onTakeover(std::function<void()> listener)
{
    m_state->takeoverListener = std::move(listener);
}

void duty_holder::onRead(std::function<void(const wire::DutyRecord &record)> listener)
{
    m_state->readListener = std::move(listener);
}

void duty_holder::yield()
{
    ++m_state->numbers.refusals;
    m_state->tenure.needsCommit = true;
}

std::uint64_t duty_holder::storeEpoch() const
{
    return m_state->tenure.end.epoch;
}

std::uint64_t duty_holder::fence() const
{
    return m_state->tenure.isHolder ? fencingToken(m_state->tenure.end) : 0;
}

duty_holder::counts duty_holder::numbers() const
{
    return m_state->numbers;
}

} // namespace quincefall
