#pragma once

#include "observe/timeline.h"

#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// Parses JSON lines written by toJsonLine(); skips invalid lines.
std::vector<timeline_event> parseTimeline(std::string_view lines);

/// Parses the JSON lines of several processes and returns their events in timestamp order.
std::vector<timeline_event> mergeTimelines(std::span<const std::string> texts);

/// JSON line of an event saying that @p host returned no events, with the reason.
std::string missingHostLine(std::string host, wall_milliseconds wall, std::string reason);

/// Human-readable line: time of day in UTC, host, event, request, resource, and fields that are not
/// empty.
std::string toTextLine(const timeline_event &event);

/// JSON in the trace-event format that browsers' trace viewers open: one process for each host, one
/// thread for each request. Source: "Trace Event Format", the Catapult project.
std::string toTrace(std::span<const timeline_event> events);

} // namespace quincefall
