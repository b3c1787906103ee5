#pragma once

#include "ledger/lease_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quincefall {

/// One process that competes for a lease, and keeps it once it has won.
struct lease_candidate
{
    std::string lease;
    std::string host;
    std::uint64_t incarnation = 0;
    lease_rules rules;
    lease_hold hold;
    lease_watch watch;
    std::map<std::uint64_t, instant> pending; ///< Starts of appends, by operation number.
    std::uint64_t nextOperation = 1;
    std::optional<instant> lastAppend;
    bool wantsToGiveUp = false;
};

/// The record to append now, if any. The append must begin at once: its start counts for the hold.
std::optional<lease_entry> nextLeaseEntry(lease_candidate &self, const lease_table &book,
                                          instant now);

/// Takes in a record that counted, at @p offset.
void handleAppliedRecord(lease_candidate &self, const lease_entry &entry, std::uint64_t offset);

/// Whether the process may act as the holder at @p now.
bool mayAct(const lease_candidate &self, instant now);

/// Stops acting at once; the next record frees the lease.
void giveUp(lease_candidate &self);

} // namespace quincefall
