#include "clients/host_list_client.h"
#include "observe/timeline.h"
#include "peer.pb.h"
#include "peer/byte_mutation.h"
#include "peer/heartbeat_service.h"
#include "peer/http2_session.h"
#include "peer/mesh_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <google/protobuf/stubs/logging.h>

using namespace quincefall;
using namespace quincefall::testing;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t seed = 20261203;
constexpr int sessionCount = 3000;
constexpr std::size_t outputLimit = 1U << 20;
constexpr const char *validAuthorization = "Bearer right";

/// The first bytes that a client sends, with calls of several sizes.
std::string clientBytes(random_source &random)
{
    auto client = http2_session::makeHttp2Session(http2_session::role::client, {}).value();
    for (std::size_t calls = 1 + pick(random, 3); calls > 0; --calls)
        client->submitRequest(
            {"/path", validAuthorization, randomBytes(random, pick(random, 300))});
    if (pick(random, 3) == 0)
        client->ping();
    if (pick(random, 3) == 0)
        client->reset(1);
    std::string bytes;
    BOOST_REQUIRE(client->takeOutput(bytes, outputLimit).has_value());
    return bytes;
}

/// A frame with a valid header and a random payload.
std::string randomFrame(random_source &random)
{
    const std::size_t size = pick(random, 40);
    std::string frame(9, '\0');
    frame[2] = static_cast<char>(size);
    frame[3] = static_cast<char>(pick(random, 11));
    frame[4] = static_cast<char>(pick(random, 255));
    frame[8] = static_cast<char>(pick(random, 7));
    return frame + randomBytes(random, size);
}

/// A server session that answers every call with its body.
struct echoing_session
{
    std::unique_ptr<http2_session> server;
    std::size_t answered = 0;

    echoing_session()
    {
        http2_session::events events;
        events.authorize
            = [](std::string_view authorization) { return authorization == validAuthorization; };
        events.onRequest = [this](http2_session::stream_id stream, http2_request request) {
            ++answered;
            server->submitResponse(stream, {200, 0, {}, std::move(request.body)});
        };
        server = http2_session::makeHttp2Session(http2_session::role::server, events).value();
    }

    /// Feeds @p bytes in chunks; stops where a connection would be closed.
    void feed(random_source &random, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const std::size_t size = std::min(bytes.size(), 1 + pick(random, 400));
            const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
            if (!server->feed({first, size}))
                return;
            std::string output;
            if (!server->takeOutput(output, outputLimit) || server->isFinished())
                return;
            BOOST_REQUIRE(output.size() < outputLimit);
            bytes.remove_prefix(size);
        }
    }
};

wire::Heartbeat makeHeartbeat(std::uint64_t sequence)
{
    wire::Heartbeat heartbeat;
    heartbeat.set_host("b");
    heartbeat.set_incarnation(5);
    heartbeat.set_sequence(sequence);
    heartbeat.set_config_offset(7);
    heartbeat.add_suspected("c");
    return heartbeat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_input_test)

BOOST_AUTO_TEST_CASE(mutatedSessionsEndInAnAnswerOrAnError)
{
    random_source random(seed);
    std::size_t answered = 0;
    for (int number = 0; number < sessionCount; ++number) {
        echoing_session session;
        session.feed(random, mutate(random, clientBytes(random)));
        answered += session.answered;
    }
    // The mutations leave some calls intact, so both outcomes are covered.
    BOOST_TEST(answered > 0U);
}

BOOST_AUTO_TEST_CASE(randomBytesAndFramesEndInAnError)
{
    random_source random(seed);
    for (int number = 0; number < sessionCount; ++number) {
        echoing_session session;
        session.feed(random, randomBytes(random, pick(random, 500)));
        BOOST_TEST(session.answered == 0U);
    }
    for (int number = 0; number < sessionCount; ++number) {
        echoing_session session;
        std::string bytes = clientBytes(random);
        for (std::size_t frames = 1 + pick(random, 20); frames > 0; --frames)
            bytes += randomFrame(random);
        session.feed(random, bytes);
    }
}

BOOST_AUTO_TEST_CASE(meshClosesMalformedConnectionsAndServesOthers)
{
    asio::io_context context;
    const auto a = makeMesh(context, "a");
    const auto b = makeMesh(context, "b");
    a->setAddress("b", {"127.0.0.1", b->port()});
    b->handle("/echo",
              [](std::string body) -> asio::awaitable<result<std::string>> { co_return body; });
    random_source random(seed);
    for (int number = 0; number < 50; ++number) {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), b->port()});
        asio::write(socket, asio::buffer(randomBytes(random, 200)));
        std::string received;
        bool closed = false;
        asio::async_read(socket, asio::dynamic_buffer(received),
                         [&closed](const boost::system::error_code &ended, std::size_t) {
                             closed = bool(ended);
                         });
        runUntil(context, [&closed] { return closed; });
    }
    BOOST_TEST(callAndWait(context, *a, "b", "/echo", "fine").value() == "fine");
}

BOOST_AUTO_TEST_CASE(heartbeatServiceSurvivesMalformedHeartbeats)
{
    asio::io_context context;
    const auto mesh = makeMesh(context, "a");
    const auto events = timeline::makeTimeline("a", makeSystemClock(), 100);
    const auto heartbeats = heartbeat_service::makeHeartbeatService(
        {context, *mesh, *events, makeSystemClock()}, {"a", 1, {}});
    heartbeats->start();
    const std::vector<listed_host> list{{"a", true, {}, {}, {}, false},
                                        {"b", true, {"127.0.0.1", 9}, {}, {}, false}};
    heartbeats->setHostList(list);
    const google::protobuf::LogSilencer quiet;
    random_source random(seed);
    int rejected = 0;
    for (int number = 0; number < sessionCount; ++number) {
        const std::string body = number % 2 == 0
            ? randomBytes(random, pick(random, 60))
            : mutate(random, makeHeartbeat(std::uint64_t(number)).SerializeAsString());
        const auto answer = callAndWait(context, *mesh, "a", "/beat", body);
        const int code = codeOf(answer);
        BOOST_REQUIRE((code == 0 || code == static_cast<int>(result_code::messageInvalid)));
        rejected += answer ? 0 : 1;
    }
    BOOST_TEST(rejected > 0);
    BOOST_TEST(rejected < sessionCount);
    BOOST_TEST(heartbeats->owners().front() == "a");
    // A forged heartbeat with the highest incarnation does not lock the host out for good.
    wire::Heartbeat forged = makeHeartbeat(1);
    forged.set_incarnation(~std::uint64_t{});
    forged.set_leaving(true);
    callAndWait(context, *mesh, "a", "/beat", forged.SerializeAsString());
    BOOST_TEST((heartbeats->stateOf("b") == host_state::leaving));
    std::uint64_t sequence = 1000000;
    runUntil(context, [&] {
        callAndWait(context, *mesh, "a", "/beat", makeHeartbeat(++sequence).SerializeAsString());
        return heartbeats->stateOf("b") == host_state::live;
    });
}

BOOST_AUTO_TEST_SUITE_END()
