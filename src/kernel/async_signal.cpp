#include "kernel/async_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace quincefall {

namespace asio = boost::asio;

async_signal::async_signal(const asio::any_io_executor &executor)
    : m_executor(executor)
{
}

asio::awaitable<void> async_signal::wait(microseconds limit)
{
    asio::steady_timer timer(m_executor, limit);
    m_waiting.push_back(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::erase(m_waiting, &timer);
}

void async_signal::notifyAll()
{
    for (asio::steady_timer *timer : m_waiting)
        timer->cancel();
}

} // namespace quincefall
