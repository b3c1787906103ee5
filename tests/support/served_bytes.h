#pragma once

#include "kernel/asio_headers.h"
#include "serve/http_server.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <thread>
#include <vector>

namespace quincefall {

/// A server in a thread of its own, and what a client receives from it byte for byte.
class served_bytes
{
public:
    explicit served_bytes(http_server::handler handler)
    {
        http_server::options options;
        options.listen = {"127.0.0.1", 0};
        options.headerTimeout = options.requestTimeout = milliseconds(300);
        options.idleTimeout = milliseconds(300);
        auto made = http_server::makeHttpServer(m_context, options,
                                                [this, handler](http_exchange &exchange) {
                                                    m_targets.emplace_back(exchange.target());
                                                    return handler(exchange);
                                                });
        BOOST_REQUIRE(made.has_value());
        m_server = std::move(*made);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~served_bytes()
    {
        m_context.stop();
        m_thread.join();
    }

    /// For handlers; the server's own thread alone may use it.
    http_server &server() { return *m_server; }

    /// Sends @p bytes and returns all that comes until the server closes the connection, or ends
    /// with @p last.
    std::string receive(std::string_view bytes, std::string_view last = {})
    {
        using tcp = boost::asio::ip::tcp;
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), m_server->port()});
        return receive(socket, bytes, last);
    }

    std::string receive(boost::asio::ip::tcp::socket &socket, std::string_view bytes,
                        std::string_view last)
    {
        boost::system::error_code code;
        boost::asio::write(socket, boost::asio::buffer(bytes), code);
        std::string received;
        std::array<char, 1024> piece{};
        while (!code && (last.empty() || !received.ends_with(last)))
            received.append(piece.data(), socket.read_some(boost::asio::buffer(piece), code));
        return received;
    }

    std::uint16_t port() const { return m_server->port(); }

    /// Of the requests whose handler ran. To be read after their answers.
    const std::vector<std::string> &targets() const { return m_targets; }

private:
    boost::asio::io_context m_context;
    std::unique_ptr<http_server> m_server;
    std::vector<std::string> m_targets;
    std::thread m_thread;
};

} // namespace quincefall
