#include "operate/operator_api.h"

#include "kernel/asio_headers.h"
#include "observe/timeline.h"
#include "operate/config_service.h"
#include "serve/caller_directory.h"
#include "serve/http_server.h"
#include "serve/respond.h"

#include <charconv>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view resourcePrefix = "/v1/resources/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr milliseconds publishTimeout{5000};
constexpr milliseconds writeRetryAfter{1000};

asio::awaitable<void> refuse(http_exchange &exchange, result_code code, std::string detail)
{
    problem answer{code, std::move(detail), run_state::notRun, {}};
    if (answer.code == result_code::writeUnknown)
        answer.run = run_state::unknown;
    if (answer.code == result_code::writeUnknown || answer.code == result_code::logUnavailable)
        answer.retryAfter = writeRetryAfter;
    co_await respondProblem(exchange, std::move(answer), std::string());
}

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    std::uint64_t version = 0;
    const auto [end, failure] = std::from_chars(text.begin(), text.end(), version);
    if (failure != std::errc() || end != text.end() || text.empty())
        return std::nullopt;
    return version;
}

/// Reads the change out of a PUT or DELETE of /v1/resources/{kind}/{name}.
result<config_change> readChange(const http_exchange &exchange)
{
    const std::string_view rest = exchange.path().substr(resourcePrefix.size());
    const std::size_t slash = rest.find('/');
    const auto kind = parseResourceKind(rest.substr(0, slash));
    if (!kind || slash == std::string_view::npos)
        return makeError(result_code::notFound, "expected /v1/resources/{kind}/{name}");
    config_change change;
    change.key = {*kind, std::string(rest.substr(slash + 1))};
    change.operation = std::string(exchange.header("X-Operation-Id"));
    if (change.operation.empty())
        return makeError(result_code::malformedRequest, "X-Operation-Id: the header is missing");
    change.expectedVersion = parseVersion(exchange.header("If-Match"));
    if (exchange.method() == "DELETE")
        return change;
    boost::system::error_code failure;
    const json::value body = json::parse(exchange.body(), failure);
    if (failure || !body.is_object())
        return makeError(result_code::malformedRequest, "the body is not a JSON object");
    change.spec = body.get_object();
    return change;
}

} // namespace

struct operator_api::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;

    bool isAuthorised(const http_exchange &exchange) const
    {
        const std::string_view header = exchange.header("Authorization");
        return header.starts_with(bearerPrefix)
            && equalSecrets(header.substr(bearerPrefix.size()), needs.operatorKey);
    }

    asio::awaitable<void> answerHealthy(http_exchange &exchange)
    {
        json::object body{{"healthy", true}};
        co_await respondJson(exchange, 200, std::move(body), std::string());
    }

    asio::awaitable<void> answerReady(http_exchange &exchange)
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

    asio::awaitable<void> answerTimeline(http_exchange &exchange)
    {
        timeline_filter filter;
        filter.request = exchange.query("request");
        filter.resource = exchange.query("resource");
        filter.since = std::int64_t(parseVersion(exchange.query("since")).value_or(0));
        std::string lines;
        for (const timeline_event &event : needs.events.select(filter))
            lines += toJsonLine(event) + "\n";
        const std::vector<answer_header> headers{{"Content-Type", "application/jsonl"}};
        co_await exchange.respond(200, headers, std::move(lines));
    }

    asio::awaitable<void> answerChange(http_exchange &exchange)
    {
        auto change = readChange(exchange);
        if (!change)
            co_return co_await refuse(exchange, change.error().code, change.error().detail);
        const auto outcome = co_await needs.config.publish(std::move(*change), publishTimeout);
        if (!outcome)
            co_return co_await refuse(exchange, outcome.error().code, outcome.error().detail);
        json::object body{{"operation", outcome->operation},
                          {"version", outcome->offset + 1},
                          {"offset", outcome->offset}};
        co_await respondJson(exchange, 200, std::move(body), std::string());
    }

    asio::awaitable<void> route(http_exchange &exchange)
    {
        const std::string_view path = exchange.path();
        const std::string_view method = exchange.method();
        if (path == "/timeline" && method == "GET")
            co_return co_await answerTimeline(exchange);
        if (path.starts_with(resourcePrefix) && (method == "PUT" || method == "DELETE"))
            co_return co_await answerChange(exchange);
        co_await refuse(exchange, result_code::notFound, "no such path");
    }
};

std::unique_ptr<operator_api> operator_api::makeOperatorApi(dependencies needs)
{
    return std::unique_ptr<operator_api>(
        new operator_api(std::make_shared<state>(std::move(needs))));
}

operator_api::operator_api(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

operator_api::~operator_api() = default;

asio::awaitable<void> operator_api::handle(http_exchange &exchange)
{
    const auto self = m_state;
    if (exchange.path() == "/healthz")
        co_return co_await self->answerHealthy(exchange);
    if (exchange.path() == "/readyz")
        co_return co_await self->answerReady(exchange);
    if (!self->isAuthorised(exchange))
        co_return co_await refuse(exchange, result_code::unauthenticated,
                                  "the operator key is missing or wrong");
    co_await self->route(exchange);
}

} // namespace quincefall
