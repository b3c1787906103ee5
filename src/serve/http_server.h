#pragma once

#include "kernel/address.h"
#include "kernel/byte_budget.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "serve/problem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace quincefall {

/// A header field that a handler adds to its response.
struct response_header
{
    std::string name;
    std::string value;
};

/// One HTTP request and its response. Writes return false once the caller has disconnected.
class http_exchange
{
public:
    ~http_exchange();

    std::string_view method() const;
    std::string_view target() const; ///< Path and query.
    std::string_view path() const;
    /// Value of the query parameter @p name, percent-decoded; empty when missing.
    std::string query(std::string_view name) const;
    std::string_view header(std::string_view name) const;
    /// The first of @p names that the request has more than once; empty if there is none.
    std::string_view repeatedHeader(std::span<const std::string_view> names) const;
    const std::string &body() const;
    /// Frees the body, which nothing may refer to any more.
    void releaseBody();
    /// Calls @p visitor for each header field, in the order and spelling of the request.
    void forEachHeader(
        const std::function<void(std::string_view name, std::string_view value)> &visitor) const;

    /// Sends a complete response; of one to HEAD, or with a status without a body, the head alone.
    boost::asio::awaitable<bool> respond(int status, std::span<const response_header> headers,
                                         std::string body);

    /// Starts a response whose length is not known yet; write and endStream follow. Its last chunk
    /// ends it or, for HTTP/1.0, its connection, which is reset if the response breaks off.
    boost::asio::awaitable<bool> beginStream(int status, std::span<const response_header> headers);
    boost::asio::awaitable<bool> write(std::string_view piece);
    boost::asio::awaitable<bool> endStream();

    /// Answers 101 and switches the connection to @p protocol. From then on the handler reads and
    /// writes the socket itself; the connection is closed when it returns. Null if the answer could
    /// not be sent, or if the caller did not ask for the protocol or sent more before it was
    /// switched to: that is answered 426 and closed.
    boost::asio::awaitable<boost::asio::ip::tcp::socket *> upgrade(std::string_view protocol);

    /// Closes the connection before the response is complete, so that the caller detects the
    /// truncation.
    void abort();

    bool hasStartedResponse() const; ///< The response header was sent or is being sent.
    bool isCallerDisconnected() const; ///< The connection was closed, by either side, or failed.

    /// Sets the function that is called, once, when the caller disconnects while its request runs.
    void setDisconnectListener(std::function<void()> listener);

private:
    friend class http_server;
    friend struct http_server_core;
    struct state;
    boost::asio::awaitable<bool>
    respondWithHead(int status, std::span<const response_header> headers, std::size_t bodySize);
    explicit http_exchange(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// HTTP/1.1 server that limits header and body sizes, times and the number of connections.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(http_exchange &)>;
    /// Why a request is refused by its head alone; empty if it is not.
    using head_check = std::function<std::optional<problem>(const http_exchange &)>;

    struct options
    {
        host_address listen; ///< Port 0 selects a free port.
        std::uint32_t maxHeaderBytes = 16 * 1024;
        std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
        result_code headerLimitCode
            = result_code::requestTooLarge; ///< Result code when a header exceeds maxHeaderBytes.
        std::uint32_t maxConnections = 4096;
        milliseconds headerTimeout{10'000}; ///< To receive the header, from its first byte.
        milliseconds requestTimeout{10'000}; ///< To receive the body; also limits each write.
        milliseconds idleTimeout{60'000}; ///< Until the next request on an open connection.
        milliseconds closeGrace{1000}; ///< From stopAccepting until idle connections are closed.
        /// Holds the requests until they are answered, beside what else the host holds; null for no
        /// bound.
        std::shared_ptr<byte_budget> held{};
        head_check refusalOfHead{}; ///< Asked before much of a body is read; may be empty.
        /// Of the sockets of all connections together, received and not read, or sent and not
        /// taken; 0 leaves the sizes to the operating system.
        std::size_t socketBytes = 0;
    };

    static result<std::unique_ptr<http_server>>
    makeHttpServer(boost::asio::io_context &context, options settings, handler requestHandler);
    ~http_server();

    std::uint16_t port() const;

    /// Replaces the size and time limits for later requests. The listen address, the maximum number
    /// of connections, the header limit's result code and the grace do not change.
    void setLimits(const options &limits);

    /// Number of requests whose handler is running.
    std::size_t activeExchanges() const;

    /// Sends "Connection: close" with each response from now on and closes the connection after it,
    /// unless the caller has sent a further request by then.
    void announceClose();

    /// Stops accepting connections; returns when the listening socket is closed, some milliseconds
    /// later. A caller that connects meanwhile is accepted or waits until the socket is closed.
    /// Running requests continue; connections that are idle once closeGrace has passed are closed.
    boost::asio::awaitable<void> stopAccepting();

    /// Closes idle connections at once.
    void closeIdle();

    /// Answers each running request that has no response yet with @p failure, and closes its
    /// connection. To its handler the caller has disconnected.
    void answerRunning(const problem &failure);

    /// Number of open connections.
    std::size_t openConnections() const;

    /// Stops listening and closes all connections.
    void stop();

private:
    struct state;
    explicit http_server(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
