#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quincefall {

/// A service and its part of a route's requests.
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
    bool isRepeatable = false; ///< May run more than once.
    bool isStream = false; ///< The answer is a series of events.
    bool isResumable = false; ///< A stream that another upstream may continue.
    bool needsKey = true;
    bool hasPrompt = false; ///< Requests name the parts of their prompt.
    int priority = 0; ///< 0 is the highest.
    int maxAttempts = 1; ///< Upstreams that one request may run on.
    milliseconds timeout{0}; ///< From arrival to the final answer.
    milliseconds targetLatency{0}; ///< To the whole answer, or to a stream's first event.
    milliseconds gapTarget{0}; ///< Longest pause between events that is still on time; 0 if unset.
};

/// Limits of the engines of a service, where it has engines.
struct engine_rule
{
    unsigned slots = 1; ///< Requests that run at once.
    double cacheTokens = 0; ///< Memory for running requests and kept prompt parts.
    unsigned tokensPerEvent = 1;
};

/// A group of alike upstreams.
struct service_rule
{
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< To one upstream, from all hosts together; 0 if unset.
    std::optional<engine_rule> engine;
};

/// The organisation that holds a key.
struct organisation_rule
{
    std::string name;
    std::optional<int> priority; ///< Goes before the route's.
};

/// What a caller may send, and how long it may take.
struct caller_limits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    milliseconds headerTimeout{3'000};
    milliseconds idleTimeout{15'000};
};

/// What the operator declared, as of one version.
struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::map<std::string, service_rule, std::less<>> services;
    std::map<std::string, organisation_rule, std::less<>> organisationsByKey;
    bool checksKeys = false; ///< Organisations are declared, so requests need a key.
    caller_limits limits;
    /// Distinct ranks of requests in order, first to last; see indexRanks.
    std::vector<std::pair<int, int>> ranks;
};

/// Rank of a request: the organisation's priority goes before the route's.
std::pair<int, int> rankOf(const organisation_rule *organisation, const route_rule &route);

/// Fills `ranks` from routes and organisations. To be called once a desired state is complete.
void indexRanks(desired_state &desired);

} // namespace quincefall
