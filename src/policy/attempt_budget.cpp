#include "policy/attempt_budget.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Shares of the slack that all hosts together get when they start, as each window's refill, and
// that they can save up. The sum is 1: a host that restarts within a window may have spent all
// three.
constexpr double initialShare = 0.15;
constexpr double refillShare = 0.3;
constexpr double maxShare = 0.55;
// Requests are counted where callers sent them; some never reach a host.
constexpr double ratioShare = 0.8;
// Credit decays with this share of the window as its time constant, so that what has been saved up
// when a window begins is small against what its requests earn.
constexpr double creditTimeShare = 0.125;

void decayCredit(attempt_budget &budget, const attempt_budget_rule &rule, instant now)
{
    const double windows = toMilliseconds(now - budget.creditAt) / double(rule.window.count());
    budget.credit *= std::exp(-windows / creditTimeShare);
    budget.creditAt = now;
}

} // namespace

attempt_budget makeAttemptBudget(const attempt_budget_rule &rule, unsigned hosts, instant started)
{
    return {rule.slack * initialShare / std::max(1U, hosts), started, 0, started};
}

void depositAttempt(attempt_budget &budget, const attempt_budget_rule &rule, instant now)
{
    decayCredit(budget, rule, now);
    budget.credit += rule.ratio * ratioShare;
}

std::optional<attempt_withdrawal> tryWithdrawAttempt(attempt_budget &budget,
                                                     const attempt_budget_rule &rule,
                                                     unsigned hosts, double draw, instant now)
{
    const double hostSlack = rule.slack / std::max(1U, hosts);
    const double windows = toMilliseconds(now - budget.refilledAt) / double(rule.window.count());
    budget.slack = std::min(budget.slack + hostSlack * refillShare * windows, hostSlack * maxShare);
    budget.refilledAt = now;
    decayCredit(budget, rule, now);
    const double left = budget.slack + budget.credit;
    // A part of an attempt is used up by a draw, so that the hosts together spend what they have.
    const double spent = std::min(left, 1.0);
    const double spentCredit = std::min(budget.credit, spent);
    budget.credit -= spentCredit;
    budget.slack -= spent - spentCredit;
    if (draw >= left)
        return std::nullopt;
    return attempt_withdrawal{spent - spentCredit, spentCredit};
}

void returnAttempt(attempt_budget &budget, const attempt_withdrawal &withdrawn)
{
    budget.slack += withdrawn.slack;
    budget.credit += withdrawn.credit;
}

} // namespace quincefall
