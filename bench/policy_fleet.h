#pragma once

#include "policy/pool_scheduler.h"
#include "policy_engine.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quincefall::bench {

/// How the entry hosts act on one pool.
enum class sharing_mode {
    separate, ///< Each host has its own queue and takes the better of two random upstreams.
    owner, ///< One host owns the queue; the others ask it for permits.
    lent, ///< One host lends slots to the others by demand, tier by tier, until they expire.
    oracle, ///< A baseline that sees the true state of all engines without delay.
};

/// Demand of one class.
struct class_demand
{
    class_policy policy;
    double capacityShare = 0.2; ///< Of the engines' tokens per second.
    double medianTokens = 150;
    double burstShare = 0; ///< Added from `burstFrom` to `burstTo`.
    std::string burstOrganisation; ///< Empty: all organisations alike.
};

/// One thing that happens during a run.
struct scenario
{
    std::string name;
    seconds length{120};
    seconds burstFrom{40};
    seconds burstTo{80};
    std::vector<class_demand> demands;
    int hosts = 9;
    int engines = 10;
    double secondRegionShare = 0.3; ///< Share of the callers in the second region.
    microseconds reportLag{300'000};
    bool unevenLoad = false; ///< Others' work holds half of the slots of every third engine.
    double linkBytesPerSecond = 0; ///< Budget for answers across regions; 0 means no limit.
    bool straggler = false; ///< One engine runs at a tenth of its speed from `burstFrom`.
    bool ownerKilled = false;
    bool ownerPaused = false; ///< For 10 s from `burstFrom`.
    bool membershipDiffers
        = false; ///< Two hosts believe in another owner from `burstFrom` for 10 s.
    int crashIntervalSeconds = 0; ///< One engine crashes that often; it is back after 20 s.
};

/// What one class got.
struct class_figures
{
    std::uint64_t offered = 0; ///< First tries; returns after a refusal are counted apart.
    std::uint64_t attained = 0; ///< First token and mean token gap within their targets.
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    double waitSum = 0; ///< Seconds to the first token of those served.
    std::map<std::int64_t, std::pair<int, int>> windows; ///< Offered and started, by `maxWait`.
};

/// What one run measured.
struct fleet_figures
{
    std::map<std::string, class_figures> classes;
    double goodTokens = 0; ///< Of answers that met their targets.
    double allTokens = 0; ///< Made by the engines for us.
    std::map<std::string, double> wastedTokens; ///< By cause.
    double crossRegionBytes = 0;
    double controlBytes = 0;
    std::uint64_t requests = 0;
    std::uint64_t callerRetries = 0;
    std::uint64_t callerRetriesServed = 0;
    std::uint64_t lost = 0; ///< Neither served nor refused at the end of the run.
    std::uint64_t shedForLower = 0;
    std::uint64_t shedForGuarantee = 0;
    std::uint64_t prefixHits = 0; ///< Starts whose prefix the engine had in its cache.
    std::uint64_t prefixMisses = 0;
    std::uint64_t failed = 0; ///< Ended with an error, the retry budget being used up.
    std::uint64_t retries = 0;
    double schedulerSeconds = 0; ///< Processor time in the decision functions.
    std::uint64_t schedulerCalls = 0;
    std::map<std::string, double>
        nonBurstAttainment; ///< Attainment of organisations without a burst.
};

/// Runs @p plan with @p way; equal seeds give equal figures, processor time aside.
fleet_figures runFleet(const scenario &plan, sharing_mode mode, unsigned seed);

} // namespace quincefall::bench
