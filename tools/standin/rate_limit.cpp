#include "standin/rate_limit.h"

#include <algorithm>

namespace quincefall::standin {

rate_limit::rate_limit(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_available(burst)
    , m_refilled(time_point())
{
}

bool rate_limit::take(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilled).count();
    m_available = std::min(m_burst, m_available + elapsed * m_perSecond);
    m_refilled = now;
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace quincefall::standin
