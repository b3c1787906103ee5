#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/upstream_entry.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quincefall {

struct routed_upstream;
struct service_pool;

/// The links from this host to all upstreams.
///
/// A cut link and a crashed upstream look the same from one host. A link counts as cut only once
/// another host has reached the upstream, see recordCutLink().
struct upstream_links
{
    instant lastContactAt = instant::min(); ///< Last direct byte or connection of any upstream.
    std::set<std::string, std::less<>> cut; ///< Ids; found cut since `lastContactAt`.
    bool isIsolated = false; ///< No upstream is reached directly.
};

/// Records that an upstream sent something over a direct connection or that one was opened to it.
/// True if the host was isolated before.
bool recordContact(upstream_links &links, instant now);

/// Records that the upstream is reached through @p relay. Failures of attempts over its direct link
/// no longer count against it.
void recordRelay(routed_upstream &upstream, const host_address &relay, instant now);

/// Records that @p upstream could not be reached directly in an attempt that began at @p triedAt,
/// while another host reaches it. True if the host is isolated from now on.
///
/// Answers a host that lost its links to all upstreams: without this, it would find each link cut
/// by a request that waits for it.
bool recordCutLink(upstream_links &links, const routed_upstream &upstream, instant triedAt);

/// Whether the next connection to the upstream goes through another host.
bool needsRelay(const upstream_links &links, const routed_upstream &upstream);

/// Whether the host reaches upstreams, directly or through other hosts.
///
/// A host that reaches them through others serves its callers as well as those hosts do; to turn
/// callers away then would help none of those on open connections.
bool reachesUpstreams(const upstream_links &links,
                      const std::map<std::string, service_pool, std::less<>> &pools);

/// Number of upstreams that are reached through other hosts.
std::size_t countRelayed(const std::map<std::string, service_pool, std::less<>> &pools);

/// The upstreams to which a connection should be opened to find out whether their links are cut.
/// Their next check is postponed.
///
/// Answers links that fail silently: connections stay open, and only silence shows that nothing
/// passes. An upstream that is only slow accepts the connection, which is kept for later requests.
std::vector<upstream_entry>
takeDueLinkChecks(std::map<std::string, service_pool, std::less<>> &pools,
                  const upstream_links &links, instant now);

} // namespace quincefall
