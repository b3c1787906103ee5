#include "route/host_directory.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"

#include <algorithm>
#include <set>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// After this host's announcement. Hosts that start together have then announced themselves, too.
constexpr milliseconds readDelay{1'500};
constexpr milliseconds retryDelay{1'000};
constexpr milliseconds epochCheckInterval{1'000};
// Spreads the announcements of all hosts after the store has lost them.
constexpr milliseconds reannounceDelayPerHost{5};

} // namespace

struct host_directory::state
{
    state(asio::io_context &io, routing_state &target, state_source reader,
          host_announcement announcement, std::vector<host_address> settingsSeeds,
          clock_source clocks)
        : context(io)
        , routing(target)
        , source(std::move(reader))
        , own(std::move(announcement))
        , seeds(std::move(settingsSeeds))
        , clock(std::move(clocks))
    {
    }

    asio::io_context &context;
    routing_state &routing;
    state_source source;
    host_announcement own;
    std::vector<host_address> seeds;
    clock_source clock;
    std::uint64_t announcedEpoch = 0; ///< Epoch of the store that has the announcement.
    bool isStopped = false;

    asio::awaitable<void> pause(microseconds time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asTuple);
    }

    asio::awaitable<bool> announceOwn()
    {
        own.announcedAt = clock.wall();
        const auto done = co_await source.announce(own);
        if (done)
            announcedEpoch = *done;
        else
            logWarning("host not announced", {{"cause", done.error().detail}});
        co_return done.has_value();
    }

    /// Adds the hosts that are not among the peers yet.
    void addPeers(const std::vector<host_announcement> &hosts)
    {
        for (const host_announcement &host : hosts) {
            const bool isKnown = std::any_of(
                routing.peers.begin(), routing.peers.end(),
                [&host](const host_announcement &peer) { return peer.peer == host.peer; });
            if (!isKnown && host.peer != own.peer)
                routing.peers.push_back(host);
        }
    }

    asio::awaitable<bool> readPeers()
    {
        const auto hosts = co_await source.hosts();
        if (!hosts) {
            logWarning("hosts not read", {{"cause", hosts.error().detail}});
            co_return false;
        }
        std::set<host_address> hintSenders;
        for (const auto &[address, entry] : routing.otherHostsLoad.hosts)
            hintSenders.insert(address);
        routing.peers = liveHosts(*hosts, hintSenders, own.peer, clock.wall());
        routing.hasReadPeers = true;
        logInfo("hosts known", {{"others", std::to_string(routing.peers.size())}});
        co_return true;
    }

    /// Waits until the next announcement is due, which is soon if the store has come back from a
    /// copy that lacks the last one.
    asio::awaitable<void> waitForNextAnnouncement()
    {
        const instant due = clock.now() + announceInterval;
        while (!isStopped && clock.now() < due && routing.storeEpoch <= announcedEpoch)
            co_await pause(std::min<microseconds>(epochCheckInterval, due - clock.now()));
        if (routing.storeEpoch > announcedEpoch)
            co_await pause(reannounceDelayPerHost
                           * (nameHash(toString(own.peer)) % routing.hostCount()));
    }

    void addSeeds()
    {
        std::vector<host_announcement> hosts;
        for (const host_address &seed : seeds)
            hosts.push_back({seed, "", clock.wall()});
        addPeers(hosts);
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        while (!self->isStopped) {
            bool isDone = co_await self->announceOwn();
            co_await self->pause(readDelay);
            if (isDone)
                isDone = co_await self->readPeers();
            if (!isDone && !self->routing.hasReadPeers)
                self->addSeeds();
            if (isDone)
                co_await self->waitForNextAnnouncement();
            else
                co_await self->pause(retryDelay);
        }
    }
};

std::unique_ptr<host_directory>
host_directory::makeHostDirectory(asio::io_context &context, routing_state &target,
                                  state_source source, host_announcement own,
                                  std::vector<host_address> seeds, clock_source clock)
{
    return std::unique_ptr<host_directory>(new host_directory(std::make_shared<state>(
        context, target, std::move(source), std::move(own), std::move(seeds), std::move(clock))));
}

host_directory::host_directory(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

host_directory::~host_directory()
{
    stop();
}

void host_directory::start()
{
    startService(m_state->context, "host directory",
                 [shared = m_state] { return state::run(shared); });
}

void host_directory::stop()
{
    m_state->isStopped = true;
}

} // namespace quincefall
