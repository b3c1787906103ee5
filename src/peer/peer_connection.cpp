#include "peer/peer_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t maxWriteBytes = 256U << 10;

error unreachable(const boost::system::error_code &reason)
{
    return {result_code::peerUnreachable, reason.message()};
}

} // namespace

result<std::shared_ptr<peer_connection>>
peer_connection::makePeerConnection(tcp::socket socket, http2_session::role side,
                                    http2_session::events handlers, closed_handler onClosed,
                                    std::shared_ptr<byte_counter> counter)
{
    auto session = http2_session::makeHttp2Session(side, std::move(handlers));
    if (!session)
        return tl::unexpected(session.error());
    std::shared_ptr<peer_connection> connection(
        new peer_connection(std::move(socket), std::move(onClosed), std::move(counter)));
    connection->m_session = std::move(*session);
    return connection;
}

peer_connection::peer_connection(tcp::socket socket, closed_handler onClosed,
                                 std::shared_ptr<byte_counter> counter)
    : m_socket(std::move(socket))
    , m_onClosed(std::move(onClosed))
    , m_counter(std::move(counter))
    , m_received{}
    , m_lastReceived(steadyNow())
{
}

void peer_connection::connect(const tcp::endpoint &endpoint, milliseconds timeout)
{
    auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor(), timeout);
    const auto self = shared_from_this();
    timer->async_wait([self](const boost::system::error_code &aborted) {
        if (!aborted && !self->m_started)
            self->fail({result_code::peerUnreachable, "connecting timed out"});
    });
    m_socket.async_connect(endpoint, [self, timer](const boost::system::error_code &failure) {
        timer->cancel();
        if (failure)
            self->fail(unreachable(failure));
        else
            self->start();
    });
}

void peer_connection::start()
{
    if (m_closed)
        return;
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_started = true;
    m_lastReceived = steadyNow();
    read();
    scheduleFlush();
}

void peer_connection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_received),
        [self = shared_from_this()](const boost::system::error_code &failure, std::size_t size) {
            if (self->m_closed)
                return;
            if (failure)
                return self->fail(unreachable(failure));
            self->m_lastReceived = steadyNow();
            self->m_counter->received += size;
            const auto taken = self->m_session->feed(std::span(self->m_received).first(size));
            if (!taken)
                return self->fail(taken.error());
            self->scheduleFlush();
            if (!self->m_closed)
                self->read();
        });
}

void peer_connection::scheduleFlush()
{
    if (m_flushScheduled || m_writing || m_closed || !m_started)
        return;
    m_flushScheduled = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

void peer_connection::flush()
{
    if (m_closed || m_writing)
        return;
    m_output.clear();
    const auto taken = m_session->takeOutput(m_output, maxWriteBytes);
    if (!taken)
        return fail(taken.error());
    if (m_output.empty()) {
        if (m_session->isFinished())
            fail({result_code::peerUnreachable, "the peer ended the HTTP/2 session"});
        return;
    }
    m_writing = true;
    asio::async_write(
        m_socket, asio::buffer(m_output),
        [self = shared_from_this()](const boost::system::error_code &failure, std::size_t size) {
            self->m_writing = false;
            self->m_counter->sent += size;
            if (self->m_closed)
                return;
            if (failure)
                return self->fail(unreachable(failure));
            self->flush();
        });
}

http2_session::stream_id peer_connection::submitRequest(http2_request request)
{
    const http2_session::stream_id stream = m_session->submitRequest(std::move(request));
    scheduleFlush();
    return stream;
}

void peer_connection::submitResponse(http2_session::stream_id stream, http2_response response)
{
    m_session->submitResponse(stream, std::move(response));
    scheduleFlush();
}

void peer_connection::reset(http2_session::stream_id stream)
{
    m_session->reset(stream);
    scheduleFlush();
}

void peer_connection::ping()
{
    m_session->ping();
    scheduleFlush();
}

void peer_connection::fail(error reason)
{
    if (m_closed)
        return;
    const closed_handler onClosed = std::exchange(m_onClosed, {});
    close();
    if (onClosed)
        onClosed(reason);
}

void peer_connection::close()
{
    m_closed = true;
    m_onClosed = {};
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace quincefall
