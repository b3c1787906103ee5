#pragma once

#include "kernel/result.h"
#include "operate/settings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

/// One host of the fleet: all services of `quincefall serve`, put together.
class host_process
{
public:
    static result<std::unique_ptr<host_process>> makeHostProcess(boost::asio::io_context &context,
                                                                 settings values);
    ~host_process();

    /// Ports in use, which differ from the settings where those say 0.
    struct ports
    {
        std::uint16_t caller = 0;
        std::uint16_t peer = 0;
        std::uint16_t operators = 0;
    };
    ports listeningPorts() const;

    /// Leaves the fleet, finishes all running requests and calls @p done.
    void stopGracefully(std::function<void()> done);

private:
    struct state;
    explicit host_process(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
