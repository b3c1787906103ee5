#include "operate/operator_api.h"

#include "kernel/asio_headers.h"
#include "observe/metrics.h"
#include "operate/config_service.h"
#include "operate/operator_answers.h"
#include "operate/resource_routes.h"
#include "operate/status_routes.h"
#include "operate/timeline_routes.h"
#include "operate/watch_routes.h"
#include "serve/caller_directory.h"
#include "serve/http_server.h"
#include "serve/respond.h"

#include <array>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view resourcePath = "/v1/resources";
constexpr std::string_view operationPrefix = "/v1/operations/";
constexpr std::string_view bearerPrefix = "Bearer ";
// Which of two values counts would be a guess.
constexpr std::array<std::string_view, 3> singleFields{"Authorization", "If-Match",
                                                       "X-Operation-Id"};

asio::awaitable<void> answerHealthy(http_exchange &exchange)
{
    json::object body{{"healthy", true}};
    co_await respondJson(exchange, 200, std::move(body), std::string());
}

asio::awaitable<void> answerReady(http_exchange &exchange, const operator_context &needs)
{
    const bool isStopping = needs.isStopping();
    const bool isReady = needs.config.isReady() && !isStopping;
    std::string reason = "ready";
    if (isStopping)
        reason = "stopping";
    else if (!isReady)
        reason = needs.config.isLogReachable() ? "configuration is behind the log"
                                               : "no configuration yet: the log is unreachable";
    json::object body{{"ready", isReady}, {"reason", reason}};
    co_await respondJson(exchange, isReady ? 200 : 503, std::move(body), std::string());
}

asio::awaitable<void> answerMetrics(http_exchange &exchange, const operator_context &needs)
{
    const std::vector<response_header> headers{{"Content-Type", "text/plain; version=0.0.4"}};
    std::string body = needs.meters.render();
    co_await exchange.respond(200, headers, std::move(body));
}

asio::awaitable<void> answerDrain(http_exchange &exchange, const operator_context &needs)
{
    needs.startDrain();
    json::object body{{"host", needs.hostName}, {"draining", true}};
    co_await respondJson(exchange, 202, std::move(body), std::string());
}

bool isAuthorised(const http_exchange &exchange, const operator_context &needs)
{
    const std::string_view header = exchange.header("Authorization");
    return header.starts_with(bearerPrefix)
        && equalSecrets(header.substr(bearerPrefix.size()), needs.operatorKey);
}

asio::awaitable<void> routeGet(http_exchange &exchange, const operator_context &needs)
{
    const std::string_view path = exchange.path();
    if (path == "/timeline")
        return answerOwnTimeline(exchange, needs);
    if (path == "/v1/timeline")
        return answerFleetTimeline(exchange, needs);
    if (path == "/v1/status")
        return answerStatus(exchange, needs);
    if (path == "/v1/progress")
        return answerProgress(exchange, needs);
    if (path == "/v1/watch")
        return answerWatch(exchange, needs);
    if (path.starts_with(operationPrefix))
        return answerOperation(exchange, needs, path.substr(operationPrefix.size()));
    return refuseOperator(exchange, result_code::notFound, "no such path");
}

asio::awaitable<void> route(http_exchange &exchange, const operator_context &needs)
{
    const std::string_view path = exchange.path();
    const std::string_view method = exchange.method();
    if (path.starts_with(resourcePath))
        return answerResources(exchange, needs, path.substr(resourcePath.size()));
    if (path == "/v1/plan" && method == "POST")
        return answerPlan(exchange, needs);
    if (path == "/v1/drain" && method == "POST")
        return answerDrain(exchange, needs);
    if (method == "GET")
        return routeGet(exchange, needs);
    return refuseOperator(exchange, result_code::notFound, "no such path");
}

} // namespace

struct operator_api::state
{
    explicit state(operator_context wanted)
        : needs(std::move(wanted))
    {
    }

    operator_context needs;
};

std::unique_ptr<operator_api> operator_api::makeOperatorApi(operator_context needs)
{
    return std::unique_ptr<operator_api>(
        new operator_api(std::make_shared<state>(std::move(needs))));
}

operator_api::operator_api(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

operator_api::~operator_api() = default;

void operator_api::start()
{
    registerStatusHandlers(m_state->needs);
    registerTimelineHandler(m_state->needs);
}

void operator_api::stop()
{
}

void operator_api::addStatusSection(status_section section)
{
    m_state->needs.sections.push_back(std::move(section));
}

asio::awaitable<void> operator_api::handle(http_exchange &exchange)
{
    const auto self = m_state;
    const operator_context &needs = self->needs;
    if (exchange.path() == "/healthz")
        co_return co_await answerHealthy(exchange);
    if (exchange.path() == "/readyz")
        co_return co_await answerReady(exchange, needs);
    if (exchange.path() == "/metrics")
        co_return co_await answerMetrics(exchange, needs);
    if (const auto repeated = exchange.repeatedHeader(singleFields); !repeated.empty())
        co_return co_await refuseOperator(exchange, result_code::malformedRequest,
                                          "the field " + std::string(repeated) + " is repeated");
    if (!isAuthorised(exchange, needs))
        co_return co_await refuseOperator(exchange, result_code::unauthenticated,
                                          "the operator key is missing or wrong");
    co_await route(exchange, needs);
}

} // namespace quincefall
