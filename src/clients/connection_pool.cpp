#include "clients/connection_pool.h"

#include "kernel/asio_headers.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <netinet/tcp.h>

#include <array>
#include <deque>
#include <map>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds unacknowledgedTimeout{800}; // Several round trips between regions.
constexpr int probeIdleSeconds = 1; // Keep-alive probes of connections without traffic.
constexpr int probeCount = 2;
constexpr double mostKeepAliveShare = 0.7; // The answer before was on its way for a while, too.

/// Input on an idle connection is its end, or bytes that belong to no request.
bool hasInput(tcp::socket &socket)
{
    boost::system::error_code code;
    std::array<char, 1> byte{};
    socket.non_blocking(true, code);
    const std::size_t size = socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return size > 0 || code != asio::error::would_block;
}

void setDeadPathOptions(tcp::socket &socket)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using probe_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using probe_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored; // The options only speed up the discovery.
    socket.set_option(user_timeout(int(unacknowledgedTimeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(probe_idle(probeIdleSeconds), ignored);
    socket.set_option(probe_interval(probeIdleSeconds), ignored);
    socket.set_option(probes(probeCount), ignored);
}

/// Idle time as a share of the limit.
double idleShare(const open_connection &connection)
{
    const double idleMs = toMilliseconds(steadyNow() - connection.idleSince);
    return idleMs / std::max(1.0, double(connection.keepAlive.count()));
}

} // namespace

struct connection_pool::state
{
    asio::io_context &context;
    options settings;
    std::map<host_address, std::deque<connection_ptr>> idle;
    counts numbers;
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

connection_ptr connection_pool::takeIdle(const host_address &address, double keepAliveShare)
{
    const auto found = m_state->idle.find(address);
    if (found == m_state->idle.end())
        return nullptr;
    auto &kept = found->second;
    while (!kept.empty()) {
        connection_ptr candidate = std::move(kept.back());
        kept.pop_back();
        const double share = idleShare(*candidate);
        if (share >= mostKeepAliveShare || hasInput(candidate->socket))
            continue;
        if (share < keepAliveShare) {
            ++m_state->numbers.reused;
            return candidate;
        }
        // Good enough for others; those before it have been idle for longer.
        kept.push_back(std::move(candidate));
        return nullptr;
    }
    return nullptr;
}

void connection_pool::putIdle(const host_address &address, connection_ptr used)
{
    auto &kept = m_state->idle[address];
    used->idleSince = steadyNow();
    // The oldest are dropped, since the newest are reused first.
    while (!kept.empty()
           && (kept.size() >= m_state->settings.idlePerAddress || idleShare(*kept.front()) > 1))
        kept.pop_front();
    kept.push_back(std::move(used));
}

asio::awaitable<result<connection_ptr>> connection_pool::open(host_address address,
                                                              milliseconds timeout)
{
    const auto failed = [&address](std::string_view cause) {
        return makeError(result_code::upstreamUnreachable,
                         toString(address) + ": " + std::string(cause));
    };
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(address.ip, code);
    if (code)
        co_return failed(code.message());
    auto opened = std::make_unique<open_connection>(
        open_connection{tcp::socket(m_state->context), milliseconds(0), {}});
    const tcp::endpoint endpoint(ip, address.port);
    asio::steady_timer timer(m_state->context, timeout);
    const auto outcome
        = co_await (opened->socket.async_connect(endpoint, asTuple) || timer.async_wait(asTuple));
    if (outcome.index() != 0)
        co_return failed("timed out");
    if (const auto &[connectCode] = std::get<0>(outcome); connectCode)
        co_return failed(connectCode.message());
    opened->socket.set_option(tcp::no_delay(true), code);
    opened->socket.non_blocking(true, code);
    if (m_state->settings.findsDeadPaths)
        setDeadPathOptions(opened->socket);
    ++m_state->numbers.opened;
    co_return opened;
}

void connection_pool::closeIdle(const host_address &address)
{
    m_state->idle.erase(address);
}

connection_pool::counts connection_pool::connectionCounts() const
{
    counts numbers = m_state->numbers;
    for (const auto &[address, kept] : m_state->idle)
        numbers.idle += kept.size();
    return numbers;
}

asio::io_context &connection_pool::context() const
{
    return m_state->context;
}

} // namespace quincefall
