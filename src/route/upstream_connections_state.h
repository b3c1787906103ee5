#pragma once

#include "kernel/asio_headers.h"
#include "kernel/clock.h"
#include "route/upstream_connections.h"

#include <deque>
#include <unordered_map>

namespace quincefall {

// A lost opening packet is sent again only after a second.
inline constexpr milliseconds connectTimeout{400};
inline constexpr milliseconds defaultKeepAlive{2'000}; // Where an upstream does not say.

/// An open connection and what may be assumed of it.
struct upstream_connection
{
    explicit upstream_connection(boost::asio::io_context &context)
        : socket(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    instant idleSince{};
    milliseconds keepAlive = defaultKeepAlive;
};

using connection_ptr = std::unique_ptr<upstream_connection>;

struct address_hash
{
    std::size_t operator()(const host_address &address) const
    {
        return std::hash<std::string>()(address.ip) ^ (std::size_t(address.port) << 16U);
    }
};

struct upstream_connections::state
{
    explicit state(boost::asio::io_context &io)
        : context(io)
    {
    }

    boost::asio::io_context &context;
    std::unordered_map<host_address, std::deque<connection_ptr>, address_hash> idle;
    upstream_connection_counts numbers;

    connection_ptr takeIdle(const host_address &address, bool isOnce);
    void putIdle(const host_address &address, connection_ptr used);
};

/// Time of the clock that idle connections are judged by.
instant steadyNow();

/// Sets the options that find dead paths soon.
void setOptions(boost::asio::ip::tcp::socket &socket);

} // namespace quincefall
