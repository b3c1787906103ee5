#pragma once

#include "kernel/clock.h"
#include "policy/attempt_budget.h"
#include "policy/desired_state.h"
#include "policy/fleet_load.h"
#include "policy/fleet_members.h"
#include "policy/overload.h"
#include "policy/routed_upstream.h"
#include "policy/upstream_membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quincefall {

/// What a host routes by: the desired state, the upstreams, and what it learnt of them.
struct routing_state
{
    std::shared_ptr<const desired_state> desired; ///< Null until the first was read.
    std::string desiredText; ///< As the operator wrote it.
    instant desiredContact = instant::min(); ///< When it was last known to be the newest.
    bool isDesiredServed = false; ///< The store answered the last read of it.
    upstream_membership membership;
    bool isUpstreamServed = false; ///< The store answered the last read of the list.
    instant upstreamContact = instant::min(); ///< When the list was last known to be whole.
    std::map<std::string, service_pool, std::less<>> pools; ///< By service.
    std::map<std::string, attempt_budget, std::less<>> budgets; ///< By service.
    caller_timeouts patience;
    fleet_load others; ///< What the other hosts have under way.
    std::vector<host_announcement> peers; ///< Other hosts of the fleet.
    bool arePeersKnown = false; ///< `peers` was read at least once.

    /// Hosts of the fleet, this one included.
    unsigned hosts() const { return arePeersKnown ? unsigned(peers.size()) + 1 : assumedHosts; }

    /// Until the others are known; a fleet that is smaller only retries less.
    static constexpr unsigned assumedHosts = 20;

    bool isReady() const { return desired != nullptr && upstreamContact != instant::min(); }
};

/// The upstream that @p entry names; null when it left.
routed_upstream *findUpstream(routing_state &state, const upstream_entry &entry);

/// Takes a desired state into force unless it is older than the one in force.
bool takeDesired(routing_state &state, desired_state desired, std::string text, instant now);

/// Brings the pools in line with the membership; learnt facts of upstreams that stay are kept.
/// Calls @p onGone with the address of each upstream that left or was replaced.
void updatePools(routing_state &state, const std::function<void(const host_address &)> &onGone);

} // namespace quincefall
