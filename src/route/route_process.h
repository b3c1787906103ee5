#pragma once

#include "kernel/result.h"
#include "route/route_settings.h"
#include "route/state_source.h"
#include "route/wire_format.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace quincefall {

/// One host of `quincefall route`: all of its services, put together.
class route_process
{
public:
    static result<std::unique_ptr<route_process>> makeRouteProcess(boost::asio::io_context &context,
                                                                   route_settings values,
                                                                   state_source source,
                                                                   wire_format wire);
    ~route_process();

    /// Takes in changed settings; addresses and the store stay as they are.
    void reload(const route_settings &values);

    /// Leaves the balancer, finishes running requests and calls @p done.
    void stopGracefully(std::function<void()> done);

private:
    struct state;
    explicit route_process(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
