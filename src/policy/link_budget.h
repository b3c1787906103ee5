#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Byte budget of one scheduler for the link between the regions, which all regions share.
struct link_budget
{
    double bytesPerSecond = 0; ///< 0 means no limit.
    double balance = 0; ///< Bytes that may be sent now; negative after a large request.
    instant refilledAt;
    bool partitioned = false; ///< The regions can't reach each other; nothing may be sent.
};

/// Estimated bytes that a request sends over the link: its prompt, and one server-sent event per
/// token of the answer.
double estimatedLinkBytes(double promptTokens, double answerTokens);

/// Whether a request may use the link now: while the balance is positive, and for the highest tier
/// until it is overdrawn by one burst.
bool mayUseLink(link_budget &budget, bool highestTier, instant now);

/// Charges a request to the budget.
void chargeLink(link_budget &budget, double bytes);

} // namespace quincefall
