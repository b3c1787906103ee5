#include "policy_world.h"

#include <algorithm>
#include <cmath>

namespace quincefall::bench {
namespace {

constexpr milliseconds reportInterval{500};
constexpr milliseconds tickInterval{50};
constexpr milliseconds lendInterval{100};
constexpr double cacheEventBytes = 10;
constexpr double reportBytes = 28;
constexpr double lendBytesPerEngine = 6;
constexpr double demandBytes = 24;

load_report reportOf(const engine_model &engine, microseconds age)
{
    load_report report;
    report.upstream = engine.name;
    report.running = static_cast<std::uint32_t>(engine.running.size()) + engine.background;
    report.waiting = static_cast<std::uint32_t>(engine.waiting.size());
    report.slots = engine.slots;
    report.age = age;
    return report;
}

/// Delivers the engine's cache events since the last report; one in fifty is lost.
void publishCacheEvents(fleet &world, int host, const engine_model &engine, std::size_t first)
{
    constexpr std::uint64_t lostOneIn = 50;
    for (std::size_t number = first; number < engine.cacheEvents.size(); ++number) {
        if (world.random() % lostOneIn == 0)
            continue;
        const auto &[prefix, stored] = engine.cacheEvents[number];
        applyCacheEvent(world.hosts[static_cast<std::size_t>(host)].state,
                        {engine.name, number, prefix, stored});
        world.figures.controlBytes += cacheEventBytes;
    }
}

std::size_t runningOn(const pool_state &state, const std::string &engine)
{
    const auto found = state.upstreams.records.find(engine);
    return found == state.upstreams.records.end() ? 0 : found->second.running.size();
}

/// Waiting and running requests of each tier, from the highest down.
std::map<int, double> demandByTier(const entry_host &host)
{
    std::map<int, double> wanted;
    for (const auto &[name, queue] : host.state.queue.classes)
        wanted[queue.policy.tier] += static_cast<double>(queue.size);
    return wanted;
}

/// Deals out the free slots of one engine: tier by tier in proportion to what waits, and what is
/// left over evenly.
std::vector<double> dealSlots(fleet &world, const std::vector<std::map<int, double>> &wanted,
                              double free)
{
    std::vector<double> shares(world.hosts.size(), 0);
    for (const demand &of : world.plan.demands) {
        double sum = 0;
        for (const auto &tiers : wanted)
            sum += tiers.contains(of.policy.tier) ? tiers.at(of.policy.tier) : 0;
        if (sum <= 0 || free <= 0)
            continue;
        const double dealt = std::min(sum / static_cast<double>(world.engines.size()), free);
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            const auto own = wanted[index].find(of.policy.tier);
            shares[index] += own == wanted[index].end() ? 0 : dealt * own->second / sum;
        }
        free -= dealt;
    }
    for (double &share : shares)
        share += std::max(0.0, free) / static_cast<double>(shares.size());
    return shares;
}

bool hasLender(const fleet &world)
{
    const auto follower
        = std::find_if(world.hosts.begin(), world.hosts.end(), [&world](const entry_host &host) {
              return host.alive && host.pausedUntil <= world.events.now;
          });
    const entry_host &lender
        = world.hosts[static_cast<std::size_t>(hostIndex(world, follower->owner))];
    return lender.alive && lender.pausedUntil <= world.events.now;
}

} // namespace

void publishReport(fleet &world, std::size_t engineNumber)
{
    const engine_model &engine = world.engines[engineNumber];
    const load_report report = reportOf(engine, world.plan.reportLag);
    const bool up = engine.up;
    const std::size_t firstEvent
        = std::exchange(world.publishedEvents[engine.name], engine.cacheEvents.size());
    world.events.after(
        world.plan.reportLag, [&world, &engine, firstEvent, report, up, engineNumber] {
            if (!up)
                return;
            const int poller = static_cast<int>(engineNumber) % world.plan.hosts;
            for (int index = 0; index < world.plan.hosts; ++index) {
                const bool reads = world.way == sharing_way::separate;
                if (!reads && index != schedulerOf(world, poller))
                    continue;
                sendMessage(world, reads ? (index + 1) % world.plan.hosts : poller, index,
                            reportBytes, [&world, index, report] {
                                decide(world, index, [&](pool_state &state) {
                                    return applyLoadReport(state, report, world.events.now);
                                });
                            });
                publishCacheEvents(world, index, engine, firstEvent);
            }
        });
    world.events.after(reportInterval,
                       [&world, engineNumber] { publishReport(world, engineNumber); });
}

void lendSlots(fleet &world)
{
    const bool counted = world.events.now <= instant{} + world.plan.length;
    world.events.after(lendInterval, [&world] { lendSlots(world); });
    if (!hasLender(world))
        return;
    std::vector<std::map<int, double>> wanted;
    for (const entry_host &host : world.hosts)
        wanted.push_back(host.alive ? demandByTier(host) : std::map<int, double>{});
    for (const engine_model &engine : world.engines) {
        double used = engine.background;
        for (const entry_host &host : world.hosts)
            used += static_cast<double>(runningOn(host.state, engine.name));
        auto shares = dealSlots(world, wanted, engine.slots - used);
        double carried = uniform(world); // Rounds fractions at random without losing slots.
        for (std::size_t index = 0; index < shares.size(); ++index) {
            carried += shares[index];
            const double lent = std::floor(carried);
            carried -= lent;
            world.figures.controlBytes += counted ? lendBytesPerEngine : 0;
            world.events.after(regionDelay, [&world, index, lent, &engine] {
                const pool_state &lentTo = world.hosts[index].state;
                load_report limit = reportOf(engine, {});
                const double own = static_cast<double>(runningOn(lentTo, engine.name));
                limit.waiting = 0;
                limit.running = static_cast<std::uint32_t>(std::max(own, engine.slots - lent));
                onHost(world, static_cast<int>(index), [&world, index, limit] {
                    decide(world, static_cast<int>(index), [&](pool_state &state) {
                        return applyLoadReport(state, limit, world.events.now);
                    });
                });
            });
        }
    }
    if (counted)
        world.figures.controlBytes += demandBytes * static_cast<double>(world.hosts.size());
}

void tick(fleet &world, int index)
{
    onHost(world, index, [&world, index] {
        decide(world, index, [&](pool_state &state) { return advance(state, world.events.now); });
    });
    world.events.after(tickInterval, [&world, index] { tick(world, index); });
}

} // namespace quincefall::bench
