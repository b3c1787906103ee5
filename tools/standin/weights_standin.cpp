#include "standin/rate_limit.h"
#include "standin/role.h"

#include <boost/asio.hpp>
#include <boost/json/object.hpp>

#include <map>

namespace quincefall::standin {
namespace {

namespace json = boost::json;

constexpr std::string_view weightsPrefix = "/weights/";

class weights_standin
{
public:
    weights_standin(boost::asio::io_context &context, const role_options &options)
        : m_context(context)
        , m_transferTime(options.transferTime)
        , m_limit(options.transfersPerSecond, 1)
    {
    }

    boost::asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange);

private:
    boost::asio::awaitable<void> transfer(std::shared_ptr<http_exchange> exchange);

    boost::asio::io_context &m_context;
    milliseconds m_transferTime;
    rate_limit m_limit;
    std::map<std::string, std::int64_t> m_transfers; ///< By "model/version".
    std::int64_t m_refused = 0;
};

boost::asio::awaitable<void> weights_standin::handle(std::shared_ptr<http_exchange> exchange)
{
    if (exchange->path() == "/admin/transfers") {
        json::object transfers;
        for (const auto &[name, count] : m_transfers)
            transfers[name] = count;
        json::value body{{"transfers", std::move(transfers)}, {"refused", m_refused}};
        co_await exchange->reply(200, std::move(body));
    } else if (exchange->path().starts_with(weightsPrefix)) {
        co_await transfer(exchange);
    } else {
        json::value body{{"error", "unknown path"}};
        co_await exchange->reply(404, std::move(body));
    }
}

boost::asio::awaitable<void> weights_standin::transfer(std::shared_ptr<http_exchange> exchange)
{
    const std::string name(exchange->path().substr(weightsPrefix.size()));
    if (!m_limit.tryTake(std::chrono::steady_clock::now())) {
        ++m_refused;
        json::value body{{"error", "transfer rate limit exceeded"}};
        std::vector<http_header> headers{{"Retry-After", "1"}};
        co_await exchange->reply(429, std::move(body), std::move(headers));
        co_return;
    }
    ++m_transfers[name];
    boost::asio::steady_timer timer(m_context, m_transferTime);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    json::value body{{"weights", name}};
    co_await exchange->reply(200, std::move(body));
}

} // namespace

http_server::handler makeWeightsStandin(boost::asio::io_context &context, http_server &,
                                        const role_options &options)
{
    auto role = std::make_shared<weights_standin>(context, options);
    return [role](std::shared_ptr<http_exchange> exchange) {
        return role->handle(std::move(exchange));
    };
}

} // namespace quincefall::standin
