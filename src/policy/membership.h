#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

enum class host_state {
    unknown, ///< Not listed by the platform, or listed but not yet in contact.
    live,
    /// Several heartbeats are missing, it is unreachable, or another host suspects it; probes are
    /// running.
    suspected,
    dead, ///< Answered neither over the open connection nor over a new one.
    leaving, ///< Shutting down; owns no queues and takes no new work.
};

/// Why a host is in its state.
enum class host_reason {
    listed,
    unlisted,
    heartbeat,
    restarted, ///< A heartbeat of another incarnation.
    missedHeartbeats,
    unreachable, ///< The connection to it failed and could not be opened again.
    reported, ///< Another host suspects it.
    pingAnswered,
    connectionAnswered,
    probesFailed,
    announcedLeaving,
    listedLeaving,
};

std::string_view toString(host_state state);
std::string_view toString(host_reason reason);

/// Parameters of failure detection.
struct membership_rules
{
    milliseconds heartbeatInterval{200};
    int missedHeartbeats = 3; ///< Intervals without contact until suspicion.
    std::size_t partners = 0; ///< Hosts to exchange heartbeats with; 0 means all.
    milliseconds reprobeInterval{5000}; ///< Of unknown and dead hosts that are not partners.
    milliseconds removeUnlistedAfter{60000}; ///< Without contact.
};

/// An entry host in the platform's list, which may be out of date.
struct member_listing
{
    std::string name;
    bool leaving = false;
};

/// Content of a heartbeat.
struct host_heartbeat
{
    std::string host;
    std::uint64_t incarnation = 0; ///< Higher for each new process of the same host.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    bool leaving = false;
    std::vector<std::string> suspected; ///< Hosts that the sender suspects.
};

enum class probe_kind { ping, connection };

/// A probe that the caller of these functions must send to a host.
struct host_probe
{
    std::string host;
    probe_kind kind = probe_kind::ping;
    std::uint64_t number = 0; ///< To be returned with the result.

    bool operator==(const host_probe &) const = default;
};

struct state_change
{
    std::string host;
    host_state before = host_state::unknown;
    host_state after = host_state::unknown;
    host_reason reason = host_reason::listed;
};

/// State changes and probes that result from one input.
struct membership_step
{
    std::vector<state_change> changes;
    std::vector<host_probe> probes;
};

/// State of one other host as this host sees it.
struct member
{
    host_state state = host_state::unknown;
    host_reason reason = host_reason::unlisted;
    bool listed = false;
    bool partner = false; ///< Exchanges heartbeats with this host.
    bool hasHeartbeat = false; ///< At least one heartbeat was received.
    bool announcedLeaving = false;
    bool listedLeaving = false;
    bool listedLeavingOutdated = false; ///< `listedLeaving` is about an earlier incarnation.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t probe = 0; ///< Number of the last probe; results of earlier ones are dropped.
    /// Last heartbeat, or last answer that made it live; moved forward after a pause of this
    /// process.
    instant lastContact{};
    instant lastProbe{};
};

/// The fleet as one host sees it.
struct membership
{
    std::string self;
    bool selfAnnouncedLeaving = false; ///< Set once this host shuts down.
    bool selfListedLeaving = false;
    membership_rules rules;
    std::map<std::string, member, std::less<>> members; ///< Without this host.
    instant lastAdvance{}; ///< Time of the last advance().
};

/// Applies a complete host list of the platform.
membership_step applyHostList(membership &fleet, std::span<const member_listing> hosts,
                              instant now);

/// Applies a heartbeat. Late ones are dropped, and so are those of an earlier incarnation as long
/// as the later one still sends them.
membership_step applyHeartbeat(membership &fleet, const host_heartbeat &heartbeat, instant now);

/// Applies the result of a probe; results of earlier probes than the last are dropped.
membership_step applyProbeResult(membership &fleet, const host_probe &probe, bool answered,
                                 instant now);

/// Records that the connection to @p host failed and could not be opened again.
membership_step applyUnreachable(membership &fleet, std::string_view host, instant now);

/// Suspects partners whose heartbeats are missing, probes other unknown and dead hosts, and
/// removes unlisted ones. To be called once per heartbeat interval.
membership_step advance(membership &fleet, instant now);

/// Whether this host itself is shutting down and takes no new work.
bool isLeaving(const membership &fleet);

/// Sorted names of the hosts that may own queues. A suspected host stays a candidate until it is
/// dead, so that a short pause does not move its queues.
std::vector<std::string> ownerCandidates(const membership &fleet);

/// Sorted names of the hosts in @p state.
std::vector<std::string> hostsInState(const membership &fleet, host_state state);

/// A host to exchange heartbeats with.
struct heartbeat_partner
{
    std::string host;
    bool initiates = false; ///< This host sends first; the answer has the other's heartbeat.
};

/// Chooses the hosts that @p self exchanges heartbeats with among @p hosts, which may include
/// @p self: the @p count nearest on a ring ordered by hash, or all when @p count is 0. The choice
/// is symmetric. In each pair one host initiates, and each host initiates about equally often.
std::vector<heartbeat_partner>
heartbeatPartners(std::string_view self, std::span<const std::string> hosts, std::size_t count);

} // namespace quincefall
