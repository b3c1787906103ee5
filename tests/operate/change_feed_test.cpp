#include "operate/change_feed.h"

#include "operate/resource_plan.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

struct config_with_feed
{
    config_state state;
    change_feed feed{2};

    void set(const std::string &name, bool isDeleted = false)
    {
        config_change change;
        change.operation = "op-" + std::to_string(state.next);
        change.key = {resource_kind::serviceClass, name};
        if (!isDeleted)
            change.spec = boost::json::object{{"tier", 1}};
        feed.record(state, applyConfigRecord(state, state.next, encodeChange(change)));
    }

    std::string namesAfter(std::uint64_t version) const
    {
        std::string names;
        for (const feed_change &change : feed.changesSince(version))
            names += (change.isDeleted ? "-" : "+") + change.key.name;
        return names;
    }
};

std::string planText(const config_state &state, const char *resources)
{
    std::string text;
    const auto rows = planResources(state, boost::json::parse(resources).as_array());
    for (const auto &row : rows)
        text += std::string(row.at("action").as_string()) + " ";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(change_feeds)

BOOST_AUTO_TEST_CASE(aWatchResumesFromAVersionWhileItsChangesAreKept)
{
    config_with_feed config;
    config.set("a");
    config.set("b");
    config.set("a", true);
    BOOST_TEST(config.namesAfter(1) == "+b-a");
    BOOST_TEST(config.namesAfter(2) == "-a");
    BOOST_TEST(config.feed.hasChangesBetween(1, 3));
    BOOST_TEST(!config.feed.hasChangesBetween(0, 3)); // the feed of two changes dropped the first
}

BOOST_AUTO_TEST_CASE(replacingTheStateLeavesAGap)
{
    config_with_feed config;
    config.set("a");
    config.state.next = 10;
    BOOST_TEST(!config.feed.hasChangesBetween(1, 10));
    config.set("b");
    BOOST_TEST(!config.feed.hasChangesBetween(1, 11));
    BOOST_TEST(config.feed.hasChangesBetween(10, 11));
    BOOST_TEST(config.namesAfter(10) == "+b");
}

BOOST_AUTO_TEST_CASE(aPlanTakesEarlierResourcesIntoAccount)
{
    config_with_feed config;
    config.set("kept");
    const char *resources = R"([
        {"kind":"service_class","name":"kept","spec":{"tier":1,"max_wait_ms":10000}},
        {"kind":"service_class","name":"new","spec":{"tier":2}},
        {"kind":"service_class","name":"kept","spec":{"tier":3}},
        {"kind":"organisation","name":"o","spec":{"default_class":"new"}},
        {"kind":"organisation","name":"p","spec":{"default_class":"none"}}])";
    // Setting max_wait_ms to its default value is not a change.
    BOOST_TEST(planText(config.state, resources) == "unchanged created changed created refused ");
    BOOST_TEST(config.state.resources.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
