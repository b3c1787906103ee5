#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

enum class lease_action {
    take, ///< Wants the lease that was free or unrenewed.
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
    std::string operation; ///< Unique id, so that the writer knows its record again.
    /// The lease's `last` that the writer has seen. A record written after another one counted
    /// does not count.
    std::uint64_t expected = 0;
    std::uint64_t fence = 0; ///< Of the holder; not used by take.
};

std::string encodeLease(const lease_entry &entry);

/// Reads the text of encodeLease; unset when it is none.
std::optional<lease_entry> decodeLease(std::string_view text);

/// The state of one lease. No clock takes part: when a lease may be taken is the candidates' own
/// matter, and the log decides between them.
struct lease_state
{
    std::string holder; ///< Empty when the lease was given up.
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0; ///< Offset of the take record plus one; grows with each holder.
    std::uint64_t last = 0; ///< Offset of the last record that counted, plus one.

    bool operator==(const lease_state &) const = default;
};

/// All leases after the records below `next`: a pure fold of the stream `leases` by offset. After
/// a gap, which truncation makes, the next renewal brings the state back.
struct lease_table
{
    std::uint64_t next = 0;
    std::map<std::string, lease_state> leases;
};

/// Folds in the record at @p offset, at least book.next. Returns the entry if it counted.
std::optional<lease_entry> applyLeaseRecord(lease_table &book, std::uint64_t offset,
                                            std::string_view record);

/// The state of @p lease; one that nobody has taken is all zero.
lease_state leaseOf(const lease_table &book, const std::string &lease);

/// Fixed times of a lease, all on monotonic clocks.
struct lease_rules
{
    milliseconds ttl{3000}; ///< Counted from the start of the append of the last renewal.
    milliseconds margin{500}; ///< The holder stops this long before the end of ttl.
    milliseconds guard{500}; ///< A candidate waits this long after ttl.
    milliseconds renewInterval{1000};
};

/// What one process knows of its own hold on a lease.
struct lease_hold
{
    std::uint64_t fence = 0; ///< 0: not held.
    instant renewed; ///< Start of the append that last counted.
};

/// What one process has watched of the current holder.
struct lease_watch
{
    std::uint64_t last = 0; ///< Of the state when it changed.
    instant since; ///< When this process saw it change.
    bool hasBegun = false;
};

/// Whether the holder may act at @p now; to be asked right before each write.
bool mayAct(const lease_hold &hold, const lease_rules &rules, instant now);

/// Takes in the state as seen at @p now.
void watchLease(lease_watch &watch, const lease_state &seen, instant now);

/// Whether a process may try to take the lease: it is free, or has not been renewed for ttl and
/// guard while this process watched.
bool mayTake(const lease_watch &watch, const lease_state &seen, const lease_rules &rules,
             instant now);

} // namespace quincefall
