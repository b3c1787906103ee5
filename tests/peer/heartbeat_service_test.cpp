#include "peer/heartbeat_service.h"

#include "clients/host_list_client.h"
#include "observe/timeline.h"
#include "peer/mesh_fixture.h"
#include "peer/tcp_relay.h"
#include "policy/ownership.h"

#include <algorithm>
#include <map>
#include <thread>

using namespace quincefall;
using namespace quincefall::testing;
namespace asio = boost::asio;

namespace {

constexpr milliseconds heartbeatInterval{20};

/// A host with an event loop of its own, so that it can be paused by not running it.
struct test_host
{
    std::string name;
    asio::io_context context;
    std::unique_ptr<peer_mesh> mesh;
    std::unique_ptr<timeline> events;
    std::unique_ptr<heartbeat_service> heartbeats;
    std::vector<state_change> changes;
    bool paused = false;

    test_host(const std::string &hostName, std::uint64_t incarnation, std::uint16_t port)
        : name(hostName)
    {
        mesh = makeMesh(context, name, [port](peer_mesh::options &settings) {
            settings.listen.port = port;
            settings.connectTimeout = milliseconds(400);
            settings.pingInterval = milliseconds(50);
            settings.pingTimeout = milliseconds(400);
        });
        events = timeline::makeTimeline(name, makeSystemClock(), 1000);
        membership_rules rules;
        rules.heartbeatInterval = heartbeatInterval;
        heartbeats = heartbeat_service::makeHeartbeatService(
            {context, *mesh, *events, makeSystemClock()}, {name, incarnation, rules});
        heartbeats->onChange([this](const state_change &change) { changes.push_back(change); });
        heartbeats->start();
    }

    bool sawReason(const std::string &host, host_reason reason) const
    {
        return std::any_of(changes.begin(), changes.end(), [&](const state_change &change) {
            return change.host == host && change.reason == reason;
        });
    }

    bool sawState(const std::string &host, host_state state) const
    {
        return std::any_of(changes.begin(), changes.end(), [&](const state_change &change) {
            return change.host == host && change.after == state;
        });
    }
};

struct test_fleet
{
    std::map<std::string, std::unique_ptr<test_host>> hosts;
    std::vector<listed_host> list;

    void add(const std::string &name, std::uint64_t incarnation = 1, std::uint16_t port = 0)
    {
        hosts[name] = std::make_unique<test_host>(name, incarnation, port);
    }

    /// Gives every host the same list.
    void publish()
    {
        list.clear();
        for (const auto &[name, host] : hosts)
            list.push_back({name, true, {"127.0.0.1", host->mesh->port()}, {}, {}, false});
        list.push_back({"engine-1", false, {"127.0.0.1", 1}, {}, {}, false});
        for (const auto &[name, host] : hosts)
            host->heartbeats->setHostList(list);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + conditionTimeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            for (const auto &[name, host] : hosts) {
                host->context.restart();
                if (!host->paused)
                    host->context.poll();
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        BOOST_REQUIRE(condition());
    }

    bool allSeeOwners(const std::vector<std::string> &expected) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto &entry) {
            return entry.second->heartbeats->owners() == expected;
        });
    }

    bool isLive(const std::string &host, const std::string &seenBy) const
    {
        return hosts.at(seenBy)->heartbeats->stateOf(host) == host_state::live;
    }
};

struct three_hosts : test_fleet
{
    three_hosts()
    {
        for (const char *name : {"a", "b", "c"})
            add(name);
        publish();
        runUntil([this] { return allSeeOwners({"a", "b", "c"}); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(heartbeat_service_test, three_hosts)

BOOST_AUTO_TEST_CASE(allHostsAgreeOnOwners)
{
    for (int number = 0; number < 20; ++number) {
        const std::string key = "pool-" + std::to_string(number);
        const std::string owner = hosts["a"]->heartbeats->ownerOf(key);
        BOOST_TEST(!owner.empty());
        BOOST_TEST(hosts["b"]->heartbeats->ownerOf(key) == owner);
        BOOST_TEST(hosts["c"]->heartbeats->ownerOf(key) == owner);
    }
    BOOST_TEST((hosts["c"]->heartbeats->liveHosts() == std::vector<std::string>{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(killedHostIsDeadUntilItsNextProcessStarts)
{
    const std::uint16_t port = hosts["c"]->mesh->port();
    hosts.erase("c");
    runUntil([this] { return allSeeOwners({"a", "b"}); });
    BOOST_TEST((hosts["a"]->heartbeats->stateOf("c") == host_state::dead));
    // One of them initiates the heartbeats to `c` and finds that connecting fails, before
    // heartbeats count as missed.
    BOOST_TEST((hosts["a"]->sawReason("c", host_reason::unreachable)
                || hosts["b"]->sawReason("c", host_reason::unreachable)));
    add("c", 2, port);
    publish();
    runUntil([this] { return allSeeOwners({"a", "b", "c"}); });
}

BOOST_AUTO_TEST_CASE(pausedHostIsLiveAgainAfterItsNextHeartbeat)
{
    hosts["c"]->paused = true;
    runUntil([this] { return hosts["a"]->heartbeats->stateOf("c") == host_state::dead; });
    runUntil([this] { return hosts["b"]->heartbeats->stateOf("c") == host_state::dead; });
    hosts["c"]->paused = false;
    runUntil([this] { return allSeeOwners({"a", "b", "c"}); });
    // The resumed host did not take its own pause for missed heartbeats of the others.
    BOOST_TEST(!hosts["c"]->sawState("a", host_state::dead));
    BOOST_TEST(!hosts["c"]->sawState("b", host_state::dead));
}

BOOST_AUTO_TEST_CASE(leavingHostStopsOwningQueuesAtOnce)
{
    hosts["b"]->heartbeats->leave();
    BOOST_TEST((hosts["b"]->heartbeats->owners() == std::vector<std::string>{"a", "c"}));
    runUntil([this] { return allSeeOwners({"a", "c"}); });
    BOOST_TEST((hosts["a"]->heartbeats->stateOf("b") == host_state::leaving));
    BOOST_TEST((hosts["b"]->changes.back().reason == host_reason::announcedLeaving));
}

BOOST_AUTO_TEST_CASE(offsetsAreExchangedInBothDirections)
{
    std::map<std::string, std::map<std::string, std::uint64_t>> seen;
    std::uint64_t offset = 100;
    for (auto &[name, host] : hosts) {
        offset += 100;
        host->heartbeats->exchangeOffsets(
            [offset] { return offset; },
            [&seen, own = name](const std::string &peer, std::uint64_t next) {
                seen[own][peer] = next;
            });
    }
    runUntil([&seen] {
        return seen["a"]["b"] == 300 && seen["a"]["c"] == 400 && seen["b"]["a"] == 200
            && seen["b"]["c"] == 400 && seen["c"]["a"] == 200 && seen["c"]["b"] == 300;
    });
}

BOOST_AUTO_TEST_CASE(stalledConnectionMarksNoHostDead)
{
    tcp_relay relay(hosts["b"]->context, hosts["b"]->mesh->port());
    hosts["a"]->mesh->setAddress("b", {"127.0.0.1", relay.port()});
    runUntil([&relay] { return relay.accepted() == 1; });
    runUntil([this] { return isLive("b", "a"); });
    relay.stallOpenConnections();
    runUntil([&relay] { return relay.accepted() == 2; });
    const auto sent = hosts["a"]->heartbeats->trafficTotals().heartbeatsSent;
    runUntil([this, sent] {
        return hosts["a"]->heartbeats->trafficTotals().heartbeatsSent > sent + 20;
    });
    runUntil([this] { return isLive("b", "a") && isLive("a", "b"); });
    BOOST_TEST(!hosts["a"]->sawState("b", host_state::dead));
    BOOST_TEST(!hosts["b"]->sawState("a", host_state::dead));
}

BOOST_AUTO_TEST_CASE(hostsMissingFromSomeHostListsStillExchangeHeartbeats)
{
    // In some of the pairs the new host should initiate, but its host list does not contain `a`
    // yet.
    std::vector<listed_host> extendedList = list;
    for (const char *name : {"d", "e", "f", "g"}) {
        add(name);
        extendedList.push_back(
            {name, true, {"127.0.0.1", hosts[name]->mesh->port()}, {}, {}, false});
    }
    hosts["a"]->heartbeats->setHostList(extendedList);
    runUntil([this] { return hosts["a"]->heartbeats->owners().size() == 7; });
    BOOST_TEST((hosts["b"]->heartbeats->owners() == std::vector<std::string>{"a", "b", "c"}));
    publish();
    runUntil([this] { return allSeeOwners({"a", "b", "c", "d", "e", "f", "g"}); });
}

BOOST_AUTO_TEST_CASE(undecodableHeartbeatIsRejected)
{
    asio::io_context &context = hosts["a"]->context;
    for (const std::string body : {"", "\xff\xff\xff", "\x0a\x7f"}) {
        const auto answer = callAndWait(context, *hosts["a"]->mesh, "a", "/beat", body);
        BOOST_TEST(codeOf(answer) == number(result_code::messageInvalid));
    }
}

BOOST_AUTO_TEST_SUITE_END()
