#pragma once

#include "kernel/clock.h"
#include "policy/attempt_budget.h"
#include "policy/crash_quarantine.h"
#include "policy/desired_state.h"
#include "policy/fleet_load.h"
#include "policy/fleet_members.h"
#include "policy/overload.h"
#include "policy/routed_upstream.h"
#include "policy/service_moves.h"
#include "policy/stream_origins.h"
#include "policy/upstream_links.h"
#include "policy/upstream_membership.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quincefall {

/// Data by which a host routes requests: the desired state, the upstreams, their measured load and
/// health, and the other hosts.
struct routing_state
{
    std::shared_ptr<const desired_state> desired; ///< Null until one was received.
    std::string desiredText; ///< As the operator wrote it.
    std::string desiredCompressed; ///< compress() of `desiredText`, for other hosts.
    /// Version that `desired` has replaced; its own version if there may have been others between.
    std::uint64_t desiredBefore = 0;
    instant desiredConfirmedAt = instant::min(); ///< Last time it was known to be the newest.
    bool isDesiredReadAnswered = false; ///< The store answered the last read.
    upstream_membership membership;
    bool isUpstreamsReadAnswered = false; ///< The store answered the last read.
    instant upstreamsConfirmedAt = instant::min(); ///< Last time the list was known to be complete.
    std::uint64_t storeEpoch = 0; ///< Newest that this host or another one has seen.
    std::map<std::string, service_pool, std::less<>> pools; ///< By service.
    std::map<std::string, attempt_budget, std::less<>> budgets; ///< By service.
    caller_timeouts callerTimeouts;
    fleet_load otherHostsLoad; ///< Other hosts' requests, demands, data versions and ages.
    upstream_links links;
    bool isStopping = false; ///< The host accepts no more work of other hosts.
    crash_quarantine quarantine;
    stream_origins streams;
    bool hasReadStreams = false; ///< See stream_archive: what hosts stored before this one started.
    service_moves moves;
    std::vector<host_announcement> peers; ///< Other hosts of the fleet.
    bool hasReadPeers = false; ///< `peers` was read at least once.

    /// Hosts of the fleet, this one included.
    unsigned hostCount() const
    {
        return hasReadPeers ? unsigned(peers.size()) + 1 : assumedHostCount;
    }

    /// Number of hosts until the peers were read. In a smaller fleet this only lowers the number of
    /// further attempts.
    static constexpr unsigned assumedHostCount = 20;

    bool isReady() const { return desired != nullptr && upstreamsConfirmedAt != instant::min(); }
};

/// The upstream with the service and id of @p entry; null when it was removed.
routed_upstream *findUpstream(routing_state &state, const upstream_entry &entry);

/// A desired state, and what its source knows of the ones before it.
struct desired_update
{
    desired_state newest;
    std::string text; ///< `newest` as the operator wrote it.
    std::string compressed; ///< `text` as another host sent it; empty to compress it here.
    std::vector<desired_state> earlier; ///< Before `newest`, oldest first.
    bool isComplete = true; ///< `earlier` has all between the state in force and `newest`.
};

/// Puts a desired state into force if it is newer than the one in force; returns whether it did.
bool applyDesired(routing_state &state, desired_update update, instant now);

/// What an upstream told of itself in an answer.
struct answer_notice
{
    bool isLeaving = false;
    microseconds pause{0}; ///< For which it wants no requests; 0 for none.
    /// Empty if the answer says nothing of a limit, not even by naming none.
    std::optional<limit_statement> limit;
    std::optional<limit_statement> maxRejections; ///< As `limit`; see policy/rejection_guard.h.
};

/// Applies what the upstream of @p entry told in an answer to this host. True when that is new.
bool applyAnswerNotice(routing_state &state, const upstream_entry &entry, const answer_notice &said,
                       instant now);

/// Applies what an upstream told another host.
void applyNotice(routing_state &state, const told_notice &notice, instant now);

/// Milliseconds since @p since for log lines; "none" if it never happened.
std::string formatAge(instant since, instant now);

/// An id of a prompt part or of a crash, for logs.
std::string formatTraitId(std::uint64_t id);

/// Updates which prompt parts are held and logs the changes. True if a part has become held.
bool updateQuarantine(routing_state &state, instant now);

/// Updates the pools from the membership. Upstreams that stay keep their measured load and health.
/// Calls @p onGone with the address of each upstream that was removed or replaced.
void updatePools(routing_state &state, const std::function<void(const host_address &)> &onGone,
                 const clock_source &clock);

} // namespace quincefall
