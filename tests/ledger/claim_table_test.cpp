#include "ledger/claim_table.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

const claim_key key{"daycare", "shift-desk", "key-1"};
constexpr wall_milliseconds start = 1'000'000;

claim_entry entryOf(claim_action action, const std::string &attempt, wall_milliseconds wall = start)
{
    claim_entry entry;
    entry.action = action;
    entry.key = key;
    entry.attempt = attempt;
    entry.host = "h1";
    entry.incarnation = 7;
    entry.wall = wall;
    if (action == claim_action::claim)
        entry.digest = "digest";
    if (action == claim_action::result)
        entry.result = {200, "text/plain", "done by " + attempt, true, ""};
    return entry;
}

bool apply(claim_table &table, const claim_entry &entry)
{
    const auto effects = applyClaimRecord(table, table.next, encodeBatch({&entry, 1}));
    BOOST_REQUIRE_EQUAL(effects.size(), 1);
    return effects.front().isApplied;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_table_suite)

BOOST_AUTO_TEST_CASE(first_claim_holds_the_key_and_only_its_result_is_applied)
{
    claim_table table;
    BOOST_TEST(apply(table, entryOf(claim_action::claim, "a")));
    BOOST_TEST(!apply(table, entryOf(claim_action::claim, "b")));
    BOOST_TEST(!apply(table, entryOf(claim_action::claim, "a")));
    BOOST_TEST(!apply(table, entryOf(claim_action::result, "b")));
    BOOST_TEST(apply(table, entryOf(claim_action::result, "a")));
    BOOST_TEST(!apply(table, entryOf(claim_action::release, "a")));
    BOOST_TEST(findClaim(table, key)->result.body == "done by a");
}

BOOST_AUTO_TEST_CASE(release_logged_before_its_claim_cancels_the_claim)
{
    claim_table table;
    apply(table, entryOf(claim_action::release, "a"));
    BOOST_TEST(!apply(table, entryOf(claim_action::claim, "a")));
    BOOST_TEST(apply(table, entryOf(claim_action::claim, "b")));
    BOOST_TEST(apply(table, entryOf(claim_action::release, "b")));
    BOOST_TEST((findClaim(table, key) == nullptr));
}

BOOST_AUTO_TEST_CASE(key_expires_after_the_retention_by_the_time_in_the_records)
{
    claim_table table;
    apply(table, entryOf(claim_action::claim, "a"));
    apply(table, entryOf(claim_action::result, "a"));
    BOOST_TEST(!apply(table, entryOf(claim_action::claim, "b", start + claimRetention.count())));
    BOOST_TEST(apply(table, entryOf(claim_action::claim, "b", start + claimRetention.count() + 1)));
    BOOST_TEST(findClaim(table, key)->attempt == "b");
}

BOOST_AUTO_TEST_CASE(restored_dump_equals_the_table_and_applies_records_alike)
{
    claim_table table;
    apply(table, entryOf(claim_action::release, "r"));
    apply(table, entryOf(claim_action::claim, "a"));
    apply(table, entryOf(claim_action::result, "a"));
    auto restored = restoreClaimTable(dumpClaimTable(table));
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((*restored == table));
    BOOST_TEST(!apply(*restored, entryOf(claim_action::claim, "b")));
    BOOST_TEST(!restoreClaimTable("{\"next\":1}").has_value());
}

BOOST_AUTO_TEST_CASE(undecodable_records_have_no_effect)
{
    claim_table table;
    for (const char *text : {"", "[]", "{\"batch\":7}", "{\"batch\":[{\"action\":\"claim\"}]}"})
        BOOST_TEST(applyClaimRecord(table, table.next, text).empty());
    BOOST_TEST(table.next == 4);
    BOOST_TEST(table.claims.empty());
}

BOOST_AUTO_TEST_SUITE_END()
