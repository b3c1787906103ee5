#include "route/feed.h"

#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/feed_plan.h"
#include "route/peer_calls.h"

#include <cmath>
#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Read interval as a share of the time that a change may take: two reads fall into that time, so
// one of them may fail.
constexpr double readIntervalShare = 0.4;
constexpr milliseconds minReadInterval{200};
constexpr milliseconds planInterval{100}; // Pause between two decisions where to read from.
// The interval between two queries of one host for the upstreams is this times the number of hosts.
// It limits the whole fleet to 500 such queries a second; the list changes with each heartbeat.
constexpr milliseconds minQueryIntervalPerHost{2};
constexpr milliseconds busyHostPause{250}; // A host sends the answers that it allows in this time.
constexpr int maxRedirects = 4; // Of one query, by busy hosts.
constexpr milliseconds firstUpstreamWait{1'000}; // Of one read while the list is empty.
constexpr milliseconds initialRetryDelay{100}; // After a failed read.
constexpr milliseconds maxRetryDelay{500}; // Limits how late the store's recovery is noticed.
// Of reads that a caller waits for. A slow store answers within several hundred milliseconds.
constexpr milliseconds confirmTimeout{500};

milliseconds shareOf(milliseconds time, double share)
{
    return milliseconds(std::llround(toMilliseconds(time) * share));
}

milliseconds nextRetryDelay(milliseconds pause)
{
    return std::min(pause * 2, maxRetryDelay);
}

/// Reads of one list that a caller has asked for.
struct confirming_reads
{
    bool isWanted = false; ///< A read is to begin.
    instant triedFrom = instant::min(); ///< Begin of the last read that has ended.
    instant provenFrom = instant::min(); ///< Begin of the last one that was answered.

    void record(instant begun, bool isAnswered)
    {
        triedFrom = std::max(triedFrom, begun);
        if (isAnswered)
            provenFrom = std::max(provenFrom, begun);
    }
};

} // namespace

struct feed::state
{
    state(asio::io_context &io, routing_state &routing, state_source reader, options values,
          host_address address, clock_source clocks)
        : target(routing)
        , source(std::move(reader))
        , settings(values)
        , own(std::move(address))
        , clock(std::move(clocks))
        , context(io)
        , client(http_client::makeHttpClient(io))
        , upstreamsWanted(io.get_executor())
        , readEnded(io.get_executor())
    {
    }

    routing_state &target;
    state_source source;
    options settings;
    host_address own;
    clock_source clock;
    asio::io_context &context;
    std::unique_ptr<http_client> client;
    async_signal upstreamsWanted;
    async_signal readEnded;
    confirming_reads desiredReads;
    confirming_reads upstreamReads;
    bool isConfirmingDesired = false;
    bool isReadingDesired = false; ///< followDesired() awaits an answer of the store.
    bool hasDesiredNews = false; ///< The last answer of the store had a desired state.
    instant newerDesiredSince = instant::max(); ///< Since when another host has had a newer one.
    std::optional<store_position> desiredFrom; ///< Of the next read of the desired state.
    bool isNewestUnreadable = false; ///< Of the desired states in the store up to `desiredFrom`.
    instant upstreamsReadAt = instant::min();
    std::function<void()> changeListener;
    std::function<void()> storeNewsListener;
    std::function<void(const host_address &)> goneListener;
    counts numbers;
    /// Whether a host without any state tries the store next. Otherwise it tries another host.
    bool triesStoreForDesired = true;
    bool triesStoreForUpstreams = true;
    bool isStopped = false;
    bool isStoreReachable = true;

    void updateStoreReachability(bool answered, const error *failure)
    {
        recordStoreContact(target.membership, answered, clock.now());
        if (answered == isStoreReachable)
            return;
        isStoreReachable = answered;
        if (answered)
            logInfo("store answers again", {});
        else
            logWarning("store lost", {{"cause", failure->detail}});
        if (!answered && changeListener)
            changeListener();
    }

    void publish()
    {
        updatePools(target, goneListener, clock);
        if (changeListener)
            changeListener();
    }

    /// Hosts that start read the whole list of upstreams while it still grows. Only those that go
    /// on reading it tell the others, which a large fleet could not bear from all.
    void publishStoreNews()
    {
        publish();
        const bool isCandidate = !readerCandidates(target.otherHostsLoad, own).empty();
        if (storeNewsListener && isCandidate)
            storeNewsListener();
    }

    asio::awaitable<void> pause(milliseconds time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asTuple);
    }

    /// Whether the newest desired state that the store has is known after @p page. Two reads may
    /// run at once, and the one that began later may end first.
    bool isNewestKnown(const desired_page &page)
    {
        const bool isLatest = !desiredFrom || page.next >= *desiredFrom;
        if (isLatest && (page.newest || page.isNewestUnreadable)) {
            if (page.isNewestUnreadable && !isNewestUnreadable)
                logWarning("newest desired state can't be read",
                           {{"version", std::to_string(desiredVersion())},
                            {"next", std::to_string(page.next.offset)}});
            isNewestUnreadable = page.isNewestUnreadable;
        }
        return page.isWhole && !isNewestUnreadable;
    }

    std::uint64_t desiredVersion() const { return target.desired ? target.desired->version : 0; }

    /// Of a read that began at @p begun. Returns whether the state in force is the newest that the
    /// store has. Records date from before their transfer, which may have taken long.
    bool applyPage(desired_page &page, instant begun)
    {
        const bool isConfirmed = isNewestKnown(page);
        desiredFrom = std::max(desiredFrom, std::optional(page.next));
        const instant readAt = page.newest ? begun : clock.now();
        const instant confirmedAt
            = isConfirmed ? std::max(target.desiredConfirmedAt, readAt) : target.desiredConfirmedAt;
        if (page.newest)
            logInfo("desired state received",
                    {{"source", "store"}, {"bytes", std::to_string(page.text.size())}});
        const bool isNewer = page.newest
            && applyDesired(target,
                            {std::move(*page.newest),
                             std::move(page.text),
                             {},
                             std::move(page.earlier),
                             page.isComplete},
                            clock.now());
        target.desiredConfirmedAt = confirmedAt;
        if (page.isOnlyOne)
            noteNoEarlierState(target.moves);
        if (isNewer)
            publishStoreNews();
        return isConfirmed;
    }

    /// Makes the next step query another host with the same version or offset, if there is one. A
    /// host that refused has only to be left alone for a moment; the hint of one that did not
    /// answer is dropped.
    void recordUnansweredQuery(std::string_view query, const host_address &host, instant started,
                               const error &cause)
    {
        if (cause.code == result_code::peerRejected) {
            recordBusy(host);
            return;
        }
        ++numbers.failed;
        dropHostHint(target.otherHostsLoad, host);
        logWarning("host did not answer",
                   {{"host", toString(host)},
                    {"query", std::string(query)},
                    {"took_ms", millisecondsSince(started)},
                    {"cause", cause.detail}});
    }

    void recordBusy(const host_address &host)
    {
        ++numbers.rejected;
        recordBusyHost(target.otherHostsLoad, host, clock.now() + busyHostPause);
    }

    std::string millisecondsSince(instant started) const
    {
        return std::to_string(std::lround(toMilliseconds(clock.now() - started)));
    }

    milliseconds ageOf(instant since) const
    {
        return since == instant::min() ? milliseconds::max()
                                       : std::chrono::floor<milliseconds>(clock.now() - since);
    }

    feed_view desiredView()
    {
        feed_view view;
        view.revision.offset = target.desired ? target.desired->version : 0;
        view.isStoreReachable
            = target.isDesiredReadAnswered || (!target.desired && triesStoreForDesired);
        view.interval = settings.desiredWait;
        view.hintInterval = hintInterval(target.hostCount());
        view.sinceRead = settings.desiredWait; // Reads are long polls: the next is always due.
        target.desiredConfirmedAt
            = std::max(target.desiredConfirmedAt, latestConfirmation(view, target.otherHostsLoad));
        view.age = ageOf(target.desiredConfirmedAt);
        return view;
    }

    /// Reads the store once, and waits for news for up to @p wait. Returns false when the caller
    /// should pause before the next read.
    asio::awaitable<bool> readDesired(milliseconds wait)
    {
        const instant begun = clock.now();
        auto page = co_await source.desired(desiredFrom, wait);
        triesStoreForDesired = false;
        const bool isTruncated = !page && page.error().code == result_code::logTruncated;
        target.isDesiredReadAnswered = page.has_value() || isTruncated;
        updateStoreReachability(target.isDesiredReadAnswered, page ? nullptr : &page.error());
        if (isTruncated)
            desiredFrom.reset();
        if (!page) {
            desiredReads.record(begun, false);
            co_return isTruncated;
        }
        hasDesiredNews = page->newest.has_value();
        desiredReads.record(begun, applyPage(*page, begun));
        // Reads return at once, without a long poll, until there is a first desired state.
        co_return target.desired != nullptr;
    }

    milliseconds pauseAfterStep(const feed_step &step) const
    {
        if (step.action != feed_step::kind::askHost)
            return planInterval;
        return std::max<milliseconds>(planInterval, minQueryIntervalPerHost * target.hostCount());
    }

    /// Queries @p host and, while hosts are busy, the ones that they name instead.
    asio::awaitable<void> fetchDesiredFrom(host_address host)
    {
        for (int redirect = 0; redirect <= maxRedirects; ++redirect) {
            const std::uint64_t known = target.desired ? target.desired->version : 0;
            const instant started = clock.now();
            triesStoreForDesired = true;
            auto answer = co_await fetchDesired(*client, host, known, own);
            if (!answer) {
                recordUnansweredQuery("desired state", host, started, answer.error());
                co_return;
            }
            if (!answer->askInstead) {
                applyPeerDesired(host, std::move(*answer), started);
                co_return;
            }
            recordBusy(host);
            host = *answer->askInstead;
        }
    }

    void applyPeerDesired(const host_address &host, peer_desired answer, instant started)
    {
        ++numbers.answered;
        // The transfer of the answer may have taken long.
        const instant confirmedAt
            = std::max<instant>(target.desiredConfirmedAt, started - answer.age);
        if (answer.text) {
            numbers.receivedBytes += answer.receivedBytes;
            logInfo("desired state received",
                    {{"source", toString(host)},
                     {"bytes", std::to_string(answer.receivedBytes)},
                     {"took_ms", millisecondsSince(started)}});
            auto desired = source.decodeDesired(*answer.text);
            if (!desired) {
                logWarning("desired state of a host ignored",
                           {{"host", toString(host)}, {"cause", desired.error().detail}});
                return;
            }
            const std::uint64_t inForce = target.desired ? target.desired->version : 0;
            if (applyDesired(target,
                             {std::move(*desired),
                              std::move(*answer.text),
                              std::move(answer.compressed),
                              {},
                              answer.before <= inForce},
                             clock.now()))
                publish();
        }
        target.desiredConfirmedAt = confirmedAt;
    }

    static asio::awaitable<void> followDesired(std::shared_ptr<state> self)
    {
        milliseconds wait = initialRetryDelay;
        while (!self->isStopped) {
            const feed_step step = planFeed(self->desiredView(), self->target.otherHostsLoad,
                                            self->own, self->clock.now());
            bool isDone = true;
            if (step.action == feed_step::kind::readStore) {
                self->isReadingDesired = true;
                // Confirms at once that what the last read brought is the newest.
                const bool isConfirming = std::exchange(self->hasDesiredNews, false);
                isDone = co_await self->readDesired(isConfirming ? milliseconds(0)
                                                                 : self->settings.desiredWait);
                self->isReadingDesired = false;
            } else if (step.action == feed_step::kind::askHost) {
                co_await self->fetchDesiredFrom(step.host);
            }
            wait = isDone ? initialRetryDelay : nextRetryDelay(wait);
            const bool isReading = step.action == feed_step::kind::readStore && isDone;
            if (!isReading)
                co_await self->pause(isDone ? planInterval : wait);
        }
    }

    /// Time for which another host has been known to have a newer desired state.
    milliseconds newerDesiredKnownFor()
    {
        const bool isKnown = newestDesiredVersion(target.otherHostsLoad) > desiredVersion();
        newerDesiredSince = isKnown ? std::min(newerDesiredSince, clock.now()) : instant::max();
        return isKnown ? std::chrono::floor<milliseconds>(clock.now() - newerDesiredSince)
                       : milliseconds(0);
    }

    /// Asks other hosts while a read of the store is under way. A read that makes progress may take
    /// longer than a change may.
    static asio::awaitable<void> askDuringReads(std::shared_ptr<state> self)
    {
        while (!self->isStopped) {
            co_await self->pause(planInterval);
            const milliseconds knownFor = self->newerDesiredKnownFor();
            if (!self->isReadingDesired)
                continue;
            const auto host = hostToAskDuringRead(self->desiredView(), self->target.otherHostsLoad,
                                                  self->own, knownFor, self->clock.now());
            if (host)
                co_await self->fetchDesiredFrom(*host);
        }
    }

    /// A read of its own, since those of followDesired() wait for news.
    static asio::awaitable<void> confirmDesired(std::shared_ptr<state> self)
    {
        while (std::exchange(self->desiredReads.isWanted, false)) {
            co_await self->readDesired(milliseconds(0));
            self->readEnded.notifyAll();
        }
        self->isConfirmingDesired = false;
    }

    static asio::awaitable<bool> confirm(std::shared_ptr<state> self)
    {
        const instant from = self->clock.now();
        const instant end = from + confirmTimeout;
        self->desiredReads.isWanted = true;
        self->upstreamReads.isWanted = true;
        self->upstreamsWanted.notifyAll();
        if (!std::exchange(self->isConfirmingDesired, true))
            startTask(self->context, "confirming read", confirmDesired(self));
        const auto isProven = [from](const auto &reads) { return reads.provenFrom >= from; };
        const auto hasFailed = [&isProven, from](const auto &reads) {
            return !isProven(reads) && reads.triedFrom >= from;
        };
        while (!isProven(self->desiredReads) || !isProven(self->upstreamReads)) {
            const instant now = self->clock.now();
            if (now >= end || hasFailed(self->desiredReads) || hasFailed(self->upstreamReads))
                co_return false;
            co_await self->readEnded.wait(end - now);
        }
        co_return true;
    }

    /// Versions that were listed and removed within one page leave no other trace.
    void noteVersions(const upstream_page &page, instant now)
    {
        if (page.isSnapshot && target.membership.firstReadAt != instant::min())
            noteMissedEntries(target.membership, now);
        for (const upstream_change &change : page.changes) {
            const auto pool
                = change.entry ? target.pools.find(change.entry->service) : target.pools.end();
            if (pool != target.pools.end())
                noteListed(pool->second.versions, change.entry->softwareVersion, now);
        }
    }

    void applyPage(const upstream_page &page)
    {
        const instant now = clock.now();
        noteVersions(page, now);
        target.upstreamsConfirmedAt = now;
        target.storeEpoch = std::max(target.storeEpoch, page.next.epoch);
        const std::uint64_t before = target.membership.epoch;
        if (enterEpoch(target.membership, page.next.epoch, now) && before > 0)
            logWarning(
                "store came back from an older copy",
                {{"epoch", std::to_string(page.next.epoch)}, {"before", std::to_string(before)}});
        if (page.isSnapshot) {
            recordWholeList(target.membership, page.next.offset);
            if (target.membership.firstReadAt == instant::min())
                target.membership.firstReadAt = now;
        } else {
            advanceOffset(target.membership, page.next.offset);
        }
        std::set<std::string> listed;
        bool isChanged = false;
        for (const upstream_change &change : page.changes) {
            if (change.entry) {
                listed.insert(change.id);
                isChanged
                    = applyEntry(target.membership, *change.entry, change.sequence, change.next)
                    || isChanged;
            } else {
                isChanged
                    = applyMissing(target.membership, change.id, change.next, now) || isChanged;
            }
        }
        if (page.isSnapshot)
            isChanged = removeUnlisted(listed, page.next.offset, now) || isChanged;
        isChanged = removeExpired(target.membership, now) > 0 || isChanged;
        if (isChanged)
            publishStoreNews();
    }

    bool removeUnlisted(const std::set<std::string> &listed, std::uint64_t next, instant now)
    {
        std::vector<std::string> missing;
        for (const auto &[id, listing] : target.membership.listings) {
            if (!listed.contains(id))
                missing.push_back(id);
        }
        bool isChanged = false;
        for (const std::string &id : missing)
            isChanged = applyMissing(target.membership, id, next, now) || isChanged;
        return isChanged;
    }

    feed_view upstreamsView()
    {
        feed_view view;
        view.isUpstreamList = true;
        view.revision = positionOf(target.membership);
        view.isStoreReachable = target.isUpstreamsReadAnswered
            || (target.membership.next == 0 && triesStoreForUpstreams);
        view.interval = settings.upstreamInterval;
        view.hintInterval = hintInterval(target.hostCount());
        view.sinceRead = ageOf(upstreamsReadAt);
        if (target.upstreamsConfirmedAt != instant::min())
            target.upstreamsConfirmedAt = std::max(target.upstreamsConfirmedAt,
                                                   latestConfirmation(view, target.otherHostsLoad));
        view.age = ageOf(target.upstreamsConfirmedAt);
        return view;
    }

    /// Reads the store once: the whole list if @p isSnapshotNeeded, else the changes since the last
    /// read. Sets @p isSnapshotNeeded for the next read.
    asio::awaitable<void> readUpstreams(bool &isSnapshotNeeded)
    {
        std::optional<store_position> from;
        if (!isSnapshotNeeded)
            from = positionOf(target.membership);
        // When a fleet starts before its upstreams, all hosts wait for the first one.
        const milliseconds wait
            = target.membership.listings.empty() ? firstUpstreamWait : milliseconds(0);
        const instant begun = clock.now();
        auto page = co_await source.upstreams(from, wait);
        upstreamsReadAt = clock.now();
        triesStoreForUpstreams = false;
        if (page && page->next.epoch < target.membership.epoch)
            page
                = makeError(result_code::logUnavailable,
                            "the answer is of the store's epoch " + std::to_string(page->next.epoch)
                                + ", before " + std::to_string(target.membership.epoch));
        const bool isTruncated = !page && page.error().code == result_code::logTruncated;
        target.isUpstreamsReadAnswered = page.has_value() || isTruncated;
        updateStoreReachability(target.isUpstreamsReadAnswered, page ? nullptr : &page.error());
        upstreamReads.record(begun, page.has_value());
        if (page)
            applyPage(*page);
        readEnded.notifyAll();
        isSnapshotNeeded = isTruncated || (isSnapshotNeeded && !page);
        if (isTruncated || target.membership.listings.empty())
            upstreamsReadAt = instant::min(); // The next read is due at once.
    }

    void applyPeerUpstreams(const peer_upstreams &known)
    {
        const bool isChanged = applyChanges(target.membership, known.changes, clock.now());
        if (known.changes.epoch == target.membership.epoch)
            target.upstreamsConfirmedAt
                = std::max(target.upstreamsConfirmedAt, clock.now() - known.age);
        if (isChanged)
            publish();
    }

    asio::awaitable<void> fetchUpstreamsFrom(host_address host)
    {
        triesStoreForUpstreams = true;
        const instant started = clock.now();
        const auto known
            = co_await fetchUpstreams(*client, host, positionOf(target.membership), own);
        if (!known) {
            recordUnansweredQuery("upstreams", host, started, known.error());
            co_return;
        }
        ++numbers.answered;
        applyPeerUpstreams(*known);
    }

    static asio::awaitable<void> followUpstreams(std::shared_ptr<state> self)
    {
        bool isSnapshotNeeded = true;
        while (!self->isStopped) {
            feed_step step = planFeed(self->upstreamsView(), self->target.otherHostsLoad, self->own,
                                      self->clock.now());
            if (std::exchange(self->upstreamReads.isWanted, false))
                step.action = feed_step::kind::readStore;
            if (step.action == feed_step::kind::readStore)
                co_await self->readUpstreams(isSnapshotNeeded);
            else if (step.action == feed_step::kind::askHost)
                co_await self->fetchUpstreamsFrom(step.host);
            if (removeExpired(self->target.membership, self->clock.now()) > 0)
                self->publish();
            if (!self->upstreamReads.isWanted)
                co_await self->upstreamsWanted.wait(self->pauseAfterStep(step));
        }
    }
};

feed::options feed::optionsFor(milliseconds leaveTime, milliseconds applyTime)
{
    options values;
    values.upstreamInterval = std::max(minReadInterval, shareOf(leaveTime, readIntervalShare));
    // Also the time until a read on a connection that has gone silent is noticed.
    values.desiredWait = std::max(minReadInterval, shareOf(applyTime, readIntervalShare));
    return values;
}

std::unique_ptr<feed> feed::makeFeed(asio::io_context &context, routing_state &target,
                                     state_source source, options settings, const host_address &own,
                                     clock_source clock)
{
    return std::unique_ptr<feed>(new feed(std::make_shared<state>(
        context, target, std::move(source), settings, own, std::move(clock))));
}

feed::feed(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

feed::~feed()
{
    stop();
}

void feed::onChange(std::function<void()> listener)
{
    m_state->changeListener = std::move(listener);
}

void feed::onStoreNews(std::function<void()> listener)
{
    m_state->storeNewsListener = std::move(listener);
}

void feed::onGone(std::function<void(const host_address &)> listener)
{
    m_state->goneListener = std::move(listener);
}

void feed::start()
{
    startService(m_state->context, "desired state",
                 [shared = m_state] { return state::followDesired(shared); });
    startService(m_state->context, "desired state of other hosts",
                 [shared = m_state] { return state::askDuringReads(shared); });
    startService(m_state->context, "upstreams",
                 [shared = m_state] { return state::followUpstreams(shared); });
}

void feed::stop()
{
    m_state->isStopped = true;
}

asio::awaitable<bool> feed::confirm()
{
    co_return co_await state::confirm(m_state);
}

feed::counts feed::numbers() const
{
    return m_state->numbers;
}

} // namespace quincefall
