#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall {

/// Splits the bytes of an event stream into complete events, so that a caller never receives part
/// of an event when an upstream fails.
///
/// Also checks what the upstreams of one stream bring, which has to be one series of events with
/// increasing ids. Across the seam between two runs, the first event must follow the last one that
/// was passed on; see beginAttempt(). Within a run an upstream may number its events as it likes,
/// as long as the ids increase.
struct event_splitter
{
    std::string pending; ///< Bytes of the event that is not complete yet.
    std::optional<std::uint64_t> lastId; ///< Of the events that were returned.
    std::optional<std::uint64_t> previousId; ///< Of the one before it; empty if unknown.
    std::optional<std::uint64_t> firstId; ///< Of those that were returned since beginAttempt().
    unsigned repeated = 0; ///< Events dropped since beginAttempt().
    std::uint64_t largestStep = 0; ///< Between consecutive ids of one run; 0 until known.
    /// Why the current upstream's events can't be part of the stream; empty if they can. From then
    /// on no event is returned until beginAttempt().
    std::string_view fault;

    std::uint64_t serviceStep = 0; ///< As given to beginAttempt().
    std::optional<std::uint64_t> runId; ///< Newest since beginAttempt(), also of dropped events.
    bool hasReturned = false; ///< Something was returned, by any attempt.
    bool continues = false; ///< The current upstream continues what others began.
    bool isJoined = false; ///< The same, and this host returned something of it.
    bool isAtStart = true; ///< Nothing was split since beginAttempt().
    bool isAfterReturn = false; ///< The last event ended with CR; LF may follow.
    bool hasUnplacedEvent = false; ///< An event that can't be placed by its id was returned last.
    bool hasEndedHere = false; ///< A run ended after the last event; see noteUnprovenEnd().
    std::size_t searched = 0; ///< Bytes of `pending` that don't end an event.
};

/// Prepares for the answer of another upstream, which continues after `lastId`. For a stream of
/// which the caller has events of another attempt, `lastId` is to be set to the last one before.
///
/// @p serviceStep is the largest step between ids in streams of the same service, 0 if unknown. A
/// gap can be told from the upstreams' own numbering only by such a step or by one seen in the
/// stream itself. Without either, any id above `lastId` is taken.
void beginAttempt(event_splitter &splitter, std::uint64_t serviceStep = 0);

/// Appends @p bytes and returns the events that are now complete, unchanged. In a continued stream,
/// events whose id is not above `lastId` are dropped, since they were returned before.
std::string extractEvents(event_splitter &splitter, std::string_view bytes);

/// Why an answer that ends now, as the upstream says, is not the stream's end; empty if it is. With
/// @p mayContinue, another upstream may continue the stream.
///
/// A continuation without any event is refused if this host returned events of a run that broke
/// off: the upstream may have lost the rest. For a caller that takes the stream up, it is the whole
/// answer of one upstream.
std::string_view faultOfEnd(const event_splitter &splitter, bool mayContinue);

/// Whether a run that ends now ends behind the same event as an earlier one, and sent it as well.
bool endsWhereRunEnded(const event_splitter &splitter);

/// Id of the event after which a run is to continue; empty for a run from the start. Where an
/// earlier one ended without a proof, the last event is asked for again. A run that does not send
/// it is refused, since its events may be cut differently; the next one continues after it.
std::optional<std::uint64_t> nextRunPosition(const event_splitter &splitter);

/// Records that a run ended at the current place, without a proof that the stream does.
void noteUnprovenEnd(event_splitter &splitter);

/// What the head of an answer says of its body.
struct stream_head
{
    int status = 0;
    bool hasRunStamp = false;
    bool isEventStream = false;
    bool isEncoded = false;
};

/// Why an answer with @p head can't continue the stream; empty if it can.
std::string_view faultOfContinuation(const event_splitter &splitter, const stream_head &head);

/// The largest step between consecutive ids in recent streams of a service that ended well.
struct step_history
{
    std::uint64_t newer = 0;
    std::uint64_t older = 0;
    unsigned streams = 0; ///< Counted in `newer`.
};

/// Records the steps of a stream that ended well.
void recordSteps(step_history &history, const event_splitter &splitter);

/// 0 if unknown.
std::uint64_t largestStep(const step_history &history);

} // namespace quincefall
