#pragma once

#include "kernel/clock.h"
#include "peer/http2_session.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quincefall {

/// Bytes sent and received on a group of connections, without TCP and IP headers.
struct byte_counter
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// A TCP connection that carries an HTTP/2 session. Messages submitted in one iteration of the
/// event loop are sent in one write. Must be used by one thread only.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// Called once with the reason when the connection has ended, unless close() ended it.
    using closed_handler = std::function<void(const error &reason)>;

    /// Takes over @p socket, which may be unconnected until start().
    static result<std::shared_ptr<peer_connection>>
    makePeerConnection(boost::asio::ip::tcp::socket socket, http2_session::role side,
                       http2_session::events handlers, closed_handler onClosed,
                       std::shared_ptr<byte_counter> counter);

    /// Connects to @p endpoint, then starts. Fails with peerUnreachable when connecting takes
    /// longer than @p timeout.
    void connect(const boost::asio::ip::tcp::endpoint &endpoint, milliseconds timeout);

    /// Starts sending and receiving on a connected socket.
    void start();

    /// Sends a request. Returns its stream, or a negative number when no stream ID is left.
    http2_session::stream_id submitRequest(http2_request request);
    void submitResponse(http2_session::stream_id stream, http2_response response);
    void reset(http2_session::stream_id stream);
    void ping();

    /// Closes the socket at once. No handler is called afterwards.
    void close();

    /// When the last bytes were received, or when the connection was established.
    instant lastReceived() const { return m_lastReceived; }

private:
    peer_connection(boost::asio::ip::tcp::socket socket, closed_handler onClosed,
                    std::shared_ptr<byte_counter> counter);
    void read();
    void scheduleFlush();
    void flush();
    void fail(error reason);

    static constexpr std::size_t receiveBytes = 16384;

    boost::asio::ip::tcp::socket m_socket;
    closed_handler m_onClosed;
    std::shared_ptr<byte_counter> m_counter;
    std::unique_ptr<http2_session> m_session;
    std::array<std::uint8_t, receiveBytes> m_received;
    std::string m_output;
    instant m_lastReceived;
    bool m_started = false;
    bool m_writing = false;
    bool m_flushScheduled = false;
    bool m_closed = false;
};

} // namespace quincefall
