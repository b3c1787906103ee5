#pragma once

#include "clients/connection_pool.h"
#include "kernel/address.h"
#include "kernel/result.h"
#include "policy/upstream_entry.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace quincefall {

/// Path at which hosts relay connections to upstreams for each other, and the protocol to which
/// they switch there (RFC 9110, 7.8): the bytes of one connection to the upstream. The connection
/// between the hosts is reset unless the upstream closes its own in good order.
inline constexpr std::string_view peerRelayPath = "/relay";
inline constexpr std::string_view relayProtocol = "quincefall-relay";

/// Status of an answer to a host that asks for a relayed connection.
inline constexpr int relayStatusRefused = 502; ///< The upstream's machine refuses connections.
inline constexpr int relayStatusUnreachable = 504;
inline constexpr int relayStatusUnavailable = 503; ///< The host relays nothing at present.

/// What several hosts answered that were asked to relay a connection to the same upstream.
struct relay_outcome
{
    connection_ptr connection; ///< Null if no host reached the upstream.
    host_address relay; ///< Host that reached it.
    std::vector<host_address> failed; ///< Hosts that did not answer or relay nothing.
    int refusals = 0; ///< Hosts that found that the upstream's machine refuses connections.
};

/// Asks @p relays for a connection to @p entry, one after the other, each as soon as the one before
/// has failed or kept silent for a while. Takes the first connection that is opened.
boost::asio::awaitable<relay_outcome>
openThroughRelays(std::shared_ptr<connection_pool> connections, upstream_entry entry,
                  std::vector<host_address> relays, milliseconds timeout);

} // namespace quincefall
