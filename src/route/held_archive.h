#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace quincefall {

/// Keeps held traits in the platform's store, so that they stay held when all hosts start anew at
/// once. The keepers of a trait store it when it becomes held and withdraw it when it is released.
/// A host that starts reads them; if the store does not answer, until it hears from hosts that have
/// run for longer and tell it.
class held_archive
{
public:
    /// @p onRead is called when traits were read from the store and merged.
    static std::unique_ptr<held_archive>
    makeHeldArchive(boost::asio::io_context &context, routing_state &target, state_source source,
                    const host_address &self, clock_source clock, std::function<void()> onRead);
    ~held_archive();

    void start();
    void stop();

private:
    struct state;
    explicit held_archive(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
