#pragma once

#include "policy/upstream_membership.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

/// What one host tells another of the list of upstreams.
struct upstream_changes
{
    struct removal
    {
        std::string id;
        std::uint64_t changed = 0;
    };

    std::vector<upstream_membership::listing> listings;
    std::vector<removal> removed;
    std::uint64_t next = 0; ///< Offset up to which the list is known.
    bool isWholeList = false; ///< `listings` has all upstreams; others are gone.
};

/// What changed after the offset @p after, for a host that knows the list up to there.
///
/// Answers hosts that start again while upstreams leave: such a host reads the newest entries and
/// never sees the removals before, so it has to tell the others its whole list.
upstream_changes changesSince(const upstream_membership &membership, std::uint64_t after);

/// Takes in what another host told. True when the list here changed.
bool applyChanges(upstream_membership &membership, const upstream_changes &changes);

} // namespace quincefall
