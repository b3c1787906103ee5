#pragma once

#include "policy/routed_upstream.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace quincefall {

/// A request that may be used to probe a failing upstream.
struct probe_candidate
{
    bool isRetryable = false; ///< It can be retried on another upstream.
    double targetMs = 0; ///< Latency target; 0 for none.
};

/// Whether an upstream is failing or its failure rate is above maxFailureRate (probation.cpp). It
/// gets probes only, unless no other upstream is usable.
bool isWithheld(const routed_upstream &upstream, instant now);

/// Between two attempts to connect to a disconnected upstream. Links recover after seconds.
inline constexpr milliseconds reconnectInterval{500};

/// Records that an attempt that counts against the upstream timed out, before or during its answer,
/// or could not connect.
void recordDisconnect(routed_upstream &upstream);

/// Number of disconnected upstreams in all pools.
std::size_t countDisconnected(const std::map<std::string, service_pool, std::less<>> &pools);

/// Records whether a new connection to a disconnected upstream could be opened.
void recordReconnect(routed_upstream &upstream, bool isOpen, instant now);

/// The disconnected upstreams that are due for an attempt to connect, which the caller has to
/// start: their next one is postponed.
///
/// Needed for upstreams behind a broken link: a request that waits for a connection that never
/// opens is late, whereas an attempt to connect without a request delays nobody.
std::vector<routed_upstream *> takeDueReconnects(service_pool &pool, instant now);

/// Whether @p request should try the failing @p upstream.
///
/// Guards against upstreams that hang: only a request with a long latency target can still meet it
/// after a failed probe. When no such request arrives for a while, any retryable request probes.
bool shouldProbe(service_pool &pool, const routed_upstream &upstream,
                 const probe_candidate &request, instant now);

/// Time without a byte after which a probe is abandoned, so that another upstream can still serve
/// the request within its latency target @p target.
microseconds probeTimeout(microseconds target);

} // namespace quincefall
