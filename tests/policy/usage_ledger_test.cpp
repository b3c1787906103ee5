#include "policy/usage_ledger.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace quincefall {
namespace {

const usage_source firstStart{{"10.1.0.1", 7}, 1'000};
const usage_source secondStart{{"10.1.0.1", 7}, 2'000};
const usage_source otherHost{{"10.1.0.2", 7}, 1'000};

BOOST_AUTO_TEST_SUITE(usage_ledger_tests)

BOOST_AUTO_TEST_CASE(windows_are_numbered_from_the_start_of_1970)
{
    const usage_windows windows;
    BOOST_TEST(windowAt(windows, 1'767'225'600'000) == 353'445'120);
    BOOST_TEST(windowAt(windows, 1'767'225'604'999) == 353'445'120);
    BOOST_TEST(windowAt(windows, 1'767'225'605'000) == 353'445'121);
    BOOST_TEST(endOf(windows, 353'445'120) == 1'767'225'605'000);
}

BOOST_AUTO_TEST_CASE(copies_that_are_repeated_or_late_change_nothing)
{
    usage_ledger ledger;
    BOOST_TEST(mergeCounts(ledger, 7, firstStart, {{"a", 4}, {"b", 1}}));
    BOOST_TEST(!mergeCounts(ledger, 7, firstStart, {{"a", 4}, {"b", 1}}));
    BOOST_TEST(!mergeCounts(ledger, 7, firstStart, {{"a", 3}}));
    BOOST_TEST((totalOf(ledger, 7) == usage_counts{{"a", 4}, {"b", 1}}));
}

BOOST_AUTO_TEST_CASE(a_restarted_host_adds_to_what_it_counted_before)
{
    usage_ledger ledger;
    mergeCounts(ledger, 7, firstStart, {{"a", 4}});
    mergeCounts(ledger, 7, secondStart, {{"a", 1}});
    mergeCounts(ledger, 7, otherHost, {{"a", 10}});
    mergeCounts(ledger, 8, otherHost, {{"a", 100}});
    BOOST_TEST((totalOf(ledger, 7) == usage_counts{{"a", 15}}));
}

BOOST_AUTO_TEST_CASE(what_a_killed_host_had_sent_counts_elsewhere)
{
    usage_ledger counting;
    usage_ledger keeping;
    for (int request = 0; request < 200; ++request) {
        countRun(counting, 7, firstStart, "a");
        const bool isSent = request % 10 == 9; // Five seconds, in pieces of 250 ms.
        if (isSent)
            mergeCounts(keeping, 7, firstStart, counting.windows[7][firstStart]);
        if (request == 197)
            break; // Killed.
    }
    const double share = double(totalOf(keeping, 7)["a"]) / double(totalOf(counting, 7)["a"]);
    BOOST_TEST(share >= 0.95);
}

BOOST_AUTO_TEST_CASE(a_window_is_complete_with_time_left_for_another_host)
{
    const usage_windows windows;
    const wall_milliseconds end = endOf(windows, 7);
    BOOST_TEST(newestComplete(windows, end) < 7);
    BOOST_TEST(newestComplete(windows, end + 2'000) == 7);
    BOOST_TEST(!isOverdue(windows, 7, end + 10'000));
    BOOST_TEST(isOverdue(windows, 7, end + 10'001));
}

BOOST_AUTO_TEST_CASE(old_windows_are_dropped)
{
    usage_ledger ledger;
    mergeCounts(ledger, 7, firstStart, {{"a", 4}});
    mergeCounts(ledger, 8, firstStart, {{"a", 5}});
    dropBefore(ledger, 8);
    BOOST_TEST(totalOf(ledger, 7).empty());
    BOOST_TEST((totalOf(ledger, 8) == usage_counts{{"a", 5}}));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_counts_if_the_request_was_there_long_enough)
{
    BOOST_TEST(hasLikelyBegun(milliseconds(60), 60));
    BOOST_TEST(hasLikelyBegun(milliseconds(30), 60));
    BOOST_TEST(!hasLikelyBegun(milliseconds(29), 60));
    BOOST_TEST(!hasLikelyBegun(milliseconds(400), 2'000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
