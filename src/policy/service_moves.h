#pragma once

#include "kernel/clock.h"
#include "policy/desired_state.h"

#include <deque>
#include <set>
#include <string>
#include <string_view>

namespace quincefall {

/// Services to which a route sent its requests before a desired state moved them.
struct service_move
{
    std::string authority; ///< In lower case.
    std::string pathPrefix;
    std::set<std::string> services;
    instant until; ///< When this host put the newer desired state into force.
};

/// A timeout of a route's streams before a desired state made it shorter.
struct former_timeout
{
    std::string authority; ///< In lower case.
    std::string pathPrefix;
    microseconds longest; ///< See longestStream().
    instant until; ///< When this host put the newer desired state into force.
};

/// The services that routes used lately, as this host has seen it.
///
/// A stream goes on only at the service that began it, which need not be one that its route names
/// now. Hosts put a desired state into force at different times, so each host knows this of itself
/// alone.
struct service_moves
{
    std::deque<service_move> moves; ///< By `until`. Bounded; the oldest ones are dropped.
    std::deque<former_timeout> timeouts; ///< As `moves`.
    instant completeSince = instant::min(); ///< No move since then was dropped.
    /// When the first desired state came into force here; moves before are unknown to this host.
    instant firstAt = instant::min();
    instant missedAt = instant::min(); ///< The same of the last one that may have followed others.
};

/// Records what changes with @p after; @p before is null for the first desired state.
void recordMoves(service_moves &moves, const desired_state *before, const desired_state &after,
                 instant now);

/// Records that the newest desired state may have replaced others that this host never had.
void noteMissedStates(service_moves &moves, instant now);

/// Records that there was no desired state before the first one that this host had.
void noteNoEarlierState(service_moves &moves);

/// Longest life of a stream whose route has no timeout, and of one whose timeout is unknown.
inline constexpr seconds longestWithoutTimeout{60};

/// Time for which a host may have been cut off. It begins streams where it last knew meanwhile, and
/// the upstreams there serve on.
inline constexpr seconds maxHostLag{60};

/// Time within which a stream that still runs has begun, by its route's timeout.
microseconds longestStream(const route_rule &route);

/// The longest time within which a running stream has begun: @p longest, which is that of its
/// route, or that of a timeout under which it may have begun before.
microseconds longestStream(const service_moves &moves, const desired_state &desired,
                           std::string_view authority, std::string_view path, microseconds longest,
                           instant now);

/// The same for the streams of all routes.
microseconds longestStream(const service_moves &moves, const desired_state &desired, instant now);

/// Services at which streams may have begun during the last @p time: those of the route that
/// @p desired has for @p authority and @p path, and those before. Empty if unknown.
std::set<std::string> recentServices(const service_moves &moves, const desired_state &desired,
                                     std::string_view authority, std::string_view path,
                                     microseconds time, instant now);

/// Services at which streams may have begun before this host saw a desired state, if none was
/// removed since: those that stream routes name and those with engines; if no service declares its
/// engines, all of them.
std::set<std::string> possibleStreamServices(const desired_state &desired);

/// Whether this host may not know all moves since @p from.
bool mayMissMoves(const service_moves &moves, instant from);

/// Services with streams that a route moved away from or shares now, since @p from.
std::set<std::string> movedServices(const service_moves &moves, instant from);

} // namespace quincefall
