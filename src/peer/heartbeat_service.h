#pragma once

#include "kernel/clock.h"
#include "policy/membership.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

class peer_mesh;
class timeline;
struct listed_host;

/// Exchanges heartbeats with the other hosts of the fleet and tracks which of them are live.
class heartbeat_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh; ///< Must outlive the service, which registers a "/beat" handler.
        timeline &events;
        clock_source clock;
    };

    struct options
    {
        std::string hostName;
        std::uint64_t incarnation = 0; ///< Must exceed that of the host's earlier processes.
        membership_rules rules;
    };

    using change_listener = std::function<void(const state_change &change)>;
    using offset_source = std::function<std::uint64_t()>;
    using offset_listener = std::function<void(const std::string &host, std::uint64_t offset)>;

    static std::unique_ptr<heartbeat_service> makeHeartbeatService(dependencies needs,
                                                                   options settings);
    ~heartbeat_service();

    /// Starts to send and answer heartbeats.
    void start();
    void stop();

    /// Applies the platform's host list; the upstreams in it are ignored.
    void setHostList(std::span<const listed_host> hosts);

    /// Announces to the other hosts that this host is leaving. From this call on, this host does
    /// not count itself among the owners.
    void leave();

    /// Sorted names of the live hosts, including this one unless it is leaving.
    std::vector<std::string> liveHosts() const;

    /// Sorted names of the hosts that may own queues: those that are live or suspected.
    const std::vector<std::string> &owners() const;

    /// The host that owns @p key; empty when every host is leaving.
    std::string ownerOf(std::string_view key) const;

    /// The state of another host; `unknown` when the member table has no entry for it.
    host_state stateOf(std::string_view host) const;

    /// Calls @p listener after each change of a host's state. leave() counts as a change of this
    /// host. The listener must not destroy the service.
    void onChange(change_listener listener);

    /// Adds the offset that @p own returns to each heartbeat: the first offset of the configuration
    /// stream that this host has not applied. Calls @p onPeer with the offset in each heartbeat
    /// that another host sends.
    void exchangeOffsets(offset_source own, offset_listener onPeer);

    /// Heartbeats since the start and the bytes of their bodies, without HTTP/2 framing.
    struct traffic
    {
        std::uint64_t heartbeatsSent = 0;
        std::uint64_t heartbeatsReceived = 0;
        std::uint64_t bytesSent = 0;
        std::uint64_t bytesReceived = 0;
    };
    const traffic &trafficTotals() const;

private:
    struct state;
    explicit heartbeat_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
