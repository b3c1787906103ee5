#pragma once

#include "kernel/asio_headers.h"
#include "serve/http_server.h"

#include <set>
#include <sstream>
#include <utility>

namespace quincefall {

/// State shared by all connections of one HTTP server.
struct http_server_core
{
    http_server::options settings;
    http_server::handler requestHandler;
    std::set<boost::beast::tcp_stream *> idle; ///< Connections waiting for their next request.
    std::set<boost::beast::tcp_stream *> open; ///< All connections whose coroutine has started.
    std::size_t starting = 0; ///< Accepted connections whose coroutine has not started.
    std::set<boost::beast::tcp_stream *> lingering; ///< Closed, but still read from.
    std::set<http_exchange::state *> running; ///< Requests whose handler is running.
    bool isClosing = false; ///< Responses carry "Connection: close".
    bool isStopped = false;
};

/// How the caller of a streamed response sees its end.
enum class stream_end { lastChunk, connectionEnd, head };

struct http_exchange::state
{
    boost::beast::tcp_stream &stream;
    std::shared_ptr<http_server_core> core;
    const boost::beast::flat_buffer &unread; ///< Bytes that came behind the request.
    boost::beast::http::request<boost::beast::http::string_body> request;
    std::unique_ptr<byte_share> held; ///< The request's.
    std::function<void()> disconnectListener;
    stream_end streamEnd = stream_end::lastChunk;
    bool keepAlive = false;
    bool hasStartedResponse = false;
    bool isCallerDisconnected = false;
    bool isAnsweredAtOnce = false; ///< By the server, not by the handler.

    /// Callers of HTTP/1.0 know neither chunks (RFC 9112, 6.1) nor upgrades.
    bool isHttp11() const { return request.version() >= 11; }
    /// Whether the caller has sent the next request, or a part of it.
    bool hasNextRequest() const
    {
        boost::system::error_code ignored;
        return unread.size() > 0 || stream.socket().available(ignored) > 0;
    }
    /// Whether an answer with @p status ends with its head (RFC 9112, 6.3).
    bool endsWithHead(int status) const
    {
        namespace http = boost::beast::http;
        return request.method() == http::verb::head || status == int(http::status::no_content)
            || status == int(http::status::not_modified);
    }

    void markDisconnected()
    {
        if (isCallerDisconnected)
            return;
        isCallerDisconnected = true;
        if (disconnectListener)
            disconnectListener();
    }

    bool handleWriteResult(const boost::system::error_code &code)
    {
        if (code)
            markDisconnected();
        return !code;
    }

    /// Sends a response in place of the handler's, if that has not begun.
    void answerAtOnce(const boost::beast::http::response<boost::beast::http::string_body> &response)
    {
        if (isCallerDisconnected || std::exchange(hasStartedResponse, true))
            return;
        std::ostringstream bytes;
        if (request.method() == boost::beast::http::verb::head)
            bytes << response.base();
        else
            bytes << response;
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket &socket = stream.socket();
        // Where the answer does not fit into the send buffer, the caller does not read.
        socket.non_blocking(true, ignored);
        socket.send(boost::asio::buffer(bytes.str()), 0, ignored);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        keepAlive = false;
        isAnsweredAtOnce = true;
        markDisconnected();
    }

    template <typename body_type>
    void prepareResponse(boost::beast::http::response<body_type> &response, int status,
                         std::span<const response_header> headers)
    {
        // As a number, since not every status has a name in the enumeration.
        response.result(unsigned(status));
        for (const response_header &header : headers)
            response.insert(header.name, header.value);
        // A request that was read must not be dropped: the close goes with the answer to it.
        keepAlive = request.keep_alive() && (!core->isClosing || hasNextRequest());
        response.keep_alive(keepAlive);
        hasStartedResponse = true;
        stream.expires_after(core->settings.requestTimeout);
    }
};

} // namespace quincefall
