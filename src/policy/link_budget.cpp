#include "policy/link_budget.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr double burstSeconds = 2; // Unused budget that may accumulate.
constexpr double promptBytesPerToken = 4;
constexpr double eventBytes = 180; // One token as a server-sent event.

void refill(link_budget &budget, instant now)
{
    const double elapsed = toMilliseconds(now - budget.refilledAt) / 1000;
    const double limit = budget.bytesPerSecond * burstSeconds;
    budget.balance = std::min(limit, budget.balance + elapsed * budget.bytesPerSecond);
    budget.refilledAt = now;
}

} // namespace

double estimatedLinkBytes(double promptTokens, double answerTokens)
{
    return promptTokens * promptBytesPerToken + answerTokens * eventBytes;
}

bool mayUseLink(link_budget &budget, bool highestTier, instant now)
{
    if (budget.partitioned)
        return false;
    if (budget.bytesPerSecond <= 0)
        return true;
    refill(budget, now);
    const double overdraft = highestTier ? budget.bytesPerSecond * burstSeconds : 0;
    return budget.balance > -overdraft;
}

void chargeLink(link_budget &budget, double bytes)
{
    if (budget.bytesPerSecond > 0)
        budget.balance -= bytes;
}

} // namespace quincefall
