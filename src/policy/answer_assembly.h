#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// One server-sent event (WHATWG HTML, "Server-sent events").
struct sse_event
{
    std::string_view id;
    std::string_view data;
};

/// Splits a byte stream into server-sent events.
class sse_reader
{
public:
    /// Appends received bytes.
    void feed(std::string_view bytes);

    /// Extracts the next complete event; false when more bytes are needed. The event's views stay
    /// valid until the next call of feed() or next().
    bool next(sse_event &event);

    /// Bytes that were received and belong to no event that next() returned.
    std::size_t pendingBytes() const { return m_buffer.size() - m_position; }

private:
    std::string m_buffer;
    std::size_t m_position = 0;
    std::string m_joined; ///< Data of an event with several data lines.
};

/// Result of adding an event to an answer.
enum class event_outcome {
    accepted, ///< The next token, or the end of the answer.
    duplicate, ///< Received before; dropped.
    otherRequest, ///< An event of another request; dropped.
    gap, ///< A token before this event is missing: the stream can't be used further.
    malformed, ///< Not an event of a chat answer: the stream can't be used further.
};

/// The answer to one request, assembled from the events of one or several attempts.
struct answer_assembly
{
    std::string requestId;
    std::uint32_t firstTokenNumber = 1; ///< Number of the first token in `text`.
    std::uint32_t delivered = 0; ///< Number of the last token accepted.
    std::string text; ///< Accepted events as server-sent events, ready to be sent.
    std::vector<std::size_t> tokenEnds; ///< Offset in `text` after each token's event.
    bool hasFinishEvent = false; ///< The event with the finish reason was received.
    bool isComplete = false; ///< `[DONE]` was received after the finish event.

    std::uint64_t dropped = 0; ///< Number of duplicates and of other requests' events.
};

/// Makes an assembly that continues after token @p delivered of request @p requestId.
answer_assembly makeAnswerAssembly(std::string requestId, std::uint32_t delivered);

/// Adds one event of the current attempt.
event_outcome addEvent(answer_assembly &answer, const sse_event &event);

/// Offset in `text` after token @p number; 0 for tokens before the first, and the offset after the
/// last token for later ones.
std::size_t offsetAfterToken(const answer_assembly &answer, std::uint32_t number);

/// Text content of the answer, joined from the events of its tokens.
std::string joinedContent(const answer_assembly &answer);

/// JSON of the event with the finish reason; empty until it is received.
std::string_view finishEvent(const answer_assembly &answer);

} // namespace quincefall
