#pragma once

#include "policy/desired_state.h"
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
    double domainMs = 5; ///< For another failure domain of the region.
    double regionMs = 45; ///< For another region.
};

/// A request that needs an upstream.
struct placement_request
{
    const prompt_outline *prompt = nullptr;
    bool isGapSensitive = false; ///< See isGapSensitive().
    const std::set<std::string, std::less<>> *tried = nullptr; ///< Upstreams left out, by id.
    bool mayProbe = false; ///< It can be repeated if a failing upstream fails it too.
};

/// The chosen upstream and why.
struct placement
{
    routed_upstream *upstream = nullptr; ///< Null when none may take the request.
    double estimatedMs = 0; ///< To the first byte, without the distance.
    double unreadTokens = 0;
    double candidates = 0; ///< Upstreams that were compared.
    std::string_view reason; ///< "home", "kept", "least", "probe" or "last".
};

/// Whether long prompts read along with the request would stretch its events' pauses over what its
/// route allows.
///
/// Answers a mix of short requests with tight pauses and long prompts: an engine reads a prompt
/// between two tokens of all its running requests.
bool isGapSensitive(const route_rule &route, const engine_rule &engine, const service_pool &pool,
                    double promptTokens);

/// Takes a request's reading time into the demand of its kind.
void recordDemand(service_pool &pool, const placement_request &request, instant now);

/// Number of upstreams kept for gap-sensitive requests.
unsigned apartCount(const service_pool &pool, unsigned hosts, instant now);

/// Chooses by the estimated time to the first byte.
///
/// Answers a burst of long prompts: each shared part has a home engine by rendezvous hashing that
/// all hosts compute alike, and is read elsewhere only when the home's queue costs more than
/// reading it again. Failing upstreams get single probes while others are at hand.
placement chooseUpstream(service_pool &pool, const placement_request &request,
                         const placement_site &site, unsigned hosts, instant now);

} // namespace quincefall
