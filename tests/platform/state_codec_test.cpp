#include "platform/state_codec.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace quincefall {
namespace {

const std::map<std::string, std::string> regions{{"espoo", "uusimaa"}};

constexpr std::string_view desiredText = R"({"version":7,
  "routes":[
    {"name":"r1","authority":"a.example","path_prefix":"/p/","route_type":"streaming",
     "timeout_ms":10000,"target_latency_ms":2000,"priority":2,"max_attempts":2,
     "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
     "auth_exempt":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":1200},
    {"name":"r2","authority":"a.example","path_prefix":"/q/","route_type":"idempotent",
     "service":"s2","auth_exempt":true}],
  "services":[
    {"name":"s1","health_path":"/health","max_connections":360,
     "engine":{"slots":64,"kv_tokens":715019,"stride":4}},
    {"name":"s2","max_connections":100}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},
  "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}]})";

constexpr std::string_view entryText = R"({"service":"s1","address":"10.128.0.9:8080",
  "zone":"espoo","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":4,
  "born":1700000000123})";

constexpr wall_milliseconds entryReadAt = 1700000005000;

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

BOOST_AUTO_TEST_SUITE(state_codec_tests)

BOOST_AUTO_TEST_CASE(a_desired_state_is_decoded_in_full)
{
    const auto desired = decodeDesiredState(desiredText);
    BOOST_TEST_REQUIRE(desired.has_value());
    BOOST_TEST(desired->version == 7U);
    const route_rule &stream = desired->routes.at(0);
    BOOST_TEST(stream.isStream);
    BOOST_TEST(stream.isResumable);
    BOOST_TEST(!stream.isRepeatable);
    BOOST_TEST(stream.needsKey);
    BOOST_TEST(stream.services.size() == 2U);
    BOOST_TEST(stream.gapTarget.count() == 1200);
    const route_rule &call = desired->routes.at(1);
    BOOST_TEST(call.isRepeatable);
    BOOST_TEST(!call.needsKey);
    BOOST_TEST(call.maxAttempts == 1);
    BOOST_TEST(desired->services.at("s1").engine->tokensPerEvent == 4U);
    BOOST_TEST(!desired->services.at("s2").engine.has_value());
    BOOST_TEST(desired->organisationsByKey.at("k2").name == "t1");
    BOOST_TEST(!desired->organisationsByKey.at("k3").priority.has_value());
    BOOST_TEST(desired->limits.idleTimeout.count() == 15000);
}

BOOST_AUTO_TEST_CASE(an_invalid_desired_state_is_an_error)
{
    for (const std::string &text :
         {std::string("{"), std::string("[]"), replaced(std::string(desiredText), "7,", "\"x\","),
          replaced(std::string(desiredText), "\"authority\":\"a.example\",", ""),
          replaced(std::string(desiredText), "\"max_connections\":360",
                   "\"max_connections\":\"x\"")}) {
        BOOST_TEST(!decodeDesiredState(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_entry_is_decoded_in_full)
{
    const auto change = decodeUpstream("i-1", entryText, regions, entryReadAt);
    BOOST_TEST_REQUIRE(change.has_value());
    BOOST_TEST_REQUIRE(change->entry.has_value());
    BOOST_TEST(change->entry->id == "i-1");
    BOOST_TEST(change->entry->address.port == 8080);
    BOOST_TEST(change->entry->region == "uusimaa");
    BOOST_TEST(change->entry->started == 1700000000123);
    BOOST_TEST(change->sequence == 4);
    BOOST_TEST(!change->entry->isLeaving);
}

BOOST_AUTO_TEST_CASE(an_invalid_upstream_entry_is_an_error)
{
    const std::string text(entryText);
    for (const std::string &invalid :
         {replaced(text, "\"ready\"", "\"asleep\""), replaced(text, "\"service\":\"s1\",", ""),
          replaced(text, "64", "\"many\""), replaced(text, "10.128.0.9:8080", "nowhere"),
          replaced(text, "1700000000123", "\"today\""), replaced(text, "1700000000123", "1.5"),
          std::string("\x00\xff", 2), std::string()}) {
        BOOST_TEST(!decodeUpstream("i-1", invalid, regions, entryReadAt).has_value(), invalid);
    }
}

constexpr std::string_view autoscaleText = R"({"version":1,"services":[{"name":"s1","autoscale":
  {"min":1,"max":30,"boot_s":4.5,"spot_price":0.22,"zone_prices":{"espoo":1.0,"nokia":0.8}}}]})";

BOOST_AUTO_TEST_CASE(bounds_and_prices_of_engines_are_decoded)
{
    const auto desired = decodeDesiredState(autoscaleText);
    BOOST_TEST_REQUIRE(desired.has_value());
    BOOST_TEST_REQUIRE(desired->services.at("s1").autoscale.has_value());
    const autoscale_rule &rule = *desired->services.at("s1").autoscale;
    BOOST_TEST(rule.minCount == 1U);
    BOOST_TEST(rule.maxCount == 30U);
    BOOST_TEST(rule.bootTime.count() == 4500);
    BOOST_TEST(rule.interruptiblePrice.value() == 0.22);
    BOOST_TEST(rule.domainPrices.at("nokia") == 0.8);
    const auto plain = decodeDesiredState(desiredText);
    BOOST_TEST(!plain->services.at("s1").autoscale.has_value());
}

BOOST_AUTO_TEST_CASE(unreadable_bounds_of_engines_leave_the_service_in_force)
{
    const std::string text(autoscaleText);
    for (const std::string &invalid :
         {replaced(text, R"("min":1)", R"("min":"1")"), replaced(text, R"("min":1)", R"("min":31)"),
          replaced(text, R"("max":30)", R"("max":-1)"), replaced(text, R"("max":30)", R"("m":30)"),
          replaced(text, R"("max":30)", R"("max":2.5)"), replaced(text, "4.5", "null")}) {
        const auto desired = decodeDesiredState(invalid);
        BOOST_TEST_REQUIRE(desired.has_value(), invalid);
        BOOST_TEST(!desired->services.at("s1").autoscale.has_value(), invalid);
    }
}

BOOST_AUTO_TEST_CASE(unreadable_prices_are_left_out)
{
    const auto priceless = decodeDesiredState(replaced(std::string(autoscaleText), "0.22", "true"));
    BOOST_TEST_REQUIRE(priceless->services.at("s1").autoscale.has_value());
    BOOST_TEST(!priceless->services.at("s1").autoscale->interruptiblePrice.has_value());
    const auto partial = decodeDesiredState(replaced(std::string(autoscaleText), "0.8", "\"low\""));
    const auto &prices = partial->services.at("s1").autoscale->domainPrices;
    BOOST_TEST(prices.size() == 1U);
    BOOST_TEST(prices.at("espoo") == 1.0);
}

BOOST_AUTO_TEST_CASE(an_interruptible_upstream_tells_when_it_ends)
{
    const std::string text(entryText);
    const auto plain = decodeUpstream("i-1", text, regions, entryReadAt);
    BOOST_TEST(!plain->entry->isInterruptible);
    BOOST_TEST(plain->entry->leavesAt == 0);
    const auto leaving = decodeUpstream(
        "i-1",
        replaced(text, R"("state":"ready")", R"("state":"draining","spot":true,"leaves_ms":2500)"),
        regions, entryReadAt);
    BOOST_TEST_REQUIRE(leaving.has_value());
    BOOST_TEST(leaving->entry->isInterruptible);
    BOOST_TEST(leaving->entry->isLeaving);
    BOOST_TEST(leaving->entry->leavesAt == entryReadAt + 2500);
    for (const char *field : {R"("spot":"yes",)", R"("spot":1,)", R"("leaves_ms":"soon",)"}) {
        const std::string invalid = replaced(text, R"("state")", field + std::string(R"("state")"));
        BOOST_TEST(!decodeUpstream("i-1", invalid, regions, entryReadAt).has_value(), invalid);
    }
    const auto negative = decodeUpstream(
        "i-1", replaced(text, R"("state")", R"("leaves_ms":-5,"state")"), regions, entryReadAt);
    BOOST_TEST(negative->entry->leavesAt == 0);
}

BOOST_AUTO_TEST_CASE(corrupted_texts_do_not_crash_the_decoders)
{
    std::mt19937 random(7);
    for (int round = 0; round < 4000; ++round) {
        std::string text(round % 2 == 0 ? desiredText : entryText);
        for (unsigned left = 1 + random() % 4; left > 0; --left)
            text[random() % text.size()] = char(random() % 256);
        text.resize(text.size() - (random() % 3 == 0 ? random() % text.size() : 0));
        (void)decodeDesiredState(text);
        (void)decodeUpstream("i-1", text, regions, entryReadAt);
    }
}

BOOST_AUTO_TEST_CASE(an_announcement_is_unchanged_by_encoding_and_decoding)
{
    const host_announcement host{{"10.1.0.40", 7340}, "espoo", 1700000000456};
    const auto read = decodeAnnouncement("10.1.0.40:7340", encodeAnnouncement(host));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST((read->peer == host.peer));
    BOOST_TEST(read->announcedAt == host.announcedAt);
    BOOST_TEST(!decodeAnnouncement("nowhere", encodeAnnouncement(host)).has_value());
    BOOST_TEST(!decodeAnnouncement("10.1.0.40:7340", "").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
