#pragma once

#include "policy/pool_scheduler.h"
#include "policy_engine.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quincefall::bench {

/// How the entry hosts share one pool.
enum class sharing_mode {
    separate, ///< Each host has its own queue and picks the less loaded of two random upstreams.
    owner, ///< One host owns the queue; the others ask it for permits.
    lent, ///< One host lends slots to the others by demand, tier by tier, until they expire.
    oracle, ///< Baseline that sees the true state of all engines without delay.
};

/// Demand of one class.
struct class_demand
{
    class_policy policy;
    double capacityShare = 0.2; ///< Share of the engines' total tokens per second.
    double medianTokens = 150;
    double burstShare = 0; ///< Additional share from `burstFrom` until `burstTo`.
    std::string burstOrganisation; ///< Organisation that sends the burst; all if empty.
};

/// Fleet, demand and faults of one simulation run.
struct scenario
{
    std::string name;
    seconds length{120};
    seconds burstFrom{40};
    seconds burstTo{80};
    std::vector<class_demand> demands;
    int hosts = 9;
    int engines = 10;
    double secondRegionShare = 0.3; ///< Share of the requests that enter in the second region.
    microseconds reportLag{300'000};
    bool unevenLoad = false; ///< Outside load holds half of the slots of every third engine.
    double linkBytesPerSecond = 0; ///< Limit for answers across regions; 0 means none.
    bool straggler = false; ///< One engine runs at a tenth of its speed from `burstFrom`.
    bool ownerKilled = false; ///< The owner is killed at `burstFrom`.
    bool ownerPaused = false; ///< The owner is paused for 10 s from `burstFrom`.
    bool membershipDiffers = false; ///< Two hosts don't list the owner for 10 s from `burstFrom`.
    /// Time between engine crashes; a crashed engine is back after 20 s. 0 means no crashes.
    int crashIntervalSeconds = 0;
};

/// Results of one class.
struct class_figures
{
    std::uint64_t offered = 0; ///< Without retries by callers after a refusal.
    /// Offered requests whose time to first token and mean token gap met their targets.
    std::uint64_t attained = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    double waitSum = 0; ///< Sum of the times to first token of the served requests, in seconds.
    /// Requests offered and attempts started, by the number of the time window of length `maxWait`.
    std::map<std::int64_t, std::pair<int, int>> windows;
};

/// Results of one simulation run.
struct fleet_figures
{
    std::map<std::string, class_figures> classes;
    double goodTokens = 0; ///< Tokens of answers that met their targets.
    double allTokens = 0; ///< Tokens that the engines generated for the simulated requests.
    std::map<std::string, double> wastedTokens; ///< By cause.
    double crossRegionBytes = 0;
    double controlBytes = 0;
    std::uint64_t requests = 0;
    std::uint64_t callerRetries = 0;
    std::uint64_t callerRetriesServed = 0;
    std::uint64_t lost = 0; ///< Neither served nor refused at the end of the run.
    std::uint64_t shedForLower = 0;
    std::uint64_t shedForGuarantee = 0;
    std::uint64_t prefixHits = 0; ///< Starts whose prefix was in the engine's cache.
    std::uint64_t prefixMisses = 0;
    std::uint64_t failed = 0; ///< Ended with an error because the retry budget was used up.
    std::uint64_t retries = 0;
    double schedulerSeconds = 0; ///< Processor time spent in the decision functions.
    std::uint64_t schedulerCalls = 0;
    /// Share of the requests of organisations without a burst that met their targets, by class.
    std::map<std::string, double> nonBurstAttainment;
};

/// Simulates @p plan in sharing mode @p mode. Equal seeds give equal figures, except for processor
/// time.
fleet_figures runFleet(const scenario &plan, sharing_mode mode, unsigned seed);

} // namespace quincefall::bench
