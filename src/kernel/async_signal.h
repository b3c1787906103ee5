#pragma once

#include "kernel/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace quincefall {

/// Wakes coroutines that wait for a condition. All use is on one event loop: check the condition,
/// then wait; nothing runs in between, so no wake-up is lost.
class async_signal
{
public:
    explicit async_signal(const boost::asio::any_io_executor &executor);

    /// Waits for the next notifyAll, for @p limit or for cancellation.
    boost::asio::awaitable<void> wait(microseconds limit);

    /// Wakes all that wait now.
    void notifyAll();

private:
    boost::asio::any_io_executor m_executor;
    std::vector<boost::asio::steady_timer *> m_waiting;
};

} // namespace quincefall
