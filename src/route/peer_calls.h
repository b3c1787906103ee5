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

/// Paths at which hosts serve their copy of the platform's state to each other.
inline constexpr std::string_view peerDesiredPath = "/desired-state";
inline constexpr std::string_view peerUpstreamsPath = "/upstreams";

/// Answers to other hosts that are being sent.
struct state_answers
{
    std::size_t bulkBytes = 0; ///< Of the large ones.
};

/// Answers another host's query. At peerDesiredPath, with the desired state in force here if its
/// version is above the query's `after`; at peerUpstreamsPath, with the upstreams that changed
/// after the offset `after` in the store's epoch `epoch`. A large answer is replaced by 503 while
/// others are being sent; a host that is refused queries another one.
boost::asio::awaitable<void> answerStateQuery(http_exchange &exchange, const routing_state &state,
                                              state_answers &answers, instant now);

/// Another host's answer about the desired state.
struct peer_desired
{
    std::optional<std::string> text; ///< Empty when that host has none newer.
    std::string compressed; ///< `text` as it was sent, if it was sent compressed.
    std::size_t receivedBytes = 0;
    milliseconds age{0}; ///< Since that host last confirmed it as the newest.
};

/// Another host's answer about the upstreams.
struct peer_upstreams
{
    upstream_changes changes;
    milliseconds age{0}; ///< Since that host last confirmed its list as complete.
};

/// Query another host for what is newer than @p after. Fail with peerRejected when the host is busy
/// or has nothing to give, and with peerUnreachable or messageInvalid.
boost::asio::awaitable<result<peer_desired>> fetchDesired(http_client &client, host_address host,
                                                          std::uint64_t after);
boost::asio::awaitable<result<peer_upstreams>>
fetchUpstreams(http_client &client, host_address host, store_position after);

} // namespace quincefall
