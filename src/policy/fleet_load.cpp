#include "policy/fleet_load.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace quincefall {
namespace {

constexpr milliseconds minInterval{200};
constexpr milliseconds intervalPerHost{8}; // At most 125 messages per second to and from each host.

void addWork(upstream_work &sum, const upstream_work &work)
{
    for (std::size_t urgency = 0; urgency < urgencyLevels; ++urgency) {
        sum.inFlight[urgency] += work.inFlight[urgency];
        sum.unreadTokens[urgency] += work.unreadTokens[urgency];
    }
}

void updateSums(fleet_load &load)
{
    if (load.areSumsCurrent)
        return;
    load.areSumsCurrent = true;
    load.upstreams.clear();
    load.demands.clear();
    for (const auto &[host, entry] : load.hosts) {
        for (const upstream_work &work : entry.hint.upstreams)
            addWork(load.upstreams[work.upstream], work);
        for (const service_demand &demand : entry.hint.demands) {
            service_demand &sum = load.demands[demand.service];
            sum.prefillMsPerSecond += demand.prefillMsPerSecond;
            sum.inFlight += demand.inFlight;
        }
    }
}

} // namespace

double sumUpTo(const by_urgency &amounts, int urgency)
{
    const auto end = std::min(urgencyLevels, std::size_t(std::max(0, urgency)) + 1);
    return std::accumulate(amounts.begin(), amounts.begin() + std::ptrdiff_t(end), 0.0);
}

std::uint64_t nameHash(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

bool applyHint(fleet_load &load, load_hint hint, instant now)
{
    const auto stored = load.hosts.find(hint.host);
    if (stored != load.hosts.end()) {
        const load_hint &current = stored->second.hint;
        const auto stamp = std::pair(hint.started, hint.sequence);
        if (stamp <= std::pair(current.started, current.sequence))
            return false;
    }
    fleet_load::entry &entry = load.hosts[hint.host];
    entry.hint = std::move(hint);
    entry.received = now;
    load.areSumsCurrent = false;
    return true;
}

void recordBusyHost(fleet_load &load, const host_address &host, instant until)
{
    const auto found = load.hosts.find(host);
    if (found != load.hosts.end())
        found->second.busyUntil = until;
}

void dropExpiredHints(fleet_load &load, microseconds lifetime, instant now)
{
    const auto dropped = std::erase_if(load.hosts, [lifetime, now](const auto &row) {
        return now - row.second.received > lifetime;
    });
    if (dropped > 0)
        load.areSumsCurrent = false;
}

void dropHostHint(fleet_load &load, const host_address &host)
{
    if (load.hosts.erase(host) > 0)
        load.areSumsCurrent = false;
}

const upstream_work &workOfOtherHosts(fleet_load &load, std::uint64_t upstream)
{
    static const upstream_work noWork;
    updateSums(load);
    const auto row = load.upstreams.find(upstream);
    return row == load.upstreams.end() ? noWork : row->second;
}

service_demand demandOfOtherHosts(fleet_load &load, std::uint64_t service)
{
    updateSums(load);
    const auto row = load.demands.find(service);
    return row == load.demands.end() ? service_demand() : row->second;
}

std::uint64_t newestDesiredVersion(const fleet_load &load)
{
    std::uint64_t newest = 0;
    for (const auto &[address, entry] : load.hosts)
        newest = std::max(newest, entry.hint.desiredVersion);
    return newest;
}

milliseconds hintInterval(unsigned hosts)
{
    return std::max(minInterval, intervalPerHost * hosts);
}

} // namespace quincefall
