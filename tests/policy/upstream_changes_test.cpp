#include "policy/upstream_changes.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

upstream_entry makeEntry(std::string id)
{
    upstream_entry entry;
    entry.id = std::move(id);
    entry.service = "engines";
    entry.started = 100;
    return entry;
}

/// A host that has read the newest entries at @p next.
upstream_membership makeReader(std::initializer_list<std::string> ids, std::uint64_t next)
{
    upstream_membership membership;
    for (const std::string &id : ids)
        takeEntry(membership, makeEntry(id), 1, next);
    takeWholeList(membership, next);
    return membership;
}

BOOST_AUTO_TEST_SUITE(upstream_changes_tests)

BOOST_AUTO_TEST_CASE(a_change_is_told_without_the_rest_of_the_list)
{
    upstream_membership teller = makeReader({"a", "b"}, 10);
    upstream_membership asker = teller;
    takeMissing(teller, "a", 20, instant{} + seconds(100));
    takeOffset(teller, 20);
    const upstream_changes changes = changesAfter(teller, asker.next);
    BOOST_TEST(!changes.isWholeList);
    BOOST_TEST(changes.listings.empty());
    BOOST_TEST(takeChanges(asker, changes));
    BOOST_TEST(!asker.listings.contains("a"));
    BOOST_TEST(asker.listings.contains("b"));
    BOOST_TEST(asker.next == 20U);
}

BOOST_AUTO_TEST_CASE(a_host_that_started_after_a_removal_tells_it_by_its_whole_list)
{
    upstream_membership asker = makeReader({"a", "b"}, 10);
    const upstream_membership restarted = makeReader({"b"}, 30);
    const upstream_changes changes = changesAfter(restarted, asker.next);
    BOOST_TEST(changes.isWholeList);
    BOOST_TEST(takeChanges(asker, changes));
    BOOST_TEST(!asker.listings.contains("a"));
    // A host that it tells in turn must not miss the removal either.
    upstream_membership third = makeReader({"a", "b"}, 10);
    BOOST_TEST(takeChanges(third, changesAfter(asker, third.next)));
    BOOST_TEST(!third.listings.contains("a"));
}

BOOST_AUTO_TEST_CASE(hosts_that_start_together_tell_each_other_nothing_they_know)
{
    // The same records, read at two moments of the same start.
    upstream_membership early = makeReader({"a"}, 10);
    upstream_membership late = makeReader({"a"}, 10);
    takeEntry(late, makeEntry("b"), 1, 12);
    takeWholeList(late, 12);
    takeEntry(early, makeEntry("b"), 1, 12);
    takeOffset(early, 12);
    const upstream_changes changes = changesAfter(late, early.next);
    BOOST_TEST(!changes.isWholeList);
    BOOST_TEST(changes.listings.empty());
}

BOOST_AUTO_TEST_CASE(a_whole_list_does_not_remove_what_came_after_it)
{
    upstream_membership asker = makeReader({"a"}, 10);
    takeEntry(asker, makeEntry("new"), 1, 40);
    takeOffset(asker, 40);
    const upstream_membership teller = makeReader({"a"}, 30);
    takeChanges(asker, changesAfter(teller, 0));
    BOOST_TEST(asker.listings.contains("new"));
    BOOST_TEST(asker.next == 40U);
}

BOOST_AUTO_TEST_CASE(removals_that_are_forgotten_are_told_by_the_whole_list)
{
    upstream_membership teller = makeReader({}, 1);
    for (std::uint64_t number = 0; number < 300; ++number) {
        const std::string id = "engine-" + std::to_string(number);
        takeEntry(teller, makeEntry(id), 1, 10 + number);
        takeMissing(teller, id, 1'000 + number, instant{} + seconds(100));
    }
    takeOffset(teller, 2'000);
    BOOST_TEST(changesAfter(teller, 1'000).isWholeList);
    BOOST_TEST(!changesAfter(teller, 1'298).isWholeList);
    BOOST_TEST(changesAfter(teller, 1'298).removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_first_list_is_not_told_while_entries_may_have_lapsed)
{
    upstream_membership fresh = makeReader({"a"}, 10);
    const instant now = instant{} + seconds(100);
    fresh.readSince = now;
    BOOST_TEST(toldOffset(fresh, now + seconds(2)) == 0U);
    BOOST_TEST(toldOffset(fresh, now + seconds(3)) == 10U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_came_back_is_told_to_a_host_that_doubts_it)
{
    upstream_membership teller = makeReader({"a"}, 10);
    upstream_membership asker = teller;
    const instant now = instant{} + seconds(100);
    for (upstream_membership *one : {&teller, &asker}) {
        takeStoreContact(*one, false, now);
        takeStoreContact(*one, true, now + seconds(3));
        takeMissing(*one, "a", 20, now + seconds(3));
        takeOffset(*one, 20);
    }
    takeEntry(teller, makeEntry("a"), 5, 30);
    takeOffset(teller, 30);
    BOOST_TEST(toldOffset(teller, now + seconds(4)) == 30U);
    takeChanges(asker, changesAfter(teller, asker.next));
    BOOST_TEST(dropMissing(asker, now + seconds(10)) == 0U);
    BOOST_TEST(asker.listings.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
