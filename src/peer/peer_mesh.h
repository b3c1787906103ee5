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

/// Messages between the hosts of the fleet: calls with one request and one answer over HTTP/2
/// streams, one connection for each pair of hosts and direction.
class peer_mesh
{
public:
    /// Answers one call. An error travels back to the caller with its result code.
    using handler = std::function<boost::asio::awaitable<result<std::string>>(std::string body)>;

    struct options
    {
        std::string hostName;
        host_address listen; ///< Port 0 picks a free one.
        std::string secret; ///< Shared by the fleet; sent and compared in constant time.
        milliseconds connectTimeout{500};
        /// A connection with pending calls that received nothing for this long is pinged.
        milliseconds silenceInterval{500};
        /// Without an answer to the ping within this time a new connection is tried.
        milliseconds pingTimeout{500};
        /// A peer's connection that received nothing for this long is closed.
        milliseconds idleTimeout{30000};
    };

    /// What the connections tell about a host.
    enum class reachability {
        reachable, ///< It answered over its connection or over a new one.
        suspected, ///< Its connection is silent or gone, and a new one failed too.
    };
    using reachability_listener = std::function<void(const std::string &host, reachability change)>;

    static result<std::unique_ptr<peer_mesh>> makePeerMesh(boost::asio::io_context &context,
                                                           options settings);
    ~peer_mesh();

    /// The port that accepts peers.
    std::uint16_t port() const;

    /// Sets the handler of calls to @p path, such as "/permit".
    void handle(std::string path, handler function);

    /// Makes @p name reachable at @p address.
    void setAddress(const std::string &name, host_address address);

    /// Sends @p body to @p path on @p host and waits for its answer. Fails with peerUnreachable,
    /// peerTimeout or the code that the remote handler returned. A call to this host's own name
    /// runs the handler directly.
    boost::asio::awaitable<result<std::string>> call(std::string host, std::string path,
                                                     std::string body, milliseconds timeout);

    /// Calls @p listener when what is known of a host changes. Replaces an earlier listener.
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
