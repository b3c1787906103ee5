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
constexpr milliseconds drainPoll{10};
constexpr int permitSpaceBits = 40;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Number that differs between the processes that a host runs one after another.
std::uint64_t makeIncarnation(const clock_source &clock)
{
    return std::uint64_t(clock.wall());
}

} // namespace

struct host_process::state : std::enable_shared_from_this<host_process::state>
{
    state(asio::io_context &io, settings wanted)
        : context(io)
        , values(std::move(wanted))
        , clock(makeSystemClock())
        , incarnation(makeIncarnation(clock))
        , services(kernel::makeKernel())
    {
    }

    asio::io_context &context;
    settings values;
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

    /// Adds a service that the kernel starts and stops by its member functions.
    template <typename service_type>
    service_type &addRunning(const char *name, std::unique_ptr<service_type> service)
    {
        service_type &added = *service;
        return add(name, std::move(service), startAndStop(added));
    }

    /// Hooks of a service with the member functions start and stop.
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

    /// Whether a process that has claimed a call may still answer it.
    bool mayBeAtWork(const std::string &host, std::uint64_t process) const
    {
        if (host == values.hostName)
            return process == incarnation;
        const auto seen = services->find<heartbeat_service>("peer.heartbeats").stateOf(host);
        return seen != host_state::dead && seen != host_state::unknown;
    }

    void takeHostList(std::span<const listed_host> listed)
    {
        auto &mesh = services->find<peer_mesh>("peer.mesh");
        for (const listed_host &host : listed) {
            if (host.isEntry)
                mesh.setAddress(host.name, host.address);
        }
        services->find<heartbeat_service>("peer.heartbeats").setHostList(listed);
        std::vector<std::string> claimers;
        for (const listed_host &host : listed) {
            if (host.isEntry)
                claimers.push_back(host.name);
        }
        services->find<claim_service>("serve.claims").noteMembers(claimers);
    }

    /// Queues move when members change: permits in use are told to new owners, waiting requests go
    /// back to their entry hosts.
    void takeMemberChange(const state_change &change)
    {
        auto &queues = services->find<queue_service>("serve.queues");
        if (change.after == host_state::dead) {
            services->find<peer_mesh>("peer.mesh").disconnect(change.host);
            queues.dropEntryHost(change.host);
        }
        services->find<permit_client>("serve.permits").announceRunning();
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
        auto &client = add("platform.http", http_client::makeHttpClient(context));
        auto &log = add("platform.log", std::make_unique<log_client>(client, values.log));
        addRunning(
            "platform.hosts",
            host_list_service::makeHostListService({context, client, events, values.hostList}));
        addRunning("operate.config",
                   config_service::makeConfigService(
                       {context, log, events, clock, values.hostName, {values.checkpointEvery}}));
        return {};
    }

    result<void> addPeers()
    {
        peer_mesh::options wanted;
        wanted.hostName = values.hostName;
        wanted.listen = values.peerListen;
        wanted.secret = values.fleetSecret;
        auto mesh = peer_mesh::makePeerMesh(context, wanted);
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
        // Milliseconds since the epoch, shifted: unique for each start of each host in practice,
        // and the host's own hash keeps two that start together apart.
        const std::uint64_t firstPermit
            = (std::hash<std::string>()(values.hostName) ^ incarnation) << permitSpaceBits >> 1;
        auto &queueService = addRunning(
            "serve.queues",
            queue_service::makeQueueService({context, mesh, events, clock, firstPermit + 1}));
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
                            queueService.noteCacheEvent(pool, event);
                        }}));
        fleet_view fleet{[this](std::string_view key) { return ownerOf(key); }};
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
        auto &beats = services->find<heartbeat_service>("peer.heartbeats");
        auto chatService = chat_service::makeChatService(
            {context, client, permits, config, events, mesh, [&beats] { return beats.liveHosts(); },
             clock, values.hostName, incarnation, services->find<metrics>("observe.metrics"),
             values.region});
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
                                           return mayBeAtWork(host, process);
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
        config.onEffect([&changes, &config](const config_effect &effect) {
            changes.take(config.state(), effect);
        });
        auto &meters = services->find<metrics>("observe.metrics");
        addHostMetrics(meters, config, mesh);
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
        const auto &beats = services->find<heartbeat_service>("peer.heartbeats");
        added.addStatusSection({"peers", [this, &list, &beats] {
                                    return describePeers(list.hosts(), beats, values.hostName);
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

    result<void> addServer(const char *name, const host_address &address,
                           http_server::handler function)
    {
        http_server::options wanted;
        wanted.listen = address;
        wanted.maxHeaderBytes = values.maxHeaderBytes;
        wanted.maxBodyBytes = values.maxBodyBytes;
        wanted.maxConnections = values.maxConnections;
        wanted.requestTimeout = values.callerTimeout;
        auto server = http_server::makeHttpServer(context, wanted, std::move(function));
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
        if (auto added
            = addServer("serve.server", values.callerListen,
                        [&api](http_exchange &exchange) { return api.handle(exchange); });
            !added)
            return added;
        return addServer(
            "operate.server", values.operatorListen,
            [&operators](http_exchange &exchange) { return operators.handle(exchange); });
    }

    void connect()
    {
        auto &config = services->find<config_service>("operate.config");
        auto &list = services->find<host_list_service>("platform.hosts");
        config.onChange([this] { updatePools(); });
        list.onChange([this, &list] {
            takeHostList(list.hosts());
            updatePools();
        });
        services->find<heartbeat_service>("peer.heartbeats")
            .onChange([this](const state_change &change) { takeMemberChange(change); });
        takeHostList(hostsInSettings(values.peers));
        config.setCheckpointWriter([this] { return ownerOf("config") == values.hostName; });
        services->find<heartbeat_service>("peer.heartbeats")
            .exchangeOffsets(
                [&config] { return config.isReady() ? config.state().next : 0; },
                [this](const std::string &host, std::uint64_t offset) {
                    services->find<config_relay>("operate.relay").takePeerOffset(host, offset);
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
        connect();
        return services->start();
    }

    static asio::awaitable<void> drain(std::shared_ptr<state> self, std::function<void()> done)
    {
        auto &server = self->services->find<http_server>("serve.server");
        asio::steady_timer pause(self->context);
        self->services->find<heartbeat_service>("peer.heartbeats").leave();
        // The balancer sees the failed ready check before connections are refused.
        server.announceClose();
        pause.expires_after(leaveDelay);
        co_await pause.async_wait(asTuple);
        server.stopAccepting();
        const instant deadline = self->clock.now() + self->values.drainTimeout;
        const auto &claims = self->services->find<claim_service>("serve.claims");
        const auto isBusy = [&] { return server.openConnections() > 0 || !claims.isFlushed(); };
        while (isBusy() && self->clock.now() < deadline) {
            pause.expires_after(drainPoll);
            co_await pause.async_wait(asTuple);
        }
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

host_process::ports host_process::listening() const
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
