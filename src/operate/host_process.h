#pragma once

#include "kernel/result.h"
#include "operate/settings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

/// A host of the fleet: creates, connects, starts and stops the services of `quincefall serve`.
class host_process
{
public:
    static result<std::unique_ptr<host_process>> makeHostProcess(boost::asio::io_context &context,
                                                                 settings values);
    ~host_process();

    /// The ports that the host listens on. For port 0 in the settings, the system chooses one.
    struct ports
    {
        std::uint16_t caller = 0;
        std::uint16_t peer = 0;
        std::uint16_t operators = 0;
    };
    ports listeningPorts() const;

    /// Leaves the fleet, waits until callers' connections are closed and claims are written, but
    /// for at most settings::drainTimeout, then stops all services and calls @p done. Further calls
    /// have no effect.
    void stopGracefully(std::function<void()> done);

private:
    struct state;
    explicit host_process(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
