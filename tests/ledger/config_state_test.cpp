#include "ledger/checkpoint.h"
#include "ledger/config_state.h"
#include "support/golden.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <random>
#include <sstream>

using namespace quincefall;

namespace {

config_change makeChange(std::string operation, resource_key key, std::string_view spec,
                         std::optional<std::uint64_t> expected = {})
{
    config_change change{std::move(operation), std::move(key), expected, {}};
    if (!spec.empty())
        change.spec = boost::json::parse(spec).as_object();
    return change;
}

resource_key classKey(std::string name)
{
    return {resource_kind::serviceClass, std::move(name)};
}

/// Applies changes in order and writes the outcome of each to a transcript.
struct session
{
    config_state state;
    std::ostringstream transcript;

    void apply(const config_change &change)
    {
        const std::uint64_t offset = state.next;
        const config_effect effect = applyConfigRecord(state, offset, encodeChange(change));
        transcript << offset << ' ' << change.operation << ' ' << toString(change.key) << ": ";
        if (!effect.outcome)
            transcript << "repeated, no effect\n";
        else if (effect.outcome->code == result_code::ok)
            transcript << "accepted\n";
        else
            transcript << resultInfo(effect.outcome->code).name << ": " << effect.outcome->detail
                       << '\n';
    }
};

/// A random stream of conflicting changes to three service classes, with repeated operations.
std::vector<std::string> randomStream(std::mt19937 &random, int length)
{
    std::vector<std::string> records;
    for (int number = 0; number < length; ++number) {
        const std::string name = "c" + std::to_string(random() % 3);
        const std::string operation = "op" + std::to_string(random() % unsigned(length));
        const std::string spec
            = random() % 5 == 0 ? "" : R"({"tier":)" + std::to_string(1 + random() % 4) + "}";
        std::optional<std::uint64_t> expected;
        if (random() % 2 == 0)
            expected = random() % unsigned(length);
        records.push_back(encodeChange(makeChange(operation, classKey(name), spec, expected)));
    }
    return records;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_state_test)

BOOST_AUTO_TEST_CASE(sessionOfRacingOperators)
{
    session run;
    run.apply(makeChange("op-1", classKey("urgent"), R"({"tier":1})", 0));
    run.apply(makeChange("op-2", classKey("urgent"), R"({"tier":2})", 0));
    run.apply(makeChange("op-3", classKey("urgent"), R"({"tier":2,"max_wait_ms":500})", 1));
    run.apply(makeChange("op-4", classKey("urgent"), R"({"tier":3})", 1));
    run.apply(makeChange("op-3", classKey("urgent"), R"({"tier":2,"max_wait_ms":500})", 1));
    run.apply(makeChange("op-5", {resource_kind::model, "m"}, R"({"pool":"p"})"));
    run.apply(makeChange("op-6", {resource_kind::pool, "p"}, R"({"upstreams":[]})"));
    run.apply(makeChange("op-7", {resource_kind::model, "m"}, R"({"pool":"p"})"));
    run.apply(makeChange("op-8", {resource_kind::pool, "p"}, ""));
    run.apply(makeChange("op-9", {resource_kind::model, "m"}, "", 8));
    run.apply(makeChange("op-10", {resource_kind::pool, "p"}, ""));
    run.apply(makeChange("op-11", classKey("Bad Name"), R"({"tier":9,"rank":1})"));
    run.apply(makeChange("op-12", classKey("late"), R"({"tier":9,"rank":1})"));
    run.apply(makeChange("op-13", classKey("gone"), ""));
    testing::checkGolden("ledger/racing_operators.txt", run.transcript.str());
}

BOOST_AUTO_TEST_CASE(recordsThatAreNotChangesHaveNoEffect)
{
    config_state state;
    for (const std::string_view text : {"", "{", "[]", "{}", R"({"kind":"pool"})",
                                        R"({"operation":"o","kind":"pool","name":"p","spec":1})"})
        applyConfigRecord(state, state.next, text);
    BOOST_TEST(state.next == 6);
    BOOST_TEST(state.resources.empty());
}

BOOST_AUTO_TEST_CASE(dumpedStateIsRestored)
{
    std::mt19937 random(7);
    config_state state;
    for (const std::string &record : randomStream(random, 200))
        applyConfigRecord(state, state.next, record);
    const auto restored = restoreState(dumpState(state));
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(dumpState(*restored) == dumpState(state));
}

/// A host that starts from a checkpoint reaches the same state as one that reads the whole stream.
BOOST_AUTO_TEST_CASE(checkpointsAndFullReadsAgree)
{
    const checkpoint_settings settings{10, 300};
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::vector<std::string> stream;
        config_state full;
        std::size_t lastCheckpointEnd = 0;
        std::vector<std::string> waitingParts;
        for (const std::string &record : randomStream(random, 60)) {
            stream.push_back(record);
            applyConfigRecord(full, full.next, record);
            // Parts of a checkpoint are appended later, with changes in between them.
            if (waitingParts.empty() && isCheckpointDue(full, settings))
                waitingParts = encodeCheckpoint(full, "h" + std::to_string(full.next), settings);
            while (!waitingParts.empty() && random() % 2 == 0) {
                stream.push_back(waitingParts.front());
                applyConfigRecord(full, full.next, waitingParts.front());
                waitingParts.erase(waitingParts.begin());
                if (waitingParts.empty())
                    lastCheckpointEnd = stream.size();
            }
        }
        BOOST_REQUIRE(lastCheckpointEnd > 0);
        // The reader starts at the offset up to which the last checkpoint holds the state, as if
        // all records below were truncated.
        const std::uint64_t first = full.lastCheckpoint;
        checkpoint_reader reader;
        config_state late;
        for (std::uint64_t offset = first; offset < stream.size(); ++offset) {
            if (auto state = addCheckpointRecord(reader, stream[offset]);
                state && state->next > late.next)
                late = std::move(*state);
        }
        BOOST_REQUIRE(late.next >= first);
        while (late.next < stream.size())
            applyConfigRecord(late, late.next, stream[late.next]);
        BOOST_TEST(dumpState(late) == dumpState(full));
    }
}

BOOST_AUTO_TEST_SUITE_END()
