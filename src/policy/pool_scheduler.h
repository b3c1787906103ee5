#pragma once

#include "policy/admission.h"
#include "policy/drain_rate.h"
#include "policy/length_estimate.h"
#include "policy/link_budget.h"
#include "policy/organisation_share.h"
#include "policy/pool_types.h"
#include "policy/prefix_affinity.h"
#include "policy/retry_after.h"
#include "policy/tier_rule.h"
#include "policy/upstream_choice.h"
#include "policy/wait_queue.h"

#include <random>
#include <string_view>

namespace quincefall {

/// The queue of one pool. Plain state, changed only by the functions below.
///
/// tier_rule.h specifies the order of starts, the guaranteed starts and the sheds.
struct pool_state
{
    pool_plan plan;
    wait_queue queue;
    upstream_table upstreams;
    organisation_table organisations;
    tier_rule rule;
    drain_rate drain;
    length_estimates lengths;
    link_budget link;
    prefix_hints prefixes;
    retry_schedule retrySchedule;
    int lowestTier = 1;
    std::mt19937_64 random; ///< For `pool_plan::powerOfTwoChoices`; seeded by the caller.
    std::uint64_t nextPermit = 1; ///< Each owner of the queue sets its own range, for uniqueness.
};

/// Replaces the plan; waiting and running requests are kept.
decisions configure(pool_state &state, pool_plan plan, instant now);

/// Adds a request to the queue; an id that already waits is ignored.
decisions submit(pool_state &state, work_item item, instant now);

/// Removes a waiting request from the queue; unknown ids are ignored.
decisions cancel(pool_state &state, std::string_view id, instant now);

/// Ends a running attempt; unknown permits are ignored.
decisions finish(pool_state &state, const completion &done, instant now);

/// Records that a running answer is slower than its class's target; see stream_watch.h.
decisions reportSlow(pool_state &state, const slow_progress &progress, instant now);

/// Counts a running attempt whose permit an earlier owner of the queue granted.
decisions adoptRunning(pool_state &state, const adopted_attempt &attempt, instant now);

/// Applies an upstream's load report.
decisions applyLoadReport(pool_state &state, const load_report &report, instant now);

/// Applies a cache event of an upstream; see prefix_affinity.h.
void applyCacheEvent(pool_state &state, const cache_event &event);

/// Refuses the requests whose wait has ended and starts those that may start at @p now. To be
/// called at least every 100 ms while requests wait.
decisions advance(pool_state &state, instant now);

/// Drops the waiting requests and the permits of an entry host that died.
decisions dropEntryHost(pool_state &state, std::string_view host, instant now);

/// Number of waiting requests.
std::size_t waitingCount(const pool_state &state);

/// Number of running attempts.
std::size_t runningCount(const pool_state &state);

} // namespace quincefall
