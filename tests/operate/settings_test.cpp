#include "operate/settings.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

constexpr std::string_view validYaml = R"(host: {name: h1, region: uusimaa, failure_domain: espoo}
listen: {caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}
fleet: {secret: long enough, operator_key: long enough}
platform: {log: 127.0.0.1:7000, hosts: 127.0.0.1:7001}
)";

std::string mistakesOf(std::string_view yaml)
{
    std::string text;
    for (const settings_mistake &mistake : readSettings(yaml).mistakes)
        text += describe(mistake, "f") + "\n";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

BOOST_AUTO_TEST_CASE(validSettingsAreRead)
{
    const settings_reading reading = readSettings(validYaml);
    BOOST_TEST(reading.mistakes.empty());
    BOOST_TEST(reading.values.failureDomain == "espoo");
    BOOST_TEST(reading.values.logAddress.port == 7000);
}

BOOST_AUTO_TEST_CASE(allMistakesAreReportedAtOnce)
{
    const std::string yaml = R"(host: {name: h1, region: [a], failure_domain: espoo, rack: r1}
listen: {caller: nowhere, peer: 127.0.0.1:0, operator: 127.0.0.1:0}
fleet: {secret: short, operator_key: long enough}
log: {level: loud}
limits: {max_connections: 0}
)";
    BOOST_TEST(mistakesOf(yaml)
               == "f:1: host.region: expected a text\n"
                  "f:1: host.rack: expected one of failure_domain name region\n"
                  "f:2: listen.caller: expected an address of the form ip:port\n"
                  "f:3: fleet.secret: expected a text of at least 8 characters\n"
                  "f:1: platform: expected a mapping; the key is missing\n"
                  "f: platform.log: expected an address of the form ip:port; the key is missing\n"
                  "f: platform.hosts: expected an address of the form ip:port; the key is missing\n"
                  "f:4: log.level: expected one of trace debug info warn error\n"
                  "f:5: limits.max_connections: expected a whole number from 1 to 1000000\n");
}

BOOST_AUTO_TEST_CASE(textThatIsNotYamlIsOneMistake)
{
    BOOST_TEST(readSettings("host: [").mistakes.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
