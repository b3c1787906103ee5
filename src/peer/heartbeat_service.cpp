#include "peer/heartbeat_service.h"

#include "clients/host_list_client.h"
#include "observe/timeline.h"
#include "peer.pb.h"
#include "peer/peer_mesh.h"
#include "policy/ownership.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace quincefall {

namespace asio = boost::asio;

namespace {

constexpr const char *heartbeatPath = "/beat";
constexpr milliseconds heartbeatTimeout{2000};
constexpr int deadHostTickInterval = 5; ///< Dead hosts get a heartbeat every fifth tick.
constexpr std::size_t maxSuspectedPerHeartbeat = 16;

wire::Heartbeat toWire(const host_heartbeat &heartbeat)
{
    wire::Heartbeat message;
    message.set_host(heartbeat.host);
    message.set_incarnation(heartbeat.incarnation);
    message.set_sequence(heartbeat.sequence);
    message.set_leaving(heartbeat.leaving);
    for (const std::string &host : heartbeat.suspected)
        message.add_suspected(host);
    return message;
}

host_heartbeat fromWire(const wire::Heartbeat &message)
{
    host_heartbeat heartbeat{
        message.host(), message.incarnation(), message.sequence(), message.leaving(), {}};
    heartbeat.suspected.assign(message.suspected().begin(), message.suspected().end());
    return heartbeat;
}

std::vector<std::string> listedMembers(const membership &fleet)
{
    std::vector<std::string> hosts;
    for (const auto &[host, target] : fleet.members) {
        if (target.listed)
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace

struct heartbeat_service::state : std::enable_shared_from_this<heartbeat_service::state>
{
    state(dependencies services, options values)
        : needs(std::move(services))
        , settings(std::move(values))
        , timer(needs.context)
    {
        fleet.self = settings.hostName;
        fleet.rules = settings.rules;
        owners = ownerCandidates(fleet);
    }

    dependencies needs;
    options settings;
    asio::steady_timer timer;
    membership fleet;
    std::vector<std::string> owners;
    std::vector<heartbeat_partner> partners;
    /// Hosts with a heartbeat exchange in progress.
    std::set<std::string, std::less<>> awaitingReply;
    std::vector<change_listener> listeners;
    offset_source ownOffset;
    offset_listener onPeerOffset;
    traffic totals;
    std::uint64_t sequence = 0;
    std::uint64_t ticks = 0;
    bool running = false;

    std::string makeHeartbeat();
    result<void> handleHeartbeat(const std::string &body);
    void apply(const membership_step &step);
    void schedule();
    void tick();
    bool isHeartbeatDue(const heartbeat_partner &partner) const;
    void sendHeartbeat(const std::string &host);
    asio::awaitable<void> exchangeHeartbeat(std::string host);
    asio::awaitable<void> probe(host_probe order);
};

std::string heartbeat_service::state::makeHeartbeat()
{
    host_heartbeat heartbeat{settings.hostName, settings.incarnation, ++sequence, isLeaving(fleet),
                             hostsInState(fleet, host_state::suspected)};
    heartbeat.suspected.resize(std::min(heartbeat.suspected.size(), maxSuspectedPerHeartbeat));
    wire::Heartbeat message = toWire(heartbeat);
    if (ownOffset)
        message.set_config_offset(ownOffset());
    const hybrid_timestamp stamp = needs.events.nextTimestamp();
    message.set_stamp_wall_ms(static_cast<std::uint64_t>(stamp.wall));
    message.set_stamp_logical(stamp.logical);
    std::string body = message.SerializeAsString();
    ++totals.heartbeatsSent;
    totals.bytesSent += body.size();
    return body;
}

result<void> heartbeat_service::state::handleHeartbeat(const std::string &body)
{
    wire::Heartbeat message;
    if (!message.ParseFromString(body) || message.host().empty())
        return makeError(result_code::messageInvalid, "the heartbeat cannot be decoded");
    ++totals.heartbeatsReceived;
    totals.bytesReceived += body.size();
    needs.events.advanceClock(
        {static_cast<wall_milliseconds>(message.stamp_wall_ms()), message.stamp_logical()});
    apply(applyHeartbeat(fleet, fromWire(message), needs.clock.now()));
    if (onPeerOffset && message.host() != settings.hostName)
        onPeerOffset(message.host(), message.config_offset());
    return {};
}

void heartbeat_service::state::apply(const membership_step &step)
{
    owners = ownerCandidates(fleet);
    if (running) {
        for (const host_probe &order : step.probes)
            asio::co_spawn(needs.context, probe(order), asio::detached);
    }
    for (const state_change &change : step.changes) {
        needs.events.record("host.state", {}, change.host,
                            {{"before", std::string(toString(change.before))},
                             {"after", std::string(toString(change.after))},
                             {"reason", std::string(toString(change.reason))}});
        for (const change_listener &listener : listeners)
            listener(change);
    }
}

void heartbeat_service::state::schedule()
{
    timer.expires_after(settings.rules.heartbeatInterval);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code &aborted) {
        const auto self = weak.lock();
        if (aborted || !self || !self->running)
            return;
        self->schedule();
        self->tick();
    });
}

void heartbeat_service::state::tick()
{
    ++ticks;
    apply(advance(fleet, needs.clock.now()));
    for (const heartbeat_partner &partner : partners) {
        if (isHeartbeatDue(partner))
            sendHeartbeat(partner.host);
    }
}

bool heartbeat_service::state::isHeartbeatDue(const heartbeat_partner &partner) const
{
    const auto entry = fleet.members.find(partner.host);
    if (entry == fleet.members.end())
        return false;
    const member &target = entry->second;
    if (target.state == host_state::dead && ticks % deadHostTickInterval != 0)
        return false;
    // Also sends to a partner that should initiate but has not been heard from for two intervals:
    // its host list may not contain this host yet, or its process may have stopped.
    const auto sinceLastContact = needs.clock.now() - target.lastContact;
    const bool overdue
        = !target.hasHeartbeat || sinceLastContact > 2 * settings.rules.heartbeatInterval;
    return partner.initiates || overdue;
}

void heartbeat_service::state::sendHeartbeat(const std::string &host)
{
    if (awaitingReply.insert(host).second)
        asio::co_spawn(needs.context, exchangeHeartbeat(host), asio::detached);
}

asio::awaitable<void> heartbeat_service::state::exchangeHeartbeat(std::string host)
{
    const auto self = shared_from_this();
    auto exchange = needs.mesh.call(host, heartbeatPath, makeHeartbeat(), heartbeatTimeout);
    const result<std::string> answer = co_await std::move(exchange);
    awaitingReply.erase(host);
    if (answer && running)
        (void)handleHeartbeat(*answer);
}

asio::awaitable<void> heartbeat_service::state::probe(host_probe order)
{
    const auto self = shared_from_this();
    auto attempt = order.kind == probe_kind::ping ? needs.mesh.ping(order.host)
                                                  : needs.mesh.reconnect(order.host);
    const bool answered = co_await std::move(attempt);
    if (running)
        apply(applyProbeResult(fleet, order, answered, needs.clock.now()));
}

std::unique_ptr<heartbeat_service> heartbeat_service::makeHeartbeatService(dependencies needs,
                                                                           options settings)
{
    auto shared = std::make_shared<state>(std::move(needs), std::move(settings));
    return std::unique_ptr<heartbeat_service>(new heartbeat_service(std::move(shared)));
}

heartbeat_service::heartbeat_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

heartbeat_service::~heartbeat_service()
{
    stop();
}

void heartbeat_service::start()
{
    if (std::exchange(m_state->running, true))
        return;
    const std::weak_ptr<state> weak = m_state;
    m_state->needs.mesh.handle(
        heartbeatPath, [weak](std::string body) -> asio::awaitable<result<std::string>> {
            const auto self = weak.lock();
            if (!self || !self->running)
                co_return makeError(result_code::hostStopping, "this host is stopping");
            if (const auto handled = self->handleHeartbeat(body); !handled)
                co_return tl::unexpected(handled.error());
            co_return self->makeHeartbeat();
        });
    m_state->needs.mesh.onReachability(
        [weak](const std::string &host, peer_mesh::reachability change) {
            const auto self = weak.lock();
            if (!self || !self->running || change != peer_mesh::reachability::suspected)
                return;
            self->apply(applyUnreachable(self->fleet, host, self->needs.clock.now()));
        });
    m_state->schedule();
}

void heartbeat_service::stop()
{
    m_state->running = false;
    m_state->timer.cancel();
}

void heartbeat_service::setHostList(std::span<const listed_host> hosts)
{
    std::vector<member_listing> listings;
    for (const listed_host &host : hosts) {
        if (!host.isEntry)
            continue;
        listings.push_back({host.name, host.isLeaving});
        if (host.name != m_state->settings.hostName)
            m_state->needs.mesh.setAddress(host.name, host.address);
    }
    membership &fleet = m_state->fleet;
    const membership_step step = applyHostList(fleet, listings, m_state->needs.clock.now());
    m_state->partners
        = heartbeatPartners(fleet.self, listedMembers(fleet), m_state->settings.rules.partners);
    m_state->apply(step);
}

void heartbeat_service::leave()
{
    membership &fleet = m_state->fleet;
    if (std::exchange(fleet.selfAnnouncedLeaving, true))
        return;
    m_state->apply(
        {{{fleet.self, host_state::live, host_state::leaving, host_reason::announcedLeaving}}, {}});
    if (!m_state->running)
        return;
    for (const heartbeat_partner &partner : m_state->partners) {
        // Bypasses sendHeartbeat(), which skips hosts with an exchange in progress: that exchange
        // carries the state from before leave().
        asio::co_spawn(m_state->needs.context, m_state->exchangeHeartbeat(partner.host),
                       asio::detached);
    }
}

std::vector<std::string> heartbeat_service::liveHosts() const
{
    std::vector<std::string> hosts = hostsInState(m_state->fleet, host_state::live);
    if (!isLeaving(m_state->fleet))
        hosts.push_back(m_state->fleet.self);
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

const std::vector<std::string> &heartbeat_service::owners() const
{
    return m_state->owners;
}

std::string heartbeat_service::ownerOf(std::string_view key) const
{
    return std::string(rendezvousOwner(key, m_state->owners));
}

host_state heartbeat_service::stateOf(std::string_view host) const
{
    const auto entry = m_state->fleet.members.find(host);
    return entry == m_state->fleet.members.end() ? host_state::unknown : entry->second.state;
}

void heartbeat_service::onChange(change_listener listener)
{
    m_state->listeners.push_back(std::move(listener));
}

void heartbeat_service::exchangeOffsets(offset_source own, offset_listener onPeer)
{
    m_state->ownOffset = std::move(own);
    m_state->onPeerOffset = std::move(onPeer);
}

const heartbeat_service::traffic &heartbeat_service::trafficTotals() const
{
    return m_state->totals;
}

} // namespace quincefall
