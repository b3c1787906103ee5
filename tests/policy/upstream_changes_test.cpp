#include "policy/upstream_changes.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

const instant later = instant{} + seconds(200);

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

BOOST_AUTO_TEST_CASE(a_change_is_sent_without_the_rest_of_the_list)
{
    upstream_membership sender = makeReader({"a", "b"}, 10);
    upstream_membership receiver = sender;
    applyMissing(sender, "a", 20, instant{} + seconds(100));
    advanceOffset(sender, 20);
    const upstream_changes changes = changesSince(sender, positionOf(receiver));
    BOOST_TEST(!changes.isWholeList);
    BOOST_TEST(changes.listings.empty());
    BOOST_TEST(applyChanges(receiver, changes, later));
    BOOST_TEST(!receiver.listings.contains("a"));
    BOOST_TEST(receiver.listings.contains("b"));
    BOOST_TEST(receiver.next == 20U);
}

BOOST_AUTO_TEST_CASE(a_host_that_started_after_a_removal_sends_its_whole_list)
{
    upstream_membership receiver = makeReader({"a", "b"}, 10);
    const upstream_membership restarted = makeReader({"b"}, 30);
    const upstream_changes changes = changesSince(restarted, positionOf(receiver));
    BOOST_TEST(changes.isWholeList);
    BOOST_TEST(applyChanges(receiver, changes, later));
    BOOST_TEST(!receiver.listings.contains("a"));
    // The receiver must pass the removal on to a third host.
    upstream_membership third = makeReader({"a", "b"}, 10);
    BOOST_TEST(applyChanges(third, changesSince(receiver, positionOf(third)), later));
    BOOST_TEST(!third.listings.contains("a"));
}

BOOST_AUTO_TEST_CASE(an_entry_that_came_and_went_between_two_updates_is_a_missed_change)
{
    upstream_membership sender = makeReader({"a"}, 10);
    upstream_membership receiver = sender;
    applyEntry(sender, makeEntry("b"), 1, 20);
    advanceOffset(sender, 20);
    upstream_membership late = receiver;
    applyChanges(receiver, changesSince(sender, positionOf(receiver)), later);
    applyMissing(sender, "b", 30, instant{} + seconds(100));
    advanceOffset(sender, 30);
    applyChanges(receiver, changesSince(sender, positionOf(receiver)), later);
    BOOST_TEST((receiver.missedAt == instant::min()));
    applyChanges(late, changesSince(sender, positionOf(late)), later);
    BOOST_TEST((late.missedAt == later));
}

BOOST_AUTO_TEST_CASE(a_whole_list_may_hide_changes_unless_it_is_the_first_one)
{
    const upstream_membership sender = makeReader({"a"}, 30);
    upstream_membership started;
    applyChanges(started, changesSince(sender, positionOf(started)), later);
    BOOST_TEST((started.missedAt == instant::min()));
    upstream_membership known = makeReader({"a"}, 10);
    applyChanges(known, changesSince(sender, positionOf(known)), later);
    BOOST_TEST((known.missedAt == later));
}

BOOST_AUTO_TEST_CASE(changes_are_counted_as_they_are_sent)
{
    upstream_membership sender = makeReader({"a", "b", "c"}, 10);
    applyEntry(sender, makeEntry("d"), 1, 20);
    advanceOffset(sender, 20);
    for (const store_position after : {store_position{0, 5}, {0, 10}, {0, 20}, {7, 20}})
        BOOST_TEST(countChangesSince(sender, after) == changesSince(sender, after).listings.size());
    BOOST_TEST(countChangesSince(sender, {0, 10}) == 1U);
}

BOOST_AUTO_TEST_CASE(hosts_that_start_together_send_no_known_entries)
{
    // Both hosts read the same records, one a little later than the other.
    upstream_membership early = makeReader({"a"}, 10);
    upstream_membership late = makeReader({"a"}, 10);
    applyEntry(late, makeEntry("b"), 1, 12);
    recordWholeList(late, 12);
    applyEntry(early, makeEntry("b"), 1, 12);
    advanceOffset(early, 12);
    const upstream_changes changes = changesSince(late, positionOf(early));
    BOOST_TEST(!changes.isWholeList);
    BOOST_TEST(changes.listings.empty());
}

BOOST_AUTO_TEST_CASE(a_whole_list_does_not_remove_later_entries)
{
    upstream_membership receiver = makeReader({"a"}, 10);
    applyEntry(receiver, makeEntry("new"), 1, 40);
    advanceOffset(receiver, 40);
    const upstream_membership sender = makeReader({"a"}, 30);
    applyChanges(receiver, changesSince(sender, {}), later);
    BOOST_TEST(receiver.listings.contains("new"));
    BOOST_TEST(receiver.next == 40U);
}

BOOST_AUTO_TEST_CASE(the_whole_list_replaces_removals_that_were_dropped)
{
    upstream_membership sender = makeReader({}, 1);
    for (std::uint64_t number = 0; number < 300; ++number) {
        const std::string id = "engine-" + std::to_string(number);
        applyEntry(sender, makeEntry(id), 1, 10 + number);
        applyMissing(sender, id, 1'000 + number, instant{} + seconds(100));
    }
    advanceOffset(sender, 2'000);
    BOOST_TEST(changesSince(sender, {0, 1'000}).isWholeList);
    BOOST_TEST(!changesSince(sender, {0, 1'298}).isWholeList);
    BOOST_TEST(changesSince(sender, {0, 1'298}).removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_first_list_is_not_advertised_while_entries_may_have_expired)
{
    upstream_membership fresh = makeReader({"a"}, 10);
    const instant now = instant{} + seconds(100);
    fresh.firstReadAt = now;
    BOOST_TEST(advertisedOffset(fresh, now + seconds(2)) == 0U);
    BOOST_TEST(advertisedOffset(fresh, now + seconds(3)) == 10U);
}

BOOST_AUTO_TEST_CASE(a_returned_entry_is_sent_to_a_host_on_which_it_is_missing)
{
    upstream_membership sender = makeReader({"a"}, 10);
    upstream_membership receiver = sender;
    const instant now = instant{} + seconds(100);
    for (upstream_membership *one : {&sender, &receiver}) {
        recordStoreContact(*one, false, now);
        recordStoreContact(*one, true, now + seconds(3));
        applyMissing(*one, "a", 20, now + seconds(3));
        advanceOffset(*one, 20);
    }
    applyEntry(sender, makeEntry("a"), 5, 30);
    advanceOffset(sender, 30);
    BOOST_TEST(advertisedOffset(sender, now + seconds(4)) == 30U);
    applyChanges(receiver, changesSince(sender, positionOf(receiver)), now + seconds(4));
    BOOST_TEST(removeExpired(receiver, now + seconds(10)) == 0U);
    BOOST_TEST(receiver.listings.contains("a"));
}

/// A host that knows "a", "b" and the removal of "gone", before the store comes back from a copy.
upstream_membership makeHostBeforeCopy()
{
    upstream_membership host = makeReader({"a", "b", "gone"}, 500);
    host.epoch = 4;
    applyMissing(host, "gone", 510, instant{} + seconds(100));
    advanceOffset(host, 510);
    return host;
}

BOOST_AUTO_TEST_CASE(a_new_epoch_forgets_no_upstream_before_it_could_register_again)
{
    upstream_membership host = makeHostBeforeCopy();
    BOOST_TEST(enterEpoch(host, 5, later));
    BOOST_TEST(!enterEpoch(host, 5, later));
    // The copy lacks "b", which started after it.
    recordWholeList(host, 300);
    BOOST_TEST(host.next == 300U);
    BOOST_TEST(!applyMissing(host, "b", 300, later));
    BOOST_TEST(advertisedOffset(host, later) == 0U);
    BOOST_TEST(removeExpired(host, later + seconds(2)) == 0U);
    applyEntry(host, makeEntry("b"), 9, 305);
    BOOST_TEST(removeExpired(host, later + seconds(4)) == 0U);
    BOOST_TEST(host.listings.contains("b"));
}

BOOST_AUTO_TEST_CASE(an_older_copy_does_not_bring_back_a_removed_upstream)
{
    upstream_membership host = makeHostBeforeCopy();
    enterEpoch(host, 5, later);
    BOOST_TEST(!applyEntry(host, makeEntry("gone"), 1, 300));
    BOOST_TEST(!host.listings.contains("gone"));
    // It has registered since.
    BOOST_TEST(applyEntry(host, makeEntry("gone"), 2, 301));
    // In an unchanged epoch an entry that returns is newer than the removal.
    upstream_membership other = makeHostBeforeCopy();
    BOOST_TEST(applyEntry(other, makeEntry("gone"), 1, 520));
}

BOOST_AUTO_TEST_CASE(changes_of_an_older_epoch_are_ignored_and_those_of_a_newer_one_replace_all)
{
    upstream_membership host = makeHostBeforeCopy();
    upstream_membership ahead = makeReader({"a", "new"}, 40);
    ahead.epoch = 5;
    const upstream_changes stale = changesSince(host, {});
    BOOST_TEST(!applyChanges(ahead, stale, later));
    BOOST_TEST(ahead.next == 40U);
    BOOST_TEST(!ahead.listings.contains("b"));
    const upstream_changes fresh = changesSince(ahead, positionOf(host));
    BOOST_TEST(fresh.isWholeList);
    BOOST_TEST(applyChanges(host, fresh, later));
    BOOST_TEST((positionOf(host) == store_position{5, 40}));
    BOOST_TEST(host.listings.contains("new"));
    BOOST_TEST(!host.listings.contains("b"));
}

BOOST_AUTO_TEST_CASE(the_first_epoch_that_is_seen_changes_nothing)
{
    upstream_membership host;
    BOOST_TEST(enterEpoch(host, 7, later));
    applyEntry(host, makeEntry("a"), 1, 10);
    recordWholeList(host, 10);
    BOOST_TEST(applyMissing(host, "a", 20, later));
    BOOST_TEST(host.listings.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
