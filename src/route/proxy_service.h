#pragma once

#include "clients/connection_pool.h"
#include "kernel/clock.h"
#include "observe/metrics.h"
#include "policy/placement.h"
#include "route/routing_state.h"
#include "route/wire_format.h"
#include "serve/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace quincefall {

/// Answers callers' requests by passing them on to upstreams.
class proxy_service
{
public:
    struct options
    {
        placement_site site;
        attempt_budget_rule budget;
        milliseconds staleAfter{
            4'000}; ///< Age of the last contact from which 401 and 404 are unsafe.
    };

    static std::unique_ptr<proxy_service>
    makeProxyService(boost::asio::io_context &context, routing_state &state, wire_format wire,
                     std::shared_ptr<connection_pool> connections, metrics &numbers,
                     clock_source clock, options settings);
    ~proxy_service();

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

    /// Requests that came later are refused as not run.
    void refuseNew();

private:
    struct state;
    explicit proxy_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
