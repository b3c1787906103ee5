#include "route/usage_reporter.h"

#include "kernel/asio_headers.h"
#include "route/usage_codec.h"
#include "route/usage_reports.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

using sent_report = std::pair<usage_report, std::uint64_t>; // With its fencing token.

const usage_windows windows;
constexpr std::int64_t firstWindow = 340'000'000;

/// The store's record and the platform's calls, which all hosts of a test share.
struct platform_session
{
    wire::DutyRecord stored;
    std::uint64_t offset = 10;
    std::uint64_t epoch = 1; ///< Of the store.
    std::vector<sent_report> calls;
    std::deque<result_code> answers; ///< Of the next calls; ok when empty.
    std::deque<result_code> commits; ///< Of the next commits; ok when empty.
    bool storesFailedCommits = false;
};

result_code takeNext(std::deque<result_code> &codes)
{
    if (codes.empty())
        return result_code::ok;
    const result_code code = codes.front();
    codes.pop_front();
    return code;
}

/// One host that may hold the duties.
struct host_session
{
    host_session(platform_session &shared, int index, wall_milliseconds wall)
        : platform(shared)
    {
        time.wall = wall;
        usage_counter::options options{{"10.1.0." + std::to_string(index), 7}, windows};
        counter = usage_counter::makeUsageCounter(
            context, routing, makeManualClock(time), options,
            [this](const host_address &, const std::string &bytes) { datagrams.push_back(bytes); });
        usage_reporter::options settings;
        settings.interval = milliseconds(1);
        settings.organisations = [] { return std::vector<std::string>{"a", "idle"}; };
        reporter = usage_reporter::makeUsageReporter(
            context, *counter,
            {[this] { return isHolder; }, [this]() -> wire::DutyRecord & { return record; },
             [this] { return commit(); }, [this] { ++yields; },
             [this](microseconds inTime) { expectedCommit = time.now + inTime; },
             [this] { return platform.epoch; }},
            [this](usage_report report, std::uint64_t fence) {
                return call(std::move(report), fence);
            },
            settings);
        reporter->start();
    }

    platform_session &platform;
    asio::io_context context;
    manual_time time;
    routing_state routing;
    wire::DutyRecord record;
    std::unique_ptr<usage_counter> counter;
    std::unique_ptr<usage_reporter> reporter;
    std::vector<std::string> datagrams;
    bool isHolder = false;
    int yields = 0;
    instant expectedCommit = instant::min();

    void takeOver()
    {
        record = platform.stored;
        isHolder = true;
    }

    asio::awaitable<result<std::uint64_t>> commit()
    {
        const result_code code = takeNext(platform.commits);
        if (code == result_code::ok || platform.storesFailedCommits) {
            platform.stored = record;
            ++platform.offset;
        }
        if (code != result_code::ok)
            co_return makeError(code, "no answer");
        co_return platform.offset;
    }

    asio::awaitable<result<void>> call(usage_report report, std::uint64_t fence)
    {
        platform.calls.emplace_back(std::move(report), fence);
        const result_code code = takeNext(platform.answers);
        if (code != result_code::ok)
            co_return makeError(code, "refused");
        co_return result<void>();
    }

    void count(const std::string &organisation, int requests)
    {
        for (int request = 0; request < requests; ++request)
            counter->countRun(organisation);
    }

    void advance(milliseconds step)
    {
        time.advance(step);
        context.run_for(milliseconds(30));
    }

    void tell(host_session &other) const
    {
        for (const std::string &bytes :
             encodeUsage(counter->ledger(), ownSource(), {firstWindow, firstWindow + 1})) {
            wire::LoadHint message;
            BOOST_TEST_REQUIRE(message.ParseFromString(bytes));
            other.counter->receive(message);
        }
    }

    void tellReports(host_session &other) const
    {
        for (const auto &[window, counts] : counter->ledger().reports) {
            wire::LoadHint message;
            BOOST_TEST_REQUIRE(message.ParseFromString(encodeReports(counter->ledger(), {window})));
            other.counter->receive(message);
        }
    }

    usage_source ownSource() const
    {
        return counter->ledger().windows.begin()->second.begin()->first;
    }
};

constexpr wall_milliseconds startOfWindow = firstWindow * 5'000;

BOOST_AUTO_TEST_SUITE(usage_reporter_tests)

BOOST_AUTO_TEST_CASE(a_window_is_reported_once_with_all_organisations)
{
    platform_session platform;
    host_session host(platform, 1, startOfWindow);
    host.takeOver();
    host.count("a", 3);
    host.count("", 2);
    host.advance(milliseconds(6'900));
    BOOST_TEST(platform.calls.empty());
    host.advance(milliseconds(200));
    host.advance(milliseconds(200));
    BOOST_TEST_REQUIRE(platform.calls.size() == 1U);
    BOOST_TEST(platform.calls[0].first.window == firstWindow);
    BOOST_TEST((platform.calls[0].first.counts == usage_counts{{"a", 3}, {"idle", 0}}));
    BOOST_TEST(platform.calls[0].second == platform.offset);
    BOOST_TEST(host.reporter->numbers().acknowledged == 1U);
}

BOOST_AUTO_TEST_CASE(a_successor_repeats_a_report_exactly)
{
    platform_session platform;
    platform.answers = {result_code::upstreamTimeout};
    host_session first(platform, 1, startOfWindow);
    first.takeOver();
    first.count("a", 3);
    first.advance(milliseconds(7'100));
    BOOST_TEST_REQUIRE(platform.calls.size() == 1U);
    first.isHolder = false;

    host_session second(platform, 2, startOfWindow);
    second.count("a", 5); // Known to nobody when the report was made.
    second.takeOver();
    second.advance(milliseconds(9'000));
    BOOST_TEST_REQUIRE(platform.calls.size() == 2U);
    BOOST_TEST((platform.calls[0].first.counts == platform.calls[1].first.counts));
    BOOST_TEST(platform.calls[1].second > platform.calls[0].second);
}

BOOST_AUTO_TEST_CASE(a_report_that_may_be_stored_never_changes)
{
    platform_session platform;
    platform.commits = {result_code::logUnavailable};
    platform.storesFailedCommits = true;
    host_session first(platform, 1, startOfWindow);
    first.takeOver();
    first.count("a", 3);
    first.time.advance(milliseconds(7'100));
    while (platform.stored.reports_size() == 0)
        first.context.run_one();
    BOOST_TEST(platform.calls.empty()); // Not before a commit is known to be stored.
    wire::LoadHint late;
    wire::UsageCounts &row = *late.add_usage();
    row.set_host("10.1.0.9:7");
    row.set_window(firstWindow);
    (*row.mutable_counts())["a"] = 9;
    first.counter->receive(late);
    first.advance(milliseconds(100));
    BOOST_TEST_REQUIRE(platform.calls.size() == 1U);
    BOOST_TEST((platform.calls[0].first.counts == usage_counts{{"a", 3}, {"idle", 0}}));
}

BOOST_AUTO_TEST_CASE(nothing_is_reported_while_the_store_is_silent)
{
    platform_session platform;
    platform.commits = std::deque<result_code>(100'000, result_code::logUnavailable);
    host_session host(platform, 1, startOfWindow);
    host.takeOver();
    host.count("a", 3);
    host.advance(milliseconds(7'100));
    host.advance(milliseconds(9'000));
    BOOST_TEST(platform.calls.empty());
    BOOST_TEST(host.reporter->numbers().missed.at(std::size_t(usage_obstacle::store)) == 1U);
}

BOOST_AUTO_TEST_CASE(counts_outlive_a_kill_of_all_hosts)
{
    platform_session platform;
    host_session other(platform, 2, startOfWindow);
    {
        host_session holder(platform, 1, startOfWindow);
        holder.takeOver();
        holder.count("a", 3);
        other.count("a", 4);
        other.tell(holder);
        holder.advance(milliseconds(100));
        platform.stored = holder.record; // Stored with a renewal.
    }
    host_session successor(platform, 3, startOfWindow + 8'000);
    successor.takeOver();
    successor.advance(milliseconds(100));
    BOOST_TEST_REQUIRE(!platform.calls.empty());
    BOOST_TEST(platform.calls[0].first.window == firstWindow);
    BOOST_TEST((platform.calls[0].first.counts == usage_counts{{"a", 7}, {"idle", 0}}));
}

BOOST_AUTO_TEST_CASE(counts_after_the_last_renewal_outlive_a_kill_soon_after_the_windows_end)
{
    platform_session platform;
    host_session other(platform, 2, startOfWindow);
    {
        host_session holder(platform, 1, startOfWindow);
        holder.takeOver();
        holder.advance(milliseconds(3'100));
        platform.stored = holder.record; // Stored with a renewal, the last one before the kill.
        holder.count("a", 3);
        other.time.advance(milliseconds(4'900));
        other.count("a", 4);
        holder.advance(milliseconds(1'900));
        other.tell(holder); // The last counts of the window arrive after its end.
        holder.advance(milliseconds(700));
    }
    host_session successor(platform, 3, startOfWindow + 12'000);
    successor.takeOver();
    successor.advance(milliseconds(100));
    BOOST_TEST_REQUIRE(!platform.calls.empty());
    BOOST_TEST(platform.calls[0].first.window == firstWindow);
    BOOST_TEST((platform.calls[0].first.counts == usage_counts{{"a", 7}, {"idle", 0}}));
}

BOOST_AUTO_TEST_CASE(a_report_that_the_store_lost_is_not_made_again)
{
    platform_session platform;
    host_session first(platform, 1, startOfWindow);
    first.takeOver();
    first.count("a", 3);
    first.advance(milliseconds(1'000));
    const wire::DutyRecord copy = first.record;
    first.advance(milliseconds(6'100));
    BOOST_TEST_REQUIRE(platform.calls.size() == 1U);

    platform.stored = copy; // The store comes back from an older copy.
    platform.epoch = 2;
    host_session second(platform, 2, startOfWindow + 7'500);
    second.takeOver();
    second.count("a", 4);
    second.advance(milliseconds(0));
    second.advance(milliseconds(4'700));
    second.advance(milliseconds(200));
    BOOST_TEST_REQUIRE(platform.calls.size() == 2U);
    BOOST_TEST(platform.calls[1].first.window == firstWindow + 1);
    BOOST_TEST((platform.calls[1].first.counts == usage_counts{{"a", 4}, {"idle", 0}}));
}

BOOST_AUTO_TEST_CASE(a_holder_that_stays_changes_no_report_after_the_store_came_back)
{
    platform_session platform;
    host_session host(platform, 1, startOfWindow);
    host.takeOver();
    host.count("a", 3);
    host.advance(milliseconds(1'000));
    const wire::DutyRecord copy = host.record;
    host.advance(milliseconds(6'100));
    BOOST_TEST_REQUIRE(platform.calls.size() == 1U);
    host.record = copy;
    platform.epoch = 2;
    wire::LoadHint late;
    wire::UsageCounts &row = *late.add_usage();
    row.set_host("10.1.0.9:7");
    row.set_window(firstWindow);
    (*row.mutable_counts())["a"] = 9;
    host.counter->receive(late);
    while (host.record.first_usage_window() == 0)
        host.advance(milliseconds(10));
    for (int round = 0; round < 6; ++round)
        host.advance(milliseconds(10));
    for (const auto &[report, fence] : platform.calls)
        BOOST_TEST((report.counts == usage_counts{{"a", 3}, {"idle", 0}}));
    BOOST_TEST(host.record.first_usage_window() == firstWindow + 1);
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_version_keeps_its_windows_open)
{
    wire::DutyRecord record;
    addReports(record, {}, 7, 7, {});
    BOOST_TEST(!applyEpoch(record, 3, 20));
    BOOST_TEST(firstOpenWindow(record, 1, 1) == 8);
    BOOST_TEST(applyEpoch(record, 4, 20));
    BOOST_TEST(firstOpenWindow(record, 1, 1) == 21);
    BOOST_TEST(!applyEpoch(record, 4, 30));
    BOOST_TEST(firstOpenWindow(record, 1, 1) == 21);
}

BOOST_AUTO_TEST_CASE(a_refused_report_is_committed_again_before_it_is_repeated)
{
    platform_session platform;
    platform.answers = {result_code::fencingStale};
    host_session host(platform, 1, startOfWindow);
    host.takeOver();
    host.advance(milliseconds(7'100));
    BOOST_TEST_REQUIRE(platform.calls.size() == 2U);
    BOOST_TEST(host.yields == 1);
    BOOST_TEST(platform.calls[1].second > platform.calls[0].second);
}

BOOST_AUTO_TEST_CASE(a_report_that_the_store_lost_is_repeated_exactly_by_the_next_holder)
{
    platform_session platform;
    host_session first(platform, 1, startOfWindow + 500);
    host_session second(platform, 2, startOfWindow + 500);
    first.count("a", 5);
    second.count("a", 1);
    const wire::DutyRecord copy = platform.stored;
    first.takeOver();
    first.advance(milliseconds(6'600));
    BOOST_TEST_REQUIRE(platform.calls.size() == 1U);
    first.isHolder = false;
    first.tellReports(second);
    platform.stored = copy;
    second.takeOver();
    second.advance(milliseconds(6'600));
    BOOST_TEST_REQUIRE(platform.calls.size() == 2U);
    BOOST_TEST(platform.calls[1].first.window == platform.calls[0].first.window);
    BOOST_TEST(platform.calls[1].first.counts == platform.calls[0].first.counts);
}

BOOST_AUTO_TEST_CASE(a_report_of_a_record_that_was_read_is_known_and_told_to_the_keepers)
{
    platform_session platform;
    host_session host(platform, 1, startOfWindow + 6'000);
    load_hint hint;
    hint.host = {"10.1.0.2", 7};
    applyHint(host.routing.otherHostsLoad, hint, host.time.now);
    host.counter->start();
    host.advance(milliseconds(250));
    host.datagrams.clear();
    wire::DutyRecord record;
    addReports(record, {}, firstWindow, firstWindow, std::vector<std::string>{"a"});
    addReports(record, {}, firstWindow + 9, firstWindow + 9, std::vector<std::string>{"a"});
    host.counter->noteStored(record);
    BOOST_TEST(host.counter->ledger().reports.size() == 1U); // The other window is not over.
    BOOST_TEST_REQUIRE(host.datagrams.size() == 1U);
    wire::LoadHint message;
    BOOST_TEST_REQUIRE(message.ParseFromString(host.datagrams[0]));
    BOOST_TEST(message.usage_reports(0).window() == firstWindow);
    record.mutable_reports(0)->mutable_counts()->at("a") = 7;
    host.counter->noteStored(record);
    BOOST_TEST(host.counter->ledger().reports.at(firstWindow).at("a") == 0U);
}

BOOST_AUTO_TEST_CASE(messages_are_short_and_those_with_many_organisations_are_split)
{
    usage_ledger ledger;
    const usage_source source{{"10.101.100.140", 17'340}, 1'700'000'000'000};
    for (int organisation = 0; organisation < 12; ++organisation)
        mergeCounts(ledger, firstWindow, source, {{"hule9" + std::to_string(organisation), 200}});
    const auto messages = encodeUsage(ledger, source, {firstWindow});
    BOOST_TEST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(messages[0].size() <= 230U);
    for (int organisation = 0; organisation < 3'000; ++organisation)
        mergeCounts(ledger, firstWindow, source, {{"hule9" + std::to_string(organisation), 200}});
    usage_ledger copy;
    for (const std::string &bytes : encodeUsage(ledger, source, {firstWindow})) {
        BOOST_TEST(bytes.size() <= 8'000U);
        wire::LoadHint message;
        BOOST_TEST_REQUIRE(message.ParseFromString(bytes));
        mergeUsage(copy, message.usage(), firstWindow);
    }
    BOOST_TEST((totalOf(copy, firstWindow) == totalOf(ledger, firstWindow)));
}

BOOST_AUTO_TEST_CASE(reports_are_forgotten_only_when_newer_ones_are_acknowledged)
{
    wire::DutyRecord record;
    usage_ledger ledger;
    addReports(record, ledger, 1, 30, {});
    BOOST_TEST((dropOldReports(record) == std::set<std::int64_t>{1, 2, 3, 4, 5, 6}));
    for (wire::UsageReport &report : *record.mutable_reports())
        report.set_acknowledged(true);
    BOOST_TEST(dropOldReports(record).empty());
    BOOST_TEST((newestReported(record) == std::optional<std::int64_t>(30)));
    BOOST_TEST(record.reports_size() == 6);
    BOOST_TEST(firstOpenWindow(record, 3, 4) == 31);
    BOOST_TEST(firstOpenWindow(record, 3, 40) == 40);
}

BOOST_AUTO_TEST_CASE(reports_that_can_still_be_in_time_are_sent_first)
{
    wire::DutyRecord record;
    addReports(record, {}, 1, 5, {});
    const wall_milliseconds time = endOf(windows, 3) + windows.due.count();
    const wire::UsageReport *next = nextReport(record, 4, windows, time);
    BOOST_TEST_REQUIRE(next);
    BOOST_TEST(next->window() == 3);
    BOOST_TEST(!nextReport(record, 0, windows, time));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
