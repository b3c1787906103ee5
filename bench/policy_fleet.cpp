#include "policy_fleet.h"

#include "policy/ownership.h"
#include "policy_world.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace quincefall::bench {
namespace {

/// Simulated time after the last arrival, long enough for every request to end.
constexpr seconds drainTime{140};

void addRequest(fleet_simulation &simulation, const class_demand &classDemand, instant time,
                const std::string &organisation)
{
    simulated_request created;
    created.classDemand = &classDemand;
    created.item.id = std::to_string(simulation.requests.size());
    created.item.serviceClass = classDemand.policy.name;
    created.item.organisation = organisation;
    created.item.model = "m";
    std::lognormal_distribution<double> tokens(std::log(classDemand.medianTokens), 0.6);
    created.tokens = std::clamp(std::round(tokens(simulation.random)), 5.0, 4000.0);
    created.item.promptTokens = 200 + static_cast<std::uint32_t>(uniform(simulation) * 800);
    created.item.prefixHash = 1 + simulation.random() % 400;
    const bool far = uniform(simulation) < simulation.plan.secondRegionShare;
    const int hosts = simulation.plan.hosts;
    // Hosts with odd numbers are in the second region.
    created.host = static_cast<int>(uniform(simulation) * hosts / 2) * 2 + (far ? 1 : 0);
    created.host = created.host >= hosts ? (far ? 1 : 0) : created.host;
    const std::size_t index = simulation.requests.size();
    simulation.requests.push_back(std::move(created));
    simulation.events.at(time, [&simulation, index] { arrive(simulation, index); });
}

double fleetTokenRate(const fleet_simulation &simulation)
{
    double rate = 0;
    for (const engine_model &engine : simulation.engines)
        rate += engine.totalTokensPerSecond;
    return rate;
}

void generate(fleet_simulation &simulation, const class_demand &classDemand, double share,
              instant from, instant until, const std::string &organisation)
{
    constexpr double lognormalMean = 1.197; // exp(0.6 * 0.6 / 2): mean over median.
    constexpr int organisations = 10;
    const double rate
        = share * fleetTokenRate(simulation) / (classDemand.medianTokens * lognormalMean);
    if (rate <= 0)
        return;
    std::exponential_distribution<double> gap(rate);
    double time = toMilliseconds(from.time_since_epoch()) / 1000;
    const double end = toMilliseconds(until.time_since_epoch()) / 1000;
    for (time += gap(simulation.random); time < end; time += gap(simulation.random)) {
        const std::string name = organisation.empty()
            ? "org-" + std::to_string(simulation.random() % organisations)
            : organisation;
        addRequest(simulation, classDemand,
                   instant{} + microseconds(static_cast<std::int64_t>(time * 1e6)), name);
    }
}

pool_plan makePlan(const fleet_simulation &simulation)
{
    pool_plan plan;
    plan.powerOfTwoChoices = simulation.mode == sharing_mode::separate;
    plan.linkBytesPerSecond = simulation.plan.linkBytesPerSecond
        / (simulation.mode == sharing_mode::owner ? 1 : simulation.plan.hosts);
    for (const class_demand &classDemand : simulation.plan.demands)
        plan.classes.push_back(classDemand.policy);
    for (const engine_model &engine : simulation.engines) {
        upstream_info info;
        info.name = engine.name;
        info.region = engine.region;
        info.slots = engine.slots;
        plan.upstreams.push_back(info);
    }
    return plan;
}

void build(fleet_simulation &simulation)
{
    const scenario &plan = simulation.plan;
    for (int number = 0; number < plan.engines; ++number) {
        engine_model engine;
        engine.name = "engine-" + std::to_string(1000 + number);
        engine.region = number % 10 < 7 ? "near" : "far";
        engine.background = plan.unevenLoad && number % 3 == 0 ? engine.slots / 2 : 0;
        simulation.engineIndex[engine.name] = simulation.engines.size();
        simulation.engines.push_back(engine);
    }
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(plan.hosts));
    for (int number = 0; number < plan.hosts; ++number)
        names.push_back("entry-" + std::to_string(100 + number));
    const pool_plan pool = makePlan(simulation);
    for (int number = 0; number < plan.hosts; ++number) {
        entry_host host;
        host.name = names[static_cast<std::size_t>(number)];
        host.region = number % 2 == 0 ? "near" : "far";
        host.members = names;
        host.owner = std::string(rendezvousOwner(poolKey, names));
        host.state.random.seed(static_cast<unsigned>(number) + 1);
        host.state.nextPermit = static_cast<std::uint64_t>(number + 1) << 40U;
        configure(host.state, pool, simulation.events.now);
        simulation.hosts.push_back(std::move(host));
    }
    simulation.oracleWaiting.resize(plan.demands.size());
}

void collect(fleet_simulation &simulation)
{
    fleet_figures &figures = simulation.figures;
    figures.requests = 0;
    for (const simulated_request &request : simulation.requests) {
        figures.requests += request.isCallerRetry ? 0 : 1;
        figures.lost += request.state == simulated_request_state::waiting
            || request.state == simulated_request_state::running;
    }
    for (const engine_model &engine : simulation.engines) {
        figures.prefixHits += engine.cacheHits;
        figures.prefixMisses += engine.cacheMisses;
    }
    for (const entry_host &host : simulation.hosts) {
        figures.shedForLower += host.state.rule.higherTierShedForLower;
        figures.shedForGuarantee += host.state.rule.higherTierShedForGuarantee;
    }
    for (const auto &[name, counts] : simulation.nonBurstCounts) {
        if (counts.first > 0)
            figures.nonBurstAttainment[name]
                = static_cast<double>(counts.second) / static_cast<double>(counts.first);
    }
}

} // namespace

fleet_figures runFleet(const scenario &plan, sharing_mode mode, unsigned seed)
{
    const auto simulation = std::make_unique<fleet_simulation>(fleet_simulation{
        plan, mode, {}, std::mt19937_64(seed), {}, {}, {}, {}, 1, {}, {}, {}, {}, {}, {}});
    build(*simulation);
    const instant end = instant{} + plan.length;
    for (const class_demand &classDemand : plan.demands) {
        generate(*simulation, classDemand, classDemand.capacityShare, instant{}, end, {});
        generate(*simulation, classDemand, classDemand.burstShare, instant{} + plan.burstFrom,
                 instant{} + plan.burstTo, classDemand.burstOrganisation);
    }
    if (mode != sharing_mode::oracle) {
        for (int index = 0; index < plan.hosts; ++index)
            tick(*simulation, index);
        watchStreams(*simulation);
        if (mode == sharing_mode::lent)
            lendSlots(*simulation);
        else
            for (std::size_t engine = 0; engine < simulation->engines.size(); ++engine)
                publishReport(*simulation, engine);
    }
    scheduleFaults(*simulation);
    simulation->events.runUntil(end + drainTime);
    collect(*simulation);
    return std::move(simulation->figures);
}

} // namespace quincefall::bench
