#pragma once

#include "kernel/clock.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace quincefall {

/// Announces this host in the platform's store and reads the other hosts' announcements from it.
class host_directory
{
public:
    /// @p seeds are used as the peers when the announcements can't be read, until the first
    /// successful read.
    static std::unique_ptr<host_directory>
    makeHostDirectory(boost::asio::io_context &context, routing_state &state, state_source source,
                      host_announcement own, std::vector<host_address> seeds, clock_source clock);
    ~host_directory();

    void start();
    void stop();

private:
    struct state;
    explicit host_directory(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
