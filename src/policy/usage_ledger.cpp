#include "policy/usage_ledger.h"

#include <algorithm>

namespace quincefall {
namespace {

// For the counts of slow hosts and repeated messages to arrive.
constexpr milliseconds maxStragglerTime{2'000};
// Another host needs most of the time until a report is due to notice that its holder failed.
constexpr int stragglerShare = 5;

} // namespace

std::int64_t windowAt(const usage_windows &windows, wall_milliseconds time)
{
    return time / windows.length.count();
}

wall_milliseconds endOf(const usage_windows &windows, std::int64_t window)
{
    return (window + 1) * windows.length.count();
}

std::int64_t newestComplete(const usage_windows &windows, wall_milliseconds time)
{
    const milliseconds wait = std::min(maxStragglerTime, windows.due / stragglerShare);
    return windowAt(windows, time - wait.count()) - 1;
}

bool isOverdue(const usage_windows &windows, std::int64_t window, wall_milliseconds time)
{
    return time > endOf(windows, window) + windows.due.count();
}

void countRun(usage_ledger &ledger, std::int64_t window, const usage_source &source,
              std::string_view organisation)
{
    ++ledger.windows[window][source][std::string(organisation)];
}

bool mergeCounts(usage_ledger &ledger, std::int64_t window, const usage_source &source,
                 const usage_counts &copy)
{
    bool hasChanged = false;
    usage_counts &known = ledger.windows[window][source];
    for (const auto &[organisation, count] : copy) {
        std::uint64_t &value = known[organisation];
        hasChanged = hasChanged || count > value;
        value = std::max(value, count);
    }
    return hasChanged;
}

bool recordReport(usage_ledger &ledger, std::int64_t window, const usage_counts &counts)
{
    return ledger.reports.emplace(window, counts).second;
}

usage_counts totalOf(const usage_ledger &ledger, std::int64_t window)
{
    usage_counts total;
    const auto found = ledger.windows.find(window);
    if (found == ledger.windows.end())
        return total;
    for (const auto &[source, counts] : found->second) {
        for (const auto &[organisation, count] : counts)
            total[organisation] += count;
    }
    return total;
}

void dropBefore(usage_ledger &ledger, std::int64_t window)
{
    ledger.windows.erase(ledger.windows.begin(), ledger.windows.lower_bound(window));
    ledger.reports.erase(ledger.reports.begin(), ledger.reports.lower_bound(window));
}

bool hasLikelyBegun(microseconds waited, double expectedFirstByteMs)
{
    // Work varies by about half around its mean.
    constexpr double minShareOfEstimate = 0.5;
    return toMilliseconds(waited) >= expectedFirstByteMs * minShareOfEstimate;
}

} // namespace quincefall
