#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace quincefall {

/// Numbers of requests by organisation.
using usage_counts = std::map<std::string, std::uint64_t>;

/// One process of one host.
struct usage_source
{
    host_address host; ///< Peer address.
    std::uint64_t started = 0; ///< Start of the process, Unix time in milliseconds.

    auto operator<=>(const usage_source &) const = default;
};

/// Limits of usage reports, all in true time.
struct usage_windows
{
    milliseconds length{5'000};
    milliseconds due{10'000}; ///< After a window's end.
};

/// Requests that began to run, by window, process and organisation. A process's counts only grow
/// while it runs, so of two copies the larger one is the newer one.
///
/// Answers the load of hosts that are killed under full traffic: counts are copied to other hosts
/// in messages that may be lost, repeated or reordered, and no request is counted twice.
struct usage_ledger
{
    std::map<std::int64_t, std::map<usage_source, usage_counts>> windows;
    std::map<std::int64_t, usage_counts> reports; ///< That may have been sent; they never change.
};

/// Number of the window at the Unix time @p time; the first one began at the start of 1970.
std::int64_t windowAt(const usage_windows &windows, wall_milliseconds time);

/// Unix time at which a window ends.
wall_milliseconds endOf(const usage_windows &windows, std::int64_t window);

/// Newest window whose counts are complete at @p time: those of hosts that run have arrived, and
/// if the host that reports it fails, there is still time for another one.
std::int64_t newestComplete(const usage_windows &windows, wall_milliseconds time);

/// Whether the report of a window is late at @p time.
bool isOverdue(const usage_windows &windows, std::int64_t window, wall_milliseconds time);

/// Counts a request that began to run.
void countRun(usage_ledger &ledger, std::int64_t window, const usage_source &source,
              std::string_view organisation);

/// Merges a copy of the counts of a process. True if the ledger changed.
bool mergeCounts(usage_ledger &ledger, std::int64_t window, const usage_source &source,
                 const usage_counts &copy);

/// Records a report that may have been sent, unless one for its window is known. True if it is new.
bool recordReport(usage_ledger &ledger, std::int64_t window, const usage_counts &counts);

/// Sum over all processes; adds nothing for organisations without requests.
usage_counts totalOf(const usage_ledger &ledger, std::int64_t window);

/// Drops the windows before @p window.
void dropBefore(usage_ledger &ledger, std::int64_t window);

/// Whether a request whose connection was lost without an answer @p waited after it was sent is
/// taken to have begun to run, if its first byte was expected after @p expectedFirstByteMs.
///
/// Answers engines that run requests and lose their answers, many at a time: such requests count,
/// while those that still wait at an engine as it crashes don't.
bool hasLikelyBegun(microseconds waited, double expectedFirstByteMs);

} // namespace quincefall
