#include "policy/desired_check.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace quincefall {
namespace {

route_rule makeRoute(const std::string &name, const std::string &prefix)
{
    route_rule route;
    route.name = name;
    route.authority = "plans.example";
    route.pathPrefix = prefix;
    route.services = {{"drafts", 1}};
    route.isRepeatable = true;
    route.timeout = milliseconds(5'000);
    route.targetLatency = milliseconds(500);
    return route;
}

desired_state makeDesired()
{
    desired_state desired;
    desired.version = 7;
    desired.routes = {makeRoute("read", "/read/")};
    desired.services["drafts"].name = "drafts";
    desired.checksKeys = true;
    desired.organisations = {"county"};
    desired.organisationsByKey["k1"] = {"county", {}};
    return desired;
}

bool hasFinding(const desired_state &desired, finding_level level, std::string_view words)
{
    const auto findings = checkDesired(desired);
    return std::any_of(findings.begin(), findings.end(), [&](const desired_finding &finding) {
        return finding.level == level
            && (finding.entry + ": " + finding.text).find(words) != std::string::npos;
    });
}

BOOST_AUTO_TEST_SUITE(desired_check_tests)

BOOST_AUTO_TEST_CASE(a_sound_state_has_no_findings)
{
    BOOST_TEST(checkDesired(makeDesired()).empty());
}

BOOST_AUTO_TEST_CASE(routes_that_can_never_match_are_errors)
{
    desired_state desired = makeDesired();
    desired.routes.push_back(makeRoute("again", "/read/"));
    desired.routes.back().authority = "PLANS.example";
    desired.routes.push_back(makeRoute("ported", "/port/"));
    desired.routes.back().authority = "plans.example:80";
    desired.routes.push_back(makeRoute("relative", "relative/"));
    BOOST_TEST(hasFinding(desired, finding_level::error,
                          "route \"again\": can never match: route \"read\""));
    BOOST_TEST(hasFinding(desired, finding_level::error, "names a port"));
    BOOST_TEST(hasFinding(desired, finding_level::error, "does not begin with a slash"));
}

BOOST_AUTO_TEST_CASE(a_longer_prefix_of_the_same_authority_is_no_finding)
{
    desired_state desired = makeDesired();
    desired.routes.push_back(makeRoute("part", "/read/part/"));
    BOOST_TEST(checkDesired(desired).empty());
}

BOOST_AUTO_TEST_CASE(services_that_get_nothing_are_found)
{
    desired_state desired = makeDesired();
    desired.routes.front().services = {{"drafts", 0}, {"lost", 0}};
    BOOST_TEST(hasFinding(desired, finding_level::error, "\"lost\" is not declared"));
    BOOST_TEST(hasFinding(desired, finding_level::error, "sum to nothing"));
    BOOST_TEST(hasFinding(desired, finding_level::warning, "\"drafts\" has weight 0"));
    desired.services["spare"].name = "spare";
    BOOST_TEST(hasFinding(desired, finding_level::warning, "service \"spare\": no route"));
}

BOOST_AUTO_TEST_CASE(limits_that_contradict_each_other_are_found)
{
    desired_state desired = makeDesired();
    route_rule &route = desired.routes.front();
    route.targetLatency = milliseconds(6'000);
    route.isRepeatable = false;
    route.maxAttempts = 2;
    route.gapTarget = milliseconds(100);
    desired.services["drafts"].autoscale = autoscale_rule{4, 2, milliseconds(1'000), 1.5, {}};
    BOOST_TEST(hasFinding(desired, finding_level::error, "latency target of 6000 ms"));
    BOOST_TEST(hasFinding(desired, finding_level::warning, "allows 2 attempts"));
    BOOST_TEST(hasFinding(desired, finding_level::warning, "is no stream"));
    BOOST_TEST(hasFinding(desired, finding_level::error, "at least 4 engines are over at most 2"));
    BOOST_TEST(hasFinding(desired, finding_level::warning, "cost no less"));
}

BOOST_AUTO_TEST_CASE(organisations_without_keys_are_found)
{
    desired_state desired = makeDesired();
    desired.organisations.push_back("parish");
    BOOST_TEST(hasFinding(desired, finding_level::warning, "organisation \"parish\": has no API"));
    desired.organisationsByKey.clear();
    BOOST_TEST(hasFinding(desired, finding_level::error, "no organisation has one"));
}

BOOST_AUTO_TEST_CASE(differences_name_entry_field_and_values)
{
    const desired_state inForce = makeDesired();
    desired_state next = makeDesired();
    next.routes.front().timeout = milliseconds(4'000);
    next.routes.push_back(makeRoute("part", "/read/part/"));
    next.organisationsByKey["k2"] = {"county", {}};
    next.limits.maxBodyBytes = 10;
    const std::vector<std::string> expected{
        "route \"read\": timeout from 5000 ms to 4000 ms", "route \"part\": added",
        "organisation \"county\": API keys added: 1, removed: 0",
        "limits: body bytes from 4194304 to 10"};
    const auto lines = compareDesired(inForce, next);
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
    BOOST_TEST(compareDesired(inForce, inForce).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
