#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <set>

namespace quincefall::standin {

using time_point = std::chrono::steady_clock::time_point;

/// Wakes all coroutines that wait for a change. Not thread-safe: all uses must be on one event
/// loop.
class wake_signal
{
public:
    explicit wake_signal(boost::asio::io_context &context);

    wake_signal(const wake_signal &) = delete;
    wake_signal &operator=(const wake_signal &) = delete;

    /// Waits for the next notify() or until @p deadline.
    boost::asio::awaitable<void> wait(time_point deadline = time_point::max());

    /// Wakes all current waiters.
    void notify();

private:
    boost::asio::io_context &m_context;
    std::set<boost::asio::steady_timer *> m_waiters;
};

} // namespace quincefall::standin
