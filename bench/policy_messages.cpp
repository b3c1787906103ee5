#include "policy_world.h"

#include <ctime>

namespace quincefall::bench {

double uniform(fleet &world)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random);
}

engine_model &engineOf(fleet &world, const std::string &name)
{
    return world.engines[world.engineIndex.at(name)];
}

microseconds delayBetween(const std::string &one, const std::string &other)
{
    return one == other ? localDelay : regionDelay;
}

int hostIndex(const fleet &world, const std::string &name)
{
    for (std::size_t index = 0; index < world.hosts.size(); ++index) {
        if (world.hosts[index].name == name)
            return static_cast<int>(index);
    }
    return -1;
}

void onHost(fleet &world, int index, std::function<void()> action)
{
    const entry_host &host = world.hosts[static_cast<std::size_t>(index)];
    if (!host.alive)
        return;
    if (host.pausedUntil > world.events.now) {
        world.events.at(host.pausedUntil, [&world, index, action = std::move(action)] {
            onHost(world, index, action);
        });
        return;
    }
    action();
}

void sendMessage(fleet &world, int from, int to, double bytes, std::function<void()> action)
{
    const entry_host &source = world.hosts[static_cast<std::size_t>(from)];
    const entry_host &target = world.hosts[static_cast<std::size_t>(to)];
    if (from == to) {
        onHost(world, to, std::move(action));
        return;
    }
    if (world.events.now > instant{} + world.plan.length)
        bytes = 0; // Only what the demand's time costs.
    world.figures.controlBytes += bytes;
    if (source.region != target.region)
        world.figures.crossRegionBytes += bytes;
    world.events.after(delayBetween(source.region, target.region),
                       [&world, to, action = std::move(action)] { onHost(world, to, action); });
}

void decide(fleet &world, int index, const decision_step &step)
{
    pool_state &state = world.hosts[static_cast<std::size_t>(index)].state;
    const std::clock_t before = std::clock();
    const decisions decided = step(state);
    if (world.events.now <= instant{} + world.plan.length) {
        world.figures.schedulerSeconds
            += static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        ++world.figures.schedulerCalls;
    }
    route(world, index, decided);
}

int schedulerOf(const fleet &world, int host)
{
    if (world.way != sharing_way::owner)
        return host;
    return hostIndex(world, world.hosts[static_cast<std::size_t>(host)].owner);
}

} // namespace quincefall::bench
