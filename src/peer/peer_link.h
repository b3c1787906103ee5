#pragma once

#include "peer/peer_connection.h"
#include "peer/pending_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quincefall {

/// Makes calls to one peer over a connection that is opened on demand and replaced when the peer no
/// longer answers on it.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    struct options
    {
        boost::asio::ip::tcp::endpoint endpoint;
        std::string secret;
        milliseconds connectTimeout;
        milliseconds pingInterval;
        milliseconds pingTimeout;
    };

    /// Called when the peer becomes reachable or unreachable.
    using listener = std::function<void(bool reachable)>;

    peer_link(boost::asio::io_context &context, options settings, listener onChange,
              std::shared_ptr<byte_counter> counter);

    /// Sends @p body to @p path and waits for the answer.
    boost::asio::awaitable<result<std::string>> call(std::string path, std::string body,
                                                     milliseconds timeout);

    /// Whether the peer answers a ping over the open connection; false when there is none.
    boost::asio::awaitable<bool> ping();

    /// Whether the peer answers a ping over a new connection, which then replaces the old one.
    boost::asio::awaitable<bool> reconnect();

    /// Closes the connection; its pending calls fail with peerUnreachable.
    void close(const std::string &reason);

private:
    struct channel;
    std::shared_ptr<channel> openChannel();
    static void handleReceived(const std::weak_ptr<peer_link> &owner,
                               const std::shared_ptr<channel> &used);
    void onClosed(const std::shared_ptr<channel> &closed, const error &reason);
    void closeChannel(std::shared_ptr<channel> closed, const std::string &reason);
    boost::asio::awaitable<bool> pingOver(std::shared_ptr<channel> used, milliseconds timeout);
    void startMonitoring(const std::shared_ptr<channel> &monitored);
    boost::asio::awaitable<void> monitor(std::shared_ptr<channel> monitored);
    void setReachable(bool reachable);

    boost::asio::io_context &m_context;
    options m_settings;
    listener m_onChange;
    std::shared_ptr<byte_counter> m_counter;
    std::shared_ptr<channel> m_channel;
    /// New connections that reconnect() is testing.
    std::vector<std::shared_ptr<channel>> m_candidates;
    std::optional<bool> m_reachable;
};

} // namespace quincefall
