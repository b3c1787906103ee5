#pragma once

#include "ledger/lease_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quincefall {

/// A process that tries to take a lease and renews it while it holds it.
struct lease_candidate
{
    std::string lease;
    std::string host;
    std::uint64_t incarnation = 0;
    lease_timing timing;
    lease_hold hold;
    lease_watch watch;
    std::map<std::uint64_t, instant> pendingAppends; ///< Start times, by operation number.
    std::uint64_t nextOperation = 1;
    std::optional<instant> lastAppend;
    bool isGivingUp = false;
};

/// The entry to append now, if any. The append must start at @p now, because the ttl of the hold is
/// measured from there.
std::optional<lease_entry> nextLeaseEntry(lease_candidate &self, const lease_table &table,
                                          instant now);

/// Updates the hold after @p entry was applied at @p offset by applyLeaseRecord.
void handleAppliedRecord(lease_candidate &self, const lease_entry &entry, std::uint64_t offset);

/// Whether the process may act as the holder at @p now.
bool mayAct(const lease_candidate &self, instant now);

/// Stops acting as the holder at once; the next entry frees the lease.
void giveUp(lease_candidate &self);

} // namespace quincefall
