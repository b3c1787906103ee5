#include "policy/engine_demand.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Share of an engine's time for prefill, and share of its slots, at which requests hardly queue.
constexpr double plannedUtilisation = 0.5;
constexpr milliseconds waveTime{15'000}; // Demand swings with periods of some ten seconds.
// After a quiet hour, a quarter of what the last waves needed is still there for the next one.
constexpr double levelHalfLifeMs = 30.0 * 60 * 1'000;

/// Moves @p average towards @p value by the weight of the newest sample.
void smooth(double &average, double value, double weight)
{
    average += weight * (value - average);
}

void smoothCallers(engine_demand &demand, const service_work &work, double weight)
{
    for (const auto &[domain, inFlight] : work.callers)
        demand.callers.try_emplace(domain, 0);
    for (auto &[domain, average] : demand.callers) {
        const auto found = work.callers.find(domain);
        smooth(average, found == work.callers.end() ? 0 : found->second, weight);
    }
}

} // namespace

void recordWork(engine_demand &demand, const service_work &work, unsigned slots,
                milliseconds bootTime, instant now)
{
    if (demand.firstWorkAt == instant::min() && work.inFlight > 0)
        demand.firstWorkAt = now;
    const double elapsedMs
        = demand.updatedAt == instant::min() ? 0 : toMilliseconds(now - demand.updatedAt);
    demand.updatedAt = now;
    const double weight = 1 - std::exp(-elapsedMs / std::max(1.0, double(bootTime.count())));
    smooth(demand.busyEngines, work.busyEngines, weight);
    smooth(demand.inFlight, work.inFlight, weight);
    smoothCallers(demand, work, weight);

    // An engine prefills one prompt at a time, so the number of engines that do is the prefill work
    // that arrives, in engines.
    const double forPrefill = demand.busyEngines / plannedUtilisation;
    const double forSlots = demand.inFlight / (std::max(1U, slots) * plannedUtilisation);
    const double needed = std::max(forPrefill, forSlots);
    for (auto &[domain, level] : demand.levels)
        level *= std::exp2(-elapsedMs / levelHalfLifeMs);
    if (demand.inFlight <= 0)
        return;
    for (const auto &[domain, inFlight] : demand.callers) {
        double &level = demand.levels[domain];
        level = std::max(level, needed * inFlight / demand.inFlight);
    }
}

double enginesNeeded(const engine_demand &demand, const std::string &domain)
{
    const auto found = demand.levels.find(domain);
    return found == demand.levels.end() ? 0 : found->second;
}

bool hasSeenWork(const engine_demand &demand)
{
    return demand.firstWorkAt != instant::min();
}

bool hasSeenWave(const engine_demand &demand, instant now)
{
    return hasSeenWork(demand) && now - demand.firstWorkAt >= waveTime;
}

} // namespace quincefall
