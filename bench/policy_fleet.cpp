#include "policy_fleet.h"

#include "policy/ownership.h"
#include "policy_world.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace quincefall::bench {
namespace {

constexpr seconds drainTime{140}; // After the last arrival, so that every request ends.

void addRequest(fleet &world, const demand &of, instant time, const std::string &organisation)
{
    request made;
    made.of = &of;
    made.item.id = std::to_string(world.requests.size());
    made.item.serviceClass = of.policy.name;
    made.item.organisation = organisation;
    made.item.model = "m";
    std::lognormal_distribution<double> tokens(std::log(of.medianTokens), 0.6);
    made.tokens = std::clamp(std::round(tokens(world.random)), 5.0, 4000.0);
    made.item.promptTokens = 200 + static_cast<std::uint32_t>(uniform(world) * 800);
    made.item.prefixHash = 1 + world.random() % 400;
    const bool far = uniform(world) < world.plan.farDemand;
    const int hosts = world.plan.hosts;
    // Hosts with odd numbers stand in the second region.
    made.host = static_cast<int>(uniform(world) * hosts / 2) * 2 + (far ? 1 : 0);
    made.host = made.host >= hosts ? (far ? 1 : 0) : made.host;
    const std::size_t index = world.requests.size();
    world.requests.push_back(std::move(made));
    world.events.at(time, [&world, index] { arrive(world, index); });
}

double fleetTokenRate(const fleet &world)
{
    double rate = 0;
    for (const engine_model &engine : world.engines)
        rate += engine.budget;
    return rate;
}

void generate(fleet &world, const demand &of, double share, instant from, instant until,
              const std::string &organisation)
{
    constexpr double lognormalMean = 1.197; // exp(0.6 * 0.6 / 2): mean over median.
    constexpr int organisations = 10;
    const double rate = share * fleetTokenRate(world) / (of.medianTokens * lognormalMean);
    if (rate <= 0)
        return;
    std::exponential_distribution<double> gap(rate);
    double time = toMilliseconds(from.time_since_epoch()) / 1000;
    const double end = toMilliseconds(until.time_since_epoch()) / 1000;
    for (time += gap(world.random); time < end; time += gap(world.random)) {
        const std::string name = organisation.empty()
            ? "org-" + std::to_string(world.random() % organisations)
            : organisation;
        addRequest(world, of, instant{} + microseconds(static_cast<std::int64_t>(time * 1e6)),
                   name);
    }
}

pool_plan makePlan(const fleet &world)
{
    pool_plan plan;
    plan.powerOfTwoChoices = world.way == sharing_way::separate;
    plan.linkBytesPerSecond
        = world.plan.linkBytesPerSecond / (world.way == sharing_way::owner ? 1 : world.plan.hosts);
    for (const demand &of : world.plan.demands)
        plan.classes.push_back(of.policy);
    for (const engine_model &engine : world.engines) {
        upstream_info info;
        info.name = engine.name;
        info.region = engine.region;
        info.slots = engine.slots;
        plan.upstreams.push_back(info);
    }
    return plan;
}

void build(fleet &world)
{
    const scenario &plan = world.plan;
    for (int number = 0; number < plan.engines; ++number) {
        engine_model engine;
        engine.name = "engine-" + std::to_string(1000 + number);
        engine.region = number % 10 < 7 ? "near" : "far";
        engine.background = plan.unevenLoad && number % 3 == 0 ? engine.slots / 2 : 0;
        world.engineIndex[engine.name] = world.engines.size();
        world.engines.push_back(engine);
    }
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(plan.hosts));
    for (int number = 0; number < plan.hosts; ++number)
        names.push_back("entry-" + std::to_string(100 + number));
    const pool_plan pool = makePlan(world);
    for (int number = 0; number < plan.hosts; ++number) {
        entry_host host;
        host.name = names[static_cast<std::size_t>(number)];
        host.region = number % 2 == 0 ? "near" : "far";
        host.view = names;
        host.owner = std::string(rendezvousOwner(poolKey, names));
        host.state.random.seed(static_cast<unsigned>(number) + 1);
        host.state.nextPermit = static_cast<std::uint64_t>(number + 1) << 40U;
        configure(host.state, pool, world.events.now);
        world.hosts.push_back(std::move(host));
    }
    world.oracleWaiting.resize(plan.demands.size());
}

void collect(fleet &world)
{
    fleet_figures &figures = world.figures;
    figures.requests = 0;
    for (const request &of : world.requests) {
        figures.requests += of.isReturn ? 0 : 1;
        figures.lost += of.state == request_state::waiting || of.state == request_state::running;
    }
    for (const engine_model &engine : world.engines) {
        figures.prefixHits += engine.cacheHits;
        figures.prefixMisses += engine.cacheMisses;
    }
    for (const entry_host &host : world.hosts) {
        figures.shedForLower += host.state.rule.higherTierShedForLower;
        figures.shedForGuarantee += host.state.rule.higherTierShedForGuarantee;
    }
    for (const auto &[name, counts] : world.quietOrganisations) {
        if (counts.first > 0)
            figures.burstOfOthers[name]
                = static_cast<double>(counts.second) / static_cast<double>(counts.first);
    }
}

} // namespace

fleet_figures runFleet(const scenario &plan, sharing_way way, unsigned seed)
{
    const auto world = std::make_unique<fleet>(
        fleet{plan, way, {}, std::mt19937_64(seed), {}, {}, {}, {}, 1, {}, {}, {}, {}, {}, {}});
    build(*world);
    const instant end = instant{} + plan.length;
    for (const demand &of : plan.demands) {
        generate(*world, of, of.capacityShare, instant{}, end, {});
        generate(*world, of, of.burstShare, instant{} + plan.burstFrom, instant{} + plan.burstTo,
                 of.burstOrganisation);
    }
    if (way != sharing_way::oracle) {
        for (int index = 0; index < plan.hosts; ++index)
            tick(*world, index);
        watchStreams(*world);
        if (way == sharing_way::lent)
            lendSlots(*world);
        else
            for (std::size_t engine = 0; engine < world->engines.size(); ++engine)
                publishReport(*world, engine);
    }
    scheduleFaults(*world);
    world->events.runUntil(end + drainTime);
    collect(*world);
    return std::move(world->figures);
}

} // namespace quincefall::bench
