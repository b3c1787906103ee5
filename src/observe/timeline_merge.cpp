#include "observe/timeline_merge.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <tuple>

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr std::int64_t microsecondsPerMillisecond = 1000;
constexpr std::int64_t millisecondsPerDay = 86'400'000;

std::string stringField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::optional<timeline_event> parseEvent(std::string_view line)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(line, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    const json::object &object = parsed.get_object();
    timeline_event event;
    const json::value *wall = object.if_contains("wall_ms");
    const json::value *logical = object.if_contains("logical");
    if (wall == nullptr || logical == nullptr)
        return std::nullopt;
    event.timestamp.wall = wall->to_number<std::int64_t>(failure);
    if (failure)
        return std::nullopt;
    event.timestamp.logical = logical->to_number<std::uint32_t>(failure);
    if (failure)
        return std::nullopt;
    event.host = stringField(object, "host");
    event.kind = stringField(object, "event");
    event.request = stringField(object, "request");
    event.resource = stringField(object, "resource");
    if (const json::value *fields = object.if_contains("fields"); fields && fields->is_object()) {
        for (const auto &member : fields->get_object())
            event.fields.emplace_back(member.key(),
                                      stringField(fields->get_object(), member.key()));
    }
    return event;
}

bool isEarlier(const timeline_event &left, const timeline_event &right)
{
    return std::tie(left.timestamp, left.host) < std::tie(right.timestamp, right.host);
}

std::string timeOfDay(wall_milliseconds wall)
{
    const std::int64_t msOfDay = wall % millisecondsPerDay;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%03d", int(msOfDay / 3'600'000),
                  int(msOfDay / 60'000 % 60), int(msOfDay / 1000 % 60), int(msOfDay % 1000));
    return text.data();
}

/// Assigns small integer ids to names, as trace viewers expect for processes and threads.
class sequential_ids
{
public:
    int idOf(const std::string &name)
    {
        return m_ids.try_emplace(name, int(m_ids.size()) + 1).first->second;
    }

private:
    std::map<std::string, int> m_ids;
};

json::object nameEntry(const char *kind, int process, int thread, const std::string &name)
{
    return {{"name", kind},
            {"ph", "M"},
            {"pid", process},
            {"tid", thread},
            {"args", json::object{{"name", name}}}};
}

json::object traceEntry(const timeline_event &event, int process, int thread)
{
    json::object fields;
    for (const auto &[name, value] : event.fields)
        fields[name] = value;
    fields["resource"] = event.resource;
    fields["logical"] = event.timestamp.logical;
    return {{"name", event.kind},
            {"ph", "i"},
            {"s", "t"},
            {"ts", event.timestamp.wall * microsecondsPerMillisecond},
            {"pid", process},
            {"tid", thread},
            {"args", std::move(fields)}};
}

} // namespace

std::vector<timeline_event> parseTimeline(std::string_view lines)
{
    std::vector<timeline_event> events;
    while (!lines.empty()) {
        const std::size_t end = lines.find('\n');
        if (auto event = parseEvent(lines.substr(0, end)))
            events.push_back(std::move(*event));
        lines = end == std::string_view::npos ? std::string_view() : lines.substr(end + 1);
    }
    return events;
}

std::vector<timeline_event> mergeTimelines(std::span<const std::string> texts)
{
    std::vector<timeline_event> merged;
    for (const std::string &text : texts) {
        for (timeline_event &event : parseTimeline(text))
            merged.push_back(std::move(event));
    }
    std::stable_sort(merged.begin(), merged.end(), isEarlier);
    return merged;
}

std::string missingHostLine(std::string host, wall_milliseconds wall, std::string reason)
{
    timeline_event event;
    event.timestamp.wall = wall;
    event.resource = host;
    event.host = std::move(host);
    event.kind = "timeline.host-missing";
    event.fields.emplace_back("reason", std::move(reason));
    return toJsonLine(event) + "\n";
}

std::string toTextLine(const timeline_event &event)
{
    std::string line = timeOfDay(event.timestamp.wall) + "  " + event.host + "  " + event.kind;
    if (!event.request.empty())
        line += "  request=" + event.request;
    if (!event.resource.empty())
        line += "  on=" + event.resource;
    for (const auto &[name, value] : event.fields) {
        if (value.empty())
            continue;
        line += "  ";
        line += name;
        line += '=';
        line += value;
    }
    return line;
}

std::string toTrace(std::span<const timeline_event> events)
{
    sequential_ids processIds;
    sequential_ids threadIds;
    json::array entries;
    std::map<std::pair<int, int>, bool> namedThreads;
    for (const timeline_event &event : events) {
        const int process = processIds.idOf(event.host);
        const int thread = event.request.empty() ? 0 : threadIds.idOf(event.request);
        if (namedThreads.try_emplace({process, -1}, true).second)
            entries.push_back(nameEntry("process_name", process, 0, event.host));
        if (namedThreads.try_emplace({process, thread}, true).second)
            entries.push_back(nameEntry("thread_name", process, thread,
                                        event.request.empty() ? "host" : event.request));
        entries.push_back(traceEntry(event, process, thread));
    }
    return json::serialize(json::object{{"traceEvents", std::move(entries)}});
}

} // namespace quincefall
