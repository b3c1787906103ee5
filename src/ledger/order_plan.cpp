#include "ledger/order_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace quincefall {
namespace {

/// A model and the engines of its pool.
struct placement
{
    const declared_model *model = nullptr;
    std::vector<const engine_report *> targets; ///< Engines that should have the model.
    std::vector<const engine_report *> others; ///< The other engines of the pool.
    std::size_t upToDate = 0; ///< Number of reachable targets with the declared version.
};

bool hasVersion(const std::map<std::string, engine_model> &models, const declared_model &model)
{
    const auto found = models.find(model.name);
    return found != models.end() && found->second.version == model.version;
}

/// Sort key of the engines for a model: reachable engines first; among them those with the declared
/// version loaded, then those that are loading it, then by a hash that spreads the models evenly.
auto placementRank(const engine_report &engine, const declared_model &model)
{
    const std::string text = model.name + '\n' + engine.name;
    const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    return std::tuple(!engine.isReachable, !hasVersion(engine.loaded, model),
                      !hasVersion(engine.loading, model), hash, engine.name);
}

placement placeModel(const declared_model &model, std::span<const engine_report> engines)
{
    std::vector<const engine_report *> ranked;
    for (const engine_report &engine : engines) {
        if (engine.pool == model.pool)
            ranked.push_back(&engine);
    }
    std::sort(ranked.begin(), ranked.end(), [&](const auto *left, const auto *right) {
        return placementRank(*left, model) < placementRank(*right, model);
    });
    const std::size_t count = model.replicas == 0
        ? ranked.size()
        : std::min<std::size_t>(model.replicas, ranked.size());
    const auto middle = ranked.begin() + std::ptrdiff_t(count);
    placement placed{&model, {ranked.begin(), middle}, {middle, ranked.end()}, 0};
    placed.upToDate = std::size_t(
        std::count_if(placed.targets.begin(), placed.targets.end(), [&](const auto *engine) {
            return engine->isReachable && hasVersion(engine->loaded, model);
        }));
    return placed;
}

std::size_t countLoading(std::span<const engine_report> engines)
{
    return std::size_t(std::count_if(engines.begin(), engines.end(), [](const auto &engine) {
        return engine.isReachable && !engine.loading.empty();
    }));
}

class planner
{
public:
    explicit planner(std::size_t remainingLoads)
        : m_remainingLoads(remainingLoads)
    {
    }

    void plan(const placement &placed)
    {
        for (const engine_report *engine : placed.targets)
            planTarget(*placed.model, *engine);
        if (placed.upToDate < placed.targets.size())
            return;
        for (const engine_report *engine : placed.others) {
            const auto found = engine->loaded.find(placed.model->name);
            if (engine->isReachable && found != engine->loaded.end())
                m_plan.orders.push_back({order_action::unload, engine->name, placed.model->name,
                                         found->second.version, ""});
        }
    }

    order_plan take() { return std::move(m_plan); }

private:
    void planTarget(const declared_model &model, const engine_report &engine)
    {
        if (!engine.isReachable)
            addGap(model, engine, "engine does not answer");
        else if (engine.loading.count(model.name) > 0)
            addGap(model, engine, "loading");
        else if (!hasVersion(engine.loaded, model))
            load(model, engine, "", "version " + model.version + " is missing");
        else
            planAdapters(model, engine);
    }

    void planAdapters(const declared_model &model, const engine_report &engine)
    {
        const engine_model &loaded = engine.loaded.at(model.name);
        for (const std::string &adapter : model.adapters) {
            if (loaded.adapters.count(adapter) > 0)
                continue;
            load(model, engine, adapter, "adapter " + adapter + " is missing");
            return; // An engine performs one load at a time.
        }
        for (const std::string &adapter : loaded.adapters) {
            const auto &kept = model.adapters;
            if (std::find(kept.begin(), kept.end(), adapter) == kept.end())
                m_plan.orders.push_back(
                    {order_action::unload, engine.name, model.name, model.version, adapter});
        }
    }

    void load(const declared_model &model, const engine_report &engine, std::string adapter,
              const std::string &missing)
    {
        if (m_remainingLoads == 0 || !engine.loading.empty()
            || m_orderedEngines.count(engine.name) > 0) {
            addGap(model, engine, missing + "; waiting for the engine or the load limit");
            return;
        }
        --m_remainingLoads;
        m_orderedEngines.insert(engine.name);
        addGap(model, engine, missing + "; load ordered");
        m_plan.orders.push_back(
            {order_action::load, engine.name, model.name, model.version, std::move(adapter)});
    }

    void addGap(const declared_model &model, const engine_report &engine, std::string reason)
    {
        m_plan.gaps.push_back({engine.name, model.name, std::move(reason)});
    }

    std::size_t m_remainingLoads;
    std::set<std::string> m_orderedEngines; ///< Engines with a load order in this plan.
    order_plan m_plan;
};

} // namespace

order_plan planOrders(std::span<const declared_model> models,
                      std::span<const engine_report> engines, std::size_t loadLimit)
{
    std::vector<placement> placements;
    for (const declared_model &model : models)
        placements.push_back(placeModel(model, engines));
    std::stable_sort(placements.begin(), placements.end(), [](const auto &left, const auto &right) {
        return std::tie(left.upToDate, left.model->name)
            < std::tie(right.upToDate, right.model->name);
    });
    planner work(loadLimit - std::min(loadLimit, countLoading(engines)));
    for (const placement &placed : placements)
        work.plan(placed);
    return work.take();
}

} // namespace quincefall
