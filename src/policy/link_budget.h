#pragma once

#include "kernel/clock.h"

namespace quincefall {

/// Byte budget of one scheduler for the link that all regions share.
struct link_budget
{
    double bytesPerSecond = 0; ///< 0 means no limit.
    double balance = 0; ///< Bytes that may be sent now; negative after a large request.
    instant refilledAt;
    bool partitioned = false; ///< The regions can't reach each other.
};

/// Bytes that a request puts on the link: its prompt, and each token as an event of the stream.
double estimatedLinkBytes(double promptTokens, double answerTokens);

/// Whether a request may use the link now. A request of the highest tier may overdraw the budget by
/// one burst more than others.
bool mayUseLink(link_budget &budget, bool highestTier, instant now);

/// Charges a request to the budget.
void chargeLink(link_budget &budget, double bytes);

} // namespace quincefall
