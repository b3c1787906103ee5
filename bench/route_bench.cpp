// Simulates request bursts and lost engines in virtual time with the decision functions of
// `quincefall route`; prints one JSON line for each placement policy. Example:
// `route_bench --seeds 3 --rate 60`.

#include "route_model.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint32(seeds, 3, "simulation runs of each placement policy, with seeds from 1 on");
DEFINE_double(rate, 40, "requests per second over all hosts");
DEFINE_double(burst, 2.3, "factor on the rate of long prompts during their burst");
DEFINE_uint32(hosts, 9, "entry hosts");
DEFINE_uint32(engines, 9, "engines");
DEFINE_uint32(lost, 2, "engines that stop at a quarter of the run");

namespace quincefall::model {
namespace {

struct variant
{
    const char *name;
    placement_policy policy;
    bool hasLoadHints;
    bool hasAdmissionControl;
};

constexpr variant variants[] = {
    {"decided", placement_policy::router, true, true},
    {"without refusals", placement_policy::router, true, false},
    {"without hints", placement_policy::router, false, true},
    {"least in flight", placement_policy::leastInFlight, false, false},
    {"round robin", placement_policy::roundRobin, false, false},
};

scenario makeScenario(const variant &wanted, std::uint64_t seed)
{
    scenario plan;
    plan.hosts = FLAGS_hosts;
    plan.engines = FLAGS_engines;
    plan.enginesLost = FLAGS_lost;
    plan.kinds = typicalKinds(FLAGS_rate);
    plan.bursts = {{"plan", 500, 9'500, FLAGS_burst}, {"query", 11'000, 16'000, 2.0}};
    plan.policy = wanted.policy;
    plan.hasLoadHints = wanted.hasLoadHints;
    plan.hasAdmissionControl = wanted.hasAdmissionControl;
    plan.seed = seed;
    return plan;
}

void add(kind_result &sum, const kind_result &run)
{
    sum.offered += run.offered;
    sum.onTime += run.onTime;
    sum.late += run.late;
    sum.refused += run.refused;
    sum.failed += run.failed;
}

void runVariant(const variant &wanted)
{
    std::map<std::string, kind_result> sums;
    double repeatedTokens = 0;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        const scenario_result run = runScenario(makeScenario(wanted, seed));
        repeatedTokens += run.repeatedPrefillTokens / FLAGS_seeds;
        for (const auto &[name, kind] : run.kinds)
            add(sums[name], kind);
    }
    boost::json::object row{{"way", wanted.name}, {"tokens_read_again", repeatedTokens}};
    for (const auto &[name, kind] : sums)
        row[name] = boost::json::object{{"asked", kind.offered},
                                        {"on_time", kind.onTimeShare()},
                                        {"served", kind.servedShare()},
                                        {"refused", kind.refused},
                                        {"failed", kind.failed}};
    std::cout << boost::json::serialize(row) << '\n';
}

} // namespace
} // namespace quincefall::model

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const auto &variant : quincefall::model::variants)
        quincefall::model::runVariant(variant);
    return 0;
}
