#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

enum class lease_action {
    take, ///< Requests a lease that is free or was not renewed in time.
    renew,
    giveUp,
};

/// One record of the stream `leases`.
struct lease_entry
{
    lease_action action = lease_action::take;
    std::string lease;
    std::string holder;
    std::uint64_t incarnation = 0;
    std::string operation; ///< Unique per process; identifies its own record.
    /// The version of the lease as the writer has seen it. A take is ignored if a later record was
    /// applied before it.
    std::uint64_t expectedVersion = 0;
    std::uint64_t fence = 0; ///< The holder's fencing number; ignored for take.
};

std::string encodeLease(const lease_entry &entry);

/// Decodes a record of encodeLease. Unset if the record is invalid.
std::optional<lease_entry> decodeLease(std::string_view text);

/// The state of one lease. It does not depend on clocks: each candidate decides by its own clock
/// when to try to take the lease, and the order of records in the log decides which one gets it.
struct lease_state
{
    std::string holder; ///< Empty if the lease is free.
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0; ///< Offset of the take record plus 1; higher for each new holder.
    std::uint64_t version = 0; ///< Offset of the last applied record plus 1.

    bool operator==(const lease_state &) const = default;
};

/// All leases after the records below `next`. Depends only on the records of the stream `leases`,
/// applied in offset order. After a gap caused by log truncation, the next renewal restores the
/// state.
struct lease_table
{
    std::uint64_t next = 0;
    std::map<std::string, lease_state> leases;
};

/// Applies the record at @p offset, which must be at least table.next. Returns the entry if it
/// changed the lease, unset if it was ignored.
std::optional<lease_entry> applyLeaseRecord(lease_table &table, std::uint64_t offset,
                                            std::string_view record);

/// The state of @p lease. A lease that was never taken has the default state.
lease_state leaseOf(const lease_table &table, const std::string &lease);

/// Timing of a lease, measured on each process's monotonic clock.
struct lease_timing
{
    milliseconds ttl{3000}; ///< From the start of the append of the last renewal.
    milliseconds safetyMargin{500}; ///< The holder stops acting this long before ttl ends.
    milliseconds takeoverMargin{500}; ///< A candidate waits ttl + this after the last change.
    milliseconds renewInterval{1000};
};

/// A process's own hold on a lease.
struct lease_hold
{
    std::uint64_t fence = 0; ///< 0 if the lease is not held.
    instant renewedAt; ///< Start of the last append that took or renewed it.
};

/// A process's observation of when the lease last changed.
struct lease_watch
{
    std::uint64_t version = 0; ///< The version of the lease at that change.
    instant changedAt; ///< When this process saw the change.
    bool hasObserved = false;
};

/// Whether the holder may act at @p now. The holder must check this right before each write.
bool mayAct(const lease_hold &hold, const lease_timing &timing, instant now);

/// Updates @p watch with the state of the lease as seen at @p now.
void watchLease(lease_watch &watch, const lease_state &seen, instant now);

/// Whether a process may try to take the lease: the lease is free, or this process has watched it
/// for ttl + takeoverMargin without a renewal.
bool mayTake(const lease_watch &watch, const lease_state &seen, const lease_timing &timing,
             instant now);

} // namespace quincefall
