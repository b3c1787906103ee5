#include "policy_world.h"

#include <ctime>

namespace quincefall::bench {

double uniform(fleet_simulation &simulation)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random);
}

engine_model &engineOf(fleet_simulation &simulation, const std::string &name)
{
    return simulation.engines[simulation.engineIndex.at(name)];
}

microseconds delayBetween(const std::string &one, const std::string &other)
{
    return one == other ? sameRegionDelay : crossRegionDelay;
}

int hostIndex(const fleet_simulation &simulation, const std::string &name)
{
    for (std::size_t index = 0; index < simulation.hosts.size(); ++index) {
        if (simulation.hosts[index].name == name)
            return static_cast<int>(index);
    }
    return -1;
}

void onHost(fleet_simulation &simulation, int index, std::function<void()> action)
{
    const entry_host &host = simulation.hosts[static_cast<std::size_t>(index)];
    if (!host.alive)
        return;
    if (host.pausedUntil > simulation.events.now) {
        simulation.events.at(host.pausedUntil, [&simulation, index, action = std::move(action)] {
            onHost(simulation, index, action);
        });
        return;
    }
    action();
}

void sendMessage(fleet_simulation &simulation, int from, int to, double bytes,
                 std::function<void()> action)
{
    const entry_host &source = simulation.hosts[static_cast<std::size_t>(from)];
    const entry_host &target = simulation.hosts[static_cast<std::size_t>(to)];
    if (from == to) {
        onHost(simulation, to, std::move(action));
        return;
    }
    if (simulation.events.now > instant{} + simulation.plan.length)
        bytes = 0; // The figures cover the time with demand only, not the drain time.
    simulation.figures.controlBytes += bytes;
    if (source.region != target.region)
        simulation.figures.crossRegionBytes += bytes;
    simulation.events.after(
        delayBetween(source.region, target.region),
        [&simulation, to, action = std::move(action)] { onHost(simulation, to, action); });
}

void decide(fleet_simulation &simulation, int index, const decision_step &step)
{
    pool_state &state = simulation.hosts[static_cast<std::size_t>(index)].state;
    const std::clock_t before = std::clock();
    const decisions decided = step(state);
    if (simulation.events.now <= instant{} + simulation.plan.length) {
        simulation.figures.schedulerSeconds
            += static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        ++simulation.figures.schedulerCalls;
    }
    route(simulation, index, decided);
}

int schedulerOf(const fleet_simulation &simulation, int host)
{
    if (simulation.mode != sharing_mode::owner)
        return host;
    return hostIndex(simulation, simulation.hosts[static_cast<std::size_t>(host)].owner);
}

} // namespace quincefall::bench
