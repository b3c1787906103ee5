#include "standin/rate_limit.h"

#include <algorithm>

namespace quincefall::standin {

rate_limit::rate_limit(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_available(burst)
    , m_refilledAt(time_point())
{
}

bool rate_limit::tryTake(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_available = std::min(m_burst, m_available + elapsed * m_perSecond);
    m_refilledAt = now;
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace quincefall::standin
