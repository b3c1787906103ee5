#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quincefall {

/// Upstreams that can continue each other's streams.
struct upstream_kind
{
    std::string service;
    std::string version; ///< Of their software.

    auto operator<=>(const upstream_kind &) const = default;
};

/// What a host knows of a stream that it does not know itself.
struct origin_belief
{
    std::set<upstream_kind> kinds; ///< Those that it may go on at now; empty if not known.
    bool hasSeveral = false; ///< There are other kinds, known or not.
    bool isOutdated = false; ///< What the host has may not be the newest there is.
    bool mayMissChanges = false; ///< There may have been other kinds that the host never saw.
};

/// What a keeper of a stream answered.
struct origin_answers
{
    std::optional<upstream_kind> known; ///< By a host that was told.
    std::set<upstream_kind> assumed; ///< By hosts that know of one kind only.
    bool hasSeveral = false; ///< A host knows of several kinds.
};

/// The only kind at which streams may have begun, by @p belief; empty if the host can't tell.
std::optional<upstream_kind> assumedKind(const origin_belief &belief);

/// Where a stream has begun, by what this host believes and others answered; empty if that can't be
/// known. Without a record, nothing holds at a host that is outdated, whoever shares its belief; at
/// one that may have missed changes, only what another host shares that has not.
std::optional<upstream_kind> decideOrigin(const origin_belief &own, const origin_answers &answers);

/// Where runs of a stream ended with their connections alone, which does not prove that the stream
/// ended there.
struct stream_run_end
{
    std::uint64_t after = 0; ///< Id of the last event of each run.
    std::uint64_t before = 0; ///< Of the event before it; 0 if there is none.
    std::vector<std::uint64_t> upstreams; ///< nameHash() of the ids of the runs' upstreams.
    milliseconds longestWait{0}; ///< For an event, in any run so far.
};

/// Whether the end, which another host told, can be one.
bool isPlausible(const stream_run_end &end);

/// Which upstreams may continue a stream.
struct stream_origin
{
    std::string service;
    std::string version; ///< Software version of the upstream that sent its first event.
    instant begunAt = instant::min(); ///< When this host learned of it.
    bool isUntold = false; ///< Its keepers do not know it yet.
    std::optional<stream_run_end> runEnd{}; ///< The last one.
};

/// The origins of recent streams that this host has begun, continued or keeps for others, by
/// digest of the caller's attempt that brought the first event. Bounded: the older generation is
/// dropped when the newer one is full.
///
/// Needed when a caller takes a stream up after its host was lost: the host that it comes to has
/// never met the stream, and an upstream does not check who began it.
struct stream_origins
{
    std::unordered_map<std::uint64_t, stream_origin> newer;
    std::unordered_map<std::uint64_t, stream_origin> older;
};

/// Records an origin. One that is known stays: a stream has only one.
void recordOrigin(stream_origins &origins, std::uint64_t stream, stream_origin origin);

/// Records the end of a run of a stream whose origin is known. Its keepers are to be told.
void recordRunEnd(stream_origins &origins, std::uint64_t stream, stream_run_end end);

/// The stream's origin; null if it is not known here.
const stream_origin *findOrigin(const stream_origins &origins, std::uint64_t stream);

/// Forgets a stream that has ended. Its origin is kept if other hosts were told.
void forgetUntold(stream_origins &origins, std::uint64_t stream);

/// The untold streams of @p service that were begun after @p from; they count as told from now on.
std::vector<std::uint64_t> takeUntold(stream_origins &origins, std::string_view service,
                                      instant from);

} // namespace quincefall
