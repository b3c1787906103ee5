#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>
#include <memory>

namespace quincefall::testing {

/// A TCP relay on loopback that can stop forwarding without closing its connections.
class tcp_relay
{
public:
    tcp_relay(boost::asio::io_context &context, std::uint16_t target)
        : m_context(context)
        , m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_target(boost::asio::ip::address_v4::loopback(), target)
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Number of connections accepted so far.
    int accepted() const { return m_accepted; }

    /// Number of reads whose bytes were forwarded so far.
    int forwardedReads() const { return m_forwardedReads; }

    /// Stops forwarding on the open connections; connections accepted later work.
    void stallOpenConnections() { ++m_generation; }

    /// Sets whether connections accepted from now on forward nothing.
    void setStallNewConnections(bool stall) { m_stallNewConnections = stall; }

private:
    using tcp = boost::asio::ip::tcp;

    struct relayed_connection
    {
        relayed_connection(tcp::socket socket, boost::asio::io_context &context)
            : clientSocket(std::move(socket))
            , serverSocket(context)
        {
        }

        tcp::socket clientSocket;
        tcp::socket serverSocket;
        std::array<char, 65536> clientBuffer{};
        std::array<char, 65536> serverBuffer{};
        int generation = 0;
        bool stalledFromStart = false;
    };
    using relayed_connection_ptr = std::shared_ptr<relayed_connection>;

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &failure,
                                       tcp::socket socket) {
            if (failure)
                return;
            const auto opened = std::make_shared<relayed_connection>(std::move(socket), m_context);
            opened->generation = m_generation;
            opened->stalledFromStart = m_stallNewConnections;
            ++m_accepted;
            opened->serverSocket.connect(m_target);
            forwardBytes(opened, opened->clientSocket, opened->serverSocket, opened->clientBuffer);
            forwardBytes(opened, opened->serverSocket, opened->clientSocket, opened->serverBuffer);
            accept();
        });
    }

    bool isStalled(const relayed_connection &through) const
    {
        return through.stalledFromStart || through.generation != m_generation;
    }

    void forwardBytes(const relayed_connection_ptr &through, tcp::socket &from, tcp::socket &to,
                      std::array<char, 65536> &bytes)
    {
        from.async_read_some(
            boost::asio::buffer(bytes),
            [=, this, &from, &to, &bytes](const boost::system::error_code &failure,
                                          std::size_t size) {
                if (isStalled(*through))
                    return failure ? void() : forwardBytes(through, from, to, bytes);
                ++m_forwardedReads;
                boost::system::error_code ended = failure;
                if (!ended)
                    boost::asio::write(to, boost::asio::buffer(bytes, size), ended);
                if (!ended)
                    return forwardBytes(through, from, to, bytes);
                through->clientSocket.close(ended);
                through->serverSocket.close(ended);
            });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    int m_generation = 0;
    int m_accepted = 0;
    int m_forwardedReads = 0;
    bool m_stallNewConnections = false;
};

} // namespace quincefall::testing
