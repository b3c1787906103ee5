#include "policy/placement.h"

#include "route_model.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace quincefall {
namespace {

service_pool makePool(unsigned engines)
{
    service_pool pool;
    for (unsigned index = 0; index < engines; ++index) {
        routed_upstream &upstream = pool.upstreams["engine-" + std::to_string(index)];
        upstream.listed.id = "engine-" + std::to_string(index);
        upstream.listed.service = "engines";
        upstream.listed.slots = 64;
        upstream.listed.region = index % 2 == 0 ? "north" : "south";
    }
    return pool;
}

prompt_outline makePrompt(std::uint64_t subject, std::uint64_t own)
{
    return {{{subject, 13'300}, {own, 3'720}}, 17'020, 120};
}

std::string chosenFor(service_pool &pool, const prompt_outline &prompt, const std::string &region)
{
    fleet_load others;
    placement_request request;
    request.prompt = &prompt;
    placement_site site;
    site.region = region;
    const placement chosen = chooseUpstream(pool, request, site, others, instant{});
    return chosen.upstream ? chosen.upstream->listed.id : "";
}

model::scenario makeMix(std::uint64_t seed)
{
    model::scenario day;
    day.hosts = 9;
    day.engines = 9;
    day.kinds = model::typicalKinds(40);
    day.bursts = {{"plan", 500, 9'500, 2.3}, {"query", 11'000, 16'000, 2.0}};
    day.seed = seed;
    return day;
}

BOOST_AUTO_TEST_SUITE(placement_tests)

BOOST_AUTO_TEST_CASE(all_hosts_prefer_the_same_upstream_for_a_prefix)
{
    std::set<std::string> preferredIds;
    for (std::uint64_t subject = 1; subject <= 40; ++subject) {
        service_pool north = makePool(9);
        service_pool south = makePool(9);
        const std::string one = chosenFor(north, makePrompt(subject, 1'000), "north");
        BOOST_TEST(one == chosenFor(south, makePrompt(subject, 2'000), "south"));
        preferredIds.insert(one);
    }
    BOOST_TEST(preferredIds.size() >= 7U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_gets_an_upstream_of_its_software_version)
{
    service_pool pool = makePool(9);
    for (auto &[id, upstream] : pool.upstreams)
        upstream.listed.softwareVersion = id < "engine-3" ? "v1" : "v2";
    fleet_load others;
    const placement_site site;
    const std::string version = "v1";
    for (std::uint64_t subject = 1; subject <= 40; ++subject) {
        const prompt_outline prompt = makePrompt(subject, 1'000);
        placement_request request;
        request.prompt = &prompt;
        request.softwareVersion = &version;
        const placement chosen = chooseUpstream(pool, request, site, others, instant{});
        BOOST_TEST_REQUIRE(chosen.upstream);
        BOOST_TEST(chosen.upstream->listed.softwareVersion == "v1");
        BOOST_TEST(chosen.candidates == 3);
    }
    // Not another version while all of this one fail or have left.
    const prompt_outline prompt = makePrompt(1, 1'000);
    placement_request request;
    request.prompt = &prompt;
    request.softwareVersion = &version;
    for (auto &[id, upstream] : pool.upstreams) {
        upstream.health.state = upstream.listed.softwareVersion == "v1"
            ? upstream_health::condition::failing
            : upstream_health::condition::good;
        upstream.health.probeFrom = instant::max();
    }
    const placement last = chooseUpstream(pool, request, site, others, instant{});
    BOOST_TEST_REQUIRE(last.upstream);
    BOOST_TEST(last.upstream->listed.softwareVersion == "v1");
    BOOST_TEST(last.reason == "last");
    for (auto &[id, upstream] : pool.upstreams)
        upstream.listed.isLeaving = upstream.listed.softwareVersion == "v1";
    BOOST_TEST(!chooseUpstream(pool, request, site, others, instant{}).upstream);
}

BOOST_AUTO_TEST_CASE(losing_an_engine_moves_only_its_prefixes)
{
    for (std::uint64_t subject = 1; subject <= 40; ++subject) {
        service_pool whole = makePool(9);
        service_pool reduced = makePool(9);
        reduced.upstreams.erase("engine-4");
        const std::string before = chosenFor(whole, makePrompt(subject, 1), "north");
        const std::string after = chosenFor(reduced, makePrompt(subject, 1), "north");
        BOOST_TEST((before == after || before == "engine-4"));
    }
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_about_to_be_taken_away_gets_no_work)
{
    service_pool pool = makePool(2);
    upstream_entry &taken = pool.upstreams.at("engine-0").listed;
    taken.isInterruptible = true;
    std::set<std::string> chosen;
    for (std::uint64_t subject = 1; subject <= 20; ++subject)
        chosen.insert(chosenFor(pool, makePrompt(subject, 1), "north"));
    BOOST_TEST(chosen.size() == 2U); // Until it is announced, it is an engine like any other.
    taken.isLeaving = true;
    taken.leavesAt = 60'000; // No request is known to end before.
    for (std::uint64_t subject = 1; subject <= 20; ++subject)
        BOOST_TEST(chosenFor(pool, makePrompt(subject, 1), "north") == "engine-1");
}

BOOST_AUTO_TEST_CASE(leaving_and_tried_upstreams_get_no_requests)
{
    service_pool pool = makePool(3);
    pool.upstreams.at("engine-0").listed.isLeaving = true;
    const std::set<std::string, std::less<>> tried{"engine-1"};
    const prompt_outline prompt = makePrompt(1, 2);
    placement_request request;
    request.prompt = &prompt;
    request.tried = &tried;
    fleet_load others;
    for (int index = 0; index < 20; ++index)
        BOOST_TEST(chooseUpstream(pool, request, {}, others, instant{}).upstream->listed.id
                   == "engine-2");
}

BOOST_AUTO_TEST_CASE(a_failing_upstream_gets_only_probes_while_another_is_left)
{
    service_pool pool = makePool(2);
    const instant now = instant{} + seconds(10);
    recordFailure(pool.upstreams.at("engine-0").health, now);
    const prompt_outline nothing;
    placement_request request;
    request.prompt = &nothing;
    fleet_load others;
    BOOST_TEST(chooseUpstream(pool, request, {}, others, now).upstream->listed.id == "engine-1");
    request.probe.isRetryable = true;
    const placement probe = chooseUpstream(pool, request, {}, others, now + seconds(1));
    BOOST_TEST(probe.upstream->listed.id == "engine-0");
    BOOST_TEST(probe.reason == "probe");
    pool.upstreams.erase("engine-1");
    request.probe.isRetryable = false;
    BOOST_TEST(chooseUpstream(pool, request, {}, others, now).reason == "last");
}

BOOST_AUTO_TEST_CASE(a_slow_engine_is_excluded_while_few_are_slow)
{
    service_pool pool = makePool(8);
    const prompt_outline prompt = makePrompt(1, 2);
    placement_request request;
    request.prompt = &prompt;
    fleet_load others;
    const instant now = instant{} + seconds(100);
    const std::string preferred
        = chooseUpstream(pool, request, {}, others, now).upstream->listed.id;
    recordSlowGap(pool.upstreams.at(preferred), now);
    BOOST_TEST(chooseUpstream(pool, request, {}, others, now).upstream->listed.id == preferred);
    recordSlowGap(pool.upstreams.at(preferred), now + seconds(1));
    const instant later = now + seconds(2);
    BOOST_TEST(chooseUpstream(pool, request, {}, others, later).upstream->listed.id != preferred);
    const instant over = now + seconds(9);
    BOOST_TEST(chooseUpstream(pool, request, {}, others, over).upstream->listed.id == preferred);
    for (auto &[id, upstream] : pool.upstreams) {
        recordSlowGap(upstream, later);
        recordSlowGap(upstream, later);
    }
    BOOST_TEST(chooseUpstream(pool, request, {}, others, later).upstream->listed.id == preferred);
}

BOOST_AUTO_TEST_CASE(an_engine_that_stops_sending_gets_no_more_requests)
{
    service_pool pool = makePool(8);
    const prompt_outline prompt{{{7, 350}, {8, 1'110}}, 1'460, 120};
    placement_request request;
    request.prompt = &prompt;
    fleet_load others;
    const instant now = instant{} + seconds(100);
    const std::string preferred
        = chooseUpstream(pool, request, {}, others, now).upstream->listed.id;
    routed_upstream &stalled = pool.upstreams.at(preferred);
    recordStart(pool, stalled, prompt, {1'460, 20, 0, 0, false}, now);
    stalled.lastByteAt = now + milliseconds(50);
    const auto choiceAt = [&](milliseconds time) {
        return chooseUpstream(pool, request, {}, others, now + time).upstream->listed.id;
    };
    BOOST_TEST(choiceAt(milliseconds(150)) == preferred);
    BOOST_TEST(choiceAt(milliseconds(600)) != preferred);
    stalled.lastByteAt = now + milliseconds(610);
    BOOST_TEST(choiceAt(milliseconds(620)) == preferred);
    recordEnd(pool, &stalled, {1'460, 20, 0, 0, false});
    BOOST_TEST(choiceAt(milliseconds(5'000)) == preferred);
}

BOOST_AUTO_TEST_CASE(load_of_other_hosts_counts)
{
    service_pool pool = makePool(2);
    const prompt_outline nothing;
    placement_request request;
    request.prompt = &nothing;
    fleet_load others;
    load_hint hint;
    hint.host.port = 1;
    hint.sequence = 1;
    upstream_work busy{nameHash("engine-0"), {}, {}};
    busy.inFlight[0] = 200;
    hint.upstreams = {busy};
    applyHint(others, hint, instant{});
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(chooseUpstream(pool, request, {}, others, instant{}).upstream->listed.id
                   == "engine-1");
}

BOOST_AUTO_TEST_CASE(less_urgent_work_does_not_delay_a_more_urgent_request)
{
    service_pool pool = makePool(1);
    routed_upstream &upstream = pool.upstreams.at("engine-0");
    upstream.inFlight[5] = 60;
    upstream.unreadTokens[5] = 500'000;
    const prompt_outline prompt = makePrompt(1, 2);
    placement_request request;
    request.prompt = &prompt;
    fleet_load others;
    request.urgency = 4;
    BOOST_TEST(chooseUpstream(pool, request, {}, others, instant{}).delayMs == 0);
    request.urgency = 5;
    BOOST_TEST(chooseUpstream(pool, request, {}, others, instant{}).delayMs > 5'000);
}

BOOST_AUTO_TEST_CASE(reserved_engines_are_released_slowly_when_demand_falls)
{
    service_pool pool = makePool(9);
    const instant now = instant{} + seconds(100);
    BOOST_TEST(updateReservedCount(pool, 9, 2.4, now) == 3U);
    BOOST_TEST(updateReservedCount(pool, 9, 0.4, now + seconds(2)) == 3U);
    BOOST_TEST(updateReservedCount(pool, 9, 0.4, now + seconds(30)) == 1U);
    BOOST_TEST(updateReservedCount(pool, 9, 0, now + seconds(30)) == 0U);
    BOOST_TEST(reservedCountNeeded({0, 1'000, 0}, 64) == 2);
    BOOST_TEST(reservedCountNeeded({0, 100, 96}, 16) == 10);
}

BOOST_AUTO_TEST_CASE(preferred_upstreams_repeat_fewer_prefills_than_other_policies)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        model::scenario day = makeMix(seed);
        const model::scenario_result decided = model::runScenario(day);
        for (const auto way :
             {model::placement_policy::roundRobin, model::placement_policy::leastInFlight}) {
            day.policy = way;
            const model::scenario_result other = model::runScenario(day);
            BOOST_TEST(decided.repeatedPrefillTokens < other.repeatedPrefillTokens * 0.6);
            for (const char *kind : {"plan", "digest", "query"})
                BOOST_TEST(decided.kinds.at(kind).onTimeShare()
                           > other.kinds.at(kind).onTimeShare());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
