#include "policy_world.h"

#include <algorithm>

namespace quincefall::bench {
namespace {

engine_model *oracleChoice(fleet &world, const request &of)
{
    engine_model *best = nullptr;
    double bestLoad = 1;
    for (engine_model &engine : world.engines) {
        const double streams = static_cast<double>(engine.running.size() + engine.waiting.size())
            + engine.background;
        const bool far = engine.region != of.item.entryRegion;
        const double load = streams / engine.slots + (far ? 0.001 : 0);
        if (!engine.up || engine.speed < 0.5 || streams >= engine.slots || load >= bestLoad)
            continue;
        best = &engine;
        bestLoad = load;
    }
    return best;
}

void oracleRefuse(fleet &world, std::size_t index)
{
    const class_policy &policy = world.requests[index].of->policy;
    const double rate = drainRateForTier(world.oracleDrain, policy.tier, world.events.now);
    takeRefusal(world, index,
                retryAfter(world.oracleReturns, policy.tier, {}, policy.firstTokenTarget, rate,
                           world.events.now));
}

void oracleDropLate(fleet &world, std::set<std::pair<instant, std::size_t>> &waiting)
{
    while (!waiting.empty() && waiting.begin()->first < world.events.now) {
        const std::size_t index = waiting.begin()->second;
        if (world.requests[index].delivered > 0)
            return; // A resumed answer goes on.
        waiting.erase(waiting.begin());
        oracleRefuse(world, index);
    }
}

} // namespace

microseconds oracleFirstTokenTime(const fleet &world, const request &of)
{
    const double units = of.item.promptTokens * prefillUnitsPerToken + 1;
    return microseconds(static_cast<std::int64_t>(units / world.engines[0].streamRate * 1e6))
        + localDelay;
}

void oracleAssign(fleet &world)
{
    std::vector<std::size_t> order(world.plan.demands.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::stable_sort(order.begin(), order.end(), [&world](std::size_t a, std::size_t b) {
        return world.plan.demands[a].policy.tier < world.plan.demands[b].policy.tier;
    });
    for (const std::size_t demandIndex : order) {
        auto &waiting = world.oracleWaiting[demandIndex];
        oracleDropLate(world, waiting);
        while (!waiting.empty()) {
            const std::size_t index = waiting.begin()->second;
            engine_model *engine = oracleChoice(world, world.requests[index]);
            if (engine == nullptr)
                return;
            waiting.erase(waiting.begin());
            world.requests[index].permit.upstream = engine->name;
            recordStart(world.oracleDrain, world.requests[index].of->policy.tier, world.events.now);
            startAttempt(world, index, engine->name);
        }
    }
}

} // namespace quincefall::bench
