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
        applyEntry(membership, makeEntry(id), 1, next);
    recordWholeList(membership, next);
    return membership;
}

BOOST_AUTO_TEST_SUITE(upstream_changes_tests)

BOOST_AUTO_TEST_CASE(a_change_is_told_without_the_rest_of_the_list)
{
    upstream_membership teller = makeReader({"a", "b"}, 10);
    upstream_membership asker = teller;
    applyMissing(teller, "a", 20, instant{} + seconds(100));
    advanceOffset(teller, 20);
    const upstream_changes changes = changesSince(teller, asker.next);
    BOOST_TEST(!changes.isWholeList);
    BOOST_TEST(changes.listings.empty());
    BOOST_TEST(applyChanges(asker, changes));
    BOOST_TEST(!asker.listings.contains("a"));
    BOOST_TEST(asker.listings.contains("b"));
    BOOST_TEST(asker.next == 20U);
}

BOOST_AUTO_TEST_CASE(a_host_that_started_after_a_removal_tells_it_by_its_whole_list)
{
    upstream_membership asker = makeReader({"a", "b"}, 10);
    const upstream_membership restarted = makeReader({"b"}, 30);
    const upstream_changes changes = changesSince(restarted, asker.next);
    BOOST_TEST(changes.isWholeList);
    BOOST_TEST(applyChanges(asker, changes));
    BOOST_TEST(!asker.listings.contains("a"));
    // A host that it tells in turn must not miss the removal either.
    upstream_membership third = makeReader({"a", "b"}, 10);
    BOOST_TEST(applyChanges(third, changesSince(asker, third.next)));
    BOOST_TEST(!third.listings.contains("a"));
}

BOOST_AUTO_TEST_CASE(hosts_that_start_together_tell_each_other_nothing_they_know)
{
    // The same records, read at two moments of the same start.
    upstream_membership early = makeReader({"a"}, 10);
    upstream_membership late = makeReader({"a"}, 10);
    applyEntry(late, makeEntry("b"), 1, 12);
    recordWholeList(late, 12);
    applyEntry(early, makeEntry("b"), 1, 12);
    advanceOffset(early, 12);
    const upstream_changes changes = changesSince(late, early.next);
    BOOST_TEST(!changes.isWholeList);
    BOOST_TEST(changes.listings.empty());
}

BOOST_AUTO_TEST_CASE(a_whole_list_does_not_remove_what_came_after_it)
{
    upstream_membership asker = makeReader({"a"}, 10);
    applyEntry(asker, makeEntry("new"), 1, 40);
    advanceOffset(asker, 40);
    const upstream_membership teller = makeReader({"a"}, 30);
    applyChanges(asker, changesSince(teller, 0));
    BOOST_TEST(asker.listings.contains("new"));
    BOOST_TEST(asker.next == 40U);
}

BOOST_AUTO_TEST_CASE(removals_that_are_forgotten_are_told_by_the_whole_list)
{
    upstream_membership teller = makeReader({}, 1);
    for (std::uint64_t number = 0; number < 300; ++number) {
        const std::string id = "engine-" + std::to_string(number);
        applyEntry(teller, makeEntry(id), 1, 10 + number);
        applyMissing(teller, id, 1'000 + number, instant{} + seconds(100));
    }
    advanceOffset(teller, 2'000);
    BOOST_TEST(changesSince(teller, 1'000).isWholeList);
    BOOST_TEST(!changesSince(teller, 1'298).isWholeList);
    BOOST_TEST(changesSince(teller, 1'298).removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_first_list_is_not_told_while_entries_may_have_lapsed)
{
    upstream_membership fresh = makeReader({"a"}, 10);
    const instant now = instant{} + seconds(100);
    fresh.firstReadAt = now;
    BOOST_TEST(advertisedOffset(fresh, now + seconds(2)) == 0U);
    BOOST_TEST(advertisedOffset(fresh, now + seconds(3)) == 10U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_came_back_is_told_to_a_host_that_doubts_it)
{
    upstream_membership teller = makeReader({"a"}, 10);
    upstream_membership asker = teller;
    const instant now = instant{} + seconds(100);
    for (upstream_membership *one : {&teller, &asker}) {
        recordStoreContact(*one, false, now);
        recordStoreContact(*one, true, now + seconds(3));
        applyMissing(*one, "a", 20, now + seconds(3));
        advanceOffset(*one, 20);
    }
    applyEntry(teller, makeEntry("a"), 5, 30);
    advanceOffset(teller, 30);
    BOOST_TEST(advertisedOffset(teller, now + seconds(4)) == 30U);
    applyChanges(asker, changesSince(teller, asker.next));
    BOOST_TEST(removeExpired(asker, now + seconds(10)) == 0U);
    BOOST_TEST(asker.listings.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
