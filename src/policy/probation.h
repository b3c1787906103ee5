#pragma once

#include "policy/routed_upstream.h"

#include <vector>

namespace quincefall {

/// A request that might try a failing upstream.
struct probe_candidate
{
    bool isRetryable = false; ///< It can be repeated elsewhere.
    double targetMs = 0; ///< Latency objective; 0 for none.
};

/// Whether an upstream gets no work but probes.
bool isWithheld(const routed_upstream &upstream, instant now);

/// Takes in that an upstream did not answer on a connection, or that none opened.
void recordDisconnect(routed_upstream &upstream);

/// Takes in whether a new connection to an upstream that is cut off opened.
void recordReconnect(routed_upstream &upstream, bool isOpen, instant now);

/// Upstreams that are cut off and due for an attempt to connect, which they are taken to get.
///
/// Answers upstreams behind a broken link: a caller whose request waits for a connection that never
/// opens is late; an attempt to connect that carries no request costs nobody time.
std::vector<routed_upstream *> takeDueReconnects(service_pool &pool, instant now);

/// Whether @p request should try the failing @p upstream.
///
/// Answers upstreams that hang: the request with the most time to spare still meets its objective
/// after a failed try. When no such request comes for a while, any will do.
bool shouldProbe(service_pool &pool, const routed_upstream &upstream,
                 const probe_candidate &request, instant now);

/// Silence after which a probe is given up, so that its request can be served elsewhere in time.
microseconds probeTimeout(microseconds target);

} // namespace quincefall
