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
    };

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

    /// Closes the connection to @p host; its pending calls fail with peerUnreachable.
    void disconnect(const std::string &host);

    /// Bytes sent and received on peer connections since the start.
    struct traffic
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };
    traffic bytes() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    struct state;
    explicit peer_mesh(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
