#pragma once

#include "policy/retry_budget.h"
#include "policy/stream_watch.h"
#include "policy_fleet.h"

#include <deque>
#include <functional>
#include <set>

namespace quincefall::bench {

inline constexpr microseconds sameRegionDelay{1'000};
inline constexpr microseconds crossRegionDelay{10'000};
inline constexpr milliseconds crashDetectionDelay{50};
inline constexpr double submitMessageBytes = 72;
inline constexpr double finishMessageBytes = 40;
inline constexpr double prefillUnitsPerToken = 0.01;
inline constexpr const char *poolKey = "pool";

/// Where a request stands.
enum class simulated_request_state { waiting, running, done, refused };

/// A caller's request.
struct simulated_request
{
    work_item item;
    const class_demand *classDemand = nullptr;
    int host = 0;
    double tokens = 0;
    double delivered = 0;
    simulated_request_state state = simulated_request_state::waiting;
    bool isCallerRetry = false;
    instant arrival{};
    instant firstToken = instant::min();
    std::uint64_t attempt = 0;
    instant attemptStart{};
    stream_watch watch;
    grant permit;
};

/// An entry host with its scheduler; only an owner's is used in the owner way.
struct entry_host
{
    std::string name;
    std::string region;
    pool_state state;
    bool alive = true;
    instant pausedUntil = instant::min();
    std::vector<std::string> members;
    std::string owner;
    retry_budget retries;
};

/// Everything in one run.
struct fleet_simulation
{
    const scenario &plan;
    sharing_mode mode;
    event_queue events;
    std::mt19937_64 random;
    std::vector<entry_host> hosts;
    std::vector<engine_model> engines;
    std::deque<simulated_request> requests; // Keeps references while it grows.
    fleet_figures figures;
    std::uint64_t nextAttempt = 1;
    std::map<std::string, std::size_t> engineIndex;
    std::vector<std::set<std::pair<instant, std::size_t>>> oracleWaiting; ///< By demand.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> nonBurstCounts;
    std::map<std::string, std::size_t> publishedEvents;
    drain_rate oracleDrain;
    retry_schedule oracleRetrySchedule;
};

/// Why an attempt ended early.
enum class attempt_fault { upstreamFailed, slow, entryHostLost };

using decision_step = std::function<decisions(pool_state &)>;

/// A random number from 0 to 1.
double uniform(fleet_simulation &simulation);

engine_model &engineOf(fleet_simulation &simulation, const std::string &name);
int hostIndex(const fleet_simulation &simulation, const std::string &name);

/// One-way delay between two regions, or within one.
microseconds delayBetween(const std::string &one, const std::string &other);

/// Runs @p action on a host unless it is dead; a paused host runs it when it goes on.
void onHost(fleet_simulation &simulation, int index, std::function<void()> action);

/// Runs @p action on host @p to after the way of a message of @p bytes.
void sendMessage(fleet_simulation &simulation, int from, int to, double bytes,
                 std::function<void()> action);

/// Calls a decision function of a host's scheduler and routes what it decided.
void decide(fleet_simulation &simulation, int index, const decision_step &step);

/// The host whose scheduler decides for @p host; -1 when it knows of none.
int schedulerOf(const fleet_simulation &simulation, int host);

/// Sends grants and refusals to the entry hosts.
void route(fleet_simulation &simulation, int from, const decisions &decided);

/// A request comes in.
void arrive(fleet_simulation &simulation, std::size_t index);

/// Asks the scheduler for a place.
void submitRequest(fleet_simulation &simulation, std::size_t index);

/// Sends a request to an upstream.
void startAttempt(fleet_simulation &simulation, std::size_t index, const std::string &upstream);

/// Ends the attempt of a running request early and, if the retry budget allows it, resumes it on
/// another upstream.
void failAttempt(fleet_simulation &simulation, std::size_t index, attempt_fault fault);

/// A refused caller goes away; some come back after @p retryAfter.
void handleRefusal(fleet_simulation &simulation, std::size_t index, milliseconds retryAfter);

/// What an entry host does about its running answers each half second.
void watchStreams(fleet_simulation &simulation);

/// Time from the start to the first token, which only the oracle knows.
microseconds oracleFirstTokenTime(const fleet_simulation &simulation,
                                  const simulated_request &request);

/// Starts what the oracle would: strict tiers, deadline order, only requests that can be on time.
void oracleAssign(fleet_simulation &simulation);

/// Reads an engine's load and cache events, again and again.
void publishReport(fleet_simulation &simulation, std::size_t engineNumber);

/// Deals out slots, again and again.
void assignSlots(fleet_simulation &simulation);

/// Lets time pass in a host's scheduler, again and again.
void tick(fleet_simulation &simulation, int index);

/// Plans the faults of the scenario.
void scheduleFaults(fleet_simulation &simulation);

} // namespace quincefall::bench
