#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/fleet_load.h"
#include "policy/prompt.h"
#include "policy/upstream_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace quincefall {

/// An upstream as the platform lists it.
struct upstream_entry
{
    std::string id; ///< Of one start or several; `started` tells them apart.
    std::string service;
    host_address address;
    std::string failureDomain;
    std::string region;
    unsigned slots = 1;
    bool isLeaving = false; ///< Takes no new work.
    std::int64_t started = 0; ///< Unix time in milliseconds; 0 if unknown.

    bool operator==(const upstream_entry &) const = default;
};

/// Load that an upstream reported with an answer.
struct upstream_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// What this host knows of one upstream.
struct routed_upstream
{
    upstream_entry listed;
    upstream_load reported;
    instant reportedAt = instant::min();
    double ownAtReport = 0; ///< Sum of `inFlight` when the report came.
    by_urgency inFlight{}; ///< Requests of this host that run or wait there.
    by_urgency unreadTokens{}; ///< Prompt tokens of those whose answer has not begun.
    std::unordered_map<std::uint64_t, instant> cachedParts; ///< Prompt parts, by last use.
    double excessMs = 0; ///< Smoothed wait for the first byte beyond the estimate.
    instant excessAt = instant::min();
    instant lastByteAt = instant::min(); ///< Last byte of any answer.
    instant busySince = instant::min(); ///< Since when this host has had requests there.
    upstream_health health;
    bool isDisconnected = false; ///< Its connections failed; see policy/probation.h.
    instant lastSlowGap = instant::min(); ///< Last pause that only a slow upstream makes.
    instant slowUntil = instant::min(); ///< It made several such pauses lately.
    double failureRate = 0; ///< Smoothed share of attempts that failed.
    instant failureRateAt = instant::min();
};

/// How often this host lately saw a prompt part.
struct part_use
{
    double count = 0; ///< Falls by half in some seconds.
    instant at = instant::min();
};

/// The upstreams of one service and what was learnt about them together.
struct service_pool
{
    std::map<std::string, routed_upstream, std::less<>> upstreams; ///< By id.
    double prefillTokensPerMs = 0; ///< Learnt rate at which engines read prompts.
    std::unordered_map<std::uint64_t, part_use> partUses; ///< Of the last shared part, by id.
    double callMs = 0; ///< Smoothed time of a call, where prompts don't matter.
    double prefillMs
        = 0; ///< Smoothed reading time of one prompt, of requests that aren't sensitive.
    double streamMs = 0; ///< Time from first to last byte of a stream at an idle engine, learnt.
    double maxTargetMs = 0; ///< Largest latency objective of the pool's requests.
    double largestPromptTokens = 0; ///< Mean prompt of the route with the largest ones, in tokens.
    double sensitivePrefillMsPerSecond = 0; ///< Reading time that gap-sensitive requests ask for.
    instant sensitiveAt = instant::min();
    double sensitiveInFlight = 0; ///< This host's gap-sensitive requests that run or wait.
    double reservedLevel = 0; ///< Upstreams kept for them; falls slowly, see updateReservedCount().
    instant reservedLevelAt = instant::min();
};

/// One attempt, as far as an upstream's load is concerned.
struct attempt_work
{
    double unreadTokens = 0; ///< Prompt tokens that the upstream has to read.
    double estimatedFirstByteMs = 0; ///< To the first byte.
    double delayMs = 0; ///< Part of it that is due to work before this one.
    int urgency = 0;
    bool isGapSensitive = false;
};

/// Records an attempt's begin, its first byte and its end. An attempt without a first byte passes
/// an empty @p waited; one whose upstream left meanwhile has no upstream at its end.
void recordStart(service_pool &pool, routed_upstream &upstream, const prompt_outline &prompt,
                 const attempt_work &work, instant now);
void recordFirstByte(service_pool &pool, routed_upstream &upstream, const attempt_work &work,
                     std::optional<microseconds> waited, instant now);
void recordEnd(service_pool &pool, routed_upstream *upstream, const attempt_work &work);

/// Takes in the time from first to last byte of a whole stream.
void recordStream(service_pool &pool, microseconds took);

/// Takes in a load report.
void recordLoad(routed_upstream &upstream, const upstream_load &load, instant now);

/// Takes in a pause between two events that is longer than any that reading a prompt explains.
///
/// Answers an engine that turned slow: its reports and its first events look like those of a busy
/// one, its pauses do not. A single pause may be the link's.
void recordSlowGap(routed_upstream &upstream, instant now);

/// Takes an attempt's outcome into the upstream's health.
void recordOutcome(routed_upstream &upstream, bool succeeded, instant now);

/// Forgets what a new start of the upstream does not share with the one before.
void resetAfterRestart(routed_upstream &upstream);

/// Share of recent attempts that failed, with older ones counting less.
double failureRateOf(const routed_upstream &upstream, instant now);

/// Requests that run or wait at the upstream: this host's and the others', as they told or, where
/// that is more, as the upstream last reported.
double loadOf(const routed_upstream &upstream, fleet_load &others, instant now);

/// All requests of this host at the upstream.
double ownInFlight(const routed_upstream &upstream);

/// Time since the upstream last sent something although requests of this host are there, in
/// milliseconds.
double msSinceLastByte(const routed_upstream &upstream, instant now);

/// Wait for the first byte beyond the estimate, as lately seen, in milliseconds.
double recentExcessMs(const routed_upstream &upstream, instant now);

/// Tokens of @p prompt that the upstream is not known to keep.
double uncachedTokensOf(const routed_upstream &upstream, const prompt_outline &prompt, instant now);

} // namespace quincefall
