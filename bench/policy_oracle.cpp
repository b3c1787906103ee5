#include "policy_world.h"

#include <algorithm>

namespace quincefall::bench {
namespace {

engine_model *oracleChoice(fleet_simulation &simulation, const simulated_request &request)
{
    engine_model *best = nullptr;
    double bestLoad = 1;
    for (engine_model &engine : simulation.engines) {
        const double streams = static_cast<double>(engine.running.size() + engine.waiting.size())
            + engine.background;
        const bool far = engine.region != request.item.entryRegion;
        const double load = streams / engine.slots + (far ? 0.001 : 0);
        if (!engine.up || engine.speedFactor < 0.5 || streams >= engine.slots || load >= bestLoad)
            continue;
        best = &engine;
        bestLoad = load;
    }
    return best;
}

void oracleRefuse(fleet_simulation &simulation, std::size_t index)
{
    const class_policy &policy = simulation.requests[index].classDemand->policy;
    const double rate
        = drainRateForTier(simulation.oracleDrain, policy.tier, simulation.events.now);
    handleRefusal(simulation, index,
                  retryAfter(simulation.oracleRetrySchedule, policy.tier, {},
                             policy.firstTokenTarget, rate, simulation.events.now));
}

void oracleDropLate(fleet_simulation &simulation,
                    std::set<std::pair<instant, std::size_t>> &waiting)
{
    while (!waiting.empty() && waiting.begin()->first < simulation.events.now) {
        const std::size_t index = waiting.begin()->second;
        if (simulation.requests[index].delivered > 0)
            return; // An answer that is partly delivered is resumed, not refused.
        waiting.erase(waiting.begin());
        oracleRefuse(simulation, index);
    }
}

} // namespace

microseconds oracleFirstTokenTime(const fleet_simulation &simulation,
                                  const simulated_request &request)
{
    const double units = request.item.promptTokens * prefillUnitsPerToken + 1;
    return microseconds(
               static_cast<std::int64_t>(units / simulation.engines[0].streamTokensPerSecond * 1e6))
        + sameRegionDelay;
}

void oracleAssign(fleet_simulation &simulation)
{
    std::vector<std::size_t> order(simulation.plan.demands.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::stable_sort(order.begin(), order.end(), [&simulation](std::size_t a, std::size_t b) {
        return simulation.plan.demands[a].policy.tier < simulation.plan.demands[b].policy.tier;
    });
    for (const std::size_t demandIndex : order) {
        auto &waiting = simulation.oracleWaiting[demandIndex];
        oracleDropLate(simulation, waiting);
        while (!waiting.empty()) {
            const std::size_t index = waiting.begin()->second;
            engine_model *engine = oracleChoice(simulation, simulation.requests[index]);
            if (engine == nullptr)
                return;
            waiting.erase(waiting.begin());
            simulation.requests[index].permit.upstream = engine->name;
            recordStart(simulation.oracleDrain, simulation.requests[index].classDemand->policy.tier,
                        simulation.events.now);
            startAttempt(simulation, index, engine->name);
        }
    }
}

} // namespace quincefall::bench
