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
    int hangingNow = 0;
    int hungInTotal = 0;

    relayed_meshes()
    {
        const auto shorten = [](peer_mesh::options &settings) {
            settings.silenceInterval = milliseconds(100);
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
            ++hangingNow;
            ++hungInTotal;
            asio::steady_timer timer(context, seconds(60));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            --hangingNow;
            co_return std::string();
        });
    }

    ~relayed_meshes()
    {
        a.reset();
        b.reset();
        runUntil(context, [this] { return hangingNow == 0; });
    }

    std::shared_ptr<answer> hang()
    {
        const int before = hungInTotal;
        auto pending = startCall(context, *a, "b", "/hang", "");
        runUntil(context, [&] { return hungInTotal > before; });
        return pending;
    }
};

using reachability = peer_mesh::reachability;

} // namespace

BOOST_FIXTURE_TEST_SUITE(silent_connection_test, relayed_meshes)

BOOST_AUTO_TEST_CASE(quietButLiveConnectionKeepsItsCalls)
{
    const auto pending = hang();
    // Twenty pings and their answers outlast the idle timeout.
    const int passedOn = relay->passedOn();
    runUntil(context, [&] { return relay->passedOn() >= passedOn + 40 || pending->has_value(); });
    BOOST_TEST(!pending->has_value());
    BOOST_TEST(relay->accepted() == 1);
}

BOOST_AUTO_TEST_CASE(callsMoveFromASilentConnectionToANewOne)
{
    const auto pending = hang();
    relay->silenceOpenConnections();
    runUntil(context, [&] { return pending->has_value(); });
    BOOST_TEST(codeOf(**pending) == number(result_code::peerUnreachable));
    BOOST_TEST(relay->accepted() == 2);
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "moved").value() == "moved");
    BOOST_TEST(relay->accepted() == 2);
    // The host was never suspected.
    BOOST_TEST((changes == std::vector{reachability::reachable}));
    // The server's side of the silent connection ends too.
    runUntil(context, [this] { return hangingNow == 0; });
}

BOOST_AUTO_TEST_CASE(callsThatGiveUpEarlyStillRevealASilentConnection)
{
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "first").value() == "first");
    relay->silenceOpenConnections();
    const auto late = callAndWait(context, *a, "b", "/echo", "", milliseconds(20));
    BOOST_TEST(codeOf(late) == number(result_code::peerTimeout));
    // Nobody asks meanwhile, and yet the connection is replaced.
    runUntil(context, [this] { return relay->accepted() == 2; });
    runUntil(context, [this] { return callAndWait(context, *a, "b", "/echo", "").has_value(); });
    BOOST_TEST(relay->accepted() == 2);
}

BOOST_AUTO_TEST_CASE(hostWhoseNewConnectionsAreSilentTooIsSuspected)
{
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "first").value() == "first");
    const auto pending = hang();
    relay->silenceOpenConnections();
    relay->setSwallowing(true);
    runUntil(context, [&] { return pending->has_value(); });
    BOOST_TEST(codeOf(**pending) == number(result_code::peerUnreachable));
    BOOST_TEST((changes == std::vector{reachability::reachable, reachability::suspected}));
    BOOST_TEST(codeOf(callAndWait(context, *a, "b", "/echo", ""))
               == number(result_code::peerUnreachable));

    relay->setSwallowing(false);
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "back").value() == "back");
    BOOST_TEST((changes.back() == reachability::reachable));
}

BOOST_AUTO_TEST_CASE(pingAndReconnectTellSilentFromGone)
{
    const auto ask = [this](asio::awaitable<bool> question) {
        std::optional<bool> told;
        asio::co_spawn(context, std::move(question),
                       [&told](const std::exception_ptr &, bool value) { told = value; });
        runUntil(context, [&told] { return told.has_value(); });
        return *told;
    };
    BOOST_TEST(!ask(a->ping("b"))); // There is no connection yet.
    BOOST_TEST(ask(a->reconnect("b")));
    BOOST_TEST(ask(a->ping("b")));
    relay->silenceOpenConnections();
    BOOST_TEST(!ask(a->ping("b")));
    BOOST_TEST(ask(a->reconnect("b")));
    relay->silenceOpenConnections();
    relay->setSwallowing(true);
    BOOST_TEST(!ask(a->ping("b")));
    BOOST_TEST(!ask(a->reconnect("b")));
    BOOST_TEST(!ask(a->ping("nobody")));
}

BOOST_AUTO_TEST_SUITE_END()
