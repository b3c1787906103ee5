#include "serve/load_poller.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds pollInterval{1000};
constexpr milliseconds reportTimeout{500};
constexpr int statusOk = 200;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

result<load_report> parseLoadReport(std::string_view upstream, std::string_view body)
{
    load_report report;
    report.upstream = std::string(upstream);
    try {
        const json::value parsed = json::parse(body);
        report.running = parsed.at("running").to_number<std::uint32_t>();
        report.waiting = parsed.at("waiting").to_number<std::uint32_t>();
        report.slots = parsed.at("slots").to_number<std::uint32_t>();
        report.tokensPerSecond = parsed.at("tokens_per_second").to_number<double>();
        report.age = milliseconds(parsed.at("age_ms").to_number<std::int64_t>());
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return report;
}

result<std::vector<cache_event>> parseCacheEvents(std::string_view upstream, std::string_view body,
                                                  std::uint64_t &next)
{
    std::vector<cache_event> events;
    try {
        const json::value parsed = json::parse(body);
        for (const json::value &row : parsed.at("events").as_array()) {
            cache_event event;
            event.upstream = std::string(upstream);
            event.sequence = row.at("seq").to_number<std::uint64_t>();
            event.prefixHash = std::stoull(std::string(row.at("prefix").as_string()), nullptr, 16);
            event.stored = row.at("action").as_string() == "stored";
            events.push_back(std::move(event));
        }
        next = parsed.at("next").to_number<std::uint64_t>();
    } catch (const std::exception &failure) {
        return makeError(result_code::messageInvalid, failure.what());
    }
    return events;
}

struct load_poller::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;
    std::map<host_address, std::uint64_t> nextSequence; ///< Next cache event to read, by address.
    bool isStopped = false;

    static asio::awaitable<void> pollCacheEvents(std::shared_ptr<state> self,
                                                 polled_upstream upstream)
    {
        http_request request;
        request.target
            = "/cache_events?from=" + std::to_string(self->nextSequence[upstream.address]);
        const auto reply
            = co_await self->needs.client.send(upstream.address, std::move(request), reportTimeout);
        if (self->isStopped || !reply || reply->status != statusOk)
            co_return;
        const auto events
            = parseCacheEvents(upstream.name, reply->body, self->nextSequence[upstream.address]);
        if (!events)
            co_return;
        for (const cache_event &event : *events)
            self->needs.onCacheEvent(upstream.pool, event);
    }

    static asio::awaitable<void> pollUpstream(std::shared_ptr<state> self, polled_upstream upstream)
    {
        http_request request;
        request.target = "/load";
        const auto reply
            = co_await self->needs.client.send(upstream.address, std::move(request), reportTimeout);
        if (self->isStopped || !reply || reply->status != statusOk)
            co_return;
        if (const auto report = parseLoadReport(upstream.name, reply->body))
            self->needs.onReport(upstream.pool, *report);
        if (upstream.isEngine)
            co_await pollCacheEvents(self, upstream);
    }

    /// Polls each upstream once per interval, with the requests spread evenly to avoid bursts.
    static asio::awaitable<void> poll(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            const auto upstreams = self->needs.upstreams();
            const microseconds step = pollInterval / std::max<std::size_t>(1, upstreams.size());
            for (const polled_upstream &upstream : upstreams) {
                if (self->isStopped)
                    co_return;
                asio::co_spawn(self->needs.context, pollUpstream(self, upstream), asio::detached);
                pause.expires_after(step);
                co_await pause.async_wait(asTuple);
            }
            if (!upstreams.empty())
                continue;
            pause.expires_after(pollInterval);
            co_await pause.async_wait(asTuple);
        }
    }
};

std::unique_ptr<load_poller> load_poller::makeLoadPoller(dependencies needs)
{
    return std::unique_ptr<load_poller>(new load_poller(std::make_shared<state>(std::move(needs))));
}

load_poller::load_poller(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

load_poller::~load_poller()
{
    stop();
}

void load_poller::start()
{
    asio::co_spawn(m_state->needs.context, state::poll(m_state), asio::detached);
}

void load_poller::stop()
{
    m_state->isStopped = true;
    m_state->needs.upstreams = [] { return std::vector<polled_upstream>(); };
}

} // namespace quincefall
