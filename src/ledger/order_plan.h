#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// The declared state of a model in a pool.
struct declared_model
{
    std::string name;
    std::string pool;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t replicas = 0; ///< Engines that should have it loaded; 0: all of the pool.
};

/// A model that an engine has loaded or is loading.
struct engine_model
{
    std::string version;
    std::set<std::string> adapters;

    bool operator==(const engine_model &) const = default;
};

/// The last reported state of an engine.
struct engine_report
{
    std::string name;
    std::string pool;
    bool isReachable = false;
    std::map<std::string, engine_model> loaded; ///< By model name.
    std::map<std::string, engine_model> loading; ///< By model name.
};

enum class order_action { load, unload };

/// A command to an engine. It is idempotent, as it names the desired state.
struct engine_order
{
    order_action action = order_action::load;
    std::string engine;
    std::string model;
    std::string version;
    std::string adapter; ///< Empty if the order is for the model itself.

    auto operator<=>(const engine_order &) const = default;
};

/// A model that is not loaded on an engine as declared, and the reason.
struct placement_gap
{
    std::string engine;
    std::string model;
    std::string reason;

    bool operator==(const placement_gap &) const = default;
};

struct order_plan
{
    std::vector<engine_order> orders; ///< To be sent now, in this order.
    std::vector<placement_gap> gaps;
};

/// Plans the orders that bring the engines from their reported to the declared state. Models with
/// the fewest up-to-date replicas are loaded first. At most @p loadLimit engines load at the same
/// time, because all engines of the fleet share the read rate of the weight store. A surplus
/// replica is unloaded only after all engines that should have the model have it; models that are
/// not declared are left loaded.
order_plan planOrders(std::span<const declared_model> models,
                      std::span<const engine_report> engines, std::size_t loadLimit);

} // namespace quincefall
