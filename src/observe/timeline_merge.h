#pragma once

#include "observe/timeline.h"

#include <span>
#include <string>
#include <vector>

namespace quincefall {

/// Reads the JSON lines of toJsonLine; lines that are not valid are left out.
std::vector<timeline_event> parseTimeline(std::string_view lines);

/// The events of several processes' JSON lines in the order of their stamps.
std::vector<timeline_event> mergeTimelines(std::span<const std::string> texts);

/// A line that says that @p host gave no events, and why.
std::string missingHostLine(std::string host, wall_milliseconds wall, std::string reason);

/// One line for people: time of day in UTC, host, event, subject, fields.
std::string toTextLine(const timeline_event &event);

/// The events in the trace-event format that browsers' trace viewers open: one process for each
/// host, one thread for each request. Source: "Trace Event Format", the Catapult project.
std::string toTrace(std::span<const timeline_event> events);

} // namespace quincefall
