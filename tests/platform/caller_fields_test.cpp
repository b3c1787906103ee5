#include "platform/wire_codec.h"

#include "support/join.h"
#include "support/served_bytes.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr int statusOk = 200;
constexpr int statusMalformed = 400;

/// Answers with the head that an engine would get.
asio::awaitable<void> answerEngineHead(http_exchange &exchange)
{
    const wire_format wire = makePlatformWireFormat();
    const auto request = wire.readRequest(exchange);
    std::string head = request ? wire.writeAttempt(*request, {}, 0) : request.error().detail;
    co_await exchange.respond(request ? statusOk : statusMalformed, {}, std::move(head));
}

std::string send(served_bytes &server, const std::string &fields)
{
    return server.receive("GET /read/1 HTTP/1.1\r\nHost: a\r\nQuincefall-Request-Id: 9c41\r\n"
                          "X-Hop: 1\r\nX-Own: 1\r\n"
                          + fields + "Connection: close\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE(caller_fields_tests)

// A caller could have its request run without an id, so that nobody could tell
// a repetition.
BOOST_AUTO_TEST_CASE(connection_may_not_name_a_field_that_the_engine_needs)
{
    served_bytes server(answerEngineHead);
    for (const std::string name :
         {"Quincefall-Request-Id", "quincefall-request-id", "Host", "Quincefall-Model",
          "Quincefall-Token-Count", "Quincefall-Prompt-Prefix", "Quincefall-Length-Hint",
          "Quincefall-Credential", "Quincefall-Deadline-Ms", "Last-Event-Id", "Resumes",
          "Content-Type", "Content-Length", "Cache-Control", "Authorization"}) {
        for (const std::string &option : {name, "X-Hop, " + name, name + "\t,x"}) {
            const std::string got = send(server, "Connection: " + option + "\r\n");
            BOOST_TEST(got.starts_with("HTTP/1.1 400 "), option << got);
        }
    }
}

// Only the first Connection field was read, and blanks were cut at the front of
// its options alone.
BOOST_AUTO_TEST_CASE(a_field_that_connection_names_reaches_no_engine)
{
    served_bytes server(answerEngineHead);
    for (const std::string fields : {
             "Connection: X-Hop\r\n",
             "Connection: keep-alive,\tX-Hop\r\n",
             "Connection: X-Hop , keep-alive\r\n",
             "Connection: X-Hop\t\r\n",
             "Connection: ,, x-hop,\r\n",
             "Connection: keep-alive\r\nConnection: X-Hop\r\n",
         }) {
        const std::string got = send(server, fields);
        BOOST_TEST(got.starts_with("HTTP/1.1 200 "), fields << got);
        BOOST_TEST(got.find("X-Hop") == std::string::npos, fields << got);
        BOOST_TEST(got.find("X-Own: 1") != std::string::npos, fields << got);
    }
}

BOOST_AUTO_TEST_CASE(a_request_without_one_host_and_one_id_is_refused)
{
    served_bytes server(answerEngineHead);
    const std::string host = "Host: a\r\n";
    const std::string id = "Quincefall-Request-Id: 9c41\r\n";
    for (const std::string &fields : {host, id, join({host, host, id}), join({host, id, id}),
                                      join({host, "Quincefall-Request-Id:\r\n"})}) {
        const std::string got
            = server.receive("GET /x HTTP/1.1\r\nConnection: close\r\n" + fields + "\r\n");
        BOOST_TEST(got.starts_with("HTTP/1.1 400 "), fields << got);
    }
}

// Fields that an engine meant for its own connection reached callers.
BOOST_AUTO_TEST_CASE(a_field_that_an_engines_connection_names_reaches_no_caller)
{
    const std::vector<http_header> fields{{"Quincefall-Request-Id", "9c41"},
                                          {"Quincefall-Response-Stamp", "s"},
                                          {"Connection", "keep-alive , X-Hop\t, Content-Type"},
                                          {"Content-Type", "text/plain"},
                                          {"X-Hop", "1"},
                                          {"X-Other", "1"},
                                          {"Connection", "x-other,Quincefall-Response-Stamp"}};
    std::string names;
    for (const auto &[name, value] :
         makePlatformWireFormat().readAnswer(statusOk, fields).forwardedFields)
        names += name + ",";
    BOOST_TEST(names == "Quincefall-Request-Id,Quincefall-Response-Stamp,Content-Type,");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
