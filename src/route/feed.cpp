#include "route/feed.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"

#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
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
          clock_source clocks)
        : target(routing)
        , source(std::move(reader))
        , settings(values)
        , clock(std::move(clocks))
        , context(io)
    {
    }

    routing_state &target;
    state_source source;
    options settings;
    clock_source clock;
    asio::io_context &context;
    std::function<void()> changeListener;
    std::function<void(const host_address &)> goneListener;
    bool isStopped = false;
    bool isReachable = true;

    void noteContact(bool answered, const error *failure)
    {
        takeStoreContact(target.membership, answered, clock.now());
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

    static asio::awaitable<void> followDesired(std::shared_ptr<state> self)
    {
        std::optional<std::uint64_t> from;
        milliseconds wait = firstPause;
        while (!self->isStopped) {
            auto page = co_await self->source.desired(from, self->settings.desiredWait);
            const bool isTruncated = !page && page.error().code == result_code::logTruncated;
            self->noteContact(page.has_value() || isTruncated, page ? nullptr : &page.error());
            if (page) {
                from = page->next;
                self->takePage(*page);
                wait = firstPause;
                // Without any desired state a read does not wait for the first.
                if (!self->target.desired)
                    co_await self->pause(firstPause);
                continue;
            }
            if (isTruncated) {
                from.reset();
                continue;
            }
            co_await self->pause(wait);
            wait = nextPause(wait);
        }
    }

    void takePage(const upstream_page &page)
    {
        const instant now = clock.now();
        target.upstreamContact = now;
        std::set<std::string> listed;
        bool isChanged = false;
        for (const upstream_change &change : page.changes) {
            if (change.entry) {
                listed.insert(change.id);
                isChanged = takeEntry(target.membership, *change.entry, change.sequence)
                    || isChanged;
            } else {
                isChanged = takeMissing(target.membership, change.id, now) || isChanged;
            }
        }
        if (page.isSnapshot)
            isChanged = takeUnlisted(listed, now) || isChanged;
        isChanged = dropMissing(target.membership, now) > 0 || isChanged;
        if (isChanged)
            publish();
    }

    bool takeUnlisted(const std::set<std::string> &listed, instant now)
    {
        std::vector<std::string> missing;
        for (const auto &[id, listing] : target.membership.listings) {
            if (!listed.contains(id))
                missing.push_back(id);
        }
        bool isChanged = false;
        for (const std::string &id : missing)
            isChanged = takeMissing(target.membership, id, now) || isChanged;
        return isChanged;
    }

    static asio::awaitable<void> followUpstreams(std::shared_ptr<state> self)
    {
        std::optional<std::uint64_t> from;
        milliseconds wait = firstPause;
        while (!self->isStopped) {
            const auto page = co_await self->source.upstreams(from);
            const bool isTruncated = !page && page.error().code == result_code::logTruncated;
            self->noteContact(page.has_value() || isTruncated, page ? nullptr : &page.error());
            if (page) {
                from = page->next;
                self->takePage(*page);
                wait = firstPause;
                const bool isEmpty = self->target.membership.listings.empty();
                co_await self->pause(isEmpty ? firstPause : self->settings.upstreamInterval);
                continue;
            }
            if (isTruncated) {
                from.reset();
                continue;
            }
            co_await self->pause(wait);
            wait = nextPause(wait);
        }
    }
};

std::unique_ptr<feed> feed::makeFeed(asio::io_context &context, routing_state &target,
                                     state_source source, options settings, clock_source clock)
{
    return std::unique_ptr<feed>(new feed(std::make_shared<state>(
        context, target, std::move(source), settings, std::move(clock))));
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
