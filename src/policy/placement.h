#pragma once

#include "policy/desired_state.h"
#include "policy/fleet_load.h"
#include "policy/probation.h"
#include "policy/routed_upstream.h"

#include <set>
#include <string>
#include <string_view>

namespace quincefall {

/// Where a host stands, and what it adds to an estimate for work that goes further.
struct placement_site
{
    std::string failureDomain;
    std::string region;
    double crossDomainMs = 5; ///< For another failure domain of the region.
    double crossRegionMs = 45; ///< For another region.
};

/// A request that needs an upstream.
struct placement_request
{
    const prompt_outline *prompt = nullptr;
    int urgency = 0;
    bool isGapSensitive = false; ///< See isGapSensitive().
    const std::set<std::string, std::less<>> *tried = nullptr; ///< Upstreams left out, by id.
    bool prefersLatency = false; ///< Reading shared parts again costs no more than its time.
    probe_candidate probe; ///< Whether and how well it could try a failing upstream.
};

/// The chosen upstream and why.
struct placement
{
    routed_upstream *upstream = nullptr; ///< Null when none may take the request.
    double estimatedFirstByteMs = 0; ///< To the first byte, without the distance.
    double delayMs = 0; ///< Part of it that is due to work before this request.
    double unreadTokens = 0;
    double candidates = 0; ///< Upstreams that were compared.
    double idleCandidates = 0; ///< Those without work before this request.
    std::string_view reason; ///< "home", "kept", "least", "probe" or "last".
};

/// Whether long prompts read along with the request would stretch its events' pauses over what its
/// route allows.
///
/// Answers a mix of short requests with tight pauses and long prompts: an engine reads a prompt
/// between two tokens of all its running requests.
bool isGapSensitive(const route_rule &route, const engine_rule &engine, const service_pool &pool,
                    double promptTokens);

/// Pause between two events beyond which an engine is slow rather than busy.
microseconds slowGapThreshold(const engine_rule &engine);

/// Number of engines that a shared part needs at the rate at which it is asked for.
///
/// Answers one subject that gets much of the traffic: its home alone would turn most of it away.
unsigned preferredUpstreamCount(const service_pool &pool, const prompt_outline &prompt,
                                unsigned hosts, instant now);

/// Takes a request into the demand of its kind and of its shared part.
void recordDemand(service_pool &pool, const placement_request &request, instant now);

/// What this host's gap-sensitive requests ask of the pool.
service_demand ownDemand(const service_pool &pool, instant now);

/// Number of upstreams needed by gap-sensitive requests with the demand of all hosts together.
double reservedCountNeeded(const service_demand &demand, unsigned slots);

/// Number of upstreams of @p usable kept for gap-sensitive requests.
///
/// Answers demand that swings: an upstream that joins those kept apart is of use only when the long
/// streams it had are over, so the number follows a rise at once and a fall slowly.
unsigned updateReservedCount(service_pool &pool, std::size_t usable, double needed, instant now);

/// Requests that an engine may have under way so that it still reads and writes in step.
///
/// Answers a lasting burst of long prompts: an engine that reads without a pause makes hardly any
/// tokens, its streams miss their deadline, and all that was read for them is lost.
double softConcurrencyLimit(const service_pool &pool, unsigned slots);

/// Chooses by the estimated time to the first byte.
///
/// Answers a burst of long prompts: each shared part has a home engine by rendezvous hashing that
/// all hosts compute alike, and is read elsewhere only when the home's queue costs more than
/// reading it again. Failing upstreams get single probes while others are at hand.
placement chooseUpstream(service_pool &pool, const placement_request &request,
                         const placement_site &site, fleet_load &others, instant now);

} // namespace quincefall
