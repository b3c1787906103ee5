#include "policy/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

std::vector<std::string> hashRing(std::string_view self, std::span<const std::string> hosts)
{
    std::vector<std::string> ring(hosts.begin(), hosts.end());
    ring.emplace_back(self);
    std::sort(ring.begin(), ring.end(), [](const std::string &left, const std::string &right) {
        const XXH64_hash_t leftHash = XXH64(left.data(), left.size(), 0);
        const XXH64_hash_t rightHash = XXH64(right.data(), right.size(), 0);
        return std::tie(leftHash, left) < std::tie(rightHash, right);
    });
    ring.erase(std::unique(ring.begin(), ring.end()), ring.end());
    return ring;
}

} // namespace

std::vector<heartbeat_partner>
heartbeatPartners(std::string_view self, std::span<const std::string> hosts, std::size_t count)
{
    const std::vector<std::string> ring = hashRing(self, hosts);
    const std::size_t size = ring.size();
    // Half of the partners are on each side in the ring, which makes the choice symmetric.
    const std::size_t maxDistance = count == 0 ? size : (count + 1) / 2;
    const auto ownIndex
        = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
    std::vector<heartbeat_partner> partners;
    for (std::size_t forward = 1; forward < size; ++forward) {
        const std::size_t backward = size - forward;
        if (std::min(forward, backward) > maxDistance)
            continue;
        const std::string &host = ring[(ownIndex + forward) % size];
        const bool initiates = forward < backward || (forward == backward && self < host);
        partners.push_back({host, initiates});
    }
    return partners;
}

} // namespace quincefall
