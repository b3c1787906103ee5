#pragma once

#include "policy/retry_budget.h"
#include "policy/stream_watch.h"
#include "policy_fleet.h"

#include <deque>
#include <functional>
#include <set>

namespace quincefall::bench {

inline constexpr microseconds localDelay{1'000};
inline constexpr microseconds regionDelay{10'000};
inline constexpr milliseconds crashNotice{50};
inline constexpr double submitBytes = 72;
inline constexpr double finishBytes = 40;
inline constexpr double prefillUnitsPerToken = 0.01;
inline constexpr const char *poolKey = "pool";

/// Where a request stands.
enum class request_state { waiting, running, done, refused };

/// A caller's request.
struct request
{
    work_item item;
    const demand *of = nullptr;
    int host = 0;
    double tokens = 0;
    double delivered = 0;
    request_state state = request_state::waiting;
    bool isReturn = false;
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
    std::vector<std::string> view;
    std::string owner;
    retry_budget retries;
};

/// Everything in one run.
struct fleet
{
    const scenario &plan;
    sharing_way way;
    event_queue events;
    std::mt19937_64 random;
    std::vector<entry_host> hosts;
    std::vector<engine_model> engines;
    std::deque<request> requests; // Keeps references while it grows.
    fleet_figures figures;
    std::uint64_t nextAttempt = 1;
    std::map<std::string, std::size_t> engineIndex;
    std::vector<std::set<std::pair<instant, std::size_t>>> oracleWaiting; ///< By demand.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> quietOrganisations;
    std::map<std::string, std::size_t> publishedEvents;
    drain_rate oracleDrain;
    retry_schedule oracleReturns;
};

/// Why an attempt ended early.
enum class attempt_fault { upstreamFailed, slow, entryHostLost };

using decision_step = std::function<decisions(pool_state &)>;

/// A random number from 0 to 1.
double uniform(fleet &world);

engine_model &engineOf(fleet &world, const std::string &name);
int hostIndex(const fleet &world, const std::string &name);

/// One-way delay between two regions, or within one.
microseconds delayBetween(const std::string &one, const std::string &other);

/// Runs @p action on a host unless it is dead; a paused host runs it when it goes on.
void onHost(fleet &world, int index, std::function<void()> action);

/// Runs @p action on host @p to after the way of a message of @p bytes.
void sendMessage(fleet &world, int from, int to, double bytes, std::function<void()> action);

/// Calls a decision function of a host's scheduler and routes what it decided.
void decide(fleet &world, int index, const decision_step &step);

/// The host whose scheduler decides for @p host; -1 when it knows of none.
int schedulerOf(const fleet &world, int host);

/// Sends grants and refusals to the entry hosts.
void route(fleet &world, int from, const decisions &decided);

/// A request comes in.
void arrive(fleet &world, std::size_t index);

/// Asks the scheduler for a place.
void submitRequest(fleet &world, std::size_t index);

/// Sends a request to an upstream.
void startAttempt(fleet &world, std::size_t index, const std::string &upstream);

/// Ends the attempt of a running request early and, if the retry budget allows it, resumes it on
/// another upstream.
void failAttempt(fleet &world, std::size_t index, attempt_fault fault);

/// A refused caller goes away; some come back after @p retryAfter.
void takeRefusal(fleet &world, std::size_t index, milliseconds retryAfter);

/// What an entry host does about its running answers each half second.
void watchStreams(fleet &world);

/// Time from the start to the first token, which only the oracle knows.
microseconds oracleFirstTokenTime(const fleet &world, const request &of);

/// Starts what the oracle would: strict tiers, deadline order, only requests that can be on time.
void oracleAssign(fleet &world);

/// Reads an engine's load and cache events, again and again.
void publishReport(fleet &world, std::size_t engineNumber);

/// Deals out slots, again and again.
void lendSlots(fleet &world);

/// Lets time pass in a host's scheduler, again and again.
void tick(fleet &world, int index);

/// Plans the faults of the scenario.
void scheduleFaults(fleet &world);

} // namespace quincefall::bench
