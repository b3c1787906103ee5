#include "policy/engine_targets.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

constexpr std::size_t minDomainsForReserve = 2;

/// Factor by which each domain with interruptible engines exceeds its need, so that the others are
/// enough when it loses them; 0 if ordinary engines cost less.
double reserveFactor(const autoscale_rule &rule, std::size_t domains, std::size_t available)
{
    if (!rule.interruptiblePrice || domains < minDomainsForReserve)
        return 0;
    // Where most domains have ordinary engines instead, fewer can be lost, not more.
    const auto sharing = double(std::max({available, (domains + 1) / 2, minDomainsForReserve}));
    const double factor = sharing / (sharing - 1);
    return *rule.interruptiblePrice * factor < 1 ? factor : 0;
}

domain_target targetOf(const autoscale_rule &rule, const domain_need &need, double factor)
{
    const unsigned base = std::min(rule.maxCount, std::max(1U, rule.minCount));
    const bool usesReserve = factor > 0 && !need.lacksInterruptible;
    const auto needed = unsigned(std::ceil(need.engines * (usesReserve ? factor : 1)));
    domain_target target;
    target.engines = std::clamp(std::max(need.floor, needed), base, rule.maxCount);
    target.orders = {base, target.engines - base};
    if (factor <= 0)
        target.orders = {target.engines, 0};
    else if (need.lacksInterruptible)
        target.orders.ordinary
            = target.engines - std::min(need.serving.interruptible, target.engines - base);
    return target;
}

} // namespace

std::map<std::string, domain_target>
targetEngines(const autoscale_rule &rule, const std::map<std::string, domain_need> &domains)
{
    const auto available = std::count_if(domains.begin(), domains.end(), [](const auto &row) {
        return !row.second.lacksInterruptible;
    });
    const double factor = reserveFactor(rule, domains.size(), std::size_t(available));
    std::map<std::string, domain_target> targets;
    for (const auto &[domain, need] : domains)
        targets[domain] = targetOf(rule, need, factor);
    return targets;
}

} // namespace quincefall
