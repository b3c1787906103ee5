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
    placement_request wanted;
    wanted.prompt = &prompt;
    placement_site site;
    site.region = region;
    const placement chosen = chooseUpstream(pool, wanted, site, others, instant{});
    return chosen.upstream ? chosen.upstream->listed.id : "";
}

model::scenario makeMix(std::uint64_t seed)
{
    model::scenario day;
    day.hosts = 9;
    day.engines = 9;
    day.kinds = model::usualKinds(40);
    day.bursts = {{"plan", 500, 9'500, 2.3}, {"query", 11'000, 16'000, 2.0}};
    day.seed = seed;
    return day;
}

BOOST_AUTO_TEST_SUITE(placement_tests)

BOOST_AUTO_TEST_CASE(all_hosts_find_the_same_home_for_a_part)
{
    std::set<std::string> homes;
    for (std::uint64_t subject = 1; subject <= 40; ++subject) {
        service_pool north = makePool(9);
        service_pool south = makePool(9);
        const std::string one = chosenFor(north, makePrompt(subject, 1'000), "north");
        BOOST_TEST(one == chosenFor(south, makePrompt(subject, 2'000), "south"));
        homes.insert(one);
    }
    BOOST_TEST(homes.size() >= 7U);
}

BOOST_AUTO_TEST_CASE(losing_an_engine_moves_only_its_parts)
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

BOOST_AUTO_TEST_CASE(leaving_and_tried_upstreams_get_nothing)
{
    service_pool pool = makePool(3);
    pool.upstreams.at("engine-0").listed.isLeaving = true;
    const std::set<std::string, std::less<>> tried{"engine-1"};
    const prompt_outline prompt = makePrompt(1, 2);
    placement_request wanted;
    wanted.prompt = &prompt;
    wanted.tried = &tried;
    fleet_load others;
    for (int index = 0; index < 20; ++index)
        BOOST_TEST(chooseUpstream(pool, wanted, {}, others, instant{}).upstream->listed.id
                   == "engine-2");
}

BOOST_AUTO_TEST_CASE(a_failing_upstream_is_used_only_when_no_other_is_left_or_as_a_probe)
{
    service_pool pool = makePool(2);
    const instant now = instant{} + seconds(10);
    recordFailure(pool.upstreams.at("engine-0").health, now);
    const prompt_outline nothing;
    placement_request wanted;
    wanted.prompt = &nothing;
    fleet_load others;
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, now).upstream->listed.id == "engine-1");
    wanted.probe.mayFail = true;
    const placement probe = chooseUpstream(pool, wanted, {}, others, now + seconds(1));
    BOOST_TEST(probe.upstream->listed.id == "engine-0");
    BOOST_TEST(probe.reason == "probe");
    pool.upstreams.erase("engine-1");
    wanted.probe.mayFail = false;
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, now).reason == "last");
}

BOOST_AUTO_TEST_CASE(a_slow_engine_is_left_out_while_few_are_slow)
{
    service_pool pool = makePool(8);
    const prompt_outline prompt = makePrompt(1, 2);
    placement_request wanted;
    wanted.prompt = &prompt;
    fleet_load others;
    const instant now = instant{} + seconds(100);
    const std::string home = chooseUpstream(pool, wanted, {}, others, now).upstream->listed.id;
    recordLongPause(pool.upstreams.at(home), now);
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, now).upstream->listed.id == home);
    recordLongPause(pool.upstreams.at(home), now + seconds(1));
    const instant later = now + seconds(2);
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, later).upstream->listed.id != home);
    const instant over = now + seconds(9);
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, over).upstream->listed.id == home);
    for (auto &[id, upstream] : pool.upstreams) {
        recordLongPause(upstream, later);
        recordLongPause(upstream, later);
    }
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, later).upstream->listed.id == home);
}

BOOST_AUTO_TEST_CASE(an_engine_that_falls_silent_gets_no_more_requests)
{
    service_pool pool = makePool(8);
    const prompt_outline prompt{{{7, 350}, {8, 1'110}}, 1'460, 120};
    placement_request wanted;
    wanted.prompt = &prompt;
    fleet_load others;
    const instant now = instant{} + seconds(100);
    const std::string home = chooseUpstream(pool, wanted, {}, others, now).upstream->listed.id;
    routed_upstream &silent = pool.upstreams.at(home);
    recordStart(pool, silent, prompt, {1'460, 20, 0, 0, false}, now);
    silent.lastHeard = now + milliseconds(50);
    const auto choiceAt = [&](milliseconds time) {
        return chooseUpstream(pool, wanted, {}, others, now + time).upstream->listed.id;
    };
    BOOST_TEST(choiceAt(milliseconds(150)) == home);
    BOOST_TEST(choiceAt(milliseconds(600)) != home);
    silent.lastHeard = now + milliseconds(610);
    BOOST_TEST(choiceAt(milliseconds(620)) == home);
    recordEnd(pool, &silent, {1'460, 20, 0, 0, false});
    BOOST_TEST(choiceAt(milliseconds(5'000)) == home);
}

BOOST_AUTO_TEST_CASE(work_of_other_hosts_counts)
{
    service_pool pool = makePool(2);
    const prompt_outline nothing;
    placement_request wanted;
    wanted.prompt = &nothing;
    fleet_load others;
    load_hint hint;
    hint.host.port = 1;
    hint.sequence = 1;
    upstream_work busy{nameHash("engine-0"), {}, {}};
    busy.inFlight[0] = 200;
    hint.upstreams = {busy};
    applyHint(others, hint, instant{});
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(chooseUpstream(pool, wanted, {}, others, instant{}).upstream->listed.id
                   == "engine-1");
}

BOOST_AUTO_TEST_CASE(less_urgent_work_is_no_wait_for_a_more_urgent_request)
{
    service_pool pool = makePool(1);
    routed_upstream &upstream = pool.upstreams.at("engine-0");
    upstream.inFlight[5] = 60;
    upstream.unreadTokens[5] = 500'000;
    const prompt_outline prompt = makePrompt(1, 2);
    placement_request wanted;
    wanted.prompt = &prompt;
    fleet_load others;
    wanted.urgency = 4;
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, instant{}).delayMs == 0);
    wanted.urgency = 5;
    BOOST_TEST(chooseUpstream(pool, wanted, {}, others, instant{}).delayMs > 5'000);
}

BOOST_AUTO_TEST_CASE(demand_that_falls_gives_engines_back_slowly)
{
    service_pool pool = makePool(9);
    const instant now = instant{} + seconds(100);
    BOOST_TEST(keepApart(pool, 9, 2.4, now) == 3U);
    BOOST_TEST(keepApart(pool, 9, 0.4, now + seconds(2)) == 3U);
    BOOST_TEST(keepApart(pool, 9, 0.4, now + seconds(30)) == 1U);
    BOOST_TEST(keepApart(pool, 9, 0, now + seconds(30)) == 0U);
    BOOST_TEST(apartNeeded({0, 1'000, 0}, 64) == 2);
    BOOST_TEST(apartNeeded({0, 100, 96}, 16) == 10);
}

BOOST_AUTO_TEST_CASE(homes_read_shared_parts_less_often_than_other_ways)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        model::scenario day = makeMix(seed);
        const model::day_result decided = model::playDay(day);
        for (const auto way :
             {model::placement_way::roundRobin, model::placement_way::leastInFlight}) {
            day.way = way;
            const model::day_result other = model::playDay(day);
            BOOST_TEST(decided.tokensReadAgain < other.tokensReadAgain * 0.6);
            for (const char *kind : {"plan", "digest", "query"})
                BOOST_TEST(decided.kinds.at(kind).onTimeShare()
                           > other.kinds.at(kind).onTimeShare());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
