#include "policy/answer_assembly.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

namespace {

std::string token(int number, const std::string &id = "r1")
{
    return "id: " + std::to_string(number) + "\ndata: {\"id\":\"" + id
        + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" w" + std::to_string(number)
        + "\"},\"finish_reason\":null}]}\n\n";
}

std::string finish(int number)
{
    return "id: " + std::to_string(number)
        + "\ndata: {\"id\":\"r1\",\"choices\":[{\"index\":0,\"delta\":{},"
          "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
}

std::vector<event_outcome> addAll(answer_assembly &answer, const std::string &text)
{
    sse_reader reader;
    std::vector<event_outcome> verdicts;
    // Feeds one byte at a time, as events must not depend on how the network splits the stream.
    for (const char byte : text) {
        reader.feed(std::string_view(&byte, 1));
        sse_event event;
        while (reader.next(event))
            verdicts.push_back(addEvent(answer, event));
    }
    return verdicts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_assembly_test)

BOOST_AUTO_TEST_CASE(wholeAnswerIsComplete)
{
    auto answer = makeAnswerAssembly("r1", 0);
    addAll(answer, token(1) + token(2) + finish(2));
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(joinedContent(answer) == " w1 w2");
    BOOST_TEST(answer.text == token(1) + token(2) + finish(2));
}

BOOST_AUTO_TEST_CASE(duplicatesAndEventsOfOtherRequestsAreDropped)
{
    auto answer = makeAnswerAssembly("r1", 0);
    const auto verdicts = addAll(answer, token(1) + token(1) + token(2, "r12") + token(2));
    const std::vector expected{event_outcome::accepted, event_outcome::duplicate,
                               event_outcome::otherRequest, event_outcome::accepted};
    BOOST_TEST((verdicts == expected));
    BOOST_TEST(answer.text == token(1) + token(2));
    BOOST_TEST(answer.dropped == 2);
}

BOOST_AUTO_TEST_CASE(lostTokenOrEarlyEndMarkIsAGap)
{
    auto answer = makeAnswerAssembly("r1", 0);
    BOOST_TEST((addAll(answer, token(1) + token(3)).back() == event_outcome::gap));
    BOOST_TEST((addAll(answer, finish(2)).front() == event_outcome::gap));
    BOOST_TEST((addAll(answer, "data: [DONE]\n\n").front() == event_outcome::gap));
    BOOST_TEST(!answer.isComplete);
}

BOOST_AUTO_TEST_CASE(secondAttemptContinuesAfterTheDeliveredToken)
{
    auto answer = makeAnswerAssembly("r1", 0);
    addAll(answer, token(1) + token(2));
    addAll(answer, token(2) + token(3) + finish(3));
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(joinedContent(answer) == " w1 w2 w3");
    BOOST_TEST(offsetAfterToken(answer, 1) == token(1).size());
}

BOOST_AUTO_TEST_SUITE_END()
