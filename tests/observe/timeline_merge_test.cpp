#include "observe/timeline_merge.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

/// A host with its own manual clock.
struct clocked_host
{
    manual_time time;
    std::unique_ptr<timeline> events;

    clocked_host(const char *name, wall_milliseconds wall)
        : events(timeline::makeTimeline(name, makeManualClock(time), 100))
    {
        time.wall = wall;
    }

    std::string lines() const
    {
        std::string text;
        for (const timeline_event &event : events->select({}))
            text += toJsonLine(event) + "\n";
        return text;
    }
};

std::string kinds(const std::vector<timeline_event> &events)
{
    std::string text;
    for (const timeline_event &event : events)
        text += event.host + ":" + event.kind + " ";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(timeline_merges)

BOOST_AUTO_TEST_CASE(timestampsOrderEventsAcrossSkewedClocks)
{
    clocked_host ahead("h1", 5000);
    clocked_host behind("h2", 1000);
    ahead.events->record("asked", "r", "pool");
    behind.events->advanceClock(ahead.events->nextTimestamp()); // h1's message carries a timestamp
    behind.events->record("granted", "r", "pool", {{"upstream", "e1"}});
    ahead.events->advanceClock(behind.events->nextTimestamp());
    ahead.events->record("answered", "r", "pool");
    const std::vector<std::string> texts{behind.lines(), ahead.lines()};
    const auto merged = mergeTimelines(texts);
    BOOST_TEST(kinds(merged) == "h1:asked h2:granted h1:answered ");
    BOOST_TEST(toTextLine(merged[1])
               == "00:00:05.000  h2  granted  request=r  on=pool  upstream=e1");
}

BOOST_AUTO_TEST_CASE(invalidLinesAreSkipped)
{
    BOOST_TEST(parseTimeline("{\n[]\n{\"wall_ms\":\"x\",\"logical\":0}\n\n").empty());
    const auto missing = parseTimeline(missingHostLine("h3", 7, "no route"));
    BOOST_REQUIRE(missing.size() == 1U);
    BOOST_TEST(missing[0].kind == "timeline.host-missing");
    BOOST_TEST(missing[0].timestamp.wall == 7);
}

BOOST_AUTO_TEST_CASE(aTraceHasOneProcessPerHost)
{
    clocked_host first("h1", 1);
    first.events->record("asked", "r", "pool", {{"tier", "1"}});
    const std::string trace = toTrace(first.events->select({}));
    const auto parsed = boost::json::parse(trace);
    const auto &entries = parsed.at("traceEvents").as_array();
    BOOST_REQUIRE(entries.size() == 3U);
    BOOST_TEST(entries[0].at("name").as_string() == "process_name");
    BOOST_TEST(entries[0].at("args").at("name").as_string() == "h1");
    BOOST_TEST(entries[2].at("ts").to_number<int>() == 1000);
    BOOST_TEST(entries[2].at("args").at("tier").as_string() == "1");
}

BOOST_AUTO_TEST_SUITE_END()
