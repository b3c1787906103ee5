#pragma once

#include "clients/connection_pool.h"
#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "route/wire_format.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quincefall {

/// One request to an upstream and its answer.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    /// A call to @p address that has not begun.
    static std::shared_ptr<upstream_call>
    makeUpstreamCall(std::shared_ptr<connection_pool> connections, const host_address &address);
    ~upstream_call();

    /// What is sent. The views must stay valid until the call is destroyed.
    struct message
    {
        std::string head;
        std::string_view body;
        std::string_view requestId; ///< Answers that echo another id are dropped.
        bool isOnce = false; ///< May not be repeated: avoids connections that may be closing.
        bool hasNoAnswerBody = false; ///< The method is HEAD.
    };

    /// Connects, sends and reads the head of the answer. The call is cut at @p deadline. Fails with
    /// upstreamUnreachable when nothing was sent; otherwise the request may have arrived.
    boost::asio::awaitable<result<answer_head>> begin(message request, const wire_format &wire,
                                                      instant deadline);

    /// The next piece of the body; empty at its end. Fails when the connection ends before it.
    boost::asio::awaitable<result<std::string_view>> read();

    /// Asks @p mayGiveUp each time that no byte has come for @p silence; true cuts the call with
    /// upstreamTimeout.
    void watchSilence(microseconds silence, std::function<bool()> mayGiveUp);

    /// Cuts the connection; a pending operation fails.
    void cancel();

    /// Ends the use of the message: a body that was not sent whole is cut.
    void finish();

private:
    struct state;
    explicit upstream_call(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
