#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace quincefall {

/// A connection to another process, and what may be assumed of it.
struct open_connection
{
    boost::asio::ip::tcp::socket socket;
    milliseconds keepAlive{0}; ///< Idle time after which the other end closes it.
    instant idleSince{};
};

using connection_ptr = std::unique_ptr<open_connection>;

/// Opens connections and keeps those without a request for reuse.
class connection_pool
{
public:
    struct options
    {
        std::size_t idlePerAddress = 24;
        bool findsDeadPaths = false; ///< Sets the options by which the system finds them soon.
    };

    struct counts
    {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
        std::size_t idle = 0;
    };

    static std::shared_ptr<connection_pool> makeConnectionPool(boost::asio::io_context &context,
                                                               options settings);
    ~connection_pool();

    /// The idle connection to @p address that was used last, if it has been idle for less than
    /// @p keepAliveShare of its limit; else null.
    connection_ptr takeIdle(const host_address &address, double keepAliveShare = 1);

    /// Keeps @p used, over which no answer is due, for the next request.
    void putIdle(const host_address &address, connection_ptr used);

    /// Opens a connection. Fails with upstreamUnreachable, after @p timeout at the latest.
    boost::asio::awaitable<result<connection_ptr>> open(host_address address, milliseconds timeout);

    /// Closes idle connections to @p address: it belongs to another process now, or they failed.
    void closeIdle(const host_address &address);

    counts connectionCounts() const;
    boost::asio::io_context &context() const;

private:
    struct state;
    explicit connection_pool(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
