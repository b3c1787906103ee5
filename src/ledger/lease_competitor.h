#pragma once

#include "ledger/lease_book.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quincefall {

/// One process that competes for a lease, and keeps it once it has won.
struct lease_competitor
{
    std::string lease;
    std::string host;
    std::uint64_t incarnation = 0;
    lease_rules rules;
    lease_tenure tenure;
    lease_watch watch;
    std::map<std::uint64_t, instant> pending; ///< Starts of appends, by operation number.
    std::uint64_t nextOperation = 1;
    std::optional<instant> lastAppend;
    bool wantsToGiveUp = false;
};

/// The record to append now, if any. The append must begin at once: its start counts for the hold.
std::optional<lease_entry> nextLeaseEntry(lease_competitor &self, const lease_book &book,
                                          instant now);

/// Takes in a record that counted, at @p offset.
void noteCounted(lease_competitor &self, const lease_entry &entry, std::uint64_t offset);

/// Whether the process may act as the holder at @p now.
bool mayAct(const lease_competitor &self, instant now);

/// Stops acting at once; the next record frees the lease.
void giveUp(lease_competitor &self);

} // namespace quincefall
