#pragma once

#include "policy/desired_state.h"
#include "policy/fleet_load.h"
#include "policy/probation.h"
#include "policy/routed_upstream.h"
#include "policy/zone_choice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace quincefall {

/// Location of this host, and the cost added for upstreams in other locations.
struct placement_site
{
    std::string failureDomain;
    std::string region;
    double crossDomainMs = 5; ///< For another failure domain of the same region.
    double crossRegionMs = 45; ///< For another region.
    host_address self; ///< Peer address of this host.
    std::map<std::string, std::string> regions; ///< Region of each failure domain.
};

/// The properties of a request that decide which upstream it gets.
struct placement_request
{
    const prompt_outline *prompt = nullptr;
    int urgency = 0;
    bool isGapSensitive = false; ///< See isGapSensitive().
    const std::set<std::string, std::less<>> *tried = nullptr; ///< Ids of upstreams to exclude.
    const std::set<std::string, std::less<>> *only = nullptr; ///< Ids to choose from; null for all.
    /// Software version that the upstream must have; null for any. Upstreams whose version is not
    /// known have it.
    const std::string *softwareVersion = nullptr;
    std::uint64_t turn = 0; ///< See rejectionTurn.
    bool prefersLatency = false; ///< Ignores that a repeated prefill delays others.
    probe_candidate probe; ///< Whether it may probe a failing upstream.
    /// Null: upstreams of other failure domains only cost their distance.
    const zone_view *zones = nullptr;
};

/// The chosen upstream and why.
struct placement
{
    routed_upstream *upstream = nullptr; ///< Null when no upstream is eligible.
    double estimatedFirstByteMs = 0; ///< Without the network distance.
    double delayMs = 0; ///< Queueing delay within that estimate.
    double unreadTokens = 0; ///< Prompt tokens that the upstream has to prefill.
    double candidates = 0; ///< Number of upstreams compared.
    double idleCandidates = 0; ///< Number of these with next to no queueing delay.
    /// "home": preferred for the shared prefix; "least": lowest cost; "probe": a failing upstream
    /// is probed; "last": only failing or slow upstreams are left.
    std::string_view reason;
    zone_distance distance = zone_distance::home;
    std::string_view zoneReason; ///< See zone_decision; empty if no domain was chosen.
};

/// Whether prefills of long prompts on the same engine would stretch the gaps between the request's
/// events beyond its route's target. Only requests with short prompts count as gap-sensitive.
///
/// Needed when short requests with tight gap targets and long prompts share a service: an engine
/// prefills a prompt between two tokens of all its running requests.
bool isGapSensitive(const route_rule &route, const engine_rule &engine, const service_pool &pool,
                    double promptTokens);

/// Gap between two events of a stream beyond which its engine is slow rather than busy.
microseconds slowGapThreshold(const engine_rule &engine);

/// Number of upstreams that the prompt's shared prefix needs at its current request rate; 1 or
/// more. Assumes that each of @p hosts hosts receives requests with the prefix at this host's rate.
///
/// Needed when one prefix gets much of the traffic: a single upstream would reject most of it.
unsigned preferredUpstreamCount(const service_pool &pool, const prompt_outline &prompt,
                                unsigned hosts, instant now);

/// Updates the pool's demand statistics with a request: prompt size, use of its shared prefix and,
/// if it is gap-sensitive, its prefill time.
void recordDemand(service_pool &pool, const placement_request &request, instant now);

/// Demand of this host's gap-sensitive requests on the pool.
service_demand ownDemand(const service_pool &pool, instant now);

/// Number of upstreams, not rounded, that gap-sensitive requests need. @p demand is the sum over
/// all hosts, @p slots the number of slots of one upstream.
double reservedCountNeeded(const service_demand &demand, unsigned slots);

/// Updates and returns how many of @p usable upstreams are reserved for gap-sensitive requests.
///
/// The number rises at once and falls slowly, since demand fluctuates and a newly reserved upstream
/// helps only after the long streams that it was running have ended.
unsigned updateReservedCount(service_pool &pool, std::size_t usable, double needed, instant now);

/// Number of requests in flight up to which an engine keeps up with both prefill and decoding; at
/// most @p slots.
///
/// Guards against a sustained burst of long prompts: an engine that prefills without a pause hardly
/// generates tokens, its streams miss their deadlines, and the prefill done for them is wasted.
double softConcurrencyLimit(const service_pool &pool, unsigned slots);

/// Time until one of the upstreams that are not leaving accepts requests again: 0 if one does now,
/// empty if there is none.
///
/// Answers a burst in which every upstream has asked for time: the caller is told when the first of
/// them is back, instead of an upstream being asked in vain.
std::optional<microseconds> timeUntilUsable(const service_pool &pool, instant now);

/// Updates what bounds the requests to an upstream that is brittle, or was so.
void updateRejections(routed_upstream &upstream, std::optional<double> maxRejections,
                      std::uint64_t turn, const host_address &self, fleet_load &others,
                      instant now);

/// Rejections a second that each of the pool's upstreams withstands, by the lowest number that one
/// of them names; empty if none does. All upstreams of a service are brittle at the same time, but
/// this host may have heard it from one of them only.
std::optional<double> maxRejectionsOf(const service_pool &pool);

/// Updates what the pool's upstreams accept from this host, for isEligible().
void updateAcceptance(service_pool &pool, const placement_request &request,
                      const placement_site &site, fleet_load &others, instant now);

/// Whether the upstream accepts requests and was not tried for this one.
bool isEligible(const routed_upstream &upstream, const placement_request &request, instant now);

/// Whether the upstream has the software version that the request needs, or an unknown one.
bool hasWantedVersion(const routed_upstream &upstream, const placement_request &request);

/// Chooses the upstream with the lowest cost, which is mainly the estimated time to the first byte.
///
/// Keeps bursts of long prompts from being prefilled on many engines: rendezvous hashing gives each
/// shared prefix the same preferred upstream on all hosts. Another upstream is chosen only when the
/// preferred one's queue costs more than prefilling the prefix again. Failing upstreams get single
/// probes while others are usable.
placement chooseUpstream(service_pool &pool, const placement_request &request,
                         const placement_site &site, fleet_load &others, instant now);

} // namespace quincefall
