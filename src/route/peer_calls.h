#pragma once

#include "clients/http_client.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/upstream_changes.h"
#include "route/routing_state.h"
#include "serve/http_server.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

/// Paths at which hosts tell each other what they know of the platform.
inline constexpr std::string_view peerDesiredPath = "/desired-state";
inline constexpr std::string_view peerUpstreamsPath = "/upstreams";

/// Answers another host: the desired state in force here if it is newer than the query's `after`.
boost::asio::awaitable<void> answerDesired(http_exchange &exchange, const routing_state &state,
                                           instant now);

/// Answers another host: the upstreams that changed after the query's offset `after`.
boost::asio::awaitable<void> answerUpstreams(http_exchange &exchange, const routing_state &state,
                                             instant now);

/// What another host knows of the desired state.
struct peer_desired
{
    std::optional<std::string> text; ///< Empty when it knows nothing newer.
    milliseconds age{0}; ///< Since it was known to be the newest.
};

/// What another host knows of the upstreams.
struct peer_upstreams
{
    upstream_changes changes;
    milliseconds age{0}; ///< Since its list was known to be whole.
};

/// Asks another host. Fails with peerUnreachable or messageInvalid.
boost::asio::awaitable<result<peer_desired>> askDesired(http_client &client, host_address host,
                                                        std::uint64_t after);
boost::asio::awaitable<result<peer_upstreams>> askUpstreams(http_client &client, host_address host,
                                                            std::uint64_t after);

} // namespace quincefall
