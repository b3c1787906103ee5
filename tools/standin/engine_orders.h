#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall::standin {

/// A model that an engine has loaded.
struct loaded_model
{
    std::string version;
    std::set<std::string> adapters;
};

/// An order to load or unload a model, or to change the engine's role.
struct engine_order
{
    std::string action;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;
    std::string operation;
    std::int64_t fencing = 0;
};

engine_order parseOrder(const boost::json::object &body);

/// Loaded models and role of an engine, with the orders that it has accepted.
struct engine_orders
{
    std::string role = "serve";
    std::map<std::string, loaded_model, std::less<>> loaded;
    std::vector<engine_order> loading;
    std::vector<engine_order> accepted; ///< In order of arrival.
    std::int64_t fencing = 0; ///< Highest fencing number of an accepted order.
};

/// Marks a model of the command line, "model" or "model:version", as loaded. The version defaults
/// to "1".
void addInitialModel(engine_orders &state, std::string_view text);

/// True when an order with the same operation id was accepted before.
bool isRepeated(const engine_orders &state, const engine_order &order);

/// Applies an unload, a role change, or a load that has finished.
void applyOrder(engine_orders &state, const engine_order &order);

/// True when @p model is loaded and, unless @p adapter is empty, that adapter too.
bool serves(const engine_orders &state, std::string_view model, std::string_view adapter);

/// Response body of GET /orders.
boost::json::object describeOrders(const engine_orders &state, bool checksFencing);

/// Response body of GET /admin/orders: the accepted orders, in order of arrival.
boost::json::object describeHistory(const engine_orders &state);

} // namespace quincefall::standin
