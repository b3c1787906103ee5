#pragma once

#include "kernel/result.h"
#include "standin/faults.h"
#include "standin/wake_signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall::standin {

/// A header field of a response.
struct http_header
{
    std::string name;
    std::string value;
};

struct http_connection;

/// One request and its response: either complete, by reply(), or a stream, by beginStream(),
/// write() and finish().
class http_exchange
{
public:
    /// Called by http_server for each request.
    explicit http_exchange(std::shared_ptr<http_connection> connection);
    ~http_exchange();

    std::string_view method() const;
    std::string_view path() const;
    std::string_view header(std::string_view name) const;
    std::string_view body() const;

    /// Value of the query parameter @p name, without percent-decoding. Empty when absent.
    std::string_view query(std::string_view name) const;

    /// Sends a complete response with a JSON body.
    boost::asio::awaitable<void> reply(int status, boost::json::value body,
                                       std::vector<http_header> headers = {});

    /// Starts a response that is a stream of server-sent events.
    boost::asio::awaitable<void> beginStream(std::vector<http_header> headers);

    /// Sends a part of the stream and waits until the socket has accepted all of it.
    boost::asio::awaitable<void> write(std::string text);

    /// Ends the stream.
    boost::asio::awaitable<void> finish();

    /// Resets the connection without sending anything more.
    void abort();

    /// True after the caller disconnected or abort() was called.
    bool closed() const;

    /// Sets a function to be called once when the connection closes, from either end.
    void setDisconnectListener(std::function<void()> listener);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// HTTP/1.1 server with keep-alive. Injects the faults that all stand-ins support and answers
/// /admin/faults itself. Paths under /admin/ are exempt from faults.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<http_exchange>)>;

    /// Listens on @p ip and @p port; port 0 picks a free one. Fails with settingsInvalid.
    static result<std::unique_ptr<http_server>>
    makeHttpServer(boost::asio::io_context &context, const std::string &ip, std::uint16_t port);
    ~http_server();

    /// Accepts connections and passes each request to @p requestHandler.
    void start(handler requestHandler);

    std::uint16_t port() const;

    /// The faults in force.
    const fault_set &faults() const;

    /// Notified when the faults change.
    wake_signal &faultsChanged();

    struct state;

private:
    explicit http_server(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall::standin
