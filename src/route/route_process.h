#pragma once

#include "kernel/result.h"
#include "route/duty_calls.h"
#include "route/route_settings.h"
#include "route/state_source.h"
#include "route/wire_format.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace quincefall {

/// One host of `quincefall route`. Creates its services, connects them and owns them.
class route_process
{
public:
    /// @p calls are used only if the settings name duties.
    static result<std::unique_ptr<route_process>>
    makeRouteProcess(boost::asio::io_context &context, route_settings values, state_source source,
                     wire_format wire, duty_calls calls);
    ~route_process();

    /// Applies the values of `stop_s` and `max_connections`; the other settings stay as they are.
    void reload(const route_settings &values);

    /// Reports not ready, so that the load balancer removes this host, finishes running requests
    /// within the time of `stop_s` and calls @p done.
    void stopGracefully(std::function<void()> done);

private:
    struct state;
    explicit route_process(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
