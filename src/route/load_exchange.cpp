#include "route/load_exchange.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "peer.pb.h"
#include "policy/feed_plan.h"
#include "policy/keepers.h"
#include "policy/placement.h"

#include <algorithm>
#include <map>
#include <span>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxDatagramBytes = 16'384;
constexpr std::size_t maxUpstreamsPerHint = 400; // Keeps a hint below maxDatagramBytes.
// A host with this many missing hints is down or unreachable; its load is no longer counted.
constexpr int maxMissedHints = 5;
constexpr milliseconds minHintLifetime{1'200};
constexpr milliseconds unavailableAge{60'000};
// News may come this many times as often as hints are due, and not more often than minSendPause.
constexpr int maxNewsPerHint = 4;
constexpr milliseconds minSendPause{200};
constexpr std::size_t maxSuspectsPerDatagram = 32;
// Between messages about suspected traits; several crashes are often told together.
constexpr milliseconds suspectNewsPause{100};
upstream_work ownWork(const routed_upstream &upstream)
{
    return {nameHash(upstream.listed.id), upstream.inFlight, upstream.unreadTokens};
}

/// Age of this host's copy for its hint. A host whose last read failed gives a large age at once,
/// so that other hosts do not wait for it.
milliseconds advertisedAge(instant confirmedAt, bool isReadAnswered, instant now)
{
    if (confirmedAt == instant::min() || !isReadAnswered)
        return unavailableAge;
    return std::chrono::ceil<milliseconds>(now - confirmedAt);
}

load_hint ownHint(const routing_state &routing, instant now)
{
    load_hint hint;
    hint.desiredVersion = routing.desired ? routing.desired->version : 0;
    hint.desiredAge = advertisedAge(routing.desiredConfirmedAt, routing.isDesiredReadAnswered, now);
    hint.upstreamsNext = {routing.membership.epoch, advertisedOffset(routing.membership, now)};
    hint.cannotRelay = routing.isStopping || routing.links.isIsolated;
    hint.notices = noticesToTell(routing.membership.notices, now);
    hint.suspects = suspectsToTell(routing.quarantine, now);
    hint.upstreamsAge
        = advertisedAge(routing.upstreamsConfirmedAt,
                        routing.isUpstreamsReadAnswered && hint.upstreamsNext.offset > 0, now);
    for (const auto &[service, pool] : routing.pools) {
        for (const auto &[id, upstream] : pool.upstreams) {
            if (ownInFlight(upstream) > 0 && hint.upstreams.size() < maxUpstreamsPerHint)
                hint.upstreams.push_back(ownWork(upstream));
        }
        service_demand demand = ownDemand(pool, now);
        demand.service = nameHash(service);
        if (demand.prefillMsPerSecond > 0 || demand.inFlight > 0)
            hint.demands.push_back(demand);
        if (auto framing = framingToTell(pool.framing, now)) {
            framing->service = demand.service;
            hint.framings.push_back(*framing);
        }
    }
    return hint;
}

void applyFramings(routing_state &routing, std::span<const told_framing> framings, instant now)
{
    if (framings.empty())
        return;
    for (auto &[service, pool] : routing.pools) {
        const std::uint64_t hash = nameHash(service);
        for (const told_framing &framing : framings) {
            if (framing.service == hash)
                applyFraming(pool.framing, framing, now);
        }
    }
}

} // namespace

struct load_exchange::state : std::enable_shared_from_this<load_exchange::state>
{
    state(asio::io_context &io, routing_state &target, const host_address &peer,
          clock_source clocks)
        : context(io)
        , routing(target)
        , socket(io)
        , sendTimer(io)
        , host(peer)
        , clock(std::move(clocks))
        , started(std::uint64_t(clock.wall()))
    {
    }

    asio::io_context &context;
    routing_state &routing;
    udp::socket socket;
    asio::steady_timer sendTimer;
    host_address host;
    clock_source clock;
    std::uint64_t started;
    std::uint64_t sequence = 0;
    std::uint16_t port = 0;
    counts numbers;
    instant sentAt = instant::min();
    instant nextSend = instant::max(); ///< Planned.
    bool isStopped = false;
    instant suspectNewsSentAt = instant::min();
    bool isSuspectNewsPlanned = false;
    std::function<void()> traitHeldListener;
    std::function<std::uint64_t()> ownFence; ///< Empty where no duty is declared.
    std::function<void(const host_address &, wall_milliseconds)> wallClockListener;
    std::function<void(const wire::LoadHint &)> usageListener;
    std::function<void(const host_address &)> hostStartListener;
    std::function<void(const wire::LoadHint &, const host_address &)> streamListener;

    std::string nextHint()
    {
        load_hint hint = ownHint(routing, clock.now());
        hint.host = host;
        hint.started = started;
        hint.sequence = ++sequence;
        if (ownFence) {
            hint.dutyFence = ownFence();
            hint.wall = clock.wall();
        }
        return encodeHint(hint);
    }

    void sendTo(const host_address &peer, const std::string &bytes)
    {
        boost::system::error_code code;
        const auto ip = asio::ip::make_address(peer.ip, code);
        if (code)
            return;
        // When the send buffer is full, the datagram is dropped; the next hint replaces it.
        socket.send_to(asio::buffer(bytes), udp::endpoint(ip, port), 0, code);
        if (!code)
            numbers.sentBytes += bytes.size();
    }

    void sendAll()
    {
        const std::string bytes = nextHint();
        for (const host_announcement &peer : routing.peers)
            sendTo(peer.peer, bytes);
    }

    /// Sends hints to the other reader candidates, if this host is one and its hints to all hosts
    /// are further apart.
    static asio::awaitable<void> sendToCandidates(std::shared_ptr<state> self)
    {
        asio::steady_timer timer(self->context);
        while (!self->isStopped) {
            timer.expires_after(candidateHintInterval);
            co_await timer.async_wait(asTuple);
            if (self->isStopped || hintInterval(self->routing.hostCount()) <= candidateHintInterval)
                continue;
            const auto candidates = readerCandidates(self->routing.otherHostsLoad, self->host);
            if (candidates.empty())
                continue;
            const std::string bytes = self->nextHint();
            for (const host_address &candidate : candidates)
                self->sendTo(candidate, bytes);
        }
    }

    static asio::awaitable<void> send(std::shared_ptr<state> self)
    {
        while (!self->isStopped) {
            const milliseconds interval = hintInterval(self->routing.hostCount());
            self->nextSend = self->clock.now() + interval;
            while (!self->isStopped && self->clock.now() < self->nextSend) {
                self->sendTimer.expires_at(self->nextSend);
                co_await self->sendTimer.async_wait(asTuple); // Ends early when moved forward.
            }
            const milliseconds lifetime = std::max(minHintLifetime, interval * maxMissedHints);
            dropExpiredHints(self->routing.otherHostsLoad, lifetime, self->clock.now());
            self->sentAt = self->clock.now();
            self->sendAll();
        }
    }

    milliseconds newsPause() const
    {
        return std::max(minSendPause, hintInterval(routing.hostCount()) / maxNewsPerHint);
    }

    void sendSoon()
    {
        const instant now = clock.now();
        const instant earliest
            = sentAt == instant::min() ? now : std::max<instant>(now, sentAt + newsPause());
        if (earliest >= nextSend)
            return;
        nextSend = earliest;
        sendTimer.cancel();
    }

    void receiveDatagram(std::string_view bytes, const udp::endpoint &sender)
    {
        numbers.receivedBytes += bytes.size();
        wire::LoadHint message;
        const bool isParsed = message.ParseFromArray(bytes.data(), int(bytes.size()));
        if (isParsed && message.host().empty() && message.suspected_traits_size() > 0) {
            applySuspects(readSuspects(message));
            return;
        }
        const bool isAboutStreams
            = message.stream_origins_size() > 0 || message.stream_queries_size() > 0;
        const bool isAboutUsage = message.usage_size() > 0 || message.usage_reports_size() > 0;
        if (isParsed && message.host().empty() && isAboutStreams) {
            if (streamListener)
                streamListener(message, {sender.address().to_string(), sender.port()});
            return;
        }
        if (isParsed && message.host().empty() && isAboutUsage) {
            if (usageListener)
                usageListener(message);
            return;
        }
        auto hint = isParsed ? readHint(message) : std::nullopt;
        if (!hint)
            ++numbers.invalidDatagrams;
        else if (hint->host != host)
            recordHint(std::move(*hint));
    }

    /// Whether the hint is the first one of a process, or of one that takes work again.
    bool isStart(const load_hint &hint) const
    {
        const auto known = routing.otherHostsLoad.hosts.find(hint.host);
        return !hint.cannotRelay
            && (known == routing.otherHostsLoad.hosts.end()
                || known->second.hint.started != hint.started || known->second.hint.cannotRelay);
    }

    /// Stores another host's hint. A sender that was no peer yet is added to the peers, so that it
    /// gets this host's hints, too.
    void recordHint(load_hint hint)
    {
        const bool isKnown = std::any_of(
            routing.peers.begin(), routing.peers.end(),
            [&hint](const host_announcement &peer) { return peer.peer == hint.host; });
        if (!isKnown) {
            logInfo("host known", {{"host", toString(hint.host)}});
            routing.peers.push_back({hint.host, "", clock.wall()});
        }
        routing.storeEpoch = std::max(routing.storeEpoch, hint.upstreamsNext.epoch);
        const std::vector<told_notice> notices = hint.notices;
        applyFramings(routing, hint.framings, clock.now());
        applySuspects(std::exchange(hint.suspects, {}));
        if (wallClockListener && hint.wall > 0)
            wallClockListener(hint.host, hint.wall);
        const host_address sender = hint.host;
        const bool hasStarted = isStart(hint);
        if (!applyHint(routing.otherHostsLoad, std::move(hint), clock.now()))
            return;
        if (hasStarted && hostStartListener)
            hostStartListener(sender);
        for (const told_notice &notice : notices)
            applyNotice(routing, notice, clock.now());
    }

    /// Merges what another host told of suspected traits; answers at once with what it lacks.
    void applySuspects(const std::vector<told_suspect> &suspects)
    {
        if (suspects.empty())
            return;
        for (const told_suspect &suspect : suspects) {
            const bool isToPassOn = applySuspect(routing.quarantine, suspect, clock.now());
            if (isToPassOn && isKeeper(suspect.trait, routing.otherHostsLoad, host))
                routing.quarantine.news.insert(suspect.trait);
        }
        if (updateQuarantine(routing, clock.now()) && traitHeldListener)
            traitHeldListener();
        sendSuspectNews();
    }

    void sendSuspectNews()
    {
        const bool isNews
            = !routing.quarantine.news.empty() || !routing.quarantine.keeperNews.empty();
        if (isNews && !std::exchange(isSuspectNewsPlanned, true))
            startTask(context, "suspect news", sendPlannedSuspectNews(shared_from_this()));
    }

    static asio::awaitable<void> sendPlannedSuspectNews(std::shared_ptr<state> self)
    {
        if (self->suspectNewsSentAt != instant::min()) {
            asio::steady_timer timer(self->context);
            timer.expires_at(self->suspectNewsSentAt + suspectNewsPause);
            co_await timer.async_wait(asTuple);
        }
        self->isSuspectNewsPlanned = false;
        if (self->isStopped)
            co_return;
        self->suspectNewsSentAt = self->clock.now();
        crash_quarantine &quarantine = self->routing.quarantine;
        const auto news = takeNews(quarantine, self->clock.now());
        for (const host_announcement &peer : self->routing.peers)
            self->sendSuspects(peer.peer, news);
        std::map<host_address, std::vector<told_suspect>> byKeeper;
        for (const told_suspect &suspect : takeKeeperNews(quarantine, self->clock.now())) {
            for (const host_address &keeper :
                 keepersOf(suspect.trait, self->routing.otherHostsLoad, self->host))
                byKeeper[keeper].push_back(suspect);
        }
        byKeeper.erase(self->host);
        for (const auto &[keeper, suspects] : byKeeper)
            self->sendSuspects(keeper, suspects);
    }

    void sendSuspects(const host_address &peer, std::span<const told_suspect> suspects)
    {
        while (!suspects.empty()) {
            const auto part = suspects.first(std::min(suspects.size(), maxSuspectsPerDatagram));
            sendTo(peer, encodeSuspects(part));
            suspects = suspects.subspan(part.size());
        }
    }

    static asio::awaitable<void> receive(std::shared_ptr<state> self)
    {
        std::vector<char> buffer(maxDatagramBytes);
        udp::endpoint sender;
        while (!self->isStopped) {
            const auto [code, size]
                = co_await self->socket.async_receive_from(asio::buffer(buffer), sender, asTuple);
            if (code == asio::error::operation_aborted || !self->socket.is_open())
                co_return;
            if (!code)
                self->receiveDatagram({buffer.data(), size}, sender);
        }
    }
};

result<std::unique_ptr<load_exchange>> load_exchange::makeLoadExchange(asio::io_context &context,
                                                                       routing_state &target,
                                                                       const host_address &listen,
                                                                       const host_address &peer,
                                                                       clock_source clock)
{
    auto shared = std::make_shared<state>(context, target, peer, std::move(clock));
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(listen.ip, code);
    const udp::endpoint endpoint(ip, listen.port);
    if (!code)
        shared->socket.open(endpoint.protocol(), code);
    if (!code)
        shared->socket.bind(endpoint, code);
    if (!code)
        shared->socket.non_blocking(true, code);
    if (code)
        return makeError(result_code::settingsInvalid,
                         "cannot receive datagrams on " + toString(listen) + ": " + code.message());
    shared->port = shared->socket.local_endpoint().port();
    return std::unique_ptr<load_exchange>(new load_exchange(std::move(shared)));
}

load_exchange::load_exchange(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

load_exchange::~load_exchange()
{
    stop();
}

void load_exchange::start()
{
    startService(m_state->context, "hints", [shared = m_state] { return state::send(shared); });
    startService(m_state->context, "hints to candidates",
                 [shared = m_state] { return state::sendToCandidates(shared); });
    startService(m_state->context, "hints of others",
                 [shared = m_state] { return state::receive(shared); });
}

void load_exchange::stop()
{
    m_state->isStopped = true;
    m_state->sendTimer.cancel();
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

void load_exchange::sendSoon()
{
    m_state->sendSoon();
}

void load_exchange::sendSuspectNews()
{
    m_state->sendSuspectNews();
}

void load_exchange::sendTo(const host_address &host, const std::string &bytes)
{
    m_state->sendTo(host, bytes);
}

void load_exchange::onStreamMessage(
    std::function<void(const wire::LoadHint &message, const host_address &sender)> listener)
{
    m_state->streamListener = std::move(listener);
}

void load_exchange::tellDuties(std::function<std::uint64_t()> fence)
{
    m_state->ownFence = std::move(fence);
}

void load_exchange::onWallClock(
    std::function<void(const host_address &host, wall_milliseconds wall)> listener)
{
    m_state->wallClockListener = std::move(listener);
}

void load_exchange::onUsage(std::function<void(const wire::LoadHint &message)> listener)
{
    m_state->usageListener = std::move(listener);
}

void load_exchange::onHostStart(std::function<void(const host_address &host)> listener)
{
    m_state->hostStartListener = std::move(listener);
}

void load_exchange::onTraitHeld(std::function<void()> listener)
{
    m_state->traitHeldListener = std::move(listener);
}

load_exchange::counts load_exchange::numbers() const
{
    return m_state->numbers;
}

} // namespace quincefall
