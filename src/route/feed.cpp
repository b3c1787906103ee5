#include "route/feed.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"
#include "policy/feed_plan.h"
#include "route/peer_calls.h"

#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds planInterval{100}; // Between looks at what other hosts know.
// Between two questions of a host: at most 500 a second of the whole fleet on each matter.
constexpr milliseconds askIntervalPerHost{2};
constexpr milliseconds firstPause{100}; // After a failed read.
constexpr milliseconds longestPause{500}; // Keeps the return of the store quick to notice.

milliseconds nextPause(milliseconds pause)
{
    return std::min(pause * 2, longestPause);
}

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
    {
    }

    routing_state &target;
    state_source source;
    options settings;
    host_address own;
    clock_source clock;
    asio::io_context &context;
    std::unique_ptr<http_client> client;
    instant upstreamsRead = instant::min();
    std::function<void()> changeListener;
    std::function<void(const host_address &)> goneListener;
    bool isStopped = false;
    bool isReachable = true;

    void noteContact(bool answered, const error *failure)
    {
        recordStoreContact(target.membership, answered, clock.now());
        if (answered == isReachable)
            return;
        isReachable = answered;
        if (answered)
            logInfo("store answers again", {});
        else
            logWarning("store lost", {{"cause", failure->detail}});
    }

    void publish()
    {
        updatePools(target, goneListener);
        if (changeListener)
            changeListener();
    }

    asio::awaitable<void> pause(milliseconds time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asTuple);
    }

    void takePage(desired_page &page)
    {
        target.desiredContact = clock.now();
        if (!page.newest)
            return;
        if (takeDesired(target, std::move(*page.newest), std::move(page.text), clock.now()))
            publish();
    }

    /// The next step asks another host, if one knows as much.
    void noteSilentHost(const host_address &host, const error &cause)
    {
        dropHostHint(target.others, host);
        logWarning("host did not answer", {{"host", toString(host)}, {"cause", cause.detail}});
    }

    milliseconds ageOf(instant contact) const
    {
        return contact == instant::min() ? milliseconds::max()
                                         : std::chrono::floor<milliseconds>(clock.now() - contact);
    }

    feed_view desiredView()
    {
        feed_view view;
        view.revision = target.desired ? target.desired->version : 0;
        view.isStoreReachable = target.isDesiredServed || target.desiredContact == instant::min();
        view.interval = settings.desiredWait;
        view.sinceRead = settings.desiredWait; // A read waits by itself, so the next is always due.
        target.desiredContact
            = std::max(target.desiredContact, latestConfirmation(view, target.others));
        view.age = ageOf(target.desiredContact);
        return view;
    }

    /// One read of the store; false when the next should wait for a while.
    asio::awaitable<bool> readDesired(std::optional<std::uint64_t> &from)
    {
        auto page = co_await source.desired(from, settings.desiredWait);
        const bool isTruncated = !page && page.error().code == result_code::logTruncated;
        target.isDesiredServed = page.has_value() || isTruncated;
        noteContact(target.isDesiredServed, page ? nullptr : &page.error());
        if (isTruncated)
            from.reset();
        if (!page)
            co_return isTruncated;
        from = page->next;
        takePage(*page);
        // Without any desired state a read does not wait for the first.
        co_return target.desired != nullptr;
    }

    milliseconds planPause(const feed_step &step) const
    {
        if (step.action != feed_step::kind::askHost)
            return planInterval;
        return std::max<milliseconds>(planInterval, askIntervalPerHost * target.hosts());
    }

    asio::awaitable<void> askForDesired(host_address host)
    {
        const std::uint64_t known = target.desired ? target.desired->version : 0;
        auto answer = co_await askDesired(*client, host, known);
        if (!answer) {
            noteSilentHost(host, answer.error());
            co_return;
        }
        if (answer->text) {
            auto desired = source.decodeDesired(*answer->text);
            if (!desired) {
                logWarning("desired state of a host ignored",
                           {{"host", toString(host)}, {"cause", desired.error().detail}});
                co_return;
            }
            if (takeDesired(target, std::move(*desired), std::move(*answer->text), clock.now()))
                publish();
        }
        target.desiredContact = std::max(target.desiredContact, clock.now() - answer->age);
    }

    static asio::awaitable<void> followDesired(std::shared_ptr<state> self)
    {
        std::optional<std::uint64_t> from;
        milliseconds wait = firstPause;
        while (!self->isStopped) {
            const feed_step step
                = planFeed(self->desiredView(), self->target.others, self->own, self->clock.now());
            bool isDone = true;
            if (step.action == feed_step::kind::readStore)
                isDone = co_await self->readDesired(from);
            else if (step.action == feed_step::kind::askHost)
                co_await self->askForDesired(step.host);
            wait = isDone ? firstPause : nextPause(wait);
            const bool isReading = step.action == feed_step::kind::readStore && isDone;
            if (!isReading)
                co_await self->pause(isDone ? self->planPause(step) : wait);
        }
    }

    void takePage(const upstream_page &page)
    {
        const instant now = clock.now();
        target.upstreamContact = now;
        if (page.isSnapshot) {
            recordWholeList(target.membership, page.next);
            if (target.membership.firstReadAt == instant::min())
                target.membership.firstReadAt = now;
        } else {
            advanceOffset(target.membership, page.next);
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
            isChanged = takeUnlisted(listed, page.next, now) || isChanged;
        isChanged = removeExpired(target.membership, now) > 0 || isChanged;
        if (isChanged)
            publish();
    }

    bool takeUnlisted(const std::set<std::string> &listed, std::uint64_t next, instant now)
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
        view.revision = target.membership.next;
        view.isStoreReachable = target.isUpstreamServed || target.upstreamContact == instant::min();
        view.interval = settings.upstreamInterval;
        view.sinceRead = ageOf(upstreamsRead);
        if (target.upstreamContact != instant::min())
            target.upstreamContact
                = std::max(target.upstreamContact, latestConfirmation(view, target.others));
        view.age = ageOf(target.upstreamContact);
        return view;
    }

    /// One read of the store; false when the next should wait for a while.
    asio::awaitable<void> readUpstreams(bool &isSnapshotNeeded)
    {
        std::optional<std::uint64_t> from;
        if (!isSnapshotNeeded)
            from = target.membership.next;
        const auto page = co_await source.upstreams(from);
        upstreamsRead = clock.now();
        const bool isTruncated = !page && page.error().code == result_code::logTruncated;
        target.isUpstreamServed = page.has_value() || isTruncated;
        noteContact(target.isUpstreamServed, page ? nullptr : &page.error());
        if (page)
            takePage(*page);
        isSnapshotNeeded = isTruncated || (isSnapshotNeeded && !page);
        if (isTruncated || target.membership.listings.empty())
            upstreamsRead = instant::min(); // The next read is due at once.
    }

    void take(const peer_upstreams &known)
    {
        const bool isChanged = applyChanges(target.membership, known.changes);
        target.upstreamContact = std::max(target.upstreamContact, clock.now() - known.age);
        if (isChanged)
            publish();
    }

    asio::awaitable<void> askForUpstreams(host_address host)
    {
        const auto known = co_await askUpstreams(*client, host, target.membership.next);
        if (known)
            take(*known);
        else
            noteSilentHost(host, known.error());
    }

    static asio::awaitable<void> followUpstreams(std::shared_ptr<state> self)
    {
        bool isSnapshotNeeded = true;
        while (!self->isStopped) {
            const feed_step step = planFeed(self->upstreamsView(), self->target.others, self->own,
                                            self->clock.now());
            if (step.action == feed_step::kind::readStore)
                co_await self->readUpstreams(isSnapshotNeeded);
            else if (step.action == feed_step::kind::askHost)
                co_await self->askForUpstreams(step.host);
            if (removeExpired(self->target.membership, self->clock.now()) > 0)
                self->publish();
            co_await self->pause(self->planPause(step));
        }
    }
};

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

void feed::onGone(std::function<void(const host_address &)> listener)
{
    m_state->goneListener = std::move(listener);
}

void feed::start()
{
    asio::co_spawn(m_state->context, state::followDesired(m_state), asio::detached);
    asio::co_spawn(m_state->context, state::followUpstreams(m_state), asio::detached);
}

void feed::stop()
{
    m_state->isStopped = true;
}

} // namespace quincefall
