#include "policy/event_split.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

std::string makeEvents(std::uint64_t first, std::uint64_t last, std::uint64_t step = 1)
{
    std::string events;
    for (std::uint64_t id = first; id <= last; id += step)
        events += "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
    return events;
}

/// A stream of which one upstream brought @p begun before it failed, and another one continues.
event_splitter continueAfter(const std::string &begun)
{
    event_splitter splitter;
    extractEvents(splitter, begun);
    beginAttempt(splitter);
    return splitter;
}

constexpr std::string_view missingFault = "events are missing before its first one";
constexpr std::string_view textFault = "it holds text that is no event";
constexpr std::string_view orderFault = "the ids of its events do not increase";

BOOST_AUTO_TEST_SUITE(event_split_tests)

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_held_back)
{
    event_splitter splitter;
    BOOST_TEST(extractEvents(splitter, "id: 1\ndata: a\n").empty());
    BOOST_TEST(extractEvents(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(splitter.pending == "id: 2\nda");
    BOOST_TEST(extractEvents(splitter, "ta: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(*splitter.lastId == 2U);
}

BOOST_AUTO_TEST_CASE(events_pass_unchanged_for_any_size_of_input)
{
    const std::string stream
        = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:3\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        event_splitter splitter;
        std::string passed;
        for (std::size_t start = 0; start < stream.size(); start += size)
            passed += extractEvents(splitter, std::string_view(stream).substr(start, size));
        BOOST_TEST(passed == stream);
        BOOST_TEST(splitter.pending.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_does_not_repeat_events)
{
    event_splitter splitter;
    extractEvents(splitter, "id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\nda");
    beginAttempt(splitter); // The first upstream failed in the middle of an event.
    BOOST_TEST(extractEvents(splitter, "id: 5\ndata: b\n\nid: 6\ndata: c\n\n")
               == "id: 6\ndata: c\n\n");
    BOOST_TEST(*splitter.firstId == 6U);
    BOOST_TEST(splitter.repeated == 1U);
}

BOOST_AUTO_TEST_CASE(an_event_without_an_id_passes)
{
    event_splitter splitter;
    BOOST_TEST(extractEvents(splitter, "data: x\n\nid: none\n\n") == "data: x\n\nid: none\n\n");
    BOOST_TEST(!splitter.lastId.has_value());
}

BOOST_AUTO_TEST_CASE(a_gap_at_the_seam_is_a_fault)
{
    event_splitter splitter = continueAfter(makeEvents(1, 3));
    BOOST_TEST(extractEvents(splitter, makeEvents(5, 8)) == "");
    BOOST_TEST(splitter.fault == missingFault);
    BOOST_TEST(extractEvents(splitter, makeEvents(4, 8)) == "");
    BOOST_TEST(*splitter.lastId == 3U);
    beginAttempt(splitter);
    BOOST_TEST(extractEvents(splitter, makeEvents(4, 5)) == makeEvents(4, 5));
}

BOOST_AUTO_TEST_CASE(a_gap_after_repeated_events_is_a_fault)
{
    event_splitter splitter = continueAfter(makeEvents(1, 3));
    BOOST_TEST(extractEvents(splitter, makeEvents(2, 3) + makeEvents(5, 8)) == "");
    BOOST_TEST(splitter.fault == missingFault);
}

BOOST_AUTO_TEST_CASE(what_follows_is_judged_by_the_steps_of_the_stream)
{
    event_splitter splitter = continueAfter(makeEvents(4, 12, 4));
    BOOST_TEST(extractEvents(splitter, makeEvents(16, 24, 4)) == makeEvents(16, 24, 4));
    beginAttempt(splitter);
    BOOST_TEST(extractEvents(splitter, makeEvents(26, 26)) == makeEvents(26, 26)); // A short end.
    beginAttempt(splitter);
    BOOST_TEST(extractEvents(splitter, makeEvents(34, 40, 4)) == "");
    BOOST_TEST(splitter.fault == missingFault);
}

BOOST_AUTO_TEST_CASE(what_follows_the_callers_event_is_judged_by_the_steps_of_the_service)
{
    step_history history;
    event_splitter known;
    extractEvents(known, makeEvents(1, 6));
    recordSteps(history, known);
    for (const std::uint64_t step : {std::uint64_t(0), largestStep(history)}) {
        event_splitter splitter;
        splitter.lastId = 12;
        beginAttempt(splitter, step);
        BOOST_TEST(extractEvents(splitter, makeEvents(12, 12)) == "");
        BOOST_TEST(extractEvents(splitter, makeEvents(15, 16))
                   == (step == 0 ? makeEvents(15, 16) : ""));
        BOOST_TEST(splitter.repeated == 1U);
    }
}

BOOST_AUTO_TEST_CASE(steps_that_no_recent_stream_had_are_forgotten)
{
    step_history history;
    event_splitter odd;
    extractEvents(odd, makeEvents(1, 41, 20));
    recordSteps(history, odd);
    event_splitter usual;
    extractEvents(usual, makeEvents(1, 3));
    recordSteps(history, usual);
    BOOST_TEST(largestStep(history) == 20U);
    for (int stream = 0; stream < 1'000; ++stream)
        recordSteps(history, usual);
    BOOST_TEST(largestStep(history) == 1U);
}

BOOST_AUTO_TEST_CASE(an_id_that_goes_back_within_a_run_is_a_fault)
{
    event_splitter splitter;
    BOOST_TEST(extractEvents(splitter, makeEvents(1, 3) + makeEvents(2, 5)) == makeEvents(1, 3));
    BOOST_TEST(splitter.fault == orderFault);
    splitter = continueAfter(makeEvents(1, 3));
    BOOST_TEST(extractEvents(splitter, makeEvents(4, 4) + makeEvents(4, 6)) == makeEvents(4, 4));
    BOOST_TEST(splitter.fault == orderFault);
    splitter = continueAfter(makeEvents(1, 9));
    BOOST_TEST(extractEvents(splitter, makeEvents(8, 8) + makeEvents(7, 12)) == "");
    BOOST_TEST(splitter.fault == orderFault);
}

BOOST_AUTO_TEST_CASE(text_that_is_no_event_stays_out_of_a_continued_stream)
{
    for (const std::string text :
         {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "engine failed\n\n",
          "{\"error\": \"failed\"}\n\n", "<html>\n\n"}) {
        event_splitter splitter = continueAfter(makeEvents(1, 3));
        BOOST_TEST(extractEvents(splitter, text + makeEvents(4, 5)) == "");
        BOOST_TEST(splitter.fault == textFault);
        splitter = continueAfter(makeEvents(1, 3));
        BOOST_TEST(extractEvents(splitter, makeEvents(4, 4) + text) == makeEvents(4, 4));
        event_splitter whole; // One run is passed on as it is.
        BOOST_TEST(extractEvents(whole, makeEvents(1, 1) + text) == makeEvents(1, 1) + text);
    }
}

BOOST_AUTO_TEST_CASE(an_event_that_has_no_place_does_not_continue_a_stream)
{
    for (const std::string first :
         {"data: 4\n\n", "id: +4\ndata: 4\n\n", "id: -4\ndata: 4\n\n",
          "id: 18446744073709551616\ndata: 4\n\n", "id: 4x\ndata: 4\n\n"}) {
        event_splitter splitter = continueAfter(makeEvents(1, 3));
        BOOST_TEST(extractEvents(splitter, first + makeEvents(5, 6)) == "");
        BOOST_TEST(!splitter.fault.empty());
    }
}

BOOST_AUTO_TEST_CASE(keep_alives_and_named_first_lines_pass_at_the_seam)
{
    const std::string rest = ": wait\n\nweight-versions: 3\nid: 4\ndata: x\n\n: wait\n\n"
        + makeEvents(5, 5) + "data: end\n\n";
    event_splitter splitter = continueAfter(makeEvents(1, 3));
    BOOST_TEST(extractEvents(splitter, rest) == rest);
    BOOST_TEST(splitter.fault == "");
    BOOST_TEST(faultOfEnd(splitter, true) == "");
    const stream_head sound{200, true, true, false};
    BOOST_TEST(faultOfContinuation(splitter, sound)
               == "the last event that was passed on has no id");
}

BOOST_AUTO_TEST_CASE(mixed_line_ends_and_byte_order_marks_pass_for_any_size_of_input)
{
    const std::string stream = "\xEF\xBB\xBFid: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n"
                               "id: 3\rdata: c\r\rid: 4\ndata: d\r\n\rid: 5\r\ndata: e\r\n\r\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        event_splitter splitter;
        std::string passed;
        for (std::size_t start = 0; start < stream.size(); start += size)
            passed += extractEvents(splitter, std::string_view(stream).substr(start, size));
        BOOST_TEST(passed == stream);
        BOOST_TEST(*splitter.firstId == 1U);
        BOOST_TEST(*splitter.lastId == 5U);
        BOOST_TEST(splitter.pending.empty());
    }
    event_splitter splitter = continueAfter(makeEvents(1, 3));
    BOOST_TEST(extractEvents(splitter, "\xEF\xBB\xBF" + makeEvents(4, 5)) == makeEvents(4, 5));
}

BOOST_AUTO_TEST_CASE(a_large_event_in_small_pieces_is_split_in_time)
{
    event_splitter splitter;
    const std::string piece = "data: x\n";
    std::string passed;
    for (int count = 0; count < 200'000; ++count)
        passed += extractEvents(splitter, piece);
    BOOST_TEST(passed.empty());
    BOOST_TEST(extractEvents(splitter, "\n").size() == piece.size() * 200'000 + 1);
}

BOOST_AUTO_TEST_CASE(an_end_inside_an_event_counts_only_for_one_run_that_is_whole)
{
    event_splitter splitter;
    extractEvents(splitter, makeEvents(1, 3) + "id: 4\nda");
    BOOST_TEST(faultOfEnd(splitter, true) == "the stream ended inside an event");
    BOOST_TEST(faultOfEnd(splitter, false) == "");
    beginAttempt(splitter);
    BOOST_TEST(faultOfEnd(splitter, false) == "it ended without an event");
    extractEvents(splitter, makeEvents(4, 4) + "id: 5\nda");
    BOOST_TEST(faultOfEnd(splitter, false) == "the stream ended inside an event");
    event_splitter takenUp;
    takenUp.lastId = 6;
    beginAttempt(takenUp);
    BOOST_TEST(faultOfEnd(takenUp, true) == "");
}

BOOST_AUTO_TEST_CASE(a_run_ends_where_an_earlier_one_did_only_if_it_brings_nothing_more)
{
    event_splitter splitter;
    extractEvents(splitter, makeEvents(1, 3));
    BOOST_TEST(!endsWhereRunEnded(splitter));
    noteUnprovenEnd(splitter);
    beginAttempt(splitter);
    // An upstream that shuts down may end a run before it brings anything.
    BOOST_TEST(!endsWhereRunEnded(splitter));
    extractEvents(splitter, ": wait\n\n" + makeEvents(2, 3));
    BOOST_TEST(faultOfEnd(splitter, true) == "");
    BOOST_TEST(endsWhereRunEnded(splitter));
    extractEvents(splitter, makeEvents(4, 4));
    BOOST_TEST(!endsWhereRunEnded(splitter));
    beginAttempt(splitter);
    BOOST_TEST(faultOfEnd(splitter, true) == "it ended without an event");
}

BOOST_AUTO_TEST_CASE(a_run_that_stops_while_it_repeats_events_ends_elsewhere)
{
    event_splitter splitter;
    extractEvents(splitter, makeEvents(1, 3));
    noteUnprovenEnd(splitter);
    beginAttempt(splitter);
    extractEvents(splitter, makeEvents(1, 2));
    BOOST_TEST(!endsWhereRunEnded(splitter));
}

// Its ids may count the tokens of events, which another upstream cuts differently.
BOOST_AUTO_TEST_CASE(a_run_that_is_asked_for_the_last_event_again_has_to_send_it)
{
    event_splitter splitter;
    extractEvents(splitter, makeEvents(3, 3) + makeEvents(6, 6) + makeEvents(9, 9));
    noteUnprovenEnd(splitter);
    BOOST_TEST((nextRunPosition(splitter) == std::optional<std::uint64_t>(6)));
    beginAttempt(splitter);
    BOOST_TEST(extractEvents(splitter, makeEvents(8, 8) + makeEvents(10, 10)) == "");
    BOOST_TEST(splitter.fault == "it does not send the last event again");
    BOOST_TEST((nextRunPosition(splitter) == std::optional<std::uint64_t>(9)));
}

BOOST_AUTO_TEST_CASE(the_last_event_is_asked_for_again_where_a_run_ended_without_a_proof)
{
    event_splitter splitter;
    BOOST_TEST((nextRunPosition(splitter) == std::nullopt));
    extractEvents(splitter, makeEvents(3, 3));
    BOOST_TEST((nextRunPosition(splitter) == std::optional<std::uint64_t>(3)));
    noteUnprovenEnd(splitter);
    BOOST_TEST((nextRunPosition(splitter) == std::nullopt)); // It was the first one.
    extractEvents(splitter, makeEvents(7, 7));
    noteUnprovenEnd(splitter);
    BOOST_TEST((nextRunPosition(splitter) == std::optional<std::uint64_t>(3)));
    event_splitter single;
    extractEvents(single, makeEvents(0, 0));
    noteUnprovenEnd(single);
    BOOST_TEST((nextRunPosition(single) == std::nullopt));
    event_splitter takenUp;
    takenUp.lastId = 6;
    noteUnprovenEnd(takenUp);
    BOOST_TEST((nextRunPosition(takenUp) == std::optional<std::uint64_t>(5)));
}

BOOST_AUTO_TEST_CASE(only_an_event_stream_continues_a_stream)
{
    event_splitter splitter = continueAfter(makeEvents(1, 3));
    BOOST_TEST(faultOfContinuation(splitter, {200, true, true, false}) == "");
    for (const int status : {204, 206, 302, 404, 500})
        BOOST_TEST(faultOfContinuation(splitter, {status, true, true, false}) != "");
    BOOST_TEST(faultOfContinuation(splitter, {200, false, true, false}) != "");
    BOOST_TEST(faultOfContinuation(splitter, {200, true, false, false}) != "");
    BOOST_TEST(faultOfContinuation(splitter, {200, true, true, true}) != "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
