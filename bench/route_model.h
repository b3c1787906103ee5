#pragma once

#include "policy/fleet_load.h"
#include "policy/placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quincefall::model {

/// A kind of request. Times are in milliseconds.
struct request_kind
{
    std::string name;
    route_rule route; ///< Only targets, priority and timeout are used.
    double perSecond = 0; ///< Over all hosts.
    double sharedTokens = 0; ///< Part of the prompt that requests about one subject share.
    double ownTokens = 0;
    double answerTokens = 0;
    unsigned subjects = 1;
};

/// More requests of one kind for a while.
struct burst
{
    std::string kind;
    double fromMs = 0;
    double toMs = 0;
    double factor = 1;
};

/// How a host chooses the engine of a request.
enum class placement_policy {
    router, ///< By chooseUpstream().
    roundRobin,
    leastInFlight, ///< Of the host's own requests.
};

/// A day to be played in virtual time.
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
    bool hasLoadHints = true; ///< Hosts tell each other their work.
    bool hasAdmissionControl = true; ///< decideOverload() is asked.
    unsigned enginesLost = 0; ///< They stop at a quarter of the day.
};

/// What became of the requests of one kind.
struct kind_result
{
    unsigned offered = 0;
    unsigned onTime = 0; ///< First event and all pauses within the route's targets.
    unsigned late = 0;
    unsigned refused = 0; ///< Turned away at their last try.
    unsigned failed = 0; ///< Not whole at their deadline.

    double onTimeShare() const { return offered ? double(onTime) / offered : 0; }
    double servedShare() const { return offered ? double(onTime + late) / offered : 0; }
};

struct scenario_result
{
    std::map<std::string, kind_result> kinds;
    double prefilledTokens = 0;
    double repeatedPrefillTokens = 0; ///< Shared parts that some engine had read before.
};

/// Plays the scenario; the same seed gives the same result.
scenario_result runScenario(const scenario &wanted);

/// The mix of long, medium and short prompts that small firms send: @p perSecond requests in all.
std::vector<request_kind> typicalKinds(double perSecond);

} // namespace quincefall::model
