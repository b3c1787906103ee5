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
constexpr int sessions = 3000;
constexpr std::size_t outputLimit = 1U << 20;
constexpr const char *field = "Bearer right";

/// What a client sends first, with calls of several sizes.
std::string clientBytes(random_source &random)
{
    auto client = http2_session::makeHttp2Session(http2_session::role::client, {}).value();
    for (std::size_t calls = 1 + pick(random, 3); calls > 0; --calls)
        client->submitRequest({"/path", field, randomBytes(random, pick(random, 300))});
    if (pick(random, 3) == 0)
        client->ping();
    if (pick(random, 3) == 0)
        client->reset(1);
    std::string bytes;
    BOOST_REQUIRE(client->takeOutput(bytes, outputLimit).has_value());
    return bytes;
}

/// A frame with a valid head and a body of any kind.
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

/// A server side that answers every call with its body.
struct echoing_session
{
    std::unique_ptr<http2_session> server;
    std::size_t answered = 0;

    echoing_session()
    {
        http2_session::events events;
        events.authorize = [](std::string_view authorization) { return authorization == field; };
        events.onRequest = [this](http2_session::stream_id stream, http2_request request) {
            ++answered;
            server->submitResponse(stream, {200, 0, {}, std::move(request.body)});
        };
        server = http2_session::makeHttp2Session(http2_session::role::server, events).value();
    }

    /// Feeds @p bytes in pieces; stops where a connection would be closed.
    void feed(random_source &random, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const std::size_t size = std::min(bytes.size(), 1 + pick(random, 400));
            const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
            if (!server->feed({first, size}))
                return;
            std::string output;
            if (!server->takeOutput(output, outputLimit) || server->finished())
                return;
            BOOST_REQUIRE(output.size() < outputLimit);
            bytes.remove_prefix(size);
        }
    }
};

wire::Heartbeat makeBeat(std::uint64_t sequence)
{
    wire::Heartbeat beat;
    beat.set_host("b");
    beat.set_incarnation(5);
    beat.set_sequence(sequence);
    beat.set_config_offset(7);
    beat.add_suspected("c");
    return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_input_test)

BOOST_AUTO_TEST_CASE(mutatedSessionsEndInAnAnswerOrAnError)
{
    random_source random(seed);
    std::size_t answered = 0;
    for (int number = 0; number < sessions; ++number) {
        echoing_session session;
        session.feed(random, mutate(random, clientBytes(random)));
        answered += session.answered;
    }
    // The mutations leave some calls whole, so that both ways are taken.
    BOOST_TEST(answered > 0U);
}

BOOST_AUTO_TEST_CASE(randomBytesAndFramesEndInAnError)
{
    random_source random(seed);
    for (int number = 0; number < sessions; ++number) {
        echoing_session session;
        session.feed(random, randomBytes(random, pick(random, 500)));
        BOOST_TEST(session.answered == 0U);
    }
    for (int number = 0; number < sessions; ++number) {
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

BOOST_AUTO_TEST_CASE(malformedBeatsLeaveTheServiceWorking)
{
    asio::io_context context;
    const auto mesh = makeMesh(context, "a");
    const auto events = timeline::makeTimeline("a", makeSystemClock(), 100);
    const auto beats = heartbeat_service::makeHeartbeatService(
        {context, *mesh, *events, makeSystemClock()}, {"a", 1, {}});
    beats->start();
    const std::vector<listed_host> list{{"a", true, {}, {}, {}, false},
                                        {"b", true, {"127.0.0.1", 9}, {}, {}, false}};
    beats->setHostList(list);
    const google::protobuf::LogSilencer quiet;
    random_source random(seed);
    int refused = 0;
    for (int number = 0; number < sessions; ++number) {
        const std::string body = number % 2 == 0
            ? randomBytes(random, pick(random, 60))
            : mutate(random, makeBeat(std::uint64_t(number)).SerializeAsString());
        const auto answer = callAndWait(context, *mesh, "a", "/beat", body);
        const int code = codeOf(answer);
        BOOST_REQUIRE((code == 0 || code == static_cast<int>(result_code::messageInvalid)));
        refused += answer ? 0 : 1;
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(refused < sessions);
    BOOST_TEST(beats->owners().front() == "a");
    // A beat with a made-up high incarnation does not shut out the host for good.
    wire::Heartbeat forged = makeBeat(1);
    forged.set_incarnation(~std::uint64_t{});
    forged.set_leaving(true);
    callAndWait(context, *mesh, "a", "/beat", forged.SerializeAsString());
    BOOST_TEST((beats->stateOf("b") == host_state::leaving));
    std::uint64_t sequence = 1000000;
    runUntil(context, [&] {
        callAndWait(context, *mesh, "a", "/beat", makeBeat(++sequence).SerializeAsString());
        return beats->stateOf("b") == host_state::live;
    });
}

BOOST_AUTO_TEST_SUITE_END()
