#include "policy/stream_framing.h"

namespace quincefall {
namespace {

constexpr unsigned leastUnframed = 4; // Streams that show that a service frames none.
constexpr seconds framedMemory{60}; // Engines of another build may send no framing.
constexpr seconds answerMemory{60};
// More than a message between hosts takes, so that what they tell each other in turn grows older.
constexpr seconds tellingTime{1};

} // namespace

std::string_view toString(stream_framing_kind kind)
{
    switch (kind) {
    case stream_framing_kind::framed:
        return "framed";
    case stream_framing_kind::unframed:
        return "unframed";
    case stream_framing_kind::unknown:
        break;
    }
    return "unknown";
}

void recordFraming(stream_framing_history &history, bool isFramed, instant now)
{
    if (isFramed)
        history = {now, 0};
    else
        ++history.unframed;
}

stream_framing_kind framingKind(const stream_framing_history &history, instant now)
{
    if (history.framedAt && now - *history.framedAt < framedMemory)
        return stream_framing_kind::framed;
    return history.unframed < leastUnframed ? stream_framing_kind::unknown
                                            : stream_framing_kind::unframed;
}

std::optional<told_framing> framingToTell(const stream_framing_history &history, instant now)
{
    if (framingKind(history, now) != stream_framing_kind::framed)
        return std::nullopt;
    return told_framing{0, std::chrono::ceil<milliseconds>(now - *history.framedAt)};
}

void applyFraming(stream_framing_history &history, const told_framing &told, instant now)
{
    const instant framedAt = now - told.framedAge - tellingTime;
    if (!history.framedAt || *history.framedAt < framedAt)
        history = {framedAt, 0};
}

void recordAnswer(answer_framing_history &history, bool isFramed, instant now)
{
    (isFramed ? history.framedAt : history.unframedAt) = now;
}

void recordAnnouncedEnd(answer_framing_history &history, instant now)
{
    history.announcedAt = now;
}

bool hasAnnouncedEnds(const answer_framing_history &history, instant now)
{
    return history.announcedAt && now - *history.announcedAt < answerMemory;
}

bool hasLackedFraming(const answer_framing_history &history, instant now)
{
    return history.unframedAt && now - *history.unframedAt < answerMemory;
}

bool mayLackFraming(const answer_framing_history &history, instant now)
{
    const bool isKnown = history.framedAt && now - *history.framedAt < answerMemory;
    return !isKnown || hasLackedFraming(history, now);
}

bool mayFrameStreams(const stream_framing_history &history, instant now)
{
    return framingKind(history, now) != stream_framing_kind::unframed;
}

} // namespace quincefall
