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

/// Runs an attempt at an engine that lives, sends @p body without a length and closes its
/// connection in good order.
attempt_end runAttempt(const std::string &body)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n" + body;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(context, serve(acceptor, answer), asio::detached);
    const auto client = http_client::makeHttpClient(context);
    engine_call call;
    call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.requestId = "r";
    call.attemptId = "a";
    const auto stream = std::make_shared<answer_stream>(context.get_executor());
    stream->assembly = makeAnswerAssembly("r", 0);
    attempt_end end;
    asio::co_spawn(context, runEngineAttempt(*client, makeSystemClock(), call, stream),
                   [&](std::exception_ptr failure, engine_outcome outcome) {
                       BOOST_TEST(!failure);
                       end.outcome = std::move(outcome);
                       context.stop();
                   });
    context.run();
    end.isComplete = stream->assembly.isComplete;
    return end;
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
