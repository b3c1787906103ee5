#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall::standin {

/// A model in an engine's memory.
struct loaded_model
{
    std::string version;
    std::set<std::string> adapters;
};

/// One order to load or unload a model or to change role.
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

/// What an engine serves and the orders that made it so.
struct engine_orders
{
    std::string role = "serve";
    std::map<std::string, loaded_model, std::less<>> loaded;
    std::vector<engine_order> loading;
    std::vector<engine_order> accepted; ///< In order of arrival.
    std::int64_t fencing = 0; ///< Highest number seen.
};

/// Splits "model" or "model:version" of the command line; the version defaults to "1".
void addInitialModel(engine_orders &state, std::string_view text);

/// True when an order with the operation of @p order was accepted before.
bool isRepeated(const engine_orders &state, const engine_order &order);

/// Puts a finished load, an unload or a role change into effect.
void applyOrder(engine_orders &state, const engine_order &order);

/// True when @p model is loaded, with @p adapter unless that is empty.
bool serves(const engine_orders &state, std::string_view model, std::string_view adapter);

/// Answer of GET /orders.
boost::json::object describeOrders(const engine_orders &state, bool checksFencing);

/// Answer of GET /admin/orders: what was accepted, in order.
boost::json::object describeHistory(const engine_orders &state);

} // namespace quincefall::standin
