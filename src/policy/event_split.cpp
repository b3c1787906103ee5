#include "policy/event_split.h"

#include <algorithm>
#include <charconv>

namespace quincefall {
namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view lineEnds = "\r\n";
constexpr unsigned streamsPerGeneration = 256;

/// End of the line end at @p at. A CR at the end of @p text counts by itself.
std::size_t afterLineEnd(std::string_view text, std::size_t at)
{
    return at + (text.substr(at, 2) == lineEnds ? 2 : 1);
}

/// Length of the first complete event of @p text, including its blank line; 0 when there is none.
/// Then @p searched is the position from which to search when there is more.
std::size_t eventLength(std::string_view text, std::size_t &searched)
{
    std::size_t lineEnd = text.find_first_of(lineEnds, searched);
    while (lineEnd != std::string_view::npos) {
        searched = lineEnd;
        const std::size_t next = afterLineEnd(text, lineEnd);
        if (next >= text.size())
            return 0;
        if (text[next] == '\r' || text[next] == '\n')
            return afterLineEnd(text, next);
        lineEnd = text.find_first_of(lineEnds, next);
    }
    searched = text.size();
    return 0;
}

/// What the lines of an event say.
struct event_lines
{
    std::optional<std::uint64_t> id;
    bool hasUnreadableId = false;
    bool hasFields = false; ///< Other lines than comments.
    bool hasData = false;
    bool hasOtherText = false; ///< Lines that are no fields.
};

bool isFieldName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
            || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_';
    });
}

void readLine(event_lines &lines, std::string_view line)
{
    if (line.empty() || line.starts_with(':'))
        return;
    lines.hasFields = true;
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (!isFieldName(name))
        lines.hasOtherText = true;
    lines.hasData = lines.hasData || name == "data";
    if (name != "id" || colon == std::string_view::npos)
        return;
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), id);
    lines.hasUnreadableId = failure != std::errc() || end != value.data() + value.size();
    lines.id = lines.hasUnreadableId ? std::nullopt : std::optional(id);
}

event_lines readEvent(std::string_view event)
{
    event_lines lines;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find_first_of(lineEnds), event.size());
        readLine(lines, event.substr(0, end));
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return lines;
}

std::string_view faultOfEvent(const event_splitter &splitter, const event_lines &lines)
{
    if (lines.id && splitter.runId && *lines.id <= *splitter.runId)
        return "the ids of its events do not increase";
    if (splitter.hasEndedHere && lines.id && splitter.lastId && *lines.id > *splitter.lastId
        && splitter.runId != splitter.lastId)
        return "it does not send the last event again";
    if (!splitter.continues)
        return {};
    if (lines.hasOtherText)
        return "it holds text that is no event";
    if (lines.hasUnreadableId)
        return "it holds an event with an unreadable id";
    if (lines.hasFields && !lines.id && !splitter.firstId)
        return "its first event has no id";
    if (!lines.id || splitter.firstId)
        return {};
    const std::uint64_t step = std::max(splitter.largestStep, splitter.serviceStep);
    const bool isNext = splitter.lastId && *lines.id > *splitter.lastId;
    if (isNext && step > 0 && *lines.id - *splitter.lastId > step)
        return "events are missing before its first one";
    return {};
}

/// Updates the position for an event; true if it is to be returned.
bool placeEvent(event_splitter &splitter, const event_lines &lines)
{
    if (!lines.id) {
        const bool isUnplaced = lines.hasData || lines.hasUnreadableId || lines.hasOtherText;
        splitter.hasUnplacedEvent = splitter.hasUnplacedEvent || isUnplaced;
        splitter.hasEndedHere = splitter.hasEndedHere && !isUnplaced;
        return true;
    }
    if (splitter.runId)
        splitter.largestStep = std::max(splitter.largestStep, *lines.id - *splitter.runId);
    splitter.runId = lines.id;
    if (splitter.lastId && *lines.id <= *splitter.lastId) {
        ++splitter.repeated;
        return false;
    }
    splitter.previousId = splitter.lastId.value_or(0);
    splitter.lastId = lines.id;
    splitter.firstId = splitter.firstId.value_or(*lines.id);
    splitter.hasUnplacedEvent = false;
    splitter.hasEndedHere = false;
    return true;
}

/// Length of a byte order mark at the start of the answer, which belongs to no event.
std::size_t markLength(const event_splitter &splitter, std::string_view text)
{
    return splitter.isAtStart && text.starts_with(byteOrderMark) ? byteOrderMark.size() : 0;
}

} // namespace

void beginAttempt(event_splitter &splitter, std::uint64_t serviceStep)
{
    splitter.pending.clear();
    splitter.firstId.reset();
    splitter.repeated = 0;
    splitter.fault = {};
    splitter.serviceStep = serviceStep;
    splitter.runId.reset();
    splitter.continues = splitter.lastId || splitter.hasReturned;
    splitter.isJoined = splitter.hasReturned;
    splitter.isAtStart = true;
    splitter.isAfterReturn = false;
    splitter.searched = 0;
}

std::string extractEvents(event_splitter &splitter, std::string_view bytes)
{
    splitter.pending.append(bytes);
    std::string complete;
    std::size_t used = 0;
    const std::string_view text = splitter.pending;
    if (splitter.isAfterReturn && text.starts_with('\n')) {
        // The rest of a line end; the event itself may have been dropped.
        used = 1;
        if (!splitter.continues)
            complete.append(text.substr(0, used));
    }
    splitter.isAfterReturn = splitter.isAfterReturn && text.empty();
    splitter.searched = std::max(splitter.searched, used);
    while (splitter.fault.empty()) {
        std::size_t searched = splitter.searched - used;
        const std::size_t length = eventLength(text.substr(used), searched);
        splitter.searched = used + searched;
        if (length == 0)
            break;
        std::string_view event = text.substr(used, length);
        const std::size_t mark = markLength(splitter, event);
        const event_lines lines = readEvent(event.substr(mark));
        splitter.fault = faultOfEvent(splitter, lines);
        if (!splitter.fault.empty()) {
            splitter.hasEndedHere = false;
            break;
        }
        used += length;
        splitter.searched = used;
        splitter.isAtStart = false;
        splitter.isAfterReturn = used == text.size() && event.ends_with('\r');
        if (!placeEvent(splitter, lines))
            continue;
        // Within the stream a byte order mark would be part of a line.
        complete.append(event.substr(splitter.continues ? mark : 0));
    }
    splitter.pending.erase(0, used);
    splitter.searched -= used;
    splitter.hasReturned = splitter.hasReturned || !complete.empty();
    return complete;
}

std::string_view faultOfEnd(const event_splitter &splitter, bool mayContinue)
{
    if (!splitter.pending.empty() && (splitter.continues || mayContinue))
        return "the stream ended inside an event";
    if (splitter.isJoined && !splitter.firstId && !splitter.hasEndedHere)
        return "it ended without an event";
    return {};
}

bool endsWhereRunEnded(const event_splitter &splitter)
{
    return splitter.hasEndedHere && splitter.lastId && splitter.runId == splitter.lastId;
}

std::optional<std::uint64_t> nextRunPosition(const event_splitter &splitter)
{
    if (!splitter.hasEndedHere || !splitter.lastId)
        return splitter.lastId;
    const std::uint64_t newest = *splitter.lastId;
    const std::uint64_t position = splitter.previousId.value_or(newest > 0 ? newest - 1 : 0);
    return position == 0 ? std::nullopt : std::optional(position);
}

void noteUnprovenEnd(event_splitter &splitter)
{
    splitter.hasEndedHere = true;
}

std::string_view faultOfContinuation(const event_splitter &splitter, const stream_head &head)
{
    if (splitter.hasUnplacedEvent)
        return "the last event that was passed on has no id";
    if (head.status != 200)
        return "its status is not 200";
    if (!head.hasRunStamp)
        return "it has no response stamp";
    if (!head.isEventStream)
        return "it is no event stream";
    if (head.isEncoded)
        return "its body is encoded";
    return {};
}

void recordSteps(step_history &history, const event_splitter &splitter)
{
    if (splitter.largestStep == 0)
        return;
    if (history.streams >= streamsPerGeneration)
        history = {0, history.newer, 0};
    ++history.streams;
    history.newer = std::max(history.newer, splitter.largestStep);
}

std::uint64_t largestStep(const step_history &history)
{
    return std::max(history.newer, history.older);
}

} // namespace quincefall
