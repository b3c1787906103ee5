#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

/// Scheduling parameters of a service class.
struct class_policy
{
    std::string name;
    int tier = 1; ///< Priority; 1 is the highest.
    microseconds firstTokenTarget{700'000};
    microseconds tokenGapTarget{73'000};
    microseconds maxWait{10'000'000}; ///< Longest time in the queue before a refusal.
    double guaranteedShare = 0; ///< Share of the pool's slots, 0..0.5; see tier_rule.h.
};

/// One upstream of a pool as declared and listed.
struct upstream_info
{
    std::string name;
    std::string region;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that it runs concurrently.
    bool leaving = false; ///< Gets no new requests.
    std::vector<std::string> models; ///< Models that it serves now; empty means any.
};

/// Scheduling parameters of an organisation.
struct organisation_policy
{
    std::string name;
    double weight = 1; ///< Weight in fair sharing within a class.
    std::uint32_t maxInFlight = 0; ///< Limit of running requests; 0 means no limit.
};

/// Configuration of one pool's queue.
struct pool_plan
{
    std::vector<class_policy> classes;
    std::vector<upstream_info> upstreams;
    std::vector<organisation_policy> organisations;
    double linkBytesPerSecond = 0; ///< Budget for the link between regions; 0 means no limit.
    bool regionsPartitioned = false; ///< Regions can't reach each other; no request crosses.
    bool powerOfTwoChoices = false; ///< Use the less loaded of two random upstreams.
};

/// A request that waits for, or holds, a slot on an upstream.
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

/// Grants and refusals that result from one input to the scheduler, each in order.
struct decisions
{
    std::vector<grant> grants;
    std::vector<refusal> refusals;
};

/// End of an attempt, as seen by its entry host.
struct completion
{
    std::uint64_t permit = 0;
    std::string upstream;
    std::uint32_t tokens = 0;
    microseconds timeToFirstToken{0}; ///< From the start to the first token.
    microseconds duration{0};
    bool failed = false; ///< Because of a fault of the upstream.
    bool stopped = false; ///< Ended early, by the caller or to resume elsewhere.
};

/// Reports that a running attempt is slower than its class's token-gap target.
struct slow_progress
{
    std::uint64_t permit = 0;
    std::string upstream;
    double tokensPerSecond = 0; ///< In the last interval; see stream_watch.h.
};

/// A running attempt whose permit was granted by an earlier owner of the queue.
struct adopted_attempt
{
    std::string id;
    std::string entryHost;
    std::uint64_t permit = 0;
    std::string upstream;
    std::string serviceClass;
    std::string organisation;
    microseconds running{0}; ///< Time since its start.
};

/// Load that an upstream reported about itself.
struct load_report
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double tokensPerSecond = 0;
    microseconds age{0}; ///< Time since the upstream took the figures.
};

} // namespace quincefall
