#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quincefall {

/// Calls between the hosts of the fleet. Each call has one request and one answer on an HTTP/2
/// stream; there is one connection for each pair of hosts and direction.
class peer_mesh
{
public:
    /// Answers one call. An error is returned to the caller with its result code.
    using handler = std::function<boost::asio::awaitable<result<std::string>>(std::string body)>;

    struct options
    {
        std::string hostName;
        host_address listen; ///< Port 0 picks a free one.
        std::string secret; ///< Shared by the fleet; sent by callers, compared in constant time.
        milliseconds connectTimeout{500};
        /// A connection with unanswered calls is pinged when nothing was received for this long.
        milliseconds pingInterval{500};
        /// A new connection is tried when a ping is not answered within this time.
        milliseconds pingTimeout{500};
        /// A connection from a peer is closed when nothing was received on it for this long.
        milliseconds idleTimeout{30000};
    };

    /// Whether a host answers on the connections to it.
    enum class reachability {
        reachable, ///< It answered on its connection or on a new one.
        suspected, ///< A new connection to it failed, or it did not answer a ping on one.
    };
    using reachability_listener = std::function<void(const std::string &host, reachability change)>;

    static result<std::unique_ptr<peer_mesh>> makePeerMesh(boost::asio::io_context &context,
                                                           options settings);
    ~peer_mesh();

    /// The port that accepts peers.
    std::uint16_t port() const;

    /// Sets the handler of calls to @p path, such as "/permit".
    void handle(std::string path, handler function);

    /// Sets the address of host @p name. A change closes the connection to the old address.
    void setAddress(const std::string &name, host_address address);

    /// Sends @p body to @p path on @p host and waits for its answer. Fails with peerUnreachable,
    /// peerTimeout or the code that the remote handler returned. A call to this host's own name
    /// runs the handler directly.
    boost::asio::awaitable<result<std::string>> call(std::string host, std::string path,
                                                     std::string body, milliseconds timeout);

    /// Calls @p listener when the reachability of a host changes. Replaces an earlier listener.
    void onReachability(reachability_listener listener);

    /// Whether @p host answers a ping over its open connection; false when there is none.
    boost::asio::awaitable<bool> ping(std::string host);

    /// Whether @p host answers a ping over a new connection. If so, calls move to that one, and
    /// those pending on the old one fail with peerUnreachable.
    boost::asio::awaitable<bool> reconnect(std::string host);

    /// Closes the connection to @p host; its pending calls fail with peerUnreachable.
    void disconnect(const std::string &host);

    /// Bytes sent and received on peer connections since the start.
    struct traffic
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };
    traffic trafficTotals() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    struct state;
    explicit peer_mesh(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
