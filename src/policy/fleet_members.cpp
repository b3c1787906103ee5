#include "policy/fleet_members.h"

namespace quincefall {
namespace {

constexpr milliseconds announcementLife = announceInterval * 3;

} // namespace

std::vector<host_announcement> liveHosts(std::span<const host_announcement> announced,
                                         const std::set<host_address> &heard,
                                         const host_address &own, wall_milliseconds now)
{
    std::vector<host_announcement> live;
    std::set<host_address> missing = heard;
    for (const host_announcement &host : announced) {
        const bool isHeard = missing.erase(host.peer) > 0;
        const bool isRecent = now - host.announcedAt < announcementLife.count();
        if (host.peer != own && (isHeard || isRecent))
            live.push_back(host);
    }
    for (const host_address &peer : missing) {
        if (peer != own)
            live.push_back({peer, "", now});
    }
    return live;
}

} // namespace quincefall
