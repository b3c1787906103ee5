#pragma once

#include "kernel/clock.h"

#include <optional>

namespace quincefall {

/// Limit on the further attempts, those after the first of each request, that the whole fleet sends
/// to one service. For the shares that hosts use of it see attempt_budget.cpp.
struct attempt_budget_rule
{
    double ratio = 0.2; ///< Further attempts per request.
    double slack = 0; ///< Additional ones per window.
    milliseconds window{10'000};
};

/// One host's part of the fleet's budget for further attempts at one service.
///
/// Guards against retry storms when many upstreams fail at once: the hosts do not coordinate, so
/// each spends only its own part, and failures can't multiply the load on the remaining upstreams.
struct attempt_budget
{
    double slack = 0; ///< Attempts left of the rule's slack.
    instant refilledAt{}; ///< Of `slack`.
    double credit = 0; ///< Attempts earned by recent requests.
    instant creditAt{}; ///< Time of `credit`.
};

/// The budget of a host whose process started at @p started. @p hosts is the number of hosts that
/// share the slack.
attempt_budget makeAttemptBudget(const attempt_budget_rule &rule, unsigned hosts, instant started);

/// Credits the budget for one request.
void depositAttempt(attempt_budget &budget, const attempt_budget_rule &rule, instant now);

/// What one further attempt took from the budget.
struct attempt_withdrawal
{
    double slack = 0;
    double credit = 0;
};

/// Withdraws one further attempt; empty when this host's part is used up. If the part is less than
/// one attempt, it is granted with a probability of that part; @p draw is a random number from 0
/// up to, but not including, 1.
///
/// The draw answers failures in a large fleet, where each host's part of the slack is below one
/// attempt: without it the slack of all hosts together would go unused.
std::optional<attempt_withdrawal> tryWithdrawAttempt(attempt_budget &budget,
                                                     const attempt_budget_rule &rule,
                                                     unsigned hosts, double draw, instant now);

/// Gives back what was withdrawn for an attempt that was not made.
void returnAttempt(attempt_budget &budget, const attempt_withdrawal &withdrawn);

} // namespace quincefall
