#pragma once

#include "kernel/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace quincefall {

/// A condition variable for the coroutines of one event loop. A caller must check its condition and
/// call wait() without suspending in between; nothing else runs then, so no notification is missed.
class async_signal
{
public:
    explicit async_signal(const boost::asio::any_io_executor &executor);

    /// Returns after the next notifyAll(), after @p limit or on cancellation.
    boost::asio::awaitable<void> wait(microseconds limit);

    /// Wakes all coroutines that are waiting now.
    void notifyAll();

private:
    boost::asio::any_io_executor m_executor;
    std::vector<boost::asio::steady_timer *> m_waiting;
};

} // namespace quincefall
