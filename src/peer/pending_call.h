#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace quincefall {

/// A call that waits for its answer. Only the first answer is kept.
struct pending_call
{
    explicit pending_call(const boost::asio::any_io_executor &executor);

    /// Sets the answer and resumes the waiting coroutine.
    void complete(result<std::string> value);

    boost::asio::steady_timer timer;
    std::optional<result<std::string>> answer;
};

/// Waits until @p call has an answer. Fails with peerTimeout after @p timeout and with cancelled
/// when the waiting coroutine is cancelled.
boost::asio::awaitable<result<std::string>> waitForAnswer(std::shared_ptr<pending_call> call,
                                                          milliseconds timeout);

} // namespace quincefall
