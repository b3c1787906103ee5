#include "peer/mesh_fixture.h"
#include "peer/tcp_relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <vector>

using namespace quincefall;
using namespace quincefall::testing;
namespace asio = boost::asio;

namespace {

/// Mesh `a` reaches mesh `b` through a relay.
struct relayed_meshes
{
    asio::io_context context;
    std::unique_ptr<peer_mesh> a;
    std::unique_ptr<peer_mesh> b;
    std::unique_ptr<tcp_relay> relay;
    std::vector<peer_mesh::reachability> changes;
    int hangCallsRunning = 0;
    int hangCallsStarted = 0;

    relayed_meshes()
    {
        const auto shorten = [](peer_mesh::options &settings) {
            settings.pingInterval = milliseconds(100);
            settings.pingTimeout = milliseconds(200);
            settings.idleTimeout = milliseconds(1000);
        };
        a = makeMesh(context, "a", shorten);
        b = makeMesh(context, "b", shorten);
        relay = std::make_unique<tcp_relay>(context, b->port());
        a->setAddress("b", {"127.0.0.1", relay->port()});
        a->onReachability([this](const std::string &, peer_mesh::reachability change) {
            changes.push_back(change);
        });
        b->handle("/echo",
                  [](std::string body) -> asio::awaitable<result<std::string>> { co_return body; });
        b->handle("/hang", [this](std::string) -> asio::awaitable<result<std::string>> {
            ++hangCallsRunning;
            ++hangCallsStarted;
            asio::steady_timer timer(context, seconds(60));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            --hangCallsRunning;
            co_return std::string();
        });
    }

    ~relayed_meshes()
    {
        a.reset();
        b.reset();
        runUntil(context, [this] { return hangCallsRunning == 0; });
    }

    std::shared_ptr<pending_answer> hang()
    {
        const int before = hangCallsStarted;
        auto pending = startCall(context, *a, "b", "/hang", "");
        runUntil(context, [&] { return hangCallsStarted > before; });
        return pending;
    }
};

using reachability = peer_mesh::reachability;

} // namespace

BOOST_FIXTURE_TEST_SUITE(stalled_connection_test, relayed_meshes)

BOOST_AUTO_TEST_CASE(idleConnectionThatAnswersPingsKeepsItsCalls)
{
    const auto pending = hang();
    // Twenty pings and their answers take longer than the idle timeout.
    const int forwardedBefore = relay->forwardedReads();
    runUntil(context, [&] {
        return relay->forwardedReads() >= forwardedBefore + 40 || pending->has_value();
    });
    BOOST_TEST(!pending->has_value());
    BOOST_TEST(relay->accepted() == 1);
}

BOOST_AUTO_TEST_CASE(callsMoveFromAStalledConnectionToANewOne)
{
    const auto pending = hang();
    relay->stallOpenConnections();
    runUntil(context, [&] { return pending->has_value(); });
    BOOST_TEST(codeOf(**pending) == number(result_code::peerUnreachable));
    BOOST_TEST(relay->accepted() == 2);
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "moved").value() == "moved");
    BOOST_TEST(relay->accepted() == 2);
    // The host was never suspected.
    BOOST_TEST((changes == std::vector{reachability::reachable}));
    // The server closes its side of the stalled connection, too.
    runUntil(context, [this] { return hangCallsRunning == 0; });
}

BOOST_AUTO_TEST_CASE(callsWithShortTimeoutsStillDetectAStalledConnection)
{
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "first").value() == "first");
    relay->stallOpenConnections();
    const auto late = callAndWait(context, *a, "b", "/echo", "", milliseconds(20));
    BOOST_TEST(codeOf(late) == number(result_code::peerTimeout));
    // The connection is replaced although no other call is made.
    runUntil(context, [this] { return relay->accepted() == 2; });
    runUntil(context, [this] { return callAndWait(context, *a, "b", "/echo", "").has_value(); });
    BOOST_TEST(relay->accepted() == 2);
}

BOOST_AUTO_TEST_CASE(hostWhoseNewConnectionsStallTooIsSuspected)
{
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "first").value() == "first");
    const auto pending = hang();
    relay->stallOpenConnections();
    relay->setStallNewConnections(true);
    runUntil(context, [&] { return pending->has_value(); });
    BOOST_TEST(codeOf(**pending) == number(result_code::peerUnreachable));
    BOOST_TEST((changes == std::vector{reachability::reachable, reachability::suspected}));
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/echo", ""))
               == number(result_code::peerUnreachable));

    relay->setStallNewConnections(false);
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "back").value() == "back");
    BOOST_TEST((changes.back() == reachability::reachable));
}

BOOST_AUTO_TEST_CASE(pingAndReconnectDistinguishStalledFromUnreachable)
{
    const auto runOperation = [this](asio::awaitable<bool> operation) {
        std::optional<bool> outcome;
        asio::co_spawn(context, std::move(operation),
                       [&outcome](const std::exception_ptr &, bool value) { outcome = value; });
        runUntil(context, [&outcome] { return outcome.has_value(); });
        return *outcome;
    };
    BOOST_TEST(!runOperation(a->ping("b"))); // There is no connection yet.
    BOOST_TEST(runOperation(a->reconnect("b")));
    BOOST_TEST(runOperation(a->ping("b")));
    relay->stallOpenConnections();
    BOOST_TEST(!runOperation(a->ping("b")));
    BOOST_TEST(runOperation(a->reconnect("b")));
    relay->stallOpenConnections();
    relay->setStallNewConnections(true);
    BOOST_TEST(!runOperation(a->ping("b")));
    BOOST_TEST(!runOperation(a->reconnect("b")));
    BOOST_TEST(!runOperation(a->ping("nobody")));
}

BOOST_AUTO_TEST_SUITE_END()
