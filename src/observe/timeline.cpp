#include "observe/timeline.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace quincefall {
namespace {

bool matches(const timeline_filter &filter, const timeline_event &event)
{
    if (event.timestamp.wall < filter.since)
        return false;
    if (!filter.request.empty() && filter.request != event.request)
        return false;
    return filter.resource.empty() || filter.resource == event.resource;
}

} // namespace

std::unique_ptr<timeline> timeline::makeTimeline(std::string host, clock_source clock,
                                                 std::size_t capacity)
{
    return std::unique_ptr<timeline>(new timeline(std::move(host), std::move(clock), capacity));
}

timeline::timeline(std::string host, clock_source clock, std::size_t capacity)
    : m_host(std::move(host))
    , m_clock(std::move(clock))
    , m_capacity(capacity)
{
}

void timeline::record(std::string_view kind, std::string_view request, std::string_view resource,
                      fields values)
{
    if (m_events.size() >= m_capacity)
        m_events.pop_front();
    m_events.push_back({nextTimestamp(), m_host, std::string(kind), std::string(request),
                        std::string(resource), std::move(values)});
    ++m_recordedCount;
}

hybrid_timestamp timeline::nextTimestamp()
{
    const wall_milliseconds wall = m_clock.wall();
    if (wall > m_last.wall)
        m_last = {wall, 0};
    else
        ++m_last.logical;
    return m_last;
}

void timeline::advanceClock(const hybrid_timestamp &received)
{
    if (received > m_last)
        m_last = received;
}

std::vector<timeline_event> timeline::select(const timeline_filter &filter) const
{
    std::vector<timeline_event> selected;
    for (const timeline_event &event : m_events) {
        if (matches(filter, event))
            selected.push_back(event);
    }
    return selected;
}

std::string toJsonLine(const timeline_event &event)
{
    boost::json::object fields;
    for (const auto &[name, value] : event.fields)
        fields[name] = value;
    boost::json::object line{{"wall_ms", event.timestamp.wall},
                             {"logical", event.timestamp.logical},
                             {"host", event.host},
                             {"event", event.kind}};
    if (!event.request.empty())
        line["request"] = event.request;
    if (!event.resource.empty())
        line["resource"] = event.resource;
    if (!fields.empty())
        line["fields"] = std::move(fields);
    return boost::json::serialize(line);
}

} // namespace quincefall
