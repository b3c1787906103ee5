#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>
#include <memory>

namespace quincefall::testing {

/// A relay on loopback that can lose track of the connections through it.
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

    /// Number of reads that were passed on so far.
    int passedOn() const { return m_passedOn; }

    /// From now on no byte passes through connections that are open; new ones work.
    void silenceOpenConnections() { ++m_generation; }

    /// Whether new connections are accepted but pass nothing on.
    void setSwallowing(bool swallowing) { m_swallowing = swallowing; }

private:
    using tcp = boost::asio::ip::tcp;

    struct passage
    {
        passage(tcp::socket socket, boost::asio::io_context &context)
            : near(std::move(socket))
            , far(context)
        {
        }

        tcp::socket near;
        tcp::socket far;
        std::array<char, 65536> nearBytes{};
        std::array<char, 65536> farBytes{};
        int generation = 0;
        bool swallowed = false;
    };
    using passage_pointer = std::shared_ptr<passage>;

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code &failure, tcp::socket socket) {
                if (failure)
                    return;
                const auto opened = std::make_shared<passage>(std::move(socket), m_context);
                opened->generation = m_generation;
                opened->swallowed = m_swallowing;
                ++m_accepted;
                opened->far.connect(m_target);
                pass(opened, opened->near, opened->far, opened->nearBytes);
                pass(opened, opened->far, opened->near, opened->farBytes);
                accept();
            });
    }

    bool isSilent(const passage &through) const
    {
        return through.swallowed || through.generation != m_generation;
    }

    void pass(const passage_pointer &through, tcp::socket &from, tcp::socket &to,
              std::array<char, 65536> &bytes)
    {
        from.async_read_some(boost::asio::buffer(bytes),
                             [=, this, &from, &to, &bytes](const boost::system::error_code &failure,
                                                           std::size_t size) {
                                 if (isSilent(*through))
                                     return failure ? void() : pass(through, from, to, bytes);
                                 ++m_passedOn;
                                 boost::system::error_code ended = failure;
                                 if (!ended)
                                     boost::asio::write(to, boost::asio::buffer(bytes, size),
                                                        ended);
                                 if (!ended)
                                     return pass(through, from, to, bytes);
                                 through->near.close(ended);
                                 through->far.close(ended);
                             });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    int m_generation = 0;
    int m_accepted = 0;
    int m_passedOn = 0;
    bool m_swallowing = false;
};

} // namespace quincefall::testing
