#include "serve/chat_request.h"

#include <boost/test/unit_test.hpp>

using namespace quincefall;

BOOST_AUTO_TEST_SUITE(chat_request_test)

BOOST_AUTO_TEST_CASE(engineAlwaysStreams)
{
    const auto request
        = parseChatRequest(R"({"model":"m","messages":[{"role":"user","content":"naps"}]})");
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(!request->isStreamed);
    BOOST_TEST(request->engineBody.find(R"("stream":true)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(differentRequestsHaveDifferentDigests)
{
    const auto first = parseChatRequest(R"({"model":"m","messages":[{"content":"a"}]})");
    const auto second = parseChatRequest(R"({"model":"m","messages":[{"content":"b"}]})");
    BOOST_TEST(first->digest != second->digest);
}

BOOST_AUTO_TEST_CASE(malformedBodiesAreRejected)
{
    for (const std::string_view body :
         {"", "[]", "{}", R"({"model":1})", R"({"model":"m"})", R"({"model":"m","messages":[]})",
          R"({"model":"m","messages":[1]})", R"({"model":"m","messages":[{"content":[]}]})",
          R"({"model":"m","messages":[{"content":"x"}],"stream":"yes"})"}) {
        const auto request = parseChatRequest(body);
        BOOST_REQUIRE(!request.has_value());
        BOOST_TEST((request.error().code == result_code::malformedRequest));
    }
}

BOOST_AUTO_TEST_CASE(requestIdsHaveLimitedLengthAndCharacters)
{
    BOOST_TEST(isRequestId("mare-7_a.b"));
    for (const std::string &text : {std::string(), std::string("a b"), std::string(65, 'a')})
        BOOST_TEST(!isRequestId(text));
}

BOOST_AUTO_TEST_SUITE_END()
