#include "route/upstream_paths.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/probation.h"
#include "policy/relay_choice.h"
#include "route/relay_client.h"

#include <map>
#include <set>
#include <string>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds connectTimeout{400}; // As in upstream_call.
constexpr milliseconds initialKeepAlive{2'000}; // Until an answer gives the upstream's limit.
constexpr milliseconds watchInterval{100};
constexpr milliseconds relayTimeout{500};
// While a request waits that another upstream could serve.
constexpr milliseconds waitingRelayTimeout{250};
constexpr std::size_t maxRelaysAsked = 5;
constexpr std::size_t maxIdlePerUpstream = 24; // A host has only few requests at one upstream.

/// An attempt to open a direct connection.
struct failed_attempt
{
    instant triedAt;
    bool wasSilent = false; ///< It timed out; otherwise it was refused or reset.
};

} // namespace

std::string_view toString(life_sign sign)
{
    switch (sign) {
    case life_sign::answered:
        return "answered";
    case life_sign::unanswered:
        return "unanswered";
    case life_sign::unconnected:
        return "unconnected";
    case life_sign::listening:
        return "listening";
    case life_sign::silent:
        return "silent";
    case life_sign::relayed:
        return "relayed";
    case life_sign::refused:
        return "refused";
    case life_sign::none:
        break;
    }
    return "none";
}

struct upstream_paths::state : std::enable_shared_from_this<upstream_paths::state>
{
    state(asio::io_context &io, routing_state &target, std::shared_ptr<connection_pool> pool,
          placement_site place, clock_source clocks)
        : context(io)
        , routing(target)
        , direct(std::move(pool))
        , relayed(connection_pool::makeConnectionPool(io, {maxIdlePerUpstream, true}))
        , site(std::move(place))
        , clock(std::move(clocks))
    {
    }

    asio::io_context &context;
    routing_state &routing;
    std::shared_ptr<connection_pool> direct;
    std::shared_ptr<connection_pool> relayed; ///< By the address of the upstream.
    placement_site site;
    clock_source clock;
    relay_failures failures;
    std::set<std::string, std::less<>> searching; ///< Ids of upstreams for which relays are asked.
    std::function<void()> isolationListener;
    std::multimap<std::string, std::weak_ptr<std::function<void()>>, std::less<>> linkListeners;
    counts totals;
    bool isStopped = false;

    bool usesRelay(const upstream_entry &entry) const
    {
        const routed_upstream *upstream = findUpstream(routing, entry);
        return upstream && needsRelay(routing.links, *upstream);
    }

    bool hasRelay(const upstream_entry &entry) const
    {
        const routed_upstream *upstream = findUpstream(routing, entry);
        return upstream && upstream->relay;
    }

    /// Drops relays whose hints say that they can't relay, or have ended. A stopping relay waits
    /// for the idle connections to be closed.
    void dropLostRelays()
    {
        for (auto &[service, pool] : routing.pools) {
            for (auto &[id, upstream] : pool.upstreams) {
                if (!upstream.relay || mayRelay(routing.otherHostsLoad, *upstream.relay))
                    continue;
                upstream.relay.reset();
                relayed->closeIdle(upstream.listed.address);
            }
        }
    }

    void tellIsolation(bool isIsolated)
    {
        if (isIsolated)
            logWarning("host cut off from upstreams",
                       {{"cut_links", std::to_string(routing.links.cut.size())}});
        else
            logInfo("host reaches upstreams again", {});
        if (isolationListener)
            isolationListener();
    }

    void noteDirectContact()
    {
        if (recordContact(routing.links, clock.now()))
            tellIsolation(false);
    }

    void noteRelay(const upstream_entry &entry, const host_address &relay)
    {
        routed_upstream *upstream = findUpstream(routing, entry);
        if (!upstream)
            return;
        if (!upstream->isRelayed || upstream->relay != relay)
            logWarning("upstream reached through another host",
                       {{"upstream", entry.id}, {"relay", toString(relay)}});
        if (!upstream->isRelayed)
            direct->closeIdle(entry.address);
        recordRelay(*upstream, relay, clock.now());
    }

    /// Records that a direct attempt failed, unlike one through @p relay.
    void noteCutLink(const upstream_entry &entry, const host_address &relay,
                     const failed_attempt &failed)
    {
        noteRelay(entry, relay);
        const routed_upstream *upstream = findUpstream(routing, entry);
        if (!upstream)
            return;
        if (recordCutLink(routing.links, *upstream, failed.triedAt))
            tellIsolation(true);
        if (failed.wasSilent)
            tellSilentLink(entry.id);
    }

    void tellSilentLink(const std::string &id)
    {
        std::vector<std::shared_ptr<std::function<void()>>> listeners;
        const auto [begin, end] = linkListeners.equal_range(id);
        for (auto row = begin; row != end; ++row) {
            if (auto listener = row->second.lock())
                listeners.push_back(std::move(listener));
        }
        for (const auto &listener : listeners)
            (*listener)();
    }

    std::vector<host_address> relaysOf(const upstream_entry &entry)
    {
        auto relays
            = relaysFor(entry, routing.peers, routing.otherHostsLoad, site, failures, clock.now());
        if (relays.size() > maxRelaysAsked)
            relays.resize(maxRelaysAsked);
        const routed_upstream *upstream = findUpstream(routing, entry);
        if (upstream && upstream->relay) {
            std::erase(relays, *upstream->relay);
            relays.insert(relays.begin(), *upstream->relay);
        }
        return relays;
    }

    asio::awaitable<relay_outcome> askRelays(upstream_entry entry, milliseconds timeout)
    {
        relay_outcome outcome = co_await openThroughRelays(direct, entry, relaysOf(entry), timeout);
        for (const host_address &relay : outcome.failed) {
            ++totals.relayFailures;
            recordFailure(failures, relay, clock.now());
        }
        if (outcome.connection) {
            ++totals.relayed;
            outcome.connection->keepAlive = initialKeepAlive;
            outcome.connection->isRelayed = true;
        }
        co_return outcome;
    }

    asio::awaitable<result<connection_ptr>> openRelayed(upstream_entry entry, milliseconds timeout)
    {
        relay_outcome outcome = co_await askRelays(entry, timeout);
        if (outcome.connection) {
            noteRelay(entry, outcome.relay);
            co_return std::move(outcome.connection);
        }
        if (routed_upstream *upstream = findUpstream(routing, entry))
            upstream->relay.reset();
        co_return makeError(
            result_code::upstreamUnreachable,
            toString(entry.address) + ": not reached directly, and "
                + std::to_string(outcome.failed.size() + std::size_t(outcome.refusals))
                + " other hosts did not reach it either");
    }

    asio::awaitable<result<connection_ptr>> openDirect(upstream_entry entry, milliseconds timeout)
    {
        const instant triedAt = clock.now();
        auto opened = co_await direct->connect(entry.address, timeout);
        if (opened) {
            noteDirectContact();
            co_return std::move(*opened);
        }
        const bool isTimeout = opened.error() == asio::error::timed_out;
        const error failure{result_code::upstreamUnreachable,
                            toString(entry.address) + ": "
                                + (isTimeout ? "timed out" : opened.error().message())};
        // The request has waited long enough if another upstream is likely to be reached.
        const failed_attempt failed{triedAt, isTimeout};
        if (isTimeout && routing.links.lastContactAt > triedAt) {
            startTask(context, "relay search", findRelay(shared_from_this(), entry, failed));
            co_return tl::unexpected(failure);
        }
        relay_outcome outcome = co_await askRelays(entry, waitingRelayTimeout);
        if (!outcome.connection)
            co_return tl::unexpected(failure);
        noteCutLink(entry, outcome.relay, failed);
        co_return std::move(outcome.connection);
    }

    /// Records the relay through which the upstream is reached, if there is one, after a direct
    /// attempt failed.
    static asio::awaitable<void> findRelay(std::shared_ptr<state> self, upstream_entry entry,
                                           failed_attempt failed)
    {
        if (!self->searching.insert(entry.id).second)
            co_return;
        relay_outcome outcome = co_await self->askRelays(entry, relayTimeout);
        self->searching.erase(entry.id);
        if (!outcome.connection)
            co_return;
        self->relayed->putIdle(entry.address, std::move(outcome.connection));
        self->noteCutLink(entry, outcome.relay, failed);
    }

    /// Empty if the link works.
    asio::awaitable<std::optional<failed_attempt>> checkDirectLink(upstream_entry entry)
    {
        const instant triedAt = clock.now();
        auto opened = co_await direct->connect(entry.address, connectTimeout);
        if (!opened)
            co_return failed_attempt{triedAt, opened.error() == asio::error::timed_out};
        (*opened)->keepAlive = initialKeepAlive;
        direct->putIdle(entry.address, std::move(*opened));
        noteDirectContact();
        routed_upstream *upstream = findUpstream(routing, entry);
        if (!upstream || !upstream->isDisconnected)
            co_return std::nullopt;
        if (upstream->isRelayed)
            relayed->closeIdle(entry.address);
        recordReconnect(*upstream, true, clock.now());
        logInfo("upstream connected again",
                {{"upstream", entry.id},
                 {"address", toString(entry.address)},
                 {"failures", std::to_string(upstream->health.failures)}});
        co_return std::nullopt;
    }

    asio::awaitable<void> checkLink(upstream_entry entry)
    {
        const auto failed = co_await checkDirectLink(entry);
        if (!failed)
            co_return;
        if (!hasRelay(entry))
            co_await findRelay(shared_from_this(), entry, *failed);
        routed_upstream *upstream = findUpstream(routing, entry);
        if (upstream && upstream->isDisconnected)
            recordReconnect(*upstream, false, clock.now());
    }

    static asio::awaitable<void> checkOne(std::shared_ptr<state> self, upstream_entry entry)
    {
        co_await self->checkLink(std::move(entry));
    }

    std::vector<upstream_entry> takeDueChecks()
    {
        const instant now = clock.now();
        auto due = takeDueLinkChecks(routing.pools, routing.links, now);
        // A host that takes no callers has no requests whose upstreams would be connected again.
        if (!reachesUpstreams(routing.links, routing.pools)) {
            for (auto &[service, pool] : routing.pools) {
                for (const routed_upstream *upstream : takeDueReconnects(pool, now))
                    due.push_back(upstream->listed);
            }
        }
        return due;
    }

    static asio::awaitable<void> watch(std::shared_ptr<state> self)
    {
        asio::steady_timer timer(self->context);
        while (!self->isStopped) {
            timer.expires_after(watchInterval);
            co_await timer.async_wait(asTuple);
            self->dropLostRelays();
            std::erase_if(self->linkListeners,
                          [](const auto &row) { return row.second.expired(); });
            for (const upstream_entry &entry : self->takeDueChecks())
                startTask(self->context, "link check", checkOne(self, entry));
        }
    }
};

std::shared_ptr<upstream_paths>
upstream_paths::makeUpstreamPaths(asio::io_context &context, routing_state &routing,
                                  std::shared_ptr<connection_pool> direct, placement_site site,
                                  clock_source clock)
{
    return std::shared_ptr<upstream_paths>(new upstream_paths(std::make_shared<state>(
        context, routing, std::move(direct), std::move(site), std::move(clock))));
}

upstream_paths::upstream_paths(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

upstream_paths::~upstream_paths()
{
    stop();
}

void upstream_paths::start()
{
    startService(m_state->context, "links", [shared = m_state] { return state::watch(shared); });
}

void upstream_paths::stop()
{
    m_state->isStopped = true;
}

void upstream_paths::onIsolationChange(std::function<void()> listener)
{
    m_state->isolationListener = std::move(listener);
}

connection_ptr upstream_paths::takeIdle(const upstream_entry &entry, double maxIdleFraction,
                                        std::string_view requestId)
{
    connection_pool &pool = m_state->usesRelay(entry) ? *m_state->relayed : *m_state->direct;
    return pool.takeIdle(entry.address, maxIdleFraction, requestId);
}

connection_ptr upstream_paths::takeOpenedBefore(const upstream_entry &entry, instant time)
{
    connection_pool &pool = m_state->usesRelay(entry) ? *m_state->relayed : *m_state->direct;
    return pool.takeOpenedBefore(entry.address, time);
}

void upstream_paths::putIdle(const upstream_entry &entry, connection_ptr used)
{
    // The path of the upstream may have changed since the connection was opened.
    if (used->isRelayed == m_state->usesRelay(entry)) {
        connection_pool &pool = used->isRelayed ? *m_state->relayed : *m_state->direct;
        pool.putIdle(entry.address, std::move(used));
    }
}

std::shared_ptr<void> upstream_paths::watchLink(const upstream_entry &entry,
                                                std::function<void()> listener)
{
    auto handle = std::make_shared<std::function<void()>>(std::move(listener));
    m_state->linkListeners.emplace(entry.id, handle);
    return handle;
}

asio::awaitable<result<connection_ptr>> upstream_paths::open(upstream_entry entry,
                                                             milliseconds timeout)
{
    const auto self = m_state;
    if (self->usesRelay(entry)) {
        auto opened = co_await self->openRelayed(std::move(entry), timeout);
        co_return opened;
    }
    auto opened = co_await self->openDirect(std::move(entry), timeout);
    co_return opened;
}

asio::awaitable<void> upstream_paths::checkLink(upstream_entry entry)
{
    return state::checkOne(m_state, std::move(entry));
}

asio::awaitable<life_sign> upstream_paths::checkListening(upstream_entry entry)
{
    const auto self = m_state;
    const instant triedAt = self->clock.now();
    const bool isRelayed = self->usesRelay(entry);
    if (!isRelayed) {
        auto opened = co_await self->direct->connect(entry.address, connectTimeout);
        if (opened) {
            (*opened)->keepAlive = initialKeepAlive;
            self->direct->putIdle(entry.address, std::move(*opened));
            co_return life_sign::listening;
        }
        if (opened.error() != asio::error::connection_refused)
            co_return life_sign::silent;
    }
    relay_outcome outcome = co_await self->askRelays(entry, relayTimeout);
    if (!outcome.connection)
        co_return !isRelayed || outcome.refusals > 0 ? life_sign::refused : life_sign::silent;
    self->relayed->putIdle(entry.address, std::move(outcome.connection));
    if (isRelayed)
        self->noteRelay(entry, outcome.relay);
    else
        self->noteCutLink(entry, outcome.relay, {triedAt, false});
    co_return life_sign::relayed;
}

void upstream_paths::noteContact(const upstream_entry &entry, bool isRelayed)
{
    if (!isRelayed)
        m_state->noteDirectContact();
    if (routed_upstream *upstream = findUpstream(m_state->routing, entry))
        upstream->lastByteAt = m_state->clock.now();
}

void upstream_paths::noteRelayFault(const upstream_entry &entry)
{
    m_state->relayed->closeIdle(entry.address);
    routed_upstream *upstream = findUpstream(m_state->routing, entry);
    if (!upstream || !upstream->relay)
        return;
    recordFailure(m_state->failures, *upstream->relay, m_state->clock.now());
    upstream->relay.reset();
}

void upstream_paths::closeIdle(const host_address &address)
{
    m_state->direct->closeIdle(address);
    m_state->relayed->closeIdle(address);
}

upstream_paths::counts upstream_paths::numbers() const
{
    return m_state->totals;
}

asio::io_context &upstream_paths::context() const
{
    return m_state->context;
}

} // namespace quincefall
