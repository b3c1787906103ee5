#pragma once

#include "peer/peer_connection.h"
#include "peer/peer_mesh.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace quincefall {

/// Accepts connections from peers and runs the handlers of their calls.
class peer_server : public std::enable_shared_from_this<peer_server>
{
public:
    using completion = std::function<void(result<std::string>)>;

    /// Its `emit` cancels a running handler.
    using cancel_signal = std::shared_ptr<boost::asio::cancellation_signal>;

    struct options
    {
        host_address listen;
        std::string secret;
        milliseconds idleTimeout; ///< Connections that received nothing for this long are closed.
    };

    static result<std::shared_ptr<peer_server>>
    makePeerServer(boost::asio::io_context &context, const options &settings,
                   std::shared_ptr<byte_counter> counter);

    std::uint16_t port() const;
    void handle(std::string path, peer_mesh::handler function);

    /// Runs the handler of @p path until it ends or @p signal is emitted. @p done may be called
    /// before this function returns.
    void run(const std::string &path, std::string body, cancel_signal signal, completion done);

    /// Stops accepting and closes all connections; running handlers are cancelled.
    void stop();

private:
    struct client;
    peer_server(boost::asio::io_context &context, const options &settings,
                std::shared_ptr<byte_counter> counter);
    void scheduleSweep();
    void sweep();
    result<void> listen(const host_address &address);
    void accept();
    void acceptLater();
    void addClient(boost::asio::ip::tcp::socket socket);
    void answer(const std::shared_ptr<client> &requester, http2_session::stream_id stream,
                http2_request request);
    void removeClient(const std::shared_ptr<client> &closed);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    boost::asio::steady_timer m_sweepTimer;
    milliseconds m_idleTimeout;
    std::string m_expectedAuthorization;
    std::shared_ptr<byte_counter> m_counter;
    std::map<std::string, std::shared_ptr<const peer_mesh::handler>, std::less<>> m_handlers;
    std::set<std::shared_ptr<client>> m_clients;
};

} // namespace quincefall
