#include "policy/route_choice.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

route_rule makeRoute(std::string name, std::string prefix, std::vector<service_share> services)
{
    route_rule route;
    route.name = std::move(name);
    route.authority = "rounds.example";
    route.pathPrefix = std::move(prefix);
    route.services = std::move(services);
    return route;
}

desired_state makeDesired()
{
    desired_state desired;
    desired.version = 3;
    desired.routes
        = {makeRoute("all", "/", {{"desk", 1}}), makeRoute("plans", "/plans/", {{"engines", 1}}),
           makeRoute("split", "/split/", {{"desk", 3}, {"engines", 1}})};
    desired.services["desk"].name = "desk";
    desired.services["engines"].name = "engines";
    desired.checksKeys = true;
    desired.organisationsByKey["key-1"] = {"stable", 1};
    desired.organisationsByKey["key-2"] = {"farm", 0};
    return desired;
}

BOOST_AUTO_TEST_SUITE(route_choice_tests)

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins)
{
    const desired_state desired = makeDesired();
    const auto choose = [&desired](std::string_view path) {
        return chooseRoute(desired, "rounds.example", path, "key-1", "r1").route->name;
    };
    BOOST_TEST(choose("/plans/1") == "plans");
    BOOST_TEST(choose("/plans") == "all");
    BOOST_TEST(choose("/other") == "all");
}

BOOST_AUTO_TEST_CASE(the_authority_matches_in_any_case_and_with_a_port)
{
    const desired_state desired = makeDesired();
    const auto known = chooseRoute(desired, "Rounds.Example:8080", "/x", "key-1", "r1");
    BOOST_TEST((known.refusal == route_refusal::none));
    const auto unknown = chooseRoute(desired, "other.example", "/x", "key-1", "r1");
    BOOST_TEST((unknown.refusal == route_refusal::noRoute));
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_refused_unless_the_route_needs_none)
{
    desired_state desired = makeDesired();
    const auto refused = chooseRoute(desired, "rounds.example", "/plans/", "no", "r1");
    BOOST_TEST((refused.refusal == route_refusal::unknownKey));
    desired.routes[1].needsKey = false;
    const auto open = chooseRoute(desired, "rounds.example", "/plans/", "no", "r1");
    BOOST_TEST((open.refusal == route_refusal::none));
    BOOST_TEST(open.organisation == nullptr);
}

BOOST_AUTO_TEST_CASE(a_split_route_is_stable_for_a_request_and_follows_its_weights)
{
    const desired_state desired = makeDesired();
    int engines = 0;
    constexpr int requests = 4000;
    for (int index = 0; index < requests; ++index) {
        const std::string id = "request-" + std::to_string(index);
        const auto first = chooseRoute(desired, "rounds.example", "/split/", "key-1", id);
        const auto again = chooseRoute(desired, "rounds.example", "/split/", "key-1", id);
        BOOST_TEST_REQUIRE(first.service == again.service);
        engines += first.service->name == "engines" ? 1 : 0;
    }
    BOOST_TEST(engines > requests * 0.22);
    BOOST_TEST(engines < requests * 0.28);
}

BOOST_AUTO_TEST_CASE(the_organisations_priority_is_compared_before_the_routes)
{
    desired_state desired = makeDesired();
    desired.routes[0].priority = 0;
    desired.routes[1].priority = 2;
    indexRanks(desired);
    const auto urgency = [&desired](std::string_view path, std::string_view key) {
        return urgencyOf(desired, chooseRoute(desired, "rounds.example", path, key, "r1"), 9);
    };
    BOOST_TEST(urgency("/x", "key-2") < urgency("/plans/", "key-2"));
    BOOST_TEST(urgency("/plans/", "key-2") < urgency("/x", "key-1"));
    BOOST_TEST(urgency("/x", "key-1") < urgency("/plans/", "key-1"));
}

BOOST_AUTO_TEST_CASE(many_ranks_are_mapped_to_the_urgencies_in_order)
{
    desired_state desired = makeDesired();
    desired.routes.clear();
    for (int priority = 0; priority < 30; ++priority) {
        desired.routes.push_back(
            makeRoute("r", "/" + std::to_string(priority) + "/", {{"desk", 1}}));
        desired.routes.back().priority = priority;
    }
    desired.organisationsByKey = {{"key-1", {"stable", std::nullopt}}};
    indexRanks(desired);
    int before = 0;
    for (int priority = 0; priority < 30; ++priority) {
        const std::string path = "/" + std::to_string(priority) + "/";
        const int urgency
            = urgencyOf(desired, chooseRoute(desired, "rounds.example", path, "key-1", "r1"), 9);
        BOOST_TEST(urgency >= before);
        before = urgency;
    }
    BOOST_TEST(before == 9);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
