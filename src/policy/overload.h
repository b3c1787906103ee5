#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>

namespace quincefall {

/// A request and the wait that its best upstream has for it.
struct overload_input
{
    double delayMs = 0; ///< Due to work before this request.
    double targetMs = 0; ///< Latency objective; counts from the caller's first attempt.
    double remainingMs = 0; ///< Until the caller or its route gives up.
    bool isCallerRetry = false; ///< It was turned away before.
};

/// Whether a request is taken, and if not, when its caller should come back.
struct overload_decision
{
    bool isAdmitted = true;
    milliseconds retryAfter{0};
};

/// Turns away at once what would be late for certain, while a later attempt may still be served.
///
/// Answers a burst beyond what the engines can read: requests that wait past their objective take
/// the place of those that could still be on time, and then all are late. A returning caller is
/// late already; it is served as long as its answer can be whole in time.
overload_decision decideOverload(const overload_input &view);

/// Whether a request that its home has no room for may be read again elsewhere rather than be
/// turned away, with @p idle of @p upstreams without work. While many are busy, reading again would
/// only move the queue and take the time of what could be read once.
bool allowsCacheMiss(double idle, double upstreams);

/// Longest wait that callers of each route were seen to set, by route name.
struct caller_timeouts
{
    std::map<std::string, double, std::less<>> maxTimeoutMs;
};

/// Learns from a caller's wait, and tells whether it is so short that the caller has been turned
/// away before.
bool detectCallerRetry(caller_timeouts &patience, const std::string &route, milliseconds wait);

} // namespace quincefall
