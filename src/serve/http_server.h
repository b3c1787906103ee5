#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace quincefall {

/// A header that a handler adds to its answer.
struct response_header
{
    std::string name;
    std::string value;
};

/// One request of a caller and the answer to it. Writes return false once the caller is gone.
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
    const std::string &body() const;
    /// Hands all header fields to @p function, in order and as the caller sent them.
    void forEachHeader(
        const std::function<void(std::string_view name, std::string_view value)> &function) const;

    /// Sends a whole answer.
    boost::asio::awaitable<bool> respond(int status, std::span<const response_header> headers,
                                         std::string body);

    /// Begins an answer in pieces.
    boost::asio::awaitable<bool> beginStream(int status, std::span<const response_header> headers);
    boost::asio::awaitable<bool> write(std::string_view piece);
    boost::asio::awaitable<bool> endStream();

    /// Breaks the connection, so that the caller sees that a begun answer is not whole.
    void abort();

    bool hasStartedResponse() const; ///< The answer's header was sent.
    bool isCallerDisconnected() const; ///< The caller closed the connection.

    /// Called once when the caller closes the connection while its request runs.
    void setDisconnectListener(std::function<void()> listener);

private:
    friend class http_server;
    struct state;
    explicit http_exchange(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// HTTP/1.1 server with limits on size, time and connections.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(http_exchange &)>;

    struct options
    {
        host_address listen; ///< Port 0 picks a free one.
        std::uint32_t maxHeaderBytes = 16 * 1024;
        std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
        result_code headerLimitCode
            = result_code::requestTooLarge; ///< For a header over its limit.
        std::uint32_t maxConnections = 4096;
        milliseconds headerTimeout{10'000}; ///< For the header of a begun request to arrive.
        milliseconds requestTimeout{10'000}; ///< For its body to arrive, and for a write.
        milliseconds idleTimeout{60'000}; ///< For the next request on an open connection.
        milliseconds closeGrace{1000}; ///< For the same after stopAccepting.
    };

    static result<std::unique_ptr<http_server>> makeHttpServer(boost::asio::io_context &context,
                                                               options settings, handler function);
    ~http_server();

    std::uint16_t port() const;

    /// Replaces the limits for requests that begin from now on; address and connections stay.
    void setLimits(const options &limits);

    /// Requests whose answer is not complete.
    std::size_t activeExchanges() const;

    /// Asks callers to close their connection after each answer from now on.
    void announceClose();

    /// Accepts no further connection. Running requests go on; a connection that stays idle for
    /// the grace of the settings is closed.
    void stopAccepting();

    /// Closes connections that wait for their next request.
    void closeIdle();

    /// Connections that callers have open.
    std::size_t openConnections() const;

    /// Closes everything.
    void stop();

private:
    struct state;
    explicit http_server(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
