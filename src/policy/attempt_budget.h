#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Limit on the further attempts, those after the first of each request, that the whole fleet sends
/// to one service. For ratioShare and slackShare see attempt_budget.cpp.
struct attempt_budget_rule
{
    double ratio = 0.2; ///< Further attempts per request; only ratioShare of it is credited.
    double slack = 0; ///< Additional ones per window; only slackShare of it is refilled.
    milliseconds window{10'000};
};

/// One host's part of the fleet's budget for further attempts at one service.
///
/// Guards against retry storms when many upstreams fail at once: the hosts do not coordinate, so
/// each spends only its own part, and failures can't multiply the load on the remaining upstreams.
struct attempt_budget
{
    double balance = 0;
    instant refilledAt = instant::min();
};

/// Credits the budget for one request, by ratioShare of the rule's ratio.
void depositAttempt(attempt_budget &budget, const attempt_budget_rule &rule);

/// Withdraws one further attempt; false when this host's part is used up. @p hosts is the number of
/// hosts that share the slack.
bool tryWithdrawAttempt(attempt_budget &budget, const attempt_budget_rule &rule, unsigned hosts,
                        instant now);

} // namespace quincefall
