#include "policy/fleet_members.h"

#include "kernel/elapsed_time.h"

namespace quincefall {
namespace {

constexpr milliseconds announcementLifetime = announceInterval * 3;

} // namespace

std::vector<host_announcement> liveHosts(std::span<const host_announcement> announced,
                                         const std::set<host_address> &hintSenders,
                                         const host_address &own, wall_milliseconds now)
{
    std::vector<host_announcement> live;
    std::set<host_address> unannounced = hintSenders;
    for (const host_announcement &host : announced) {
        const bool sentHint = unannounced.erase(host.peer) > 0;
        const bool isRecent = elapsed(host.announcedAt, now) < announcementLifetime;
        if (host.peer != own && (sentHint || isRecent))
            live.push_back(host);
    }
    for (const host_address &peer : unannounced) {
        if (peer != own)
            live.push_back({peer, "", now});
    }
    return live;
}

} // namespace quincefall
