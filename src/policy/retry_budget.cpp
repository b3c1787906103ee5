#include "policy/retry_budget.h"

#include <algorithm>

namespace quincefall {

void depositRetry(retry_budget &budget)
{
    budget.balance
        = std::min(budget.balance + retry_budget::retriesPerSuccess, retry_budget::maxBalance);
}

bool tryWithdrawRetry(retry_budget &budget)
{
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

} // namespace quincefall
