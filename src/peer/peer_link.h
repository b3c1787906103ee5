#pragma once

#include "peer/peer_connection.h"
#include "peer/pending_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace quincefall {

/// Calls to one peer over a connection that is opened on demand.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint endpoint;
        std::string secret;
        milliseconds connectTimeout;
    };

    peer_link(boost::asio::io_context &context, options settings,
              std::shared_ptr<byte_counter> counter);

    /// Sends @p body to @p path and waits for the answer.
    boost::asio::awaitable<result<std::string>> call(std::string path, std::string body,
                                                     milliseconds timeout);

    /// Closes the connection; its pending calls fail with peerUnreachable.
    void close(const std::string &reason);

private:
    struct channel;
    std::shared_ptr<channel> openChannel();
    void onClosed(const std::shared_ptr<channel> &closed, const error &reason);

    boost::asio::io_context &m_context;
    options m_settings;
    std::shared_ptr<byte_counter> m_counter;
    std::shared_ptr<channel> m_channel;
};

} // namespace quincefall
