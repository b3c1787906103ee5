#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

/// What the scheduler needs to know of a service class.
struct class_policy
{
    std::string name;
    int tier = 1; ///< 1 is served first.
    microseconds firstTokenTarget{700'000};
    microseconds tokenGapTarget{73'000};
    microseconds maxWait{10'000'000}; ///< Longest time in the queue before a final answer.
    double guaranteedShare = 0; ///< Share of the pool's slots, 0..1, kept; see tier_rule.h.
};

/// One upstream of a pool as declared and listed.
struct upstream_info
{
    std::string name;
    std::string region;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests it runs at once.
    bool leaving = false; ///< Gets no new work.
    std::vector<std::string> models; ///< Served now; empty means any.
};

/// What the scheduler needs to know of an organisation.
struct organisation_policy
{
    std::string name;
    double weight = 1; ///< Relative share within a class.
    std::uint32_t maxInFlight = 0; ///< 0 means no limit.
};

/// Configuration of one pool's queue.
struct pool_plan
{
    std::vector<class_policy> classes;
    std::vector<upstream_info> upstreams;
    std::vector<organisation_policy> organisations;
    double linkBytesPerSecond = 0; ///< Budget for the link between regions; 0 means no limit.
    bool regionsPartitioned = false; ///< Nothing crosses the link while the regions are parted.
    bool powerOfTwoChoices
        = false; ///< Take the better of two random upstreams, not the least loaded.
};

/// A request that waits for, or holds, a place on an upstream.
struct work_item
{
    std::string id;
    std::string entryHost;
    std::string entryRegion;
    std::string organisation;
    std::string serviceClass;
    std::string model;
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t resumeFrom = 0; ///< Tokens already delivered by an earlier attempt.
    instant arrival; ///< On the scheduler's clock.
    std::vector<std::string> excluded; ///< Upstreams that failed this request.
};

/// Permission for one attempt on one upstream.
struct grant
{
    std::string id;
    std::string entryHost;
    std::uint64_t permit = 0;
    std::string upstream;
};

/// Final refusal of a waiting request.
struct refusal
{
    std::string id;
    std::string entryHost;
    result_code code = result_code::overloaded;
    milliseconds retryAfter{0};
    std::string detail;
};

/// What a step of the scheduler decided, in order.
struct decisions
{
    std::vector<grant> grants;
    std::vector<refusal> refusals;
};

/// The end of an attempt as its entry host saw it.
struct completion
{
    std::uint64_t permit = 0;
    std::string upstream;
    std::uint32_t tokens = 0;
    microseconds firstToken{0};
    microseconds duration{0};
    bool failed = false; ///< By a fault of the upstream.
    bool stopped = false; ///< Before its end, by the caller or to go on elsewhere.
};

/// Progress of a running attempt that is slower than its class asks for.
struct slow_progress
{
    std::uint64_t permit = 0;
    std::string upstream;
    double tokensPerSecond = 0; ///< In the last interval.
};

/// A permit granted by an earlier owner of the queue.
struct running_attempt
{
    std::string id;
    std::string entryHost;
    std::uint64_t permit = 0;
    std::string upstream;
    std::string serviceClass;
    std::string organisation;
    microseconds running{0};
};

/// What an upstream says of itself, some time ago.
struct load_report
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double tokensPerSecond = 0;
    microseconds age{0}; ///< How long ago the upstream took the figures.
};

} // namespace quincefall
