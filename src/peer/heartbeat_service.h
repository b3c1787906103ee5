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

/// Exchanges heartbeats with the other hosts of the fleet and tells who is live.
class heartbeat_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh; ///< Must outlive the service, which answers "/beat" on it.
        timeline &events;
        clock_source clock;
    };

    struct options
    {
        std::string hostName;
        std::uint64_t incarnation = 0; ///< Higher than that of the host's earlier processes.
        membership_rules rules;
    };

    using change_listener = std::function<void(const state_change &change)>;
    using offset_source = std::function<std::uint64_t()>;
    using offset_listener = std::function<void(const std::string &host, std::uint64_t offset)>;

    static std::unique_ptr<heartbeat_service> makeHeartbeatService(dependencies needs,
                                                                   options settings);
    ~heartbeat_service();

    /// Begins to send and answer beats.
    void start();
    void stop();

    /// Takes in the platform's list; upstreams in it are skipped.
    void setHostList(std::span<const listed_host> hosts);

    /// Announces that this host is leaving. It stops owning anything at once.
    void leave();

    /// Sorted names of the live hosts, with this one unless it is leaving.
    std::vector<std::string> liveHosts() const;

    /// Sorted names of the hosts that may own queues: the live and the suspected ones.
    const std::vector<std::string> &owners() const;

    /// The host that owns @p key; empty when every host is leaving.
    std::string ownerOf(std::string_view key) const;

    /// The state of another host.
    host_state stateOf(std::string_view host) const;

    /// Calls @p listener after each change of a host's state. leave() counts as a change of this
    /// host. The listener must not destroy the service.
    void onChange(change_listener listener);

    /// Sends with each beat the offset that @p own returns: the next one of the configuration
    /// stream that is not in force here. @p onPeer gets those of the peers.
    void exchangeOffsets(offset_source own, offset_listener onPeer);

    /// Beats since the start and the bytes of their bodies, without those of HTTP/2.
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
