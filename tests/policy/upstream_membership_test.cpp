#include "policy/upstream_membership.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

upstream_entry makeEntry(std::string id, std::int64_t started = 100)
{
    upstream_entry entry;
    entry.id = std::move(id);
    entry.service = "engines";
    entry.started = started;
    return entry;
}

instant at(int ms)
{
    return instant(milliseconds(ms));
}

BOOST_AUTO_TEST_SUITE(upstream_membership_tests)

BOOST_AUTO_TEST_CASE(a_heartbeat_alone_changes_nothing)
{
    upstream_membership membership;
    BOOST_TEST(applyEntry(membership, makeEntry("a"), 1, 10));
    BOOST_TEST(!applyEntry(membership, makeEntry("a"), 2, 20));
    BOOST_TEST(membership.listings.at("a").changed == 10U);
    upstream_entry leaving = makeEntry("a");
    leaving.isLeaving = true;
    BOOST_TEST(applyEntry(membership, leaving, 3, 30));
    BOOST_TEST(membership.listings.at("a").changed == 30U);
}

BOOST_AUTO_TEST_CASE(an_end_told_again_is_no_change)
{
    upstream_membership membership;
    upstream_entry leaving = makeEntry("a");
    leaving.isLeaving = true;
    leaving.leavesAt = 9'000;
    BOOST_TEST(applyEntry(membership, leaving, 1, 10));
    leaving.leavesAt = 9'040;
    BOOST_TEST(!applyEntry(membership, leaving, 2, 20));
    BOOST_TEST(membership.listings.at("a").changed == 10U);
    BOOST_TEST(membership.listings.at("a").entry.leavesAt == 9'000);
}

BOOST_AUTO_TEST_CASE(an_older_entry_does_not_bring_a_leaving_upstream_back)
{
    upstream_membership membership;
    upstream_entry leaving = makeEntry("a");
    leaving.isLeaving = true;
    applyEntry(membership, leaving, 7, 10);
    BOOST_TEST(!applyEntry(membership, makeEntry("a"), 6, 20));
    BOOST_TEST(membership.listings.at("a").entry.isLeaving);
    // Entries of a newer start replace those of an older one, whatever their sequence.
    BOOST_TEST(applyEntry(membership, makeEntry("a", 200), 1, 30));
    BOOST_TEST(!applyEntry(membership, leaving, 8, 40));
    BOOST_TEST(!membership.listings.at("a").entry.isLeaving);
}

BOOST_AUTO_TEST_CASE(a_removal_applies_at_once_while_the_store_answers)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("a"), 1, 10);
    recordStoreContact(membership, true, at(0));
    BOOST_TEST(applyMissing(membership, "a", 20, at(10)));
    BOOST_TEST(membership.listings.empty());
    BOOST_TEST(membership.removed.at("a").changed == 20U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_expired_in_an_outage_has_time_to_return)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("back"), 1, 10);
    applyEntry(membership, makeEntry("gone"), 1, 10);
    recordStoreContact(membership, true, at(0));
    recordStoreContact(membership, false, at(1000));
    recordStoreContact(membership, true, at(5000));
    BOOST_TEST(!applyMissing(membership, "back", 20, at(5010)));
    BOOST_TEST(!applyMissing(membership, "gone", 20, at(5010)));
    BOOST_TEST(removeExpired(membership, at(6900)) == 0U);
    applyEntry(membership, makeEntry("back"), 2, 25);
    BOOST_TEST(removeExpired(membership, at(7400)) == 1U);
    BOOST_TEST(membership.listings.contains("back"));
    BOOST_TEST(!membership.listings.contains("gone"));
}

BOOST_AUTO_TEST_CASE(a_list_with_a_missing_entry_is_not_advertised)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("missing"), 1, 10);
    advanceOffset(membership, 10);
    recordStoreContact(membership, false, at(1000));
    recordStoreContact(membership, true, at(2000));
    BOOST_TEST(advertisedOffset(membership, at(0)) == 10U);
    applyMissing(membership, "missing", 20, at(2010));
    applyEntry(membership, makeEntry("new"), 1, 20);
    advanceOffset(membership, 20);
    BOOST_TEST(advertisedOffset(membership, at(0)) == 0U);
    BOOST_TEST(removeExpired(membership, at(4400)) == 1U);
    BOOST_TEST(advertisedOffset(membership, at(0)) == 20U);
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_is_removed_at_once_in_an_outage)
{
    upstream_membership membership;
    upstream_entry leaving = makeEntry("a");
    leaving.isLeaving = true;
    applyEntry(membership, leaving, 1, 10);
    recordStoreContact(membership, false, at(1000));
    BOOST_TEST(applyMissing(membership, "a", 20, at(1010)));
}

BOOST_AUTO_TEST_CASE(another_hosts_removal_applies_unless_the_entry_changed_later)
{
    upstream_membership membership;
    applyEntry(membership, makeEntry("a"), 1, 30);
    BOOST_TEST(!applyRemoval(membership, "a", 20));
    BOOST_TEST(applyRemoval(membership, "a", 40));
    BOOST_TEST(membership.removed.at("a").changed == 40U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
