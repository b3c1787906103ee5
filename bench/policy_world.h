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

/// State of a request.
enum class simulated_request_state { waiting, running, done, refused };

/// A caller's request and its current attempt.
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

/// An entry host with its scheduler. In owner mode, only the scheduler of the owner is used.
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

/// Complete state of one simulation run.
struct fleet_simulation
{
    const scenario &plan;
    sharing_mode mode;
    event_queue events;
    std::mt19937_64 random;
    std::vector<entry_host> hosts;
    std::vector<engine_model> engines;
    std::deque<simulated_request> requests; ///< References stay valid while it grows.
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

/// Returns a random number from 0 to 1.
double uniform(fleet_simulation &simulation);

engine_model &engineOf(fleet_simulation &simulation, const std::string &name);
int hostIndex(const fleet_simulation &simulation, const std::string &name);

/// One-way delay between two regions, or within one.
microseconds delayBetween(const std::string &one, const std::string &other);

/// Runs @p action on a host unless the host is dead; a paused host runs it when it resumes.
void onHost(fleet_simulation &simulation, int index, std::function<void()> action);

/// Sends a message of @p bytes from host @p from to host @p to, which runs @p action on arrival.
void sendMessage(fleet_simulation &simulation, int from, int to, double bytes,
                 std::function<void()> action);

/// Calls a decision function on a host's scheduler and sends its decisions to the entry hosts.
void decide(fleet_simulation &simulation, int index, const decision_step &step);

/// Index of the host whose scheduler decides for @p host; -1 if there is none.
int schedulerOf(const fleet_simulation &simulation, int host);

/// Sends grants and refusals to the entry hosts.
void route(fleet_simulation &simulation, int from, const decisions &decided);

/// Handles the arrival of a request at its entry host.
void arrive(fleet_simulation &simulation, std::size_t index);

/// Submits a request to the scheduler of its entry host.
void submitRequest(fleet_simulation &simulation, std::size_t index);

/// Starts an attempt of a request on an upstream.
void startAttempt(fleet_simulation &simulation, std::size_t index, const std::string &upstream);

/// Ends the attempt of a running request early and, if the retry budget allows it, resumes it on
/// another upstream.
void failAttempt(fleet_simulation &simulation, std::size_t index, attempt_fault fault);

/// Ends a refused request; some callers retry once after @p retryAfter.
void handleRefusal(fleet_simulation &simulation, std::size_t index, milliseconds retryAfter);

/// Checks the running streams every 500 ms: reports slow ones and moves those that are too slow to
/// another upstream.
void watchStreams(fleet_simulation &simulation);

/// Time from the start of an attempt to its first token on an engine at full speed, for the oracle.
microseconds oracleFirstTokenTime(const fleet_simulation &simulation,
                                  const simulated_request &request);

/// Starts waiting requests in the oracle mode: by strict tier priority, then by deadline. Refuses
/// requests that can no longer be on time unless part of their answer is delivered.
void oracleAssign(fleet_simulation &simulation);

/// Reads an engine's load and cache events periodically and delivers them to the schedulers.
void publishReport(fleet_simulation &simulation, std::size_t engineNumber);

/// Lends the free slots of the engines to the hosts periodically.
void lendSlots(fleet_simulation &simulation);

/// Advances the time of a host's scheduler periodically.
void tick(fleet_simulation &simulation, int index);

/// Schedules the faults of the scenario.
void scheduleFaults(fleet_simulation &simulation);

} // namespace quincefall::bench
