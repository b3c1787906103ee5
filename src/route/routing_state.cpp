#include "route/routing_state.h"

#include "observe/log_setup.h"

#include <utility>

namespace quincefall {
namespace {

void applyListing(routing_state &state, const upstream_entry &entry,
                  const std::function<void(const host_address &)> &onGone)
{
    auto &upstreams = state.pools[entry.service].upstreams;
    const auto [row, isNew] = upstreams.try_emplace(entry.id);
    routed_upstream &upstream = row->second;
    if (!isNew
        && (upstream.listed.started != entry.started || upstream.listed.address != entry.address)) {
        onGone(upstream.listed.address);
        resetAfterRestart(upstream);
    }
    const bool isChanged = isNew || upstream.listed.isLeaving != entry.isLeaving
        || upstream.listed.started != entry.started;
    upstream.listed = entry;
    if (isChanged)
        logInfo("upstream listed",
                {{"upstream", entry.id},
                 {"service", entry.service},
                 {"address", toString(entry.address)},
                 {"leaving", entry.isLeaving ? "yes" : "no"},
                 {"started", std::to_string(entry.started)}});
}

} // namespace

routed_upstream *findUpstream(routing_state &state, const upstream_entry &entry)
{
    const auto pool = state.pools.find(entry.service);
    if (pool == state.pools.end())
        return nullptr;
    const auto row = pool->second.upstreams.find(entry.id);
    return row == pool->second.upstreams.end() ? nullptr : &row->second;
}

bool applyDesired(routing_state &state, desired_state desired, std::string text, instant now)
{
    const bool isNewer = !state.desired || desired.version > state.desired->version;
    if (!isNewer)
        return false;
    const std::uint64_t before = state.desired ? state.desired->version : 0;
    logInfo("desired state in force",
            {{"version", std::to_string(desired.version)},
             {"before", std::to_string(before)},
             {"routes", std::to_string(desired.routes.size())},
             {"services", std::to_string(desired.services.size())}});
    state.desired = std::make_shared<const desired_state>(std::move(desired));
    state.desiredText = std::move(text);
    state.desiredConfirmedAt = now;
    return true;
}

void updatePools(routing_state &state, const std::function<void(const host_address &)> &onGone)
{
    for (auto &[service, pool] : state.pools) {
        for (auto row = pool.upstreams.begin(); row != pool.upstreams.end();) {
            const auto listing = state.membership.listings.find(row->first);
            const bool isListed = listing != state.membership.listings.end()
                && listing->second.entry.service == service;
            if (isListed) {
                ++row;
                continue;
            }
            logInfo("upstream gone", {{"upstream", row->first}, {"service", service}});
            onGone(row->second.listed.address);
            row = pool.upstreams.erase(row);
        }
    }
    for (const auto &[id, listing] : state.membership.listings)
        applyListing(state, listing.entry, onGone);
}

} // namespace quincefall
