#pragma once

#include "kernel/clock.h"
#include "policy/request_limit.h"
#include "policy/upstream_entry.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// What an upstream told in its answers about itself. It outlives the upstream's listing, which may
/// lapse and return, but not the upstream's process.
struct upstream_notice
{
    std::int64_t started = 0; ///< Start of the upstream's process; see upstream_entry.
    bool isLeaving = false; ///< It takes no new work.
    bool wasListedLeaving = false; ///< Its registration has said so, too.
    instant leavingToldAt = instant::min(); ///< When this host received it in an answer.
    instant pausedUntil = instant::min(); ///< It asked this host for no requests until then.
    instant othersPausedUntil = instant::min(); ///< It asked another host for none.
    limit_statement limit;
    instant limitHeardAt = instant::min(); ///< Last answer to this host that gave `limit`.
    limit_statement maxRejections; ///< See policy/rejection_guard.h.
    instant maxRejectionsHeardAt = instant::min(); ///< Last answer to this host that gave it.
};

/// By id of the upstream.
using upstream_notices = std::map<std::string, upstream_notice, std::less<>>;

/// A notice as hosts tell it to each other.
struct told_notice
{
    std::string upstream; ///< Its id.
    std::int64_t started = 0;
    bool isLeaving = false;
    milliseconds pause{0}; ///< Remaining time for which it wants no requests from the sender.
    std::optional<double> limit; ///< Requests a second that it takes from all hosts together.
    std::optional<milliseconds> limitAge; ///< Since it said so; empty if it says nothing of it.
    std::optional<double> maxRejections; ///< A second, of all hosts, above which it fails.
    std::optional<milliseconds> maxRejectionsAge; ///< As `limitAge`.
};

/// Who received the answer with the notice.
enum class notice_source { ownAnswer, otherHost };

/// Records that an upstream is leaving. True when that is new.
///
/// Needed when the store is slow or can't be reached: the upstream's answers are then the only
/// announcement. The registration may still say for seconds that it is ready, so only a change of
/// the registration ends it; see applyRegistration().
bool recordLeaving(upstream_notices &notices, const upstream_entry &entry, notice_source source,
                   instant now);

/// Records that an upstream that turned a request away wants no requests for @p pause. True when it
/// was not paused before.
///
/// Needed when an upstream is overloaded: each request that it has to turn away costs it time, and
/// the caller an attempt.
bool recordPause(upstream_notices &notices, const upstream_entry &entry, microseconds pause,
                 notice_source source, instant now);

/// Records a limit that the upstream named, or that it names none. True when that is new.
///
/// An upstream in need gives its limit to whoever asks it, so that hosts which do not ask it
/// themselves learn of the limit and of its end from others only.
bool recordLimit(upstream_notices &notices, const upstream_entry &entry,
                 const limit_statement &said, notice_source source, instant now);

/// As recordLimit(), for the rejections that the upstream withstands.
bool recordMaxRejections(upstream_notices &notices, const upstream_entry &entry,
                         const limit_statement &said, notice_source source, instant now);

/// Applies a registration: a new start of the upstream ends its notices; one as ready after one as
/// leaving ends the leaving.
void applyRegistration(upstream_notices &notices, const upstream_entry &entry);

/// Whether the upstream takes no new work, by its registration or by its answers.
bool isLeaving(const upstream_notices &notices, const upstream_entry &entry);

/// The notice for this start of the upstream; null if there is none.
const upstream_notice *findNotice(const upstream_notices &notices, const upstream_entry &entry);

/// The notices that this host recently received in answers, for the other hosts.
std::vector<told_notice> noticesToTell(const upstream_notices &notices, instant now);

} // namespace quincefall
