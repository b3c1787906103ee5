#pragma once

#include "kernel/clock.h"
#include "policy/event_split.h"
#include "policy/fleet_load.h"
#include "policy/prompt.h"
#include "policy/rejection_guard.h"
#include "policy/request_limit.h"
#include "policy/software_versions.h"
#include "policy/upstream_entry.h"
#include "policy/upstream_health.h"
#include "policy/zone_choice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace quincefall {

/// Load that an upstream reported with an answer.
struct upstream_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Time that work takes on the upstream's machine now, as a multiple of the usual time. Empty
    /// if the upstream doesn't say.
    std::optional<double> slowdown{};
};

/// State of one upstream as this host sees it.
struct routed_upstream
{
    upstream_entry listed; ///< `isLeaving` includes what the upstream told in its answers.
    upstream_load reported;
    instant reportedAt = instant::min();
    double ownInFlightAtReport = 0; ///< Sum of `inFlight` when the report arrived.
    by_urgency inFlight{}; ///< Requests of this host that run or wait there.
    by_urgency unreadTokens{}; ///< Tokens to prefill for those without a first byte.
    std::unordered_map<std::uint64_t, instant> cachedParts; ///< Last use of each part, by id.
    double firstByteExcessMs = 0; ///< Smoothed time to first byte beyond the estimate.
    instant firstByteExcessAt = instant::min();
    instant lastByteAt = instant::min(); ///< Last byte of any answer.
    instant busySince = instant::min(); ///< Since when it has had requests of this host.
    upstream_health health;
    bool isDisconnected = false; ///< Its connections failed; see policy/probation.h.
    bool isRelayed = false; ///< Only the link to it is cut; see policy/upstream_links.h.
    std::optional<host_address> relay; ///< Host through which it was last reached.
    instant linkCheckedAt = instant::min(); ///< See takeDueLinkChecks().
    instant lastSlowGap = instant::min(); ///< See recordSlowGap().
    /// End of the period in which it counts as slow by its gaps; condition::slow is by token rate.
    instant slowUntil = instant::min();
    instant pausedUntil = instant::min(); ///< It asked for no requests until then.
    instant othersPausedUntil = instant::min(); ///< It asked another host for none.
    limit_bucket limit;
    std::optional<double> maxRejections; ///< A second, as it says; see policy/rejection_guard.h.
    rejection_guard rejections;
    double failureRate = 0; ///< Smoothed share of attempts that failed.
    instant failureRateAt = instant::min();
};

/// How often this host recently received prompts with a certain part.
struct part_use
{
    double count = 0; ///< Halves every few seconds.
    instant at = instant::min();
};

/// The upstreams of one service and statistics over all of them.
struct service_pool
{
    std::map<std::string, routed_upstream, std::less<>> upstreams; ///< By id.
    version_history versions;
    step_history eventSteps;
    stream_framing_history framing;
    answer_framing_history answerFraming;
    double prefillTokensPerMs = 0; ///< Smoothed prefill rate of an engine; 0 until known.
    std::unordered_map<std::uint64_t, part_use> partUses; ///< By id of the last shared part.
    double callMs = 0; ///< Smoothed latency of requests with nothing to prefill.
    double prefillMs = 0; ///< Smoothed prefill time of requests that are not gap-sensitive.
    double streamMs = 0; ///< Smoothed time from first to last byte of a stream on an idle engine.
    double maxTargetMs = 0; ///< Largest latency target of the pool's requests.
    double largestPromptTokens = 0; ///< Slowly decaying maximum of the prompt sizes.
    double sensitivePrefillMsPerSecond = 0; ///< Prefill time of this host's gap-sensitive requests.
    instant sensitiveUpdatedAt = instant::min(); ///< Of sensitivePrefillMsPerSecond.
    double sensitiveInFlight = 0; ///< This host's gap-sensitive requests that run or wait.
    double reservedLevel = 0; ///< Not rounded; see updateReservedCount().
    instant reservedLevelAt = instant::min();
    prefix_uses prefixUses; ///< Empty where transfers between failure domains are not weighed.
};

/// The load that one attempt puts on an upstream.
struct attempt_work
{
    double unreadTokens = 0; ///< Prompt tokens that the upstream has to prefill.
    double estimatedFirstByteMs = 0;
    double delayMs = 0; ///< Queueing delay within that estimate.
    int urgency = 0;
    bool isGapSensitive = false;
};

/// Record the start, the first byte and the end of an attempt. @p waited is the time to the first
/// byte, empty if the attempt ended without one. @p upstream of recordEnd() is null if the upstream
/// has been removed meanwhile.
void recordStart(service_pool &pool, routed_upstream &upstream, const prompt_outline &prompt,
                 const attempt_work &work, instant now);
void recordFirstByte(service_pool &pool, routed_upstream &upstream, const attempt_work &work,
                     std::optional<microseconds> waited, instant now);
void recordEnd(service_pool &pool, routed_upstream *upstream, const attempt_work &work);

/// Records the time from first to last byte of a complete stream.
void recordStream(service_pool &pool, microseconds took);

/// Records a load report of the upstream.
void recordLoad(routed_upstream &upstream, const upstream_load &load, instant now);

/// Records a gap between two events that is too long to be explained by a prefill. Two such gaps in
/// a short time mark the upstream as slow.
///
/// Detects an engine that has become slow: its load reports and its times to the first event look
/// like those of a busy engine, but its gaps do not. A single gap may be caused by the link.
void recordSlowGap(routed_upstream &upstream, instant now);

/// Updates the failure rate with an attempt's outcome; a success also ends a series of failures.
void recordOutcome(routed_upstream &upstream, bool succeeded, instant now);

/// Clears the state that does not outlive a restart of the upstream.
void resetAfterRestart(routed_upstream &upstream);

/// Share of recent attempts that failed, from 0 to 1; older attempts count less.
double failureRateOf(const routed_upstream &upstream, instant now);

/// Requests that run or wait at the upstream. The part of other hosts comes from their load hints
/// or, where that is more, from the upstream's last load report.
double loadOf(const routed_upstream &upstream, fleet_load &others, instant now);

/// Requests of this host at the upstream, of all urgencies.
double ownInFlight(const routed_upstream &upstream);

/// Milliseconds for which the upstream has sent nothing although it has requests of this host; 0 if
/// it has none.
double msSinceLastByte(const routed_upstream &upstream, instant now);

/// Recent time to first byte beyond the estimate, in milliseconds; decays without further answers.
double recentFirstByteExcessMs(const routed_upstream &upstream, instant now);

/// Tokens of @p prompt that the upstream is not expected to have cached.
double uncachedTokensOf(const routed_upstream &upstream, const prompt_outline &prompt, instant now);

} // namespace quincefall
