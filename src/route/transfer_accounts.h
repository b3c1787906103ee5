#pragma once

#include "observe/metrics.h"
#include "policy/link_budget.h"
#include "policy/placement.h"
#include "policy/zone_choice.h"
#include "route/proxy_job.h"
#include "route/routing_state.h"

#include <map>
#include <string>

namespace quincefall {

/// What this host transfers to and from upstreams of other failure domains.
struct transfer_accounts
{
    std::map<std::string, double, std::less<>> answerBytes; ///< Smoothed, by route name.
    link_budget regionLink; ///< This host's part of the link to the other regions.
    double hostsOfDomain = 1; ///< Including this one, as counted at `countedAt`.
    double hostsOfRegion = 1;
    double hintAgeMs = 0; ///< Mean age of the other hosts' hints.
    instant countedAt = instant::min();
};

/// Whether the failure domains of the service differ in what they offer: the operator gives their
/// engines prices, or the engines share machines with other work. Elsewhere transfers are not
/// weighed.
bool differsByDomain(const service_rule &service, const routing_state &routing);

/// What the choice of a failure domain for @p job depends on.
zone_view zoneViewOf(transfer_accounts &accounts, const transfer_terms &terms,
                     const placement_site &site, const routing_state &routing, const proxy_job &job,
                     instant now);

/// Records the start of an attempt at the chosen upstream.
void recordTransferStart(transfer_accounts &accounts, metrics &numbers, const placement &chosen,
                         const zone_view &view);

/// Records the end of that attempt.
void recordTransferEnd(transfer_accounts &accounts, metrics &numbers, const placement &chosen,
                       const zone_view &view, const proxy_job &job);

} // namespace quincefall
