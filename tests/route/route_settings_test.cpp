#include "route/route_settings.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

constexpr std::string_view validYaml = R"(host: {name: h1, region: north, failure_domain: a}
listen:
  caller: 127.0.0.1:8001
  ready: 127.0.0.1:8002
  peer: 127.0.0.1:8003
  exchange: 127.0.0.1:8004
fleet:
  store: 127.0.0.1:8005
  seeds: ["127.0.0.1:8003", "127.0.0.2:8003"]
  failure_domains:
    - {name: a, region: north}
    - {name: b, region: south}
bounds: {leave_ms: 2500, stop_s: 7.5, further_attempt_slack: 54.0}
)";

std::vector<std::string> mistakesOf(const std::string &yaml)
{
    std::vector<std::string> lines;
    for (const settings_mistake &mistake : readRouteSettings(yaml).mistakes)
        lines.push_back(describe(mistake, "f"));
    return lines;
}

BOOST_AUTO_TEST_SUITE(route_settings_tests)

BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
    const route_settings_reading reading = readRouteSettings(validYaml);
    BOOST_TEST_REQUIRE(reading.mistakes.empty());
    const route_settings &values = reading.values;
    BOOST_TEST(values.callerListen.port == 8001);
    BOOST_TEST(values.exchangeListen.port == 8004);
    BOOST_TEST(values.seeds.size() == 2U);
    BOOST_TEST(values.regions.at("b") == "south");
    BOOST_TEST(values.stopSeconds == 7.5);
    BOOST_TEST(values.furtherAttemptSlack == 54);
    BOOST_TEST(values.furtherAttemptRatio == 0.2);
}

BOOST_AUTO_TEST_CASE(each_mistake_is_reported_with_its_line_and_key)
{
    std::string yaml(validYaml);
    yaml.replace(yaml.find("127.0.0.1:8002"), 14, "somewhere");
    yaml.replace(yaml.find("stop_s: 7.5"), 11, "stop_s: soon");
    yaml += "colour: blue\n";
    const auto mistakes = mistakesOf(yaml);
    BOOST_TEST(mistakes.size() == 3U);
    BOOST_TEST(mistakes.at(0) == "f:4: listen.ready: expected an address of the form ip:port");
    BOOST_TEST(mistakes.at(1) == "f:13: bounds.stop_s: expected a number from 0.1 to 600");
    BOOST_TEST(mistakes.at(2)
               == "f:14: colour: expected one of bounds duties fleet host listen log transfer");
}

BOOST_AUTO_TEST_CASE(duties_are_read_if_they_are_named)
{
    BOOST_TEST(!readRouteSettings(validYaml).values.duties.has_value());
    const std::string section = std::string(validYaml) + R"(duties:
  platform: 127.0.0.1:8006
  names: ["usage_report", "something_newer"]
  calls_per_s: 20.0
  checks_fence: true
  lease_ms: 4000
  usage_window_s: 2.5
)";
    const route_settings_reading reading = readRouteSettings(section);
    BOOST_TEST_REQUIRE(reading.mistakes.empty());
    BOOST_TEST_REQUIRE(reading.values.duties.has_value());
    const duty_settings &duties = *reading.values.duties;
    BOOST_TEST(duties.platform.port == 8006);
    BOOST_TEST(duties.reportsUsage);
    BOOST_TEST(!duties.ordersEngines);
    BOOST_TEST(duties.callsPerSecond == 20);
    BOOST_TEST(duties.checksFence);
    BOOST_TEST((duties.lease == milliseconds(4'000)));
    BOOST_TEST((duties.usageWindow == milliseconds(2'500)));
    BOOST_TEST((duties.usageDue == milliseconds(10'000)));
}

BOOST_AUTO_TEST_CASE(duties_without_a_name_or_an_address)
{
    const std::string unnamed = "duties: {platform: 127.0.0.1:8006, names: []}\n";
    BOOST_TEST(!readRouteSettings(std::string(validYaml) + unnamed).values.duties.has_value());
    const std::string yaml
        = std::string(validYaml) + "duties: {names: [autoscale], checks_fence: maybe}\n";
    const auto mistakes = mistakesOf(yaml);
    BOOST_TEST_REQUIRE(mistakes.size() == 2U);
    BOOST_TEST(mistakes.at(0).starts_with("f:14: duties.platform: expected an address"));
    BOOST_TEST(mistakes.at(1) == "f:14: duties.checks_fence: expected true or false");
}

BOOST_AUTO_TEST_CASE(transfers_are_weighed_where_the_section_is_given)
{
    const std::string yaml(validYaml);
    BOOST_TEST(!readRouteSettings(yaml).values.transfer.has_value());
    const auto defaults = readRouteSettings(yaml + "transfer: {}\n").values.transfer;
    BOOST_TEST_REQUIRE(defaults.has_value());
    BOOST_TEST(defaults->domainMsPerMb == 3'000);
    const auto given
        = readRouteSettings(yaml + "transfer: {domain_ms_per_mb: 5, region_link_mbps: 60}\n")
              .values.transfer;
    BOOST_TEST_REQUIRE(given.has_value());
    BOOST_TEST(given->domainMsPerMb == 5);
    BOOST_TEST(given->regionLinkMbps == 60);
    BOOST_TEST(mistakesOf(yaml + "transfer: {price: 5}\n").size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_missing_section_is_a_mistake)
{
    const auto mistakes = mistakesOf("host: {name: h1, region: north, failure_domain: a}\n");
    BOOST_TEST(!mistakes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
