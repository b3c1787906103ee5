#include "route/route_process.h"

#include "clients/connection_pool.h"
#include "kernel/asio_headers.h"
#include "kernel/kernel.h"
#include "observe/background_task.h"
#include "observe/held_metrics.h"
#include "observe/log_setup.h"
#include "observe/metrics.h"
#include "route/duty_holder.h"
#include "route/duty_services.h"
#include "route/feed.h"
#include "route/held_archive.h"
#include "route/host_directory.h"
#include "route/load_exchange.h"
#include "route/peer_calls.h"
#include "route/proxy_service.h"
#include "route/relay_client.h"
#include "route/relay_server.h"
#include "route/routing_state.h"
#include "route/stream_archive.h"
#include "route/stream_directory.h"
#include "route/upstream_paths.h"
#include "serve/http_server.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Reads and hints have intervals of 0.2 s at least, also where a change may take little longer.
constexpr milliseconds minStaleTime{1'000};
constexpr std::size_t maxIdlePerUpstream = 24; // A host has only few requests at one upstream.
// The load balancer probes once a second and removes a host after two failed probes.
constexpr milliseconds balancerRemovalTime{2'600};
// Time left for the process to exit before it is killed.
constexpr milliseconds exitReserve{400};
// Time for the errors to requests that are broken off at the end to reach their callers.
constexpr milliseconds lastAnswerTime{100};
constexpr milliseconds drainPollInterval{50};
constexpr double bytesPerMegabit = 1e6 / 8;
constexpr std::size_t bytesPerMb = 1'000'000;
// The parts of the memory for what peers have sent and for the sockets of callers.
constexpr std::size_t heldMemoryDivisor = 4;
constexpr std::size_t socketMemoryDivisor = 8;
// The part of what is held that is left to small messages.
constexpr std::size_t smallShareDivisor = 4;
constexpr int statusReady = 200;
constexpr int statusNotReady = 503;

milliseconds roundToMilliseconds(double ms)
{
    return milliseconds(std::llround(ms));
}

placement_site siteOf(const route_settings &values)
{
    placement_site site;
    site.failureDomain = values.failureDomain;
    site.region = values.region;
    site.self = values.peerListen;
    site.regions = values.regions;
    return site;
}

proxy_service::options proxyOptions(const route_settings &values, std::shared_ptr<byte_budget> held)
{
    proxy_service::options options;
    options.site = siteOf(values);
    options.held = std::move(held);
    options.transfer = values.transfer;
    options.budget.ratio = values.furtherAttemptRatio;
    options.budget.slack = values.furtherAttemptSlack;
    options.staleAfter = std::max(minStaleTime, roundToMilliseconds(values.applyMs));
    options.trustsClosedEnds = values.trustsClosedEnds;
    options.budget.window = roundToMilliseconds(values.furtherAttemptWindowSeconds * 1000);
    return options;
}

/// A relayed connection takes two descriptors, and this host's own callers come first.
std::size_t maxRelayed(const route_settings &values)
{
    return values.maxConnections / 4;
}

std::shared_ptr<byte_budget> makeHeldBytes(const route_settings &values)
{
    const std::size_t limit = values.memoryMb * bytesPerMb / heldMemoryDivisor;
    return byte_budget::makeByteBudget(limit, limit / smallShareDivisor);
}

http_server::options serverOptions(const host_address &listen, const caller_limits &limits,
                                   const route_settings &values)
{
    http_server::options options;
    options.listen = listen;
    options.maxConnections = values.maxConnections;
    options.headerLimitCode = result_code::headerTooLarge;
    options.maxHeaderBytes = limits.maxHeaderBytes;
    options.maxBodyBytes = limits.maxBodyBytes;
    options.headerTimeout = limits.headerTimeout;
    options.requestTimeout = limits.idleTimeout;
    options.idleTimeout = limits.idleTimeout;
    return options;
}

} // namespace

struct route_process::state
{
    state(asio::io_context &io, route_settings settings)
        : context(io)
        , values(std::move(settings))
        , clock(makeSystemClock())
        , services(kernel::makeKernel())
    {
        answers.pace.bytesPerSecond = values.linkMbps * bytesPerMegabit;
    }

    asio::io_context &context;
    route_settings values;
    clock_source clock;
    routing_state routing;
    std::unique_ptr<metrics> numbers = metrics::makeMetrics();
    std::shared_ptr<byte_budget> held = makeHeldBytes(values); ///< Of all peers.
    std::shared_ptr<connection_pool> connections;
    std::shared_ptr<upstream_paths> paths;
    std::unique_ptr<relay_server> relays;
    std::unique_ptr<stream_directory> streams;
    std::unique_ptr<kernel> services;
    duty_calls calls; ///< Of the duties that the settings name.
    state_answers answers; ///< To other hosts.
    bool isStopping = false;

    result<void> addServer(const char *name, http_server::options options,
                           http_server::handler function)
    {
        options.held = held;
        auto made = http_server::makeHttpServer(context, std::move(options), std::move(function));
        if (!made)
            return tl::unexpected(made.error());
        http_server &server = **made;
        services->add(name, std::shared_ptr<http_server>(std::move(*made)),
                      {{}, [&server] { server.stop(); }});
        return {};
    }

    asio::awaitable<void> answerReady(http_exchange &exchange) const
    {
        const bool isReady
            = routing.isReady() && !isStopping && reachesUpstreams(routing.links, routing.pools);
        co_await exchange.respond(isReady ? statusReady : statusNotReady, {}, "");
    }

    asio::awaitable<void> answerPeer(http_exchange &exchange)
    {
        if (exchange.path() == peerDesiredPath || exchange.path() == peerUpstreamsPath) {
            co_await answerStateQuery(exchange, routing, answers, clock);
            co_return;
        }
        if (exchange.path() == peerRelayPath) {
            co_await relays->handle(exchange);
            co_return;
        }
        if (exchange.path() != "/metrics") {
            co_await exchange.respond(resultInfo(result_code::notFound).httpStatus, {}, "");
            co_return;
        }
        const std::vector<response_header> headers{{"Content-Type", "text/plain; version=0.0.4"}};
        std::string text = numbers->render();
        co_await exchange.respond(statusReady, headers, std::move(text));
    }

    result<void> addServers()
    {
        auto &proxy = services->find<proxy_service>("route.proxy");
        http_server::options callers = serverOptions(values.callerListen, {}, values);
        callers.socketBytes = values.memoryMb * bytesPerMb / socketMemoryDivisor;
        callers.refusalOfHead
            = [&proxy](const http_exchange &exchange) { return proxy.refusalOfHead(exchange); };
        auto added
            = addServer("route.callers", std::move(callers),
                        [&proxy](http_exchange &exchange) { return proxy.handle(exchange); });
        if (added)
            added = addServer("route.ready", serverOptions(values.readyListen, {}, values),
                              [this](http_exchange &exchange) { return answerReady(exchange); });
        if (added)
            added = addServer("route.peers", serverOptions(values.peerListen, {}, values),
                              [this](http_exchange &exchange) { return answerPeer(exchange); });
        return added;
    }

    void addArchive(const state_source &source)
    {
        auto &proxy = services->find<proxy_service>("route.proxy");
        std::shared_ptr<held_archive> archive
            = held_archive::makeHeldArchive(context, routing, source, values.peerListen, clock,
                                            [&proxy] { proxy.cancelHeldAttempts(); });
        held_archive &added = *archive;
        services->add("route.archive", std::move(archive),
                      {[&added]() -> result<void> {
                           added.start();
                           return {};
                       },
                       [&added] { added.stop(); }});
    }

    void addStreamArchive(const state_source &source)
    {
        std::shared_ptr<stream_archive> archive
            = stream_archive::makeStreamArchive(context, routing, source, values.peerListen, clock);
        stream_archive &added = *archive;
        streams->useArchive(added);
        services->add("route.streams", std::move(archive),
                      {[&added]() -> result<void> {
                           added.start();
                           return {};
                       },
                       [&added] { added.stop(); }});
    }

    void addFeed(state_source source)
    {
        addArchive(source);
        addStreamArchive(source);
        addPeers(source);
        std::shared_ptr<feed> reader
            = feed::makeFeed(context, routing, std::move(source),
                             feed::optionsFor(roundToMilliseconds(values.leaveMs),
                                              roundToMilliseconds(values.applyMs)),
                             values.peerListen, clock);
        auto &proxy = services->find<proxy_service>("route.proxy");
        reader->onChange([this, &proxy] {
            applyLimits();
            proxy.applyCrashNews();
            streams->tellUntold();
        });
        reader->onGone([this](const host_address &address) { paths->closeIdle(address); });
        auto &exchange = services->find<load_exchange>("route.exchange");
        reader->onStoreNews([&exchange] { exchange.sendSoon(); });
        feed &added = *reader;
        addFeedMetrics(added);
        services->add("route.feed", std::move(reader),
                      {[&added]() -> result<void> {
                           added.start();
                           return {};
                       },
                       [&added] { added.stop(); }});
    }

    void addDuties(const state_source &source)
    {
        if (!values.duties)
            return;
        addDutyServices({context, routing, *services, *numbers, clock, values}, source, calls);
    }

    void addFeedMetrics(const feed &reader)
    {
        const auto addQueries = [this](const std::string &end, std::function<double()> read) {
            numbers->addCallbackMetric({"quincefall_state_queries_total", "counter",
                                        "Queries to other hosts for newer state, by their end.",
                                        "end=\"" + end + "\"", std::move(read)});
        };
        addQueries("answered", [&reader] { return double(reader.numbers().answered); });
        addQueries("rejected", [&reader] { return double(reader.numbers().rejected); });
        addQueries("failed", [&reader] { return double(reader.numbers().failed); });
        numbers->addCallbackMetric({"quincefall_state_received_bytes_total", "counter",
                                    "Bytes of desired states received from other hosts.", "",
                                    [&reader] { return double(reader.numbers().receivedBytes); }});
    }

    void addPeers(const state_source &source)
    {
        host_announcement own{values.peerListen, values.failureDomain, 0};
        std::shared_ptr<host_directory> directory = host_directory::makeHostDirectory(
            context, routing, source, std::move(own), values.seeds, clock);
        host_directory &added = *directory;
        services->add("route.directory", std::move(directory),
                      {[&added]() -> result<void> {
                           added.start();
                           return {};
                       },
                       [&added] { added.stop(); }});
    }

    result<void> addExchange()
    {
        auto made = load_exchange::makeLoadExchange(context, routing, values.exchangeListen,
                                                    values.peerListen, clock);
        if (!made)
            return tl::unexpected(made.error());
        load_exchange &added = **made;
        auto &proxy = services->find<proxy_service>("route.proxy");
        proxy.onNotice([&added] { added.sendSoon(); });
        paths->onIsolationChange([&added] { added.sendSoon(); });
        proxy.onSuspectNews([&added] { added.sendSuspectNews(); });
        added.onTraitHeld([&proxy] { proxy.cancelHeldAttempts(); });
        streams = stream_directory::makeStreamDirectory(
            context, routing, values.peerListen, clock,
            [&added](const host_address &host, const std::string &bytes) {
                added.sendTo(host, bytes);
            },
            [this] { return services->find<feed>("route.feed").confirm(); });
        added.onStreamMessage([this](const wire::LoadHint &message, const host_address &sender) {
            streams->receive(message, sender);
        });
        added.onHostStart([this](const host_address &host) { streams->noteHostStart(host); });
        proxy.useStreamDirectory(*streams);
        services->add("route.exchange", std::shared_ptr<load_exchange>(std::move(*made)),
                      {[&added]() -> result<void> {
                           added.start();
                           return {};
                       },
                       [&added] { added.stop(); }});
        return {};
    }

    void applyLimits()
    {
        if (!routing.desired)
            return;
        services->find<http_server>("route.callers")
            .setLimits(serverOptions(values.callerListen, routing.desired->limits, values));
    }

    void addRelayMetrics()
    {
        numbers->addCallbackMetric({"quincefall_host_isolated", "gauge",
                                    "1 while the host reaches no upstream directly.", "",
                                    [this] { return routing.links.isIsolated ? 1.0 : 0.0; }});
        numbers->addCallbackMetric({"quincefall_upstreams_relayed", "gauge",
                                    "Upstreams that are reached through other hosts.", "",
                                    [this] { return double(countRelayed(routing.pools)); }});
        numbers->addCallbackMetric({"quincefall_relayed_connections_opened_total", "counter",
                                    "Connections opened to upstreams through other hosts.", "",
                                    [this] { return double(paths->numbers().relayed); }});
        numbers->addCallbackMetric({"quincefall_relay_failures_total", "counter",
                                    "Hosts that did not relay a connection for this host.", "",
                                    [this] { return double(paths->numbers().relayFailures); }});
        numbers->addCallbackMetric({"quincefall_relays_open", "gauge",
                                    "Connections that this host relays for others.", "",
                                    [this] { return double(relays->numbers().open); }});
        const auto addRelays = [this](const std::string &end, std::function<double()> read) {
            numbers->addCallbackMetric({"quincefall_relays_total", "counter",
                                        "Connections that other hosts asked for, by the answer.",
                                        "answer=\"" + end + "\"", std::move(read)});
        };
        addRelays("opened", [this] { return double(relays->numbers().opened); });
        addRelays("unreachable", [this] { return double(relays->numbers().unreachable); });
        addRelays("unavailable", [this] { return double(relays->numbers().unavailable); });
    }

    void addMetrics()
    {
        numbers->addCallbackMetric({"quincefall_upstream_connections_opened_total", "counter",
                                    "Connections opened to upstreams.", "", [this] {
                                        return double(connections->connectionCounts().opened);
                                    }});
        numbers->addCallbackMetric({"quincefall_upstream_connections_reused_total", "counter",
                                    "Requests sent on a connection that was open.", "", [this] {
                                        return double(connections->connectionCounts().reused);
                                    }});
        addRelayMetrics();
        addHeldMetrics(*numbers, held);
        numbers->addCallbackMetric({"quincefall_upstreams_disconnected", "gauge",
                                    "Upstreams to which connections from this host fail.", "",
                                    [this] { return double(countDisconnected(routing.pools)); }});
        numbers->addCallbackMetric(
            {"quincefall_desired_version", "gauge", "Version of the desired state in force.", "",
             [this] { return routing.desired ? double(routing.desired->version) : 0.0; }});
        numbers->addCallbackMetric({"quincefall_prompt_parts_held", "gauge",
                                    "Prompt parts for which requests are held back.", "", [this] {
                                        return double(heldCount(routing.quarantine, false));
                                    }});
        numbers->addCallbackMetric(
            {"quincefall_requests_held", "gauge", "Repeated requests that are held back.", "",
             [this] { return double(heldCount(routing.quarantine, true)); }});
        numbers->addCallbackMetric({"process_cpu_seconds_total", "counter",
                                    "Processor time of the process in user and kernel mode.", "",
                                    processCpuSeconds});
        numbers->addCallbackMetric({"process_resident_memory_bytes", "gauge",
                                    "Resident memory of the process.", "", processResidentBytes});
    }

    result<void> start(state_source source, wire_format wire)
    {
        connections = connection_pool::makeConnectionPool(context, {maxIdlePerUpstream, true});
        paths = upstream_paths::makeUpstreamPaths(context, routing, connections, siteOf(values),
                                                  clock);
        relays = relay_server::makeRelayServer(routing, connections, maxRelayed(values), clock);
        addMetrics();
        services->add<proxy_service>(
            "route.proxy",
            proxy_service::makeProxyService(context, routing, std::move(wire), paths, *numbers,
                                            clock, proxyOptions(values, held)));
        services->add("route.paths", paths,
                      {[this]() -> result<void> {
                           paths->start();
                           return {};
                       },
                       [this] { paths->stop(); }});
        if (auto added = addServers(); !added)
            return added;
        if (auto added = addExchange(); !added)
            return added;
        addDuties(source);
        addFeed(std::move(source));
        return services->start();
    }

    static asio::awaitable<void> drain(std::shared_ptr<state> self, std::function<void()> done)
    {
        auto &server = self->services->find<http_server>("route.callers");
        const instant started = self->clock.now();
        const instant end
            = started + roundToMilliseconds(self->values.stopSeconds * 1000) - exitReserve;
        // New connections arrive until the load balancer has noticed that this host is not ready.
        server.announceClose();
        self->services->find<proxy_service>("route.proxy").stopBy(end - lastAnswerTime);
        self->routing.isStopping = true;
        if (self->values.duties)
            startTask(self->context, "duty release",
                      self->services->find<duty_holder>("route.duties").stop());
        self->services->find<load_exchange>("route.exchange").sendSoon();
        asio::steady_timer pause(self->context, balancerRemovalTime);
        co_await pause.async_wait(asTuple);
        // Requests that arrive later on an open connection might not finish before the end.
        self->services->find<proxy_service>("route.proxy").refuseNewRequests();
        co_await server.stopAccepting();
        while (server.openConnections() + self->relays->numbers().open > 0
               && self->clock.now() < end) {
            pause.expires_after(drainPollInterval);
            co_await pause.async_wait(asTuple);
        }
        self->streams->handOver();
        logInfo("host stopped",
                {{"host", self->values.hostName},
                 {"active", std::to_string(server.activeExchanges())},
                 {"took_ms",
                  std::to_string(std::lround(toMilliseconds(self->clock.now() - started)))}});
        self->services->stop();
        done();
    }
};

result<std::unique_ptr<route_process>>
route_process::makeRouteProcess(asio::io_context &context, route_settings values,
                                state_source source, wire_format wire, duty_calls calls)
{
    auto shared = std::make_shared<state>(context, std::move(values));
    shared->calls = std::move(calls);
    if (auto started = shared->start(std::move(source), std::move(wire)); !started)
        return tl::unexpected(started.error());
    logInfo("host started",
            {{"host", shared->values.hostName},
             {"region", shared->values.region},
             {"failure_domain", shared->values.failureDomain},
             {"callers", toString(shared->values.callerListen)},
             {"store", toString(shared->values.store)}});
    return std::unique_ptr<route_process>(new route_process(std::move(shared)));
}

route_process::route_process(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

route_process::~route_process()
{
    m_state->services->stop();
}

void route_process::reload(const route_settings &values)
{
    m_state->values.stopSeconds = values.stopSeconds;
    m_state->values.maxConnections = values.maxConnections;
    m_state->applyLimits();
    logInfo("settings reloaded", {{"host", values.hostName}});
}

void route_process::stopGracefully(std::function<void()> done)
{
    if (m_state->isStopping)
        return;
    m_state->isStopping = true;
    logInfo("host stopping", {{"host", m_state->values.hostName}});
    startTask(m_state->context, "stop", state::drain(m_state, std::move(done)));
}

} // namespace quincefall
