#include "policy/fleet_share.h"

#include "policy/fleet_load.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace quincefall {
namespace {

std::uint64_t scoreOf(const host_address &host, std::uint64_t key)
{
    const std::string name = toString(host);
    return XXH64(name.data(), name.size(), key);
}

} // namespace

fleet_share shareAmongHosts(std::uint64_t key, double wanted, const host_address &self,
                            const fleet_load &others)
{
    const double hosts = double(others.hosts.size()) + 1;
    const std::uint64_t ownScore = scoreOf(self, key);
    const auto before
        = std::count_if(others.hosts.begin(), others.hosts.end(),
                        [&](const auto &row) { return scoreOf(row.first, key) > ownScore; });
    fleet_share share;
    share.hosts = std::clamp(std::floor(wanted), 1.0, hosts);
    share.hasPart = double(before) < share.hosts;
    return share;
}

} // namespace quincefall
