#include "route/relay_server.h"

#include "clients/send_queue.h"
#include "kernel/asio_headers.h"
#include "route/relay_client.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <array>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Below the time for which the asking host waits.
constexpr milliseconds connectTimeout{300};
constexpr std::size_t bufferBytes = 16'384;

/// Passes bytes on until @p from ends. True if it was closed in good order. @p hasUnsentBytes says
/// whether bytes were read that @p to has not taken.
asio::awaitable<bool> passBytes(tcp::socket &from, tcp::socket &to, bool &hasUnsentBytes)
{
    std::array<char, bufferBytes> bytes{};
    while (true) {
        const auto [code, size] = co_await from.async_read_some(asio::buffer(bytes), asTuple);
        if (code)
            co_return code == asio::error::eof;
        hasUnsentBytes = true;
        const auto [writeCode, written]
            = co_await asio::async_write(to, asio::buffer(bytes, size), asTuple);
        if (writeCode)
            co_return false;
        hasUnsentBytes = false;
    }
}

/// Sets whether closing the socket resets the connection. That also holds if the process is killed,
/// so that the other host does not take an answer which ends with its connection for complete.
void setResetOnClose(tcp::socket &socket, bool isReset)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

/// Passes bytes in both directions until one side closes. Upstreams treat a half-closed connection
/// as closed, so the end of either direction ends both.
asio::awaitable<void> passBothWays(tcp::socket &host, tcp::socket &upstream)
{
    setResetOnClose(host, true);
    bool hasUnsentAnswer = false;
    bool hasUnsentRequest = false;
    const auto ended = co_await (passBytes(upstream, host, hasUnsentAnswer)
                                 || passBytes(host, upstream, hasUnsentRequest));
    // The other host does not know that the upstream never got the rest of the request.
    const bool isAnswerComplete = ended.index() == 0 && std::get<0>(ended) && !hasUnsentRequest
        && unacknowledgedBytes(upstream) == 0;
    boost::system::error_code ignored;
    if (isAnswerComplete) {
        setResetOnClose(host, false);
        host.shutdown(tcp::socket::shutdown_send, ignored);
    }
    upstream.close(ignored);
    host.close(ignored);
}

std::optional<upstream_entry> findListed(const routing_state &routing, const std::string &id,
                                         const std::string &started)
{
    const auto listing = routing.membership.listings.find(id);
    if (listing == routing.membership.listings.end()
        || std::to_string(listing->second.entry.started) != started)
        return std::nullopt;
    return listing->second.entry;
}

} // namespace

struct relay_server::state
{
    const routing_state &routing;
    std::shared_ptr<connection_pool> connections;
    std::size_t maxOpen;
    clock_source clock;
    counts totals{};

    bool canRelay(const upstream_entry &entry) const
    {
        const auto pool = routing.pools.find(entry.service);
        if (pool == routing.pools.end() || routing.isStopping || totals.open >= maxOpen)
            return false;
        const auto upstream = pool->second.upstreams.find(entry.id);
        return upstream != pool->second.upstreams.end() && !upstream->second.isDisconnected
            && !needsRelay(routing.links, upstream->second);
    }
};

std::unique_ptr<relay_server>
relay_server::makeRelayServer(const routing_state &routing,
                              std::shared_ptr<connection_pool> connections, std::size_t maxOpen,
                              clock_source clock)
{
    return std::unique_ptr<relay_server>(new relay_server(std::make_shared<state>(
        state{routing, std::move(connections), maxOpen, std::move(clock)})));
}

relay_server::relay_server(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

relay_server::~relay_server() = default;

asio::awaitable<void> relay_server::handle(http_exchange &exchange)
{
    const auto self = m_state;
    const auto entry
        = findListed(self->routing, exchange.query("upstream"), exchange.query("started"));
    if (!entry || !self->canRelay(*entry)) {
        ++self->totals.unavailable;
        co_await exchange.respond(relayStatusUnavailable, {}, "");
        co_return;
    }
    ++self->totals.open;
    auto opened = co_await self->connections->connect(entry->address, connectTimeout);
    if (opened) {
        ++self->totals.opened;
        if (tcp::socket *host = co_await exchange.upgrade(relayProtocol))
            co_await passBothWays(*host, (*opened)->socket);
    } else {
        ++self->totals.unreachable;
        const bool isRefused = opened.error() == asio::error::connection_refused;
        co_await exchange.respond(isRefused ? relayStatusRefused : relayStatusUnreachable, {}, "");
    }
    --self->totals.open;
}

relay_server::counts relay_server::numbers() const
{
    return m_state->totals;
}

} // namespace quincefall
