#pragma once

#include "kernel/clock.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace quincefall {

/// Keeps the routing state in step with the platform, by reads of its store or by other hosts that
/// read it; planFeed() decides which.
class feed
{
public:
    struct options
    {
        milliseconds upstreamInterval{1'000}; ///< Between reads of the upstreams.
        milliseconds desiredWait{2'500}; ///< Longest wait of one read for a new desired state.
    };

    static std::unique_ptr<feed> makeFeed(boost::asio::io_context &context, routing_state &state,
                                          state_source source, options settings,
                                          const host_address &own, clock_source clock);
    ~feed();

    /// Called after each change of the desired state or the upstreams.
    void onChange(std::function<void()> listener);

    /// Called with the address of an upstream that left or was replaced.
    void onGone(std::function<void(const host_address &)> listener);

    void start();
    void stop();

private:
    struct state;
    explicit feed(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
