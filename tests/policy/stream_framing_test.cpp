#include "policy/stream_framing.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace quincefall {
namespace {

constexpr instant now = instant{} + seconds(100);

stream_framing_history unframedHistory(int streams)
{
    stream_framing_history history;
    for (int stream = 0; stream < streams; ++stream)
        recordFraming(history, false, now);
    return history;
}

BOOST_AUTO_TEST_SUITE(stream_framing_tests)

BOOST_AUTO_TEST_CASE(a_service_frames_no_streams_once_a_few_had_no_end_of_their_own)
{
    stream_framing_history history;
    BOOST_TEST(mayFrameStreams(history, now));
    for (int stream = 0; stream < 4; ++stream)
        recordFraming(history, false, now);
    BOOST_TEST(!mayFrameStreams(history, now));
    recordFraming(history, true, now);
    recordFraming(history, false, now);
    BOOST_TEST(mayFrameStreams(history, now + seconds(59)));
}

BOOST_AUTO_TEST_CASE(a_host_that_saw_only_unframed_streams_hears_of_framed_ones)
{
    stream_framing_history seen;
    recordFraming(seen, true, now - seconds(9));
    stream_framing_history started = unframedHistory(9);
    BOOST_TEST(!mayFrameStreams(started, now));
    applyFraming(started, *framingToTell(seen, now), now);
    BOOST_TEST((framingKind(started, now) == stream_framing_kind::framed));
    // What is told of one stream again and again does not make it newer.
    for (int second = 0; second < 51; ++second)
        applyFraming(started, *framingToTell(started, now + seconds(second)),
                     now + seconds(second));
    BOOST_TEST((framingKind(started, now + seconds(51)) != stream_framing_kind::framed));
}

// Hosts would take a service for framed forever, each from what the others heard.
BOOST_AUTO_TEST_CASE(what_hosts_tell_each_other_in_turn_grows_old)
{
    stream_framing_history first;
    stream_framing_history second;
    recordFraming(first, true, now);
    instant time = now;
    for (; time < now + seconds(60); time += milliseconds(100)) {
        for (auto [from, to] : {std::pair(&first, &second), std::pair(&second, &first)}) {
            if (const auto told = framingToTell(*from, time))
                applyFraming(*to, *told, time + milliseconds(80));
        }
    }
    BOOST_TEST((framingKind(first, time) != stream_framing_kind::framed));
    BOOST_TEST((framingKind(second, time) != stream_framing_kind::framed));
}

// A host that has seen four early ends would make others believe the next ones.
BOOST_AUTO_TEST_CASE(no_host_takes_another_ones_word_that_a_service_frames_nothing)
{
    BOOST_TEST(!framingToTell(stream_framing_history{}, now).has_value());
    BOOST_TEST(!framingToTell(unframedHistory(9), now).has_value());
    stream_framing_history seen = unframedHistory(3);
    applyFraming(seen, {0, seconds(70)}, now);
    BOOST_TEST(!framingToTell(seen, now).has_value());
}

BOOST_AUTO_TEST_CASE(plain_answers_may_lack_framing_until_one_of_the_last_minute_has_it)
{
    const instant start{};
    answer_framing_history history;
    BOOST_TEST(mayLackFraming(history, start));
    BOOST_TEST(!hasLackedFraming(history, start));
    recordAnswer(history, true, start);
    BOOST_TEST(!mayLackFraming(history, start + seconds(59)));
    BOOST_TEST(mayLackFraming(history, start + seconds(60)));
    recordAnswer(history, false, start + seconds(10));
    recordAnswer(history, true, start + seconds(20));
    BOOST_TEST(mayLackFraming(history, start + seconds(21)));
    BOOST_TEST(hasLackedFraming(history, start + seconds(69)));
    BOOST_TEST(!mayLackFraming(history, start + seconds(71)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
