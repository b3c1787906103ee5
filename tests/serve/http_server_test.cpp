#include "serve/http_server.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"

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

BOOST_AUTO_TEST_SUITE(http_server_tests)

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
