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

std::optional<upstream_load> readLoadField(const char *value)
{
    const std::vector<http_header> fields{{"Quincefall-Server-Load", value}};
    return makePlatformWireFormat().readAnswer(200, fields).load;
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

BOOST_AUTO_TEST_CASE(an_answer_with_a_stamp_is_never_one_to_a_request_that_did_not_run)
{
    const wire_format wire = makePlatformWireFormat();
    const std::vector<http_header> fields{{"Quincefall-Not-Run", "1"},
                                          {"Quincefall-Response-Stamp", "s"}};
    for (const int status : {400, 408, 421, 429, 503}) {
        const answer_head head = wire.readAnswer(status, fields);
        BOOST_TEST(!head.wasNotRun, status);
        BOOST_TEST(!head.isMisdirected, status);
    }
}

BOOST_AUTO_TEST_CASE(an_extreme_keep_alive_does_not_overflow)
{
    const auto keepAliveOf = [](const char *value) {
        const std::vector<http_header> fields{{"Keep-Alive", value}};
        return makePlatformWireFormat().readAnswer(200, fields).keepAlive.value().count();
    };
    BOOST_TEST(keepAliveOf("timeout=9223372036854775807") > 0);
    BOOST_TEST(keepAliveOf("timeout=-9223372036854775808") == 0);
}

BOOST_AUTO_TEST_CASE(an_answer_with_two_ids_names_no_request)
{
    const wire_format wire = makePlatformWireFormat();
    for (const char *first : {"9c41", "other"}) {
        const std::vector<http_header> fields{{"Quincefall-Request-Id", first},
                                              {"Quincefall-Request-Id", "9c41"}};
        BOOST_TEST(wire.readAnswer(503, fields).requestId != "9c41", first);
    }
}

BOOST_AUTO_TEST_CASE(statuses_that_callers_take_for_not_run_are_refusals)
{
    const wire_format wire = makePlatformWireFormat();
    for (const int status : {408, 421, 429, 503})
        BOOST_TEST(wire.readAnswer(status, {}).isRefusal, status);
    for (const int status : {200, 400, 404, 425, 500, 502, 504})
        BOOST_TEST(!wire.readAnswer(status, {}).isRefusal, status);
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

BOOST_AUTO_TEST_CASE(an_event_stream_is_told_by_its_content_type)
{
    const auto read = [](std::vector<http_header> fields) {
        return makePlatformWireFormat().readAnswer(200, fields);
    };
    for (const std::string type : {"text/event-stream", "Text/Event-Stream",
                                   "text/event-stream; charset=utf-8", "text/event-stream ;a=b"}) {
        const auto head = read({{"content-type", type}});
        BOOST_TEST(head.isEventStream);
        BOOST_TEST(!head.isEncoded);
        BOOST_TEST(head.forwardedFields.size() == 1U);
    }
    for (const std::string type : {"application/json", "text/event-streams", "text/plain", ""})
        BOOST_TEST(!read({{"Content-Type", type}}).isEventStream);
    BOOST_TEST(!read({}).isEventStream);
    BOOST_TEST(read({{"Content-Encoding", "gzip"}}).isEncoded);
    BOOST_TEST(!read({{"Content-Encoding", "identity"}}).isEncoded);
}

BOOST_AUTO_TEST_CASE(a_load_of_three_figures_has_no_slowdown)
{
    const auto load = readLoadField("3,1,8");
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->running == 3U);
    BOOST_TEST(load->waiting == 1U);
    BOOST_TEST(load->slots == 8U);
    BOOST_TEST(!load->slowdown.has_value());
}

BOOST_AUTO_TEST_CASE(the_fourth_load_figure_is_the_slowdown_in_hundredths)
{
    const auto slowdownOf = [](const char *value) {
        const auto load = readLoadField(value);
        return load && load->slowdown ? *load->slowdown : -1;
    };
    BOOST_TEST(slowdownOf("3,1,8,100") == 1);
    BOOST_TEST(slowdownOf("3,1,8,250") == 2.5);
    BOOST_TEST(slowdownOf("3,1,8,40") == 0.4);
    BOOST_TEST(slowdownOf("3, 1, 8, 117.5") == 1.175);
    BOOST_TEST(slowdownOf("3,1,8,250,7") == 2.5);
    BOOST_TEST(slowdownOf("3,1,8,250,") == 2.5);
}

BOOST_AUTO_TEST_CASE(an_invalid_slowdown_does_not_cost_the_other_load_figures)
{
    for (const char *value : {"3,1,8,", "3,1,8,0", "3,1,8,-100", "3,1,8,x", "3,1,8,nan",
                              "3,1,8,inf", "3,1,8,1e999", "3,1,8,100x", "3,1,8,x,7"}) {
        const auto load = readLoadField(value);
        BOOST_REQUIRE_MESSAGE(load.has_value(), value);
        BOOST_TEST(load->running == 3U, value);
        BOOST_TEST(load->waiting == 1U, value);
        BOOST_TEST(load->slots == 8U, value);
        BOOST_TEST(!load->slowdown.has_value(), value);
    }
}

BOOST_AUTO_TEST_CASE(a_load_without_its_first_three_figures_is_ignored)
{
    for (const char *value : {"", "3", "3,1", "3,1,", ",,,100", "3,x,8,100", "-3,1,8,100"})
        BOOST_TEST(!readLoadField(value).has_value(), value);
}

BOOST_AUTO_TEST_CASE(an_upstream_says_that_it_is_leaving_with_any_status)
{
    const wire_format wire = makePlatformWireFormat();
    for (const int status : {200, 421, 500, 503}) {
        const std::vector<http_header> fields{{"server-leaving", "1"}};
        BOOST_TEST(wire.readAnswer(status, fields).isLeaving);
    }
    for (const char *value : {"", "0", "2", "yes", "-1"}) {
        const std::vector<http_header> fields{{"Server-Leaving", value}};
        BOOST_TEST(!wire.readAnswer(200, fields).isLeaving, value);
    }
    BOOST_TEST(!wire.readAnswer(200, {}).isLeaving);
}

BOOST_AUTO_TEST_CASE(a_request_for_time_is_read_in_seconds)
{
    const wire_format wire = makePlatformWireFormat();
    const auto pauseOf = [&wire](const char *value, int status = 503) {
        const std::vector<http_header> fields{{"Retry-After", value}};
        return wire.readAnswer(status, fields).pause.value_or(microseconds(-1)).count();
    };
    BOOST_TEST(pauseOf("2") == 2'000'000);
    BOOST_TEST(pauseOf(" 0.25 ") == 250'000);
    BOOST_TEST(pauseOf("1e300") == 1'000'000'000'000'000);
    BOOST_TEST(pauseOf("inf") == 1'000'000'000'000'000);
    for (const char *value :
         {"", "0", "-3", "soon", "nan", "2 s", "0x10", "Fri, 04 Dec 2026 05:00:00 GMT"})
        BOOST_TEST(pauseOf(value) == -1, value);
    BOOST_TEST(pauseOf("2", 200) == -1);
    BOOST_TEST(pauseOf("2", 429) == -1);
}

BOOST_AUTO_TEST_CASE(a_limit_is_read_as_a_decimal_number_of_requests_a_second)
{
    const wire_format wire = makePlatformWireFormat();
    const auto answerWith = [&wire](const char *value) {
        const std::vector<http_header> fields{{"Server-Limit", value}};
        return wire.readAnswer(200, fields);
    };
    BOOST_TEST((answerWith("3.5").limit == std::optional(3.5)));
    BOOST_TEST((answerWith(" 0 ").limit == std::optional(0.0)));
    for (const char *value : {"", "-1", "few", "nan", "inf", "1/s"}) {
        BOOST_TEST(!answerWith(value).limit, value);
        BOOST_TEST(answerWith(value).hasUnreadableLimit, value);
    }
    BOOST_TEST(!wire.readAnswer(200, {}).hasUnreadableLimit);
}

BOOST_AUTO_TEST_CASE(a_brittle_upstream_says_how_many_rejections_a_second_it_withstands)
{
    const wire_format wire = makePlatformWireFormat();
    const auto answerWith = [&wire](const char *value) {
        const std::vector<http_header> fields{{"server-brittle", value}};
        return wire.readAnswer(503, fields);
    };
    BOOST_TEST((answerWith("12").maxRejections == std::optional(12.0)));
    for (const char *value : {"", "-1", "few", "nan", "inf"}) {
        BOOST_TEST(!answerWith(value).maxRejections, value);
        BOOST_TEST(answerWith(value).hasUnreadableMaxRejections, value);
    }
    BOOST_TEST(!wire.readAnswer(200, {}).hasUnreadableMaxRejections);
}

BOOST_AUTO_TEST_CASE(a_keep_alive_time_that_is_out_of_range_is_limited)
{
    const auto read = [](const char *value) {
        const std::vector<http_header> fields{{"Keep-Alive", value}};
        return makePlatformWireFormat().readAnswer(200, fields).keepAlive;
    };
    BOOST_TEST((read("timeout=5, max=100") == milliseconds(5000)));
    for (const char *value : {"timeout=9223372036854775807", "timeout=9223372036854776"}) {
        BOOST_TEST_REQUIRE(read(value).has_value(), value);
        BOOST_TEST((*read(value) >= seconds(100'000)), value);
    }
    BOOST_TEST((read("timeout=-9223372036854775808") == milliseconds(0)));
    BOOST_TEST(!read("timeout=9223372036854775808").has_value());
}

// A stream went on at a process that had taken the place of the listed one.
BOOST_AUTO_TEST_CASE(a_report_names_the_start_of_its_process_or_none)
{
    const wire_format wire = makePlatformWireFormat();
    const auto startIn = [&wire](std::string_view body) { return wire.readProcessStart(body); };
    BOOST_TEST(startIn(R"({"stage":"unified","born":1700000000123})") == 1'700'000'000'123);
    for (const char *body :
         {"", "{}", "[]", "no report", R"({"born":"1700000000123"})", R"({"born":-5})",
          R"({"born":1.5})", R"({"born":1e300})", R"({"runs":{"born":1700000000123}})"})
        BOOST_TEST(startIn(body) == 0, body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
