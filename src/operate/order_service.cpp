#include "operate/order_service.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/timeline.h"
#include "operate/config_service.h"
#include "operate/lease_service.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds reconcileInterval{300};
constexpr milliseconds reportTimeout{500};
/// Timeout of one order. It must be shorter than lease_timing::safetyMargin, so that an order ends
/// before the lease does.
constexpr milliseconds orderTimeout{400};
/// Minimum time between two load orders, because all engines share the rate of the weight store.
constexpr milliseconds loadInterval{1000};
constexpr std::size_t maxConcurrentLoads = 2; ///< In the whole fleet.
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusConflict = 409;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// An engine that the order service sends orders to.
struct managed_engine
{
    std::string name;
    std::string pool;
    host_address address;
    bool checksFencing = true;
};

std::map<std::string, engine_model> readModels(const json::value &list)
{
    std::map<std::string, engine_model> models;
    for (const json::value &entry : list.as_array()) {
        engine_model &model = models[std::string(entry.at("model").as_string())];
        model.version = std::string(entry.at("version").as_string());
        const json::value *adapters = entry.as_object().if_contains("adapters");
        if (adapters == nullptr)
            continue;
        for (const json::value &adapter : adapters->as_array())
            model.adapters.insert(std::string(adapter.as_string()));
    }
    return models;
}

engine_report readReport(const managed_engine &engine, const result<http_response> &reply)
{
    engine_report report;
    report.name = engine.name;
    report.pool = engine.pool;
    if (!reply || reply->status != statusOk)
        return report;
    try {
        const json::value body = json::parse(reply->body);
        report.loaded = readModels(body.at("loaded"));
        report.loading = readModels(body.at("loading"));
        report.isReachable = true;
    } catch (const std::exception &) {
        report.isReachable = false;
    }
    return report;
}

std::string encodeOrder(const engine_order &order, std::uint64_t fence,
                        const std::string &operation)
{
    return json::serialize(
        json::object{{"action", order.action == order_action::load ? "load" : "unload"},
                     {"model", order.model},
                     {"version", order.version},
                     {"adapter", order.adapter},
                     {"fencing", fence},
                     {"operation", operation}});
}

std::vector<declared_model> declaredModels(const config_state &config)
{
    std::vector<declared_model> models;
    for (const auto &[key, stored] : config.resources) {
        if (const auto *spec = std::get_if<model>(&stored.spec))
            models.push_back({key.name, spec->pool, spec->version, spec->adapters, spec->replicas});
    }
    return models;
}

/// The engines of all pools that @p models are declared for.
std::vector<managed_engine> managedEngines(const config_state &config,
                                           const std::vector<declared_model> &models)
{
    std::set<std::string> pools;
    for (const declared_model &declared : models)
        pools.insert(declared.pool);
    std::vector<managed_engine> engines;
    for (const std::string &pool : pools) {
        const auto *spec = findSpec<upstream_pool>(config, resource_kind::pool, pool);
        if (spec == nullptr)
            continue;
        for (const upstream &entry : spec->upstreams)
            engines.push_back({entry.name, pool, entry.address, entry.checksFencing});
    }
    return engines;
}

json::array describeModels(const std::map<std::string, engine_model> &models)
{
    json::array described;
    for (const auto &[name, model] : models) {
        const json::array adapters(model.adapters.begin(), model.adapters.end());
        described.push_back({{"model", name}, {"version", model.version}, {"adapters", adapters}});
    }
    return described;
}

} // namespace

json::object describeOrders(const order_status &status)
{
    json::array engines;
    for (const engine_report &engine : status.engines)
        engines.push_back({{"engine", engine.name},
                           {"pool", engine.pool},
                           {"answers", engine.isReachable},
                           {"loaded", describeModels(engine.loaded)},
                           {"loading", describeModels(engine.loading)}});
    json::array gaps;
    for (const placement_gap &gap : status.gaps)
        gaps.push_back({{"engine", gap.engine}, {"model", gap.model}, {"reason", gap.reason}});
    return {{"holder", status.holder},
            {"fencing", status.fence},
            {"held_here", status.isHeldHere},
            {"engines", std::move(engines)},
            {"not_as_declared", std::move(gaps)},
            {"sent", status.sent},
            {"accepted", status.accepted},
            {"refused", status.refused}};
}

struct order_service::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
        , reportReceived(needs.context.get_executor())
    {
    }

    dependencies needs;
    async_signal reportReceived;
    order_status lastStatus;
    std::uint64_t actingFence = 0; ///< Fencing number of the orders sent since `actingSince`.
    instant actingSince;
    std::optional<instant> lastLoadAt;
    std::uint64_t nextOperation = 1;
    bool isStopped = false;

    static asio::awaitable<void> fetchReport(std::shared_ptr<state> self, managed_engine engine,
                                             std::shared_ptr<std::vector<engine_report>> reports)
    {
        http_request request;
        request.target = "/orders";
        const auto reply
            = co_await self->needs.client.send(engine.address, std::move(request), reportTimeout);
        reports->push_back(readReport(engine, reply));
        self->reportReceived.notifyAll();
    }

    static asio::awaitable<std::vector<engine_report>>
    fetchReports(std::shared_ptr<state> self, std::vector<managed_engine> engines)
    {
        auto reports = std::make_shared<std::vector<engine_report>>();
        for (const managed_engine &engine : engines)
            asio::co_spawn(self->needs.context, fetchReport(self, engine, reports), asio::detached);
        while (reports->size() < engines.size())
            co_await self->reportReceived.wait(reportTimeout);
        std::sort(reports->begin(), reports->end(),
                  [](const auto &left, const auto &right) { return left.name < right.name; });
        co_return *reports;
    }

    /// An engine that does not check fencing numbers cannot reject a late order of the previous
    /// holder. A new holder therefore sends it no order until leaseTtl + orderTimeout have passed,
    /// when all orders of the previous holder have ended.
    bool mayOrder(const managed_engine &engine) const
    {
        const instant now = needs.clock.now();
        return engine.checksFencing || now >= actingSince + needs.leaseTtl + orderTimeout;
    }

    bool tryTakeLoadBudget(const engine_order &order)
    {
        if (order.action != order_action::load)
            return true;
        const instant now = needs.clock.now();
        if (lastLoadAt && now < *lastLoadAt + loadInterval)
            return false;
        lastLoadAt = now;
        return true;
    }

    static asio::awaitable<void> sendOrder(std::shared_ptr<state> self, managed_engine engine,
                                           engine_order order)
    {
        const std::uint64_t fence = self->actingFence;
        const std::string operation
            = std::to_string(fence) + "-" + std::to_string(self->nextOperation++);
        http_request request;
        request.method = "POST";
        request.target = "/orders";
        request.headers = {{"Content-Type", "application/json"}};
        request.body = encodeOrder(order, fence, operation);
        ++self->lastStatus.sent;
        // A fresh connection, because a reused one may send the order again on a new connection,
        // and nothing would check the lease before that second write.
        const auto reply = co_await self->needs.client.send(
            engine.address, std::move(request), orderTimeout, http_client::connection_use::fresh);
        const int status = reply ? reply->status : 0;
        self->lastStatus.accepted += status == statusAccepted ? 1 : 0;
        self->needs.events.record(
            order.action == order_action::load ? "order.load" : "order.unload", "", order.engine,
            {{"model", order.model},
             {"version", order.version},
             {"adapter", order.adapter},
             {"fencing", std::to_string(fence)},
             {"status", std::to_string(status)}});
        if (status != statusConflict)
            co_return;
        ++self->lastStatus.refused;
        self->needs.lease.giveUp();
    }

    static asio::awaitable<void> reconcile(std::shared_ptr<state> self)
    {
        const auto models = declaredModels(self->needs.config.state());
        const auto engines = managedEngines(self->needs.config.state(), models);
        self->lastStatus.engines = co_await fetchReports(self, engines);
        order_plan plan = planOrders(models, self->lastStatus.engines, maxConcurrentLoads);
        self->lastStatus.gaps = std::move(plan.gaps);
        for (const engine_order &order : plan.orders) {
            const auto engine
                = std::find_if(engines.begin(), engines.end(),
                               [&](const auto &entry) { return entry.name == order.engine; });
            if (!self->mayOrder(*engine) || !self->tryTakeLoadBudget(order))
                continue;
            if (!self->needs.lease.mayAct() || self->needs.lease.fence() != self->actingFence)
                co_return;
            co_await sendOrder(self, *engine, order);
        }
    }

    void updateActingFence()
    {
        if (needs.lease.fence() == actingFence)
            return;
        actingFence = needs.lease.fence();
        actingSince = needs.clock.now();
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            if (self->needs.lease.mayAct() && self->needs.config.isReady()) {
                self->updateActingFence();
                co_await reconcile(self);
            } else {
                self->lastStatus.engines.clear();
                self->lastStatus.gaps.clear();
            }
            pause.expires_after(reconcileInterval);
            co_await pause.async_wait(asTuple);
        }
    }
};

std::unique_ptr<order_service> order_service::makeOrderService(dependencies needs)
{
    return std::unique_ptr<order_service>(
        new order_service(std::make_shared<state>(std::move(needs))));
}

order_service::order_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

order_service::~order_service()
{
    stop();
}

void order_service::start()
{
    asio::co_spawn(m_state->needs.context, state::run(m_state), asio::detached);
}

void order_service::stop()
{
    m_state->isStopped = true;
}

order_status order_service::status() const
{
    order_status status = m_state->lastStatus;
    const lease_state seen = m_state->needs.lease.leaseState();
    status.holder = seen.holder;
    status.fence = seen.fence;
    status.isHeldHere = m_state->needs.lease.mayAct();
    return status;
}

} // namespace quincefall
