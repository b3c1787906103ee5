#include "policy/keepers.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace quincefall {
namespace {

// With two thirds of all hosts lost at once, four in five objects still have a keeper.
constexpr std::size_t keeperCount = 4;

constexpr std::size_t hostsPerWriter = 64;
constexpr std::uint64_t writersKey = 0x7374'7265'616d'7300; // Any fixed number.

std::size_t writerCount(std::span<const host_address> hosts)
{
    return 1 + hosts.size() / hostsPerWriter;
}

std::uint64_t scoreOf(const host_address &host, std::uint64_t key)
{
    return XXH64(host.ip.data(), host.ip.size(), key + host.port);
}

} // namespace

std::vector<host_address> keepersOf(std::uint64_t key, const fleet_load &others,
                                    const host_address &own)
{
    std::vector<host_address> hosts{own};
    hosts.reserve(others.hosts.size() + 1);
    for (const auto &[host, entry] : others.hosts)
        hosts.push_back(host);
    return keepersAmong(key, hosts);
}

std::vector<host_address> keepersAmong(std::uint64_t key, std::span<const host_address> hosts)
{
    std::vector<std::pair<std::uint64_t, const host_address *>> ranked;
    ranked.reserve(hosts.size());
    for (const host_address &host : hosts)
        ranked.emplace_back(scoreOf(host, key), &host);
    const std::size_t count = std::min(keeperCount, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + std::ptrdiff_t(count), ranked.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<host_address> keepers;
    for (std::size_t index = 0; index < count; ++index)
        keepers.push_back(*ranked[index].second);
    return keepers;
}

std::vector<host_address> stayingHosts(const fleet_load &others, const host_address &own,
                                       bool isStopping)
{
    std::vector<host_address> staying;
    for (const auto &[host, entry] : others.hosts) {
        if (!entry.hint.cannotRelay)
            staying.push_back(host);
    }
    if (staying.empty()) {
        for (const auto &[host, entry] : others.hosts)
            staying.push_back(host);
        isStopping = false;
    }
    if (!isStopping)
        staying.push_back(own);
    return staying;
}

host_address streamWriter(std::uint64_t stream, std::span<const host_address> hosts)
{
    return keepersAmong(writersKey + stream % writerCount(hosts), hosts).front();
}

bool isStreamWriter(const host_address &own, std::span<const host_address> hosts)
{
    for (std::size_t share = 0; share < writerCount(hosts); ++share) {
        if (streamWriter(share, hosts) == own)
            return true;
    }
    return false;
}

std::vector<host_address> oldestHosts(const fleet_load &others, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const host_address *>> byStart;
    byStart.reserve(others.hosts.size());
    for (const auto &[host, entry] : others.hosts)
        byStart.emplace_back(entry.hint.started, &host);
    std::stable_sort(byStart.begin(), byStart.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<host_address> oldest;
    for (const auto &[started, host] : byStart) {
        if (oldest.size() < count)
            oldest.push_back(*host);
    }
    return oldest;
}

bool isKeeper(std::uint64_t key, const fleet_load &others, const host_address &own)
{
    const std::uint64_t ownScore = scoreOf(own, key);
    const auto before
        = std::count_if(others.hosts.begin(), others.hosts.end(), [key, ownScore](const auto &row) {
              return scoreOf(row.first, key) > ownScore;
          });
    return std::size_t(before) < keeperCount;
}

} // namespace quincefall
