#include "policy/stream_origins.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

const instant start = instant{} + seconds(1'000);

stream_origin makeOrigin(const std::string &version, instant begunAt, bool isUntold = false)
{
    return {"engines", version, begunAt, isUntold};
}

BOOST_AUTO_TEST_SUITE(stream_origins_tests)

BOOST_AUTO_TEST_CASE(the_first_origin_of_a_stream_holds)
{
    stream_origins origins;
    recordOrigin(origins, 5, makeOrigin("v1", start));
    recordOrigin(origins, 5, makeOrigin("v2", start));
    BOOST_TEST(findOrigin(origins, 5)->version == "v1");
    BOOST_TEST(findOrigin(origins, 6) == nullptr);
}

BOOST_AUTO_TEST_CASE(untold_streams_are_taken_once_and_forgotten_at_their_end)
{
    stream_origins origins;
    recordOrigin(origins, 1, makeOrigin("v1", start, true));
    recordOrigin(origins, 2, makeOrigin("v1", start + seconds(9), true));
    recordOrigin(origins, 3, makeOrigin("v1", start + seconds(9), true));
    recordOrigin(origins, 4, makeOrigin("v1", start + seconds(9)));
    forgetUntold(origins, 3);
    forgetUntold(origins, 4);
    BOOST_TEST(findOrigin(origins, 3) == nullptr);
    BOOST_TEST(findOrigin(origins, 4) != nullptr);
    BOOST_TEST(takeUntold(origins, "other", start).empty());
    BOOST_TEST(
        (takeUntold(origins, "engines", start + seconds(1)) == std::vector<std::uint64_t>{2}));
    BOOST_TEST(takeUntold(origins, "engines", start + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(the_origins_are_bounded_and_keep_recent_ones)
{
    stream_origins origins;
    for (std::uint64_t stream = 1; stream <= 100'000; ++stream)
        recordOrigin(origins, stream, makeOrigin("v1", start));
    BOOST_TEST(origins.newer.size() + origins.older.size() <= 16'384U);
    for (std::uint64_t stream = 100'000; stream > 92'000; --stream)
        BOOST_TEST_REQUIRE(findOrigin(origins, stream));
}

BOOST_AUTO_TEST_CASE(an_assumption_holds_only_while_no_host_knows_better)
{
    const upstream_kind one{"engines", "v1"};
    const upstream_kind other{"others", "v1"};
    const origin_belief sure{{one}, false, false};
    BOOST_TEST((assumedKind(sure) == one));
    BOOST_TEST(!assumedKind({{one}, false, true}).has_value());
    BOOST_TEST(!assumedKind({{one}, true, false}).has_value());
    BOOST_TEST(!assumedKind({{one, other}, true, false}).has_value());
    BOOST_TEST(!assumedKind({{one, other}, false, false}).has_value());
    BOOST_TEST(!decideOrigin({{one}, true, false}, {{}, {one}, false}).has_value());
    BOOST_TEST((decideOrigin({}, {{}, {one}, false}) == one));
    BOOST_TEST((decideOrigin({}, {other, {one}, true}) == other));
    BOOST_TEST(!decideOrigin({}, {{}, {one}, true}).has_value());
    BOOST_TEST(!decideOrigin({}, {{}, {one, other}, false}).has_value());
    BOOST_TEST(!decideOrigin(sure, {{}, {other}, false}).has_value());
    BOOST_TEST(!decideOrigin({}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_may_be_outdated_assumes_nothing_whoever_shares_it)
{
    const upstream_kind one{"engines", "v1"};
    const upstream_kind other{"engines", "v2"};
    BOOST_TEST(!decideOrigin({{one}, false, true}, {}).has_value());
    BOOST_TEST(!decideOrigin({{one}, false, true}, {{}, {one}, false}).has_value());
    BOOST_TEST((decideOrigin({{one}, false, true}, {other, {one}, false}) == other));
}

BOOST_AUTO_TEST_CASE(a_host_that_has_just_started_does_not_assume_a_kind_that_others_saw_before)
{
    const upstream_kind one{"engines", "v1"};
    const upstream_kind other{"engines", "v2"};
    BOOST_TEST(!decideOrigin({{other}, false, false, true}, {{}, {one}, false}).has_value());
}

BOOST_AUTO_TEST_CASE(what_hosts_that_have_just_started_have_not_seen_proves_nothing)
{
    const upstream_kind one{"engines", "v1"};
    const origin_belief started{{one}, false, false, true};
    BOOST_TEST(!assumedKind(started).has_value());
    BOOST_TEST(!decideOrigin(started, {}).has_value());
    BOOST_TEST((decideOrigin(started, {{}, {one}, false}) == one));
    BOOST_TEST(!assumedKind({{one}, false, true, false}).has_value());
    BOOST_TEST(!assumedKind({{one}, true, false, false}).has_value());
}

BOOST_AUTO_TEST_CASE(the_end_of_a_run_is_kept_with_the_origin_of_its_stream)
{
    stream_origins origins;
    recordRunEnd(origins, 7, {3, 2, {11}, milliseconds(400)});
    BOOST_TEST(findOrigin(origins, 7) == nullptr);
    recordOrigin(origins, 7, {"service", "v1", instant{}, true});
    recordRunEnd(origins, 7, {3, 2, {11}, milliseconds(400)});
    const stream_origin *origin = findOrigin(origins, 7);
    BOOST_TEST_REQUIRE((origin && origin->runEnd));
    BOOST_TEST(origin->runEnd->after == 3U);
    BOOST_TEST((origin->runEnd->upstreams == std::vector<std::uint64_t>{11}));
    BOOST_TEST(!origin->isUntold);
}

BOOST_AUTO_TEST_CASE(the_end_of_a_run_whose_last_event_is_not_behind_the_one_before_is_none)
{
    BOOST_TEST(isPlausible({3, 2, {11}, {}}));
    BOOST_TEST(!isPlausible({3, 3, {11}, {}}));
    BOOST_TEST(!isPlausible({3, 5, {11}, {}}));
    BOOST_TEST(!isPlausible({0, 0, {11}, {}}));
    BOOST_TEST(!isPlausible({3, 2, {0}, {}}));
    BOOST_TEST(!isPlausible({3, 2, {}, {}}));
    BOOST_TEST(isPlausible({3, 2, {11, 12, 11, 12}, {}}));
    BOOST_TEST(!isPlausible({3, 2, {11, 12, 11, 12, 11}, {}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
