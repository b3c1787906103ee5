#pragma once

#include "serve/answer_stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quincefall {

class peer_mesh;

/// Lets a caller that lost its connection reconnect through another host, which copies the answer
/// from the host that still runs the request.
class answer_relay
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        std::string hostName;
        std::function<std::vector<std::string>()> liveHosts;
        /// Returns the answer that this host produces for the request id, or null.
        std::function<std::shared_ptr<answer_stream>(const std::string &id)> findLocalAnswer;
    };

    static std::unique_ptr<answer_relay> makeAnswerRelay(dependencies needs);
    ~answer_relay();

    /// Registers the handler for reads by peers.
    void start();

    /// Asks all live peers which of them runs @p requestId with the same @p digest. Returns the
    /// name of the host; empty when none does.
    boost::asio::awaitable<std::string> findHost(std::string requestId, std::uint64_t digest);

    /// Copies the answer from @p host until it ends there, a read fails or the answer is abandoned.
    boost::asio::awaitable<void> copyAnswer(std::string host,
                                            std::shared_ptr<answer_stream> answer);

private:
    struct state;
    explicit answer_relay(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
