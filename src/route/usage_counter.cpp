#include "route/usage_counter.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "policy/fleet_clock.h"
#include "policy/keepers.h"
#include "route/usage_codec.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// What a host counted in this time is lost when it is killed.
constexpr milliseconds minSendInterval{250};
// Bounds what one keeper receives in a large fleet to 400 messages a second.
constexpr microseconds sendIntervalPerHost{2'500};
// The last counts of a window are sent again in case that datagrams were lost.
constexpr milliseconds repeatInterval{500};
constexpr std::size_t maxToldReports = 6; // The newest ones; a store's copy is younger than all.
constexpr int maxKeptDues = 6; // Windows are kept for this many times the time until they are due.

/// The other host with the newest fencing token; empty if none tells one.
std::optional<host_address> holderOf(const fleet_load &others)
{
    const auto found = std::max_element(
        others.hosts.begin(), others.hosts.end(), [](const auto &left, const auto &right) {
            return left.second.hint.dutyFence < right.second.hint.dutyFence;
        });
    if (found == others.hosts.end() || found->second.hint.dutyFence == 0)
        return std::nullopt;
    return found->first;
}

} // namespace

struct usage_counter::state
{
    state(asio::io_context &io, routing_state &target, clock_source clocks, options values,
          send_function sender)
        : context(io)
        , timer(io)
        , routing(target)
        , clock(std::move(clocks))
        , settings(std::move(values))
        , send(std::move(sender))
        , source{settings.self, std::uint64_t(clock.wall())}
        , startedAt(clock.now())
    {
        recordWallClock(wallClocks, settings.self, clock.wall(), startedAt);
    }

    asio::io_context &context;
    asio::steady_timer timer;
    routing_state &routing;
    clock_source clock;
    options settings;
    send_function send;
    usage_source source;
    instant startedAt;
    usage_ledger ledger;
    fleet_clock wallClocks;
    std::set<std::int64_t> unsent; ///< Windows whose own counts changed since the last message.
    std::set<std::int64_t> unsentReports; ///< Windows of reports that became known.
    std::set<host_address> receivers;
    instant repeatedAt{};
    bool isStopped = false;

    wall_milliseconds timeAt(instant at) const
    {
        return trueTime(wallClocks, at).value_or(clock.wall());
    }

    wall_milliseconds now() const { return timeAt(clock.now()); }

    std::set<host_address> currentReceivers() const
    {
        const fleet_load &others = routing.otherHostsLoad;
        const auto keepers = keepersOf(dutiesKey, others, settings.self);
        std::set<host_address> hosts(keepers.begin(), keepers.end());
        if (const auto holder = holderOf(others))
            hosts.insert(*holder);
        hosts.erase(settings.self);
        return hosts;
    }

    std::set<std::int64_t> windowsFrom(std::int64_t first) const
    {
        std::set<std::int64_t> windows;
        for (auto row = ledger.windows.lower_bound(first); row != ledger.windows.end(); ++row)
            windows.insert(row->first);
        return windows;
    }

    void sendTo(const std::set<host_address> &hosts, const std::set<std::int64_t> &windows) const
    {
        if (hosts.empty() || windows.empty())
            return;
        for (const std::string &message : encodeUsage(ledger, source, windows)) {
            for (const host_address &host : hosts)
                send(host, message);
        }
    }

    /// A message for each report, since a report can't be split.
    void sendReports(const std::set<host_address> &hosts,
                     const std::set<std::int64_t> &windows) const
    {
        for (const std::int64_t window : windows) {
            const std::string message = encodeReports(ledger, {window});
            for (const host_address &host : hosts)
                send(host, message);
        }
    }

    std::set<std::int64_t> newestReports() const
    {
        std::set<std::int64_t> windows;
        for (auto row = ledger.reports.rbegin();
             row != ledger.reports.rend() && windows.size() < maxToldReports; ++row)
            windows.insert(row->first);
        return windows;
    }

    /// Adds the windows that have ended, but whose counts may still be merged elsewhere.
    void addRepeats()
    {
        const instant at = clock.now();
        if (at - repeatedAt < repeatInterval)
            return;
        repeatedAt = at;
        const wall_milliseconds time = timeAt(at);
        const std::int64_t current = windowAt(settings.windows, time);
        for (std::int64_t window = newestComplete(settings.windows, time) + 1; window < current;
             ++window)
            unsent.insert(window);
        unsentReports.merge(newestReports());
    }

    /// Hosts that became receivers get all counts that may still have to be reported.
    void sendChanges()
    {
        auto next = currentReceivers();
        std::set<host_address> added;
        std::set_difference(next.begin(), next.end(), receivers.begin(), receivers.end(),
                            std::inserter(added, added.end()));
        receivers = std::move(next);
        sendTo(added,
               windowsFrom(windowAt(settings.windows, now() - settings.windows.due.count())));
        sendReports(added, newestReports());
        std::set<host_address> others = receivers;
        for (const host_address &host : added)
            others.erase(host);
        sendTo(others, std::exchange(unsent, {}));
        sendReports(others, std::exchange(unsentReports, {}));
    }

    std::int64_t oldestWindow() const
    {
        const milliseconds kept = settings.windows.due * maxKeptDues;
        return windowAt(settings.windows, now() - kept.count());
    }

    void addReports(const google::protobuf::RepeatedPtrField<wire::UsageReport> &reports)
    {
        unsentReports.merge(
            mergeReports(ledger, reports, oldestWindow(), windowAt(settings.windows, now())));
    }

    void runOnce()
    {
        const instant at = clock.now();
        recordWallClock(wallClocks, settings.self, clock.wall(), at);
        dropOldReadings(wallClocks, at);
        addRepeats();
        sendChanges();
        dropBefore(ledger, oldestWindow());
    }

    microseconds sendInterval() const
    {
        return std::max<microseconds>(minSendInterval, sendIntervalPerHost * routing.hostCount());
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        while (!self->isStopped) {
            self->runOnce();
            self->timer.expires_after(self->sendInterval());
            co_await self->timer.async_wait(asTuple);
        }
    }
};

std::unique_ptr<usage_counter> usage_counter::makeUsageCounter(asio::io_context &context,
                                                               routing_state &target,
                                                               clock_source clock, options settings,
                                                               send_function send)
{
    return std::unique_ptr<usage_counter>(new usage_counter(std::make_shared<usage_counter::state>(
        context, target, std::move(clock), std::move(settings), std::move(send))));
}

usage_counter::usage_counter(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

usage_counter::~usage_counter()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

void usage_counter::start()
{
    startService(m_state->context, "usage counts",
                 [shared = m_state] { return state::run(shared); });
}

void usage_counter::stop()
{
    if (std::exchange(m_state->isStopped, true))
        return;
    m_state->timer.cancel();
    m_state->sendChanges();
}

void usage_counter::countRun(const std::string &organisation)
{
    if (organisation.empty())
        return;
    const std::int64_t window = windowAt(m_state->settings.windows, m_state->now());
    quincefall::countRun(m_state->ledger, window, m_state->source, organisation);
    m_state->unsent.insert(window);
}

void usage_counter::noteWallClock(const host_address &host, wall_milliseconds wall)
{
    recordWallClock(m_state->wallClocks, host, wall, m_state->clock.now());
}

void usage_counter::receive(const wire::LoadHint &message)
{
    mergeUsage(m_state->ledger, message.usage(), m_state->oldestWindow());
    m_state->addReports(message.usage_reports());
}

void usage_counter::noteStored(const wire::DutyRecord &record)
{
    m_state->addReports(record.reports());
    m_state->sendReports(m_state->receivers, std::exchange(m_state->unsentReports, {}));
}

usage_ledger &usage_counter::ledger()
{
    return m_state->ledger;
}

wall_milliseconds usage_counter::now() const
{
    return m_state->now();
}

microseconds usage_counter::sendInterval() const
{
    return m_state->sendInterval();
}

std::int64_t usage_counter::firstWindow() const
{
    const wall_milliseconds time = m_state->timeAt(m_state->startedAt);
    return windowAt(m_state->settings.windows, time);
}

std::int64_t usage_counter::oldestWindow() const
{
    return m_state->oldestWindow();
}

} // namespace quincefall
