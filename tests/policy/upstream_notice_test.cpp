#include "policy/upstream_notice.h"

#include "policy/placement.h"
#include "policy/upstream_changes.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

const instant start = instant{} + seconds(100);

upstream_entry makeEntry(std::string id, bool isLeaving = false, std::int64_t started = 100)
{
    upstream_entry entry;
    entry.id = std::move(id);
    entry.service = "engines";
    entry.started = started;
    entry.isLeaving = isLeaving;
    return entry;
}

service_pool makePool(std::initializer_list<std::string> ids)
{
    service_pool pool;
    for (const std::string &id : ids) {
        pool.upstreams[id].listed = makeEntry(id);
        pool.upstreams[id].listed.slots = 8;
    }
    return pool;
}

routed_upstream *choose(service_pool &pool, instant now)
{
    fleet_load others;
    placement_request request;
    request.probe.isRetryable = true;
    return chooseUpstream(pool, request, {}, others, now).upstream;
}

BOOST_AUTO_TEST_SUITE(upstream_notice_tests)

BOOST_AUTO_TEST_CASE(a_registration_that_is_still_ready_does_not_end_a_leaving)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("a"), 1, 10);
    BOOST_TEST(recordLeaving(membership.notices, makeEntry("a"), notice_source::ownAnswer, start));
    BOOST_TEST(!recordLeaving(membership.notices, makeEntry("a"), notice_source::otherHost, start));
    for (std::int64_t sequence = 2; sequence < 9; ++sequence)
        applyEntry(membership, makeEntry("a"), sequence, 20);
    BOOST_TEST(isLeaving(membership.notices, makeEntry("a")));
    // Its entry lapses and returns, and another host sends its list.
    applyMissing(membership, "a", 30, start);
    applyEntry(membership, makeEntry("a"), 9, 40);
    upstream_membership other;
    applyEntry(other, makeEntry("a"), 10, 50);
    recordWholeList(other, 50);
    applyChanges(membership, changesSince(other, {}), start);
    BOOST_TEST(isLeaving(membership.notices, makeEntry("a")));
}

BOOST_AUTO_TEST_CASE(a_leaving_ends_when_the_registration_takes_it_back)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("a"), 1, 10);
    recordLeaving(membership.notices, makeEntry("a"), notice_source::ownAnswer, start);
    applyEntry(membership, makeEntry("a", true), 2, 20);
    BOOST_TEST(isLeaving(membership.notices, makeEntry("a", true)));
    applyEntry(membership, makeEntry("a"), 3, 30);
    BOOST_TEST(!isLeaving(membership.notices, makeEntry("a")));
    BOOST_TEST(recordLeaving(membership.notices, makeEntry("a"), notice_source::ownAnswer, start));
}

BOOST_AUTO_TEST_CASE(a_new_start_under_the_same_id_ends_all_notices)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("a"), 7, 10);
    recordLeaving(membership.notices, makeEntry("a"), notice_source::ownAnswer, start);
    recordPause(membership.notices, makeEntry("a"), seconds(9), notice_source::ownAnswer, start);
    const upstream_entry reborn = makeEntry("a", false, 200);
    applyEntry(membership, reborn, 1, 20);
    BOOST_TEST(!isLeaving(membership.notices, reborn));
    BOOST_TEST(!findNotice(membership.notices, reborn));
    // A late answer of the earlier process says nothing about the new one.
    recordLeaving(membership.notices, reborn, notice_source::ownAnswer, start);
    BOOST_TEST(!recordPause(membership.notices, makeEntry("a"), seconds(9),
                            notice_source::otherHost, start));
    BOOST_TEST(isLeaving(membership.notices, reborn));
}

BOOST_AUTO_TEST_CASE(a_pause_lasts_as_long_as_asked_and_is_never_shortened)
{
    upstream_notices notices;
    const upstream_entry entry = makeEntry("a");
    for (const std::int64_t wanted : {0, -5})
        BOOST_TEST(
            !recordPause(notices, entry, microseconds(wanted), notice_source::ownAnswer, start));
    BOOST_TEST(notices.empty());
    BOOST_TEST(recordPause(notices, entry, seconds(4), notice_source::ownAnswer, start));
    BOOST_TEST(
        !recordPause(notices, entry, seconds(1), notice_source::ownAnswer, start + seconds(1)));
    BOOST_TEST((findNotice(notices, entry)->pausedUntil == start + seconds(4)));
    recordPause(notices, entry, microseconds::max() / 2, notice_source::ownAnswer, start);
    BOOST_TEST((findNotice(notices, entry)->pausedUntil == start + std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(only_own_answers_are_told_and_only_while_they_are_recent)
{
    upstream_notices notices;
    recordLeaving(notices, makeEntry("told"), notice_source::ownAnswer, start);
    recordLeaving(notices, makeEntry("heard"), notice_source::otherHost, start);
    recordPause(notices, makeEntry("busy"), seconds(2), notice_source::ownAnswer, start);
    recordPause(notices, makeEntry("heard"), seconds(2), notice_source::otherHost, start);
    const auto told = noticesToTell(notices, start + seconds(1));
    BOOST_TEST_REQUIRE(told.size() == 2U);
    BOOST_TEST(told[0].upstream == "busy");
    BOOST_TEST((told[0].pause == milliseconds(1'000)));
    BOOST_TEST(!told[0].isLeaving);
    BOOST_TEST(told[1].upstream == "told");
    BOOST_TEST(told[1].isLeaving);
    BOOST_TEST(noticesToTell(notices, start + seconds(60)).empty());
}

BOOST_AUTO_TEST_CASE(the_number_of_notices_is_bounded)
{
    upstream_notices notices;
    for (int number = 0; number < 3'000; ++number)
        recordLeaving(notices, makeEntry("engine-" + std::to_string(number)),
                      notice_source::ownAnswer, start + milliseconds(number));
    BOOST_TEST(notices.size() <= 1'024U);
    BOOST_TEST(notices.contains("engine-2999"));
    BOOST_TEST(!notices.contains("engine-0"));
}

// Load pattern: a burst in which engines turn requests away and ask for time.
BOOST_AUTO_TEST_CASE(no_request_reaches_an_upstream_that_asked_for_time)
{
    service_pool pool = makePool({"a", "b", "c"});
    pool.upstreams["a"].pausedUntil = start + seconds(2);
    // It would be probed if it had not asked for time.
    recordFailure(pool.upstreams["a"].health, start - seconds(5));
    for (int step = 0; step < 200; ++step) {
        routed_upstream *chosen = choose(pool, start + milliseconds(10 * step));
        BOOST_TEST_REQUIRE(chosen);
        BOOST_TEST(chosen->listed.id != "a");
    }
    BOOST_TEST((*timeUntilUsable(pool, start) == microseconds(0)));
    pool.upstreams["b"].pausedUntil = start + milliseconds(700);
    pool.upstreams["c"].pausedUntil = start + seconds(9);
    BOOST_TEST(!choose(pool, start));
    BOOST_TEST((*timeUntilUsable(pool, start) == milliseconds(700)));
    pool.upstreams["b"].listed.isLeaving = true;
    BOOST_TEST((*timeUntilUsable(pool, start) == seconds(2)));
    BOOST_TEST(choose(pool, start + seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_pause_of_another_host_is_a_hint)
{
    service_pool pool = makePool({"a", "b"});
    pool.upstreams["a"].othersPausedUntil = start + seconds(2);
    BOOST_TEST(choose(pool, start)->listed.id == "b");
    pool.upstreams["b"].listed.isLeaving = true;
    BOOST_TEST(choose(pool, start)->listed.id == "a");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
