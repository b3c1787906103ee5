#include "operate/manifest.h"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

std::string specOf(const std::string &fields)
{
    const auto resources = readManifest("kind: pool\nname: p\nspec:\n" + fields);
    BOOST_REQUIRE_MESSAGE(resources, (resources ? "" : resources.error().detail));
    return boost::json::serialize(resources->front().spec);
}

std::string mistakeOf(const std::string &yaml)
{
    const auto resources = readManifest(yaml);
    return resources ? "no mistake" : resources.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest)

BOOST_AUTO_TEST_CASE(plainScalarsKeepTheirValue)
{
    BOOST_TEST(specOf("  a: 12\n  b: -3\n  c: 0.25\n  d: true\n  e: ~\n")
               == R"({"a":12,"b":-3,"c":2.5E-1,"d":true,"e":null})");
    // A digest of digits only, a number with leading zeros and quoted scalars are strings.
    BOOST_TEST(specOf("  a: 123456789012345678901234567890123456789012345678901234567890e123\n"
                      "  b: 007\n  c: \"12\"\n  d: 'true'\n  e: yes\n  f: 1.2.3\n")
               == R"({"a":"123456789012345678901234567890123456789012345678901234567890e123",)"
                  R"("b":"007","c":"12","d":"true","e":"yes","f":"1.2.3"})");
}

BOOST_AUTO_TEST_CASE(resourcesComeAfterThoseThatTheyReferTo)
{
    const auto resources = readManifest("kind: model\nname: m\nspec: {pool: p}\n---\n"
                                        "kind: pool\nname: p\nspec: {upstreams: []}\n---\n"
                                        "kind: organisation\nname: o\nspec: {default_class: c}\n"
                                        "---\nkind: service_class\nname: c\nspec: {tier: 1}\n");
    BOOST_REQUIRE(resources);
    std::string order;
    for (const declared_resource &resource : *resources)
        order += resource.name;
    BOOST_TEST(order == "copm");
}

BOOST_AUTO_TEST_CASE(mistakesNameLineAndField)
{
    BOOST_TEST(mistakeOf("kind: pool\nname: p\n") == "line 1: spec: expected a mapping");
    BOOST_TEST(
        mistakeOf("kind: pond\nname: p\nspec: {}\n")
        == "line 1: kind: expected one of service_class, organisation, pool, model, service");
    BOOST_TEST(mistakeOf("kind: pool\nname: p\nspec: {}\nsize: 1\n")
               == "line 4: size: expected one of kind name spec");
    BOOST_TEST(mistakeOf("kind: pool\nname: p\nspec: {}\n---\nkind: pool\nname: p\nspec: {}\n")
               == "line 5: pool/p is declared twice");
    BOOST_TEST(mistakeOf("kind: pool\nname: p\nspec:\n  a: 1\n  a: 2\n")
               == "line 5: a is given twice");
}

BOOST_AUTO_TEST_SUITE_END()
