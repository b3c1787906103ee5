#include "platform/store_client.h"
#include "serve/http_server.h"
#include "support/slow_link.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr double linkBytesPerSecond = 400e3;
constexpr std::size_t valueBytes = 600'000; // Takes two seconds, in base64, on this link.

/// The store's answer with the newest records: one, of zero bytes.
std::string makeNewestAnswer()
{
    return R"({"items":[{"key":"config","offset":4,"value":")"
        + std::string(valueBytes / 3 * 4, 'A') + R"("}],"more":false,"end":5})";
}

BOOST_AUTO_TEST_SUITE(slow_store_tests)

// A host on a slow link could not read a large desired state: the call ended before the answer did.
BOOST_AUTO_TEST_CASE(an_answer_that_takes_longer_than_the_store_needs_to_begin_it_is_read)
{
    asio::io_context context;
    const auto server = http_server::makeHttpServer(
        context, {{"127.0.0.1", 0}}, [](http_exchange &exchange) -> asio::awaitable<void> {
            co_await exchange.respond(200, {}, makeNewestAnswer());
        });
    BOOST_TEST_REQUIRE(server.has_value());
    const auto link = testing::slow_link::makeSlowLink(context, "127.0.0.1", (*server)->port(),
                                                       linkBytesPerSecond);
    const auto store = store_client::makeStoreClient(
        context, {"127.0.0.1", link->port()}, std::make_shared<store_epoch>(), record_size::large);
    std::optional<result<keyed_records>> answer;
    asio::co_spawn(context, store->newest("keyed.op"),
                   [&answer](const std::exception_ptr &, result<keyed_records> records) {
                       answer = std::move(records);
                   });
    while (!answer)
        context.run_one_for(seconds(10));
    BOOST_TEST_REQUIRE(answer->has_value());
    BOOST_TEST((*answer)->records.at(0).value->size() == valueBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
