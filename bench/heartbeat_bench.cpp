// Measures the traffic of a fleet's heartbeats and the time until a killed or paused host is
// detected; prints one JSON object. All hosts run in this process, each with its own event loop.

#include "clients/host_list_client.h"
#include "observe/timeline.h"
#include "peer/heartbeat_service.h"
#include "peer/peer_mesh.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <iostream>
#include <thread>

DEFINE_uint32(hosts, 9, "hosts that exchange heartbeats");
DEFINE_uint32(seconds, 5, "duration of the traffic measurement");
DEFINE_uint32(rounds, 5, "rounds of the detection measurement; each kills and pauses one host");

namespace {

using namespace quincefall;
namespace asio = boost::asio;
namespace json = boost::json;
using clock_type = std::chrono::steady_clock;

constexpr seconds conditionTimeout{60};
constexpr milliseconds settlingTime{2000};

double secondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

struct bench_host
{
    std::string name;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;
    bool paused = false;
    std::unique_ptr<asio::io_context> context;
    std::unique_ptr<peer_mesh> mesh;
    std::unique_ptr<timeline> events;
    std::unique_ptr<heartbeat_service> heartbeats;

    void start()
    {
        const clock_source clock = makeSystemClock();
        context = std::make_unique<asio::io_context>();
        peer_mesh::options settings;
        settings.hostName = name;
        settings.listen = {"127.0.0.1", port};
        settings.secret = "a secret of the usual length of 32";
        mesh = std::move(peer_mesh::makePeerMesh(*context, settings).value());
        port = mesh->port();
        events = timeline::makeTimeline(name, clock, 100);
        incarnation = std::max(incarnation + 1, static_cast<std::uint64_t>(clock.wall()));
        heartbeats = heartbeat_service::makeHeartbeatService({*context, *mesh, *events, clock},
                                                             {name, incarnation, {}});
        heartbeats->exchangeOffsets([] { return 100000; }, {});
        heartbeats->start();
    }

    void kill()
    {
        heartbeats.reset();
        mesh.reset();
        context.reset();
    }
};

struct bench_fleet
{
    std::vector<bench_host> hosts;
    std::vector<listed_host> list;

    explicit bench_fleet(std::size_t size)
        : hosts(size)
    {
        for (std::size_t number = 0; number < size; ++number) {
            hosts[number].name = "entry-" + std::to_string(number);
            hosts[number].start();
            list.push_back(
                {hosts[number].name, true, {"127.0.0.1", hosts[number].port}, {}, {}, false});
        }
        for (const bench_host &host : hosts)
            host.heartbeats->setHostList(list);
    }

    /// Runs all hosts that are neither killed nor paused until @p condition holds, for 60 s at
    /// most. Returns the time taken in milliseconds.
    double runUntil(const std::function<bool()> &condition)
    {
        const auto start = clock_type::now();
        while (!condition() && clock_type::now() - start < conditionTimeout) {
            for (const bench_host &host : hosts) {
                if (host.paused || !host.context)
                    continue;
                host.context->restart();
                host.context->poll();
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        return 1e3 * secondsSince(start);
    }

    void runFor(milliseconds span)
    {
        const auto end = clock_type::now() + span;
        runUntil([end] { return clock_type::now() >= end; });
    }

    /// Whether all hosts other than @p subject list it as an owner (@p isOwner true) or all of them
    /// leave it out (@p isOwner false).
    bool allAgree(const bench_host &subject, bool isOwner) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const bench_host &host) {
            if (&host == &subject)
                return true;
            const auto &owners = host.heartbeats->owners();
            return std::binary_search(owners.begin(), owners.end(), subject.name) == isOwner;
        });
    }
};

json::object measureTraffic(bench_fleet &fleet)
{
    std::vector<peer_mesh::traffic> before;
    before.reserve(fleet.hosts.size());
    for (const bench_host &host : fleet.hosts)
        before.push_back(host.mesh->trafficTotals());
    const heartbeat_service &first = *fleet.hosts[0].heartbeats;
    const auto trafficBefore = first.trafficTotals();
    const double elapsed = fleet.runUntil([end = clock_type::now() + seconds(FLAGS_seconds)] {
        return clock_type::now() >= end;
    }) / 1e3;
    double sent = 0;
    double received = 0;
    double highest = 0;
    for (std::size_t number = 0; number < fleet.hosts.size(); ++number) {
        const auto after = fleet.hosts[number].mesh->trafficTotals();
        const double sentHere = double(after.sent - before[number].sent) / elapsed;
        sent += sentHere / FLAGS_hosts;
        received += double(after.received - before[number].received) / elapsed / FLAGS_hosts;
        highest = std::max(highest, sentHere);
    }
    const auto trafficAfter = first.trafficTotals();
    const double heartbeats = double(trafficAfter.heartbeatsSent - trafficBefore.heartbeatsSent);
    json::object report;
    report["hosts"] = FLAGS_hosts;
    report["seconds"] = elapsed;
    report["bytes_sent_per_second_and_host"] = sent;
    report["bytes_received_per_second_and_host"] = received;
    report["bytes_sent_per_second_highest_host"] = highest;
    report["beats_sent_per_second_first_host"] = heartbeats / elapsed;
    report["body_bytes_per_beat"]
        = double(trafficAfter.bytesSent - trafficBefore.bytesSent) / std::max(heartbeats, 1.0);
    return report;
}

json::object summarise(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    json::object report;
    report["median_ms"] = values[values.size() / 2];
    report["highest_ms"] = values.back();
    return report;
}

/// Measures the time from the kill or pause of a host until no other host lists it as an owner, and
/// from its restart or resumption until all of them do.
json::object measureDetection(bench_fleet &fleet)
{
    std::vector<double> killed;
    std::vector<double> restarted;
    std::vector<double> paused;
    std::vector<double> resumed;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        bench_host &subject = fleet.hosts[round % fleet.hosts.size()];
        const auto isExcluded = [&] { return fleet.allAgree(subject, false); };
        const auto isIncluded = [&] { return fleet.allAgree(subject, true); };
        // Starts each round at a different phase of the heartbeat interval.
        fleet.runFor(milliseconds(1000 + 37 * round));
        subject.kill();
        killed.push_back(fleet.runUntil(isExcluded));
        fleet.runFor(settlingTime);
        subject.start();
        subject.heartbeats->setHostList(fleet.list);
        restarted.push_back(fleet.runUntil(isIncluded));
        fleet.runFor(settlingTime);
        subject.paused = true;
        paused.push_back(fleet.runUntil(isExcluded));
        fleet.runFor(settlingTime);
        subject.paused = false;
        resumed.push_back(fleet.runUntil(isIncluded));
    }
    json::object report;
    report["rounds"] = FLAGS_rounds;
    report["killed_until_no_owner"] = summarise(std::move(killed));
    report["restarted_until_owner"] = summarise(std::move(restarted));
    report["paused_until_no_owner"] = summarise(std::move(paused));
    report["woken_until_owner"] = summarise(std::move(resumed));
    return report;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bench_fleet fleet(FLAGS_hosts);
    fleet.runFor(settlingTime);
    json::object report;
    report["traffic"] = measureTraffic(fleet);
    report["detection"] = measureDetection(fleet);
    std::cout << json::serialize(report) << '\n';
    return 0;
}
