#pragma once

#include "standin/wake_signal.h"

namespace quincefall::standin {

/// Token bucket that refills at a constant rate and holds at most `burst` permissions.
class rate_limit
{
public:
    rate_limit(double perSecond, double burst);

    /// Takes one permission. False when less than one is available.
    bool tryTake(time_point now);

private:
    double m_perSecond;
    double m_burst;
    double m_available;
    time_point m_refilledAt;
};

} // namespace quincefall::standin
