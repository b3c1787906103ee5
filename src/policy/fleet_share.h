#pragma once

#include "kernel/address.h"

#include <cstdint>

namespace quincefall {

struct fleet_load;

/// One host's part of something that the hosts of the fleet share without talking about it.
struct fleet_share
{
    double hosts = 1; ///< Hosts that have a part.
    bool hasPart = false; ///< Whether this host is one of them.
};

/// Gives parts to the first @p wanted hosts by rendezvous hashing for @p key, at least to one and
/// at most to all whose hints arrive according to @p others.
///
/// Needed where there is less to share than one piece for each host: the hosts have to agree on
/// those that have one.
fleet_share shareAmongHosts(std::uint64_t key, double wanted, const host_address &self,
                            const fleet_load &others);

} // namespace quincefall
