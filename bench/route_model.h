#pragma once

#include "policy/fleet_load.h"
#include "policy/placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quincefall::model {

/// A kind of request, with its rate and its sizes in tokens.
struct request_kind
{
    std::string name;
    route_rule route; ///< Only targets, priority and timeout are used.
    double perSecond = 0; ///< Over all hosts.
    double sharedTokens = 0; ///< Prompt prefix common to all requests about one subject.
    double ownTokens = 0;
    double answerTokens = 0;
    unsigned subjects = 1;
};

/// Multiplies the rate of one kind by `factor` from `fromMs` until `toMs`.
struct burst
{
    std::string kind;
    double fromMs = 0;
    double toMs = 0;
    double factor = 1;
};

/// How a host chooses the engine of a request.
enum class placement_policy {
    router, ///< chooseUpstream(), as `quincefall route` uses it.
    roundRobin,
    leastInFlight, ///< The engine with the fewest requests in flight from this host.
};

/// A simulation run in virtual time.
struct scenario
{
    unsigned hosts = 6;
    unsigned engines = 8;
    unsigned slots = 64;
    double lengthMs = 20'000;
    std::vector<request_kind> kinds;
    std::vector<burst> bursts;
    std::uint64_t seed = 1;
    placement_policy policy = placement_policy::router;
    bool hasLoadHints = true; ///< Hosts exchange their load per engine and their demand.
    bool hasAdmissionControl = true; ///< decideOverload() may refuse requests.
    unsigned enginesLost = 0; ///< Engines that stop at a quarter of the run.
};

/// Outcomes of the requests of one kind.
struct kind_result
{
    unsigned offered = 0;
    unsigned onTime = 0; ///< First event and all gaps between events within the route's targets.
    unsigned late = 0;
    unsigned refused = 0; ///< Refused at their last attempt.
    unsigned failed = 0; ///< Incomplete at their deadline, or on an engine that stopped.

    double onTimeShare() const { return offered ? double(onTime) / offered : 0; }
    double servedShare() const { return offered ? double(onTime + late) / offered : 0; }
};

struct scenario_result
{
    std::map<std::string, kind_result> kinds;
    double prefilledTokens = 0;
    double repeatedPrefillTokens = 0; ///< Shared prompt parts that an engine had prefilled before.
};

/// Runs the scenario; the same seed gives the same result.
scenario_result runScenario(const scenario &wanted);

/// A mix of long, medium and short prompts as small companies send them, @p perSecond requests in
/// total.
std::vector<request_kind> typicalKinds(double perSecond);

} // namespace quincefall::model
