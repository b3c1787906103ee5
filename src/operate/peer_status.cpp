#include "operate/peer_status.h"

#include "peer/heartbeat_service.h"

namespace quincefall {

boost::json::array describePeers(std::span<const listed_host> listed,
                                 const heartbeat_service &heartbeats, std::string_view self)
{
    boost::json::array rows;
    for (const listed_host &host : listed) {
        if (host.isEntry && host.name != self)
            rows.push_back(boost::json::object{{"host", host.name},
                                               {"state", toString(heartbeats.stateOf(host.name))}});
    }
    return rows;
}

std::vector<listed_host> hostsFromSettings(std::span<const peer_setting> peers)
{
    std::vector<listed_host> hosts;
    hosts.reserve(peers.size());
    for (const peer_setting &peer : peers)
        hosts.push_back({peer.name, true, peer.address, "", "", false});
    return hosts;
}

} // namespace quincefall
