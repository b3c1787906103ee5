#include "operate/queue_status.h"

#include "serve/queue_service.h"

#include <boost/json/object.hpp>

namespace quincefall {
namespace {

namespace json = boost::json;

std::size_t runningOfClass(const pool_state &pool, const std::string &name)
{
    std::size_t count = 0;
    for (const auto &[upstream, record] : pool.upstreams.records) {
        for (const auto &[permit, attempt] : record.running)
            count += attempt.item.serviceClass == name ? 1 : 0;
    }
    return count;
}

json::array describeClasses(const pool_state &pool)
{
    json::array rows;
    for (const class_policy &policy : pool.plan.classes) {
        const auto queue = pool.queue.classes.find(policy.name);
        const std::size_t waiting = queue == pool.queue.classes.end() ? 0 : queue->second.size;
        rows.push_back(json::object{{"class", policy.name},
                                    {"tier", policy.tier},
                                    {"waiting", waiting},
                                    {"running", runningOfClass(pool, policy.name)}});
    }
    return rows;
}

/// State of an upstream in the scheduler, and the reason for it.
std::pair<std::string_view, std::string> conditionOf(const upstream_record &record)
{
    if (record.info.leaving)
        return {"leaving", "listed as leaving, or removed from the pool"};
    switch (record.health.state) {
    case upstream_health::condition::failing:
        return {"failing", std::to_string(record.health.failures) + " consecutive failures"};
    case upstream_health::condition::slow:
        return {"slow", std::to_string(int(record.health.tokenRate)) + " tokens per second"};
    case upstream_health::condition::good:
        break;
    }
    return {"good", ""};
}

json::array describeUpstreams(const pool_state &pool)
{
    json::array rows;
    for (const auto &[name, record] : pool.upstreams.records) {
        const auto [state, reason] = conditionOf(record);
        json::array models;
        for (const std::string &served : record.info.models)
            models.emplace_back(served);
        rows.push_back(json::object{{"upstream", name},
                                    {"state", state},
                                    {"reason", reason},
                                    {"running", record.running.size()},
                                    {"slots", record.info.slots},
                                    {"failure_domain", record.info.failureDomain},
                                    {"models", std::move(models)}});
    }
    return rows;
}

} // namespace

json::array describeQueues(const config_state &config, const queue_service &queues,
                           const std::function<bool(std::string_view pool)> &isOwned)
{
    json::array rows;
    for (const auto &[key, stored] : config.resources) {
        const pool_state *pool = key.kind == resource_kind::pool && isOwned(key.name)
            ? queues.find(key.name)
            : nullptr;
        if (pool == nullptr)
            continue;
        rows.push_back(json::object{{"pool", key.name},
                                    {"waiting", waitingCount(*pool)},
                                    {"running", runningCount(*pool)},
                                    {"classes", describeClasses(*pool)},
                                    {"upstreams", describeUpstreams(*pool)}});
    }
    return rows;
}

} // namespace quincefall
