#include "standin/engine_orders.h"

#include "standin/json_fields.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace quincefall::standin {
namespace {

namespace json = boost::json;

json::object describe(const engine_order &order)
{
    return {{"action", order.action},      {"model", order.model}, {"version", order.version},
            {"adapter", order.adapter},    {"role", order.role},   {"fencing", order.fencing},
            {"operation", order.operation}};
}

json::array describeAll(const std::vector<engine_order> &orders)
{
    json::array described;
    for (const engine_order &order : orders)
        described.push_back(describe(order));
    return described;
}

} // namespace

engine_order parseOrder(const json::object &body)
{
    return {textField(body, "action"),   textField(body, "model"), textField(body, "version"),
            textField(body, "adapter"),  textField(body, "role"),  textField(body, "operation"),
            numberField(body, "fencing")};
}

void addInitialModel(engine_orders &state, std::string_view text)
{
    const auto colon = std::min(text.find(':'), text.size());
    const std::string_view version = text.substr(std::min(colon + 1, text.size()));
    loaded_model &model = state.loaded[std::string(text.substr(0, colon))];
    model.version = version.empty() ? "1" : std::string(version);
}

bool isRepeated(const engine_orders &state, const engine_order &order)
{
    return !order.operation.empty()
        && std::any_of(
            state.accepted.begin(), state.accepted.end(),
            [&](const engine_order &other) { return other.operation == order.operation; });
}

void applyOrder(engine_orders &state, const engine_order &order)
{
    if (order.action == "role") {
        state.role = order.role;
        return;
    }
    if (order.action == "load") {
        loaded_model &model = state.loaded[order.model];
        if (model.version != order.version)
            model = {order.version, {}};
        if (!order.adapter.empty())
            model.adapters.insert(order.adapter);
        return;
    }
    const auto model = state.loaded.find(order.model);
    if (model == state.loaded.end())
        return;
    if (order.adapter.empty())
        state.loaded.erase(model);
    else
        model->second.adapters.erase(order.adapter);
}

bool serves(const engine_orders &state, std::string_view model, std::string_view adapter)
{
    const auto found = state.loaded.find(model);
    if (found == state.loaded.end())
        return false;
    return adapter.empty() || found->second.adapters.count(std::string(adapter)) > 0;
}

json::object describeOrders(const engine_orders &state, bool checksFencing)
{
    json::array loaded;
    for (const auto &[name, model] : state.loaded) {
        const json::array adapters(model.adapters.begin(), model.adapters.end());
        loaded.push_back({{"model", name}, {"version", model.version}, {"adapters", adapters}});
    }
    return {{"role", state.role},
            {"loaded", std::move(loaded)},
            {"loading", describeAll(state.loading)},
            {"fencing", state.fencing},
            {"checks_fencing", checksFencing}};
}

json::object describeHistory(const engine_orders &state)
{
    return {{"orders", describeAll(state.accepted)}};
}

} // namespace quincefall::standin
