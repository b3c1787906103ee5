#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quincefall {

/// Urgencies that are told apart; 0 is first.
inline constexpr std::size_t urgencyLevels = 10;

/// An amount for the requests of each urgency.
using by_urgency = std::array<double, urgencyLevels>;

/// Sum over all requests that are as urgent as @p urgency or more.
double sumUpTo(const by_urgency &amounts, int urgency);

/// Work at one upstream.
struct upstream_work
{
    std::uint64_t upstream = 0; ///< Hash of its id.
    by_urgency inFlight{};
    by_urgency unreadTokens{}; ///< Prompt tokens still to be read.
};

/// What gap-sensitive requests ask of one service.
struct service_demand
{
    std::uint64_t service = 0; ///< Hash of its name.
    double prefillMsPerSecond = 0; ///< Reading time.
    double inFlight = 0; ///< Requests that run or wait.
};

/// What one host has under way.
struct load_hint
{
    host_address host; ///< Its peer address.
    std::uint64_t started = 0; ///< Unix time of its start in milliseconds.
    std::uint64_t sequence = 0;
    std::vector<upstream_work> upstreams;
    std::vector<service_demand> demands;
    std::uint64_t desiredVersion = 0;
    milliseconds desiredAge{0}; ///< Since that version was known to be the newest.
    std::uint64_t upstreamsNext = 0; ///< Offset up to which the list is known.
    milliseconds upstreamsAge{0}; ///< Since the list was known to be whole.
};

/// Work of the other hosts, summed.
///
/// Answers a burst that all hosts place at the same moment: each sees only a part of an engine's
/// queue in its own requests, and engines' reports come with answers, after the wait itself.
struct fleet_load
{
    struct entry
    {
        load_hint hint;
        instant received;
    };

    std::map<host_address, entry> hosts;
    std::unordered_map<std::uint64_t, upstream_work> upstreams; ///< Sum over `hosts`.
    std::unordered_map<std::uint64_t, service_demand> demands; ///< Sum over `hosts`.
    bool areSumsCurrent = true;
};

/// Hash that hosts use to name an upstream, a service or a host to each other.
std::uint64_t nameHash(std::string_view name);

/// Takes in another host's hint. False when it is older than the one known.
bool applyHint(fleet_load &load, load_hint hint, instant now);

/// Drops hints that were not renewed within @p life.
void dropExpiredHints(fleet_load &load, microseconds life, instant now);

/// Drops the hint of a host that did not answer; its next one counts again.
void dropHostHint(fleet_load &load, const host_address &host);

/// Work of the other hosts at an upstream.
const upstream_work &workOfOtherHosts(fleet_load &load, std::uint64_t upstream);

/// What the other hosts' gap-sensitive requests ask of a service.
service_demand demandOfOtherHosts(fleet_load &load, std::uint64_t service);

/// Time between two hints of one host, so that the messages of a large fleet stay bounded.
milliseconds hintInterval(unsigned hosts);

} // namespace quincefall
