#include "route/usage_reporter.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "route/usage_codec.h"
#include "route/usage_reports.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds rateLimitPause{1'000};
constexpr milliseconds failurePause{500};
constexpr double callShare = 0.2; // Of the calls that the platform takes, at most.
constexpr milliseconds maxTransit{100}; // Of the last counts of a window, mostly.
constexpr std::int64_t noWindow = std::numeric_limits<std::int64_t>::min();

usage_obstacle obstacleOf(result_code code)
{
    switch (code) {
    case result_code::fencingStale:
        return usage_obstacle::fence;
    case result_code::dutyRateLimited:
        return usage_obstacle::rate;
    default:
        return usage_obstacle::platform;
    }
}

usage_report toReport(const wire::UsageReport &stored)
{
    return {stored.window(), {stored.counts().begin(), stored.counts().end()}};
}

} // namespace

std::string_view toString(usage_obstacle obstacle)
{
    switch (obstacle) {
    case usage_obstacle::none:
        return "no-holder";
    case usage_obstacle::store:
        return "store";
    case usage_obstacle::fence:
        return "fence";
    case usage_obstacle::rate:
        return "rate";
    case usage_obstacle::platform:
        break;
    }
    return "platform";
}

held_duties dutiesOf(duty_holder &holder)
{
    return {[&holder] { return holder.isHolder(); },
            [&holder]() -> wire::DutyRecord & { return holder.record(); },
            [&holder] { return holder.commit(); },
            [&holder] { holder.yield(); },
            [&holder](microseconds time) { holder.expectCommit(time); },
            [&holder] { return holder.storeEpoch(); }};
}

struct usage_reporter::state
{
    state(asio::io_context &io, usage_counter &counts, held_duties held, report_function call,
          options values)
        : context(io)
        , timer(io)
        , counter(counts)
        , duties(std::move(held))
        , report(std::move(call))
        , settings(std::move(values))
    {
    }

    asio::io_context &context;
    asio::steady_timer timer;
    usage_counter &counter;
    held_duties duties;
    report_function report;
    options settings;
    counts numbers;
    bool wasHolder = false;
    std::uint64_t fence = 0; ///< Of the last commit.
    /// Newest window whose report is known to be stored. Reports that this tenure did not commit
    /// itself count only after its first commit: the record may have changed since it was read.
    std::int64_t newestCommitted = noWindow;
    std::int64_t newestCounted = noWindow; ///< Newest window of which the record has all counts.
    std::int64_t newestStored = noWindow; ///< The same of the record that the store has.
    usage_obstacle obstacle = usage_obstacle::none; ///< Last one; none after a success.
    std::string obstacleDetail;
    std::set<std::int64_t> missed; ///< Windows that were logged as missed.
    bool isStopped = false;

    asio::awaitable<void> pause(microseconds time)
    {
        timer.expires_after(time);
        co_await timer.async_wait(asTuple);
    }

    bool isActive() const { return !isStopped && duties.isHolder(); }

    void noteObstacle(usage_obstacle seen, const std::string &detail)
    {
        obstacle = seen;
        obstacleDetail = detail;
    }

    void beginTenure()
    {
        newestCommitted = noWindow;
        newestStored = noWindow;
        obstacle = usage_obstacle::none;
        obstacleDetail.clear();
        mergeUsage(counter.ledger(), duties.record().open_usage(), counter.oldestWindow());
    }

    std::int64_t firstOpen() const
    {
        return firstOpenWindow(duties.record(), counter.firstWindow(), counter.oldestWindow());
    }

    /// Nothing of the record counts as stored after the store came back from an older copy.
    void updateEpoch(wire::DutyRecord &record)
    {
        const std::int64_t last = newestComplete(settings.windows, counter.now());
        if (!applyEpoch(record, duties.storeEpoch(), last))
            return;
        addKnownReports(record, counter.ledger());
        newestCommitted = noWindow;
        newestStored = noWindow;
        logInfo("usage reports begin in a new epoch of the store",
                {{"epoch", std::to_string(record.usage_epoch())},
                 {"first_window", std::to_string(record.first_usage_window())}});
    }

    /// Brings the record up to date. Reports of windows that have ended are made from all counts
    /// that arrived; from then on they don't change, since a failed commit may have stored them.
    void updateRecord()
    {
        wire::DutyRecord &record = duties.record();
        updateEpoch(record);
        const std::int64_t last = newestComplete(settings.windows, counter.now());
        noteSkipped(record);
        addReports(record, counter.ledger(), firstOpen(), last, settings.organisations());
        for (const std::int64_t window : dropOldReports(record))
            noteMissed(window);
        storeOpenUsage(record, counter.ledger(), firstOpen());
        newestCounted = windowAt(settings.windows, counter.now() - countingTime().count()) - 1;
    }

    /// Time after a window's end in which its last counts arrive.
    milliseconds countingTime() const
    {
        return std::chrono::ceil<milliseconds>(counter.sendInterval()) + maxTransit;
    }

    /// Announces the commit after the current window's end. One look may be late by another.
    void expectCommit() const
    {
        const milliseconds counting = countingTime();
        const wall_milliseconds now = counter.now();
        const std::int64_t window = windowAt(settings.windows, now - counting.count());
        const milliseconds untilEnd(endOf(settings.windows, window) - now);
        duties.expectCommit(untilEnd + counting + 2 * settings.interval);
    }

    /// Windows whose counts were dropped before a host could report them.
    void noteSkipped(const wire::DutyRecord &record)
    {
        const auto newest = newestReported(record);
        if (!newest)
            return;
        const std::int64_t first = std::max<std::int64_t>(*newest + 1, record.first_usage_window());
        const std::int64_t skipped = firstOpen() - first;
        if (skipped <= 0)
            return;
        numbers.missed.at(std::size_t(obstacle)) += std::uint64_t(skipped);
        logWarning("usage not reported",
                   {{"first_window", std::to_string(first)},
                    {"windows", std::to_string(skipped)},
                    {"reason", std::string(toString(obstacle))},
                    {"detail", obstacleDetail}});
    }

    void noteMissed(std::int64_t window)
    {
        if (!missed.insert(window).second)
            return;
        ++numbers.missed.at(std::size_t(obstacle));
        logWarning("usage report missed",
                   {{"window", std::to_string(window)},
                    {"reason", std::string(toString(obstacle))},
                    {"detail", obstacleDetail}});
    }

    void noteOverdue()
    {
        for (const wire::UsageReport &stored : duties.record().reports()) {
            if (!stored.acknowledged()
                && isOverdue(settings.windows, stored.window(), counter.now()))
                noteMissed(stored.window());
        }
        missed.erase(missed.begin(), missed.lower_bound(counter.oldestWindow()));
    }

    asio::awaitable<void> commitReports()
    {
        const std::int64_t newest = newestReported(duties.record()).value_or(noWindow);
        if (newest <= newestCommitted)
            co_return;
        const std::int64_t counted = newestCounted;
        const auto stored = co_await duties.commit();
        if (!stored) {
            noteObstacle(usage_obstacle::store, stored.error().detail);
            co_return;
        }
        fence = *stored;
        newestCommitted = newest;
        newestStored = counted;
        counter.noteStored(duties.record());
    }

    /// Stores the counts of a window once they are complete. Until its report is stored, the
    /// holder and all of those that have the counts may be killed, and renewals may come before
    /// the window's end and after its report.
    asio::awaitable<void> commitCounts()
    {
        const std::int64_t counted = newestCounted;
        if (counted <= newestStored || counted < firstOpen())
            co_return;
        const auto stored = co_await duties.commit();
        if (!stored)
            co_return; // The next look tries again.
        fence = *stored;
        newestStored = counted;
    }

    void noteAnswer(std::int64_t window, const result<void> &answer)
    {
        if (!answer) {
            ++numbers.failedCalls;
            noteObstacle(obstacleOf(answer.error().code), answer.error().detail);
            return;
        }
        // The record may have been replaced during the call.
        for (wire::UsageReport &stored : *duties.record().mutable_reports()) {
            if (stored.window() == window)
                stored.set_acknowledged(true);
        }
        ++numbers.acknowledged;
        noteObstacle(usage_obstacle::none, "");
    }

    microseconds callPause() const
    {
        return std::max<microseconds>(
            settings.interval,
            microseconds(std::int64_t(1e6 / (settings.callsPerSecond * callShare))));
    }

    asio::awaitable<void> sendReports()
    {
        while (isActive()) {
            const wire::UsageReport *next
                = nextReport(duties.record(), newestCommitted, settings.windows, counter.now());
            if (!next)
                co_return;
            const usage_report content = toReport(*next);
            const auto answer = co_await report(content, fence);
            noteAnswer(content.window, answer);
            if (!answer && answer.error().code == result_code::fencingStale) {
                newestCommitted = noWindow; // The next call needs a newer fencing token.
                duties.yield();
                co_return;
            }
            if (!answer) {
                const bool isLimited = answer.error().code == result_code::dutyRateLimited;
                co_await pause(isLimited ? rateLimitPause : failurePause);
                co_return;
            }
            co_await pause(callPause());
        }
    }

    asio::awaitable<void> runOnce()
    {
        const bool isHolder = isActive();
        if (isHolder && !wasHolder)
            beginTenure();
        wasHolder = isHolder;
        if (!isHolder)
            co_return;
        updateRecord();
        noteOverdue();
        expectCommit();
        co_await commitReports();
        co_await commitCounts();
        co_await sendReports();
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        while (!self->isStopped) {
            co_await self->runOnce();
            co_await self->pause(self->settings.interval);
        }
    }
};

std::unique_ptr<usage_reporter>
usage_reporter::makeUsageReporter(asio::io_context &context, usage_counter &counter,
                                  held_duties duties, report_function report, options settings)
{
    return std::unique_ptr<usage_reporter>(
        new usage_reporter(std::make_shared<usage_reporter::state>(
            context, counter, std::move(duties), std::move(report), std::move(settings))));
}

usage_reporter::usage_reporter(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

usage_reporter::~usage_reporter()
{
    stop();
}

void usage_reporter::start()
{
    startService(m_state->context, "usage reports",
                 [shared = m_state] { return state::run(shared); });
}

void usage_reporter::stop()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

usage_reporter::counts usage_reporter::numbers() const
{
    return m_state->numbers;
}

} // namespace quincefall
