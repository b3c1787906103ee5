#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace quincefall {

/// How the upstreams of a service end their streams, as far as is known.
enum class stream_framing_kind {
    unknown,
    framed, ///< With an end of their own: a length or a last chunk.
    unframed ///< With their connection alone.
};

/// For logs.
std::string_view toString(stream_framing_kind kind);

/// When upstreams of a service last sent a stream with an end of its own.
struct stream_framing_history
{
    std::optional<instant> framedAt;
    unsigned unframed = 0; ///< Streams without one since.
};

/// Records that a stream whose end @p isFramed has begun, or that one whose end is not has ended.
void recordFraming(stream_framing_history &history, bool isFramed, instant now);

stream_framing_kind framingKind(const stream_framing_history &history, instant now);

/// A service whose upstreams frame their streams, as one host tells it to another. That a service
/// frames none is not told: each host has to see that itself.
struct told_framing
{
    std::uint64_t service = 0; ///< nameHash() of its name.
    milliseconds framedAge{0}; ///< Since the last stream with an end of its own.
};

/// Empty if there is nothing to tell.
std::optional<told_framing> framingToTell(const stream_framing_history &history, instant now);

/// Adds what another host knows.
void applyFraming(stream_framing_history &history, const told_framing &told, instant now);

/// When upstreams of a service last sent a whole answer with and without an end of its own.
struct answer_framing_history
{
    std::optional<instant> framedAt;
    std::optional<instant> unframedAt;
    std::optional<instant> announcedAt; ///< Of one whose head named the close, a stream or not.
};

/// Records that the head of an answer or stream named the close of its connection as its end.
void recordAnnouncedEnd(answer_framing_history &history, instant now);

/// Whether answers or streams of the service lately did so.
bool hasAnnouncedEnds(const answer_framing_history &history, instant now);

void recordAnswer(answer_framing_history &history, bool isFramed, instant now);

/// Whether a whole answer of the service lately ended with its connection alone.
bool hasLackedFraming(const answer_framing_history &history, instant now);

/// The same, or it is not known that they have ends of their own.
bool mayLackFraming(const answer_framing_history &history, instant now);

/// Whether upstreams of the service send streams with an end of their own, or may.
bool mayFrameStreams(const stream_framing_history &history, instant now);

} // namespace quincefall
