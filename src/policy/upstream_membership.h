#pragma once

#include "kernel/clock.h"
#include "policy/store_position.h"
#include "policy/upstream_entry.h"
#include "policy/upstream_notice.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace quincefall {

/// The upstreams that the platform's store lists, as read by this host.
///
/// Guards against outages of the store, in which the entries of live upstreams expire: an upstream
/// whose entry goes missing around an outage stays in use until it has had time to register again.
/// The same holds when the store comes back from an older copy of itself.
struct upstream_membership
{
    struct listing
    {
        upstream_entry entry;
        std::int64_t sequence = 0; ///< Of the entry; starts again with each `started`.
        std::uint64_t changed = 0; ///< Offset after the record that changed it last.
        instant removalDeadline = instant::max(); ///< Of a missing entry; max() otherwise.
    };

    struct removal
    {
        std::uint64_t changed = 0; ///< Offset of the removal.
        std::uint64_t epoch = 0; ///< Of the store when the entry was removed.
        std::int64_t started = 0; ///< Of the last entry.
        std::int64_t sequence = 0; ///< Of the last entry.
    };

    std::map<std::string, listing, std::less<>> listings; ///< By id.
    std::map<std::string, removal, std::less<>> removed; ///< By id.
    upstream_notices notices;
    std::uint64_t removalsKnownFrom = 0; ///< Offset after which `removed` has all removals.
    std::uint64_t epoch = 0; ///< Of the store to which all offsets refer.
    std::uint64_t next = 0; ///< Offset up to which the list is complete.
    instant firstReadAt = instant::min(); ///< First read of the store's whole list.
    /// Last time when entries may have come and gone between two updates.
    instant missedAt = instant::min();
    instant lastFailure = instant::min(); ///< Last failed call to the store.
    instant storeRecoveredAt = instant::min(); ///< First answer after `lastFailure`.
};

/// The position up to which the list is complete.
store_position positionOf(const upstream_membership &membership);

/// Starts a new epoch of the store: offsets known so far are void, and entries that are missing
/// from the store have time to be registered again. False when @p epoch is not newer.
///
/// Entries of upstreams that were removed before are not listed again unless the upstream has
/// registered since: the older copy may contain upstreams that are gone.
bool enterEpoch(upstream_membership &membership, std::uint64_t epoch, instant now);

/// Applies an entry whose record ends at offset @p next, unless the entry listed here is newer.
/// True when more than the sequence changed.
bool applyEntry(upstream_membership &membership, upstream_entry entry, std::int64_t sequence,
                std::uint64_t next);

/// Applies that an entry is missing from the store. True when the upstream is removed at once,
/// false when it is unknown or may still register again.
bool applyMissing(upstream_membership &membership, std::string_view id, std::uint64_t next,
                  instant now);

/// Records that the next update does not have all changes since the last one, if there was one.
void noteMissedEntries(upstream_membership &membership, instant now);

/// Applies a removal by another host, unless the entry changed later. True when it was applied.
bool applyRemoval(upstream_membership &membership, std::string_view id, std::uint64_t changed);

/// The offset up to which the list is complete, for other hosts; 0 while the list may be wrong.
///
/// While an entry is missing but not yet removed, a host that took the list up to the newer offset
/// would never receive the removal, which has an earlier one. Shortly after the first read, entries
/// that expired in an outage of the store may not have been registered again.
std::uint64_t advertisedOffset(const upstream_membership &membership, instant now);

/// Records that the list is complete up to offset @p next.
void advanceOffset(upstream_membership &membership, std::uint64_t next);

/// Records that the list is complete up to offset @p next, but that removals before it are unknown.
void recordWholeList(upstream_membership &membership, std::uint64_t next);

/// Records whether the store answered a call.
void recordStoreContact(upstream_membership &membership, bool answered, instant now);

/// Removes the missing entries whose deadline has passed; returns their number.
std::size_t removeExpired(upstream_membership &membership, instant now);

} // namespace quincefall
