// Plays days of bursts and losses over the decisions of `quincefall route` in virtual time and
// prints one JSON line for each way of placement: `route_bench --seeds 3 --rate 60`.

#include "route_model.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint32(seeds, 3, "days played for each way, with seeds from 1 on");
DEFINE_double(rate, 40, "requests per second over all hosts");
DEFINE_double(burst, 2.3, "factor of the burst of long prompts");
DEFINE_uint32(hosts, 9, "entry hosts");
DEFINE_uint32(engines, 9, "engines");
DEFINE_uint32(lost, 2, "engines that stop at a quarter of the day");

namespace quincefall::model {
namespace {

struct variant
{
    const char *name;
    placement_policy way;
    bool hasLoadHints;
    bool hasAdmissionControl;
};

constexpr variant variants[] = {
    {"decided", placement_policy::decided, true, true},
    {"without refusals", placement_policy::decided, true, false},
    {"without hints", placement_policy::decided, false, true},
    {"least in flight", placement_policy::leastInFlight, false, false},
    {"round robin", placement_policy::roundRobin, false, false},
};

scenario makeScenario(const variant &wanted, std::uint64_t seed)
{
    scenario day;
    day.hosts = FLAGS_hosts;
    day.engines = FLAGS_engines;
    day.enginesLost = FLAGS_lost;
    day.kinds = typicalKinds(FLAGS_rate);
    day.bursts = {{"plan", 500, 9'500, FLAGS_burst}, {"query", 11'000, 16'000, 2.0}};
    day.way = wanted.way;
    day.hasLoadHints = wanted.hasLoadHints;
    day.hasAdmissionControl = wanted.hasAdmissionControl;
    day.seed = seed;
    return day;
}

void add(kind_result &sum, const kind_result &day)
{
    sum.asked += day.asked;
    sum.onTime += day.onTime;
    sum.late += day.late;
    sum.refused += day.refused;
    sum.failed += day.failed;
}

void playVariant(const variant &wanted)
{
    std::map<std::string, kind_result> sums;
    double again = 0;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        const scenario_result day = runScenario(makeScenario(wanted, seed));
        again += day.repeatedPrefillTokens / FLAGS_seeds;
        for (const auto &[name, kind] : day.kinds)
            add(sums[name], kind);
    }
    boost::json::object row{{"way", wanted.name}, {"tokens_read_again", again}};
    for (const auto &[name, kind] : sums)
        row[name] = boost::json::object{{"asked", kind.asked},
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
        quincefall::model::playVariant(variant);
    return 0;
}
