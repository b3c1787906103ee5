#pragma once

#include "kernel/clock.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

/// Keeps the routing state up to date with the platform. Each update is read from the platform's
/// store or fetched from another host that has read it; planFeed() decides which.
class feed
{
public:
    struct options
    {
        milliseconds upstreamInterval{1'000}; ///< Between reads of the upstreams.
        milliseconds desiredWait{2'500}; ///< Long-poll limit of a read of the desired state.
    };

    /// Intervals for an upstream that gets no request @p leaveTime after it said that it leaves,
    /// and a desired state that is in force @p applyTime after its acceptance.
    static options optionsFor(milliseconds leaveTime, milliseconds applyTime);

    /// Queries of this host to other hosts, by their end, and what they brought.
    struct counts
    {
        std::uint64_t answered = 0;
        std::uint64_t rejected = 0; ///< The other host was busy.
        std::uint64_t failed = 0;
        std::uint64_t receivedBytes = 0; ///< Of desired states that were received whole.
    };

    static std::unique_ptr<feed> makeFeed(boost::asio::io_context &context, routing_state &state,
                                          state_source source, options settings,
                                          const host_address &own, clock_source clock);
    ~feed();

    /// Called after each change of the desired state or the upstreams, and when the store is lost.
    void onChange(std::function<void()> listener);

    /// Called after each change that this host read from the store itself, if it is one of the
    /// hosts that usually read it.
    void onStoreNews(std::function<void()> listener);

    /// Called with the address of each upstream that was removed or replaced.
    void onGone(std::function<void(const host_address &)> listener);

    void start();
    void stop();
    counts numbers() const;

    /// Reads the desired state and the upstreams from the store. True if what this host has now is
    /// what the store had at some time after the call. Takes half a second at most.
    boost::asio::awaitable<bool> confirm();

private:
    struct state;
    explicit feed(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
