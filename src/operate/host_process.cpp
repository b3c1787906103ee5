#include "operate/host_process.h"

#include "clients/host_list_service.h"
#include "clients/http_client.h"
#include "clients/log_client.h"
#include "kernel/asio_headers.h"
#include "kernel/kernel.h"
#include "observe/log_setup.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "operate/change_feed.h"
#include "operate/config_relay.h"
#include "operate/config_service.h"
#include "operate/host_metrics.h"
#include "operate/host_pools.h"
#include "operate/lease_service.h"
#include "operate/operator_api.h"
#include "operate/order_service.h"
#include "operate/peer_status.h"
#include "operate/queue_status.h"
#include "peer/heartbeat_service.h"
#include "peer/peer_mesh.h"
#include "serve/caller_api.h"
#include "serve/chat_service.h"
#include "serve/claim_service.h"
#include "serve/http_server.h"
#include "serve/load_poller.h"
#include "serve/permit_client.h"
#include "serve/plain_call_service.h"
#include "serve/queue_service.h"

#include <csignal>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr std::size_t timelineCapacity = 20'000;
constexpr milliseconds leaveDelay{500};
// Before the end of a stop, for the answers to what still runs.
constexpr milliseconds lastAnswersTime{100};
constexpr milliseconds drainPollInterval{10};
constexpr int permitNumberBits = 40;
constexpr std::size_t bytesPerMb = 1'000'000;
// The parts of the memory for what peers have sent and for the sockets of callers.
constexpr std::size_t heldMemoryDivisor = 4;
constexpr std::size_t socketMemoryDivisor = 8;
// The part of what is held that is left to small messages.
constexpr std::size_t smallShareDivisor = 4;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::shared_ptr<byte_budget> makeHeldBytes(const settings &values)
{
    // One request fits also where its body may be larger than the memory suggests.
    const std::size_t limit
        = std::max(values.memoryMb * bytesPerMb / heldMemoryDivisor, 4UL * values.maxBodyBytes);
    return byte_budget::makeByteBudget(limit, limit / smallShareDivisor);
}

/// A number that differs between the successive processes of a host: the start time in ms.
std::uint64_t makeIncarnation(const clock_source &clock)
{
    return std::uint64_t(clock.wall());
}

} // namespace

struct host_process::state : std::enable_shared_from_this<host_process::state>
{
    state(asio::io_context &io, settings hostSettings)
        : context(io)
        , values(std::move(hostSettings))
        , clock(makeSystemClock())
        , incarnation(makeIncarnation(clock))
        , services(kernel::makeKernel())
    {
    }

    asio::io_context &context;
    settings values;
    std::shared_ptr<byte_budget> held = makeHeldBytes(values); ///< Of all peers.
    clock_source clock;
    std::uint64_t incarnation;
    bool isStopping = false;
    std::unique_ptr<kernel> services;

    template <typename service_type>
    service_type &add(const char *name, std::unique_ptr<service_type> service,
                      kernel::hooks lifeCycle = {})
    {
        service_type &added = *service;
        services->add(name, std::shared_ptr<service_type>(std::move(service)),
                      std::move(lifeCycle));
        return added;
    }

    /// Adds a service whose start() and stop() the kernel calls.
    template <typename service_type>
    service_type &addRunning(const char *name, std::unique_ptr<service_type> service)
    {
        service_type &added = *service;
        return add(name, std::move(service), startAndStop(added));
    }

    /// Hooks that call start() and stop() of @p service.
    template <typename service_type>
    static kernel::hooks startAndStop(service_type &service)
    {
        return {[&service]() -> result<void> {
                    service.start();
                    return {};
                },
                [&service] { service.stop(); }};
    }

    std::string ownerOf(std::string_view key) const
    {
        return services->find<heartbeat_service>("peer.heartbeats").ownerOf(key);
    }

    /// Whether the process that claimed a call may still be running it. @p process is the
    /// incarnation of that process.
    bool mayBeAlive(const std::string &host, std::uint64_t process) const
    {
        if (host == values.hostName)
            return process == incarnation;
        const auto seen = services->find<heartbeat_service>("peer.heartbeats").stateOf(host);
        return seen != host_state::dead && seen != host_state::unknown;
    }

    void applyHostList(std::span<const listed_host> listed)
    {
        auto &mesh = services->find<peer_mesh>("peer.mesh");
        for (const listed_host &host : listed) {
            if (host.isEntry)
                mesh.setAddress(host.name, host.address);
        }
        services->find<heartbeat_service>("peer.heartbeats").setHostList(listed);
        std::vector<std::string> entryHosts;
        for (const listed_host &host : listed) {
            if (host.isEntry)
                entryHosts.push_back(host.name);
        }
        services->find<claim_service>("serve.claims").setMembers(entryHosts);
    }

    /// A change of the members can change the owners of queues. This host then reports its permits
    /// in use to the new owners, and returns the waiting requests of queues that it no longer owns
    /// to their entry hosts.
    void handleMemberChange(const state_change &change)
    {
        auto &queues = services->find<queue_service>("serve.queues");
        if (change.after == host_state::dead) {
            services->find<peer_mesh>("peer.mesh").disconnect(change.host);
            queues.dropEntryHost(change.host);
        }
        services->find<permit_client>("serve.permits").announceHeldPermits();
        queues.handOver([this](std::string_view pool) { return ownsPool(pool); });
    }

    bool ownsPool(std::string_view pool) const { return ownerOf(pool) == values.hostName; }

    void updatePools()
    {
        configurePools(services->find<queue_service>("serve.queues"),
                       services->find<config_service>("operate.config").state(),
                       services->find<host_list_service>("platform.hosts"));
    }

    result<void> addPlatform()
    {
        auto &events = add("observe.timeline",
                           timeline::makeTimeline(values.hostName, clock, timelineCapacity));
        add("observe.metrics", metrics::makeMetrics());
        auto &client = add("platform.http", http_client::makeHttpClient(context, held));
        auto &log = add("platform.log", std::make_unique<log_client>(client, values.logAddress));
        addRunning("platform.hosts",
                   host_list_service::makeHostListService(
                       {context, client, events, values.hostListAddress}));
        addRunning("operate.config",
                   config_service::makeConfigService(
                       {context, log, events, clock, values.hostName, {values.checkpointEvery}}));
        return {};
    }

    result<void> addPeers()
    {
        peer_mesh::options options;
        options.hostName = values.hostName;
        options.listen = values.peerListen;
        options.secret = values.fleetSecret;
        auto mesh = peer_mesh::makePeerMesh(context, options);
        if (!mesh)
            return tl::unexpected(mesh.error());
        auto &added = **mesh;
        for (const peer_setting &peer : values.peers)
            added.setAddress(peer.name, peer.address);
        add("peer.mesh", std::move(*mesh), {{}, [&added] { added.stop(); }});
        auto &events = services->find<timeline>("observe.timeline");
        addRunning("peer.heartbeats",
                   heartbeat_service::makeHeartbeatService({context, added, events, clock},
                                                           {values.hostName, incarnation, {}}));
        auto &config = services->find<config_service>("operate.config");
        addRunning("operate.relay",
                   config_relay::makeConfigRelay({context, added, config, events}));
        return {};
    }

    void addQueues()
    {
        auto &mesh = services->find<peer_mesh>("peer.mesh");
        const auto &config = services->find<config_service>("operate.config");
        auto &events = services->find<timeline>("observe.timeline");
        // Each process numbers its permits from a base of its own. The start time in ms makes the
        // bases of successive processes distinct in practice; the hash of the host name does so for
        // hosts that start in the same millisecond.
        const std::uint64_t permitNumberBase
            = (std::hash<std::string>()(values.hostName) ^ incarnation) << permitNumberBits >> 1;
        auto &queueService = addRunning(
            "serve.queues",
            queue_service::makeQueueService({context, mesh, events, clock, permitNumberBase + 1}));
        addRunning("serve.load",
                   load_poller::makeLoadPoller(
                       {context, services->find<http_client>("platform.http"),
                        [this, &config] {
                            return ownedUpstreams(config.state(), [this](std::string_view pool) {
                                return ownsPool(pool);
                            });
                        },
                        [&queueService](const std::string &pool, const load_report &report) {
                            queueService.reportLoad(pool, report);
                        },
                        [&queueService](const std::string &pool, const cache_event &event) {
                            queueService.applyCacheEvent(pool, event);
                        }}));
        queue_owner_lookup fleet{[this](std::string_view key) { return ownerOf(key); }};
        auto &meters = services->find<metrics>("observe.metrics");
        addRunning("serve.permits",
                   permit_client::makePermitClient({context, mesh, events, clock, fleet,
                                                    values.hostName, values.region, meters}));
    }

    void addCallerServices()
    {
        auto &client = services->find<http_client>("platform.http");
        auto &permits = services->find<permit_client>("serve.permits");
        auto &config = services->find<config_service>("operate.config");
        auto &events = services->find<timeline>("observe.timeline");
        auto &mesh = services->find<peer_mesh>("peer.mesh");
        auto &heartbeats = services->find<heartbeat_service>("peer.heartbeats");
        auto chatService = chat_service::makeChatService(
            {context, client, permits, config, events, mesh,
             [&heartbeats] { return heartbeats.liveHosts(); }, clock, values.hostName, incarnation,
             services->find<metrics>("observe.metrics"), values.region});
        auto &chat = *chatService;
        add("serve.chat", std::move(chatService),
            {[&chat]() -> result<void> {
                 chat.start();
                 return {};
             },
             {}});
        auto &claims = addRunning("serve.claims",
                                  claim_service::makeClaimService(
                                      {context, services->find<log_client>("platform.log"), mesh,
                                       events, clock, values.hostName, incarnation,
                                       [this](const std::string &host, std::uint64_t process) {
                                           return mayBeAlive(host, process);
                                       }}));
        auto &calls
            = add("serve.calls",
                  plain_call_service::makePlainCallService({client, permits, config, claims, events,
                                                            clock, values.hostName, incarnation}));
        add("serve.api", caller_api::makeCallerApi({config, chat, calls}));
        addOperatorApi();
    }

    std::vector<std::string> hostsWithSelf() const
    {
        auto hosts = services->find<heartbeat_service>("peer.heartbeats").liveHosts();
        if (std::find(hosts.begin(), hosts.end(), values.hostName) == hosts.end())
            hosts.push_back(values.hostName);
        return hosts;
    }

    void addOperatorApi()
    {
        auto &config = services->find<config_service>("operate.config");
        auto &mesh = services->find<peer_mesh>("peer.mesh");
        auto &changes = add("operate.changes", std::make_unique<change_feed>());
        config.onRecordApplied([&changes, &config](const config_effect &effect) {
            changes.record(config.state(), effect);
        });
        auto &meters = services->find<metrics>("observe.metrics");
        addHostMetrics(meters, config, mesh, held);
        operator_context needs{context,
                               config,
                               services->find<timeline>("observe.timeline"),
                               mesh,
                               changes,
                               meters,
                               clock,
                               values.hostName,
                               values.operatorKey,
                               [this] { return isStopping; },
                               // The signal handler of `serve` begins the graceful stop.
                               [] { std::raise(SIGTERM); },
                               [this] { return hostsWithSelf(); },
                               {}};
        auto &added = addRunning("operate.api", operator_api::makeOperatorApi(std::move(needs)));
        const auto &queues = services->find<queue_service>("serve.queues");
        const auto &list = services->find<host_list_service>("platform.hosts");
        const auto &heartbeats = services->find<heartbeat_service>("peer.heartbeats");
        added.addStatusSection({"peers", [this, &list, &heartbeats] {
                                    return describePeers(list.hosts(), heartbeats, values.hostName);
                                }});
        added.addStatusSection({"queues", [this, &queues, &config] {
                                    return describeQueues(
                                        config.state(), queues,
                                        [this](std::string_view pool) { return ownsPool(pool); });
                                }});
    }

    void addOrders()
    {
        auto &client = services->find<http_client>("platform.http");
        auto &log = services->find<log_client>("platform.log");
        auto &config = services->find<config_service>("operate.config");
        auto &events = services->find<timeline>("observe.timeline");
        auto &lease = addRunning(
            "operate.lease",
            lease_service::makeLeaseService(
                {context, log, events, clock, "orders", values.hostName, incarnation, {}}));
        auto &orders
            = addRunning("operate.orders",
                         order_service::makeOrderService(
                             {context, client, config, lease, events, clock, lease_timing().ttl}));
        services->find<operator_api>("operate.api").addStatusSection({"orders", [&orders] {
                                                                          return boost::json::value(
                                                                              describeOrders(
                                                                                  orders.status()));
                                                                      }});
    }

    http_server::options serverOptions(const host_address &address) const
    {
        http_server::options options;
        options.listen = address;
        options.maxHeaderBytes = values.maxHeaderBytes;
        options.maxBodyBytes = values.maxBodyBytes;
        options.maxConnections = values.maxConnections;
        options.requestTimeout = values.callerTimeout;
        options.held = held;
        return options;
    }

    result<void> addServer(const char *name, http_server::options options,
                           http_server::handler function)
    {
        auto server = http_server::makeHttpServer(context, std::move(options), std::move(function));
        if (!server)
            return tl::unexpected(server.error());
        auto &added = **server;
        add(name, std::move(*server), {{}, [&added] { added.stop(); }});
        return {};
    }

    result<void> addServers()
    {
        auto &api = services->find<caller_api>("serve.api");
        auto &operators = services->find<operator_api>("operate.api");
        http_server::options callers = serverOptions(values.callerListen);
        callers.socketBytes = values.memoryMb * bytesPerMb / socketMemoryDivisor;
        callers.refusalOfHead
            = [&api](const http_exchange &exchange) { return api.refusalOfHead(exchange); };
        if (auto added
            = addServer("serve.server", std::move(callers),
                        [&api](http_exchange &exchange) { return api.handle(exchange); });
            !added)
            return added;
        return addServer(
            "operate.server", serverOptions(values.operatorListen),
            [&operators](http_exchange &exchange) { return operators.handle(exchange); });
    }

    void connectServices()
    {
        auto &config = services->find<config_service>("operate.config");
        auto &list = services->find<host_list_service>("platform.hosts");
        config.onChange([this] { updatePools(); });
        list.onChange([this, &list] {
            applyHostList(list.hosts());
            updatePools();
        });
        services->find<heartbeat_service>("peer.heartbeats")
            .onChange([this](const state_change &change) { handleMemberChange(change); });
        applyHostList(hostsFromSettings(values.peers));
        config.setCheckpointWriter([this] { return ownerOf("config") == values.hostName; });
        services->find<heartbeat_service>("peer.heartbeats")
            .exchangeOffsets(
                [&config] { return config.isReady() ? config.state().next : 0; },
                [this](const std::string &host, std::uint64_t offset) {
                    services->find<config_relay>("operate.relay").handlePeerOffset(host, offset);
                });
    }

    result<void> start()
    {
        if (auto added = addPlatform(); !added)
            return added;
        if (auto added = addPeers(); !added)
            return added;
        addQueues();
        addCallerServices();
        addOrders();
        if (auto added = addServers(); !added)
            return added;
        connectServices();
        return services->start();
    }

    static asio::awaitable<void> drain(std::shared_ptr<state> self, std::function<void()> done)
    {
        auto &server = self->services->find<http_server>("serve.server");
        asio::steady_timer pause(self->context);
        self->services->find<heartbeat_service>("peer.heartbeats").leave();
        // Lets load balancers see the failed readiness check before connections are refused.
        server.announceClose();
        pause.expires_after(leaveDelay);
        co_await pause.async_wait(asTuple);
        co_await server.stopAccepting();
        const instant deadline = self->clock.now() + self->values.drainTimeout;
        const auto &claims = self->services->find<claim_service>("serve.claims");
        const auto isBusy = [&] { return server.openConnections() > 0 || !claims.isFlushed(); };
        const auto waitUntil = [&](instant end) -> asio::awaitable<void> {
            while (isBusy() && self->clock.now() < end) {
                pause.expires_after(drainPollInterval);
                co_await pause.async_wait(asTuple);
            }
        };
        co_await waitUntil(deadline - lastAnswersTime);
        server.answerRunning({result_code::upstreamTimeout,
                              "the host stopped before the request ended", run_state::unknown,
                              std::nullopt});
        co_await waitUntil(deadline);
        logInfo("host stopped", {{"active", std::to_string(server.activeExchanges())}});
        self->services->stop();
        done();
    }
};

result<std::unique_ptr<host_process>> host_process::makeHostProcess(asio::io_context &context,
                                                                    settings values)
{
    auto shared = std::make_shared<state>(context, std::move(values));
    if (auto started = shared->start(); !started)
        return tl::unexpected(started.error());
    return std::unique_ptr<host_process>(new host_process(std::move(shared)));
}

host_process::host_process(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

host_process::~host_process()
{
    m_state->services->stop();
}

host_process::ports host_process::listeningPorts() const
{
    return {m_state->services->find<http_server>("serve.server").port(),
            m_state->services->find<peer_mesh>("peer.mesh").port(),
            m_state->services->find<http_server>("operate.server").port()};
}

void host_process::stopGracefully(std::function<void()> done)
{
    if (m_state->isStopping)
        return;
    m_state->isStopping = true;
    logInfo("host stopping", {{"host", m_state->values.hostName}});
    asio::co_spawn(m_state->context, state::drain(m_state, std::move(done)), asio::detached);
}

} // namespace quincefall
