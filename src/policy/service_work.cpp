#include "policy/service_work.h"

#include <algorithm>
#include <unordered_set>

namespace quincefall {
namespace {

double sumAll(const by_urgency &amounts)
{
    return sumUpTo(amounts, int(urgencyLevels) - 1);
}

} // namespace

service_work sumWork(const service_pool &pool, fleet_load &others,
                     const std::map<host_address, std::string> &domains,
                     const std::string &ownDomain)
{
    service_work work;
    std::unordered_set<std::uint64_t> members;
    for (const auto &[id, upstream] : pool.upstreams) {
        const std::uint64_t member = nameHash(id);
        members.insert(member);
        const upstream_work &remote = workOfOtherHosts(others, member);
        const double own = sumAll(upstream.inFlight);
        work.callers[ownDomain] += own;
        work.inFlight += own + sumAll(remote.inFlight);
        const bool isBusy = sumAll(upstream.unreadTokens) + sumAll(remote.unreadTokens) > 0;
        work.busyEngines += isBusy ? 1 : 0;
    }
    for (const auto &[host, entry] : others.hosts) {
        const auto domain = domains.find(host);
        if (domain == domains.end())
            continue;
        for (const upstream_work &row : entry.hint.upstreams) {
            if (members.contains(row.upstream))
                work.callers[domain->second] += sumAll(row.inFlight);
        }
    }
    return work;
}

std::map<std::string, listed_engines> countEngines(const service_pool &pool)
{
    std::map<std::string, listed_engines> domains;
    for (const auto &[id, upstream] : pool.upstreams) {
        const upstream_entry &entry = upstream.listed;
        listed_engines &engines = domains[entry.failureDomain];
        if (entry.isLeaving)
            engines.interruptibleLeaving += entry.isInterruptible ? 1 : 0;
        else
            ++(entry.isInterruptible ? engines.serving.interruptible : engines.serving.ordinary);
    }
    return domains;
}

unsigned slotsOf(const service_pool &pool)
{
    unsigned slots = 1;
    for (const auto &[id, upstream] : pool.upstreams)
        slots = std::max(slots, upstream.listed.slots);
    return slots;
}

} // namespace quincefall
