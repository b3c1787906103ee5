#include "peer/pending_call.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quincefall {

namespace asio = boost::asio;

pending_call::pending_call(const asio::any_io_executor &executor)
    : timer(executor)
{
}

void pending_call::complete(result<std::string> value)
{
    if (answer)
        return;
    answer = std::move(value);
    timer.cancel();
}

asio::awaitable<result<std::string>> waitForAnswer(std::shared_ptr<pending_call> call,
                                                   milliseconds timeout)
{
    boost::system::error_code aborted;
    if (!call->answer) {
        call->timer.expires_after(timeout);
        const auto outcome = co_await call->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        aborted = std::get<0>(outcome);
    }
    if (call->answer)
        co_return std::move(*call->answer);
    if (aborted)
        co_return makeError(result_code::cancelled, "the call was cancelled");
    co_return makeError(result_code::peerTimeout, "the peer did not answer in time");
}

} // namespace quincefall
