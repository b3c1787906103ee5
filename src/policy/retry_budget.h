#pragma once

namespace quincefall {

/// Budget for attempts beyond the first of a request: retries, hedges and resumes share it.
///
/// Each complete answer adds a tenth of an attempt, so that upstream faults can raise the number of
/// attempts by no more than a tenth, apart from the initial balance.
struct retry_budget
{
    static constexpr double retriesPerSuccess = 0.1;
    static constexpr double maxBalance = 10; ///< In attempts; also the initial balance.

    double balance = maxBalance;
};

/// Credits the budget for a complete answer.
void depositRetry(retry_budget &budget);

/// Withdraws one attempt; false when the budget is used up.
bool tryWithdrawRetry(retry_budget &budget);

} // namespace quincefall
