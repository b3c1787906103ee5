#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "route/hint_codec.h"
#include "route/routing_state.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

/// Sends this host's load to the other hosts over UDP and records the load that they send.
class load_exchange
{
public:
    struct counts
    {
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedBytes = 0;
        std::uint64_t invalidDatagrams = 0; ///< Datagrams without a valid hint.
    };

    /// Hints are sent to the port of @p listen, so it must be the same on all hosts. Fails with
    /// settingsInvalid when @p listen can't be bound.
    static result<std::unique_ptr<load_exchange>>
    makeLoadExchange(boost::asio::io_context &context, routing_state &state,
                     const host_address &listen, const host_address &peer, clock_source clock);
    ~load_exchange();

    void start();
    void stop();

    /// Sends a hint now instead of after the rest of the interval, unless the last one was sent
    /// only a moment ago; then it follows soon.
    ///
    /// In a large fleet the interval is seconds. News from the store or from an upstream can't wait
    /// that long, while load can.
    void sendSoon();

    /// Tells the other hosts at once which traits of requests are suspected.
    void sendSuspectNews();

    /// Sends a message to one host. Lost if the host's or the link's buffers are full.
    void sendTo(const host_address &host, const std::string &bytes);

    /// Called with a message about streams and the host that sent it.
    void onStreamMessage(
        std::function<void(const wire::LoadHint &message, const host_address &sender)> listener);

    /// From now on hints carry this host's wall clock and @p fence, its newest fencing token of the
    /// duties.
    void tellDuties(std::function<std::uint64_t()> fence);

    /// Called with the wall clock of a host as its hint tells it.
    void
    onWallClock(std::function<void(const host_address &host, wall_milliseconds wall)> listener);

    /// Called with a message that has counts of usage.
    void onUsage(std::function<void(const wire::LoadHint &message)> listener);

    /// Called with a host whose process has started, that is heard again, or that no longer stops.
    void onHostStart(std::function<void(const host_address &host)> listener);

    /// Called when a trait has become held by what other hosts told.
    void onTraitHeld(std::function<void()> listener);
    counts numbers() const;

private:
    struct state;
    explicit load_exchange(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
