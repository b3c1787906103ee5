#include "standin/prefix_cache.h"

#include <algorithm>

namespace quincefall::standin {
namespace {

constexpr std::size_t maxEvents = 10'000;

} // namespace

prefix_cache::prefix_cache(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(1, capacity))
{
}

bool prefix_cache::use(const std::string &prefix)
{
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (found != m_prefixes.end()) {
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, found);
        return true;
    }
    m_prefixes.push_front(prefix);
    recordEvent("stored", prefix);
    if (m_prefixes.size() > m_capacity) {
        recordEvent("evicted", m_prefixes.back());
        m_prefixes.pop_back();
    }
    return false;
}

bool prefix_cache::contains(std::string_view prefix) const
{
    return std::find(m_prefixes.begin(), m_prefixes.end(), prefix) != m_prefixes.end();
}

double prefix_cache::usedShare() const
{
    return double(m_prefixes.size()) / double(m_capacity);
}

boost::json::array prefix_cache::events(std::int64_t from, std::int64_t gap) const
{
    boost::json::array selected;
    for (const event &each : m_events) {
        if (each.number < from || (gap > 0 && each.number % gap == 0))
            continue;
        selected.push_back(
            {{"seq", each.number}, {"action", each.action}, {"prefix", each.prefix}});
    }
    return selected;
}

void prefix_cache::recordEvent(std::string_view action, std::string prefix)
{
    m_events.push_back({m_nextEvent++, action, std::move(prefix)});
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace quincefall::standin
