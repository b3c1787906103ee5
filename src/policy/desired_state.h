#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quincefall {

/// A service and its weight in a route's traffic split.
struct service_share
{
    std::string service;
    double weight = 1;
};

/// How the requests of one authority and path prefix are handled.
struct route_rule
{
    std::string name;
    std::string authority;
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<service_share> services;
    bool isRepeatable = false; ///< A request may run more than once.
    bool isStream = false; ///< The answer is an event stream.
    bool isResumable = false; ///< Another upstream may continue a broken stream.
    bool needsKey = true;
    bool hasPrompt = false; ///< Requests list the parts of their prompt.
    int priority = 0; ///< 0 is the highest.
    int maxAttempts = 1; ///< Upstreams that one request may run on.
    milliseconds timeout{0}; ///< From arrival to the final answer.
    milliseconds targetLatency{0}; ///< To the whole answer, or to a stream's first event.
    milliseconds gapTarget{0}; ///< For the longest gap between two events; 0 if unset.
};

/// Limits of each engine of a service.
struct engine_rule
{
    unsigned slots = 1; ///< Requests that run at once.
    double cacheTokens = 0; ///< Cache size, for running requests and cached prompt parts.
    unsigned tokensPerEvent = 1;
};

/// Bounds and prices of the engines that may be ordered for a service.
struct autoscale_rule
{
    unsigned minCount = 0; ///< In each failure domain, of both kinds together.
    unsigned maxCount = 0;
    milliseconds bootTime{0}; ///< From an order to the first request.
    /// Price of an interruptible engine, as a share of the price of another one; empty if there are
    /// none.
    std::optional<double> interruptiblePrice;
    std::map<std::string, double> domainPrices; ///< Of one engine and second.
};

/// A group of equivalent upstreams.
struct service_rule
{
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< To one upstream, from all hosts together; 0 if unset.
    std::optional<engine_rule> engine;
    std::optional<autoscale_rule> autoscale; ///< Empty if no engines may be ordered.
};

/// The organisation that owns an API key.
struct organisation_rule
{
    std::string name;
    std::optional<int> priority; ///< Compared before the route's; the route's if unset.
};

/// What a caller may send, and how long it may take.
struct caller_limits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    milliseconds headerTimeout{3'000};
    milliseconds idleTimeout{15'000};
};

/// One version of the configuration that the operator declared.
struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::map<std::string, service_rule, std::less<>> services;
    std::map<std::string, organisation_rule, std::less<>> organisationsByKey;
    std::vector<std::string> organisations; ///< All, also those without a key.
    std::vector<std::string>
        overriddenEntries; ///< Those that a later one of the same key replaces.
    bool checksKeys = false; ///< Organisations are declared, so requests need a key.
    caller_limits limits;
    /// Distinct ranks that requests may have, the most urgent first; see indexRanks().
    std::vector<std::pair<int, int>> ranks;
};

/// Rank of a request: the organisation's priority, 0 without an organisation, then the route's.
/// Lower ranks are more urgent.
std::pair<int, int> rankOf(const organisation_rule *organisation, const route_rule &route);

/// Fills `ranks` from routes and organisations. Call it when the rest of @p desired is complete.
void indexRanks(desired_state &desired);

} // namespace quincefall
