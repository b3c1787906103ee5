#pragma once

#include "clients/connection_pool.h"
#include "kernel/clock.h"
#include "route/routing_state.h"
#include "serve/http_server.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace quincefall {

/// Relays connections to upstreams for hosts that don't reach them. Only upstreams that the
/// platform lists are reached, and only directly, so that connections never pass two hosts.
class relay_server
{
public:
    struct counts
    {
        std::size_t open = 0;
        std::uint64_t opened = 0;
        std::uint64_t unreachable = 0; ///< The upstream was not reached.
        std::uint64_t unavailable = 0; ///< This host relayed nothing at that moment.
    };

    static std::unique_ptr<relay_server>
    makeRelayServer(const routing_state &routing, std::shared_ptr<connection_pool> connections,
                    std::size_t maxOpen, clock_source clock);
    ~relay_server();

    /// Answers a query at peerRelayPath: opens a connection to the upstream with the id `upstream`
    /// and the start `started`, and passes bytes in both directions until one side closes.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

    counts numbers() const;

private:
    struct state;
    explicit relay_server(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
