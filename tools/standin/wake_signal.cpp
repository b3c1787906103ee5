#include "standin/wake_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quincefall::standin {

wake_signal::wake_signal(boost::asio::io_context &context)
    : m_context(context)
{
}

boost::asio::awaitable<void> wake_signal::wait(time_point deadline)
{
    boost::asio::steady_timer timer(m_context, deadline);
    m_waiters.insert(&timer);
    // Completes when the deadline expires or notify() cancels the timer.
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    m_waiters.erase(&timer);
}

void wake_signal::notify()
{
    for (boost::asio::steady_timer *timer : m_waiters)
        timer->cancel();
}

} // namespace quincefall::standin
