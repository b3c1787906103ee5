#include "route/upstream_connections_state.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <netinet/tcp.h>

#include <array>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds unacknowledgedTimeout{800}; // Several round trips between regions.
constexpr int probeIdleSeconds = 1; // Keep-alive probes of connections without traffic.
constexpr int probeCount = 2;
constexpr double keepAliveShare = 0.7; // Of the upstream's limit; its answer was on its way too.
constexpr double keepAliveShareOnce = 0.35; // For calls that may not be repeated.
constexpr std::size_t idlePerUpstream = 24;

/// Input on an idle connection is its end, or bytes that belong to no request.
bool hasInput(tcp::socket &socket)
{
    boost::system::error_code code;
    std::array<char, 1> byte{};
    const std::size_t size = socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return size > 0 || code != asio::error::would_block;
}

} // namespace

instant steadyNow()
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

void setOptions(tcp::socket &socket)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using probe_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using probe_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored; // The options only speed up the discovery of dead paths.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(int(unacknowledgedTimeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(probe_idle(probeIdleSeconds), ignored);
    socket.set_option(probe_interval(probeIdleSeconds), ignored);
    socket.set_option(probes(probeCount), ignored);
    socket.non_blocking(true, ignored);
}

connection_ptr upstream_connections::state::takeIdle(const host_address &address, bool isOnce)
{
    const auto found = idle.find(address);
    if (found == idle.end())
        return nullptr;
    auto &kept = found->second;
    const double share = isOnce ? keepAliveShareOnce : keepAliveShare;
    while (!kept.empty()) {
        connection_ptr candidate = std::move(kept.back());
        kept.pop_back();
        const double idleMs = toMilliseconds(steadyNow() - candidate->idleSince);
        const bool isFresh = idleMs < share * double(candidate->keepAlive.count());
        if (isFresh && !hasInput(candidate->socket))
            return candidate;
        if (!isFresh && isOnce && idleMs < keepAliveShare * double(candidate->keepAlive.count())) {
            kept.push_back(std::move(candidate));
            return nullptr;
        }
    }
    return nullptr;
}

void upstream_connections::state::putIdle(const host_address &address, connection_ptr used)
{
    auto &kept = idle[address];
    used->idleSince = steadyNow();
    // The oldest are dropped, since the newest are reused first.
    while (!kept.empty()
           && (kept.size() >= idlePerUpstream
               || steadyNow() - kept.front()->idleSince > kept.front()->keepAlive))
        kept.pop_front();
    kept.push_back(std::move(used));
}

std::unique_ptr<upstream_connections>
upstream_connections::makeUpstreamConnections(asio::io_context &context)
{
    return std::unique_ptr<upstream_connections>(
        new upstream_connections(std::make_shared<state>(context)));
}

upstream_connections::upstream_connections(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

upstream_connections::~upstream_connections() = default;

void upstream_connections::forget(const host_address &address)
{
    m_state->idle.erase(address);
}

upstream_connection_counts upstream_connections::counts() const
{
    upstream_connection_counts numbers = m_state->numbers;
    for (const auto &[address, kept] : m_state->idle)
        numbers.idle += kept.size();
    return numbers;
}

asio::awaitable<bool> upstream_connections::open(host_address address)
{
    const auto shared = m_state;
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(address.ip, failed);
    if (failed)
        co_return false;
    auto opened = std::make_unique<upstream_connection>(shared->context);
    const tcp::endpoint endpoint(ip, address.port);
    asio::steady_timer timer(shared->context, connectTimeout);
    const auto outcome
        = co_await (opened->socket.async_connect(endpoint, asTuple) || timer.async_wait(asTuple));
    if (outcome.index() != 0 || std::get<0>(std::get<0>(outcome)))
        co_return false;
    setOptions(opened->socket);
    ++shared->numbers.opened;
    shared->putIdle(address, std::move(opened));
    co_return true;
}

} // namespace quincefall
