#include "policy_world.h"

#include <algorithm>
#include <cmath>

namespace quincefall::bench {
namespace {

constexpr milliseconds reportInterval{500};
constexpr milliseconds tickInterval{50};
constexpr milliseconds lendInterval{100};
constexpr double cacheEventBytes = 10;
constexpr double reportMessageBytes = 28;
constexpr double lendBytesPerEngine = 6;
constexpr double demandMessageBytes = 24;

load_report makeLoadReport(const engine_model &engine, microseconds age)
{
    load_report report;
    report.upstream = engine.name;
    report.running = static_cast<std::uint32_t>(engine.running.size()) + engine.background;
    report.waiting = static_cast<std::uint32_t>(engine.waiting.size());
    report.slots = engine.slots;
    report.age = age;
    return report;
}

/// Delivers the engine's cache events since the last report to a host; drops one in fifty at
/// random.
void publishCacheEvents(fleet_simulation &simulation, int host, const engine_model &engine,
                        std::size_t first)
{
    constexpr std::uint64_t lostOneIn = 50;
    for (std::size_t number = first; number < engine.cacheEvents.size(); ++number) {
        if (simulation.random() % lostOneIn == 0)
            continue;
        const auto &[prefix, stored] = engine.cacheEvents[number];
        applyCacheEvent(simulation.hosts[static_cast<std::size_t>(host)].state,
                        {engine.name, number, prefix, stored});
        simulation.figures.controlBytes += cacheEventBytes;
    }
}

std::size_t runningOn(const pool_state &state, const std::string &engine)
{
    const auto found = state.upstreams.records.find(engine);
    return found == state.upstreams.records.end() ? 0 : found->second.running.size();
}

/// Waiting requests of a host by tier.
std::map<int, double> demandByTier(const entry_host &host)
{
    std::map<int, double> requestsByTier;
    for (const auto &[name, queue] : host.state.queue.classes)
        requestsByTier[queue.policy.tier] += static_cast<double>(queue.size);
    return requestsByTier;
}

/// Distributes the free slots of one engine over the hosts: tier by tier in proportion to their
/// waiting requests, and the remaining slots evenly.
std::vector<double> distributeSlots(fleet_simulation &simulation,
                                    const std::vector<std::map<int, double>> &demandByHost,
                                    double free)
{
    std::vector<double> shares(simulation.hosts.size(), 0);
    for (const class_demand &classDemand : simulation.plan.demands) {
        double sum = 0;
        for (const auto &tiers : demandByHost)
            sum += tiers.contains(classDemand.policy.tier) ? tiers.at(classDemand.policy.tier) : 0;
        if (sum <= 0 || free <= 0)
            continue;
        const double allocated
            = std::min(sum / static_cast<double>(simulation.engines.size()), free);
        for (std::size_t index = 0; index < demandByHost.size(); ++index) {
            const auto own = demandByHost[index].find(classDemand.policy.tier);
            shares[index] += own == demandByHost[index].end() ? 0 : allocated * own->second / sum;
        }
        free -= allocated;
    }
    for (double &share : shares)
        share += std::max(0.0, free) / static_cast<double>(shares.size());
    return shares;
}

bool isLenderAvailable(const fleet_simulation &simulation)
{
    const auto follower = std::find_if(
        simulation.hosts.begin(), simulation.hosts.end(), [&simulation](const entry_host &host) {
            return host.alive && host.pausedUntil <= simulation.events.now;
        });
    const entry_host &lender
        = simulation.hosts[static_cast<std::size_t>(hostIndex(simulation, follower->owner))];
    return lender.alive && lender.pausedUntil <= simulation.events.now;
}

} // namespace

void publishReport(fleet_simulation &simulation, std::size_t engineNumber)
{
    const engine_model &engine = simulation.engines[engineNumber];
    const load_report report = makeLoadReport(engine, simulation.plan.reportLag);
    const bool up = engine.up;
    const std::size_t firstEvent
        = std::exchange(simulation.publishedEvents[engine.name], engine.cacheEvents.size());
    simulation.events.after(
        simulation.plan.reportLag, [&simulation, &engine, firstEvent, report, up, engineNumber] {
            if (!up)
                return;
            const int poller = static_cast<int>(engineNumber) % simulation.plan.hosts;
            for (int index = 0; index < simulation.plan.hosts; ++index) {
                const bool isSentToAllHosts = simulation.mode == sharing_mode::separate;
                if (!isSentToAllHosts && index != schedulerOf(simulation, poller))
                    continue;
                sendMessage(simulation,
                            isSentToAllHosts ? (index + 1) % simulation.plan.hosts : poller, index,
                            reportMessageBytes, [&simulation, index, report] {
                                decide(simulation, index, [&](pool_state &state) {
                                    return applyLoadReport(state, report, simulation.events.now);
                                });
                            });
                publishCacheEvents(simulation, index, engine, firstEvent);
            }
        });
    simulation.events.after(
        reportInterval, [&simulation, engineNumber] { publishReport(simulation, engineNumber); });
}

void lendSlots(fleet_simulation &simulation)
{
    const bool isInMeasuredPeriod = simulation.events.now <= instant{} + simulation.plan.length;
    simulation.events.after(lendInterval, [&simulation] { lendSlots(simulation); });
    if (!isLenderAvailable(simulation))
        return;
    std::vector<std::map<int, double>> demandByHost;
    for (const entry_host &host : simulation.hosts)
        demandByHost.push_back(host.alive ? demandByTier(host) : std::map<int, double>{});
    for (const engine_model &engine : simulation.engines) {
        double used = engine.background;
        for (const entry_host &host : simulation.hosts)
            used += static_cast<double>(runningOn(host.state, engine.name));
        auto shares = distributeSlots(simulation, demandByHost, engine.slots - used);
        // Randomised rounding: fractions carry over to the next host, so that no slot is lost.
        double carried = uniform(simulation);
        for (std::size_t index = 0; index < shares.size(); ++index) {
            carried += shares[index];
            const double lent = std::floor(carried);
            carried -= lent;
            simulation.figures.controlBytes += isInMeasuredPeriod ? lendBytesPerEngine : 0;
            simulation.events.after(crossRegionDelay, [&simulation, index, lent, &engine] {
                const pool_state &lentTo = simulation.hosts[index].state;
                load_report limit = makeLoadReport(engine, {});
                const double own = static_cast<double>(runningOn(lentTo, engine.name));
                limit.waiting = 0;
                limit.running = static_cast<std::uint32_t>(std::max(own, engine.slots - lent));
                onHost(simulation, static_cast<int>(index), [&simulation, index, limit] {
                    decide(simulation, static_cast<int>(index), [&](pool_state &state) {
                        return applyLoadReport(state, limit, simulation.events.now);
                    });
                });
            });
        }
    }
    if (isInMeasuredPeriod)
        simulation.figures.controlBytes
            += demandMessageBytes * static_cast<double>(simulation.hosts.size());
}

void tick(fleet_simulation &simulation, int index)
{
    onHost(simulation, index, [&simulation, index] {
        decide(simulation, index,
               [&](pool_state &state) { return advance(state, simulation.events.now); });
    });
    simulation.events.after(tickInterval, [&simulation, index] { tick(simulation, index); });
}

} // namespace quincefall::bench
