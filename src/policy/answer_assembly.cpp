#include "policy/answer_assembly.h"

#include <boost/json/parse.hpp>

#include <charconv>

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr std::string_view endMark = "[DONE]";
constexpr std::string_view nullFinishReason = "\"finish_reason\":null";
constexpr std::string_view idPrefix = "{\"id\":\"";
constexpr std::size_t compactAboveBytes = 65536;

std::string_view trimmedLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

std::string_view fieldValue(std::string_view line, std::string_view name)
{
    std::string_view value = line.substr(name.size());
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

bool parseNumber(std::string_view text, std::uint32_t &number)
{
    const auto [end, failure] = std::from_chars(text.begin(), text.end(), number);
    return failure == std::errc() && end == text.end() && !text.empty();
}

/// Whether the chunk's "id" is @p requestId. Most engines write it first, which saves the parsing.
bool belongsToRequest(std::string_view data, std::string_view requestId)
{
    if (data.starts_with(idPrefix)) {
        const std::string_view rest = data.substr(idPrefix.size());
        return rest.starts_with(requestId) && rest.substr(requestId.size()).starts_with('"');
    }
    boost::system::error_code failure;
    const json::value parsed = json::parse(data, failure);
    const json::object *object = failure ? nullptr : parsed.if_object();
    const json::value *id = object == nullptr ? nullptr : object->if_contains("id");
    return id != nullptr && id->is_string() && id->get_string() == requestId;
}

void appendEvent(answer_assembly &answer, const sse_event &event)
{
    if (!event.id.empty()) {
        answer.text += "id: ";
        answer.text += event.id;
        answer.text += '\n';
    }
    answer.text += "data: ";
    answer.text += event.data;
    answer.text += "\n\n";
}

event_outcome addToken(answer_assembly &answer, const sse_event &event)
{
    std::uint32_t number = 0;
    if (!parseNumber(event.id, number))
        return event_outcome::malformed;
    if (number <= answer.delivered) {
        ++answer.dropped;
        return event_outcome::duplicate;
    }
    if (number != answer.delivered + 1)
        return event_outcome::gap;
    appendEvent(answer, event);
    answer.delivered = number;
    answer.tokenEnds.push_back(answer.text.size());
    return event_outcome::accepted;
}

/// The finish event carries the number of the last token, so that a lost token is detected as a
/// gap.
event_outcome addFinish(answer_assembly &answer, const sse_event &event)
{
    std::uint32_t number = 0;
    if (!parseNumber(event.id, number))
        return event_outcome::malformed;
    if (number != answer.delivered)
        return event_outcome::gap;
    if (answer.hasFinishEvent) {
        ++answer.dropped;
        return event_outcome::duplicate;
    }
    appendEvent(answer, event);
    answer.hasFinishEvent = true;
    return event_outcome::accepted;
}

event_outcome addEndMark(answer_assembly &answer, const sse_event &event)
{
    if (!answer.hasFinishEvent)
        return event_outcome::gap;
    appendEvent(answer, event);
    answer.isComplete = true;
    return event_outcome::accepted;
}

void appendContent(std::string &content, std::string_view chunk)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(chunk, failure);
    if (failure)
        return;
    boost::json::error_code missing;
    const json::value *text = parsed.find_pointer("/choices/0/delta/content", missing);
    if (text != nullptr && text->is_string())
        content += text->get_string();
}

} // namespace

void sse_reader::feed(std::string_view bytes)
{
    if (m_position > compactAboveBytes || m_position == m_buffer.size()) {
        m_buffer.erase(0, m_position);
        m_position = 0;
    }
    m_buffer += bytes;
}

bool sse_reader::next(sse_event &event)
{
    event = {};
    int dataLines = 0;
    std::size_t cursor = m_position;
    while (true) {
        const std::size_t end = m_buffer.find('\n', cursor);
        if (end == std::string::npos)
            return false;
        const std::string_view line
            = trimmedLine(std::string_view(m_buffer).substr(cursor, end - cursor));
        cursor = end + 1;
        if (line.empty()) {
            m_position = cursor;
            if (dataLines > 0)
                return true;
            event = {};
        } else if (line.starts_with("id:")) {
            event.id = fieldValue(line, "id:");
        } else if (line.starts_with("data:")) {
            const std::string_view value = fieldValue(line, "data:");
            if (++dataLines == 1) {
                event.data = value;
            } else {
                m_joined = std::string(event.data) + "\n" + std::string(value);
                event.data = m_joined;
            }
        }
    }
}

answer_assembly makeAnswerAssembly(std::string requestId, std::uint32_t delivered)
{
    answer_assembly answer;
    answer.requestId = std::move(requestId);
    answer.firstTokenNumber = delivered + 1;
    answer.delivered = delivered;
    return answer;
}

event_outcome addEvent(answer_assembly &answer, const sse_event &event)
{
    if (answer.isComplete) {
        ++answer.dropped;
        return event_outcome::duplicate;
    }
    if (event.data == endMark)
        return addEndMark(answer, event);
    if (!belongsToRequest(event.data, answer.requestId)) {
        ++answer.dropped;
        return event_outcome::otherRequest;
    }
    if (event.data.find(nullFinishReason) != std::string_view::npos)
        return addToken(answer, event);
    return addFinish(answer, event);
}

std::size_t offsetAfterToken(const answer_assembly &answer, std::uint32_t number)
{
    if (number < answer.firstTokenNumber || answer.tokenEnds.empty())
        return 0;
    const std::size_t index
        = std::min<std::size_t>(number - answer.firstTokenNumber, answer.tokenEnds.size() - 1);
    return answer.tokenEnds[index];
}

std::string joinedContent(const answer_assembly &answer)
{
    std::string content;
    sse_reader reader;
    reader.feed(answer.text);
    sse_event event;
    while (reader.next(event)) {
        if (event.data != endMark)
            appendContent(content, event.data);
    }
    return content;
}

std::string_view finishEvent(const answer_assembly &answer)
{
    if (!answer.hasFinishEvent)
        return {};
    const std::size_t begin = answer.tokenEnds.empty() ? 0 : answer.tokenEnds.back();
    std::string_view rest = std::string_view(answer.text).substr(begin);
    rest.remove_prefix(rest.find("data: ") + std::string_view("data: ").size());
    return rest.substr(0, rest.find('\n'));
}

} // namespace quincefall
