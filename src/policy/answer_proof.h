#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace quincefall {

/// What shows that an answer which has ended is whole. That its upstream lives does not by itself:
/// it may end an answer early, in good order, and go on to run.
enum class answer_proof {
    none,
    framing, ///< The upstream named the end: by a length, a last chunk, or a head without a body.
    announcement, ///< Its head named the close as the end, and nothing else can have caused that.
    agreement, ///< Runs that nothing they share can have ended did so behind the same last piece.
    declaration, ///< The operator's, that no upstream which lives ends an answer early.
};

/// For logs.
std::string_view toString(answer_proof proof);

/// The end of a run of which all bytes arrived in order. A run that was reset, timed out or ended
/// before the end that its framing names has failed instead.
struct run_end
{
    bool isFramed = false;
    /// The upstream's system had received the whole request. What ends an answer before may be the
    /// part of the request that the upstream never read, which is the same in any further run.
    bool hasWholeRequest = false;
    /// Other upstreams of the service may frame such answers, so that one of them can prove it.
    bool mayBeFramed = false;
    /// This run and earlier ones confirm each other, which all sent the same last piece and ended
    /// behind it: the same event or, of a whole answer, the same bytes. A run that brought nothing
    /// may have been ended before it could.
    bool isConfirmed = false;
    bool isDeclared = false; ///< Upstreams that live are declared to end only whole answers.
    bool isAnnounced = false; ///< The head said that the connection ends with the answer.
    /// The upstream's process answered a call after the end and, for an end that nothing but its
    /// announcement could prove, again after `stopTime`.
    bool hasOutlived = false;
    bool isLeaving = false; ///< The upstream takes no new work, and may have ended its answers.
    microseconds timeLeft{0}; ///< Of the time that the upstream was given, at the end.
    microseconds longestWait{0}; ///< For any piece of the answer, in this run or an earlier one.
    microseconds expectedWait{0}; ///< For a piece of the answer, as the route declares.
    /// The longest time for which this host may have kept the upstream from sending.
    microseconds longestUnread{0};
};

/// Time for which a process that ends its answers since it stops may still answer calls.
constexpr milliseconds stopTime{500};

/// Runs that are recorded at the most for one end.
constexpr std::size_t maxRunEnds = 4;

/// Whether runs that ended behind the same piece at @p upstreams, in their order, rule out that an
/// upstream ended them early: they were at two upstreams, and at one of these again. An upstream
/// that ends its answers because it stops does not serve one of them again.
bool confirmEachOther(std::span<const std::uint64_t> upstreams);

/// Whether the upstream ended its answer as the head announced, for no other reason than perhaps
/// that it was stopped. A process that lives on for `stopTime` was not.
bool isEndAsAnnounced(const run_end &end);

/// What proves the answer whole. Without a proof it is incomplete, whoever sent it.
answer_proof proofOf(const run_end &end);

} // namespace quincefall
