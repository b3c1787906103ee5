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
    unknown, ///< Not listed by the platform, or listed and not heard yet.
    live,
    suspected, ///< Not heard for several beats, or unreachable; probes are running.
    dead, ///< No answer over the open connection nor over a new one.
    leaving, ///< Shutting down; owns nothing and takes nothing new.
};

/// Why a host is in its state.
enum class host_reason {
    listed,
    unlisted,
    heartbeat,
    restarted, ///< A beat of a higher incarnation.
    missedHeartbeats,
    unreachable, ///< The connection to it failed, and a new one too.
    reported, ///< A peer suspects it.
    pingAnswered,
    connectionAnswered,
    probesFailed,
    announcedLeaving,
    listedLeaving,
};

std::string_view toString(host_state state);
std::string_view toString(host_reason reason);

/// Fixed numbers of failure detection.
struct membership_rules
{
    milliseconds heartbeatInterval{200};
    int missedHeartbeats = 3; ///< Suspicion follows this many intervals without a beat.
    std::size_t partners = 0; ///< Hosts to exchange beats with; 0 stands for all.
    milliseconds reprobeInterval{5000}; ///< For hosts that exchange no beats with this one.
    milliseconds removeUnlistedAfter{60000}; ///< For hosts that are no longer listed.
};

/// An entry host in the platform's list, which lags.
struct member_listing
{
    std::string name;
    bool leaving = false;
};

/// What a host says about itself and others.
struct host_heartbeat
{
    std::string host;
    std::uint64_t incarnation = 0; ///< Higher for each new process of the same host.
    std::uint64_t sequence = 0; ///< Grows with each beat of an incarnation.
    bool leaving = false;
    std::vector<std::string> suspected;
};

enum class probe_kind { ping, connection };

/// A question that the caller of these functions must put to a host.
struct host_probe
{
    std::string host;
    probe_kind kind = probe_kind::ping;
    std::uint64_t number = 0; ///< Returned with the result.

    bool operator==(const host_probe &) const = default;
};

struct state_change
{
    std::string host;
    host_state before = host_state::unknown;
    host_state after = host_state::unknown;
    host_reason reason = host_reason::listed;
};

/// What followed from an input.
struct membership_step
{
    std::vector<state_change> changes;
    std::vector<host_probe> probes;
};

/// What is known of one other host.
struct member
{
    host_state state = host_state::unknown;
    host_reason reason = host_reason::unlisted;
    bool listed = false;
    bool partner = false; ///< Exchanges beats with this host.
    bool hasHeartbeat = false; ///< At least one beat came in.
    bool announcedLeaving = false;
    bool listedLeaving = false;
    bool listedLeavingOutdated = false; ///< The list's leaving is about an earlier incarnation.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t probe = 0; ///< Number of the last probe; results of earlier ones are dropped.
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

/// Takes in a complete host list of the platform.
membership_step applyHostList(membership &fleet, std::span<const member_listing> hosts,
                              instant now);

/// Takes in a beat. Late ones are dropped, and those of an earlier incarnation for as long as the
/// later one is heard.
membership_step applyHeartbeat(membership &fleet, const host_heartbeat &beat, instant now);

/// Takes in the result of a probe.
membership_step applyProbeResult(membership &fleet, const host_probe &probe, bool answered,
                                 instant now);

/// Takes in that the connection to @p host failed and could not be opened again.
membership_step applyUnreachable(membership &fleet, std::string_view host, instant now);

/// Finds hosts that missed their beats. To be called once per beat interval.
membership_step advance(membership &fleet, instant now);

/// Whether this host itself takes nothing new.
bool isLeaving(const membership &fleet);

/// Sorted names of the hosts that may own queues. A suspected host stays an owner until it is
/// dead, so that a short pause moves nothing.
std::vector<std::string> ownerCandidates(const membership &fleet);

/// Sorted names of the hosts in @p state.
std::vector<std::string> hostsInState(const membership &fleet, host_state state);

/// A host to exchange beats with.
struct heartbeat_partner
{
    std::string host;
    bool initiates = false; ///< This host sends its beat first; the answer carries the other's.
};

/// Chooses the hosts that @p self exchanges beats with among @p hosts, which may include it: the
/// @p count nearest on a ring ordered by hash, all for 0. The choice is symmetric, and of each
/// pair one initiates, about equally many for each host.
std::vector<heartbeat_partner>
heartbeatPartners(std::string_view self, std::span<const std::string> hosts, std::size_t count);

} // namespace quincefall
