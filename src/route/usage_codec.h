#pragma once

#include "peer.pb.h"
#include "policy/usage_ledger.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace quincefall {

/// The counts of one process in some windows, serialized as messages of limited size.
std::vector<std::string> encodeUsage(const usage_ledger &ledger, const usage_source &source,
                                     const std::set<std::int64_t> &windows);

/// Merges the counts in @p rows, except for windows before @p first. True if the ledger changed.
bool mergeUsage(usage_ledger &ledger,
                const google::protobuf::RepeatedPtrField<wire::UsageCounts> &rows,
                std::int64_t first);

/// Serializes the reports of some windows that the ledger knows.
std::string encodeReports(const usage_ledger &ledger, const std::set<std::int64_t> &windows);

/// Records the reports in @p rows of windows from @p first to @p last. Returns the windows of those
/// that were not known.
std::set<std::int64_t>
mergeReports(usage_ledger &ledger,
             const google::protobuf::RepeatedPtrField<wire::UsageReport> &rows, std::int64_t first,
             std::int64_t last);

/// Replaces the open counts of the record by those of the windows from @p first on.
void storeOpenUsage(wire::DutyRecord &record, const usage_ledger &ledger, std::int64_t first);

} // namespace quincefall
