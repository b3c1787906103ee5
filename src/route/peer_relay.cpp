#include "route/peer_relay.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"
#include "observe/log_setup.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view ageField = "X-Known-Age-Ms"; // Age of the answering host's knowledge.
constexpr int statusOk = 200;
constexpr int statusNoContent = 204; // Nothing newer is known.
constexpr int statusUnavailable = 503;
// Without contact for this long, others are asked. A waiting read alone takes up to 2.5 s.
constexpr milliseconds askAfter{3'500};
constexpr milliseconds askInterval{700};
constexpr milliseconds askTimeout{600};
constexpr std::size_t askedAtOnce = 2;
constexpr milliseconds firstRead{1'500}; // When all hosts of a start have announced themselves.
constexpr milliseconds secondRead{4'000};

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || text.empty())
        return std::nullopt;
    return value;
}

} // namespace

asio::awaitable<void> answerDesired(http_exchange &exchange, const routing_state &routing,
                                    instant now)
{
    if (!routing.desired) {
        co_await exchange.respond(statusUnavailable, {}, "");
        co_return;
    }
    const auto age = std::chrono::ceil<milliseconds>(now - routing.desiredContact);
    std::vector<answer_header> headers;
    headers.push_back({std::string(ageField), std::to_string(age.count())});
    const auto known = wholeNumber(exchange.query("after"));
    if (known && std::uint64_t(*known) >= routing.desired->version) {
        co_await exchange.respond(statusNoContent, headers, "");
        co_return;
    }
    std::string text = routing.desiredText;
    co_await exchange.respond(statusOk, headers, std::move(text));
}

struct peer_relay::state
{
    state(asio::io_context &io, routing_state &target, state_source reader,
          host_announcement announcement, std::vector<host_address> settingsSeeds,
          clock_source clocks)
        : context(io)
        , routing(target)
        , source(std::move(reader))
        , own(std::move(announcement))
        , seeds(std::move(settingsSeeds))
        , clock(std::move(clocks))
        , client(http_client::makeHttpClient(io))
        , random(std::random_device{}())
    {
    }

    asio::io_context &context;
    routing_state &routing;
    state_source source;
    host_announcement own;
    std::vector<host_address> seeds;
    clock_source clock;
    std::unique_ptr<http_client> client;
    std::mt19937_64 random;
    std::function<void()> listener;
    bool isStopped = false;

    asio::awaitable<void> pause(microseconds time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asTuple);
    }

    asio::awaitable<void> announceOwn()
    {
        own.announced = clock.wall();
        const auto done = co_await source.announce(own);
        if (!done)
            logWarning("host not announced", {{"cause", done.error().detail}});
    }

    asio::awaitable<void> readOthers()
    {
        const auto hosts = co_await source.hosts();
        if (!hosts) {
            logWarning("hosts not read", {{"cause", hosts.error().detail}});
            co_return;
        }
        routing.arePeersKnown = true;
        const std::size_t before = routing.peers.size();
        routing.peers = liveHosts(*hosts, own.peer, clock.wall());
        if (routing.peers.size() != before)
            logInfo("hosts known", {{"others", std::to_string(routing.peers.size())}});
    }

    static asio::awaitable<void> announceAndRead(std::shared_ptr<state> self)
    {
        co_await self->announceOwn();
        co_await self->pause(firstRead);
        co_await self->readOthers();
        co_await self->pause(secondRead);
        while (!self->isStopped) {
            co_await self->readOthers();
            co_await self->pause(announceInterval);
            if (!self->isStopped)
                co_await self->announceOwn();
        }
    }

    /// Takes in what another host answered.
    void take(const host_address &peer, const http_reply &reply)
    {
        const auto age = wholeNumber(reply.header(ageField));
        if (!age)
            return;
        if (reply.status == statusOk) {
            auto desired = source.decodeDesired(reply.body);
            if (!desired) {
                logWarning("desired state of a host ignored",
                           {{"host", toString(peer)}, {"cause", desired.error().detail}});
                return;
            }
            logInfo("desired state from a host", {{"host", toString(peer)}});
            if (takeDesired(routing, std::move(*desired), reply.body, clock.now()) && listener)
                listener();
        }
        routing.desiredContact
            = std::max(routing.desiredContact, clock.now() - milliseconds(*age));
    }

    asio::awaitable<void> ask(host_address peer)
    {
        http_request request;
        const std::uint64_t known = routing.desired ? routing.desired->version : 0;
        request.target = std::string(peerDesiredPath) + "?after=" + std::to_string(known);
        const auto reply = co_await client->send(peer, std::move(request), askTimeout);
        if (reply)
            take(peer, *reply);
    }

    /// The known hosts; before they are known, those of the settings.
    std::vector<host_address> askable() const
    {
        std::vector<host_address> addresses;
        for (const host_announcement &peer : routing.peers)
            addresses.push_back(peer.peer);
        if (addresses.empty())
            std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(addresses),
                         [this](const host_address &seed) { return seed != own.peer; });
        return addresses;
    }

    static asio::awaitable<void> askWhileAway(std::shared_ptr<state> self)
    {
        while (!self->isStopped) {
            co_await self->pause(askInterval);
            const bool isKnown = self->routing.desired != nullptr;
            if (isKnown && self->clock.now() - self->routing.desiredContact < askAfter)
                continue;
            const std::vector<host_address> others = self->askable();
            std::vector<host_address> chosen;
            std::sample(others.begin(), others.end(), std::back_inserter(chosen), askedAtOnce,
                        self->random);
            for (const host_address &peer : chosen)
                co_await self->ask(peer);
        }
    }
};

std::unique_ptr<peer_relay> peer_relay::makePeerRelay(asio::io_context &context,
                                                      routing_state &target, state_source source,
                                                      host_announcement own,
                                                      std::vector<host_address> seeds,
                                                      clock_source clock)
{
    return std::unique_ptr<peer_relay>(new peer_relay(std::make_shared<state>(
        context, target, std::move(source), std::move(own), std::move(seeds), std::move(clock))));
}

peer_relay::peer_relay(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

peer_relay::~peer_relay()
{
    stop();
}

void peer_relay::onChange(std::function<void()> listener)
{
    m_state->listener = std::move(listener);
}

void peer_relay::start()
{
    asio::co_spawn(m_state->context, state::announceAndRead(m_state), asio::detached);
    asio::co_spawn(m_state->context, state::askWhileAway(m_state), asio::detached);
}

void peer_relay::stop()
{
    m_state->isStopped = true;
}

} // namespace quincefall
