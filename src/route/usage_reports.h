#pragma once

#include "peer.pb.h"
#include "policy/usage_ledger.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace quincefall {

/// Newest window that has a report in the record; empty if none has.
std::optional<std::int64_t> newestReported(const wire::DutyRecord &record);

/// Prepares the record for the store's @p epoch. If the record may lack reports that the store lost
/// when it came back from an older copy, windows up to @p newestComplete get no further report:
/// what was reported for them is no longer known. Returns whether that is so.
bool applyEpoch(wire::DutyRecord &record, std::uint64_t epoch, std::int64_t newestComplete);

/// Adds the reports that the ledger knows of windows after the newest report and before the
/// record's first window. The platform takes the repeat of a report that it has.
void addKnownReports(wire::DutyRecord &record, const usage_ledger &ledger);

/// The first window for which a report may still be made. Windows up to the newest report have
/// theirs, also if it was dropped since; those before the record's first window may have lost
/// theirs; counts of windows before @p oldestKept are gone. With neither reports nor open counts in
/// the record, no host counted before @p ownFirst.
std::int64_t firstOpenWindow(const wire::DutyRecord &record, std::int64_t ownFirst,
                             std::int64_t oldestKept);

/// Adds the reports of the windows from @p first to @p last to the record, with a count of zero for
/// each of @p organisations without requests. A report in the record never changes, and one that
/// the ledger knows is repeated exactly.
void addReports(wire::DutyRecord &record, const usage_ledger &ledger, std::int64_t first,
                std::int64_t last, std::span<const std::string> organisations);

/// Drops the oldest reports that are acknowledged, and the oldest of all if there are too many.
/// Returns the windows whose reports were dropped unacknowledged.
std::set<std::int64_t> dropOldReports(wire::DutyRecord &record);

/// The report to send next, of windows up to @p newestCommitted; null if there is none. Those that
/// are not overdue come first.
wire::UsageReport *nextReport(wire::DutyRecord &record, std::int64_t newestCommitted,
                              const usage_windows &windows, wall_milliseconds time);

} // namespace quincefall
