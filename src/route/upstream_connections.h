#pragma once

#include "kernel/address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace quincefall {

/// Counts of the connections to upstreams.
struct upstream_connection_counts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::size_t idle = 0;
};

class upstream_call;

/// Open connections to upstreams, kept for reuse.
class upstream_connections
{
public:
    static std::unique_ptr<upstream_connections>
    makeUpstreamConnections(boost::asio::io_context &context);
    ~upstream_connections();

    /// A call that has not begun.
    std::shared_ptr<upstream_call> makeCall(const host_address &address);

    /// Closes idle connections to @p address: it belongs to another upstream now, or they failed.
    void forget(const host_address &address);

    /// Opens a connection to @p address and keeps it for the next call. False if that fails.
    boost::asio::awaitable<bool> open(host_address address);

    upstream_connection_counts counts() const;

private:
    friend class upstream_call;
    struct state;
    explicit upstream_connections(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
