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
    /// Adds received bytes.
    void feed(std::string_view bytes);

    /// Takes the next whole event; false when more bytes are needed. The views stay valid until
    /// the next feed.
    bool next(sse_event &event);

private:
    std::string m_buffer;
    std::size_t m_position = 0;
    std::string m_joined; ///< Data of an event with several data lines.
};

/// What became of an event.
enum class event_outcome {
    accepted, ///< The next token, or the end of the answer.
    duplicate, ///< A token that was delivered already; dropped.
    otherRequest, ///< Another request's event; dropped.
    gap, ///< A token is missing in front of this one: the stream cannot be used further.
    malformed, ///< Not an event of a chat answer: the stream cannot be used further.
};

/// The answer to one request, put together from the events of one or several attempts.
struct answer_assembly
{
    std::string requestId;
    std::uint32_t firstTokenNumber = 1; ///< Number of the first token in `text`.
    std::uint32_t delivered = 0; ///< Number of the last token received.
    std::string text; ///< Accepted events as server-sent events, ready to be passed on.
    std::vector<std::size_t> tokenEnds; ///< End in `text` of each token's event.
    bool hasFinishEvent = false; ///< The event that carries the finish reason was received.
    bool isComplete = false; ///< The end mark was received after all tokens.

    std::uint64_t dropped = 0; ///< Duplicate and foreign events.
};

/// An assembly that continues after token @p delivered of request @p requestId.
answer_assembly makeAnswerAssembly(std::string requestId, std::uint32_t delivered);

/// Takes in one event of the current attempt.
event_outcome addEvent(answer_assembly &answer, const sse_event &event);

/// Position in `text` after token @p number; 0 for tokens before the first.
std::size_t offsetAfterToken(const answer_assembly &answer, std::uint32_t number);

/// The answer's text content, joined from the tokens' events.
std::string joinedContent(const answer_assembly &answer);

/// The JSON of the finishing event; empty until it was received.
std::string_view finishEvent(const answer_assembly &answer);

} // namespace quincefall
