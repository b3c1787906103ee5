#include "standin/role.h"

#include <boost/asio.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <map>

namespace quincefall::standin {
namespace {

namespace json = boost::json;

class service_standin
{
public:
    service_standin(boost::asio::io_context &context, http_server &server,
                    const role_options &options)
        : m_context(context)
        , m_server(server)
        , m_options(options)
    {
    }

    boost::asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange);

private:
    boost::asio::awaitable<void> run(std::shared_ptr<http_exchange> exchange);
    json::value describeRuns() const;
    json::value describeLoad() const;

    boost::asio::io_context &m_context;
    http_server &m_server;
    role_options m_options;
    std::map<std::string, std::int64_t> m_runs; ///< By idempotency key.
    std::int64_t m_running = 0;
};

/// The body as JSON, or as a JSON string when it does not parse.
json::value echoOf(std::string_view body)
{
    if (body.empty())
        return nullptr;
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    return failure ? json::value(body) : parsed;
}

boost::asio::awaitable<void> service_standin::handle(std::shared_ptr<http_exchange> exchange)
{
    if (exchange->path() == "/admin/runs") {
        json::value runs = describeRuns();
        co_await exchange->reply(200, std::move(runs));
    } else if (exchange->path() == "/load" && exchange->method() == "GET") {
        json::value load = describeLoad();
        co_await exchange->reply(200, std::move(load));
    } else {
        co_await run(exchange);
    }
}

boost::asio::awaitable<void> service_standin::run(std::shared_ptr<http_exchange> exchange)
{
    const std::string key(exchange->header("Idempotency-Key"));
    // Counts the run even if the caller disconnects before the response.
    const std::int64_t number = ++m_runs[key];
    const json::value echo = echoOf(exchange->body());
    const std::string path(exchange->path());
    ++m_running;
    if (m_server.faults().runDelay.count() > 0) {
        boost::asio::steady_timer timer(m_context, m_server.faults().runDelay);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    --m_running;
    json::value answer{
        {"service", m_options.name}, {"path", path}, {"key", key}, {"run", number}, {"echo", echo}};
    co_await exchange->reply(200, std::move(answer));
}

json::value service_standin::describeRuns() const
{
    json::object runs;
    for (const auto &[key, count] : m_runs)
        runs[key] = count;
    return {{"runs", std::move(runs)}};
}

json::value service_standin::describeLoad() const
{
    return {{"running", m_running},   {"waiting", 0},       {"slots", m_options.slots},
            {"tokens_per_second", 0}, {"kv_used_share", 0}, {"age_ms", 0}};
}

} // namespace

http_server::handler makeServiceStandin(boost::asio::io_context &context, http_server &server,
                                        const role_options &options)
{
    auto role = std::make_shared<service_standin>(context, server, options);
    return [role](std::shared_ptr<http_exchange> exchange) {
        return role->handle(std::move(exchange));
    };
}

} // namespace quincefall::standin
