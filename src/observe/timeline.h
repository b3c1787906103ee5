#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincefall {

/// Stamp of a hybrid logical clock: ordered over all processes that exchange messages.
/// Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
struct hybrid_timestamp
{
    wall_milliseconds wall = 0;
    std::uint32_t logical = 0;

    auto operator<=>(const hybrid_timestamp &) const = default;
};

/// One event of the time line.
struct timeline_event
{
    hybrid_timestamp timestamp;
    std::string host;
    std::string kind; ///< Such as "request.granted".
    std::string request; ///< Request id, when one is concerned.
    std::string resource; ///< Resource, pool, upstream or lease concerned.
    std::vector<std::pair<std::string, std::string>> fields; ///< Inputs of the decision.
};

/// Which events to select; empty members match all.
struct timeline_filter
{
    std::string request;
    std::string resource;
    wall_milliseconds since = 0;
};

/// Bounded record of what this process did, newest events kept.
class timeline
{
public:
    using fields = std::vector<std::pair<std::string, std::string>>;

    static std::unique_ptr<timeline> makeTimeline(std::string host, clock_source clock,
                                                  std::size_t capacity);

    void record(std::string_view kind, std::string_view request, std::string_view resource,
                fields values = {});

    /// A stamp for an outgoing message.
    hybrid_timestamp nextTimestamp();

    /// Takes in the stamp of a received message, so that later events order after it.
    void advanceClock(const hybrid_timestamp &received);

    std::vector<timeline_event> select(const timeline_filter &filter) const;

    /// Events recorded since the start, including those no longer kept.
    std::uint64_t total() const { return m_total; }

private:
    timeline(std::string host, clock_source clock, std::size_t capacity);

    std::string m_host;
    clock_source m_clock;
    std::size_t m_capacity;
    std::deque<timeline_event> m_events;
    hybrid_timestamp m_last;
    std::uint64_t m_total = 0;
};

/// JSON text of @p event on one line.
std::string toJsonLine(const timeline_event &event);

} // namespace quincefall
