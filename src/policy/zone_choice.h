#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>

namespace quincefall {

/// What it is worth to keep traffic in its failure domain and its region, as the operator declares
/// it. Waits are those that a caller may have instead of one megabyte being transferred.
struct transfer_terms
{
    double domainMsPerMb = 3'000; ///< Between failure domains of a region.
    double regionMsPerMb = 6'000; ///< Between regions.
    double regionLinkMbps = 0; ///< Link between two regions, for all hosts; 0: no bound.
};

/// How far an upstream is from this host.
enum class zone_distance { home, region, far };

/// Name of the distance in logs and metrics.
std::string_view toString(zone_distance distance);

/// What the choice of a failure domain depends on besides the upstreams.
struct zone_view
{
    transfer_terms terms;
    double bytes = 0; ///< Of the request and its expected answer.
    double homeHosts = 1; ///< Hosts of this failure domain.
    bool hasLinkRoom = true; ///< On the link to the other regions.
    double hintAgeMs = 0; ///< Mean age of what other hosts told of their load.
    double objectiveMs = 0; ///< Latency objective of the request; 0: none.
    bool isRefusedAtHome = false; ///< The wait at home is longer than the request allows.
    std::uint64_t request = 0; ///< Hash that differs between requests.
};

/// The best that the upstreams of one failure domain offer to a request.
struct zone_offer
{
    std::string_view failureDomain;
    zone_distance distance = zone_distance::home;
    double costMs = 0; ///< Without the transfer.
    double delayMs = 0; ///< Queueing delay within that cost.
    double transferMs = 0;
    double room = 0; ///< Number of upstreams with next to no queueing delay.
};

/// The chosen failure domain and why.
struct zone_decision
{
    std::size_t offer = 0; ///< Index of the offer.
    double share = 0; ///< Of such requests that leave home.
    /// "stays"; "none": home has no usable upstream; "cache": another domain has the prompt's
    /// prefix; "queue": home's queue costs more than the transfer.
    std::string_view reason;
};

/// Cost of the bytes that a request transfers over this distance.
double transferCostMs(const transfer_terms &terms, zone_distance distance, double bytes);

/// Chooses the failure domain that runs a request. @p prefix is the key of its shared prefix, 0 if
/// it has none. There is at least one offer.
///
/// Answers demand that exceeds the engines of one failure domain while others have room, also with
/// load hints that are seconds old. Of the requests that a queue makes leave, only the share leaves
/// that brings home's queue back to where leaving costs as much as waiting, so hosts that see the
/// same old hints neither empty home nor return all at once. Those that leave are spread over the
/// other domains by their room and by a hash; a prefix keeps its other domain.
zone_decision chooseZone(std::span<const zone_offer> offers, const zone_view &view,
                         std::uint64_t prefix);

/// Within which part of the fleet a prompt's prefix has one preferred upstream.
enum class prefix_scope { domain, region, fleet };

/// How often prompts of about the same prefix size share their prefix with an earlier one.
struct prefix_uses
{
    struct use
    {
        double count = 0; ///< Decays while the prefix is not used.
        instant at = instant::min();
    };

    std::unordered_map<std::uint64_t, use> recent; ///< By key of the prefix.
    std::array<double, 32> typical{}; ///< Recent earlier uses of a prefix, by log2 of its tokens.
};

/// Records a prompt with a shared prefix of @p tokens.
void recordPrefixUse(prefix_uses &uses, std::uint64_t prefix, double tokens, instant now);

/// Earlier uses of a prefix at this host while it is cached: its own, or those of a typical prefix
/// of that size if they are more.
double expectedPrefixUses(const prefix_uses &uses, std::uint64_t prefix, double tokens,
                          instant now);

/// The numbers that the scope of a prefix is weighed by.
struct scope_input
{
    double usesPerDomain = 0; ///< While the prefix is cached, by one failure domain.
    double prefillMs = 0; ///< Of the prefix, with the time that it takes from running requests.
    double domainTransferMs = 0; ///< Of a request to another domain of the region.
    double regionTransferMs = 0;
    double domains = 1; ///< Failure domains of this region.
    double regions = 1;
};

/// The scope with the lowest cost: the smaller the scope, the less is transferred and the more
/// often the prefix is prefilled.
///
/// Answers prompts that share prefixes and come from all failure domains at once.
prefix_scope choosePrefixScope(const scope_input &input);

} // namespace quincefall
