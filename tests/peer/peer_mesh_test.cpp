#include "peer/peer_mesh.h"

#include "peer/http2_session.h"
#include "peer/mesh_fixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <vector>

using namespace quincefall;
using namespace quincefall::testing;
namespace asio = boost::asio;

namespace {

asio::awaitable<result<std::string>> echo(std::string body)
{
    co_return body;
}

/// Counts the calls of hangingHandler().
struct hanging_calls
{
    int started = 0;
    int cancelled = 0;
};

/// A handler that does not answer within the duration of a test unless it is cancelled.
peer_mesh::handler hangingHandler(asio::io_context &context, hanging_calls &counts)
{
    return [&context, &counts](std::string) -> asio::awaitable<result<std::string>> {
        ++counts.started;
        asio::steady_timer timer(context, seconds(60));
        const auto outcome = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (std::get<0>(outcome))
            ++counts.cancelled;
        co_return makeError(result_code::cancelled, "cancelled");
    };
}

struct two_meshes
{
    asio::io_context context;
    hanging_calls hanging;
    std::unique_ptr<peer_mesh> a = makeMesh(context, "a");
    std::unique_ptr<peer_mesh> b = makeMesh(context, "b");

    two_meshes()
    {
        a->setAddress("b", {"127.0.0.1", b->port()});
        b->setAddress("a", {"127.0.0.1", a->port()});
        b->handle("/echo", echo);
        b->handle("/hang", hangingHandler(context, hanging));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_mesh_test, two_meshes)

BOOST_AUTO_TEST_CASE(bodiesOfAllSizesAreEchoed)
{
    for (const std::size_t size : {0U, 1U, 20000U, 3000000U}) {
        std::string body(size, 'x');
        body.append(1, '\0');
        const auto answer = callAndWait(context, *a, "b", "/echo", body);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST((*answer == body));
    }
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "").value().empty());
}

BOOST_AUTO_TEST_CASE(concurrentCallsGetTheirOwnAnswers)
{
    std::vector<std::shared_ptr<pending_answer>> answers(500);
    for (int call = 0; call < 500; ++call)
        answers[call] = startCall(context, *a, "b", "/echo", std::to_string(call));
    for (int call = 0; call < 500; ++call) {
        runUntil(context, [&] { return answers[call]->has_value(); });
        BOOST_TEST((*answers[call])->value() == std::to_string(call));
    }
}

BOOST_AUTO_TEST_CASE(ownNameRunsTheHandlerDirectly)
{
    BOOST_TEST(callAndWait(context, *b, "b", "/echo", "self").value() == "self");
    BOOST_TEST(b->trafficTotals().sent == 0);
    const auto late = callAndWait(context, *b, "b", "/hang", "", milliseconds(20));
    BOOST_TEST(codeOf(late) == number(result_code::peerTimeout));
    runUntil(context, [this] { return hanging.cancelled == 1; });
}

BOOST_AUTO_TEST_CASE(handlerErrorsReachTheCaller)
{
    b->handle("/refuse", [](std::string) -> asio::awaitable<result<std::string>> {
        co_return makeError(result_code::overloaded, "full\r\nx-other: 1 \x01\xff");
    });
    b->handle("/throw", [](std::string) -> asio::awaitable<result<std::string>> {
        throw std::runtime_error("broken");
        co_return std::string();
    });
    const auto refused = callAndWait(context, *a, "b", "/refuse", "");
    BOOST_TEST(codeOf(refused) == number(result_code::overloaded));
    BOOST_TEST(refused.error().detail == "full??x-other: 1 ??");
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/throw", ""))
               == number(result_code::internal));
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/nothing", ""))
               == number(result_code::notFound));
    BOOST_TEST(codeOf(callAndWait(context, *a, "nobody", "/echo", ""))
               == number(result_code::peerUnreachable));
}

BOOST_AUTO_TEST_CASE(timedOutCallCancelsItsHandler)
{
    const auto late = callAndWait(context, *a, "b", "/hang", "", milliseconds(50));
    BOOST_TEST(codeOf(late) == number(result_code::peerTimeout));
    runUntil(context, [this] { return hanging.cancelled == 1; });
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "next").value() == "next");
}

BOOST_AUTO_TEST_CASE(cancelledCallCancelsItsHandler)
{
    asio::cancellation_signal signal;
    bool ended = false;
    asio::co_spawn(context, a->call("b", "/hang", "", seconds(60)),
                   asio::bind_cancellation_slot(
                       signal.slot(), [&](const std::exception_ptr &, const result<std::string> &) {
                           ended = true;
                       }));
    runUntil(context, [this] { return hanging.started == 1; });
    signal.emit(asio::cancellation_type::terminal);
    runUntil(context, [&] { return ended && hanging.cancelled == 1; });
}

BOOST_AUTO_TEST_CASE(wrongSecretIsRejected)
{
    int ran = 0;
    b->handle("/count", [&ran](std::string) -> asio::awaitable<result<std::string>> {
        ++ran;
        co_return std::string();
    });
    const auto stranger = makeMesh(
        context, "c", [](peer_mesh::options &settings) { settings.secret = "another secret"; });
    stranger->setAddress("b", {"127.0.0.1", b->port()});
    for (const char *body : {"", "with a body"}) {
        const auto answer = callAndWait(context, *stranger, "b", "/count", body);
        BOOST_TEST(codeOf(answer) == number(result_code::peerRejected));
    }
    const auto large = callAndWait(context, *stranger, "b", "/count", std::string(1000000, 'x'));
    BOOST_TEST(codeOf(large) == number(result_code::peerRejected));
    BOOST_TEST(ran == 0);
}

BOOST_AUTO_TEST_CASE(peerStoppedDuringACallIsUnreachableUntilItRestarts)
{
    const auto pending = startCall(context, *a, "b", "/hang", "");
    runUntil(context, [this] { return hanging.started == 1; });
    const std::uint16_t port = b->port();
    b.reset();
    runUntil(context, [&pending] { return pending->has_value(); });
    BOOST_TEST(codeOf(**pending) == number(result_code::peerUnreachable));
    runUntil(context, [this] { return hanging.cancelled == 1; });
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/echo", ""))
               == number(result_code::peerUnreachable));

    b = makeMesh(context, "b",
                 [port](peer_mesh::options &settings) { settings.listen.port = port; });
    b->handle("/echo", echo);
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "back").value() == "back");
}

BOOST_AUTO_TEST_CASE(disconnectFailsPendingCalls)
{
    const auto pending = startCall(context, *a, "b", "/hang", "");
    runUntil(context, [this] { return hanging.started == 1; });
    a->disconnect("b");
    runUntil(context, [&] { return pending->has_value() && hanging.cancelled == 1; });
    BOOST_TEST(codeOf(**pending) == number(result_code::peerUnreachable));
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "again").value() == "again");
}

BOOST_AUTO_TEST_CASE(oversizedBodiesAreRejectedInBothDirections)
{
    const std::string large(http2_session::maxBodyBytes + 1, 'x');
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/echo", large))
               == number(result_code::requestTooLarge));
    b->handle("/large",
              [&large](std::string) -> asio::awaitable<result<std::string>> { co_return large; });
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/large", ""))
               == number(result_code::internal));
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "next").value() == "next");
}

BOOST_AUTO_TEST_SUITE_END()
