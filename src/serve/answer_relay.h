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

/// Lets a caller that lost its connection come back through another host: the host that still runs
/// the request passes the answer on.
class answer_relay
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        std::string hostName;
        std::function<std::vector<std::string>()> liveHosts;
        /// The running answer with this request id on this host, or null.
        std::function<std::shared_ptr<answer_stream>(const std::string &id)> find;
    };

    static std::unique_ptr<answer_relay> makeAnswerRelay(dependencies needs);
    ~answer_relay();

    /// Begins to answer peers.
    void start();

    /// Name of the host that runs @p requestId with the same @p digest; empty when none does.
    boost::asio::awaitable<std::string> findHost(std::string requestId, std::uint64_t digest);

    /// Copies the answer from @p host until it is over there or the host is lost.
    boost::asio::awaitable<void> follow(std::string host, std::shared_ptr<answer_stream> answer);

private:
    struct state;
    explicit answer_relay(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
