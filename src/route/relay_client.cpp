#include "route/relay_client.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/url/url.hpp>

#include <memory>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Several round trips between regions.
constexpr milliseconds patience{100}; // With one host before the next one is asked, too.
// The link of a single host may be cut in the same way.
constexpr int decisiveRefusals = 2;
constexpr std::size_t maxHeadBytes = 4'096;

/// The hosts that are asked at the same time.
struct relay_race
{
    explicit relay_race(asio::io_context &context)
        : changed(context)
    {
    }

    asio::steady_timer changed; ///< Cancelled after each answer.
    std::size_t pending = 0;
    bool isOver = false;
    relay_outcome outcome;
};

bool isDecided(const relay_outcome &outcome)
{
    return outcome.connection || outcome.refusals >= decisiveRefusals;
}

std::string relayTarget(const upstream_entry &entry)
{
    boost::urls::url target;
    target.set_path(std::string(peerRelayPath));
    target.params().set("upstream", entry.id);
    target.params().set("started", std::to_string(entry.started));
    return std::string(target.buffer());
}

/// Asks for the connection; the status of the answer, 0 if there is none.
asio::awaitable<int> askRelay(pooled_connection &connection, const upstream_entry &entry,
                              const host_address &relay)
{
    http::request<http::empty_body> request(http::verb::get, relayTarget(entry), 11);
    request.set(http::field::host, toString(relay));
    request.set(http::field::connection, "Upgrade");
    request.set(http::field::upgrade, relayProtocol);
    const auto [written, size] = co_await http::async_write(connection.socket, request, asTuple);
    if (written)
        co_return 0;
    beast::flat_buffer buffer(2 * maxHeadBytes);
    http::response_parser<http::empty_body> parser;
    parser.header_limit(maxHeadBytes);
    const auto [read, count]
        = co_await http::async_read_header(connection.socket, buffer, parser, asTuple);
    const bool hasExtraBytes = buffer.size() > 0;
    const int status = int(parser.get().result_int());
    if (read || (status == int(http::status::switching_protocols) && hasExtraBytes))
        co_return 0;
    co_return status;
}

void applyAnswer(relay_race &race, const host_address &relay, int status, connection_ptr connection)
{
    --race.pending;
    if (status == int(http::status::switching_protocols)) {
        if (!race.outcome.connection) {
            race.outcome.connection = std::move(connection);
            race.outcome.relay = relay;
        }
    } else if (status == relayStatusRefused) {
        ++race.outcome.refusals;
    } else {
        race.outcome.failed.push_back(relay);
    }
    race.changed.cancel();
}

asio::awaitable<void> tryRelay(std::shared_ptr<relay_race> race,
                               std::shared_ptr<connection_pool> connections, upstream_entry entry,
                               host_address relay, milliseconds timeout)
{
    asio::steady_timer timer(connections->context(), timeout);
    auto opened = co_await connections->open(relay, timeout);
    if (!opened) {
        applyAnswer(*race, relay, 0, nullptr);
        co_return;
    }
    connection_ptr connection = std::move(*opened);
    const auto answer = co_await (askRelay(*connection, entry, relay) || timer.async_wait(asTuple));
    const int status = answer.index() == 0 ? std::get<0>(answer) : 0;
    applyAnswer(*race, relay, status, std::move(connection));
}

} // namespace

asio::awaitable<relay_outcome> openThroughRelays(std::shared_ptr<connection_pool> connections,
                                                 upstream_entry entry,
                                                 std::vector<host_address> relays,
                                                 milliseconds timeout)
{
    const auto race = std::make_shared<relay_race>(connections->context());
    const instant deadline = steadyNow() + timeout;
    for (const host_address &relay : relays) {
        const instant now = steadyNow();
        if (isDecided(race->outcome) || now >= deadline)
            break;
        ++race->pending;
        startTask(connections->context(), "relay query",
                  tryRelay(race, connections, entry, relay,
                           std::chrono::ceil<milliseconds>(deadline - now)));
        race->changed.expires_at(std::min<instant>(now + patience, deadline));
        co_await race->changed.async_wait(asTuple);
    }
    while (race->pending > 0 && !isDecided(race->outcome) && steadyNow() < deadline + patience) {
        race->changed.expires_at(deadline + patience);
        co_await race->changed.async_wait(asTuple);
    }
    co_return std::move(race->outcome);
}

} // namespace quincefall
