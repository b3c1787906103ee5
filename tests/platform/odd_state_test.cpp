#include "platform/state_codec.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

constexpr std::string_view stateText = R"({"version":7,
  "routes":[
    {"name":"r1","authority":"a.example","path_prefix":"/p/","route_type":"streaming",
     "timeout_ms":10000,"priority":2,"max_attempts":2,"service":"s1"},
    {"name":"r2","authority":"a.example","path_prefix":"/q/","route_type":"idempotent",
     "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
     "auth_exempt":true}],
  "services":[{"name":"s1","max_connections":360},{"name":"s2"}],
  "limits":{"max_body_bytes":5000},
  "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]})";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(stateText);
    BOOST_TEST_REQUIRE(text.find(from) != std::string::npos);
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string withMember(std::string_view of, std::string_view member)
{
    return replaced(of, std::string(of) + "," + std::string(member));
}

BOOST_AUTO_TEST_SUITE(odd_state_tests)

// One optional member that was null lost the whole version.
BOOST_AUTO_TEST_CASE(an_optional_member_that_is_null_counts_as_missing)
{
    for (const char *member : {"auth_exempt", "stream_resume", "session_affinity",
                               "target_latency_ms", "gap_aim_ms", "traffic_split", "x"}) {
        const auto read = decodeDesiredState(
            withMember(R"("max_attempts":2)", "\"" + std::string(member) + "\":null"));
        BOOST_TEST_REQUIRE(read.has_value(), member);
        BOOST_TEST(read->routes.at(0).needsKey, member);
        BOOST_TEST(read->routes.at(0).services.at(0).service == "s1", member);
    }
    BOOST_TEST(
        decodeDesiredState(replaced(R"("timeout_ms":10000)", R"("timeout_ms":null)")).has_value());
    const auto both = decodeDesiredState(
        withMember(R"("path_prefix":"/q/")", R"("service":null,"max_attempts":null)"));
    BOOST_TEST_REQUIRE(both.has_value());
    BOOST_TEST(both->routes.at(1).services.size() == 2U);
    BOOST_TEST(
        decodeDesiredState(withMember(R"("name":"s2")", R"("health_path":null)")).has_value());
    for (const char *member : {"engine", "autoscale", "max_connections"})
        BOOST_TEST(
            decodeDesiredState(withMember(R"("name":"s2")", "\"" + std::string(member) + "\":null"))
                .has_value(),
            member);
    const auto organisation
        = decodeDesiredState(replaced(R"("priority":1}])", R"("priority":null}])"));
    BOOST_TEST_REQUIRE(organisation.has_value());
    BOOST_TEST(!organisation->organisationsByKey.at("k1").priority.has_value());
}

BOOST_AUTO_TEST_CASE(whole_numbers_may_be_written_as_fractions_or_with_an_exponent)
{
    const auto read = decodeDesiredState(replaced(R"("version":7)", R"("version":2e3)"));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read->version == 2000U);
    const auto route = decodeDesiredState(replaced("10000", "1e4"));
    BOOST_TEST_REQUIRE(route.has_value());
    BOOST_TEST(route->routes.at(0).timeout.count() == 10'000);
    BOOST_TEST(decodeDesiredState(replaced(R"("max_attempts":2)", R"("max_attempts":2.0)"))
                   ->routes.at(0)
                   .maxAttempts
               == 2);
}

// The nesting of a member that is not used lost the whole version.
BOOST_AUTO_TEST_CASE(unknown_members_may_be_nested)
{
    const std::string nested = std::string(100, '[') + std::string(100, ']');
    BOOST_TEST(
        decodeDesiredState(withMember(R"("name":"s2")", "\"models\":" + nested)).has_value());
}

BOOST_AUTO_TEST_CASE(an_empty_traffic_split_leaves_the_service_in_force)
{
    const auto read
        = decodeDesiredState(withMember(R"("max_attempts":2)", R"("traffic_split":[])"));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST_REQUIRE(read->routes.at(0).services.size() == 1U);
    BOOST_TEST(read->routes.at(0).services.at(0).service == "s1");
}

// A list of another type counted as empty: each request was refused, or none needed a key.
BOOST_AUTO_TEST_CASE(a_list_of_another_type_is_not_an_empty_list)
{
    for (const char *text : {R"({"version":1,"routes":{}})", R"({"version":1,"services":"s1"})",
                             R"({"version":1,"tenants":{}})",
                             R"({"version":1,"tenants":[{"name":"t","api_keys":"k"}]})"})
        BOOST_TEST(!decodeDesiredState(text).has_value(), text);
    const auto read = decodeDesiredState(R"({"version":1,"routes":null,"tenants":null})");
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(!read->checksKeys);
}

// A limit that could not be read counted as 0, so each body was too large.
BOOST_AUTO_TEST_CASE(a_limit_that_cannot_be_read_leaves_the_default)
{
    const auto read = decodeDesiredState(replaced("5000", "\"many\""));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read->limits.maxBodyBytes == caller_limits().maxBodyBytes);
}

// One route that could not be read kept all others of its version from coming into force.
BOOST_AUTO_TEST_CASE(a_route_that_cannot_be_read_has_no_service_and_the_others_are_in_force)
{
    for (const std::string &text :
         {replaced("10000", "\"soon\""), replaced(R"("name":"r1",)", ""),
          replaced(R"("service":"s1"})", R"("service":7})"),
          replaced(R"("route_type":"streaming",)", ""),
          withMember(R"("max_attempts":2)", R"("auth_exempt":"no")"),
          withMember(R"("max_attempts":2)", R"("traffic_split":[{"service":"s1"},7])"),
          withMember(R"("max_attempts":2)", R"("traffic_split":[{"service":"s1","weight":"all"}])"),
          withMember(R"("max_attempts":2)", R"("traffic_split":{"s1":1})")}) {
        const auto read = decodeDesiredState(text);
        BOOST_TEST_REQUIRE(read.has_value(), text);
        BOOST_TEST_REQUIRE(read->routes.size() == 2U);
        const route_rule &odd = read->routes.at(0);
        BOOST_TEST(odd.services.empty(), text);
        BOOST_TEST(!odd.needsKey); // A refusal for its key would be final.
        BOOST_TEST(odd.authority == "a.example");
        BOOST_TEST(odd.pathPrefix == "/p/"); // A shorter prefix must not match instead.
        BOOST_TEST(read->routes.at(1).services.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(a_route_of_unknown_requests_loses_the_version)
{
    for (const std::string &text :
         {replaced(R"("authority":"a.example",)", ""), replaced(R"("path_prefix":"/p/",)", ""),
          replaced(R"("path_prefix":"/p/",)", R"("path_prefix":7,)"),
          replaced(R"("routes":[)", R"("routes":[7,)")})
        BOOST_TEST(!decodeDesiredState(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
