#include "policy/attempt_budget.h"

#include <algorithm>

namespace quincefall {
namespace {

// Within one window, a full balance and one window's refill can be spent, so each is limited to
// less than half of the slack.
constexpr double slackShare = 0.45;
// Requests are counted where callers sent them; some never reach a host.
constexpr double ratioShare = 0.8;
// Credit from requests that may accumulate, in multiples of this host's slack for one window.
constexpr double maxRequestCredit = 1.0;

} // namespace

void depositAttempt(attempt_budget &budget, const attempt_budget_rule &rule)
{
    budget.balance += rule.ratio * ratioShare;
}

bool tryWithdrawAttempt(attempt_budget &budget, const attempt_budget_rule &rule, unsigned hosts,
                        instant now)
{
    const double hostSlack = rule.slack * slackShare / std::max(1U, hosts);
    if (budget.refilledAt == instant::min())
        budget.balance = hostSlack;
    else
        budget.balance
            += hostSlack * toMilliseconds(now - budget.refilledAt) / double(rule.window.count());
    budget.refilledAt = now;
    budget.balance = std::min(budget.balance, std::max(1.0, hostSlack * (1 + maxRequestCredit)));
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

} // namespace quincefall
