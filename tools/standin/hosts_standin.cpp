#include "standin/json_fields.h"
#include "standin/role.h"

#include <boost/asio.hpp>
#include <boost/json/array.hpp>

#include <deque>

namespace quincefall::standin {
namespace {

namespace json = boost::json;

/// A host list and the time at which it was set.
struct host_list_version
{
    time_point setAt;
    json::value hosts;
};

class hosts_standin
{
public:
    explicit hosts_standin(const role_options &options)
        : m_lag(options.listLag)
    {
    }

    boost::asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange);

private:
    /// The newest list that was set at least `m_lag` ago.
    const json::value &visibleHosts();

    milliseconds m_lag;
    std::deque<host_list_version> m_history{{time_point::min(), json::array()}};
};

const json::value &hosts_standin::visibleHosts()
{
    const time_point limit = std::chrono::steady_clock::now() - m_lag;
    while (m_history.size() > 1 && m_history[1].setAt <= limit)
        m_history.pop_front();
    return m_history.front().hosts;
}

boost::asio::awaitable<void> hosts_standin::handle(std::shared_ptr<http_exchange> exchange)
{
    int status = 200;
    json::value body;
    if (exchange->path() == "/hosts" && exchange->method() == "GET") {
        body = {{"hosts", visibleHosts()}};
    } else if (exchange->path() == "/admin/hosts" && exchange->method() == "PUT") {
        const auto list = parseObject(exchange->body());
        const json::value *hosts = list ? list->if_contains("hosts") : nullptr;
        if (hosts != nullptr && hosts->is_array()) {
            m_history.push_back({std::chrono::steady_clock::now(), *hosts});
            body = {{"hosts", *hosts}};
        } else {
            status = 400;
            body = {{"error", "`hosts` must be an array"}};
        }
    } else {
        status = 404;
        body = {{"error", "unknown path"}};
    }
    co_await exchange->reply(status, std::move(body));
}

} // namespace

http_server::handler makeHostsStandin(boost::asio::io_context &, http_server &,
                                      const role_options &options)
{
    auto role = std::make_shared<hosts_standin>(options);
    return [role](std::shared_ptr<http_exchange> exchange) {
        return role->handle(std::move(exchange));
    };
}

} // namespace quincefall::standin
