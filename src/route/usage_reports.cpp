#include "route/usage_reports.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr int maxAcknowledgedReports = 6;
constexpr int maxReports = 24;

int countAcknowledged(const wire::DutyRecord &record)
{
    return int(
        std::count_if(record.reports().begin(), record.reports().end(),
                      [](const wire::UsageReport &report) { return report.acknowledged(); }));
}

auto findOldest(wire::DutyRecord &record, bool onlyAcknowledged)
{
    auto &reports = *record.mutable_reports();
    return std::min_element(reports.begin(), reports.end(),
                            [onlyAcknowledged](const auto &left, const auto &right) {
                                if (onlyAcknowledged && left.acknowledged() != right.acknowledged())
                                    return left.acknowledged();
                                return left.window() < right.window();
                            });
}

} // namespace

std::optional<std::int64_t> newestReported(const wire::DutyRecord &record)
{
    std::optional<std::int64_t> newest;
    for (const wire::UsageReport &report : record.reports())
        newest = std::max(newest, std::optional(report.window()));
    return newest;
}

bool applyEpoch(wire::DutyRecord &record, std::uint64_t epoch, std::int64_t newestComplete)
{
    // The first record of all names no epoch, nor do those of earlier versions.
    const bool isKnown = !record.has_usage_epoch() || record.usage_epoch() == epoch;
    record.set_usage_epoch(epoch);
    if (isKnown)
        return false;
    record.set_first_usage_window(record.has_first_usage_window() ? std::max<std::int64_t>(
                                      record.first_usage_window(), newestComplete + 1)
                                                                  : newestComplete + 1);
    return true;
}

void addKnownReports(wire::DutyRecord &record, const usage_ledger &ledger)
{
    const auto newest = newestReported(record);
    for (const auto &[window, counts] : ledger.reports) {
        if ((newest && window <= *newest) || window >= record.first_usage_window())
            continue;
        wire::UsageReport &report = *record.add_reports();
        report.set_window(window);
        report.mutable_counts()->insert(counts.begin(), counts.end());
    }
}

std::int64_t firstOpenWindow(const wire::DutyRecord &record, std::int64_t ownFirst,
                             std::int64_t oldestKept)
{
    std::int64_t first = ownFirst;
    if (const auto newest = newestReported(record)) {
        first = *newest + 1;
    } else {
        for (const wire::UsageCounts &row : record.open_usage())
            first = std::min(first, row.window());
    }
    if (record.has_first_usage_window())
        first = std::max<std::int64_t>(first, record.first_usage_window());
    return std::max(first, oldestKept);
}

void addReports(wire::DutyRecord &record, const usage_ledger &ledger, std::int64_t first,
                std::int64_t last, std::span<const std::string> organisations)
{
    for (std::int64_t window = first; window <= last; ++window) {
        wire::UsageReport &report = *record.add_reports();
        report.set_window(window);
        auto &counts = *report.mutable_counts();
        // The store may have lost the record with a report that was sent.
        if (const auto known = ledger.reports.find(window); known != ledger.reports.end()) {
            counts.insert(known->second.begin(), known->second.end());
            continue;
        }
        for (const std::string &organisation : organisations)
            counts[organisation] = 0;
        for (const auto &[organisation, count] : totalOf(ledger, window))
            counts[organisation] = count;
    }
}

std::set<std::int64_t> dropOldReports(wire::DutyRecord &record)
{
    std::set<std::int64_t> unacknowledged;
    for (int excess = countAcknowledged(record) - maxAcknowledgedReports; excess > 0; --excess)
        record.mutable_reports()->erase(findOldest(record, true));
    while (record.reports_size() > maxReports) {
        const auto oldest = findOldest(record, false);
        if (!oldest->acknowledged())
            unacknowledged.insert(oldest->window());
        record.mutable_reports()->erase(oldest);
    }
    return unacknowledged;
}

wire::UsageReport *nextReport(wire::DutyRecord &record, std::int64_t newestCommitted,
                              const usage_windows &windows, wall_milliseconds time)
{
    wire::UsageReport *next = nullptr;
    const auto rank = [&windows, time](const wire::UsageReport &report) {
        return std::pair(isOverdue(windows, report.window(), time), report.window());
    };
    for (wire::UsageReport &report : *record.mutable_reports()) {
        if (report.acknowledged() || report.window() > newestCommitted)
            continue;
        if (!next || rank(report) < rank(*next))
            next = &report;
    }
    return next;
}

} // namespace quincefall
