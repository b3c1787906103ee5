#pragma once

namespace quincefall {

/// Budget for attempts beyond the first of a request: retries, hedges and resumes share it.
///
/// Each complete answer earns a tenth of an attempt, so that faults of the upstreams can't raise
/// the number of attempts by more than a tenth, the reserve aside.
struct retry_budget
{
    static constexpr double retriesPerSuccess = 0.1;
    static constexpr double maxBalance = 10; ///< Attempts; also the most that can be saved up.

    double balance = maxBalance;
};

/// Adds what a complete answer earns.
void depositRetry(retry_budget &budget);

/// Takes one attempt out of the budget; false when it is used up.
bool tryWithdrawRetry(retry_budget &budget);

} // namespace quincefall
