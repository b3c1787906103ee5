#include "serve/pool_plan_builder.h"

namespace quincefall {
namespace {

class_policy toPolicy(const std::string &name, const service_class &declared)
{
    class_policy policy;
    policy.name = name;
    policy.tier = declared.tier;
    policy.firstTokenTarget = declared.firstTokenTarget;
    policy.tokenGapTarget = declared.tokenGapTarget;
    policy.maxWait = declared.maxWait;
    policy.guaranteedShare = declared.guaranteedShare;
    return policy;
}

upstream_info toInfo(const upstream &declared)
{
    upstream_info info;
    info.name = declared.name;
    info.region = declared.region;
    info.failureDomain = declared.failureDomain;
    info.slots = declared.slots;
    return info;
}

organisation_policy toPolicy(const std::string &name, const organisation &declared)
{
    organisation_policy policy;
    policy.name = name;
    policy.weight = declared.weight;
    policy.maxInFlight = declared.maxInFlight;
    return policy;
}

} // namespace

pool_plan buildPoolPlan(const config_state &config, const std::string &name,
                        const std::function<bool(std::string_view)> &isLeaving)
{
    pool_plan plan;
    for (const auto &[key, stored] : config.resources) {
        if (const auto *declared = std::get_if<service_class>(&stored.spec))
            plan.classes.push_back(toPolicy(key.name, *declared));
        else if (const auto *customer = std::get_if<organisation>(&stored.spec))
            plan.organisations.push_back(toPolicy(key.name, *customer));
    }
    if (const auto *pool = findSpec<upstream_pool>(config, resource_kind::pool, name)) {
        plan.linkBytesPerSecond = pool->crossRegionBytesPerSecond;
        for (const upstream &declared : pool->upstreams) {
            plan.upstreams.push_back(toInfo(declared));
            plan.upstreams.back().leaving = isLeaving(declared.name);
        }
    }
    return plan;
}

} // namespace quincefall
