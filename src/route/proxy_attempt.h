#pragma once

#include "clients/connection_pool.h"
#include "policy/placement.h"
#include "route/proxy_job.h"
#include "route/routing_state.h"
#include "route/upstream_call.h"
#include "route/wire_format.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace quincefall {

/// What attempts need of their host.
struct attempt_context
{
    routing_state &state;
    const wire_format &wire;
    std::shared_ptr<connection_pool> connections;
    clock_source clock;
    /// Takes a further attempt for the job out of the budget; false when there is none.
    std::function<bool(proxy_job &)> takeFurther;
};

/// Sends the request to the chosen upstream and relays what it answers.
boost::asio::awaitable<attempt_end> runAttempt(attempt_context &context, proxy_job &job,
                                               placement chosen);

} // namespace quincefall
