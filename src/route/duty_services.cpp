#include "route/duty_services.h"

#include "kernel/suspension_clock.h"
#include "route/duty_holder.h"
#include "route/duty_refusals.h"
#include "route/engine_orderer.h"
#include "route/load_exchange.h"
#include "route/proxy_service.h"
#include "route/usage_counter.h"
#include "route/usage_reporter.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

/// Adds @p service, which has start() and stop(), to the kernel.
template <typename service_type>
service_type &addService(kernel &services, const char *name, std::unique_ptr<service_type> service)
{
    std::shared_ptr<service_type> shared = std::move(service);
    service_type &added = *shared;
    services.add(name, std::move(shared),
                 {[&added]() -> result<void> {
                      added.start();
                      return {};
                  },
                  [&added] { added.stop(); }});
    return added;
}

void addHolderMetrics(metrics &numbers, const duty_holder &holder)
{
    numbers.addCallbackMetric({"quincefall_duty_holder", "gauge",
                               "1 while this host holds the duties and may act.", "",
                               [&holder] { return holder.isHolder() ? 1.0 : 0.0; }});
    numbers.addCallbackMetric({"quincefall_duty_fence", "gauge",
                               "Newest fencing token of this host; 0 on other hosts.", "",
                               [&holder] { return double(holder.fence()); }});
    numbers.addCallbackMetric({"quincefall_duty_takeovers_total", "counter",
                               "Times that this host began to hold the duties.", "",
                               [&holder] { return double(holder.numbers().takeovers); }});
    numbers.addCallbackMetric({"quincefall_duty_losses_total", "counter",
                               "Times that another host took the duties over.", "",
                               [&holder] { return double(holder.numbers().losses); }});
    numbers.addCallbackMetric({"quincefall_duty_refusals_total", "counter",
                               "Calls that were refused for an outdated fencing token.", "",
                               [&holder] { return double(holder.numbers().refusals); }});
    const auto addCommits = [&numbers](const std::string &end, std::function<double()> read) {
        numbers.addCallbackMetric({"quincefall_duty_commits_total", "counter",
                                   "Commits of the duty record by this host, by their end.",
                                   "end=\"" + end + "\"", std::move(read)});
    };
    addCommits("stored", [&holder] { return double(holder.numbers().commits); });
    addCommits("failed", [&holder] { return double(holder.numbers().failedCommits); });
}

duty_holder &addHolder(const duty_environment &host, const state_source &source)
{
    duty_holder::options options;
    options.self = host.settings.peerListen;
    // Also calls that are carried out late must not follow those of the next holder.
    options.lease = host.settings.duties->lease * 2;
    options.checksFence = host.settings.duties->checksFence;
    std::shared_ptr<duty_holder> shared = duty_holder::makeDutyHolder(
        host.context, host.routing, source, makeSuspensionClock(), options);
    duty_holder &holder = *shared;
    host.services.add("route.duties", std::move(shared),
                      {[&holder]() -> result<void> {
                           holder.start();
                           return {};
                       },
                       {}}); // Released as the host drains.
    addHolderMetrics(host.numbers, holder);
    return holder;
}

usage_windows windowsOf(const duty_settings &duties)
{
    return {duties.usageWindow, duties.usageDue};
}

usage_counter &addUsageCounter(const duty_environment &host)
{
    auto &exchange = host.services.find<load_exchange>("route.exchange");
    usage_counter &counter
        = addService(host.services, "route.usage-counts",
                     usage_counter::makeUsageCounter(
                         host.context, host.routing, makeSuspensionClock(),
                         {host.settings.peerListen, windowsOf(*host.settings.duties)},
                         [&exchange](const host_address &peer, const std::string &bytes) {
                             exchange.sendTo(peer, bytes);
                         }));
    exchange.onWallClock([&counter](const host_address &peer, wall_milliseconds wall) {
        counter.noteWallClock(peer, wall);
    });
    exchange.onUsage([&counter](const wire::LoadHint &message) { counter.receive(message); });
    host.services.find<proxy_service>("route.proxy")
        .onRun([&counter](const std::string &organisation) { counter.countRun(organisation); });
    return counter;
}

std::vector<std::string> declaredOrganisations(const routing_state &routing)
{
    std::vector<std::string> names;
    if (!routing.desired)
        return names;
    for (const auto &[key, organisation] : routing.desired->organisationsByKey)
        names.push_back(organisation.name);
    return names;
}

void addUsageMetrics(const duty_environment &host, const usage_counter &counter,
                     const usage_reporter &reporter)
{
    metrics &numbers = host.numbers;
    numbers.addCallbackMetric({"quincefall_usage_reports_acknowledged_total", "counter",
                               "Usage reports of this host that the platform took.", "",
                               [&reporter] { return double(reporter.numbers().acknowledged); }});
    numbers.addCallbackMetric({"quincefall_usage_calls_failed_total", "counter",
                               "Usage reports of this host that the platform did not take.", "",
                               [&reporter] { return double(reporter.numbers().failedCalls); }});
    for (const usage_obstacle obstacle : usageObstacles) {
        numbers.addCallbackMetric(
            {"quincefall_usage_windows_missed_total", "counter",
             "Windows whose usage report was not acknowledged in time, by the reason.",
             "reason=\"" + std::string(toString(obstacle)) + "\"", [&reporter, obstacle] {
                 return double(reporter.numbers().missed.at(std::size_t(obstacle)));
             }});
    }
    numbers.addCallbackMetric(
        {"quincefall_usage_clock_error_seconds", "gauge", "Wall clock of the host less true time.",
         "",
         [clock = host.clock, &counter] { return double(clock.wall() - counter.now()) / 1000; }});
}

void addUsageReports(const duty_environment &host, duty_holder &holder, const duty_calls &calls)
{
    usage_counter &counter = addUsageCounter(host);
    holder.onRead([&counter](const wire::DutyRecord &record) { counter.noteStored(record); });
    usage_reporter::options options;
    options.windows = windowsOf(*host.settings.duties);
    options.callsPerSecond = host.settings.duties->callsPerSecond;
    options.organisations = [&routing = host.routing] { return declaredOrganisations(routing); };
    const usage_reporter &reporter
        = addService(host.services, "route.usage-reports",
                     usage_reporter::makeUsageReporter(host.context, counter, dutiesOf(holder),
                                                       calls.reportUsage, std::move(options)));
    addUsageMetrics(host, counter, reporter);
}

void addOrderResults(metrics &numbers, const engine_orderer &orderer)
{
    using counts = engine_orderer::counts;
    const auto add = [&](const std::string &result, std::uint64_t counts::*count) {
        numbers.addCallbackMetric({"quincefall_engine_orders_total", "counter",
                                   "Orders of engines that this host sent, by result.",
                                   "result=\"" + result + "\"",
                                   [&orderer, count] { return double(orderer.numbers().*count); }});
    };
    add("accepted", &counts::accepted);
    add("unavailable", &counts::unavailable);
    add("outdated", &counts::outdated);
    add("rate-limited", &counts::rateLimited);
    add("unanswered", &counts::unanswered);
}

std::string engineLabels(const std::string &domain, bool isInterruptible)
{
    std::string labels = "failure_domain=\"";
    labels.append(domain).append("\",kind=\"");
    labels.append(isInterruptible ? "interruptible" : "ordinary").append("\"");
    return labels;
}

void addEngineCounts(const duty_environment &host, const engine_orderer &orderer)
{
    using domain_counts = engine_orderer::domain_counts;
    // All of one name follow one another, as addCallbackMetric() requires.
    const auto add
        = [&](const std::string &name, const std::string &help, unsigned domain_counts::*count) {
              for (const auto &[domain, region] : host.settings.regions) {
                  for (const bool isInterruptible : {false, true}) {
                      host.numbers.addCallbackMetric(
                          {name, "gauge", help, engineLabels(domain, isInterruptible),
                           [&orderer, domain = domain, isInterruptible, count] {
                               return double(orderer.engines(domain, isInterruptible).*count);
                           }});
                  }
              }
          };
    add("quincefall_engines_ordered", "Engines that are ordered.", &domain_counts::ordered);
    add("quincefall_engines_listed", "Engines that are listed and not leaving.",
        &domain_counts::listed);
}

void addEngineOrders(const duty_environment &host, duty_holder &holder, const duty_calls &calls)
{
    engine_orderer::options options{host.settings.failureDomain,
                                    host.settings.duties->callsPerSecond};
    const engine_orderer &orderer
        = addService(host.services, "route.orders",
                     engine_orderer::makeEngineOrderer(host.context, host.routing, holder, calls,
                                                       host.clock, std::move(options)));
    addOrderResults(host.numbers, orderer);
    addEngineCounts(host, orderer);
}

} // namespace

void addDutyServices(const duty_environment &host, const state_source &source, duty_calls calls)
{
    duty_holder &holder = addHolder(host, source);
    calls = tellRefusalsApart(std::move(calls), holder);
    host.services.find<load_exchange>("route.exchange").tellDuties([&holder] {
        return holder.fence();
    });
    if (host.settings.duties->reportsUsage)
        addUsageReports(host, holder, calls);
    if (host.settings.duties->ordersEngines)
        addEngineOrders(host, holder, calls);
}

} // namespace quincefall
