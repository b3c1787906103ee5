#include "route/load_exchange.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"
#include "peer.pb.h"
#include "policy/feed_plan.h"
#include "policy/placement.h"

#include <algorithm>
#include <cmath>

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
// Hints give unread tokens in multiples of this, which makes them shorter.
constexpr double unreadTokensPerUnit = 16;

/// Number of urgency levels up to the last one with a non-zero amount.
std::size_t usedUrgencyLevels(const by_urgency &amounts)
{
    std::size_t levels = urgencyLevels;
    while (levels > 0 && amounts[levels - 1] <= 0)
        --levels;
    return levels;
}

template <typename field_type>
by_urgency toAmounts(const field_type &field, double unit)
{
    by_urgency amounts{};
    const auto levels = std::min(urgencyLevels, std::size_t(field.size()));
    for (std::size_t urgency = 0; urgency < levels; ++urgency)
        amounts[urgency] = field.Get(int(urgency)) * unit;
    return amounts;
}

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
    hint.notices = noticesToTell(routing.membership.notices, now);
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
    }
    return hint;
}

} // namespace

std::string encodeHint(const load_hint &hint)
{
    wire::LoadHint message;
    message.set_host(toString(hint.host));
    message.set_started_ms(hint.started);
    message.set_sequence(hint.sequence);
    for (const upstream_work &work : hint.upstreams) {
        wire::UpstreamWork *row = message.add_upstreams();
        row->set_upstream(work.upstream);
        for (std::size_t urgency = 0; urgency < usedUrgencyLevels(work.inFlight); ++urgency)
            row->add_in_flight(std::uint32_t(std::lround(work.inFlight[urgency])));
        for (std::size_t urgency = 0; urgency < usedUrgencyLevels(work.unreadTokens); ++urgency)
            row->add_unread_tokens(
                std::uint32_t(std::ceil(work.unreadTokens[urgency] / unreadTokensPerUnit)));
    }
    for (const service_demand &demand : hint.demands) {
        wire::ServiceDemand *row = message.add_demands();
        row->set_service(demand.service);
        row->set_sensitive_us_per_s(std::uint32_t(std::lround(demand.prefillMsPerSecond * 1000)));
        row->set_sensitive_in_flight(std::uint32_t(std::lround(demand.inFlight)));
    }
    message.set_desired_version(hint.desiredVersion);
    message.set_desired_age_ms(std::uint32_t(hint.desiredAge.count()));
    message.set_upstreams_next(hint.upstreamsNext.offset);
    message.set_store_epoch(hint.upstreamsNext.epoch);
    message.set_upstreams_age_ms(std::uint32_t(hint.upstreamsAge.count()));
    for (const told_notice &notice : hint.notices) {
        wire::UpstreamNotice *row = message.add_notices();
        row->set_upstream(notice.upstream);
        row->set_started_ms(notice.started);
        row->set_leaving(notice.isLeaving);
        row->set_pause_ms(std::uint32_t(notice.pause.count()));
    }
    return message.SerializeAsString();
}

std::optional<load_hint> decodeHint(std::string_view bytes)
{
    wire::LoadHint message;
    if (!message.ParseFromArray(bytes.data(), int(bytes.size())))
        return std::nullopt;
    const auto host = parseAddress(message.host());
    if (!host)
        return std::nullopt;
    load_hint hint;
    hint.host = *host;
    hint.desiredVersion = message.desired_version();
    hint.desiredAge = milliseconds(message.desired_age_ms());
    hint.upstreamsNext = {message.store_epoch(), message.upstreams_next()};
    hint.upstreamsAge = milliseconds(message.upstreams_age_ms());
    hint.started = message.started_ms();
    hint.sequence = message.sequence();
    for (const wire::UpstreamWork &row : message.upstreams()) {
        upstream_work work;
        work.upstream = row.upstream();
        work.inFlight = toAmounts(row.in_flight(), 1);
        work.unreadTokens = toAmounts(row.unread_tokens(), unreadTokensPerUnit);
        hint.upstreams.push_back(work);
    }
    for (const wire::ServiceDemand &row : message.demands())
        hint.demands.push_back(
            {row.service(), row.sensitive_us_per_s() / 1000.0, double(row.sensitive_in_flight())});
    for (const wire::UpstreamNotice &row : message.notices())
        hint.notices.push_back(
            {row.upstream(), row.started_ms(), row.leaving(), milliseconds(row.pause_ms())});
    return hint;
}

struct load_exchange::state
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

    std::string nextHint()
    {
        load_hint hint = ownHint(routing, clock.now());
        hint.host = host;
        hint.started = started;
        hint.sequence = ++sequence;
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

    void receiveDatagram(std::string_view bytes)
    {
        numbers.receivedBytes += bytes.size();
        auto hint = decodeHint(bytes);
        if (!hint)
            ++numbers.invalidDatagrams;
        else if (hint->host != host)
            recordHint(std::move(*hint));
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
        if (!applyHint(routing.otherHostsLoad, std::move(hint), clock.now()))
            return;
        for (const told_notice &notice : notices)
            applyNotice(routing, notice, clock.now());
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
                self->receiveDatagram({buffer.data(), size});
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
    asio::co_spawn(m_state->context, state::send(m_state), asio::detached);
    asio::co_spawn(m_state->context, state::sendToCandidates(m_state), asio::detached);
    asio::co_spawn(m_state->context, state::receive(m_state), asio::detached);
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

load_exchange::counts load_exchange::numbers() const
{
    return m_state->numbers;
}

} // namespace quincefall
