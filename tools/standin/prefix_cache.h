#pragma once

#include <boost/json/array.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>

namespace quincefall::standin {

/// Cache of prompt prefixes with least-recently-used eviction. Records an event for each prefix
/// that is stored or evicted.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t capacity);

    /// Marks @p prefix as the most recently used and stores it if absent. True on a cache hit.
    bool use(const std::string &prefix);

    bool contains(std::string_view prefix) const;

    /// Share of the capacity in use, from 0 to 1.
    double usedShare() const;

    /// Sequence number of the next event; the first event has 1.
    std::int64_t nextEvent() const { return m_nextEvent; }

    /// Events with sequence number @p from and above. Simulates lost events: leaves out those whose
    /// number is a multiple of @p gap. 0 leaves out none.
    boost::json::array events(std::int64_t from, std::int64_t gap) const;

private:
    struct event
    {
        std::int64_t number;
        std::string_view action;
        std::string prefix;
    };

    void recordEvent(std::string_view action, std::string prefix);

    std::size_t m_capacity;
    std::list<std::string> m_prefixes; ///< Most recently used first.
    std::deque<event> m_events;
    std::int64_t m_nextEvent = 1;
};

} // namespace quincefall::standin
