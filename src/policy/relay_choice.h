#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/fleet_load.h"
#include "policy/fleet_members.h"
#include "policy/placement.h"
#include "policy/upstream_entry.h"

#include <map>
#include <span>
#include <vector>

namespace quincefall {

/// Hosts that recently failed to relay, by the time until which they are tried last.
using relay_failures = std::map<host_address, instant>;

/// Records that @p host did not relay a connection.
void recordFailure(relay_failures &failures, const host_address &host, instant now);

/// The hosts that may relay connections to @p upstream, the best first: hosts whose hints arrive
/// and don't say that they can't, first those near the upstream, where the relayed connection
/// crosses no more failure domains than a direct one. Equal hosts are ordered by a hash of this
/// host and the upstream.
///
/// Spreads the load when most hosts of a failure domain are cut off at once: their connections go
/// to hosts in the failure domains of all upstreams.
std::vector<host_address> relaysFor(const upstream_entry &upstream,
                                    std::span<const host_announcement> peers,
                                    const fleet_load &others, const placement_site &site,
                                    const relay_failures &failures, instant now);

/// Whether @p host may relay, by its hints.
bool mayRelay(const fleet_load &others, const host_address &host);

} // namespace quincefall
