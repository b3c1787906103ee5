#include "policy/attempt_budget.h"

#include <algorithm>

namespace quincefall {
namespace {

// Share of the slack that the hosts together get as their first balance, and as each window's
// refill. Less than half, since both can be spent within one window. A full balance may be larger
// than the first one (see maxRequestCredit), and can be spent together with a refill too.
constexpr double slackShare = 0.45;
// Requests are counted where callers sent them; some never reach a host.
constexpr double ratioShare = 0.8;
// By how much a full balance may exceed one window's refill, in multiples of that refill. Meant for
// credit from requests, but unspent refill counts too. A full balance is at least one attempt.
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
