#include "platform/wire_codec.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

proxied_request makeRequest()
{
    proxied_request request;
    request.id = "9c41";
    request.method = "POST";
    request.target = "/p/1?x=y";
    request.forwardedFields = {{"Host", "a.example"}, {"X-Own", "kept As sent"}};
    return request;
}

BOOST_AUTO_TEST_SUITE(wire_codec_tests)

BOOST_AUTO_TEST_CASE(an_attempt_names_its_upstream_and_the_time_left)
{
    const wire_format wire = makePlatformWireFormat();
    attempt_head attempt;
    attempt.upstreamId = "i-7";
    attempt.organisation = "stable";
    attempt.urgency = 3;
    attempt.timeLeft = milliseconds(740);
    attempt.resumeAfter = 12;
    const std::string head = wire.writeAttempt(makeRequest(), attempt, 5);
    BOOST_TEST(head
               == "POST /p/1?x=y HTTP/1.1\r\n"
                  "Host: a.example\r\n"
                  "X-Own: kept As sent\r\n"
                  "Quincefall-Deadline-Ms: 740\r\n"
                  "Quincefall-Expect-Instance: i-7\r\n"
                  "Quincefall-Request-Urgency: 3\r\n"
                  "Quincefall-Tenant: stable\r\n"
                  "Last-Event-Id: 12\r\n"
                  "Content-Length: 5\r\n"
                  "\r\n");
}

BOOST_AUTO_TEST_CASE(a_get_without_a_body_has_no_content_length)
{
    const wire_format wire = makePlatformWireFormat();
    proxied_request request = makeRequest();
    request.method = "GET";
    const std::string head = wire.writeAttempt(request, {}, 0);
    BOOST_TEST(head.find("Content-Length") == std::string::npos);
    BOOST_TEST(head.find("Tenant") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_fields_of_an_answer_are_decoded)
{
    const wire_format wire = makePlatformWireFormat();
    const std::vector<http_header> fields{{"quincefall-request-id", "9c41"},
                                          {"Quincefall-Response-Stamp", "s"},
                                          {"Quincefall-Server-Load", "3,1,8"},
                                          {"Keep-Alive", "timeout=7, max=10"},
                                          {"Connection", "keep-alive"},
                                          {"Content-Length", "4"},
                                          {"X-Own", "kept"}};
    const answer_head head = wire.readAnswer(200, fields);
    BOOST_TEST(head.requestId == "9c41");
    BOOST_TEST(head.hasRunStamp);
    BOOST_TEST(!head.wasNotRun);
    BOOST_TEST(head.load->running == 3U);
    BOOST_TEST(head.load->slots == 8U);
    BOOST_TEST(head.keepAlive->count() == 7000);
    BOOST_TEST(head.forwardedFields.size() == 4U);
    BOOST_TEST(wire.readAnswer(421, {}).isMisdirected);
    const std::vector<http_header> refused{{"Quincefall-Not-Run", "1"}};
    BOOST_TEST(wire.readAnswer(503, refused).wasNotRun);
}

BOOST_AUTO_TEST_CASE(invalid_fields_are_ignored)
{
    const wire_format wire = makePlatformWireFormat();
    const std::vector<http_header> fields{{"Quincefall-Server-Load", "3,x,8"},
                                          {"Keep-Alive", "timeout=soon"}};
    const answer_head head = wire.readAnswer(200, fields);
    BOOST_TEST(!head.load.has_value());
    BOOST_TEST(!head.keepAlive.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
