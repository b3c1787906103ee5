#pragma once

#include "policy/upstream_membership.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

/// Changes of the list of upstreams, as one host sends them to another.
struct upstream_changes
{
    struct removal
    {
        std::string id;
        std::uint64_t changed = 0; ///< Offset of the removal.
    };

    std::vector<upstream_membership::listing> listings;
    std::vector<removal> removed;
    std::uint64_t epoch = 0; ///< Of the store to which the offsets refer.
    std::uint64_t next = 0; ///< Offset up to which the changes are complete.
    bool isWholeList = false; ///< `listings` has all upstreams; others are to be removed.
};

/// The changes after @p after, or the whole list if not all removals since then are known or
/// @p after is of another epoch.
///
/// The whole list is needed when hosts restart while upstreams leave: a restarted host reads the
/// newest entries of the store and never sees the removals before them.
upstream_changes changesSince(const upstream_membership &membership, store_position after);

/// Number of listings that changesSince() gives, without the cost of copying them.
std::size_t countChangesSince(const upstream_membership &membership, store_position after);

/// Applies changes that another host sent, unless they are of an older epoch of the store. True
/// when the local list changed.
bool applyChanges(upstream_membership &membership, const upstream_changes &changes, instant now);

} // namespace quincefall
