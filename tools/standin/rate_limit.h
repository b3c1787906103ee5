#pragma once

#include "standin/wake_signal.h"

namespace quincefall::standin {

/// Token bucket that refills at a steady rate and holds at most @p burst permissions.
class rate_limit
{
public:
    rate_limit(double perSecond, double burst);

    /// Takes one permission; false when there is none.
    bool take(time_point now);

private:
    double m_perSecond;
    double m_burst;
    double m_available;
    time_point m_refilled;
};

} // namespace quincefall::standin
