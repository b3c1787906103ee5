#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>

namespace quincefall {

/// Work at the engines of one service at one moment, over all hosts.
struct service_work
{
    double busyEngines = 0; ///< Engines that have prompt tokens to prefill.
    double inFlight = 0; ///< Requests that run or wait.
    std::map<std::string, double> callers; ///< `inFlight` by failure domain of the entry host.
};

/// Number of engines that the callers of each failure domain need.
///
/// Demand swings in waves that are not much longer than an engine takes to boot: an engine ordered
/// on the rise comes after it, and one that is removed in a trough is missing at the next crest. So
/// the need rises at once and falls slowly. Work is averaged over the time that an engine takes to
/// boot, since an engine ordered for a shorter burst would come after its end.
struct engine_demand
{
    double busyEngines = 0; ///< Averaged, as the next two.
    double inFlight = 0;
    std::map<std::string, double> callers;
    instant updatedAt = instant::min();
    instant firstWorkAt = instant::min(); ///< First time that there was any work.
    std::map<std::string, double> levels; ///< Engines needed by failure domain, not rounded.
};

void recordWork(engine_demand &demand, const service_work &work, unsigned slots,
                milliseconds bootTime, instant now);

/// Engines that the callers of @p domain need, not rounded.
double enginesNeeded(const engine_demand &demand, const std::string &domain);

/// Whether there was any work at all.
bool hasSeenWork(const engine_demand &demand);

/// Whether a whole wave of demand has been seen, so that enginesNeeded() includes its crest.
bool hasSeenWave(const engine_demand &demand, instant now);

} // namespace quincefall
