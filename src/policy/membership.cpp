#include "policy/membership.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace quincefall {
namespace {

constexpr std::array<std::string_view, 5> stateNames{"unknown", "live", "suspected", "dead",
                                                     "leaving"};
constexpr std::array<std::string_view, 12> reasonNames{
    "listed",        "unlisted",          "beat",
    "restarted",     "missed-beats",      "unreachable",
    "reported",      "ping-answered",     "new-connection",
    "probes-failed", "announced-leaving", "listed-leaving"};

/// Applies one input to a fleet and collects the resulting state changes and probes.
struct membership_update
{
    membership &fleet;
    instant now;
    membership_step step;

    void enter(std::string_view host, member &target, host_state state, host_reason reason)
    {
        if (target.state != state)
            step.changes.push_back({std::string(host), target.state, state, reason});
        target.state = state;
        target.reason = reason;
    }

    void requestProbe(std::string_view host, member &target, probe_kind kind)
    {
        target.lastProbe = now;
        step.probes.push_back({std::string(host), kind, ++target.probe});
    }

    void suspect(std::string_view host, member &target, host_reason reason)
    {
        if (target.state != host_state::live)
            return;
        enter(host, target, host_state::suspected, reason);
        requestProbe(host, target, probe_kind::ping);
    }

    bool hasRecentContact(const member &target) const
    {
        const auto limit = fleet.rules.heartbeatInterval * fleet.rules.missedHeartbeats;
        return target.hasHeartbeat && now - target.lastContact <= limit;
    }

    /// Sets the state of a host that is unlisted or leaving; false for any other host. Both take
    /// precedence over heartbeats.
    bool enterUnlistedOrLeaving(std::string_view host, member &target)
    {
        if (!target.listed) {
            enter(host, target, host_state::unknown, host_reason::unlisted);
            return true;
        }
        if (target.announcedLeaving) {
            enter(host, target, host_state::leaving, host_reason::announcedLeaving);
            return true;
        }
        if (target.listedLeaving && !target.listedLeavingOutdated) {
            enter(host, target, host_state::leaving, host_reason::listedLeaving);
            return true;
        }
        return false;
    }

    void applyListing(std::string_view host, member &target)
    {
        if (enterUnlistedOrLeaving(host, target))
            return;
        const bool undecided
            = target.state == host_state::unknown || target.state == host_state::leaving;
        if (undecided && hasRecentContact(target))
            enter(host, target, host_state::live, host_reason::heartbeat);
        else if (undecided)
            enter(host, target, host_state::unknown, host_reason::listed);
    }

    void choosePartners()
    {
        std::vector<std::string> hosts;
        for (const auto &[host, target] : fleet.members) {
            if (target.listed)
                hosts.push_back(host);
        }
        std::set<std::string, std::less<>> chosen;
        for (heartbeat_partner &partner :
             heartbeatPartners(fleet.self, hosts, fleet.rules.partners))
            chosen.insert(std::move(partner.host));
        for (auto &[host, target] : fleet.members)
            target.partner = chosen.contains(host);
    }

    void applyReports(const host_heartbeat &heartbeat)
    {
        for (const std::string &host : heartbeat.suspected) {
            const auto entry = fleet.members.find(host);
            // The own exchange of heartbeats with a partner is better evidence than a report.
            if (entry != fleet.members.end() && !entry->second.partner)
                suspect(host, entry->second, host_reason::reported);
        }
    }

    /// Does not count the time in which this process was paused as time without contact.
    void discountOwnPause()
    {
        const auto gap = now - fleet.lastAdvance;
        const bool first = std::exchange(fleet.lastAdvance, now) == instant{};
        if (first || gap <= 2 * fleet.rules.heartbeatInterval)
            return;
        for (auto &[host, target] : fleet.members)
            target.lastContact
                = std::min(now, target.lastContact + (gap - fleet.rules.heartbeatInterval));
    }

    void checkContact(std::string_view host, member &target)
    {
        if (target.partner) {
            if (target.state == host_state::live && !hasRecentContact(target))
                suspect(host, target, host_reason::missedHeartbeats);
            return;
        }
        const bool undecided
            = target.state == host_state::unknown || target.state == host_state::dead;
        const bool due = target.lastProbe == instant{}
            || now - target.lastProbe >= fleet.rules.reprobeInterval;
        if (target.listed && undecided && due)
            requestProbe(host, target, probe_kind::connection);
    }

    void removeUnlisted()
    {
        std::erase_if(fleet.members, [this](const auto &entry) {
            const member &target = entry.second;
            return !target.listed && now - target.lastContact > fleet.rules.removeUnlistedAfter;
        });
    }
};

} // namespace

std::string_view toString(host_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string_view toString(host_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

membership_step applyHostList(membership &fleet, std::span<const member_listing> hosts, instant now)
{
    membership_update update{fleet, now, {}};
    for (auto &[host, target] : fleet.members)
        target.listed = false;
    fleet.selfListedLeaving = false;
    for (const member_listing &host : hosts) {
        if (host.name == fleet.self) {
            fleet.selfListedLeaving = host.leaving;
            continue;
        }
        member &target = fleet.members[host.name];
        target.listed = true;
        target.listedLeaving = host.leaving;
        target.listedLeavingOutdated = target.listedLeavingOutdated && host.leaving;
    }
    update.choosePartners();
    for (auto &[host, target] : fleet.members)
        update.applyListing(host, target);
    return std::move(update.step);
}

membership_step applyHeartbeat(membership &fleet, const host_heartbeat &heartbeat, instant now)
{
    membership_update update{fleet, now, {}};
    if (heartbeat.host == fleet.self || heartbeat.host.empty())
        return {};
    member &target = fleet.members[heartbeat.host];
    const auto stamp = std::pair(heartbeat.incarnation, heartbeat.sequence);
    const bool older = stamp <= std::pair(target.incarnation, target.sequence);
    // A new process has a lower incarnation when the host's clock was set back in between.
    const bool supersedes
        = heartbeat.incarnation != target.incarnation && !update.hasRecentContact(target);
    if (target.hasHeartbeat && older && !supersedes)
        return {};
    const bool restarted = target.hasHeartbeat && heartbeat.incarnation != target.incarnation;
    target.incarnation = heartbeat.incarnation;
    target.sequence = heartbeat.sequence;
    target.hasHeartbeat = true;
    target.lastContact = now;
    // A process that announced its leaving stays so; only a new incarnation resets it.
    target.announcedLeaving = heartbeat.leaving || (target.announcedLeaving && !restarted);
    target.listedLeavingOutdated
        = target.listedLeavingOutdated || (restarted && target.listedLeaving);
    if (!update.enterUnlistedOrLeaving(heartbeat.host, target))
        update.enter(heartbeat.host, target, host_state::live,
                     restarted ? host_reason::restarted : host_reason::heartbeat);
    update.applyReports(heartbeat);
    return std::move(update.step);
}

membership_step applyProbeResult(membership &fleet, const host_probe &probe, bool answered,
                                 instant now)
{
    membership_update update{fleet, now, {}};
    const auto entry = fleet.members.find(probe.host);
    if (entry == fleet.members.end() || entry->second.probe != probe.number)
        return {};
    member &target = entry->second;
    const bool suspected = target.state == host_state::suspected;
    // An unknown or dead partner becomes live by a heartbeat only. Other hosts send none, so an
    // answered probe suffices for them.
    const bool answerSuffices = !target.partner && target.listed
        && (target.state == host_state::unknown || target.state == host_state::dead);
    if (answered && (suspected || answerSuffices)) {
        target.lastContact = now;
        update.enter(probe.host, target, host_state::live,
                     probe.kind == probe_kind::ping ? host_reason::pingAnswered
                                                    : host_reason::connectionAnswered);
    } else if (!answered && suspected && probe.kind == probe_kind::ping) {
        update.requestProbe(probe.host, target, probe_kind::connection);
    } else if (!answered && suspected) {
        update.enter(probe.host, target, host_state::dead, host_reason::probesFailed);
    }
    return std::move(update.step);
}

membership_step applyUnreachable(membership &fleet, std::string_view host, instant now)
{
    membership_update update{fleet, now, {}};
    const auto entry = fleet.members.find(host);
    if (entry != fleet.members.end())
        update.suspect(host, entry->second, host_reason::unreachable);
    return std::move(update.step);
}

membership_step advance(membership &fleet, instant now)
{
    membership_update update{fleet, now, {}};
    update.discountOwnPause();
    update.removeUnlisted();
    for (auto &[host, target] : fleet.members)
        update.checkContact(host, target);
    return std::move(update.step);
}

bool isLeaving(const membership &fleet)
{
    return fleet.selfAnnouncedLeaving || fleet.selfListedLeaving;
}

std::vector<std::string> ownerCandidates(const membership &fleet)
{
    std::vector<std::string> names;
    if (!isLeaving(fleet))
        names.push_back(fleet.self);
    for (const auto &[host, target] : fleet.members) {
        if (target.state == host_state::live || target.state == host_state::suspected)
            names.push_back(host);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> hostsInState(const membership &fleet, host_state state)
{
    std::vector<std::string> names;
    for (const auto &[host, target] : fleet.members) {
        if (target.state == state)
            names.push_back(host);
    }
    return names;
}

} // namespace quincefall
