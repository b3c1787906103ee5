#pragma once

#include "kernel/asio_headers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace quincefall::testing {

/// A TCP relay in front of one server. All bytes that the server sends share one link.
class slow_link : public std::enable_shared_from_this<slow_link>
{
public:
    using tcp = boost::asio::ip::tcp;
    using steady_clock = std::chrono::steady_clock;

    static std::shared_ptr<slow_link> makeSlowLink(boost::asio::io_context &context,
                                                   const std::string &ip, std::uint16_t target,
                                                   double bytesPerSecond)
    {
        std::shared_ptr<slow_link> made(new slow_link(context, ip, target, bytesPerSecond));
        boost::asio::co_spawn(context, accept(made), boost::asio::detached);
        return made;
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::size_t sentBytes() const { return m_sentBytes; }

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;
    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

    slow_link(boost::asio::io_context &context, const std::string &ip, std::uint16_t target,
              double bytesPerSecond)
        : m_context(context)
        , m_acceptor(context, {boost::asio::ip::make_address(ip), 0})
        , m_target(boost::asio::ip::make_address(ip), target)
        , m_bytesPerSecond(bytesPerSecond)
    {
    }

    static boost::asio::awaitable<void> accept(std::shared_ptr<slow_link> self)
    {
        while (true) {
            const auto client = std::make_shared<tcp::socket>(self->m_context);
            const auto [failure] = co_await self->m_acceptor.async_accept(*client, asTuple);
            if (failure)
                co_return;
            const auto server = std::make_shared<tcp::socket>(self->m_context);
            const auto [refused] = co_await server->async_connect(self->m_target, asTuple);
            if (refused)
                continue;
            boost::asio::co_spawn(self->m_context, forward(self, client, server, false),
                                  boost::asio::detached);
            boost::asio::co_spawn(self->m_context, forward(self, server, client, true),
                                  boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> forward(std::shared_ptr<slow_link> self, socket_ptr from,
                                                socket_ptr to, bool isLimited)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code ended;
        while (!ended) {
            const auto [failure, size]
                = co_await from->async_read_some(boost::asio::buffer(bytes), asTuple);
            ended = failure;
            if (ended)
                break;
            if (isLimited)
                co_await self->waitForLink(size);
            const auto [writeFailure, written] = co_await boost::asio::async_write(
                *to, boost::asio::buffer(bytes.data(), size), asTuple);
            ended = writeFailure;
        }
        from->close(ended);
        to->close(ended);
    }

    boost::asio::awaitable<void> waitForLink(std::size_t size)
    {
        const std::chrono::duration<double> time(double(size) / m_bytesPerSecond);
        m_idleFrom = std::max(m_idleFrom, steady_clock::now())
            + std::chrono::duration_cast<steady_clock::duration>(time);
        m_sentBytes += size;
        boost::asio::steady_timer timer(m_context, m_idleFrom);
        co_await timer.async_wait(asTuple);
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    double m_bytesPerSecond;
    steady_clock::time_point m_idleFrom{};
    std::size_t m_sentBytes = 0;
};

} // namespace quincefall::testing
