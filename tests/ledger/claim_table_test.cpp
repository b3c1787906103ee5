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

bool fold(claim_table &book, const claim_entry &entry)
{
    const auto effects = applyClaimRecord(book, book.next, encodeBatch({&entry, 1}));
    BOOST_REQUIRE_EQUAL(effects.size(), 1);
    return effects.front().isApplied;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_book_suite)

BOOST_AUTO_TEST_CASE(first_claim_counts_and_only_its_result)
{
    claim_table book;
    BOOST_TEST(fold(book, entryOf(claim_action::claim, "a")));
    BOOST_TEST(!fold(book, entryOf(claim_action::claim, "b")));
    BOOST_TEST(!fold(book, entryOf(claim_action::claim, "a")));
    BOOST_TEST(!fold(book, entryOf(claim_action::result, "b")));
    BOOST_TEST(fold(book, entryOf(claim_action::result, "a")));
    BOOST_TEST(!fold(book, entryOf(claim_action::release, "a")));
    BOOST_TEST(findClaim(book, key)->result.body == "done by a");
}

BOOST_AUTO_TEST_CASE(release_that_arrives_before_its_claim_takes_it_back)
{
    claim_table book;
    fold(book, entryOf(claim_action::release, "a"));
    BOOST_TEST(!fold(book, entryOf(claim_action::claim, "a")));
    BOOST_TEST(fold(book, entryOf(claim_action::claim, "b")));
    BOOST_TEST(fold(book, entryOf(claim_action::release, "b")));
    BOOST_TEST((findClaim(book, key) == nullptr));
}

BOOST_AUTO_TEST_CASE(key_is_forgotten_after_the_memory_by_the_records_own_time)
{
    claim_table book;
    fold(book, entryOf(claim_action::claim, "a"));
    fold(book, entryOf(claim_action::result, "a"));
    BOOST_TEST(!fold(book, entryOf(claim_action::claim, "b", start + claimRetention.count())));
    BOOST_TEST(fold(book, entryOf(claim_action::claim, "b", start + claimRetention.count() + 1)));
    BOOST_TEST(findClaim(book, key)->attempt == "b");
}

BOOST_AUTO_TEST_CASE(dump_restores_an_equal_book_that_folds_alike)
{
    claim_table book;
    fold(book, entryOf(claim_action::release, "r"));
    fold(book, entryOf(claim_action::claim, "a"));
    fold(book, entryOf(claim_action::result, "a"));
    auto restored = restoreClaimTable(dumpClaimTable(book));
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((*restored == book));
    BOOST_TEST(!fold(*restored, entryOf(claim_action::claim, "b")));
    BOOST_TEST(!restoreClaimTable("{\"next\":1}").has_value());
}

BOOST_AUTO_TEST_CASE(unreadable_records_have_no_effect)
{
    claim_table book;
    for (const char *text : {"", "[]", "{\"batch\":7}", "{\"batch\":[{\"action\":\"claim\"}]}"})
        BOOST_TEST(applyClaimRecord(book, book.next, text).empty());
    BOOST_TEST(book.next == 4);
    BOOST_TEST(book.claims.empty());
}

BOOST_AUTO_TEST_SUITE_END()
