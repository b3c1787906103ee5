// Simulates random interleavings of claims, orders and configuration writes, with all safeguards
// and with some left out; prints one JSON object with the violations of each guarantee.

#include "ledger/config_state.h"
#include "support/claim_simulation.h"
#include "support/lease_simulation.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <random>

DEFINE_int64(seeds, 4000, "seeds, one interleaving each, for every guarantee");

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr int claimSteps = 400;
constexpr int leaseTicks = 600;
constexpr int writersPerResource = 4;
constexpr int writesPerWriter = 10;

json::object measureClaims(testing::claim_guards guards)
{
    testing::claim_counts sum;
    for (std::int64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        testing::claim_simulation fleet(std::uint64_t(seed), guards);
        fleet.run(claimSteps);
        const testing::claim_counts &one = fleet.counts();
        sum.requests += one.requests;
        sum.runs += one.runs;
        sum.toldNotRun += one.toldNotRun;
        sum.toldUnknown += one.toldUnknown;
        sum.sameResults += one.sameResults;
        sum.faults += one.faults;
        sum.ranTwice += one.ranTwice;
        sum.falseNotRun += one.falseNotRun;
        sum.wrongResults += one.wrongResults;
    }
    return {{"interleavings", FLAGS_seeds},
            {"requests", sum.requests},
            {"runs", sum.runs},
            {"faults", sum.faults},
            {"told_not_run", sum.toldNotRun},
            {"told_unknown", sum.toldUnknown},
            {"same_results", sum.sameResults},
            {"violations",
             json::object{{"ran_twice", sum.ranTwice},
                          {"false_not_run", sum.falseNotRun},
                          {"wrong_results", sum.wrongResults}}}};
}

json::object measureOrders(testing::order_guards guards)
{
    testing::lease_counts sum;
    for (std::int64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        testing::lease_simulation fleet(std::uint64_t(seed), guards);
        fleet.run(leaseTicks);
        const testing::lease_counts &one = fleet.counts();
        sum.holders += one.holders;
        sum.orders += one.orders;
        sum.refused += one.refused;
        sum.faults += one.faults;
        sum.twoHolders += one.twoHolders;
        sum.staleOrders += one.staleOrders;
    }
    return {{"interleavings", FLAGS_seeds},
            {"holders", sum.holders},
            {"orders", sum.orders},
            {"refused", sum.refused},
            {"faults", sum.faults},
            {"violations",
             json::object{{"two_holders", sum.twoHolders}, {"stale_orders", sum.staleOrders}}}};
}

/// An operator that increments a number in a resource: a read, then a write in a later step.
struct writer
{
    bool hasRead = false;
    std::uint64_t version = 0;
    std::int64_t value = 0;
    int written = 0;
};

constexpr const char *counterName = "counter";

std::int64_t counterOf(const config_state &config)
{
    const auto *spec = findSpec<service_class>(config, resource_kind::serviceClass, counterName);
    return spec == nullptr ? 0 : spec->maxWait.count();
}

std::uint64_t versionOf(const config_state &config)
{
    const auto found = config.resources.find({resource_kind::serviceClass, counterName});
    return found == config.resources.end() ? 0 : found->second.version;
}

/// Reads the counter or, after a read, writes the value read plus one. With @p isConditional the
/// write is accepted only if the version is unchanged. Returns true if a write was accepted.
bool stepWriter(writer &subject, config_state &config, bool isConditional, std::uint64_t &conflicts)
{
    if (!subject.hasRead) {
        subject.hasRead = true;
        subject.version = versionOf(config);
        subject.value = counterOf(config);
        return false;
    }
    subject.hasRead = false;
    config_change change;
    change.operation = std::to_string(config.next);
    change.key = {resource_kind::serviceClass, counterName};
    if (isConditional)
        change.expectedVersion = subject.version;
    change.spec = json::object{{"tier", 1}, {"max_wait_ms", subject.value + 1}};
    const auto effect = applyConfigRecord(config, config.next, encodeChange(change));
    const bool isAccepted = effect.outcome && effect.outcome->code == result_code::ok;
    subject.written += isAccepted ? 1 : 0;
    conflicts += isAccepted ? 0 : 1;
    return isAccepted;
}

json::object measureWrites(bool isConditional)
{
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::int64_t lost = 0;
    for (std::int64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        std::mt19937_64 random{std::uint64_t(seed)};
        config_state config;
        std::array<writer, writersPerResource> writers;
        std::int64_t succeeded = 0;
        const auto isDone = [](const writer &one) { return one.written >= writesPerWriter; };
        while (!std::all_of(writers.begin(), writers.end(), isDone)) {
            writer &next = writers[random() % writers.size()];
            if (!isDone(next))
                succeeded += stepWriter(next, config, isConditional, conflicts) ? 1 : 0;
        }
        accepted += std::uint64_t(succeeded);
        lost += succeeded - counterOf(config);
    }
    return {{"interleavings", FLAGS_seeds},
            {"accepted", accepted},
            {"conflicts", conflicts},
            {"violations", json::object{{"lost_updates", lost}}}};
}

json::object measureAll()
{
    const json::object claims{{"guarded", measureClaims({})},
                              {"claim_not_read_back", measureClaims({false, true, true})},
                              {"old_book_trusted", measureClaims({true, false, true})},
                              {"refused_attempt_kept", measureClaims({true, true, false})}};
    const json::object orders{{"guarded", measureOrders({})},
                              {"fencing_only", measureOrders({true, false, false})},
                              {"clock_only", measureOrders({false, true, true})},
                              {"unguarded", measureOrders({false, false, false})}};
    const json::object writes{{"conditional", measureWrites(true)},
                              {"unconditional", measureWrites(false)}};
    return {{"at_most_once", claims}, {"orders", orders}, {"configuration_writes", writes}};
}

} // namespace
} // namespace quincefall

int main(int argumentCount, char **arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::cout << boost::json::serialize(quincefall::measureAll()) << "\n";
    return 0;
}
