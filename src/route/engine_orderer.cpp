#include "route/engine_orderer.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/service_work.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds sampleInterval{250};
constexpr unsigned samplesPerDecision = 4;
// Of the calls that the platform takes from all hosts; the rest is left for other duties and for
// repeats.
constexpr double shareOfCalls = 0.5;

/// What the holder knows about one service.
struct service_orders
{
    order_book book;
    engine_demand demand;
};

struct addressed_order
{
    std::string service;
    due_order order;
};

const char *kindName(bool isInterruptible)
{
    return isInterruptible ? "interruptible" : "ordinary";
}

std::map<host_address, std::string> domainsOf(const std::vector<host_announcement> &peers)
{
    std::map<host_address, std::string> domains;
    for (const host_announcement &peer : peers)
        domains[peer.peer] = peer.failureDomain;
    return domains;
}

void logChange(const std::string &service, const order_change &change)
{
    logInfo("engine order changed",
            {{"service", service},
             {"failure_domain", change.domain},
             {"kind", kindName(change.isInterruptible)},
             {"from", std::to_string(change.from)},
             {"to", std::to_string(change.to)},
             {"why", std::string(change.reason)}});
}

void addToRecord(wire::DutyRecord &record, const std::string &service, const order_book &book)
{
    const auto add = [&](const std::string &domain, const kind_order &order, bool isInterruptible) {
        if (!order.isOrdered)
            return;
        wire::EngineOrder &row = *record.add_orders();
        row.set_service(service);
        row.set_failure_domain(domain);
        row.set_count(order.count);
        row.set_interruptible(isInterruptible);
    };
    for (const auto &[domain, orders] : book.domains) {
        add(domain, orders.ordinary, false);
        add(domain, orders.interruptible, true);
    }
}

} // namespace

struct engine_orderer::state : std::enable_shared_from_this<engine_orderer::state>
{
    state(asio::io_context &io, routing_state &source, duty_holder &duties, duty_calls platform,
          clock_source clocks, options settings)
        : timer(io)
        , context(io)
        , routing(source)
        , holder(duties)
        , calls(std::move(platform))
        , clock(std::move(clocks))
        , values(std::move(settings))
    {
    }

    asio::steady_timer timer;
    asio::io_context &context;
    routing_state &routing;
    duty_holder &holder;
    duty_calls calls;
    clock_source clock;
    options values;
    counts numbers;
    bool isStopped = false;
    bool isActive = false; ///< This host holds the duties and has taken over the orders.
    std::uint64_t tenure = 0; ///< Increases with each begin and end.
    std::uint64_t takeovers = 0; ///< Of the holder, at the begin of the tenure.
    std::map<std::string, service_orders> services;

    void beginTenure()
    {
        ++tenure;
        isActive = true;
        takeovers = holder.numbers().takeovers;
        services.clear();
        const instant now = clock.now();
        for (const wire::EngineOrder &row : holder.record().orders())
            adoptOrder(services[row.service()].book,
                       {row.failure_domain(), row.interruptible(), row.count()}, now);
        logInfo("engine orders taken over",
                {{"orders", std::to_string(holder.record().orders_size())}});
    }

    void endTenure()
    {
        ++tenure;
        isActive = false;
        services.clear();
    }

    /// Calls @p visit with each service for which engines may be ordered.
    template <typename visitor>
    void eachService(visitor visit)
    {
        if (!routing.desired || !routing.isReady())
            return;
        const auto desired = routing.desired; // Stays alive if a newer version comes meanwhile.
        for (const auto &[name, rule] : desired->services) {
            const auto pool = routing.pools.find(name);
            if (rule.autoscale && pool != routing.pools.end())
                visit(name, *rule.autoscale, pool->second);
        }
    }

    void sample()
    {
        const auto domains = domainsOf(routing.peers);
        const instant now = clock.now();
        eachService([&](const std::string &name, const autoscale_rule &rule, service_pool &pool) {
            const service_work work
                = sumWork(pool, routing.otherHostsLoad, domains, values.failureDomain);
            recordWork(services[name].demand, work, slotsOf(pool), rule.bootTime, now);
        });
    }

    std::vector<addressed_order> decide()
    {
        const instant now = clock.now();
        std::vector<addressed_order> due;
        eachService([&](const std::string &name, const autoscale_rule &rule, service_pool &pool) {
            service_orders &orders = services[name];
            recordListed(orders.book, countEngines(pool), rule, now);
            for (const order_change &change : changeOrders(orders.book, rule, orders.demand, now))
                logChange(name, change);
            for (due_order &order : dueOrders(orders.book, now))
                due.push_back({name, std::move(order)});
        });
        const double perDecision = values.callsPerSecond * shareOfCalls
            * toMilliseconds(sampleInterval * samplesPerDecision) / 1'000;
        if (const auto most = std::size_t(std::max(1.0, perDecision)); due.size() > most)
            due.resize(most);
        return due;
    }

    void writeRecord()
    {
        wire::DutyRecord &record = holder.record();
        record.clear_orders();
        for (const auto &[name, orders] : services)
            addToRecord(record, name, orders.book);
    }

    /// Stores the orders, then sends those that are due with a fencing token that is newer than
    /// that of any earlier call, so that an earlier one that is carried out late has no effect.
    asio::awaitable<void> send(std::vector<addressed_order> due)
    {
        writeRecord();
        const std::uint64_t before = tenure;
        const auto fence = co_await holder.commit();
        if (tenure != before || isStopped)
            co_return;
        if (!fence) {
            logWarning("engine orders not stored", {{"cause", fence.error().detail}});
            co_return; // The orders stay due.
        }
        for (addressed_order &order : due) {
            recordSending(services[order.service].book, order.order);
            startTask(context, "engine order",
                      sendOne(shared_from_this(), std::move(order), *fence, tenure));
        }
    }

    static asio::awaitable<void> sendOne(std::shared_ptr<state> shared, addressed_order order,
                                         std::uint64_t fence, std::uint64_t tenure)
    {
        scaling_order call{order.service, order.order.domain, order.order.count,
                           order.order.isInterruptible};
        const result<void> answer = co_await shared->calls.orderEngines(std::move(call), fence);
        if (shared->tenure == tenure && !shared->isStopped)
            shared->recordAnswer(order, answer);
    }

    void recordAnswer(const addressed_order &order, const result<void> &answer)
    {
        const auto outcome = [&] {
            if (answer) {
                ++numbers.accepted;
                return order_outcome::accepted;
            }
            switch (answer.error().code) {
            case result_code::enginesUnavailable:
                ++numbers.unavailable;
                return order_outcome::unavailable;
            case result_code::dutyRateLimited:
                ++numbers.rateLimited;
                return order_outcome::notSent;
            case result_code::fencingStale:
                ++numbers.outdated;
                return order_outcome::notSent;
            case result_code::upstreamUnreachable:
                ++numbers.unanswered;
                return order_outcome::notSent;
            default:
                ++numbers.unanswered;
                return order_outcome::unknown;
            }
        }();
        if (!answer)
            logWarning("engine order failed",
                       {{"service", order.service},
                        {"failure_domain", order.order.domain},
                        {"kind", kindName(order.order.isInterruptible)},
                        {"count", std::to_string(order.order.count)},
                        {"code", std::string(resultInfo(answer.error().code).name)},
                        {"cause", answer.error().detail}});
        if (!answer && answer.error().code == result_code::fencingStale) {
            holder.yield();
            return;
        }
        const auto rule = autoscaleOf(order.service);
        recordSent(services[order.service].book, order.order, outcome, rule, clock.now());
    }

    autoscale_rule autoscaleOf(const std::string &service) const
    {
        const auto found = routing.desired->services.find(service);
        const bool isKnown
            = found != routing.desired->services.end() && found->second.autoscale.has_value();
        return isKnown ? *found->second.autoscale : autoscale_rule();
    }

    static asio::awaitable<void> run(std::shared_ptr<state> shared)
    {
        unsigned samples = 0;
        while (!shared->isStopped) {
            const bool isHolder = shared->holder.isHolder();
            const bool isNewTenure
                = !shared->isActive || shared->takeovers != shared->holder.numbers().takeovers;
            if (isHolder && isNewTenure)
                shared->beginTenure();
            else if (!isHolder && shared->isActive)
                shared->endTenure();
            if (isHolder) {
                shared->sample();
                if (++samples % samplesPerDecision == 0) {
                    auto due = shared->decide();
                    if (!due.empty())
                        co_await shared->send(std::move(due));
                }
            }
            shared->timer.expires_after(sampleInterval);
            co_await shared->timer.async_wait(asTuple);
        }
    }
};

std::unique_ptr<engine_orderer>
engine_orderer::makeEngineOrderer(asio::io_context &context, routing_state &routing,
                                  duty_holder &holder, duty_calls calls, clock_source clock,
                                  options settings)
{
    return std::unique_ptr<engine_orderer>(new engine_orderer(std::make_shared<state>(
        context, routing, holder, std::move(calls), std::move(clock), std::move(settings))));
}

engine_orderer::engine_orderer(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

engine_orderer::~engine_orderer()
{
    stop();
}

void engine_orderer::start()
{
    startService(m_state->context, "engine orders",
                 [shared = m_state] { return state::run(shared); });
}

void engine_orderer::stop()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

engine_orderer::counts engine_orderer::numbers() const
{
    return m_state->numbers;
}

engine_orderer::domain_counts engine_orderer::engines(const std::string &failureDomain,
                                                      bool isInterruptible) const
{
    domain_counts sums;
    for (const auto &[name, orders] : m_state->services) {
        const auto domain = orders.book.domains.find(failureDomain);
        if (domain == orders.book.domains.end())
            continue;
        const domain_orders &row = domain->second;
        sums.ordered += isInterruptible ? row.interruptible.count : row.ordinary.count;
        sums.listed
            += isInterruptible ? row.listed.serving.interruptible : row.listed.serving.ordinary;
    }
    return sums;
}

} // namespace quincefall
