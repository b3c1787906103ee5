#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/carried_requests.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace quincefall {

/// A connection to another process, with the data that decides whether it may be reused.
struct pooled_connection
{
    boost::asio::ip::tcp::socket socket;
    milliseconds keepAlive{0}; ///< Idle time after which the other end closes it.
    instant idleSince{};
    instant openedAt{}; ///< When it was made.
    bool isRelayed = false; ///< Passes another host; see route/upstream_paths.h.
    bool hasCarriedRequest = false; ///< Late answers to earlier requests may arrive.
    carried_requests carried{}; ///< Of those with an id.
    std::uint64_t number = 0; ///< In the order of their opening by one pool, from 1; for logs.
    /// Start of the process at the other end, as it said; empty if it was not asked, 0 if it did
    /// not say. Unix time in milliseconds.
    std::optional<std::int64_t> processStart{};
};

using connection_ptr = std::unique_ptr<pooled_connection>;

/// Whether a connection on which nothing is expected was closed, or has received something.
bool hasInput(boost::asio::ip::tcp::socket &socket);

/// Opens connections and keeps idle ones for reuse.
class connection_pool
{
public:
    struct options
    {
        std::size_t maxIdlePerAddress = 24;
        bool detectsDeadPeers = false; ///< Sets TCP options to detect unreachable peers early.
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

    /// Takes the most recently used idle connection to @p address from the pool, if it has been
    /// idle for less than @p maxIdleFraction of its `keepAlive` time and has not carried the
    /// request
    /// @p requestId; null if there is none.
    connection_ptr takeIdle(const host_address &address, double maxIdleFraction = 1,
                            std::string_view requestId = {});

    /// Takes the longest idle connection to @p address that was opened before @p time, on which the
    /// other end has answered and which it has not closed, however long it has been idle; null if
    /// there is none. For calls that show whether the process which accepted it still runs.
    connection_ptr takeOpenedBefore(const host_address &address, instant time);

    /// Adds @p used to the idle connections. No response may be pending on it.
    void putIdle(const host_address &address, connection_ptr used);

    /// Opens a connection. Fails with upstreamUnreachable, after @p timeout at the latest.
    boost::asio::awaitable<result<connection_ptr>> open(host_address address, milliseconds timeout);

    /// As open(), but fails with the code of the operating system, timed_out after @p timeout.
    boost::asio::awaitable<tl::expected<connection_ptr, boost::system::error_code>>
    connect(host_address address, milliseconds timeout);

    /// Closes the idle connections to @p address. Needed when the address now belongs to another
    /// process, or when its connections have failed.
    void closeIdle(const host_address &address);

    counts connectionCounts() const;
    boost::asio::io_context &context() const;

private:
    struct state;
    explicit connection_pool(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
