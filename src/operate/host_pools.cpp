#include "operate/host_pools.h"

#include "clients/host_list_service.h"
#include "serve/pool_plan_builder.h"
#include "serve/queue_service.h"

#include <set>

namespace quincefall {
namespace {

/// Names of the pools that serve models. The upstreams of these pools are engines.
std::set<std::string> poolsServingModels(const config_state &config)
{
    std::set<std::string> pools;
    for (const auto &[key, stored] : config.resources) {
        if (const auto *served = std::get_if<model>(&stored.spec))
            pools.insert(served->pool);
    }
    return pools;
}

} // namespace

std::vector<polled_upstream> ownedUpstreams(const config_state &config,
                                            const std::function<bool(std::string_view)> &isOwned)
{
    std::vector<polled_upstream> found;
    const std::set<std::string> enginePools = poolsServingModels(config);
    for (const auto &[key, stored] : config.resources) {
        const auto *pool = std::get_if<upstream_pool>(&stored.spec);
        if (pool == nullptr || !isOwned(key.name))
            continue;
        const bool isEngine = enginePools.contains(key.name);
        for (const upstream &declared : pool->upstreams)
            found.push_back({key.name, declared.name, declared.address, isEngine});
    }
    return found;
}

void configurePools(queue_service &queues, const config_state &config,
                    const host_list_service &hosts)
{
    const auto isLeaving
        = [&hosts](std::string_view name) { return hosts.isLeavingUpstream(name); };
    std::vector<std::string> pools;
    for (const auto &[key, stored] : config.resources) {
        if (key.kind != resource_kind::pool)
            continue;
        pools.push_back(key.name);
        queues.configurePool(key.name, buildPoolPlan(config, key.name, isLeaving));
    }
    queues.retainPools(pools);
}

} // namespace quincefall
