#include "clients/connection_pool.h"

#include "kernel/asio_headers.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <map>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Sound peers fall silent for a second or two, so both ways to find a dead one take longer.
constexpr int keepAliveProbeSeconds = 1; // Before the first keep-alive probe and between probes.
constexpr int keepAliveProbeCount = 3;
// Linux gives up probes after this time, too, whatever their count.
constexpr milliseconds unacknowledgedDataTimeout{
    seconds(keepAliveProbeSeconds * (keepAliveProbeCount + 1))};
// Below 1, since the peer counts its idle time from sending the last response, and that response
// was in transit before this side started to count.
constexpr double maxReusableIdleFraction = 0.7;

void enableDeadPeerDetection(tcp::socket &socket)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using keep_alive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keep_alive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keep_alive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored; // The options only speed up the detection.
    socket.set_option(user_timeout(int(unacknowledgedDataTimeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_alive_idle(keepAliveProbeSeconds), ignored);
    socket.set_option(keep_alive_interval(keepAliveProbeSeconds), ignored);
    socket.set_option(keep_alive_count(keepAliveProbeCount), ignored);
}

/// Idle time as a fraction of the connection's `keepAlive` time.
double idleFraction(const pooled_connection &connection)
{
    const double idleMs = toMilliseconds(steadyNow() - connection.idleSince);
    return idleMs / std::max(1.0, double(connection.keepAlive.count()));
}

} // namespace

bool hasInput(tcp::socket &socket)
{
    boost::system::error_code code;
    std::array<char, 1> byte{};
    socket.non_blocking(true, code);
    const std::size_t size = socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return size > 0 || code != asio::error::would_block;
}

struct connection_pool::state
{
    asio::io_context &context;
    options settings;
    std::map<host_address, std::deque<connection_ptr>> idle;
    counts totals;

    /// Opens a connection; fails with timed_out after @p timeout.
    asio::awaitable<std::pair<connection_ptr, boost::system::error_code>>
    connect(host_address address, milliseconds timeout)
    {
        boost::system::error_code code;
        const auto ip = asio::ip::make_address(address.ip, code);
        if (code)
            co_return std::pair(nullptr, code);
        auto opened = std::make_unique<pooled_connection>(
            pooled_connection{tcp::socket(context), milliseconds(0), {}, {}, false});
        const tcp::endpoint endpoint(ip, address.port);
        asio::steady_timer timer(context, timeout);
        const auto outcome = co_await (opened->socket.async_connect(endpoint, asTuple)
                                       || timer.async_wait(asTuple));
        if (outcome.index() != 0)
            co_return std::pair(nullptr, make_error_code(asio::error::timed_out));
        if (const auto &[connectCode] = std::get<0>(outcome); connectCode)
            co_return std::pair(nullptr, connectCode);
        opened->socket.set_option(tcp::no_delay(true), code);
        opened->socket.non_blocking(true, code);
        if (settings.detectsDeadPeers)
            enableDeadPeerDetection(opened->socket);
        opened->openedAt = steadyNow();
        opened->number = ++totals.opened;
        co_return std::pair(std::move(opened), boost::system::error_code());
    }
};

std::shared_ptr<connection_pool> connection_pool::makeConnectionPool(asio::io_context &context,
                                                                     options settings)
{
    return std::shared_ptr<connection_pool>(
        new connection_pool(std::make_unique<state>(state{context, settings, {}, {}})));
}

connection_pool::connection_pool(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

connection_pool::~connection_pool() = default;

connection_ptr connection_pool::takeIdle(const host_address &address, double maxIdleFraction,
                                         std::string_view requestId)
{
    const auto found = m_state->idle.find(address);
    if (found == m_state->idle.end())
        return nullptr;
    auto &idleConnections = found->second;
    // The last one was used last.
    for (auto next = idleConnections.end(); next != idleConnections.begin();) {
        const auto candidate = std::prev(next);
        const double fraction = idleFraction(**candidate);
        if (hasInput((*candidate)->socket)) {
            next = idleConnections.erase(candidate);
            continue;
        }
        if (fraction >= maxReusableIdleFraction) {
            // The others are older. One is enough for takeOpenedBefore().
            idleConnections.erase(idleConnections.begin(), candidate);
            return nullptr;
        }
        // Callers that accept a longer idle time can still use it. The remaining connections have
        // been idle for longer, so none of them qualifies.
        if (fraction >= maxIdleFraction)
            return nullptr;
        next = candidate;
        if (hasCarried((*candidate)->carried, requestId))
            continue;
        connection_ptr taken = std::move(*candidate);
        idleConnections.erase(candidate);
        ++m_state->totals.reused;
        return taken;
    }
    return nullptr;
}

connection_ptr connection_pool::takeOpenedBefore(const host_address &address, instant time)
{
    const auto found = m_state->idle.find(address);
    if (found == m_state->idle.end())
        return nullptr;
    auto &idleConnections = found->second;
    std::erase_if(idleConnections, [](const auto &one) { return hasInput(one->socket); });
    const auto oldest
        = std::find_if(idleConnections.begin(), idleConnections.end(), [time](const auto &one) {
              return one->hasCarriedRequest && one->openedAt < time;
          });
    if (oldest == idleConnections.end())
        return nullptr;
    connection_ptr taken = std::move(*oldest);
    idleConnections.erase(oldest);
    return taken;
}

void connection_pool::putIdle(const host_address &address, connection_ptr used)
{
    auto &idleConnections = m_state->idle[address];
    used->idleSince = steadyNow();
    // Drops the connections that were idle longest, since the most recently used are reused first.
    while (!idleConnections.empty()
           && (idleConnections.size() >= m_state->settings.maxIdlePerAddress
               || (idleConnections.size() > 1 && idleFraction(*idleConnections[1]) > 1)
               || hasInput(idleConnections.front()->socket)))
        idleConnections.pop_front();
    idleConnections.push_back(std::move(used));
}

asio::awaitable<result<connection_ptr>> connection_pool::open(host_address address,
                                                              milliseconds timeout)
{
    auto [opened, code] = co_await m_state->connect(address, timeout);
    if (code)
        co_return makeError(result_code::upstreamUnreachable,
                            toString(address) + ": "
                                + (code == asio::error::timed_out ? "timed out" : code.message()));
    co_return std::move(opened);
}

asio::awaitable<tl::expected<connection_ptr, boost::system::error_code>>
connection_pool::connect(host_address address, milliseconds timeout)
{
    auto [opened, code] = co_await m_state->connect(std::move(address), timeout);
    if (code)
        co_return tl::unexpected(code);
    co_return std::move(opened);
}

void connection_pool::closeIdle(const host_address &address)
{
    m_state->idle.erase(address);
}

connection_pool::counts connection_pool::connectionCounts() const
{
    counts current = m_state->totals;
    for (const auto &[address, idleConnections] : m_state->idle)
        current.idle += idleConnections.size();
    return current;
}

asio::io_context &connection_pool::context() const
{
    return m_state->context;
}

} // namespace quincefall
