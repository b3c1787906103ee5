#pragma once

#include <boost/json/array.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>

namespace quincefall::standin {

/// Prompt prefixes an engine keeps in limited memory, least recently used out first, and the
/// events that tell of it.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t capacity);

    /// Marks @p prefix as used and stores it when absent. True when it was there.
    bool use(const std::string &prefix);

    bool contains(std::string_view prefix) const;

    /// Share of the memory in use, 0..1.
    double usedShare() const;

    /// Number of the next event.
    std::int64_t nextEvent() const { return m_nextEvent; }

    /// Events from number @p from on, without each @p gap -th one (0 keeps all).
    boost::json::array events(std::int64_t from, std::int64_t gap) const;

private:
    struct event
    {
        std::int64_t number;
        std::string_view action;
        std::string prefix;
    };

    void record(std::string_view action, std::string prefix);

    std::size_t m_capacity;
    std::list<std::string> m_prefixes; ///< Most recently used first.
    std::deque<event> m_events;
    std::int64_t m_nextEvent = 1;
};

} // namespace quincefall::standin
