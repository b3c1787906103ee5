#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/crash_quarantine.h"
#include "policy/store_position.h"
#include "policy/stream_framing.h"
#include "policy/upstream_notice.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quincefall {

/// Number of urgency levels; level 0 is the most urgent.
inline constexpr std::size_t urgencyLevels = 10;

/// One amount for each urgency level.
using by_urgency = std::array<double, urgencyLevels>;

/// Sum of the amounts of level @p urgency and of all more urgent levels.
double sumUpTo(const by_urgency &amounts, int urgency);

/// Work in flight at one upstream.
struct upstream_work
{
    std::uint64_t upstream = 0; ///< nameHash() of its id.
    by_urgency inFlight{}; ///< Requests.
    by_urgency unreadTokens{}; ///< Prompt tokens of the requests whose answer has not begun.
};

/// Demand of gap-sensitive requests for one service.
struct service_demand
{
    std::uint64_t service = 0; ///< nameHash() of its name.
    double prefillMsPerSecond = 0; ///< Prefill time needed.
    double inFlight = 0; ///< Requests that run or wait.
};

/// Load that one host reports to the other hosts.
struct load_hint
{
    host_address host; ///< Its peer address.
    std::uint64_t started = 0; ///< Start of the host's process, Unix time in milliseconds.
    std::uint64_t sequence = 0; ///< Increases with each hint since the start.
    std::vector<upstream_work> upstreams;
    std::vector<service_demand> demands;
    std::uint64_t desiredVersion = 0; ///< Of the desired state that the host uses.
    milliseconds desiredAge{0}; ///< Since that version was last confirmed as the newest.
    /// Up to which the host has the list of upstreams; offset 0 while the list may be wrong.
    store_position upstreamsNext;
    milliseconds upstreamsAge{0}; ///< Since that list was last confirmed as complete.
    std::vector<told_suspect> suspects; ///< Traits of requests under which upstreams crashed.
    std::vector<told_notice> notices; ///< What upstreams recently told the host.
    std::vector<told_framing> framings; ///< How services end their streams.
    bool cannotRelay = false; ///< The host is stopping or reaches no upstream itself.
    std::uint64_t dutyFence = 0; ///< Newest fencing token of the holder of the duties; else 0.
    wall_milliseconds wall = 0; ///< The host's wall clock; 0 if no duty is declared.
};

/// Work of the other hosts, by host and summed.
///
/// Needed when all hosts place a burst at the same moment: a host's own requests are only a part of
/// an engine's queue, and an engine reports its load with its answers, that is after the wait.
struct fleet_load
{
    struct entry
    {
        load_hint hint;
        instant received;
        instant busyUntil = instant::min(); ///< It refused a query for its state.
    };

    std::map<host_address, entry> hosts;
    std::unordered_map<std::uint64_t, upstream_work> upstreams; ///< Sum over `hosts`.
    std::unordered_map<std::uint64_t, service_demand> demands; ///< Sum over `hosts`.
    bool areSumsCurrent = true; ///< False when `hosts` changed since the sums were computed.
};

/// Hash by which hosts refer to an upstream, a service or a host in their messages to each other.
std::uint64_t nameHash(std::string_view name);

/// Stores another host's hint. False when it is not newer than the stored one.
bool applyHint(fleet_load &load, load_hint hint, instant now);

/// Drops hints that were not renewed within @p lifetime.
void dropExpiredHints(fleet_load &load, microseconds lifetime, instant now);

/// Records that a host refused a query for its state and is not to be asked before @p until.
void recordBusyHost(fleet_load &load, const host_address &host, instant until);

/// Drops the hint of a host that did not answer; its next hint is accepted again.
void dropHostHint(fleet_load &load, const host_address &host);

/// Work of the other hosts at an upstream; all zero when no host reports any.
const upstream_work &workOfOtherHosts(fleet_load &load, std::uint64_t upstream);

/// Demand of the other hosts' gap-sensitive requests for a service.
service_demand demandOfOtherHosts(fleet_load &load, std::uint64_t service);

/// Newest version of the desired state that another host uses; 0 if no host tells one.
std::uint64_t newestDesiredVersion(const fleet_load &load);

/// Interval between two hints of one host. It grows with the number of hosts, which bounds the
/// message rate in a large fleet.
milliseconds hintInterval(unsigned hosts);

} // namespace quincefall
