#include "operate/resource_routes.h"

#include "operate/config_service.h"
#include "operate/operator_answers.h"
#include "operate/resource_plan.h"
#include "serve/http_server.h"
#include "serve/respond.h"

#include <boost/json/parse.hpp>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds publishTimeout{5000};
constexpr std::string_view anyVersion = "*";

json::object describeResource(const resource_key &key, const stored_resource &stored)
{
    return {{"kind", toString(key.kind)},
            {"name", key.name},
            {"version", stored.version},
            {"operation", stored.operation},
            {"spec", stored.json}};
}

/// The parts of a path "/kind/name"; missing parts are empty.
struct resource_path
{
    std::string kind;
    std::string name;
};

resource_path splitPath(std::string_view rest)
{
    resource_path path;
    if (rest.starts_with('/'))
        rest.remove_prefix(1);
    const std::size_t slash = rest.find('/');
    path.kind = std::string(rest.substr(0, slash));
    if (slash != std::string_view::npos)
        path.name = std::string(rest.substr(slash + 1));
    return path;
}

/// Parses If-Match: a version, 0 if the resource must not exist, unset if any version is accepted.
result<std::optional<std::uint64_t>> readExpectedVersion(const http_exchange &exchange)
{
    std::string_view text = exchange.header("If-Match");
    if (text.empty() || text == anyVersion)
        return std::nullopt;
    if (text.size() > 2 && text.starts_with('"') && text.ends_with('"'))
        text = text.substr(1, text.size() - 2);
    const auto version = parseVersion(text);
    if (!version)
        return makeError(result_code::malformedRequest, "If-Match: expected a version or *");
    return version;
}

result<json::object> readObject(const std::string &body)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return makeError(result_code::malformedRequest, "the body is not a JSON object");
    return std::move(parsed.get_object());
}

/// Reads the change from a PUT or DELETE and runs the checks that need no configuration state.
result<config_change> readChange(const http_exchange &exchange, resource_key key)
{
    config_change change;
    change.key = std::move(key);
    change.operation = std::string(exchange.header("X-Operation-Id"));
    if (change.operation.empty() || change.operation.size() > 128)
        return makeError(result_code::malformedRequest,
                         "X-Operation-Id: expected 1 to 128 characters");
    const auto expected = readExpectedVersion(exchange);
    if (!expected)
        return tl::unexpected(expected.error());
    change.expectedVersion = *expected;
    if (exchange.method() == "DELETE")
        return change;
    auto spec = readObject(exchange.body());
    if (!spec)
        return tl::unexpected(spec.error());
    if (!isResourceName(change.key.name))
        return makeError(result_code::resourceInvalid,
                         "name: expected 1 to 63 characters out of a-z, 0-9 and -");
    if (auto checked = parseResourceSpec(change.key.kind, *spec); !checked)
        return tl::unexpected(checked.error());
    change.spec = std::move(*spec);
    return change;
}

json::object describeOutcome(const operation_outcome &outcome)
{
    return {{"operation", outcome.operation},
            {"outcome", outcome.code == result_code::ok ? "accepted" : "refused"},
            {"version", outcome.offset + 1},
            {"offset", outcome.offset}};
}

/// Responds with the outcome of an operation; a repeated operation gets the same response.
asio::awaitable<void> answerOutcome(http_exchange &exchange, result<operation_outcome> outcome)
{
    if (!outcome)
        co_return co_await refuseOperator(exchange, outcome.error().code, outcome.error().detail);
    if (outcome->code != result_code::ok)
        co_return co_await refuseOperator(exchange, outcome->code, outcome->detail);
    co_await respondJson(exchange, 200, describeOutcome(*outcome), std::string());
}

asio::awaitable<void> answerChange(http_exchange &exchange, const operator_context &needs,
                                   resource_key key)
{
    auto change = readChange(exchange, std::move(key));
    if (!change)
        co_return co_await refuseOperator(exchange, change.error().code, change.error().detail);
    if (const auto *previous = findOutcome(needs.config.state(), change->operation))
        co_return co_await answerOutcome(exchange, *previous);
    auto outcome = co_await needs.config.publish(std::move(*change), publishTimeout);
    co_await answerOutcome(exchange, std::move(outcome));
}

asio::awaitable<void> answerResourceList(http_exchange &exchange, const operator_context &needs,
                                         std::optional<resource_kind> kind)
{
    const config_state &state = needs.config.state();
    json::array resources;
    for (const auto &[key, stored] : state.resources) {
        if (!kind || *kind == key.kind)
            resources.push_back(describeResource(key, stored));
    }
    json::object body{{"version", state.next}, {"resources", std::move(resources)}};
    co_await respondJson(exchange, 200, std::move(body), std::string());
}

asio::awaitable<void> answerResource(http_exchange &exchange, const operator_context &needs,
                                     resource_key key)
{
    const config_state &state = needs.config.state();
    const auto entry = state.resources.find(key);
    if (entry == state.resources.end())
        co_return co_await refuseOperator(exchange, result_code::resourceNotFound, toString(key));
    json::object body = describeResource(entry->first, entry->second);
    co_await respondJson(exchange, 200, std::move(body), std::string());
}

} // namespace

asio::awaitable<void> answerResources(http_exchange &exchange, const operator_context &needs,
                                      std::string_view rest)
{
    const resource_path path = splitPath(rest);
    const std::string method(exchange.method());
    std::optional<resource_kind> kind;
    if (!path.kind.empty()) {
        const auto parsed = parseResourceKind(path.kind);
        if (!parsed)
            co_return co_await refuseOperator(exchange, result_code::notFound,
                                              parsed.error().detail);
        kind = *parsed;
    }
    if (method == "GET" && path.name.empty())
        co_return co_await answerResourceList(exchange, needs, kind);
    if (!kind || path.name.empty())
        co_return co_await refuseOperator(exchange, result_code::notFound,
                                          "expected /v1/resources/{kind}/{name}");
    resource_key key{*kind, path.name};
    if (method == "GET")
        co_return co_await answerResource(exchange, needs, std::move(key));
    if (method == "PUT" || method == "DELETE")
        co_return co_await answerChange(exchange, needs, std::move(key));
    co_await refuseOperator(exchange, result_code::methodNotAllowed, "expected GET, PUT or DELETE");
}

asio::awaitable<void> answerPlan(http_exchange &exchange, const operator_context &needs)
{
    const auto body = readObject(exchange.body());
    if (!body)
        co_return co_await refuseOperator(exchange, body.error().code, body.error().detail);
    const json::value *entries = body->if_contains("resources");
    if (entries == nullptr || !entries->is_array())
        co_return co_await refuseOperator(exchange, result_code::malformedRequest,
                                          "resources: expected a list");
    json::object answer{{"version", needs.config.state().next},
                        {"resources", planResources(needs.config.state(), entries->get_array())}};
    co_await respondJson(exchange, 200, std::move(answer), std::string());
}

asio::awaitable<void> answerOperation(http_exchange &exchange, const operator_context &needs,
                                      std::string_view operation)
{
    const config_state &state = needs.config.state();
    const std::string id(operation);
    const operation_outcome *outcome = findOutcome(state, id);
    if (outcome == nullptr) {
        std::string detail
            = "operation " + id + " is not in the log below offset " + std::to_string(state.next);
        if (!needs.config.isLogReachable())
            detail += "; the log is unreachable, so later records cannot be read";
        co_return co_await refuseOperator(exchange, result_code::resourceNotFound,
                                          std::move(detail));
    }
    json::object body = describeOutcome(*outcome);
    body["code"] = int(outcome->code);
    body["name"] = resultInfo(outcome->code).name;
    body["detail"] = outcome->detail;
    co_await respondJson(exchange, 200, std::move(body), std::string());
}

} // namespace quincefall
