#pragma once

#include "clients/http_client.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/bulk_pace.h"
#include "policy/upstream_changes.h"
#include "route/routing_state.h"
#include "serve/http_server.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Paths at which hosts serve their copy of the platform's state to each other.
inline constexpr std::string_view peerDesiredPath = "/desired-state";
inline constexpr std::string_view peerUpstreamsPath = "/upstreams";

/// Answers to other hosts that are being sent or were sent.
struct state_answers
{
    struct recipient
    {
        host_address host;
        instant receivedBy;
    };

    bulk_pace pace; ///< Of large answers.
    std::size_t bulkInProgress = 0; ///< Large answers that are being sent.
    std::uint64_t version = 0; ///< Newest desired state that was sent as a large answer.
    std::vector<recipient> recipients; ///< Of that version.
    std::size_t refusals = 0; ///< Of desired states.
};

/// Answers another host's query. At peerDesiredPath, with the desired state in force here if its
/// version is above the query's `after`; at peerUpstreamsPath, with the upstreams that changed
/// after the offset `after` in the store's epoch `epoch`. A large answer is replaced by 503 while
/// others are being sent; for a desired state, with the name of a host that has received it.
boost::asio::awaitable<void> answerStateQuery(http_exchange &exchange, const routing_state &state,
                                              state_answers &answers, const clock_source &clock);

/// Another host's answer about the desired state.
struct peer_desired
{
    std::optional<std::string> text; ///< Empty when that host has none newer.
    std::optional<host_address> askInstead; ///< The host is busy; this one has its version.
    std::string compressed; ///< `text` as it was sent, if it was sent compressed.
    /// Version that it replaced at that host; 0 if that host, of an earlier build, does not tell.
    std::uint64_t before = 0;
    std::size_t receivedBytes = 0;
    milliseconds age{0}; ///< Since that host last confirmed it as the newest.
};

/// Another host's answer about the upstreams.
struct peer_upstreams
{
    upstream_changes changes;
    milliseconds age{0}; ///< Since that host last confirmed its list as complete.
};

/// Query another host for what is newer than @p after, as the host with peer address @p own. Fail
/// with peerRejected when the host is busy or has nothing to give, and with peerUnreachable or
/// messageInvalid.
boost::asio::awaitable<result<peer_desired>> fetchDesired(http_client &client, host_address host,
                                                          std::uint64_t after, host_address own);
boost::asio::awaitable<result<peer_upstreams>>
fetchUpstreams(http_client &client, host_address host, store_position after, host_address own);

} // namespace quincefall
