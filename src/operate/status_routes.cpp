#include "operate/status_routes.h"

#include "kernel/asio_headers.h"
#include "operate/config_service.h"
#include "operate/operator_answers.h"
#include "operate/peer_gather.h"
#include "peer/peer_mesh.h"
#include "serve/http_server.h"
#include "serve/respond.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds statusTimeout{1000};
constexpr milliseconds progressTimeout{500};
constexpr const char *statusPath = "/operate/status";
constexpr const char *progressPath = "/operate/progress";

json::object localStatus(const operator_context &needs)
{
    json::object status{{"host", needs.hostName},
                        {"reached", true},
                        {"ready", needs.config.isReady() && !needs.isStopping()},
                        {"stopping", needs.isStopping()},
                        {"log_reachable", needs.config.isLogReachable()},
                        {"config_version", needs.config.state().next}};
    for (const status_section &section : needs.sections)
        status[section.name] = section.read();
    return status;
}

asio::awaitable<result<std::string>> onStatus(const operator_context &needs)
{
    co_return json::serialize(localStatus(needs));
}

asio::awaitable<result<std::string>> onProgress(const operator_context &needs)
{
    co_return std::to_string(needs.config.state().next);
}

json::object readStatus(const gathered_response &gathered)
{
    boost::system::error_code failure;
    json::value parsed;
    if (gathered.response)
        parsed = json::parse(*gathered.response, failure);
    if (parsed.is_object())
        return std::move(parsed.get_object());
    const std::string reason = gathered.response ? "the response of the host is not a JSON object"
                                                 : gathered.response.error().detail;
    return {{"host", gathered.host}, {"reached", false}, {"reason", reason}};
}

} // namespace

asio::awaitable<std::vector<host_progress>> gatherProgress(const operator_context &needs)
{
    const auto responses = co_await gatherFromPeers(needs.context, needs.mesh, needs.liveHosts(),
                                                    progressPath, std::string(), progressTimeout);
    std::vector<host_progress> rows;
    for (const gathered_response &gathered : responses) {
        const auto version = gathered.response ? parseVersion(*gathered.response) : std::nullopt;
        rows.push_back({gathered.host, version.has_value(), version.value_or(0)});
    }
    co_return rows;
}

void registerStatusHandlers(const operator_context &needs)
{
    needs.mesh.handle(statusPath, [&needs](std::string) { return onStatus(needs); });
    needs.mesh.handle(progressPath, [&needs](std::string) { return onProgress(needs); });
}

asio::awaitable<void> answerStatus(http_exchange &exchange, const operator_context &needs)
{
    const auto responses = co_await gatherFromPeers(needs.context, needs.mesh, needs.liveHosts(),
                                                    statusPath, std::string(), statusTimeout);
    json::array hosts;
    for (const gathered_response &gathered : responses)
        hosts.push_back(readStatus(gathered));
    json::object body{{"seen_from", needs.hostName}, {"hosts", std::move(hosts)}};
    co_await respondJson(exchange, 200, std::move(body), std::string());
}

asio::awaitable<void> answerProgress(http_exchange &exchange, const operator_context &needs)
{
    const auto rows = co_await gatherProgress(needs);
    json::array hosts;
    for (const host_progress &row : rows)
        hosts.push_back(json::object{
            {"host", row.host}, {"reached", row.hasAnswered}, {"config_version", row.version}});
    json::object body{{"hosts", std::move(hosts)}};
    co_await respondJson(exchange, 200, std::move(body), std::string());
}

} // namespace quincefall
