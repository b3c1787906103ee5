#pragma once

#include "kernel/clock.h"
#include "policy/routed_upstream.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace quincefall {

/// The upstreams that the platform's store lists, as this host reads them.
///
/// Answers outages of the store in which entries of live upstreams lapse: an upstream that went
/// missing around an outage stays in use until it has had the time to register again.
struct upstream_membership
{
    struct listing
    {
        upstream_entry entry;
        std::int64_t sequence = 0; ///< Of the entry; starts anew with `started`.
        std::uint64_t changed = 0; ///< Offset after the record that changed it last.
        instant removalDeadline = instant::max(); ///< When a missing entry is given up.
    };

    std::map<std::string, listing, std::less<>> listings; ///< By id.
    std::map<std::string, std::uint64_t, std::less<>> removed; ///< Change offset, by id.
    std::uint64_t removalsKnownFrom = 0; ///< Offset after which `removed` has all removals.
    std::uint64_t next = 0; ///< Offset up to which the list is known.
    instant firstReadAt = instant::min(); ///< First read of the store's whole list.
    instant lastFailure = instant::min(); ///< Of a call to the store.
    instant storeRecoveredAt = instant::min(); ///< First answer after that failure.
};

/// Takes in an entry whose record ends at offset @p next. True when it changes more than the
/// sequence.
bool applyEntry(upstream_membership &membership, upstream_entry entry, std::int64_t sequence,
                std::uint64_t next);

/// Takes in that an entry is missing from the store. True when the upstream is gone at once.
bool applyMissing(upstream_membership &membership, std::string_view id, std::uint64_t next,
                  instant now);

/// Takes in that another host has given up an upstream. True when it was listed here.
bool applyRemoval(upstream_membership &membership, std::string_view id, std::uint64_t changed);

/// The offset up to which the list is known, to tell other hosts; 0 while the list may be wrong.
/// While an entry is in doubt, a host that took the rest would never hear of its removal, which has
/// an earlier offset. Right after the first read, entries may be missing that lapsed in an outage
/// of the store.
std::uint64_t advertisedOffset(const upstream_membership &membership, instant now);

/// Takes in that the list is known up to offset @p next.
void advanceOffset(upstream_membership &membership, std::uint64_t next);

/// Takes in that the list is whole up to offset @p next, but that removals before it are unknown.
void recordWholeList(upstream_membership &membership, std::uint64_t next);

/// Takes in whether a call to the store was answered.
void recordStoreContact(upstream_membership &membership, bool answered, instant now);

/// Removes the entries whose time to register again is over; returns how many.
std::size_t removeExpired(upstream_membership &membership, instant now);

} // namespace quincefall
