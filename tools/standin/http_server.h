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

/// A header field of an answer.
struct http_header
{
    std::string name;
    std::string value;
};

struct http_connection;

/// One request and its answer: either a whole one by reply(), or a stream of parts.
class http_exchange
{
public:
    /// Made by http_server for each request.
    explicit http_exchange(std::shared_ptr<http_connection> connection);
    ~http_exchange();

    std::string_view method() const;
    std::string_view path() const;
    std::string_view header(std::string_view name) const;
    std::string_view body() const;

    /// The query parameter @p name, not decoded; empty when absent.
    std::string_view query(std::string_view name) const;

    /// Sends a whole answer with a JSON body.
    boost::asio::awaitable<void> reply(int status, boost::json::value body,
                                       std::vector<http_header> headers = {});

    /// Starts an answer of server-sent events.
    boost::asio::awaitable<void> beginStream(std::vector<http_header> headers);

    /// Sends a part of the stream and waits until the system has taken it.
    boost::asio::awaitable<void> write(std::string text);

    /// Ends the stream.
    boost::asio::awaitable<void> finish();

    /// Closes the connection without a word.
    void abort();

    /// True after the caller went away or abort().
    bool closed() const;

    /// Sets a function that runs once when the caller goes away.
    void onClosed(std::function<void()> function);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// HTTP/1.1 server with keep-alive that plays the faults known to every stand-in and answers
/// /admin/faults itself. Paths under /admin/ are exempt from faults.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<http_exchange>)>;

    /// Binds @p ip and @p port (0 picks one). Fails with settingsInvalid.
    static result<std::unique_ptr<http_server>>
    makeHttpServer(boost::asio::io_context &context, const std::string &ip, std::uint16_t port);
    ~http_server();

    /// Accepts connections; each request goes to @p function.
    void start(handler function);

    std::uint16_t port() const;

    /// Faults in force now.
    const fault_set &faults() const;

    /// Notified when the faults change.
    wake_signal &faultsChanged();

    struct state;

private:
    explicit http_server(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall::standin
