#include "policy/attempt_budget.h"

#include <algorithm>

namespace quincefall {
namespace {

// A window may see a full balance and a window's refill, so each is less than half of the slack.
constexpr double slackShare = 0.45;
// Requests are counted where callers sent them; some never reach a host.
constexpr double ratioShare = 0.8;
// Savings from requests, in windows of slack, that a quiet time may leave behind.
constexpr double longestSavings = 1.0;

} // namespace

void depositAttempt(attempt_budget &budget, const attempt_budget_rule &rule)
{
    budget.balance += rule.ratio * ratioShare;
}

bool tryWithdrawAttempt(attempt_budget &budget, const attempt_budget_rule &rule, unsigned hosts,
                        instant now)
{
    const double part = rule.slack * slackShare / std::max(1U, hosts);
    if (budget.refilledAt == instant::min())
        budget.balance = part;
    else
        budget.balance
            += part * toMilliseconds(now - budget.refilledAt) / double(rule.window.count());
    budget.refilledAt = now;
    budget.balance = std::min(budget.balance, std::max(1.0, part * (1 + longestSavings)));
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

} // namespace quincefall
