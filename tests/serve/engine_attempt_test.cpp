#include "serve/engine_attempt.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
const std::string events = "id: 1\ndata: {\"id\":\"r\",\"choices\":[{\"index\":0,\"delta\":"
                           "{\"content\":\"A\"},\"finish_reason\":null}]}\n\n"
                           "id: 1\ndata: {\"id\":\"r\",\"choices\":[{\"index\":0,\"delta\":{},"
                           "\"finish_reason\":\"stop\"}]}\n\n";
const std::string endMark = "data: [DONE]\n\n";

struct attempt_end
{
    engine_outcome outcome;
    bool isComplete = false;
};

asio::awaitable<void> serve(tcp::acceptor &acceptor, const std::string &answer)
{
    while (true) {
        auto [code, socket] = co_await acceptor.async_accept(asTuple);
        if (code)
            co_return;
        std::string received;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                        asTuple);
        co_await asio::async_write(socket, asio::buffer(answer), asTuple);
    }
}

/// Runs an attempt at the engine that @p acceptor accepts connections for.
attempt_end runAttempt(asio::io_context &context, const tcp::acceptor &acceptor,
                       http_client &client)
{
    engine_call call;
    call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.requestId = "r";
    call.attemptId = "a";
    const auto stream = std::make_shared<answer_stream>(context.get_executor());
    stream->assembly = makeAnswerAssembly("r", 0);
    attempt_end end;
    asio::co_spawn(context, runEngineAttempt(client, makeSystemClock(), call, stream),
                   [&](std::exception_ptr failure, engine_outcome outcome) {
                       BOOST_TEST(!failure);
                       end.outcome = std::move(outcome);
                       context.stop();
                   });
    context.restart();
    context.run();
    end.isComplete = stream->assembly.isComplete;
    return end;
}

/// Runs an attempt at an engine that lives, sends @p body without a length and closes its
/// connection in good order.
attempt_end runAttempt(const std::string &body)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n" + body;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(context, serve(acceptor, answer), asio::detached);
    const auto client = http_client::makeHttpClient(context);
    return runAttempt(context, acceptor, *client);
}

/// Answers the first request on its connection with @p first, and further ones with copies of it.
asio::awaitable<void> serveCopies(tcp::socket socket, std::string first)
{
    while (true) {
        std::string received;
        const auto [code, size] = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(received), "\r\n\r\n", asTuple);
        if (code)
            co_return;
        co_await asio::async_write(socket, asio::buffer(first), asTuple);
    }
}

/// Refuses on the first connection. Answers on the others.
asio::awaitable<void> serveAfterRefusal(tcp::acceptor &acceptor, std::string refusal)
{
    std::string first = std::move(refusal);
    while (true) {
        auto [code, socket] = co_await acceptor.async_accept(asTuple);
        if (code)
            co_return;
        asio::co_spawn(acceptor.get_executor(), serveCopies(std::move(socket), std::move(first)),
                       asio::detached);
        const std::string body = events + endMark;
        first = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
}

BOOST_AUTO_TEST_SUITE(engine_attempt_tests)

// Guards against a chat answer that passes for whole, since only its end mark proves it.
BOOST_AUTO_TEST_CASE(a_chat_answer_that_its_connection_ended_before_its_mark_is_not_whole)
{
    const std::string whole = events + endMark;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const attempt_end end = runAttempt(whole.substr(0, size));
        BOOST_TEST(!end.isComplete, size);
        BOOST_REQUIRE(end.outcome.failure.has_value());
        BOOST_TEST(int(end.outcome.failure->code) == int(result_code::streamIncomplete), size);
        BOOST_TEST(end.outcome.usage.failed, size);
    }
}

// The mark is an end that the engine has named.
BOOST_AUTO_TEST_CASE(a_chat_answer_that_its_connection_ended_behind_its_mark_is_whole)
{
    const attempt_end end = runAttempt(events + endMark);
    BOOST_TEST(end.isComplete);
    BOOST_TEST(!end.outcome.failure.has_value());
    BOOST_TEST(!end.outcome.usage.failed);
}

// The copy of a refusal was taken for the promise that a later attempt on the connection did not
// run.
BOOST_AUTO_TEST_CASE(a_chat_attempt_is_not_refused_by_the_copy_of_an_earlier_refusal)
{
    for (const std::string start : {"HTTP/1.1 503 X", "HTTP/1.1 429 X", "HTTP/1.1 409 X"}) {
        const std::string refusal = start + "\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n";
        asio::io_context context;
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        asio::co_spawn(context, serveAfterRefusal(acceptor, refusal), asio::detached);
        const auto client = http_client::makeHttpClient(context);
        const attempt_end first = runAttempt(context, acceptor, *client);
        BOOST_TEST((first.outcome.isEngineOverloaded || first.outcome.isRequestRejected), start);
        const attempt_end second = runAttempt(context, acceptor, *client);
        BOOST_TEST(!second.outcome.isEngineOverloaded, start);
        BOOST_TEST(!second.outcome.isRequestRejected, start);
        BOOST_TEST(second.isComplete, start);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
