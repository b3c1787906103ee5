#pragma once

#include "policy/pool_scheduler.h"

#include <map>
#include <set>
#include <sstream>
#include <string>

namespace quincefall::testing {

/// Drives the scheduler of one pool in virtual time and records every input and decision.
struct pool_session
{
    pool_state state;
    instant now{};
    std::ostringstream transcript;
    std::map<std::string, grant> running; ///< By request id.
    std::set<std::string> granted;
    std::map<std::string, int> grantsByClass;
    std::map<std::string, int> refusalsByClass;
    std::map<std::string, std::string> classOf;
    std::map<std::string, instant> arrivals; ///< Kept when a request is submitted again.
    bool verbose = true;

    void writeLine(const std::string &line);
    void applyDecisions(const decisions &decided);
    void submitRequest(const std::string &id, const std::string &serviceClass,
                       const std::string &organisation);
    void finishRequest(const std::string &id, std::uint32_t tokens, microseconds duration);
    void advanceBy(microseconds step);
    void writeCounters();
};

/// A pool with @p upstreamCount upstreams of @p slots slots and three classes of tiers 1 to 3.
pool_plan makeThreeTierPlan(int upstreamCount, std::uint32_t slots);

} // namespace quincefall::testing
