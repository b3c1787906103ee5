#include "policy/fleet_members.h"

#include <algorithm>
#include <iterator>

namespace quincefall {
namespace {

constexpr milliseconds announcementLife = announceInterval * 3;

} // namespace

std::vector<host_announcement> liveHosts(std::span<const host_announcement> announced,
                                         const host_address &own, wall_milliseconds now)
{
    std::vector<host_announcement> live;
    std::copy_if(announced.begin(), announced.end(), std::back_inserter(live),
                 [&own, now](const host_announcement &host) {
                     return host.peer != own && now - host.announced < announcementLife.count();
                 });
    return live;
}

} // namespace quincefall
