#include "serve/http_server.h"

#include "support/join.h"
#include "support/served_bytes.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
const std::string follower = "GET /follower HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Answers with the names of the request's fields, as a stream below /stream, and cuts the stream
/// /stream/cut.
asio::awaitable<void> answerFieldNames(http_exchange &exchange)
{
    std::string names;
    exchange.forEachHeader(
        [&names](std::string_view name, std::string_view) { names.append(name).append(","); });
    if (!exchange.path().starts_with("/stream")) {
        co_await exchange.respond(exchange.path() == "/none" ? statusNotFound : statusOk, {},
                                  names);
        co_return;
    }
    co_await exchange.beginStream(statusOk, {});
    co_await exchange.write(names);
    if (exchange.path() == "/stream/cut")
        exchange.abort();
    else
        co_await exchange.endStream();
}

/// Answers with the status that the path ends with, and a body, as a stream below /stream.
asio::awaitable<void> answerWithBody(http_exchange &exchange)
{
    const std::string_view path = exchange.path();
    const int status = std::stoi(std::string(path.substr(path.rfind('/') + 1)));
    if (!path.starts_with("/stream")) {
        co_await exchange.respond(status, {}, "body");
        co_return;
    }
    co_await exchange.beginStream(status, {});
    co_await exchange.write("body");
    co_await exchange.endStream();
}

asio::awaitable<void> switchProtocol(http_exchange &exchange)
{
    if (asio::ip::tcp::socket *socket = co_await exchange.upgrade("own"))
        co_await asio::async_write(*socket, asio::buffer("switched", 8),
                                   asio::as_tuple(asio::use_awaitable));
}

std::string bodyOf(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? answer : answer.substr(end + 4);
}

BOOST_AUTO_TEST_SUITE(caller_head_tests)

// Tunnel data behind CONNECT, and the content that TRACE must not have, ran as requests.
BOOST_AUTO_TEST_CASE(what_follows_a_tunnel_request_is_no_request)
{
    served_bytes server(answerFieldNames);
    for (const std::string &head : {
             std::string("CONNECT /confirm/x HTTP/1.1\r\nHost: a\r\n\r\n"),
             std::string("CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n"),
             std::string("CONNECT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"),
             std::string("TRACE /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"),
             std::string("TRACE /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "0\r\n\r\n"),
         }) {
        const std::string got = server.receive(head + follower);
        BOOST_TEST(got.starts_with("HTTP/1.1 400 "), head << got);
        BOOST_TEST(got.find("HTTP/1.1", 1) == std::string::npos, head << got);
    }
    BOOST_TEST(server.targets().empty());
    const std::string traced
        = server.receive("TRACE /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(traced.starts_with("HTTP/1.1 200 "), traced);
}

// The parser joins folded lines, and another recipient may read a field in place of the fold.
BOOST_AUTO_TEST_CASE(a_folded_field_is_refused)
{
    served_bytes server(answerFieldNames);
    for (const std::string &field : {
             std::string("Transfer-Encoding:\r\n chunked"),
             std::string("Content-Length:\r\n\t4"),
             std::string("X-A: b\r\n Content-Length: 4"),
             std::string("X-A: b\r\n\tc"),
             std::string("X-A:\r\n \r\n c"),
             std::string("Host: b\r\n c"),
         }) {
        const std::string got = server.receive(
            join({"POST /x HTTP/1.1\r\n", field, "\r\nHost: a\r\n\r\n", follower}));
        BOOST_TEST(got.starts_with("HTTP/1.1 400 "), field << got);
        BOOST_TEST(got.find("HTTP/1.1", 1) == std::string::npos, field << got);
    }
    BOOST_TEST(server.targets().empty());
}

// The second line of the head came in a segment of its own and was not seen to be a fold.
BOOST_AUTO_TEST_CASE(a_fold_between_two_segments_is_refused)
{
    served_bytes server(answerFieldNames);
    const std::string head = "GET /x HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n";
    for (std::size_t cut = 1; cut < head.size(); ++cut) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.port()});
        socket.set_option(asio::ip::tcp::no_delay(true));
        asio::write(socket, asio::buffer(head.substr(0, cut)));
        std::this_thread::sleep_for(milliseconds(2));
        const std::string got = server.receive(socket, head.substr(cut), {});
        BOOST_TEST(got.starts_with("HTTP/1.1 400 "), cut << got);
    }
    BOOST_TEST(server.targets().empty());
}

// The body of an error in reply to HEAD was read as the next answer on the connection.
BOOST_AUTO_TEST_CASE(an_answer_to_head_has_no_body)
{
    served_bytes server(answerFieldNames);
    for (const std::string path : {"/x", "/none", "/stream"}) {
        const std::string got
            = server.receive(join({"HEAD ", path, " HTTP/1.1\r\nHost: a\r\n\r\n", follower}));
        BOOST_TEST(bodyOf(got).starts_with("HTTP/1.1 200 "), path << got);
    }
    const std::string refused
        = server.receive("HEAD /x HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n");
    BOOST_TEST(refused.starts_with("HTTP/1.1 400 "), refused);
    BOOST_TEST(bodyOf(refused).empty(), refused);
}

// The last chunk of an empty stream with status 204 was read as the next answer.
BOOST_AUTO_TEST_CASE(an_answer_whose_status_has_no_body_gets_none)
{
    served_bytes server(answerWithBody);
    for (const std::string path : {"/204", "/304", "/stream/204", "/stream/304"}) {
        const std::string got
            = server.receive("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
                             + "GET /200 HTTP/1.1\r\nHost: a\r\n" + "Connection: close\r\n\r\n");
        BOOST_TEST(bodyOf(got).starts_with("HTTP/1.1 200 "), path << got);
        BOOST_TEST(got.find("Transfer-Encoding") == std::string::npos, path << got);
    }
}

// Callers of HTTP/1.0 got the sizes of chunks as part of the body.
BOOST_AUTO_TEST_CASE(a_stream_to_a_caller_of_http_1_0_ends_with_its_connection)
{
    served_bytes server(answerFieldNames);
    for (const std::string fields : {"", "Connection: keep-alive\r\n"}) {
        const std::string got = server.receive(
            join({"GET /stream HTTP/1.0\r\nHost: a\r\n", fields, "\r\n", follower}));
        BOOST_TEST(got.find("Transfer-Encoding") == std::string::npos, got);
        BOOST_TEST(got.find("Connection: close") != std::string::npos, got);
        BOOST_TEST(bodyOf(got) == (fields.empty() ? "Host," : "Host,Connection,"), got);
    }
    BOOST_TEST(server.targets().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_to_a_caller_of_http_1_0_does_not_look_complete)
{
    served_bytes server(answerFieldNames);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.port()});
    const std::string request = "GET /stream/cut HTTP/1.0\r\nHost: a\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    boost::system::error_code code;
    std::array<char, 1024> piece{};
    while (!code)
        socket.read_some(asio::buffer(piece), code);
    BOOST_TEST(code == asio::error::connection_reset, code.message());
}

// A field behind the body's last chunk reached the engine as one of the head.
BOOST_AUTO_TEST_CASE(a_trailer_is_no_field_of_the_head)
{
    served_bytes server(answerFieldNames);
    for (const std::string trailer :
         {"X-Trailer: 1", "Host: b", "Quincefall-Request-Id: other", "Connection: X-Own"}) {
        const std::string got = server.receive(
            join({"POST /x HTTP/1.1\r\nHost: a\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nbody\r\n0\r\n",
                  trailer, "\r\n\r\n", follower}));
        BOOST_TEST(bodyOf(got).starts_with("Host,X-Own,Transfer-Encoding,HTTP/1.1 200"),
                   trailer << got);
    }
}

// A relay passed on what came behind a request that had not asked for one, as another protocol.
BOOST_AUTO_TEST_CASE(a_protocol_that_the_caller_does_not_name_is_not_switched_to)
{
    served_bytes server(switchProtocol);
    const std::string host = "Host: a\r\n";
    const std::string named = "Connection: Upgrade\r\nUpgrade: Own\r\n";
    const std::string switched = server.receive(join({"GET /x HTTP/1.1\r\n", host, named, "\r\n"}));
    BOOST_TEST(switched.starts_with("HTTP/1.1 101 "), switched);
    BOOST_TEST(bodyOf(switched) == "switched", switched);
    for (const std::string &request : {
             "GET /x HTTP/1.1\r\n" + host + "\r\n",
             "GET /x HTTP/1.1\r\n" + host + "Upgrade: other\r\n\r\n",
             join({"GET /x HTTP/1.0\r\n", host, named, "\r\n"}),
             join({"GET /x HTTP/1.1\r\n", host, named, "\r\n", follower}),
         }) {
        const std::string got = server.receive(request);
        BOOST_TEST(got.starts_with("HTTP/1.1 426 "), request << got);
        BOOST_TEST(got.find("HTTP/1.1", 1) == std::string::npos, request << got);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
