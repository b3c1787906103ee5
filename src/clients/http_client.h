#pragma once

#include "kernel/address.h"
#include "kernel/byte_budget.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincefall {

using http_header = std::pair<std::string, std::string>;

/// A request to an external service.
struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
};

/// A response that was read completely.
struct http_response
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// Value of the first header named @p name, ignoring case; empty when there is none.
    std::string_view header(std::string_view name) const;
};

/// A response whose body is read in chunks.
class http_stream
{
public:
    ~http_stream();

    int status() const;
    std::string_view header(std::string_view name) const;

    /// The next chunk of the body; empty at its end, which is proven only if checkWhole() succeeds.
    /// Fails with upstreamFailed when the connection breaks before the end and with upstreamTimeout
    /// when nothing is received for @p timeout.
    boost::asio::awaitable<result<std::string_view>> read(milliseconds timeout);

    /// Fails with upstreamFailed if only the connection ended the body, which may then be cut. For
    /// bodies without an end mark of their own, at the end that read() returned.
    result<void> checkWhole() const;

    /// Closes the connection; a pending read fails.
    void close();

private:
    friend class http_client;
    struct state;
    explicit http_stream(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// Time limits of one call. A large response on a slow link may take long, as long as it makes
/// progress.
struct call_timeouts
{
    milliseconds response; ///< Until the first byte of the response.
    milliseconds silence; ///< Between two reads of the response.
    milliseconds total; ///< Of the whole call.
};

/// HTTP/1.1 client that keeps connections open for reuse.
class http_client
{
public:
    /// Whether a request may use a connection that an earlier one left open.
    enum class connection_use {
        reuse, ///< Sent again when a reused connection fails, except by a timeout.
        fresh, ///< Sent once, on a new connection; for requests that must not be repeated.
    };

    /// @p answers bounds the responses of all calls that are read completely; null for no bound.
    static std::unique_ptr<http_client> makeHttpClient(boost::asio::io_context &context,
                                                       std::shared_ptr<byte_budget> answers
                                                       = nullptr);
    ~http_client();

    /// Sends @p request and reads the whole response. Fails with upstreamUnreachable when nothing
    /// was sent, and with upstreamFailed or upstreamTimeout when the request may have arrived. A
    /// response of more than 32 MiB is a failure, and one that only its connection ended.
    boost::asio::awaitable<result<http_response>> send(host_address address, http_request request,
                                                       call_timeouts timeouts,
                                                       connection_use use = connection_use::reuse);

    /// Sends @p request and reads the whole response within @p timeout.
    boost::asio::awaitable<result<http_response>> send(host_address address, http_request request,
                                                       milliseconds timeout,
                                                       connection_use use = connection_use::reuse);

    /// Sends @p request and reads the header of the response within @p timeout.
    boost::asio::awaitable<result<std::unique_ptr<http_stream>>>
    open(host_address address, http_request request, milliseconds timeout);

private:
    struct state;
    explicit http_client(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
