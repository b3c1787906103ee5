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

/// Timestamp of a hybrid logical clock: orders events across all processes that exchange messages.
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
    std::string request; ///< Request id; empty for an event of no request.
    std::string resource; ///< Resource, pool, upstream or lease; may be empty.
    std::vector<std::pair<std::string, std::string>> fields; ///< Inputs of the decision.
};

/// Which events to select. An empty request or resource matches all.
struct timeline_filter
{
    std::string request;
    std::string resource;
    wall_milliseconds since = 0; ///< Earliest wall-clock time to select.
};

/// Bounded record of this process's events; the oldest is evicted when the record is full.
class timeline
{
public:
    using fields = std::vector<std::pair<std::string, std::string>>;

    static std::unique_ptr<timeline> makeTimeline(std::string host, clock_source clock,
                                                  std::size_t capacity);

    void record(std::string_view kind, std::string_view request, std::string_view resource,
                fields values = {});

    /// Advances the clock and returns its timestamp, for an event or an outgoing message.
    hybrid_timestamp nextTimestamp();

    /// Advances the clock to at least the timestamp of a received message, so that later events are
    /// ordered after it.
    void advanceClock(const hybrid_timestamp &received);

    std::vector<timeline_event> select(const timeline_filter &filter) const;

    /// Number of events recorded since the start, including evicted ones.
    std::uint64_t recordedCount() const { return m_recordedCount; }

private:
    timeline(std::string host, clock_source clock, std::size_t capacity);

    std::string m_host;
    clock_source m_clock;
    std::size_t m_capacity;
    std::deque<timeline_event> m_events;
    hybrid_timestamp m_last;
    std::uint64_t m_recordedCount = 0;
};

/// JSON text of @p event on one line.
std::string toJsonLine(const timeline_event &event);

} // namespace quincefall
