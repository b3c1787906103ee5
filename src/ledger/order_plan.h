#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// A model as it should be loaded in a pool.
struct declared_model
{
    std::string name;
    std::string pool;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t replicas = 0; ///< Engines that should have it; 0 means all of the pool.
};

/// A model that an engine has, or is loading.
struct engine_model
{
    std::string version;
    std::set<std::string> adapters;

    bool operator==(const engine_model &) const = default;
};

/// What one engine last reported.
struct engine_report
{
    std::string name;
    std::string pool;
    bool isReachable = false;
    std::map<std::string, engine_model> loaded; ///< By model.
    std::map<std::string, engine_model> loading;
};

enum class order_action { load, unload };

/// One write to an engine. It states what is wanted, so that a repeated one changes nothing.
struct engine_order
{
    order_action action = order_action::load;
    std::string engine;
    std::string model;
    std::string version;
    std::string adapter; ///< Empty: the model itself.

    auto operator<=>(const engine_order &) const = default;
};

/// Why a declared model is not where it should be.
struct placement_gap
{
    std::string engine;
    std::string model;
    std::string reason;

    bool operator==(const placement_gap &) const = default;
};

struct order_plan
{
    std::vector<engine_order> orders; ///< To be sent now, most urgent first.
    std::vector<placement_gap> gaps;
};

/// Compares what is declared with what engines report. Models with the fewest replicas come
/// first; at most @p loadLimit engines load at once, as the weight store's rate is one budget for
/// the fleet. A model is unloaded only when the engines that should have it have it; models that
/// nobody declared stay.
order_plan planOrders(std::span<const declared_model> models,
                      std::span<const engine_report> engines, std::size_t loadLimit);

} // namespace quincefall
