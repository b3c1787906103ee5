#include "serve/http_server.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"
#include "support/served_bytes.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr call_timeouts timeouts{seconds(1), seconds(1), seconds(1)};

asio::awaitable<void> answer(http_exchange &exchange)
{
    if (exchange.path() == "/fails")
        throw std::length_error("too long");
    co_await exchange.respond(200, {}, "done");
}

/// Answers with the status that the path names, as a stream below /stream/.
asio::awaitable<void> answerStatus(http_exchange &exchange)
{
    const std::string_view path = exchange.path();
    const int status = std::stoi(std::string(path.substr(path.rfind('/') + 1)));
    if (path.starts_with("/stream/")) {
        co_await exchange.beginStream(status, {});
        co_await exchange.write("part");
        co_await exchange.endStream();
    } else {
        co_await exchange.respond(status, {}, exchange.body());
    }
}

BOOST_AUTO_TEST_SUITE(http_server_tests)

BOOST_AUTO_TEST_CASE(a_status_without_a_name_reaches_the_caller)
{
    served_bytes server(answerStatus);
    for (const std::string status : {"200", "418", "425", "520", "560", "599"}) {
        for (const std::string path : {"/", "/stream/"}) {
            std::string request = "GET " + path;
            request += status;
            request += " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            const std::string got = server.receive(request);
            BOOST_TEST(got.starts_with("HTTP/1.1 " + status + " "), got);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_request_whose_length_is_ambiguous_hides_no_other_request)
{
    served_bytes server(answerStatus);
    const std::string hidden = "GET /hidden/200 HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const std::string &fields : {
             std::string("Transfer-Encoding: gzip\r\n"),
             std::string("Transfer-Encoding: identity\r\n"),
             std::string("Transfer-Encoding: chunked, identity\r\n"),
             std::string("Transfer-Encoding: chunked, chunked\r\n"),
             std::string("Transfer-Encoding: xchunked\r\n"),
             std::string("Transfer-Encoding:\r\n"),
             std::string("Transfer-Encoding: gzip, chunked\r\n"),
             std::string("Transfer-Encoding: chunked;x=1\r\n"),
             std::string("Transfer-Encoding: chun\r\n ked\r\n"),
             "Transfer-Encoding: gzip\r\n" + chunked,
             chunked + "Transfer-Encoding: gzip\r\n",
             chunked + chunked,
             chunked + length,
             length + chunked,
             length + "Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: gzip\r\n" + length,
             length + length,
             length + "Content-Length: 0\r\n",
             std::string("Transfer-Encoding : chunked\r\n"),
             std::string("Content-Length : 5\r\n"),
             std::string("Content-Length: +5\r\n"),
             std::string("Content-Length: -5\r\n"),
             std::string("Content-Length: 5,5\r\n"),
             std::string("Content-Length: 5 5\r\n"),
             std::string("Content-Length: 0x5\r\n"),
             std::string("Content-Length:\r\n"),
             std::string("Content-Length: 99999999999999999999\r\n"),
             std::string("X-A: b\nContent-Length: 5\r\n"),
             std::string("X-A: b\rContent-Length: 5\r\n"),
         }) {
        std::string request = "POST /outer/200 HTTP/1.1\r\nHost: a\r\n" + fields;
        request += "\r\n";
        request += hidden;
        const std::string got = server.receive(request);
        BOOST_TEST(got.starts_with("HTTP/1.1 400 "), fields << got);
        BOOST_TEST(got.find("HTTP/1.1", 1) == std::string::npos, fields << got);
    }
    const std::string old = server.receive("POST /outer/200 HTTP/1.0\r\nHost: a\r\n" + chunked
                                           + "Connection: keep-alive\r\n\r\n0\r\n\r\n" + hidden);
    BOOST_TEST(old.starts_with("HTTP/1.1 400 "), old);
    BOOST_TEST(server.targets().empty());
}

// The parser keeps these until it has seen their end, whatever the limit for bodies.
BOOST_AUTO_TEST_CASE(a_request_with_an_extension_or_trailer_of_many_bytes_is_refused)
{
    served_bytes server(answerStatus);
    const std::string head = "POST /200 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(300'000, 'x');
    for (const std::string &body :
         {"1;a=" + filler + "\r\nA\r\n0\r\n\r\n", "1\r\nA\r\n0\r\nX: " + filler + "\r\n\r\n"}) {
        const std::string got = server.receive(head + body);
        BOOST_TEST(got.starts_with("HTTP/1.1 4"), got.substr(0, 200));
    }
}

BOOST_AUTO_TEST_CASE(a_request_whose_length_is_plain_is_served)
{
    served_bytes server(answerStatus);
    for (const std::string &rest : {
             std::string("Content-Length: 4\r\n\r\nbody"),
             std::string("Content-Length:  4 \r\n\r\nbody"),
             std::string("Content-Length: 04\r\n\r\nbody"),
             std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
             std::string("transfer-encoding: Chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
         }) {
        const std::string got
            = server.receive("POST /a/200 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + rest);
        BOOST_TEST(got.starts_with("HTTP/1.1 200 "), rest << got);
        BOOST_TEST(got.ends_with("\r\n\r\nbody"), rest << got);
    }
}

BOOST_AUTO_TEST_CASE(a_caller_that_waits_for_100_continue_gets_it)
{
    served_bytes server(answerStatus);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.port()});
    const std::string interim = server.receive(socket,
                                               "POST /a/200 HTTP/1.1\r\nHost: a\r\n"
                                               "Content-Length: 4\r\nConnection: close\r\n"
                                               "Expect: 100-Continue\r\n\r\n",
                                               "\r\n\r\n");
    BOOST_TEST(interim == "HTTP/1.1 100 Continue\r\n\r\n");
    const std::string got = server.receive(socket, "body", {});
    BOOST_TEST(got.starts_with("HTTP/1.1 200 "), got);
    BOOST_TEST(got.ends_with("\r\n\r\nbody"), got);
}

// The connection was reset with bytes unread, which the caller met before it could read the answer.
BOOST_AUTO_TEST_CASE(a_caller_that_sends_on_gets_its_early_refusal)
{
    served_bytes server(answerStatus);
    const std::string body(1'000'000, 'x');
    const std::string tooLong = "Content-Length: 99999999\r\n\r\n";
    const std::string unframed = "Transfer-Encoding: gzip\r\n\r\n";
    for (const std::string &rest : {tooLong, unframed, "X-A: " + body}) {
        const bool isHead = rest.size() > body.size();
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.port()});
        boost::system::error_code failure;
        asio::write(socket, asio::buffer("POST /a/200 HTTP/1.1\r\nHost: a\r\n" + rest), failure);
        for (std::size_t at = 0; !isHead && !failure && at < body.size(); at += 50'000) {
            asio::write(socket, asio::buffer(body.data() + at, 50'000), failure);
            std::this_thread::sleep_for(milliseconds(1));
        }
        BOOST_TEST(!failure, failure.message());
        const std::string got = server.receive(socket, "", {});
        BOOST_TEST(got.starts_with("HTTP/1.1 4"), got);
    }
}

// The request behind the last one was dropped when the answer to that announced the close.
BOOST_AUTO_TEST_CASE(a_request_that_was_read_before_the_close_is_answered)
{
    http_server *closing = nullptr;
    served_bytes server([&closing](http_exchange &exchange) -> asio::awaitable<void> {
        if (exchange.path() == "/1")
            closing->announceClose();
        co_await exchange.respond(200, {}, std::string(exchange.path()));
    });
    closing = &server.server();
    std::string requests;
    for (const std::string path : {"/1", "/2", "/3"})
        requests += "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string got = server.receive(requests);
    BOOST_TEST(server.targets().size() == 3U);
    BOOST_TEST(got.find("Connection: close") > got.find("/2"), got);
    BOOST_TEST(got.ends_with("\r\n\r\n/3"), got);
}

BOOST_AUTO_TEST_CASE(a_request_whose_handler_throws_ends_alone)
{
    asio::io_context context;
    http_server::options options;
    options.listen = {"127.0.0.1", 0};
    auto server = http_server::makeHttpServer(context, options, answer);
    BOOST_REQUIRE(server.has_value());
    const host_address address{"127.0.0.1", (*server)->port()};
    const auto client = http_client::makeHttpClient(context);
    int failed = 0;
    int served = 0;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (const char *path : {"/fails", "/works", "/fails", "/works"}) {
                http_request request;
                request.target = path;
                const auto reply = co_await client->send(address, std::move(request), timeouts);
                failed += reply ? 0 : 1;
                served += reply && reply->status == 200 ? 1 : 0;
            }
            context.stop();
        },
        asio::detached);
    context.run();
    BOOST_TEST(failed == 2);
    BOOST_TEST(served == 2);
    BOOST_TEST((*server)->activeExchanges() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
