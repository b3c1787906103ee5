#include "policy/answer_proof.h"
#include "policy/stream_framing.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

namespace quincefall {
namespace {

constexpr instant now = instant{} + seconds(100);

/// A second run that ends where an earlier one did, with time for a further event.
run_end makeAgreement()
{
    run_end end;
    end.hasWholeRequest = true;
    end.isConfirmed = true;
    end.hasOutlived = true;
    end.timeLeft = seconds(2);
    end.longestWait = seconds(1);
    end.expectedWait = milliseconds(500);
    return end;
}

bool isProven(const run_end &end)
{
    return proofOf(end) != answer_proof::none;
}

BOOST_AUTO_TEST_SUITE(answer_proof_tests)

BOOST_AUTO_TEST_CASE(an_end_that_the_upstream_names_needs_no_other_proof)
{
    run_end end;
    end.isFramed = true;
    end.isLeaving = true;
    BOOST_TEST((proofOf(end) == answer_proof::framing));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_lives_does_not_prove_its_answer_whole)
{
    run_end end = makeAgreement();
    BOOST_TEST((proofOf(end) == answer_proof::agreement));
    end.isConfirmed = false;
    BOOST_TEST(!isProven(end));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_is_declared_to_end_only_whole_answers_has_to_live)
{
    run_end end;
    end.hasWholeRequest = true;
    end.isDeclared = true;
    BOOST_TEST(!isProven(end));
    end.hasOutlived = true;
    BOOST_TEST((proofOf(end) == answer_proof::declaration));
    end.mayBeFramed = true;
    BOOST_TEST(!isProven(end));
}

/// The end of an answer whose head named the close, of an upstream that answers calls afterwards.
run_end makeAnnouncement()
{
    run_end end = makeAgreement();
    end.isConfirmed = false;
    end.isAnnounced = true;
    return end;
}

// Sound answers without a length, of what may run once, never reached their callers whole.
BOOST_AUTO_TEST_CASE(an_announced_end_of_an_upstream_that_lives_on_is_whole)
{
    run_end end = makeAnnouncement();
    BOOST_TEST((proofOf(end) == answer_proof::announcement));
    end.mayBeFramed = true;
    BOOST_TEST((proofOf(end) == answer_proof::announcement));
    end.isAnnounced = false;
    BOOST_TEST(!isProven(end));
}

BOOST_AUTO_TEST_CASE(an_announced_end_that_has_another_cause_is_not_whole)
{
    const auto isProvenWith = [](const std::function<void(run_end &)> &change) {
        run_end end = makeAnnouncement();
        change(end);
        return isProven(end);
    };
    BOOST_TEST(isProvenWith([](run_end &) {}));
    BOOST_TEST(!isProvenWith([](run_end &end) { end.hasOutlived = false; }));
    BOOST_TEST(!isProvenWith([](run_end &end) { end.isLeaving = true; }));
    BOOST_TEST(!isProvenWith([](run_end &end) { end.hasWholeRequest = false; }));
    BOOST_TEST(!isProvenWith([](run_end &end) { end.timeLeft = milliseconds(999); }));
    BOOST_TEST(isProvenWith([](run_end &end) { end.longestUnread = end.expectedWait; }));
    BOOST_TEST(!isProvenWith([](run_end &end) { end.longestUnread = milliseconds(501); }));
}

BOOST_AUTO_TEST_CASE(a_second_end_that_the_deadline_may_have_caused_agrees_with_none)
{
    run_end end = makeAgreement();
    end.timeLeft = milliseconds(999);
    BOOST_TEST(!isProven(end));
    end.timeLeft = seconds(1);
    BOOST_TEST(isProven(end));
    end.expectedWait = milliseconds(1001);
    BOOST_TEST(!isProven(end));
}

BOOST_AUTO_TEST_CASE(a_second_end_at_an_upstream_that_dies_or_leaves_agrees_with_none)
{
    run_end killed = makeAgreement();
    killed.hasOutlived = false;
    BOOST_TEST(!isProven(killed));
    run_end leaving = makeAgreement();
    leaving.isLeaving = true;
    BOOST_TEST(!isProven(leaving));
}

// Two upstreams that both ended an answer without reading the rest of a long upload agreed.
BOOST_AUTO_TEST_CASE(an_end_before_the_whole_request_was_sent_proves_nothing_without_framing)
{
    run_end agreed = makeAgreement();
    agreed.hasWholeRequest = false;
    BOOST_TEST(!isProven(agreed));
    agreed.isDeclared = true;
    BOOST_TEST(!isProven(agreed));
    agreed.isFramed = true;
    BOOST_TEST((proofOf(agreed) == answer_proof::framing));
}

// Two upstreams that were replaced one after the other ended a stream behind the same event.
BOOST_AUTO_TEST_CASE(ends_are_confirmed_by_an_upstream_that_served_the_stream_again)
{
    const auto isConfirmedAt
        = [](const std::vector<std::uint64_t> &upstreams) { return confirmEachOther(upstreams); };
    BOOST_TEST(!isConfirmedAt({}));
    BOOST_TEST(!isConfirmedAt({1, 2}));
    BOOST_TEST(!isConfirmedAt({1, 2, 3}));
    BOOST_TEST(!isConfirmedAt({1, 1, 1}));
    BOOST_TEST(isConfirmedAt({1, 2, 1}));
    BOOST_TEST(isConfirmedAt({1, 2, 2}));
    BOOST_TEST(isConfirmedAt({1, 1, 2}));
}

// Two upstreams may be killed at the same event, so where others send an end, that is needed. A
// host that knows too little of the service may just not have seen one.
BOOST_AUTO_TEST_CASE(a_second_end_proves_nothing_where_the_service_may_send_ends_of_its_own)
{
    const auto isProvenAfter = [](const stream_framing_history &history) {
        run_end end = makeAgreement();
        end.mayBeFramed = mayFrameStreams(history, now);
        return isProven(end);
    };
    BOOST_TEST(isProvenAfter({{}, 4}));
    BOOST_TEST(!isProvenAfter({}));
    BOOST_TEST(!isProvenAfter({{}, 3}));
    BOOST_TEST(!isProvenAfter({now - seconds(9), 9}));
    BOOST_TEST(isProvenAfter({now - seconds(60), 9}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
