#include "policy/retry_budget.h"

#include <algorithm>

namespace quincefall {

void earnRetry(retry_budget &budget)
{
    budget.balance
        = std::min(budget.balance + retry_budget::earnedPerSuccess, retry_budget::reserve);
}

bool takeRetry(retry_budget &budget)
{
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

} // namespace quincefall
