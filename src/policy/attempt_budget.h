#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// What the whole fleet may send to a service beyond the first attempt of each request.
struct attempt_budget_rule
{
    double ratio = 0.2; ///< Further attempts for each request.
    double slack = 0; ///< Further attempts in each window on top.
    milliseconds window{10'000};
};

/// One host's part of the fleet's budget for further attempts at one service.
///
/// Answers the load in which many upstreams fail at once: the hosts decide without talking to each
/// other, so each spends its part only, and failures can't multiply the load on what is left.
struct attempt_budget
{
    double balance = 0;
    instant refilledAt = instant::min();
};

/// Adds what one request earns.
void depositAttempt(attempt_budget &budget, const attempt_budget_rule &rule);

/// Takes one further attempt; false when this host's part is used up. @p hosts is the number of
/// hosts that share the slack.
bool tryWithdrawAttempt(attempt_budget &budget, const attempt_budget_rule &rule, unsigned hosts,
                        instant now);

} // namespace quincefall
