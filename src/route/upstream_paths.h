#pragma once

#include "clients/connection_pool.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "policy/placement.h"
#include "route/routing_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace quincefall {

/// What a host has seen of an upstream whose connection ended.
enum class life_sign {
    none, ///< Not looked for.
    answered, ///< Its process answered on a connection that was open before the request.
    unanswered, ///< It did not.
    unconnected, ///< There was no such connection.
    listening, ///< Something accepts connections at its address.
    silent, ///< Nothing answers there.
    relayed, ///< Another host reaches something there, this one does not.
    refused, ///< Its machine refuses connections.
};

/// For logs.
std::string_view toString(life_sign sign);

/// Connections to upstreams, directly or, where only this host's link to an upstream is cut,
/// through another host that reaches it. A relayed connection passes exactly one other host.
class upstream_paths
{
public:
    struct counts
    {
        std::uint64_t relayed = 0; ///< Connections opened through other hosts.
        std::uint64_t relayFailures = 0; ///< Other hosts that did not relay.
    };

    static std::shared_ptr<upstream_paths>
    makeUpstreamPaths(boost::asio::io_context &context, routing_state &routing,
                      std::shared_ptr<connection_pool> direct, placement_site site,
                      clock_source clock);
    ~upstream_paths();

    /// Starts to watch for links that fail silently.
    void start();
    void stop();

    /// Called when the host becomes isolated, and when it no longer is.
    void onIsolationChange(std::function<void()> listener);

    /// As connection_pool::takeIdle(), on the path that open() would take.
    connection_ptr takeIdle(const upstream_entry &entry, double maxIdleFraction,
                            std::string_view requestId);
    void putIdle(const upstream_entry &entry, connection_ptr used);

    /// As connection_pool::takeOpenedBefore(), on that path.
    connection_ptr takeOpenedBefore(const upstream_entry &entry, instant time);

    /// Calls @p listener when the upstream's direct link is found cut in silence, until the
    /// returned handle is destroyed.
    std::shared_ptr<void> watchLink(const upstream_entry &entry, std::function<void()> listener);

    /// Opens a connection. Fails with upstreamUnreachable.
    boost::asio::awaitable<result<connection_ptr>> open(upstream_entry entry, milliseconds timeout);

    /// Tries to reach a disconnected or silent upstream, and records on which path it is reached.
    boost::asio::awaitable<void> checkLink(upstream_entry entry);

    /// Tries to connect to the upstream, also through another host where this one is refused.
    boost::asio::awaitable<life_sign> checkListening(upstream_entry entry);

    /// Records that the upstream sent something over @p connection's path.
    void noteContact(const upstream_entry &entry, bool isRelayed);

    /// Records that a request over a relayed connection failed, whose cause may be the relay.
    void noteRelayFault(const upstream_entry &entry);

    /// Closes the idle connections to @p address on all paths.
    void closeIdle(const host_address &address);

    counts numbers() const;
    boost::asio::io_context &context() const;

private:
    struct state;
    explicit upstream_paths(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
