#include "serve/caller_api.h"

#include "kernel/asio_headers.h"
#include "operate/config_service.h"
#include "serve/chat_service.h"
#include "serve/http_server.h"
#include "serve/plain_call_service.h"
#include "serve/respond.h"

#include <array>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds notReadyRetryAfter{1000};
// Which of two values counts would be a guess.
constexpr std::array<std::string_view, 6> singleFields{"Authorization",   "Content-Type",
                                                       "Idempotency-Key", "Last-Event-ID",
                                                       "X-Request-Id",    "X-Service-Class"};

asio::awaitable<void> refuse(http_exchange &exchange, result_code code, const char *detail,
                             std::optional<milliseconds> retryAfter = {})
{
    problem answer{code, detail, run_state::notRun, retryAfter};
    co_await respondProblem(exchange, std::move(answer), std::string());
}

json::object modelList(const config_state &config)
{
    json::array models;
    for (const auto &[key, stored] : config.resources) {
        const auto *declared = std::get_if<model>(&stored.spec);
        if (declared == nullptr)
            continue;
        models.push_back(json::object{{"id", key.name}, {"object", "model"}});
        for (const std::string &adapter : declared->adapters)
            models.push_back(json::object{{"id", key.name + ":" + adapter}, {"object", "model"}});
    }
    return {{"object", "list"}, {"data", std::move(models)}};
}

} // namespace

struct caller_api::state
{
    explicit state(dependencies wanted)
        : needs(wanted)
    {
    }

    dependencies needs;
    caller_directory directory;

    asio::awaitable<void> route(http_exchange &exchange, caller_identity caller)
    {
        const std::string_view path = exchange.path();
        if (path == "/v1/chat/completions") {
            if (exchange.method() != "POST")
                co_return co_await refuse(exchange, result_code::methodNotAllowed, "use POST");
            co_return co_await needs.chat.handle(exchange, std::move(caller));
        }
        if (path == "/v1/models") {
            if (exchange.method() != "GET")
                co_return co_await refuse(exchange, result_code::methodNotAllowed, "use GET");
            co_return co_await respondJson(exchange, 200, modelList(needs.config.state()),
                                           std::string());
        }
        if (path.starts_with("/services/"))
            co_return co_await needs.calls.handle(exchange, std::move(caller));
        co_await refuse(exchange, result_code::notFound, "no such path");
    }
};

std::unique_ptr<caller_api> caller_api::makeCallerApi(dependencies needs)
{
    auto shared = std::make_shared<state>(needs);
    // Rebuilds the directory after each change of the configuration, while the state exists.
    const std::weak_ptr<state> watched = shared;
    needs.config.onChange([watched] {
        if (const auto self = watched.lock())
            self->directory = caller_directory::makeCallerDirectory(self->needs.config.state());
    });
    return std::unique_ptr<caller_api>(new caller_api(std::move(shared)));
}

caller_api::caller_api(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

caller_api::~caller_api() = default;

std::optional<problem> caller_api::refusalOfHead(const http_exchange &exchange) const
{
    const config_service &config = m_state->needs.config;
    if (!config.isReady() || config.state().resources.empty())
        return std::nullopt; // Answered once the request has arrived.
    const auto caller = m_state->directory.identify(
        config.state(), exchange.header("Authorization"), exchange.header("X-Service-Class"));
    if (caller)
        return std::nullopt;
    return problem{caller.error().code, caller.error().detail, run_state::notRun, std::nullopt};
}

asio::awaitable<void> caller_api::handle(http_exchange &exchange)
{
    const auto self = m_state;
    const config_service &config = self->needs.config;
    if (!config.isReady() || config.state().resources.empty())
        co_return co_await refuse(exchange, result_code::notReady,
                                  "no configuration is in force on this host yet",
                                  notReadyRetryAfter);
    if (const auto repeated = exchange.repeatedHeader(singleFields); !repeated.empty()) {
        const std::string detail = "the field " + std::string(repeated) + " is repeated";
        co_return co_await refuse(exchange, result_code::malformedRequest, detail.c_str());
    }
    auto caller
        = self->directory.identify(self->needs.config.state(), exchange.header("Authorization"),
                                   exchange.header("X-Service-Class"));
    if (!caller)
        co_return co_await refuse(exchange, caller.error().code, caller.error().detail.c_str());
    co_await self->route(exchange, std::move(*caller));
}

} // namespace quincefall
