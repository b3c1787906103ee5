#include "policy/tier_rule.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

constexpr seconds overloadHold{5}; // Rule 4: after a shed.
constexpr int atRiskDivisor = 2; // Rule 4: of the first-token target.

bool hasRequestAtRisk(const class_queue &queue, instant now)
{
    if (queue.expiries.empty())
        return false;
    const instant oldestArrival = queue.expiries.begin()->deadline - queue.policy.maxWait;
    return now - oldestArrival >= queue.policy.firstTokenTarget / atRiskDivisor;
}

bool isHigherTierOverloaded(const tier_rule &rule, const wait_queue &queue, int tier, instant now)
{
    return std::any_of(queue.classes.begin(), queue.classes.end(), [&](const auto &entry) {
        const int other = entry.second.policy.tier;
        return other < tier && isTierOverloaded(rule, queue, other, now);
    });
}

} // namespace

std::uint32_t guaranteedSlots(const class_policy &policy, double poolSlots)
{
    if (policy.guaranteedShare <= 0)
        return 0;
    return static_cast<std::uint32_t>(
        std::max(1.0, std::floor(policy.guaranteedShare * poolSlots)));
}

bool isTierOverloaded(const tier_rule &rule, const wait_queue &queue, int tier, instant now)
{
    const auto record = rule.tiers.find(tier);
    if (record != rule.tiers.end() && record->second.lastShed != instant::min()
        && now - record->second.lastShed < overloadHold)
        return true;
    return std::any_of(queue.classes.begin(), queue.classes.end(), [&](const auto &entry) {
        return entry.second.policy.tier == tier && hasRequestAtRisk(entry.second, now);
    });
}

start_reason guaranteedStart(const tier_rule &rule, const wait_queue &queue,
                             const class_queue &candidate, double poolSlots, instant now)
{
    const class_policy &policy = candidate.policy;
    if (candidate.size == 0)
        return start_reason::tierOrder;
    if (now - candidate.starvedSince >= policy.maxWait / floorDivisor)
        return start_reason::floor;
    const auto running = rule.running.find(policy.name);
    const std::uint32_t held = running == rule.running.end() ? 0 : running->second;
    if (held >= guaranteedSlots(policy, poolSlots)
        || isHigherTierOverloaded(rule, queue, policy.tier, now))
        return start_reason::tierOrder;
    return start_reason::share;
}

void recordOvertaken(tier_rule &rule, int overtaken, start_reason reason, instant now)
{
    tier_record &record = rule.tiers[overtaken];
    if (reason == start_reason::tierOrder) {
        record.overtakenOutOfOrder = now;
        return;
    }
    record.overtakenByGuarantee = now;
    ++record.uncountedGuaranteedStarts;
}

void recordShed(tier_rule &rule, int tier, instant arrival, instant now)
{
    tier_record &record = rule.tiers[tier];
    record.lastShed = now;
    if (record.overtakenOutOfOrder >= arrival) {
        ++rule.higherTierShedForLower;
    } else if (record.overtakenByGuarantee >= arrival && record.uncountedGuaranteedStarts > 0) {
        --record.uncountedGuaranteedStarts;
        ++rule.higherTierShedForGuarantee;
    }
}

} // namespace quincefall
