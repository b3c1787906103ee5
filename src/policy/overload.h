#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>

namespace quincefall {

/// A request, and its expected wait at the upstream that would be chosen for it.
struct overload_input
{
    double delayMs = 0; ///< Expected wait, due to work ahead of this request.
    double targetMs = 0; ///< Latency objective from the caller's first attempt on; 0: none.
    double remainingMs = 0; ///< Until the deadline of the caller or of the route.
    bool isCallerRetry = false; ///< The caller was refused before.
};

/// Whether a request is admitted, and if not, when its caller should retry.
struct overload_decision
{
    bool isAdmitted = true;
    milliseconds retryAfter{0};
};

/// Refuses a request at once, while a retry may still be served, when its expected wait is more
/// than maxWaitShare of its objective or, for a retry, maxRetryWaitShare of its remaining time (see
/// overload.cpp). Without an objective every request is admitted.
///
/// Needed in a burst of more prompt tokens than the engines can prefill: requests that wait past
/// their objective take capacity from those that could still meet it, until all are late. A retry
/// is late already; what counts is that its answer can be complete before the deadline.
overload_decision decideOverload(const overload_input &request);

/// Whether a request that its preferred upstream has no capacity for may run on another one, where
/// its prompt prefix is not cached, instead of being refused. @p idle of @p upstreams have no work.
/// While many are busy, a second prefill would only move the queue, and take time from prompts that
/// can be prefilled once.
bool allowsCacheMiss(double idle, double upstreams);

/// Estimate of the longest timeout that the callers of a route set, by route name.
struct caller_timeouts
{
    std::map<std::string, double, std::less<>> maxTimeoutMs;
};

/// Updates the route's estimate with a caller's timeout, and returns whether the timeout is so
/// short that it is taken for the rest of a longer one, after an earlier refusal.
bool detectCallerRetry(caller_timeouts &timeouts, const std::string &route, milliseconds timeout);

} // namespace quincefall
