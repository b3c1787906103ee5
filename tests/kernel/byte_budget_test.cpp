#include "kernel/byte_budget.h"

#include "kernel/clock.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

namespace quincefall {
namespace {

BOOST_AUTO_TEST_SUITE(byte_budget_tests)

BOOST_AUTO_TEST_CASE(one_large_message_does_not_evict_the_small_ones)
{
    const auto budget = byte_budget::makeByteBudget(100);
    int evicted = 0;
    const auto small = byte_budget::addShare(budget, [&evicted] { ++evicted; });
    const auto large = byte_budget::addShare(budget, [&evicted] { ++evicted; });
    BOOST_TEST(small->resize(20));
    BOOST_TEST(large->resize(80));
    BOOST_TEST(!large->resize(81));
    BOOST_TEST(!large->resize(1));
    BOOST_TEST(small->resize(100));
    BOOST_TEST(evicted == 0);
    BOOST_TEST(budget->heldBytes() == 100U);
    BOOST_TEST(budget->evictions() == 1U);
}

BOOST_AUTO_TEST_CASE(a_small_message_that_grows_evicts_the_largest_ones)
{
    const auto budget = byte_budget::makeByteBudget(100);
    std::string evicted;
    const auto older = byte_budget::addShare(budget, [&evicted] { evicted += "older "; });
    const auto newer = byte_budget::addShare(budget, [&evicted] { evicted += "newer "; });
    const auto small = byte_budget::addShare(budget, [&evicted] { evicted += "small "; });
    BOOST_TEST(older->resize(40));
    BOOST_TEST(newer->resize(40));
    BOOST_TEST(small->resize(20));
    BOOST_TEST(small->resize(21));
    BOOST_TEST(evicted == "newer ");
    BOOST_TEST(newer->isEvicted());
    BOOST_TEST(small->resize(39));
    BOOST_TEST(budget->heldBytes() == 79U);
}

BOOST_AUTO_TEST_CASE(what_a_finished_message_held_is_free_again)
{
    const auto budget = byte_budget::makeByteBudget(100);
    for (int message = 0; message < 5; ++message)
        BOOST_TEST(byte_budget::addShare(budget, nullptr)->resize(100));
    BOOST_TEST(budget->heldBytes() == 0U);
    BOOST_TEST(budget->evictions() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_has_stopped_arriving_is_evicted_before_larger_ones)
{
    const auto budget = byte_budget::makeByteBudget(400'000);
    std::string evicted;
    const auto add = [&](const char *name) {
        return byte_budget::addShare(
            budget, [&evicted, name] { evicted += name; }, share_kind::request);
    };
    const auto stalled = add("stalled ");
    BOOST_TEST(stalled->resize(50'000));
    std::this_thread::sleep_for(milliseconds(1'100));
    const auto larger = add("larger ");
    const auto growing = add("growing ");
    BOOST_TEST(larger->resize(120'000));
    BOOST_TEST(growing->resize(60'000));
    BOOST_TEST(evicted == "stalled ");
    BOOST_TEST(growing->resize(90'000));
    BOOST_TEST(evicted == "stalled larger ");
}

BOOST_AUTO_TEST_CASE(of_equal_requests_the_one_that_moved_last_stays)
{
    const auto budget = byte_budget::makeByteBudget(400'000);
    const auto add
        = [&budget] { return byte_budget::addShare(budget, nullptr, share_kind::request); };
    const auto moving = add();
    const auto waiting = add();
    BOOST_TEST(moving->resize(50'000));
    BOOST_TEST(waiting->resize(100'000));
    BOOST_TEST(moving->resize(100'000));
    moving->noteArrival(50'000);
    const auto another = add();
    BOOST_TEST(another->resize(20'000));
    BOOST_TEST(waiting->isEvicted());
    BOOST_TEST(!moving->isEvicted());
}

BOOST_AUTO_TEST_CASE(requests_that_run_are_kept_and_leave_room_for_answers)
{
    const auto budget = byte_budget::makeByteBudget(400'000, 100'000);
    const auto running = byte_budget::addShare(budget, nullptr, share_kind::request);
    BOOST_TEST(running->resize(200'000));
    running->pin();
    const auto refused = byte_budget::addShare(budget, nullptr, share_kind::request);
    BOOST_TEST(!refused->resize(20'000));
    const auto small = byte_budget::addShare(budget, nullptr, share_kind::request);
    BOOST_TEST(small->resize(10'000));
    const auto answer = byte_budget::addShare(budget, nullptr);
    BOOST_TEST(answer->resize(90'000));
    BOOST_TEST(!answer->resize(90'001));
    BOOST_TEST(!running->isEvicted());
    BOOST_TEST(budget->heldBytes() == 210'000U);
}

BOOST_AUTO_TEST_CASE(a_request_displaces_no_answer)
{
    const auto budget = byte_budget::makeByteBudget(400'000);
    const auto answer = byte_budget::addShare(budget, nullptr);
    BOOST_TEST(answer->resize(350'000));
    const auto request = byte_budget::addShare(budget, nullptr, share_kind::request);
    BOOST_TEST(!request->resize(60'000));
    BOOST_TEST(!answer->isEvicted());
}

BOOST_AUTO_TEST_CASE(a_request_alone_may_take_more_than_half)
{
    const auto budget = byte_budget::makeByteBudget(400'000, 100'000);
    const auto request = byte_budget::addShare(budget, nullptr, share_kind::request);
    BOOST_TEST(request->resize(300'000));
    BOOST_TEST(!request->resize(300'001));
}

BOOST_AUTO_TEST_CASE(an_answer_without_end_does_not_evict_requests)
{
    const auto budget = byte_budget::makeByteBudget(400'000);
    const auto request = byte_budget::addShare(budget, nullptr, share_kind::request);
    BOOST_TEST(request->resize(150'000));
    const auto endless = byte_budget::addShare(budget, nullptr);
    BOOST_TEST(endless->resize(250'000));
    BOOST_TEST(!endless->resize(250'001));
    BOOST_TEST(!request->isEvicted());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
